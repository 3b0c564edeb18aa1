//! The inputs of the reducer.

use crate::{caller, id, operator, peer, record, server, store, timer};
use serde::{Deserialize, Serialize};

/// An input of the reducer, applied together with the current time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The daemon started.
    Started,
    /// An event on a caller's connection.
    Caller(id::Session, caller::Event),
    /// An event on the connections to other daemons.
    Peer(peer::Event),
    /// An answer or a watch event of the platform store.
    Store(store::Event),
    /// An event on the connections to a backend server.
    Server(id::Server, server::Event),
    /// An operator's HTTP request.
    Operator(id::Operation, operator::Request),
    /// The head of the audit record's hash chain.
    Head(record::chain::Head),
    /// A timer fired.
    Timer(timer::Key),
    /// The process was asked to stop.
    Stop,
}
