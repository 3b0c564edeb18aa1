//! Messages between daemons.
//!
//! While a stream is open, messages of one direction are delivered in order and at most once. Apart
//! from that, any message may be lost, delayed or repeated, and every module tolerates that.

use crate::{config, group, home, id, limit, member, record, request, run};
use serde::{Deserialize, Serialize};

/// A message to another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A request for a server whose home is the receiver.
    Run(Box<run::Run>),
    /// The answer to a `Run`.
    Answer(Box<run::Answer>),
    /// Other requests between an entry and a home: cancel, release, and query of a fate.
    Request(request::Message),
    /// Handover of a server between homes.
    Home(home::Message),
    /// Database groups: views, suspicions, horizons.
    Group(group::Message),
    /// The membership protocol.
    Member(member::Message),
    /// Distribution of the configuration.
    Config(config::Message),
    /// Borrowing of rate tokens.
    Limit(limit::Message),
    /// Anchors of the audit record.
    Anchor(record::anchor::Message),
}

/// An event on the connections to other daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A message arrived.
    Received {
        /// The sender.
        from: id::Daemon,
        /// The sender's incarnation.
        incarnation: id::Incarnation,
        /// The message.
        message: Message,
    },
    /// The stream to a daemon broke or could not be opened; messages may be lost.
    Lost(id::Daemon),
}
