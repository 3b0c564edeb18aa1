//! Timers: a module arms a key, and the key comes back as an event when it is due.
//!
//! Arming a key again replaces its timer, so there is at most one timer for each purpose.

use crate::id;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The purpose of a timer; there is at most one timer for each key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// The daemon's periodic work.
    Tick,
    /// The limit for completing a login.
    Login(id::Session),
    /// The idle limit of a session, or its time limit while the daemon drains.
    Idle(id::Session),
    /// A request's deadline at its entry.
    Deadline(id::Request),
    /// A request's next attempt, or the next query of its fate.
    Retry(id::Request),
    /// Deadlines, upkeep and retries at the home of a server.
    Queue(id::Server),
    /// The idle limit of a transaction at its home.
    Transaction(id::Transaction),
    /// Polls and timeouts of a database group.
    Group(id::Database),
    /// The time limit of a failover step.
    Failover(id::Database),
    /// Membership probes.
    Probe,
    /// Distribution of the configuration.
    Config,
    /// Periodic work on rate-limit seats.
    Seat,
    /// Anchors of the audit record.
    Anchor,
    /// The time limit of an operator's request.
    Operation(id::Operation),
}

/// An instruction for the timer service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Fires `key` at the monotonic time `at`, replacing any earlier timer of that key.
    Arm {
        /// The key.
        key: Key,
        /// Monotonic time since the daemon started.
        at: Duration,
    },
    /// Cancels the timer of a key.
    Cancel(Key),
}
