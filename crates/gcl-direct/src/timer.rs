//! Timers, identified by a key that says what to do when the timer fires.
//!
//! Arming a key again replaces its timer, so there is at most one timer for each key. The shell
//! sleeps until [`Service::next`].

use crate::store::Topic;
use gcl_core::id;
use indexmap::IndexMap;
use std::{collections::BTreeSet, time::Duration};

/// The purpose of a timer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// A session's statement reaches its deadline.
    Deadline(id::Session),
    /// Retry of a session's statement.
    Retry(id::Session),
    /// A session has been idle for too long within a transaction.
    Idle(id::Session),
    /// Closing of a server's unused connections.
    IdleConnections(id::Server),
    /// Sending of gossip digests.
    Gossip,
    /// Acquisition or renewal of this daemon's lease.
    Lease,
    /// Retry of a read or watch of the store.
    Store(Topic),
    /// Next step of the change to a new era of the store.
    Era,
    /// Removal of servers whose store entries have lapsed.
    Lapsed,
    /// Closing of evacuated failure domains.
    Evacuation,
    /// Review of a database's primary.
    Failover(id::Database),
    /// Filling of a vacancy among the hosts.
    Role,
    /// Poll of a host by an entry.
    Discovery,
    /// Check of a host that has unanswered statements or is unreachable.
    Link(id::Daemon),
    /// Poll of another host for the position of a database's primary.
    Position(id::Database),
    /// Next step of the drain.
    Drain,
    /// End of the drain's grace period.
    Grace,
}

/// Armed timers.
#[derive(Clone, Debug, Default)]
pub struct Service {
    armed: IndexMap<Key, Duration>,
    queue: BTreeSet<(Duration, Key)>,
}

impl Service {
    /// Arms `key` to fire at the time `at`, in place of an earlier one.
    pub fn arm(&mut self, key: Key, at: Duration) {
        self.cancel(&key);
        self.queue.insert((at, key.clone()));
        self.armed.insert(key, at);
    }

    /// Arms `key` unless it already fires by `at`.
    pub fn arm_by(&mut self, key: Key, at: Duration) {
        if self.armed.get(&key).is_none_or(|armed| *armed > at) {
            self.arm(key, at);
        }
    }

    /// Whether `key` is armed.
    #[must_use]
    pub fn is_armed(&self, key: &Key) -> bool {
        self.armed.contains_key(key)
    }

    /// Disarms `key`.
    pub fn cancel(&mut self, key: &Key) {
        if let Some(at) = self.armed.swap_remove(key) {
            self.queue.remove(&(at, key.clone()));
        }
    }

    /// When the next timer fires.
    #[must_use]
    pub fn next(&self) -> Option<Duration> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first timer that is due.
    pub fn pop(&mut self, now: Duration) -> Option<Key> {
        let due = self.queue.first().is_some_and(|(at, _)| *at <= now);
        let (_, key) = due.then(|| self.queue.pop_first()).flatten()?;
        self.armed.swap_remove(&key);
        Some(key)
    }
}
