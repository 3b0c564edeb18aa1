//! Transaction state of a session.

use crate::config::Route;
use gcl_core::{batch::Status, id};
use std::{sync::Arc, time::Duration};

/// An open transaction.
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent of each other")]
#[derive(Clone, Debug)]
pub struct Open {
    /// Whether it was begun as read-only.
    pub read_only: bool,
    /// The route that was in force when it began.
    pub route: Arc<Route>,
    /// When `BEGIN` arrived.
    pub began: Duration,
    /// The connection that it runs on, set with its first statement.
    pub connection: Option<id::Connection>,
    /// Whether a statement of it was sent on that connection.
    pub started: bool,
    /// Whether a write was sent.
    pub wrote: bool,
    /// Whether its connection was chosen because the server was the primary.
    pub on_primary: bool,
    /// The host that it was forwarded to, set with its first answer.
    pub host: Option<id::Daemon>,
    /// Whether it was counted against its workspace's rate limit.
    pub rate_counted: bool,
}

impl Open {
    /// A transaction without any statement yet.
    #[must_use]
    pub const fn new(
        read_only: bool,
        route: Arc<Route>,
        began: Duration,
        rate_counted: bool,
    ) -> Self {
        Self {
            read_only,
            route,
            began,
            connection: None,
            started: false,
            wrote: false,
            on_primary: false,
            host: None,
            rate_counted,
        }
    }

    /// Whether a statement of it was sent to a server or to a host.
    #[must_use]
    pub const fn has_run(&self) -> bool {
        self.connection.is_some() || self.host.is_some()
    }
}

/// The state of a session's transaction.
#[derive(Clone, Debug, Default)]
pub enum Transaction {
    /// No transaction.
    #[default]
    None,
    /// An open transaction.
    Open(Box<Open>),
    /// Rolled back between statements; the caller has not been informed yet.
    RolledBack,
    /// Failed; only its end is accepted.
    Failed,
}

impl Transaction {
    /// The transaction status reported to the caller.
    #[must_use]
    pub const fn status(&self) -> Status {
        match self {
            Self::None => Status::Idle,
            Self::Open(_) => Status::Open,
            Self::RolledBack | Self::Failed => Status::Failed,
        }
    }
}
