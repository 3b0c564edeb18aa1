//! Everything that can happen to a daemon, as one type.

use crate::{caller, id, operator, peer, record, server, store, timer};
use serde::{Deserialize, Serialize};

/// Something that happened, fed to the reducer with the time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The daemon started.
    Started,
    /// Something happened on a caller's connection.
    Caller(id::Session, caller::Event),
    /// Something came from the peer port.
    Peer(peer::Event),
    /// Something came from the platform store.
    Store(store::Event),
    /// Something happened at a backend server.
    Server(id::Server, server::Event),
    /// An operator asks.
    Operator(id::Operation, operator::Request),
    /// The head of the record's chain.
    Head(record::chain::Head),
    /// A timer fired.
    Timer(timer::Key),
    /// The process was told to stop.
    Stop,
}
