//! Tests of `gcl_core::reduce`.

use crate::fixture::{at, daemon};
use gcl_core::{effect::Effect, event::Event, reduce::reduce, store};

#[test]
fn a_start_lists_the_configuration() {
    let mut state = daemon("d1");
    let effects = reduce(&mut state, at(0), Event::Started);
    let listed = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Store(store::Call { op: store::Op::List(_), .. })));
    assert!(listed, "the start asks the store for the configuration");
}

/// The store's answer to the listing of the configuration, without entries.
fn listed(effects: &[Effect]) -> Event {
    let call = effects.iter().find_map(|effect| match effect {
        Effect::Store(store::Call { call, op: store::Op::List(_), .. }) => Some(*call),
        _ => None,
    });
    let call = call.expect("the configuration is listed");
    Event::Store(store::Event::Answered { call, result: Ok(store::Reply::List(Vec::new(), 9)) })
}

#[test]
fn a_daemon_is_ready_from_the_first_confirmed_configuration_until_it_drains() {
    let mut state = daemon("d1");
    let started = reduce(&mut state, at(0), Event::Started);
    assert!(!started.contains(&Effect::Ready(true)), "nothing is confirmed yet");
    let effects = reduce(&mut state, at(10), listed(&started));
    assert!(effects.contains(&Effect::Ready(true)));
    let effects = reduce(&mut state, at(20), Event::Stop);
    assert!(effects.contains(&Effect::Ready(false)));
}
