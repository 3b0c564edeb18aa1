//! Daemons, settings and times shared by the tests.

use crate::platform::Platform;
use gcl_core::{
    config::object::Object,
    effect::{Effect, Effects},
    limit,
    member::Member,
    settings::{Bounds, Listen, Settings},
    state::State,
    time::Now,
};
use std::{collections::VecDeque, time::Duration};

/// Settings of a daemon in a failure domain, with addresses that nothing listens on.
pub fn settings(daemon: &str, domain: &str, region: &str) -> Settings {
    let address = "127.0.0.1:1".parse().expect("the address is well formed");
    Settings {
        daemon: daemon.into(),
        domain: domain.into(),
        region: region.into(),
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
    }
}

/// A daemon that has not started, with a fixed seed.
pub fn daemon(name: &str) -> State {
    State::new(settings(name, "alpha", "east"), 7)
}

/// The time `ms` milliseconds after the start.
pub const fn at(ms: u64) -> Now {
    Now::at(Duration::from_millis(ms))
}

/// A daemon with the configuration of [`objects`] and two other members.
pub fn configured(name: &str) -> State {
    let mut state = daemon(name);
    let snapshot = &mut state.config.snapshot;
    for (index, object) in objects().into_iter().enumerate() {
        snapshot.put(index as u64 + 1, object);
    }
    snapshot.revision = 100;
    snapshot.rebuild_indexes();
    state.config.confirmed = Some(Duration::ZERO);
    for (name, domain) in [("d1", "alpha"), ("d2", "alpha"), ("d3", "beta")] {
        if name != state.settings.daemon {
            let member = Member {
                daemon: name.into(),
                domain: domain.into(),
                address: "127.0.0.1:1".into(),
                incarnation: 1,
                alive: true,
            };
            state.member.members.insert(name.into(), member);
        }
    }
    claim_seats(&mut state, "altyn");
    state
}

/// Makes a daemon claim the seats of a workspace.
pub fn claim_seats(state: &mut State, workspace: &str) {
    let mut platform = Platform::default();
    let mut fx = Effects::default();
    limit::start(state, at(0), &mut fx);
    let _ = limit::admit(state, at(0), &mut fx, &workspace.into(), 0);
    let mut calls = VecDeque::from(fx.take());
    while let Some(effect) = calls.pop_front() {
        if let Effect::Store(call) = effect
            && let Some(event) = platform.answer(Duration::ZERO, &call)
        {
            limit::on_store(state, at(0), &mut fx, &event);
            calls.extend(fx.take());
        }
    }
}

/// A service of one database with three servers in two failure domains, and a workspace with a key.
pub fn objects() -> Vec<Object> {
    let text = r#"[
        {"kind": "domain", "name": "alpha", "region": "east"},
        {"kind": "domain", "name": "beta", "region": "east"},
        {"kind": "service", "name": "orders-db"},
        {"kind": "database", "name": "orders-1", "service": "orders-db"},
        {"kind": "server", "name": "orders-1-a", "database": "orders-1", "domain": "alpha",
         "address": "127.0.0.1:5401", "slots": 3, "connections": 20},
        {"kind": "server", "name": "orders-1-b", "database": "orders-1", "domain": "alpha",
         "address": "127.0.0.1:5402", "slots": 3, "connections": 20},
        {"kind": "server", "name": "orders-1-c", "database": "orders-1", "domain": "beta",
         "address": "127.0.0.1:5403", "slots": 3, "connections": 20},
        {"kind": "workspace", "name": "altyn", "rate": 100000, "burst": 100000},
        {"kind": "key", "name": "k1", "workspace": "altyn", "hash": ""},
        {"kind": "rule", "name": "orders", "service": "orders-db"}
    ]"#;
    serde_json::from_str(text).expect("the objects are well formed")
}
