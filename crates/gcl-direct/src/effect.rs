//! Everything that the reducer can ask of its shell, as data.

use crate::{backend, caller, gossip::Digest, line::Line, link, store};
use compact_str::CompactString;
use gcl_core::{id, metric::Metric};
use std::time::Duration;

/// Something for the shell to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Acts on a caller's connection.
    Caller(id::Session, caller::Effect),
    /// Acts on a connection to a backend server.
    Backend(id::Connection, backend::Call),
    /// Calls the store.
    Store(store::Call),
    /// Asks the platform to make a server the primary.
    Promote {
        /// The database.
        database: id::Database,
        /// The server that takes over.
        server: id::Server,
        /// Grows with each change of the daemon that orders.
        fence: id::Revision,
    },
    /// Tells another daemon what this one believes.
    Peer {
        /// Where the daemon hears, `ip:port`.
        address: CompactString,
        /// What it is told.
        digest: Box<Digest>,
    },
    /// Acts on a stream to another daemon.
    Link(link::Call),
    /// Writes a line of the log.
    Log(Line),
    /// Reports a measurement.
    Metric(Metric),
    /// Reports readiness to the platform's balancer.
    Ready(bool),
    /// Ends the process.
    Exit,
}

/// Effects in the order in which they are to be carried out.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    list: Vec<Effect>,
}

impl Effects {
    /// Adds any effect.
    pub fn push(&mut self, effect: Effect) {
        self.list.push(effect);
    }

    /// Sends messages to a caller.
    pub fn reply(&mut self, session: id::Session, replies: Vec<caller::Reply>) {
        self.push(Effect::Caller(session, caller::Effect::Send(replies)));
    }

    /// Closes a caller's connection.
    pub fn hang_up(&mut self, session: id::Session) {
        self.push(Effect::Caller(session, caller::Effect::Close));
    }

    /// Acts on a connection to a backend server.
    pub fn backend(&mut self, connection: id::Connection, call: backend::Call) {
        self.push(Effect::Backend(connection, call));
    }

    /// Calls the store.
    pub fn store(&mut self, call: store::Call) {
        self.push(Effect::Store(call));
    }

    /// Acts on a stream to another daemon.
    pub fn link(&mut self, call: link::Call) {
        self.push(Effect::Link(call));
    }

    /// Writes a line of the log.
    pub fn log(&mut self, line: Line) {
        self.push(Effect::Log(line));
    }

    /// Adds one to a counter.
    pub fn count(&mut self, name: &'static str, label: &str) {
        let (name, label) = (name.into(), label.into());
        self.push(Effect::Metric(Metric::Count { name, label, by: 1 }));
    }

    /// Adds a duration to a histogram.
    pub fn observe(&mut self, name: &'static str, label: &str, value: Duration) {
        let (name, label) = (name.into(), label.into());
        self.push(Effect::Metric(Metric::Observe { name, label, value }));
    }

    /// Takes the effects out.
    #[must_use]
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.list)
    }
}
