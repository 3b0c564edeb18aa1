//! The operators' configuration: its objects, and how they reach a daemon.
//!
//! The store's revision orders all changes; a daemon never applies a lower one. A few relays of each
//! failure domain follow the store ([`follow`]) and pass changes on along a tree ([`spread`],
//! [`tree`]). Each daemon knows since when nothing can have escaped it ([`proof`]).

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

/// Mean time between two rounds of asking.
const POLL_PERIOD: Duration = Duration::from_millis(800);
/// The same while the configuration is about to be too old to be trusted.
const STALE_POLL_PERIOD: Duration = Duration::from_millis(200);
/// Changes kept to bring others up to date.
const MAX_LOG_CHANGES: usize = 1024;
/// Most changes that get a line each in the record; more get one together.
const MAX_RECORD_LINES: usize = 64;

/// What a daemon holds of the configuration.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The newest configuration.
    pub snapshot: Snapshot,
    /// The monotonic time up to which no change of the store can have escaped this daemon.
    pub confirmed: Option<Duration>,
    /// The monotonic time up to which the store itself, asked by this daemon, confirmed that.
    pub store_confirmed: Option<Duration>,
    /// Grows with each change of the configuration that came into force here.
    pub version: u64,
    /// The revision of the last change of the configuration itself.
    pub applied: id::Revision,
    pub(crate) log: VecDeque<store::Change>,
    pub(crate) log_start: id::Revision,
    pub(crate) role: tree::Role,
    pub(crate) watch: watch::State,
    pub(crate) propagation: propagation::State,
    pub(crate) freshness: freshness::State,
    pub(crate) history: transition::History,
}

/// Starts to follow the store, or those who do.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    on_timer(daemon, now, fx);
}

/// Acts on a message of another daemon.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: Message,
) {
    propagation::on_message(daemon, now, fx, from, message);
}

/// Acts on the regular timer.
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

/// Whether this daemon is about to stop trusting its configuration. A survey succeeds only once
/// every relay has served for a while, so right after a start little time is left for it.
fn nearly_stale(daemon: &Daemon, now: Now) -> bool {
    let bound = Duration::from_millis(daemon.settings.bounds.freshness_ms);
    age(daemon, now).is_some_and(|age| age > bound / 2)
}

/// Acts on an event of the store; tells whether it was this module's.
pub fn on_store(daemon: &mut Daemon, now: Now, fx: &mut Effects, event: &store::Event) -> bool {
    watch::on_store(daemon, now, fx, event)
}

/// The time since the configuration was last known to be the newest, if it ever was.
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

/// Applies changes in order, after which nothing up to `revision` is missed.
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
    let fresh: Vec<store::Change> =
        changes.into_iter().filter(|change| config.snapshot.apply(change)).collect();
    config.snapshot.revision = before.max(revision);
    if first && config.snapshot.revision > 0 {
        config.log_start = config.snapshot.revision;
        config.version += 1;
    }
    if !fresh.is_empty() {
        config.version += 1;
        let newest = fresh.iter().map(store::Change::revision).max();
        config.applied = config.applied.max(newest.unwrap_or_default());
        let old = std::mem::take(&mut config.snapshot.placements);
        config.snapshot.rebuild_indexes();
        transition::record_changes(config, &old, &fresh, now);
        record_applied(daemon, fx, &fresh);
        propagation::push(daemon, now, fx, before, &fresh);
        if !first {
            extend_log(&mut daemon.config, fresh);
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
