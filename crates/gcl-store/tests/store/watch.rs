//! Tests of watches.

use crate::fixture::{Fixture, TIMEOUT};
use gcl_core::store::{Change, Event, Failure, Op, Reply};
use gcl_standin::platform::fault::{Fault, Outage};

fn watch(from: u64) -> Op {
    Op::Watch { prefix: "a/".into(), from }
}

async fn watched(fixture: &mut Fixture, watch: u64) -> (Vec<Change>, u64) {
    match fixture.events.recv().await.expect("the client is running") {
        Event::Watched { call, changes, revision } if call == watch => (changes, revision),
        event => panic!("{event:?}"),
    }
}

#[tokio::test]
async fn a_watch_sees_changes_in_order_from_its_revision_on() {
    let mut fixture = Fixture::start();
    for (key, expected) in [("a/1", 0), ("b/1", 0), ("a/1", 2)] {
        assert!(matches!(fixture.put(key, expected, "x").await, Ok(Reply::Changed(_))), "{key}");
    }
    let delete = Op::Delete { key: "a/1".into(), expected: 4 };
    assert_eq!(fixture.ask(delete).await, Ok(Reply::Changed(5)));
    let call = fixture.send(watch(3), TIMEOUT);
    let (changes, revision) = watched(&mut fixture, call).await;
    let revisions: Vec<u64> = changes.iter().map(Change::revision).collect();
    assert_eq!((revisions, revision), (vec![4, 5], 5));
    assert!(matches!(&changes[1], Change::Deleted { key, .. } if key == "a/1"), "{changes:?}");
}

#[tokio::test]
async fn a_watch_without_changes_reports_progress() {
    let mut fixture = Fixture::start();
    let call = fixture.send(watch(1), TIMEOUT);
    assert_eq!(watched(&mut fixture, call).await, (vec![], 1));
    assert_eq!(fixture.put("b/1", 0, "x").await, Ok(Reply::Changed(2)));
    while watched(&mut fixture, call).await != (vec![], 2) {}
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_fails_as_compacted() {
    let mut fixture = Fixture::start();
    assert_eq!(fixture.put("a/1", 0, "x").await, Ok(Reply::Changed(2)));
    fixture.server.platform().store(|store| store.compact(2));
    assert_eq!(fixture.ask(watch(1)).await, Err(Failure::Compacted));
}

#[tokio::test]
async fn an_outage_ends_a_watch() {
    let mut fixture = Fixture::start();
    let call = fixture.send(watch(1), TIMEOUT);
    watched(&mut fixture, call).await;
    fixture.fault(Fault { outage: Some(Outage::Refuse), ..Fault::default() });
    let end = loop {
        match fixture.events.recv().await.expect("the client is running") {
            Event::Watched { .. } => {}
            other @ Event::Answered { .. } => break other,
        }
    };
    assert_eq!(end, Event::Answered { call, result: Err(Failure::Lost) });
}

#[tokio::test]
async fn an_ended_watch_delivers_nothing_more() {
    let mut fixture = Fixture::start();
    let call = fixture.send(watch(1), TIMEOUT);
    watched(&mut fixture, call).await;
    fixture.send(Op::Unwatch(call), TIMEOUT);
    let after = fixture.send(watch(1), TIMEOUT);
    for _ in 0..2 {
        watched(&mut fixture, after).await;
    }
}
