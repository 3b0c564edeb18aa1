//! Daemons and times for the tests.

use gcl_core::{
    settings::{Bounds, Listen, Settings},
    state::State,
    time::Now,
};
use std::time::Duration;

/// Settings of a daemon in a failure domain, with ports that nothing listens on.
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
