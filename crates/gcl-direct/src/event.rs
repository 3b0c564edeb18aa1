//! Everything that can happen to a daemon, as one type.

use crate::{backend, caller, gossip::Digest, link, settings::Settings, store};
use gcl_core::{code::Fault, id};

/// Something that happened, fed to the reducer with the time.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The daemon started.
    Started,
    /// Something happened on a caller's connection.
    Caller(id::Session, caller::Event),
    /// Something happened on a connection to a backend server.
    Backend(id::Connection, backend::Event),
    /// Something came from the store.
    Store(store::Answer),
    /// The platform answered an order to promote a server.
    Promoted {
        /// The database.
        database: id::Database,
        /// Whether the server takes over; else why not.
        result: std::result::Result<(), Fault>,
    },
    /// Another daemon tells what it believes.
    Peer(Box<Digest>),
    /// Something happened on a stream between daemons.
    Link(link::Event),
    /// The settings file was read again.
    Settings {
        /// What it holds now.
        settings: Box<Settings>,
        /// Settings of the shell that changed and stay as they were until the next start.
        kept: Vec<&'static str>,
    },
    /// A timer may be due.
    Wake,
    /// The process was told to stop.
    Stop,
}
