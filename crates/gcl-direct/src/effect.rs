//! Outputs of the reducer.

use crate::{backend, caller, gossip::Digest, line::Line, link, store};
use compact_str::CompactString;
use gcl_core::{id, metric::Metric};
use std::time::Duration;

/// An action that the shell carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends to or closes a caller's connection.
    Caller(id::Session, caller::Effect),
    /// Uses a connection to a backend server.
    Backend(id::Connection, backend::Call),
    /// Calls the store.
    Store(store::Call),
    /// Orders the platform to promote a server to primary.
    Promote {
        /// The database.
        database: id::Database,
        /// The server that takes over.
        server: id::Server,
        /// Fencing token; increases whenever another daemon takes over the ordering.
        fence: id::Revision,
    },
    /// Sends a gossip digest to another daemon.
    Peer {
        /// The daemon's listen address for digests, `ip:port`.
        address: CompactString,
        /// The digest.
        digest: Box<Digest>,
    },
    /// Uses a stream between daemons.
    Link(link::Call),
    /// Writes a log line.
    Log(Line),
    /// Records a measurement.
    Metric(Metric),
    /// Reports readiness to the platform's balancer.
    Ready(bool),
    /// Ends the process.
    Exit,
}

/// Effects in the order of their execution.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    list: Vec<Effect>,
}

impl Effects {
    /// Adds an effect of any kind.
    pub fn push(&mut self, effect: Effect) {
        self.list.push(effect);
    }

    /// Sends messages to a caller.
    pub fn reply(&mut self, session: id::Session, replies: Vec<caller::Reply>) {
        self.push(Effect::Caller(session, caller::Effect::Send(replies)));
    }

    /// Closes a caller's connection.
    pub fn close_caller(&mut self, session: id::Session) {
        self.push(Effect::Caller(session, caller::Effect::Close));
    }

    /// Uses a connection to a backend server.
    pub fn backend(&mut self, connection: id::Connection, call: backend::Call) {
        self.push(Effect::Backend(connection, call));
    }

    /// Calls the store.
    pub fn store(&mut self, call: store::Call) {
        self.push(Effect::Store(call));
    }

    /// Uses a stream between daemons.
    pub fn link(&mut self, call: link::Call) {
        self.push(Effect::Link(call));
    }

    /// Writes a log line.
    pub fn log(&mut self, line: Line) {
        self.push(Effect::Log(line));
    }

    /// Increments a counter.
    pub fn count(&mut self, name: &'static str, label: &str) {
        let (name, label) = (name.into(), label.into());
        self.push(Effect::Metric(Metric::Count { name, label, by: 1 }));
    }

    /// Sets a gauge.
    pub fn gauge(&mut self, name: &'static str, label: &str, value: usize) {
        let (name, label) = (name.into(), label.into());
        #[expect(
            clippy::cast_precision_loss,
            reason = "a daemon counts far fewer things than 2^52"
        )]
        let value = value as f64;
        self.push(Effect::Metric(Metric::Gauge { name, label, value }));
    }

    /// Records a duration in a histogram.
    pub fn observe(&mut self, name: &'static str, label: &str, value: Duration) {
        let (name, label) = (name.into(), label.into());
        self.push(Effect::Metric(Metric::Observe { name, label, value }));
    }

    /// Removes and returns all effects.
    #[must_use]
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.list)
    }
}
