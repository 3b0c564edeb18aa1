//! The settings that a daemon reads at startup, such as its name and addresses.
//!
//! What operators change at run time is in [`crate::config`].

mod check;
mod parse;
pub mod schema;

pub use self::parse::{Problem, Result, Strictness, parse, validate};

use crate::id;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers, `PostgreSQL` protocol.
    pub caller: SocketAddr,
    /// Other daemons.
    pub peer: SocketAddr,
    /// Operators, health checks and metrics, HTTP.
    pub operator: SocketAddr,
}

/// Files of a certificate, its key and the authority that signs the other side's certificate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// PEM file of the certificate chain.
    pub certificate: String,
    /// PEM file of the private key.
    pub key: String,
    /// PEM file of the authority, for peers.
    #[serde(default)]
    pub authority: Option<String>,
}

/// Bounds of a daemon, all with defaults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Most caller connections.
    pub connections: usize,
    /// Most caller connections from one address.
    pub connections_per_address: usize,
    /// Most caller connections that have not logged in yet.
    pub half_open: usize,
    /// Largest caller message in bytes.
    pub message_bytes: usize,
    /// Largest answer in bytes.
    pub answer_bytes: usize,
    /// Longest login in milliseconds.
    pub login_ms: u64,
    /// Longest wait for the rest of a message in milliseconds.
    pub read_ms: u64,
    /// Longest write to a caller in milliseconds.
    pub write_ms: u64,
    /// Longest idle time of a caller in milliseconds.
    pub idle_ms: u64,
    /// Longest idle time within a transaction in milliseconds.
    pub transaction_idle_ms: u64,
    /// Default deadline of a request in milliseconds.
    pub request_ms: u64,
    /// Longest drain in milliseconds.
    pub drain_ms: u64,
    /// Most requests queued for one server.
    pub queue: usize,
    /// Age in milliseconds at which an unconfirmed configuration stops admitting keys.
    pub freshness_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 20_000,
            connections_per_address: 5_000,
            half_open: 1_000,
            message_bytes: 1 << 20,
            answer_bytes: 16 << 20,
            login_ms: 5_000,
            read_ms: 30_000,
            write_ms: 30_000,
            idle_ms: 3_600_000,
            transaction_idle_ms: 30_000,
            request_ms: 10_000,
            drain_ms: 30_000,
            queue: 512,
            freshness_ms: 5_000,
        }
    }
}

/// A daemon that is contacted at startup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// The daemon's name.
    pub daemon: id::Daemon,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Its peer port as `ip:port`.
    pub address: CompactString,
}

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name, unique in the fleet.
    pub daemon: id::Daemon,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The region of the domain.
    pub region: id::Region,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// The peer address that others dial, if not the one it listens on.
    #[serde(default)]
    pub advertise: Option<CompactString>,
    /// Base URL of the platform's store, `http://ip:port`.
    pub store: String,
    /// Daemons to contact first.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Bounds of the daemon.
    #[serde(default)]
    pub bounds: Bounds,
    /// Certificate of the caller port.
    #[serde(default)]
    pub caller_tls: Option<Tls>,
    /// Certificate and authority of the peer port.
    #[serde(default)]
    pub peer_tls: Option<Tls>,
    /// Certificate of the operator port.
    #[serde(default)]
    pub operator_tls: Option<Tls>,
    /// Whether the caller port may be reached beyond loopback without TLS.
    #[serde(default)]
    pub plain_caller: bool,
    /// Whether the operator port may be reached beyond loopback without TLS.
    #[serde(default)]
    pub plain_operator: bool,
}

impl Settings {
    /// The peer address that others dial.
    #[must_use]
    pub fn peer_address(&self) -> CompactString {
        self.advertise
            .clone()
            .unwrap_or_else(|| compact_str::format_compact!("{}", self.listen.peer))
    }

    /// Default deadline of a request.
    #[must_use]
    pub const fn request_timeout(&self) -> Duration {
        Duration::from_millis(self.bounds.request_ms)
    }
}
