//! The outputs of the reducer: instructions for the shell that runs it.

use crate::{caller, id, metric::Metric, operator, peer, record, server, store, timer};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An instruction for the shell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Acts on a caller's connection.
    Caller(id::Session, caller::Effect),
    /// Sends a message to a daemon.
    Peer {
        /// The receiver.
        to: id::Daemon,
        /// Address of the receiver's peer port as `ip:port`, empty for this daemon itself.
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
    /// Arms or cancels a timer.
    Timer(timer::Effect),
    /// Writes a line of the record.
    Record(record::Line),
    /// Requests the head of the record's hash chain, returned as [`crate::event::Event::Head`].
    ReadHead,
    /// Updates a metric.
    Metric(Metric),
    /// Reports readiness to the platform's load balancer.
    Ready(bool),
    /// Stops accepting callers.
    CloseListeners,
    /// Ends the process.
    Exit,
}

/// Collects effects in the order in which they are to be executed.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    list: Vec<Effect>,
}

impl Effects {
    /// Appends an effect.
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

    /// Increases a counter.
    pub fn count(&mut self, name: &'static str, label: impl Into<CompactString>, by: u64) {
        let name = CompactString::const_new(name);
        self.push(Effect::Metric(Metric::Count { name, label: label.into(), by }));
    }

    /// Sets a gauge.
    pub fn gauge(&mut self, name: &'static str, label: impl Into<CompactString>, value: f64) {
        let name = CompactString::const_new(name);
        self.push(Effect::Metric(Metric::Gauge { name, label: label.into(), value }));
    }

    /// Records a duration in a histogram.
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

    /// The effects collected so far.
    #[must_use]
    pub fn as_slice(&self) -> &[Effect] {
        &self.list
    }

    /// Removes and returns the effects collected so far.
    #[must_use]
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.list)
    }
}
