//! Tests of `gcl_store::client`.

use crate::fixture::{Fixture, TIMEOUT};
use gcl_core::store::{Entry, Failure, Op, Reply, Vm};
use gcl_standin::platform::{
    Options, Server,
    fault::{Fault, Outage},
};
use std::time::Duration;
use test_case::test_case;

/// Timeout of calls that never get an answer.
const NO_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

fn entry(key: &str, value: &str, revision: u64) -> Entry {
    let value = value.as_bytes().to_vec().into();
    Entry { key: key.into(), value, revision, lease: 0 }
}

#[tokio::test]
async fn a_swap_succeeds_once_and_then_returns_the_current_entry() {
    let mut fixture = Fixture::start();
    assert_eq!(fixture.put("a/1", 0, "one").await, Ok(Reply::Changed(2)));
    let stored = Some(entry("a/1", "one", 2));
    assert_eq!(fixture.put("a/1", 0, "two").await, Ok(Reply::Conflict(stored.clone(), 2)));
    assert_eq!(fixture.ask(Op::Get("a/1".into())).await, Ok(Reply::Value(stored, 2)));
    let gone = Op::Delete { key: "a/1".into(), expected: 2 };
    assert_eq!(fixture.ask(gone.clone()).await, Ok(Reply::Changed(3)));
    assert_eq!(fixture.ask(gone).await, Ok(Reply::Conflict(None, 3)));
}

#[tokio::test]
async fn a_list_contains_only_keys_with_the_prefix() {
    let mut fixture = Fixture::start();
    for key in ["a/1", "a/2", "b/1"] {
        assert!(fixture.put(key, 0, key).await.is_ok(), "{key} is new");
    }
    let list = vec![entry("a/1", "a/1", 2), entry("a/2", "a/2", 3)];
    assert_eq!(fixture.ask(Op::List("a/".into())).await, Ok(Reply::List(list, 4)));
}

#[tokio::test]
async fn a_revoked_lease_deletes_its_keys() {
    let mut fixture = Fixture::start();
    let granted = fixture.ask(Op::Grant(Duration::from_millis(60_500))).await;
    let Ok(Reply::Lease(lease)) = granted else { panic!("{granted:?}") };
    let put = Op::Put { key: "s".into(), expected: 0, value: "x".into(), lease };
    assert_eq!(fixture.ask(put.clone()).await, Ok(Reply::Changed(2)));
    assert_eq!(fixture.ask(Op::Renew(lease)).await, Ok(Reply::Lease(lease)));
    assert_eq!(fixture.ask(Op::Revoke(lease)).await, Ok(Reply::Changed(3)));
    assert_eq!(fixture.ask(Op::Renew(lease)).await, Ok(Reply::NoLease));
    assert_eq!(fixture.ask(Op::Revoke(lease)).await, Ok(Reply::NoLease));
    assert_eq!(fixture.ask(put).await, Ok(Reply::NoLease));
    assert_eq!(fixture.ask(Op::Get("s".into())).await, Ok(Reply::Value(None, 3)));
}

#[tokio::test]
async fn an_unreachable_store_is_reported_as_unreached() {
    let mut fixture = Fixture::start();
    let address = fixture.server.address();
    let platform = fixture.server.platform().clone();
    drop(std::mem::replace(
        &mut fixture.server,
        Server::start(Options::default()).expect("a loopback port is free"),
    ));
    assert_eq!(fixture.put("a", 0, "x").await, Err(Failure::Unreached));
    let again = Server::start(Options { listen: address, platform });
    fixture.server = again.expect("the port is free again");
    assert_eq!(fixture.put("a", 0, "x").await, Ok(Reply::Changed(2)));
}

#[tokio::test]
async fn a_call_with_a_lost_answer_fails_although_the_change_took_effect() {
    let mut fixture = Fixture::start();
    fixture.fault(Fault { lose: 1, ..Fault::default() });
    assert_eq!(fixture.put("a", 0, "x").await, Err(Failure::Lost));
    let stored = Some(entry("a", "x", 2));
    assert_eq!(fixture.ask(Op::Get("a".into())).await, Ok(Reply::Value(stored, 2)));
}

#[test_case(Fault { outage: Some(Outage::Refuse), ..Fault::default() }, Failure::Lost; "unavailable")]
#[test_case(Fault { outage: Some(Outage::Hang), ..Fault::default() }, Failure::Lost; "silent")]
#[tokio::test]
async fn a_change_during_an_outage_is_reported_as_lost(fault: Fault, failure: Failure) {
    let mut fixture = Fixture::start();
    fixture.fault(fault);
    let put = Op::Put { key: "a".into(), expected: 0, value: "x".into(), lease: 0 };
    assert_eq!(fixture.ask_within(put, NO_ANSWER_TIMEOUT).await, Err(failure));
}

#[tokio::test]
async fn a_call_above_the_rate_limit_is_refused() {
    let mut fixture = Fixture::start();
    fixture.fault(Fault { rate: 1, ..Fault::default() });
    while fixture.ask(Op::Get("a".into())).await != Err(Failure::Refused) {}
}

#[tokio::test]
async fn a_stale_read_returns_an_older_revision() {
    let mut fixture = Fixture::start();
    assert_eq!(fixture.put("a", 0, "one").await, Ok(Reply::Changed(2)));
    assert_eq!(fixture.put("a", 2, "two").await, Ok(Reply::Changed(3)));
    fixture.fault(Fault { stale: 1, ..Fault::default() });
    let old = Some(entry("a", "one", 2));
    assert_eq!(fixture.ask(Op::Get("a".into())).await, Ok(Reply::Value(old, 2)));
}

#[tokio::test]
async fn calls_above_the_limit_wait_without_being_sent() {
    let mut fixture = Fixture::start();
    fixture.fault(Fault { outage: Some(Outage::Hang), ..Fault::default() });
    for _ in 0..32 {
        fixture.send(Op::Get("a".into()), TIMEOUT);
    }
    while fixture.server.platform().calls().values().sum::<u64>() < 32 {
        tokio::task::yield_now().await;
    }
    let late = fixture.ask_within(Op::Get("late".into()), NO_ANSWER_TIMEOUT).await;
    assert_eq!(late, Err(Failure::Unreached));
    assert_eq!(fixture.server.platform().calls().values().sum::<u64>(), 32);
}

#[tokio::test]
async fn the_list_of_vms_is_read() {
    let mut fixture = Fixture::start();
    let vm = Vm {
        daemon: "d1".into(),
        domain: "alpha".into(),
        address: "127.0.0.1:1".into(),
        leaving: true,
    };
    fixture.server.platform().set_vms(vec![vm.clone()]);
    assert_eq!(fixture.ask(Op::Vms).await, Ok(Reply::Vms(vec![vm])));
}
