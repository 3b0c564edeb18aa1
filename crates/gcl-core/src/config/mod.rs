//! The operators' configuration: its objects and how they are distributed to the daemons.
//!
//! The store's revision orders all changes, and a daemon never goes back to a lower one. A few
//! relays in each failure domain watch the store ([`watch`]) and distribute changes along a tree
//! ([`propagation`], [`tree`]). Each daemon tracks the time up to which it cannot have missed a
//! change ([`freshness`]).

pub mod document;
pub mod file;
pub mod freshness;
pub mod object;
pub mod placement;
pub mod propagation;
pub mod selector;
pub mod snapshot;
pub mod transition;
pub mod tree;
pub mod validate;
pub mod watch;

pub use propagation::{Message, Response};

use self::{document::Document, snapshot::Snapshot};
use crate::{
    effect::Effects,
    id,
    record::{self, Line},
    state::State as Daemon,
    store,
    time::Now,
    timer,
};
use compact_str::{CompactString, format_compact};
use std::{collections::VecDeque, time::Duration};

/// Mean interval between polls of the store or of other daemons.
const POLL_PERIOD: Duration = Duration::from_millis(800);
/// Mean interval once the configuration has reached half of its freshness bound.
const STALE_POLL_PERIOD: Duration = Duration::from_millis(200);
/// Most changes kept in the log for daemons that are behind.
const MAX_LOG_CHANGES: usize = 1024;
/// Most changes recorded with a line each; a larger batch gets a single line.
const MAX_RECORD_LINES: usize = 64;

/// The configuration held by this daemon and the state of its distribution.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The newest configuration known.
    pub snapshot: Snapshot,
    /// The monotonic time up to which this daemon cannot have missed a change in the store.
    pub confirmed: Option<Duration>,
    /// The same, as far as this daemon's own reads of the store confirmed it.
    pub store_confirmed: Option<Duration>,
    /// Incremented whenever a change of the configuration takes effect in this daemon.
    pub version: u64,
    /// The revision of the last change to the configuration; the store's may be higher.
    pub applied: id::Revision,
    pub(crate) log: VecDeque<store::Change>,
    /// The revision after which the log holds every change.
    pub(crate) log_start: id::Revision,
    pub(crate) role: tree::Role,
    pub(crate) watch: watch::State,
    pub(crate) propagation: propagation::State,
    pub(crate) freshness: freshness::State,
    pub(crate) history: transition::History,
}

/// Starts to watch the store, or to poll the daemons that do.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    on_timer(daemon, now, fx);
}

/// Handles a message from another daemon.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: Message,
) {
    propagation::on_message(daemon, now, fx, from, message);
}

/// Handles the periodic timer.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    daemon.config.role = tree::role(daemon);
    freshness::update_role(daemon, now);
    watch::tick(daemon, now, fx);
    propagation::tick(daemon, now, fx);
    report_metrics(daemon, now, fx);
    let wait = daemon.random.jitter(if nearly_stale(daemon, now) {
        STALE_POLL_PERIOD
    } else {
        POLL_PERIOD
    });
    fx.arm(timer::Key::Config, now.mono + wait);
}

/// Whether the configuration has reached half of its freshness bound. A survey of the relays
/// succeeds only once every relay has held that role for a while, so little time is left for it
/// right after a start.
fn nearly_stale(daemon: &Daemon, now: Now) -> bool {
    let bound = Duration::from_millis(daemon.settings.bounds.freshness_ms);
    age(daemon, now).is_some_and(|age| age > bound / 2)
}

/// Handles an event of the store; returns whether it belonged to this module.
pub fn on_store(daemon: &mut Daemon, now: Now, fx: &mut Effects, event: &store::Event) -> bool {
    watch::on_store(daemon, now, fx, event)
}

/// The time since the configuration was last confirmed to be current, if it ever was.
#[must_use]
pub fn age(daemon: &Daemon, now: Now) -> Option<Duration> {
    daemon.config.confirmed.map(|then| now.since(then))
}

fn report_metrics(daemon: &Daemon, now: Now, fx: &mut Effects) {
    let revision = f64::from(u32::try_from(daemon.config.snapshot.revision).unwrap_or(u32::MAX));
    fx.gauge("gcl_config_revision", "", revision);
    if let Some(age) = age(daemon, now) {
        fx.gauge("gcl_config_age_seconds", "", age.as_secs_f64());
    }
}

/// Applies changes in order; they complete the configuration up to `revision`.
pub(crate) fn apply(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    changes: Vec<store::Change>,
    revision: id::Revision,
) {
    let config = &mut daemon.config;
    let first = config.snapshot.revision == 0;
    let before = config.snapshot.revision;
    let accepted: Vec<store::Change> =
        changes.into_iter().filter(|change| config.snapshot.apply(change)).collect();
    config.snapshot.revision = before.max(revision);
    if first && config.snapshot.revision > 0 {
        config.log_start = config.snapshot.revision;
        config.version += 1;
    }
    if !accepted.is_empty() {
        config.version += 1;
        let newest = accepted.iter().map(store::Change::revision).max();
        config.applied = config.applied.max(newest.unwrap_or_default());
        let old = std::mem::take(&mut config.snapshot.placements);
        config.snapshot.rebuild_indexes();
        transition::record_changes(config, &old, &accepted, now);
        record_applied(daemon, fx, &accepted);
        propagation::push(daemon, now, fx, before, &accepted);
        if !first {
            extend_log(&mut daemon.config, accepted);
        }
    }
    freshness::apply_pending(daemon);
}

fn extend_log(config: &mut State, changes: Vec<store::Change>) {
    config.log.extend(changes);
    while config.log.len() > MAX_LOG_CHANGES {
        if let Some(change) = config.log.pop_front() {
            config.log_start = config.log_start.max(change.revision());
        }
    }
}

fn record_applied(daemon: &Daemon, fx: &mut Effects, changes: &[store::Change]) {
    fx.count("gcl_config_changes_total", "", changes.len() as u64);
    if changes.len() > MAX_RECORD_LINES {
        let reason = format_compact!("{} objects came into force", changes.len());
        record_line(fx, daemon.config.snapshot.revision, reason);
        return;
    }
    for change in changes {
        record_line(fx, change.revision(), summary(change));
    }
}

fn record_line(fx: &mut Effects, revision: id::Revision, reason: CompactString) {
    fx.record(Line { revision: Some(revision), reason, ..Line::new(record::Kind::Config) });
}

fn summary(change: &store::Change) -> CompactString {
    match change {
        store::Change::Put(entry) if entry.key == snapshot::GUARD => {
            CompactString::const_new("route keys may have moved")
        }
        store::Change::Put(entry) => {
            let Some(document) = Document::decode(&entry.value) else {
                return format_compact!("{} is no object", entry.key);
            };
            let verb = if document.removed { "removed" } else { "in force" };
            format_compact!("{} {verb} by change '{}'", entry.key, document.change)
        }
        store::Change::Deleted { key, .. } => format_compact!("{key} deleted"),
    }
}
