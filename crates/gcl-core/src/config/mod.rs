//! The operators' configuration: its objects, and how they reach a daemon.
//!
//! The store's revision orders all changes; a daemon never applies a lower one.

pub mod object;
pub mod snapshot;

use self::{
    object::Object,
    snapshot::{PREFIX, Snapshot},
};
use crate::{effect::Effects, id, state::State as Daemon, store, time::Now, timer};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest wait for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait before the store is asked again.
const RETRY: Duration = Duration::from_millis(500);

/// Messages that spread the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for changes after a revision.
    Ask(id::Revision),
}

/// What a daemon holds of the configuration.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The newest configuration.
    pub snapshot: Snapshot,
    /// When it was last confirmed as the newest, on this daemon's monotonic clock at send time.
    pub confirmed: Option<Duration>,
    listing: Option<(id::Call, Duration)>,
    watch: Option<id::Call>,
}

/// Starts to follow the store.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    list(daemon, now, fx);
}

/// Acts on a message of another daemon.
pub fn on_message(
    _daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _from: &id::Daemon,
    _message: Message,
) {
}

/// Acts on the regular timer.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.config.listing.is_none() && daemon.config.watch.is_none() {
        list(daemon, now, fx);
    }
}

/// Acts on an event of the store; tells whether it was this module's.
pub fn on_store(daemon: &mut Daemon, now: Now, fx: &mut Effects, event: &store::Event) -> bool {
    match event {
        store::Event::Answered { call, result } => match daemon.config.listing {
            Some((listing, sent)) if listing == *call => {
                daemon.config.listing = None;
                on_list(daemon, now, fx, sent, result);
                true
            }
            _ if daemon.config.watch == Some(*call) => {
                daemon.config.watch = None;
                fx.arm(timer::Key::Config, now.mono + RETRY);
                true
            }
            _ => false,
        },
        store::Event::Watched { call, changes, revision } if daemon.config.watch == Some(*call) => {
            on_changes(daemon, now, changes, *revision);
            true
        }
        store::Event::Watched { .. } => false,
    }
}

fn list(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let call = daemon.counters.call();
    daemon.config.listing = Some((call, now.mono));
    fx.store(store::Call { call, op: store::Op::List(PREFIX.into()), timeout: STORE_TIMEOUT });
}

fn on_list(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    sent: Duration,
    result: &Result<store::Reply, store::Failure>,
) {
    let Ok(store::Reply::List(entries, revision)) = result else {
        fx.arm(timer::Key::Config, now.mono + RETRY);
        return;
    };
    if *revision >= daemon.config.snapshot.revision {
        daemon.config.snapshot = read(entries, *revision);
        daemon.config.confirmed = Some(sent);
    }
    let call = daemon.counters.call();
    daemon.config.watch = Some(call);
    let op = store::Op::Watch { prefix: PREFIX.into(), from: revision + 1 };
    fx.store(store::Call { call, op, timeout: STORE_TIMEOUT });
}

fn read(entries: &[store::Entry], revision: id::Revision) -> Snapshot {
    let mut snapshot = Snapshot { revision, ..Snapshot::default() };
    for entry in entries {
        if let Ok(object) = serde_json::from_slice::<Object>(&entry.value) {
            snapshot.put(entry.revision, object);
        }
    }
    snapshot.index();
    snapshot
}

fn on_changes(daemon: &mut Daemon, now: Now, changes: &[store::Change], revision: id::Revision) {
    let snapshot = &mut daemon.config.snapshot;
    for change in changes {
        match change {
            store::Change::Put(entry) => {
                if let Ok(object) = serde_json::from_slice::<Object>(&entry.value) {
                    snapshot.put(entry.revision, object);
                }
            }
            store::Change::Deleted { key, revision } => snapshot.delete(*revision, key),
        }
    }
    snapshot.revision = snapshot.revision.max(revision);
    snapshot.index();
    daemon.config.confirmed = Some(now.mono);
}
