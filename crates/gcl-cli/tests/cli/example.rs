//! Tests that the deployments under `examples/` load, are complete and place every workspace.

use crate::fixture::run;
use gcl_core::{
    caller::Credential,
    config::{file::parse_snapshot, snapshot::Snapshot},
    key, route,
};
use std::fs;
use test_case::test_case;

fn path(name: &str) -> String {
    format!("{}/../../examples/{name}/objects.jsonc", env!("CARGO_MANIFEST_DIR"))
}

fn snapshot(name: &str) -> Snapshot {
    let text = fs::read_to_string(path(name)).expect("the example exists");
    parse_snapshot(&text).unwrap_or_else(|faults| panic!("{faults:?}"))
}

#[test_case("kazyna", "orders-db", 3, 20)]
#[test_case("basu", "hire-ledger", 2, 30)]
fn an_example_is_complete_and_places_every_workspace(
    name: &str,
    service: &str,
    slots: u32,
    connections: u32,
) {
    let snapshot = snapshot(name);
    let count = (snapshot.domains.len(), snapshot.databases.len(), snapshot.servers.len());
    assert_eq!((count, snapshot.workspaces.len()), ((3, 3, 9), 8));
    for server in snapshot.servers.values().map(|server| &server.value) {
        assert_eq!((server.slots, server.connections), (slots, connections), "{}", server.name);
    }
    for database in snapshot.databases.keys() {
        let servers = snapshot.group(database).iter().filter_map(|name| snapshot.server(name));
        let mut domains: Vec<_> = servers.map(|server| &server.domain).collect();
        domains.sort();
        domains.dedup();
        assert_eq!(domains.len(), 3, "{database} has a server in each domain");
    }
    for workspace in snapshot.workspaces.keys() {
        let place = route::resolve(&snapshot, workspace, service, workspace);
        assert!(place.is_ok_and(|place| place.writable && !place.open), "{workspace}");
        let secret = Credential::new(&format!("{workspace}-1.demo-{workspace}"));
        let admitted = key::authenticate(&snapshot, workspace, &secret);
        assert!(admitted.is_ok(), "{workspace}: {admitted:?}");
    }
}

#[test_case("kazyna")]
#[test_case("basu")]
fn check_accepts_an_example(name: &str) {
    let output = run(&["check", &path(name)]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("34 objects"), "{output:?}");
}
