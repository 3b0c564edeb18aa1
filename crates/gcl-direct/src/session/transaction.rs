//! The state of a session's transaction.

use crate::config::Route;
use gcl_core::{batch::Status, id};
use std::{sync::Arc, time::Duration};

/// An open transaction.
#[expect(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
#[derive(Clone, Debug)]
pub struct Open {
    /// Whether it only reads.
    pub read_only: bool,
    /// The route it began on.
    pub route: Arc<Route>,
    /// When its first statement came.
    pub began: Duration,
    /// The connection that it runs on, once it has run something.
    pub connection: Option<id::Connection>,
    /// Whether a write was sent.
    pub wrote: bool,
    /// Whether its connection was chosen as the primary.
    pub on_primary: bool,
    /// The host that it runs at, once that has run something.
    pub host: Option<id::Daemon>,
    /// Whether it was counted in its workspace's rate.
    pub admitted: bool,
}

impl Open {
    /// A transaction that has run nothing yet.
    #[must_use]
    pub const fn new(read_only: bool, route: Arc<Route>, began: Duration, admitted: bool) -> Self {
        Self {
            read_only,
            route,
            began,
            connection: None,
            wrote: false,
            on_primary: false,
            host: None,
            admitted,
        }
    }
}

/// The state of a session's transaction.
#[derive(Clone, Debug, Default)]
pub enum Transaction {
    /// None is open.
    #[default]
    None,
    /// One is open.
    Open(Box<Open>),
    /// It was rolled back while the caller rested, who does not know that yet.
    Lost,
    /// It failed, and waits for the caller to end it.
    Failed,
}

impl Transaction {
    /// The state as callers see it.
    #[must_use]
    pub const fn status(&self) -> Status {
        match self {
            Self::None => Status::Idle,
            Self::Open(_) => Status::Open,
            Self::Lost | Self::Failed => Status::Failed,
        }
    }
}
