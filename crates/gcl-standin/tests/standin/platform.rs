//! Tests of the platform stand-in without its HTTP server, which is tested with the store's client.

use gcl_standin::platform::{
    Platform, load,
    store::{Error, Store},
};
use gcl_store::gateway::{Blob, Int, LeaseRequest, PutRequest, RangeRequest};
use std::{
    path::Path,
    time::{Duration, Instant},
};
use test_case::test_case;

fn put(key: &str, lease: u64) -> PutRequest {
    PutRequest { key: Blob::text(key), value: Blob::text("x"), lease: Int(lease) }
}

fn count(store: &Store, revision: u64) -> Result<usize, Error> {
    let request = RangeRequest {
        key: Blob::text(""),
        range_end: Blob::prefix_end(""),
        revision: Int(revision),
    };
    store.range(&request, 0).map(|answer| answer.kvs.len())
}

#[test]
fn an_expired_lease_removes_its_keys() {
    let (mut store, start) = (Store::default(), Instant::now());
    let request = LeaseRequest { ttl: Int(5), id: Int(0) };
    let lease = store.grant(request, start).id;
    assert!(store.put(&put("held", lease.0)).is_ok(), "the lease exists");
    assert!(store.put(&put("free", 0)).is_ok(), "no lease is requested");
    let second = |seconds| start + Duration::from_secs(seconds);
    store.renew(LeaseRequest { id: lease, ..request }, second(4));
    assert!(!store.expire(second(8)), "the lease was renewed");
    assert!(store.expire(second(9)), "the lease has expired");
    assert_eq!(count(&store, 0), Ok(1));
    assert_eq!(store.put(&put("late", lease.0)).err(), Some(Error::NoLease));
}

#[test]
fn older_revisions_can_be_read_until_they_are_compacted() {
    let mut store = Store::default();
    for key in ["a", "b", "c"] {
        assert!(store.put(&put(key, 0)).is_ok(), "{key}");
    }
    assert_eq!(count(&store, 3), Ok(2));
    assert_eq!(count(&store, 9), Err(Error::Future));
    store.compact(3);
    assert_eq!((count(&store, 2), count(&store, 4)), (Err(Error::Compacted), Ok(3)));
}

#[test_case("kazyna")]
#[test_case("basu")]
fn an_example_deployment_is_loaded_into_the_store(name: &str) {
    let platform = Platform::default();
    let path = format!("{}/../../examples/{name}/objects.jsonc", env!("CARGO_MANIFEST_DIR"));
    let loaded = load::load(&platform, Path::new(&path)).expect("the example is valid");
    assert_eq!((loaded, platform.store(|store| count(store, 0))), (34, Ok(34)));
}
