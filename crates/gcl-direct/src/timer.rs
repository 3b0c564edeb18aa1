//! The timer service: parts subscribe by a key, and the key comes back when its time is there.
//!
//! Arming a key again moves it, so a part never holds more than one timer for one purpose. The
//! shell sleeps until [`Service::next`].

use crate::store::Topic;
use gcl_core::id;
use indexmap::IndexMap;
use std::{collections::BTreeSet, time::Duration};

/// What a timer is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// A session's statement reached its deadline.
    Deadline(id::Session),
    /// A session's statement is tried again.
    Retry(id::Session),
    /// A session rested too long within a transaction.
    Idle(id::Session),
    /// Connections to a server that nobody uses are closed.
    Surplus(id::Server),
    /// Other daemons are told what this one believes.
    Gossip,
    /// This daemon's lease is due for renewal.
    Lease,
    /// A part of the store is asked for again.
    Store(Topic),
    /// A new era of the store goes on.
    Era,
    /// Servers whose entries lapsed are taken as gone.
    Missing,
    /// A database's primary is looked at again.
    Failover(id::Database),
    /// A vacancy among the hosts is filled.
    Role,
    /// A host is asked what has changed.
    News,
    /// A host that has something to answer is looked at.
    Link(id::Daemon),
    /// Another host is asked for the position of a database's primary.
    Feed(id::Database),
    /// The drain goes on.
    Drain,
    /// The grace of the drain is over.
    Grace,
}

/// Armed timers.
#[derive(Clone, Debug, Default)]
pub struct Service {
    armed: IndexMap<Key, Duration>,
    queue: BTreeSet<(Duration, Key)>,
}

impl Service {
    /// Fires `key` at the time `at`, replacing an earlier order.
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

    /// Forgets `key`.
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

    /// Takes a timer that is due.
    pub fn pop(&mut self, now: Duration) -> Option<Key> {
        let due = self.queue.first().is_some_and(|(at, _)| *at <= now);
        let (_, key) = due.then(|| self.queue.pop_first()).flatten()?;
        self.armed.swap_remove(&key);
        Some(key)
    }
}
