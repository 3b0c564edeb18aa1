//! Inputs of the reducer.

use crate::{backend, caller, gossip::Digest, link, settings::Settings, store};
use gcl_core::{code::Fault, id};

/// An event, passed to the reducer with the current time.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The daemon started.
    Started,
    /// An event on a caller's connection.
    Caller(id::Session, caller::Event),
    /// An event on a connection to a backend server.
    Backend(id::Connection, backend::Event),
    /// A response of the store.
    Store(store::Answer),
    /// The platform answered an order to promote a server.
    Promoted {
        /// The database.
        database: id::Database,
        /// Whether the server takes over; else why not.
        result: std::result::Result<(), Fault>,
    },
    /// A gossip digest from another daemon.
    Peer(Box<Digest>),
    /// An event on a stream between daemons.
    Link(link::Event),
    /// The settings file was reloaded.
    Settings {
        /// Its new content.
        settings: Box<Settings>,
        /// Changed settings of the shell that take effect only at the next start.
        kept: Vec<&'static str>,
    },
    /// A timer may be due.
    Wake,
    /// The process was asked to stop.
    Stop,
}
