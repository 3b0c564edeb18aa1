//! Tests of `gcl_core::config::watch`: one relay and its store.

use crate::fixture::{at, daemon, objects};
use gcl_core::{
    config::{
        document::Document,
        snapshot::{PREFIX, store_key},
    },
    effect::Effect,
    event::Event,
    reduce::reduce,
    state::State,
    store::{self, Call, Change, Entry, Failure, Op, Reply},
    timer,
};
use std::time::Duration;

fn deliver(state: &mut State, ms: u64, event: Event) -> Vec<Call> {
    let effects = reduce(state, at(ms), event);
    let calls = effects.into_iter().filter_map(|effect| match effect {
        Effect::Store(call) => Some(call),
        _ => None,
    });
    calls.collect()
}

fn answer(state: &mut State, ms: u64, call: &Call, result: Result<Reply, Failure>) -> Vec<Call> {
    deliver(state, ms, Event::Store(store::Event::Answered { call: call.call, result }))
}

fn entry(index: usize, revision: u64) -> Entry {
    let object = objects().swap_remove(index);
    let value = Document::new(object.clone()).encode();
    Entry { key: store_key(&object), value, revision, lease: 0 }
}

/// A relay that has listed one object at revision 10 and watches the store from there.
fn watching() -> (State, Call, Call) {
    let mut state = daemon("d1");
    let list = deliver(&mut state, 0, Event::Started).remove(0);
    assert_eq!(list.op, Op::List(PREFIX.into()));
    let reply = Reply::List(vec![entry(2, 7)], 10);
    let mut calls = answer(&mut state, 50, &list, Ok(reply));
    let confirm = calls.pop().expect("a confirming read is sent");
    let watch = calls.pop().expect("a watch is opened");
    assert_eq!(watch.op, Op::Watch { prefix: PREFIX.into(), from: 11 });
    (state, watch, confirm)
}

#[test]
fn a_listing_confirms_as_of_its_request() {
    let (state, ..) = watching();
    assert_eq!(state.config.snapshot.revision, 10);
    assert_eq!(state.config.confirmed, Some(Duration::ZERO));
}

#[test]
fn a_confirmation_takes_effect_once_the_watch_has_reached_it() {
    let (mut state, watch, confirm) = watching();
    answer(&mut state, 90, &confirm, Ok(Reply::Value(None, 12)));
    assert_eq!(state.config.confirmed, Some(Duration::ZERO));
    let changes = vec![Change::Put(entry(3, 12))];
    let seen = store::Event::Watched { call: watch.call, changes, revision: 12 };
    deliver(&mut state, 100, Event::Store(seen));
    assert_eq!(state.config.confirmed, Some(Duration::from_millis(50)));
    assert!(state.config.snapshot.databases.contains_key("orders-1"));
}

#[test]
fn a_stale_read_confirms_nothing() {
    let (mut state, watch, confirm) = watching();
    let changes = vec![Change::Put(entry(3, 12))];
    let seen = store::Event::Watched { call: watch.call, changes, revision: 12 };
    deliver(&mut state, 60, Event::Store(seen));
    answer(&mut state, 90, &confirm, Ok(Reply::Value(None, 9)));
    assert_eq!(state.config.confirmed, Some(Duration::ZERO));
}

#[test]
fn a_stale_listing_changes_nothing() {
    let (mut state, watch, _) = watching();
    answer(&mut state, 100, &watch, Err(Failure::Compacted));
    let list = tick_until(&mut state, |op| matches!(op, Op::List(_)));
    answer(&mut state, 9000, &list, Ok(Reply::List(Vec::new(), 9)));
    assert!(state.config.snapshot.services.contains_key("orders-db"));
    assert_eq!(state.config.snapshot.revision, 10);
}

#[test]
fn a_lost_watch_resumes_after_its_last_revision() {
    let (mut state, watch, _) = watching();
    answer(&mut state, 100, &watch, Err(Failure::Lost));
    let again = tick_until(&mut state, |op| !matches!(op, Op::Get(_)));
    assert_eq!(again.op, Op::Watch { prefix: PREFIX.into(), from: 11 });
}

/// Fires the periodic timer until a call is made that `wanted` accepts.
fn tick_until(state: &mut State, wanted: impl Fn(&Op) -> bool) -> Call {
    let ticks = (1..20).map(|tick| 500 * tick);
    let mut calls = ticks.flat_map(|ms| deliver(state, ms, Event::Timer(timer::Key::Config)));
    calls.find(|call| wanted(&call.op)).expect("the call is made in time")
}
