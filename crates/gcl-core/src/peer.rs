//! Messages between daemons.
//!
//! Delivery is at most once and in order per direction while a stream lives; any message may be
//! lost, delayed or repeated, and each part is written for that.

use crate::{config, group, home, id, limit, member, record, request, run};
use serde::{Deserialize, Serialize};

/// A message to another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A request for a server whose home is the receiver.
    Run(Box<run::Run>),
    /// The answer to a `Run`.
    Answer(Box<run::Answer>),
    /// Requests between entry and home beside `Run`: cancel, release, fate.
    Request(request::Message),
    /// Hand-over between homes.
    Home(home::Message),
    /// Database groups: views, suspicion, horizons.
    Group(group::Message),
    /// Membership.
    Member(member::Message),
    /// Spread of the configuration.
    Config(config::Message),
    /// Borrowing of rate tokens.
    Limit(limit::Message),
    /// Anchors of the record.
    Anchor(record::anchor::Message),
}

/// What came from the peer port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A message arrived.
    Received {
        /// Who sent it.
        from: id::Daemon,
        /// The sender's life.
        incarnation: id::Incarnation,
        /// The message.
        message: Message,
    },
    /// The stream to a daemon broke or could not be opened; messages may be lost.
    Lost(id::Daemon),
}
