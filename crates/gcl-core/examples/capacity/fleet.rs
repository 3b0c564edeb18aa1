//! One daemon in a fleet and with a configuration of chosen sizes.

use crate::driver::Driver;
use compact_str::format_compact;
use gcl_core::{
    config::{object::Object, snapshot::Snapshot},
    event::Event,
    key,
    member::{Message, Rumor, Status},
    peer,
    settings::{Bounds, Listen, Settings},
    state::State,
};
use std::time::Duration;

/// The secret of every workspace's key.
pub const SECRET: &str = "secret";
/// The revision of the initial configuration.
pub const REVISION: u64 = 1_000_000;

/// The daemon `d0` of failure domain `f0`.
pub fn daemon() -> State {
    let address = "127.0.0.1:1".parse().expect("the address is well formed");
    let settings = Settings {
        daemon: "d0".into(),
        domain: "f0".into(),
        region: "r0".into(),
        listen: Listen { caller: address, peer: address, operator: address },
        advertise: None,
        store: "http://127.0.0.1:1".to_owned(),
        seeds: Vec::new(),
        bounds: Bounds::default(),
        caller_tls: None,
        peer_tls: None,
        operator_tls: None,
        plain_caller: false,
        plain_operator: false,
    };
    State::new(settings, 7)
}

/// A rumor that the daemon with an index, which started at `started`, is alive.
pub fn rumor(index: usize, domain: usize, started: u64) -> Rumor {
    Rumor {
        daemon: format_compact!("d{index}"),
        domain: format_compact!("f{domain}"),
        address: format_compact!("10.{}.{}.9:5433", index / 256, index % 256),
        incarnation: 1,
        born: started,
        version: 0,
        status: Status::Alive,
    }
}

/// Adds `count` other daemons to a daemon's list of members, in the failure domains that `domain`
/// returns.
pub fn add_members(driver: &mut Driver, count: usize, domain: fn(usize) -> usize) {
    let rumors = (1..=count).map(|index| rumor(index, domain(index), 1)).collect();
    driver.receive("d1", peer::Message::Member(Message::List(rumors)));
}

/// Parses a configuration object.
pub fn object(value: serde_json::Value) -> Object {
    serde_json::from_value(value).expect("the object has the right fields")
}

/// A configuration with three databases for each service and three servers for each database, in
/// the failure domains that `domain` returns for the database and the server.
pub fn snapshot(services: usize, workspaces: usize, domain: fn(usize, usize) -> usize) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let mut put = |value| snapshot.put(1, object(value));
    for index in 0..8 {
        let region = format!("r{}", index % 3);
        put(serde_json::json!({"kind": "domain", "name": format!("f{index}"), "region": region}));
    }
    for service in 0..services {
        let name = format!("s{service}");
        put(serde_json::json!({"kind": "service", "name": name}));
        put(serde_json::json!({"kind": "rule", "name": name, "service": name}));
        for part in 0..3 {
            let database = format!("{name}-{part}");
            put(serde_json::json!({"kind": "database", "name": database, "service": name}));
            for server in 0..3 {
                let place = domain(service * 3 + part, server);
                put(serde_json::json!({"kind": "server", "name": format!("{database}-{server}"),
                    "database": database, "domain": format!("f{place}"),
                    "address": "127.0.0.1:1", "slots": 16, "connections": 20}));
            }
        }
    }
    let hash = key::hash(SECRET);
    for workspace in 0..workspaces {
        let name = format!("w{workspace}");
        put(serde_json::json!({"kind": "workspace", "name": name, "rate": 1_000_000,
            "burst": 1_000_000}));
        put(serde_json::json!({"kind": "key", "name": format!("k{workspace}"),
            "workspace": name, "hash": hash}));
    }
    snapshot.revision = REVISION;
    snapshot.rebuild_indexes();
    snapshot
}

/// A started daemon with a configuration.
pub fn configured(snapshot: Snapshot) -> Driver {
    let mut state = daemon();
    state.config.snapshot = snapshot;
    state.config.confirmed = Some(Duration::from_secs(1));
    Driver::new(state)
}

/// Logs a caller in to a workspace.
pub fn login(driver: &mut Driver, session: u64, workspace: usize) {
    use gcl_core::caller::{Credential, Event as CallerEvent};
    let address = "192.0.2.1:9".parse().expect("the address is well formed");
    let user = ("user".into(), format_compact!("w{workspace}"));
    let startup = vec![user, ("database".into(), "s0".into())];
    let credential = Credential::new(&format!("k{workspace}.{SECRET}"));
    let events = [
        CallerEvent::Opened { address, encrypted: true },
        CallerEvent::Startup(startup),
        CallerEvent::Password(credential),
    ];
    for event in events {
        driver.feed(Event::Caller(session, event));
    }
}
