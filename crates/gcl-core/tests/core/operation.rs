//! Tests of `gcl_core::operation`, against a store that is a plain list of revisions.

use crate::config::world::World;
use gcl_core::{
    code::{Code, Fault},
    key,
    operation::api::{History, Listing, Outcome, Overview, Report, Status},
    operator::{Method, Request, Response},
    reduce::reduce,
};
use serde::de::DeserializeOwned;
use test_case::test_case;

/// Objects of a small fleet.
const OBJECTS: &str = r#"
    {"object":{"kind":"domain","name":"alpha","region":"east"}},
    {"object":{"kind":"service","name":"s"}},
    {"object":{"kind":"database","name":"a","service":"s","labels":{"n":"a"}}},
    {"object":{"kind":"database","name":"b","service":"s","labels":{"n":"b"}}},
    {"object":{"kind":"workspace","name":"w","rate":1,"burst":1,"labels":{"desk":"dala"}}},
    {"object":{"kind":"rule","name":"r","service":"s","databases":"n=a"}}"#;

fn world() -> World {
    let mut world = World::new(2, 1);
    world.run(2000);
    let report = apply(&mut world, 0, OBJECTS);
    assert!(report.results.iter().all(|done| done.status == Status::Changed), "{report:?}");
    world.run(2000);
    world
}

fn answer(world: &mut World, node: usize, path: &str, body: &str) -> Response {
    let method = if body.is_empty() { Method::Get } else { Method::Post };
    let operation = world.operate(node, method, path, body.to_owned());
    for _ in 0..400 {
        if let Some((_, response)) = world.answers.iter().find(|(of, _)| *of == operation) {
            return response.clone();
        }
        world.run(100);
    }
    panic!("no answer to {path}")
}

fn ask<T: DeserializeOwned>(world: &mut World, path: &str, body: &str) -> T {
    match answer(world, 0, path, body) {
        Response::Json(text) => serde_json::from_str(&text).expect("the answer is well formed"),
        Response::Error(fault) => panic!("{path}: {fault}"),
    }
}

fn refusal(world: &mut World, path: &str, body: &str) -> Fault {
    match answer(world, 0, path, body) {
        Response::Json(text) => panic!("{path}: {text}"),
        Response::Error(fault) => fault,
    }
}

fn apply(world: &mut World, node: usize, objects: &str) -> Report {
    let body = format!(r#"{{"change":"c","objects":[{objects}]}}"#);
    match answer(world, node, "apply", &body) {
        Response::Json(text) => serde_json::from_str(&text).expect("the answer is a report"),
        Response::Error(fault) => panic!("{fault}"),
    }
}

fn workspace(rate: u32, revision: &str) -> String {
    format!(
        r#"{{"object":{{"kind":"workspace","name":"w","rate":{rate},"burst":1,
        "labels":{{"desk":"dala"}}}}{revision}}}"#
    )
}

fn statuses(report: &Report) -> Vec<Status> {
    report.results.iter().map(|done| done.status).collect()
}

#[test]
fn what_was_applied_is_listed_by_selector() {
    let mut world = world();
    let list: Listing = ask(&mut world, "get/database?selector=n in (b)", "");
    let names: Vec<_> =
        list.objects.iter().map(|object| serde_json::to_value(&object.value)).collect();
    assert_eq!(names.len(), 1);
    let name = names[0]
        .as_ref()
        .map(|value| value["name"].clone())
        .expect("objects can be written as JSON");
    assert_eq!(name, "b");
    let all: Listing = ask(&mut world, "get/all", "");
    assert_eq!(all.objects.len(), 6);
}

#[test]
fn an_unchanged_object_is_not_written() {
    let mut world = world();
    let before = world.log.len();
    assert_eq!(statuses(&apply(&mut world, 0, &workspace(1, ""))), [Status::Unchanged]);
    assert_eq!(world.log.len(), before);
}

#[test]
fn a_stale_revision_is_a_conflict_that_shows_both_versions() {
    let mut world = world();
    assert_eq!(statuses(&apply(&mut world, 0, &workspace(2, ""))), [Status::Changed]);
    world.run(1000);
    let report = apply(&mut world, 1, &workspace(3, r#","revision":1"#));
    let Outcome { status, code, ours, theirs, .. } = &report.results[0];
    assert_eq!((*status, *code), (Status::Conflict, Some(Code::Conflict.number())));
    assert_ne!(ours, theirs);
    assert!(ours.is_some() && theirs.is_some());
}

#[test]
fn of_two_concurrent_changes_one_succeeds_and_one_conflicts() {
    let mut world = world();
    world.fault.delay_ms = 50;
    let body = |rate| format!(r#"{{"change":"c{rate}","objects":[{}]}}"#, workspace(rate, ""));
    let first = world.operate(0, Method::Post, "apply", body(7));
    let second = world.operate(1, Method::Post, "apply", body(8));
    world.run(5000);
    let status = |operation| {
        let found = world.answers.iter().find(|(of, _)| *of == operation);
        let Some((_, Response::Json(text))) = found else {
            panic!("the request has no JSON answer")
        };
        let report: Report = serde_json::from_str(text).expect("the answer is a report");
        report.results[0].status
    };
    let mut both = [status(first), status(second)];
    both.sort_by_key(|status| *status == Status::Conflict);
    assert_eq!(both, [Status::Changed, Status::Conflict]);
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let mut world = world();
    world.fault.lost_answer = 100;
    let operation = world.operate(
        0,
        Method::Post,
        "apply",
        format!(r#"{{"change":"lost","objects":[{}]}}"#, workspace(9, "")),
    );
    world.run(10);
    world.fault.lost_answer = 0;
    world.run(3000);
    let found = world.answers.iter().find(|(of, _)| *of == operation);
    let Some((_, Response::Json(text))) = found else { panic!("the request has no JSON answer") };
    let report: Report = serde_json::from_str(text).expect("the answer is a report");
    assert_eq!(statuses(&report), [Status::Changed]);
    let made = world.log.iter().filter(|(_, change)| format!("{change:?}").contains("lost"));
    assert_eq!(made.count(), 1);
}

#[test]
fn a_change_fails_without_the_store() {
    let mut world = world();
    world.set_down(true);
    let before = world.log.len();
    assert_eq!(statuses(&apply(&mut world, 0, &workspace(9, ""))), [Status::Failed]);
    world.set_down(false);
    world.run(30_000);
    assert_eq!(world.log.len(), before);
}

#[test]
fn labels_are_set_and_removed_by_selector() {
    let mut world = world();
    let body = r#"{"change":"l","kind":"workspace","selector":"desk=dala",
        "set":{"size":"big"},"unset":["desk"]}"#;
    assert_eq!(statuses(&ask(&mut world, "label", body)), [Status::Changed]);
    world.run(1000);
    let list: Listing = ask(&mut world, "get/workspace?selector=size=big,!desk", "");
    assert_eq!(list.objects.len(), 1);
}

#[test]
fn a_key_is_issued_once_and_withdrawn_by_selector() {
    let mut world = world();
    let hash = key::hash("hush");
    let issue = format!(
        r#"{{"change":"k","key":{{"name":"k1","workspace":"w","hash":"{hash}",
        "labels":{{"use":"till"}}}}}}"#
    );
    assert_eq!(statuses(&ask(&mut world, "key/issue", &issue)), [Status::Changed]);
    world.run(1000);
    let again = issue.replace(&hash, &key::hash("other"));
    assert_eq!(statuses(&ask(&mut world, "key/issue", &again)), [Status::Conflict]);
    let withdraw = r#"{"change":"k","kind":"key","selector":"use=till"}"#;
    assert_eq!(statuses(&ask(&mut world, "key/withdraw", withdraw)), [Status::Changed]);
    world.run(1000);
    for node in 0..2 {
        let held = &world.state(node).config.snapshot.keys["k1"];
        assert!(held.value.withdrawn, "daemon {node}");
    }
}

#[test]
fn a_dry_run_reports_moves_and_changes_nothing() {
    let mut world = world();
    let before = world.log.len();
    let body = r#"{"change":"d","objects":[{"object":
        {"kind":"rule","name":"r","service":"s","databases":"n=b"}}]}"#;
    let report: Report = ask(&mut world, "diff", body);
    assert_eq!(statuses(&report), [Status::Planned]);
    assert_eq!(report.refusal.map(|fault| fault.code), Some(Code::RouteClosed));
    assert_eq!((report.moved[0].moved, report.moved[0].sampled), (256, 256));
    assert_eq!(world.log.len(), before);
}

#[test]
fn the_history_names_changes_and_operators() {
    let mut world = world();
    apply(&mut world, 0, &workspace(5, ""));
    world.run(1000);
    let history: History = ask(&mut world, "history", "");
    let last = history.events.last().expect("the history has a change");
    assert_eq!((last.key.as_str(), last.change.as_str()), ("gcl/config/workspace/w", "c"));
    assert_eq!((last.operator.as_str(), last.removed), ("loopback", false));
}

#[test]
fn the_status_shows_members_and_freshness() {
    let mut world = world();
    let status: Overview = ask(&mut world, "status", "");
    assert_eq!((status.daemon.as_str(), status.relay), ("d0", true));
    assert!(status.age_ms.is_some_and(|age| age < 5000), "{status:?}");
    assert_eq!(status.members.len(), 1);
}

#[test]
fn a_removal_reaches_every_daemon() {
    let mut world = world();
    let body = r#"{"change":"x","kind":"rule","selector":"!kept"}"#;
    assert_eq!(statuses(&ask(&mut world, "delete", body)), [Status::Changed]);
    world.run(1000);
    for node in 0..2 {
        assert!(world.state(node).config.snapshot.rules.is_empty(), "daemon {node}");
    }
}

#[test_case("get/thing", "", Code::BadObject)]
#[test_case("get/server?selector=a==b", "", Code::BadObject)]
#[test_case("nothing", "", Code::NotFound)]
#[test_case("config/wait?revision=x", "", Code::BadOption)]
#[test_case("apply", "{", Code::BadObject)]
#[test_case("apply", r#"{"change":"","objects":[]}"#, Code::BadObject; "a change without a name")]
#[test_case("apply", r#"{"change":"c","objects":[{"object":{"kind":"key","name":"k",
    "workspace":"none","hash":"0000000000000000000000000000000000000000000000000000000000000000"}}]}"#,
    Code::NotFound; "a key of no workspace")]
#[test_case("apply", r#"{"change":"c","objects":[{"object":{"kind":"service","name":"x","colour":1}}]}"#,
    Code::BadObject; "an unknown field")]
#[test_case("delete", r#"{"change":"c","kind":"service","selector":""}"#, Code::BadObject; "all")]
#[test_case("delete", r#"{"change":"c","kind":"service","selector":"a=b"}"#, Code::NotFound; "none")]
#[test_case("delete", r#"{"change":"c","kind":"service","selector":"!x"}"#, Code::NotFound; "still referred to")]
#[test_case("nothing", "{}", Code::NotFound; "an unknown post")]
fn rejects(path: &str, body: &str, code: Code) {
    assert_eq!(refusal(&mut world(), path, body).code, code);
}

/// A fleet with one token for each role; the token's text is its name.
fn with_tokens() -> World {
    let mut world = world();
    let token = |role: &str| {
        let hash = key::hash(role);
        format!(
            r#"{{"object":{{"kind":"token","name":"{role}","hash":"{hash}","roles":["{role}"]}}}}"#
        )
    };
    let tokens = ["read", "change", "keys"].map(token).join(",");
    apply(&mut world, 0, &tokens);
    world.run(1000);
    world
}

#[test_case("", "status", false; "no token")]
#[test_case("wrong", "status", false; "a wrong token")]
#[test_case("read", "status", true; "a reader reads")]
#[test_case("keys", "status", true; "every role reads")]
#[test_case("read", "apply", false; "a reader changes nothing")]
#[test_case("keys", "apply", false; "the keys role changes keys only")]
#[test_case("change", "apply", true; "the change role changes objects")]
#[test_case("change", "key/issue", false; "the change role issues no key")]
#[test_case("keys", "key/issue", true; "the keys role issues keys")]
fn roles(token: &str, path: &str, admitted: bool) {
    let mut world = with_tokens();
    let body = match path {
        "apply" => format!(r#"{{"change":"c","objects":[{}]}}"#, workspace(3, "")),
        "key/issue" => format!(
            r#"{{"change":"k","key":{{"name":"k1","workspace":"w","hash":"{}"}}}}"#,
            key::hash("hush")
        ),
        _ => String::new(),
    };
    let method = if body.is_empty() { Method::Get } else { Method::Post };
    let token = if token.is_empty() { String::new() } else { key::hash(token) };
    let request =
        Request { method, path: path.into(), query: Vec::new(), token: token.into(), body };
    let operation = world.request(0, request);
    world.run(3000);
    let found = world.answers.iter().find(|(of, _)| *of == operation);
    let (_, response) = found.expect("the request has an answer");
    match response {
        Response::Json(_) => assert!(admitted, "{path} was admitted"),
        Response::Error(fault) => {
            assert_eq!((fault.code, admitted), (Code::Forbidden, false), "{fault}");
        }
    }
}

#[test]
fn without_tokens_only_a_loopback_port_is_open() {
    let world = world();
    let mut state = world.state(0).clone();
    state.settings.listen.operator = "10.0.0.1:1".parse().expect("the address is valid");
    let request = Request {
        method: Method::Get,
        path: "status".into(),
        query: Vec::new(),
        token: "".into(),
        body: String::new(),
    };
    let event = gcl_core::event::Event::Operator(1, request);
    let effects = reduce(&mut state, world.clock(0), event);
    let refused = effects.iter().any(|effect| {
        matches!(effect, gcl_core::effect::Effect::Operator(1, Response::Error(fault))
            if fault.code == Code::Forbidden)
    });
    assert!(refused, "{effects:?}");
}

/// Sends `primary/move` to a single daemon without a store.
fn move_primary(state: &mut gcl_core::state::State, body: &str) -> Response {
    let request = Request {
        method: Method::Post,
        path: "primary/move".into(),
        query: Vec::new(),
        token: "".into(),
        body: body.to_owned(),
    };
    let mut fx = gcl_core::effect::Effects::default();
    let now = crate::fixture::at(1_000);
    gcl_core::operation::on_request(state, now, &mut fx, 1, &request);
    let answer = fx.as_slice().iter().find_map(|effect| match effect {
        gcl_core::effect::Effect::Operator(1, response) => Some(response.clone()),
        _ => None,
    });
    answer.expect("the operator is answered")
}

#[test]
fn primaries_move_to_servers_chosen_by_labels() {
    let mut state = crate::fixture::configured("d1");
    let leader = gcl_core::run::Leader { term: 1, server: "orders-1-a".into() };
    gcl_core::group::on_leader(&mut state, &"orders-1".into(), leader);
    let Response::Json(text) = move_primary(&mut state, r#"{"database": "", "to": "!gone"}"#)
    else {
        panic!("the move was refused");
    };
    let moves: gcl_core::operation::api::Moves =
        serde_json::from_str(&text).expect("the answer is a `Moves`");
    let found: Vec<_> = moves.moves.iter().map(|moved| moved.to.as_deref()).collect();
    assert_eq!(found, [Some("orders-1-a")], "a primary that is among the selected stays");
    let none = move_primary(&mut state, r#"{"database": "", "to": "rack=none"}"#);
    let Response::Json(text) = none else { panic!("{none:?}") };
    let moves: gcl_core::operation::api::Moves =
        serde_json::from_str(&text).expect("the answer is a `Moves`");
    let refusal = moves.moves[0].refusal.as_ref().expect("no server is selected");
    assert_eq!(refusal.code, Code::NotFound);
}
