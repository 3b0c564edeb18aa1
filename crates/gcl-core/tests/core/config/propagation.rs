//! Tests of `gcl_core::config::propagation`: how one daemon handles single messages.

use crate::fixture::{at, configured, daemon, objects};
use gcl_core::{
    config::{Message, document::Document, snapshot::store_key},
    effect::Effect,
    event::Event,
    peer,
    reduce::reduce,
    state::State,
    store::{Change, Entry},
};

fn receive(state: &mut State, ms: u64, from: &str, message: Message) -> Vec<Message> {
    let message = peer::Message::Config(message);
    let event = peer::Event::Received { from: from.into(), incarnation: 1, message };
    let effects = reduce(state, at(ms), Event::Peer(event));
    let messages = effects.into_iter().filter_map(|effect| match effect {
        Effect::Peer { message: peer::Message::Config(message), .. } => Some(message),
        _ => None,
    });
    messages.collect()
}

fn entries(state: &State) -> Vec<Entry> {
    state.config.snapshot.entries()
}

fn change(revision: u64) -> Change {
    let object = objects().swap_remove(2);
    let value = Document::new(object.clone()).encode();
    Change::Put(Entry { key: store_key(&object), value, revision, lease: 0 })
}

#[test]
fn a_new_daemon_gets_the_whole_configuration_in_pages() {
    let mut old = configured("d1");
    let ask = Message::Ask { number: 1, revision: 0, whole: true };
    let mut fresh = daemon("d9");
    let answers = receive(&mut old, 10, "d9", ask);
    for answer in answers {
        receive(&mut fresh, 20, "d1", answer);
    }
    assert_eq!(fresh.config.snapshot.revision, 100);
    assert_eq!(entries(&fresh).len(), entries(&old).len());
}

#[test]
fn a_page_out_of_order_is_ignored() {
    let mut fresh = daemon("d9");
    let all = entries(&configured("d1"));
    let (first, second) = all.split_at(4);
    let page = |index, last, entries: &[Entry]| Message::Page {
        revision: 100,
        index,
        last,
        entries: entries.to_vec(),
    };
    receive(&mut fresh, 10, "d1", page(1, true, second));
    assert_eq!(fresh.config.snapshot.revision, 0);
    receive(&mut fresh, 11, "d1", page(0, false, first));
    receive(&mut fresh, 12, "d2", page(1, true, second));
    assert_eq!(fresh.config.snapshot.revision, 0);
    receive(&mut fresh, 13, "d1", page(1, true, second));
    assert_eq!(fresh.config.snapshot.revision, 100);
}

#[test]
fn a_push_that_skips_changes_is_not_applied() {
    let mut state = configured("d1");
    let push = |from| Message::Push { from, revision: 120, changes: vec![change(120)] };
    receive(&mut state, 10, "d2", push(110));
    assert_eq!(state.config.snapshot.revision, 100);
    receive(&mut state, 10, "d2", push(100));
    assert_eq!(state.config.snapshot.revision, 120);
}

#[test]
fn a_change_is_pushed_to_daemons_that_polled_recently() {
    let mut state = configured("d1");
    receive(&mut state, 10, "d2", Message::Ask { number: 1, revision: 100, whole: true });
    receive(&mut state, 8000, "d3", Message::Ask { number: 1, revision: 100, whole: true });
    let push = Message::Push { from: 100, revision: 120, changes: vec![change(120)] };
    let passed = receive(&mut state, 8100, "d4", push.clone());
    assert_eq!(passed, vec![push], "to d3 only");
}

#[test]
fn a_response_without_a_poll_confirms_nothing() {
    let mut state = configured("d1");
    let before = state.config.confirmed;
    let tell = gcl_core::config::Response {
        number: 99,
        from: 100,
        revision: 100,
        changes: Vec::new(),
        applied: 0,
        age: Some(std::time::Duration::ZERO),
        quiet: false,
    };
    receive(&mut state, 5000, "d2", Message::Tell(Box::new(tell)));
    assert_eq!(state.config.confirmed, before);
}
