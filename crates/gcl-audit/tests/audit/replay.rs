//! Tests of `gcl_audit::replay`.

use gcl_audit::replay::replay;
use gcl_core::{
    caller::{self, Credential},
    event::Event,
    reduce::reduce,
    settings::{Settings, parse},
    state::State,
    store,
    time::Now,
};
use std::time::Duration;

const SETTINGS: &str = r#"{
    "daemon": "d1", "domain": "alpha", "region": "east", "store": "http://127.0.0.1:1",
    "listen": {"caller": "127.0.0.1:1", "peer": "127.0.0.1:2", "operator": "127.0.0.1:3"}
}"#;
const SEED: u64 = 7;

fn settings() -> Settings {
    parse(SETTINGS).expect("the settings are valid")
}

/// Builds a trace of a start, a configuration listing and a login with a wrong key.
fn trace() -> Vec<String> {
    let mut state = State::new(settings(), SEED);
    let address = "127.0.0.1:9".parse().expect("the address is valid");
    let caller_event = |event| Event::Caller(1, event);
    let startup = vec![("user".into(), "altyn".into()), ("database".into(), "orders-db".into())];
    let events = [
        Event::Started,
        Event::Store(store::Event::Answered {
            call: 1,
            result: Ok(store::Reply::List(Vec::new(), 5)),
        }),
        caller_event(caller::Event::Opened { address, encrypted: false }),
        caller_event(caller::Event::Startup(startup)),
        caller_event(caller::Event::Password(Credential::new("k1.not-the-secret"))),
    ];
    let head = serde_json::json!({"settings": settings(), "seed": SEED});
    let mut lines = vec![head.to_string()];
    for (number, event) in events.into_iter().enumerate() {
        let now = Now::at(Duration::from_millis(10 * number as u64));
        let effects = reduce(&mut state, now, event.clone());
        let step = serde_json::json!({"now": now, "event": event, "effects": effects});
        lines.push(step.to_string());
    }
    lines
}

#[test]
fn a_trace_replays_to_the_same_effects() {
    let lines = trace();
    let outcome = replay(lines.join("\n").as_bytes()).expect("the trace is complete");
    assert_eq!(outcome.steps, 5);
    assert!(outcome.difference.is_none(), "{:?}", outcome.difference);
}

#[test]
fn a_differing_effect_is_reported_with_its_line() {
    let mut lines = trace();
    let altered = lines[5].replace("\"fatal\":true", "\"fatal\":false");
    assert_ne!(altered, lines[5], "the trace contains the rejected login");
    lines[5] = altered;
    let outcome = replay(lines.join("\n").as_bytes()).expect("the trace is complete");
    let difference = outcome.difference.expect("a decision differs");
    assert_eq!(difference.line, 6);
}

#[test]
fn the_secret_is_not_in_the_trace() {
    assert!(!trace().join("\n").contains("not-the-secret"));
}

#[test]
fn a_truncated_last_line_ends_the_trace() {
    let mut lines = trace();
    let cut = lines[5].len() / 2;
    lines[5].truncate(cut);
    let outcome = replay(lines.join("\n").as_bytes()).expect("the rest is complete");
    assert_eq!((outcome.steps, outcome.difference.is_none()), (4, true));
}
