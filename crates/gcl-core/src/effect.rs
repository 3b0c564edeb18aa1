//! Everything that the reducer can ask of its shell, as data.

use crate::{caller, id, metric::Metric, operator, peer, record, server, store, timer};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Something for the shell to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Acts on a caller's connection.
    Caller(id::Session, caller::Effect),
    /// Sends a message to a daemon, by name and address of its peer port.
    Peer {
        /// The receiver.
        to: id::Daemon,
        /// Its peer port as `ip:port`, empty for this daemon itself.
        address: CompactString,
        /// The message.
        message: peer::Message,
    },
    /// Calls the platform store.
    Store(store::Call),
    /// Calls a backend server.
    Server(id::Server, server::Call),
    /// Answers an operator.
    Operator(id::Operation, operator::Response),
    /// Acts on the timer service.
    Timer(timer::Effect),
    /// Writes a line of the record.
    Record(record::Line),
    /// Asks for the head of the record's chain, as [`crate::event::Event::Head`].
    ReadHead,
    /// Reports a measurement.
    Metric(Metric),
    /// Reports readiness to the platform's balancer.
    Ready(bool),
    /// Stops accepting callers.
    CloseListeners,
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

    /// Acts on a caller's connection.
    pub fn caller(&mut self, session: id::Session, effect: caller::Effect) {
        self.push(Effect::Caller(session, effect));
    }

    /// Sends replies to a caller.
    pub fn reply(&mut self, session: id::Session, replies: Vec<caller::Reply>) {
        self.caller(session, caller::Effect::Send(replies));
    }

    /// Calls the platform store.
    pub fn store(&mut self, call: store::Call) {
        self.push(Effect::Store(call));
    }

    /// Calls a backend server.
    pub fn server(&mut self, server: &id::Server, call: server::Call) {
        self.push(Effect::Server(server.clone(), call));
    }

    /// Arms a timer.
    pub fn arm(&mut self, key: timer::Key, at: Duration) {
        self.push(Effect::Timer(timer::Effect::Arm { key, at }));
    }

    /// Cancels a timer.
    pub fn cancel(&mut self, key: timer::Key) {
        self.push(Effect::Timer(timer::Effect::Cancel(key)));
    }

    /// Writes a line of the record.
    pub fn record(&mut self, line: record::Line) {
        self.push(Effect::Record(line));
    }

    /// Adds to a counter.
    pub fn count(&mut self, name: &'static str, label: impl Into<CompactString>, by: u64) {
        let name = CompactString::const_new(name);
        self.push(Effect::Metric(Metric::Count { name, label: label.into(), by }));
    }

    /// Sets a gauge.
    pub fn gauge(&mut self, name: &'static str, label: impl Into<CompactString>, value: f64) {
        let name = CompactString::const_new(name);
        self.push(Effect::Metric(Metric::Gauge { name, label: label.into(), value }));
    }

    /// Adds a duration to a histogram.
    pub fn observe(
        &mut self,
        name: &'static str,
        label: impl Into<CompactString>,
        value: Duration,
    ) {
        let name = CompactString::const_new(name);
        self.push(Effect::Metric(Metric::Observe { name, label: label.into(), value }));
    }

    /// Answers an operator.
    pub fn answer(&mut self, operation: id::Operation, response: operator::Response) {
        self.push(Effect::Operator(operation, response));
    }

    /// The effects so far.
    #[must_use]
    pub fn as_slice(&self) -> &[Effect] {
        &self.list
    }

    /// Takes the effects out.
    #[must_use]
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.list)
    }
}
