//! Follows the contents of the store: the configuration, the servers, and the coordination keys.
//!
//! Each topic is read once and then watched from one revision to the next. A failed watch is
//! requested again after a pause; if the store has compacted the history, the topic is read again.
//! A server entry that lapses during or shortly after an outage of the store is kept until the
//! server had time to register itself again.

mod coordination;
mod server;
mod silence;

pub use self::{
    server::on_lapsed,
    silence::{is_current, refresh_servers, view_age},
};

use self::{coordination::on_keys, server::on_servers};
use crate::{
    config::Config,
    effect::Effects,
    era, evacuation, failover, home, limit,
    line::Line,
    quorum, registration, revocation,
    role::{self, Role},
    session,
    state::State as Daemon,
    store::{Answer, Call, Contents, Event, Failure, Result, Topic},
    timer,
};
use gcl_core::{id, time::Now};
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Mean delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum multiple of that delay after repeated failures, in a fleet with homes. A host that the
/// store rejects receives new configurations from its peers, and the store counts rejected calls
/// as well.
const MAX_RETRY_FACTOR: u32 = 4;
/// The same in a fleet of hosts only.
const MAX_RETRY_FACTOR_HOSTS_ONLY: u32 = 2;
/// Pause between watches of the coordination keys. Each change there ends the watch of every
/// daemon, and urgent changes travel in digests.
const COORDINATION_PAUSE: Duration = Duration::from_secs(2);
/// Pause between watches of the configuration in a fleet with homes, so that versions in quick
/// succession end one watch. The fleet's time bounds for configurations allow it.
const CONFIG_PAUSE: Duration = Duration::from_millis(900);
/// Pause between watches of the servers, so that changes in quick succession end one watch.
const SERVERS_PAUSE: Duration = Duration::from_millis(200);
/// The same while a deployment starts, when every server registers itself.
const STARTUP_PAUSE: Duration = Duration::from_millis(1500);
/// Age of a daemon up to which its deployment may be starting.
const STARTUP: Duration = Duration::from_secs(5);

/// Mean delay, per listed daemon, before a topic is read again: the others read it as well.
const REREAD_STEP: Duration = Duration::from_millis(2);

/// How long a daemon that is no longer listed still counts in checks whether most or all daemons
/// are reachable.
pub const DEPARTED_RETENTION: Duration = Duration::from_secs(12);

/// Progress of one topic.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// The revision up to which the topic is known.
    revision: id::Revision,
    /// Whether the whole topic was read since the start, the last restore or the last compaction.
    read: bool,
    /// The revision that is watched from.
    watched_from: Option<id::Revision>,
    failing_since: Option<Duration>,
    /// Number of calls that failed since then.
    failures: u32,
}

/// Progress of all topics.
#[derive(Clone, Debug, Default)]
pub struct State {
    topics: IndexMap<Topic, Progress>,
    silence: silence::State,
    /// When a call to the store last failed.
    last_failure: Option<Duration>,
    /// Daemons that are no longer listed, with their last incarnation, and since when.
    departed: IndexMap<id::Daemon, (id::Incarnation, Duration)>,
    /// Daemons that are listed, with their incarnation.
    listed: IndexMap<id::Daemon, id::Incarnation>,
    /// Servers whose entries lapsed, and until when they are kept.
    lapsed: IndexMap<id::Server, Duration>,
    /// Removed servers, with the start time of their last incarnation.
    removed: IndexMap<id::Server, u64>,
}

impl State {
    /// Daemons that are listed, or were recently.
    pub fn recent_members(&self, now: Now) -> impl Iterator<Item = &id::Daemon> {
        let departed = self.departed_members();
        let recent = departed.filter(move |(.., at)| now.since(*at) < DEPARTED_RETENTION);
        self.listed.keys().chain(recent.map(|(name, ..)| name))
    }

    /// Daemons that are no longer listed, with their last incarnation, and since when.
    pub fn departed_members(
        &self,
    ) -> impl Iterator<Item = (&id::Daemon, id::Incarnation, Duration)> {
        self.departed.iter().map(|(name, (incarnation, at))| (name, *incarnation, *at))
    }

    fn list(&mut self, name: &id::Daemon, incarnation: id::Incarnation) {
        self.departed.swap_remove(name);
        self.listed.insert(name.clone(), incarnation);
    }

    fn unlist(&mut self, now: Now, name: &id::Daemon) {
        if let Some(incarnation) = self.listed.swap_remove(name) {
            self.departed.insert(name.clone(), (incarnation, now.mono));
        }
    }

    /// The revision up to which a topic is known.
    #[must_use]
    pub fn revision(&self, topic: Topic) -> id::Revision {
        self.topics.get(&topic).map_or(0, |progress| progress.revision)
    }

    /// Whether each topic was read since the start or the last restore of the store.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        Topic::ALL.iter().all(|topic| self.topics.get(topic).is_some_and(|progress| progress.read))
    }
}

/// Follows every topic, as a host does.
pub fn start(daemon: &mut Daemon, fx: &mut Effects) {
    for topic in Topic::ALL {
        on_timer(daemon, fx, topic);
    }
}

/// Repeats a topic's failed call.
pub fn on_timer(daemon: &mut Daemon, fx: &mut Effects, topic: Topic) {
    let progress = daemon.watch.topics.entry(topic).or_default();
    if !progress.read || daemon.role.current != Role::Host {
        fx.store(Call::Read(topic));
    } else if progress.watched_from.is_none() {
        progress.watched_from = Some(progress.revision);
        fx.store(Call::Watch(topic, progress.revision));
    }
}

/// Reads every topic again after a restore of the store: a watch might miss changes that the
/// restore reverted.
pub fn on_era(daemon: &mut Daemon, now: Now) {
    // Like an outage: servers that are missing from the snapshot have time to register again.
    daemon.watch.last_failure = Some(now.mono);
    role::on_era(daemon);
    for group in daemon.groups.values_mut() {
        (group.key_revision, group.key_order) = (0, 0);
    }
    for topic in Topic::ALL {
        if let Some(progress) = daemon.watch.topics.get_mut(&topic) {
            (progress.read, progress.watched_from) = (false, None);
            schedule_read(daemon, now, topic);
        }
    }
}

/// Schedules a read of a topic, with jitter since all listed daemons read it at the same time.
fn schedule_read(daemon: &mut Daemon, now: Now, topic: Topic) {
    if daemon.role.current == Role::Host {
        let listed = u32::try_from(daemon.members.len()).unwrap_or(u32::MAX);
        let pause = daemon.random.jitter(REREAD_STEP * listed);
        daemon.timers.arm(timer::Key::Store(topic), now.mono + pause);
    }
}

/// Handles a response of the store. One from an earlier era counts as lost.
pub fn on_answer(daemon: &mut Daemon, now: Now, fx: &mut Effects, answer: Answer) {
    era::on_answer(daemon, now, fx, answer.era);
    silence::on_answer(daemon, now, fx, &answer);
    let late = answer.era != 0 && answer.era < daemon.era.current;
    on_event(daemon, now, fx, if late { answer.event.into_lost() } else { answer.event });
}

fn on_event(daemon: &mut Daemon, now: Now, fx: &mut Effects, event: Event) {
    match event {
        Event::Read(topic, result) => on_contents(daemon, now, fx, topic, result, true),
        Event::Watched(topic, after, result) => {
            let progress = daemon.watch.topics.entry(topic).or_default();
            // Another watch may have started since, in a later era.
            if progress.watched_from.take_if(|watched| *watched == after).is_some() {
                on_contents(daemon, now, fx, topic, result, false);
            }
        }
        Event::Written(call, result) => {
            if !revocation::on_written(daemon, fx, call, &result)
                && !quorum::record::on_written(daemon, fx, call, &result)
                && !registration::on_written(daemon, now, fx, call, result)
            {
                failover::on_written(daemon, now, fx, call, result);
            }
        }
        Event::Granted(result) => {
            record_failure(daemon, now, result.is_err());
            registration::on_granted(daemon, now, fx, result);
        }
        Event::Renewed(lease, result) => {
            record_failure(daemon, now, result.is_err());
            registration::on_renewed(daemon, now, fx, lease, result);
        }
        Event::Revoked(lease, result) => revocation::on_revoked(fx, lease, result),
    }
}

const fn record_failure(daemon: &mut Daemon, now: Now, failed: bool) {
    if failed {
        daemon.watch.last_failure = Some(now.mono);
    }
}

fn on_contents(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    topic: Topic,
    result: Result<(Contents, id::Revision)>,
    full: bool,
) {
    let progress = daemon.watch.topics.entry(topic).or_default();
    let first = !progress.read;
    match result {
        Ok((contents, revision)) => {
            progress.failures = 0;
            if let Some(since) = progress.failing_since.take() {
                let line = Line::state_change("store regained").with("topic", topic.name());
                fx.log(line.millis("away", now.since(since)));
            }
            // A read may be older than a watch that completed before it.
            if full && revision < progress.revision {
                if topic == Topic::Coordination {
                    registration::on_read(daemon, now, fx, Ok(revision));
                }
                return;
            }
            progress.revision = revision.max(progress.revision);
            progress.read = true;
            if daemon.role.current != Role::Host {
                // An entry follows no topic; it becomes a host or requests the data from hosts.
            } else if first {
                on_timer(daemon, fx, topic);
            } else if !full {
                let pause = pause(daemon, topic, now);
                daemon.timers.arm(timer::Key::Store(topic), now.mono + pause);
            }
            apply(daemon, now, fx, contents, revision, full);
            if full && topic == Topic::Coordination {
                registration::on_read(daemon, now, fx, Ok(revision));
            }
        }
        Err(failure) => on_failed(daemon, now, fx, topic, failure, full),
    }
}

/// Pause between a watch that returned changes and the next.
fn pause(daemon: &Daemon, topic: Topic, now: Now) -> Duration {
    match topic {
        Topic::Coordination => COORDINATION_PAUSE,
        Topic::Operator if home::is_enabled(daemon) => CONFIG_PAUSE,
        Topic::Operator => Duration::ZERO,
        _ if now.mono < STARTUP => STARTUP_PAUSE,
        Topic::Servers => SERVERS_PAUSE,
    }
}

fn on_failed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    topic: Topic,
    failure: Failure,
    full: bool,
) {
    daemon.watch.last_failure = Some(now.mono);
    let progress = daemon.watch.topics.entry(topic).or_default();
    if failure == Failure::Compacted {
        fx.log(Line::state_change("store history compacted").with("topic", topic.name()));
        progress.read = false;
        progress.revision = 0;
        return schedule_read(daemon, now, topic);
    }
    if progress.failing_since.is_none() {
        progress.failing_since = Some(now.mono);
        let line = Line::state_change("store lost").with("topic", topic.name());
        fx.log(line.with("failure", format_args!("{failure:?}")));
    }
    let first = !progress.read;
    progress.failures += 1;
    let failures = progress.failures;
    let is_host = daemon.role.current == Role::Host;
    let most =
        if home::is_enabled(daemon) { MAX_RETRY_FACTOR } else { MAX_RETRY_FACTOR_HOSTS_ONLY };
    let pauses = if is_host { failures.min(most) } else { 1 };
    if !full || first || !is_host {
        let pause = daemon.random.jitter(RETRY_DELAY * pauses);
        daemon.timers.arm(timer::Key::Store(topic), now.mono + pause);
    }
    if full && topic == Topic::Coordination {
        registration::on_read(daemon, now, fx, Err(failure));
    }
}

fn apply(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    contents: Contents,
    revision: id::Revision,
    full: bool,
) {
    match contents {
        Contents::Operator { config, evacuations } => {
            evacuation::on_changes(daemon, now, fx, &evacuations, revision, full);
            match config {
                Some(Ok(config)) => {
                    complete_config(daemon, &config);
                    on_config(daemon, now, fx, config.into());
                }
                Some(Err(fault)) => {
                    fx.log(Line::state_change("configuration refused").with("fault", fault));
                }
                None => {}
            }
        }
        Contents::Servers(entries) => on_servers(daemon, now, fx, entries, full),
        Contents::Coordination(items) => on_keys(daemon, now, fx, items, full),
    }
}

/// Takes over from the store what a configuration of the same version lacks that a host of an older
/// release has sent: such a host does not know all properties of databases.
fn complete_config(daemon: &mut Daemon, config: &Config) {
    let known = daemon.config.as_mut().filter(|known| known.version == config.version);
    if let Some(known) = known.filter(|known| known.databases != config.databases) {
        Arc::make_mut(known).databases.clone_from(&config.databases);
    }
}

/// Applies a configuration, unless a newer one is in force.
pub fn on_config(daemon: &mut Daemon, now: Now, fx: &mut Effects, config: Arc<Config>) {
    let before = daemon.config.as_ref().map_or(0, |config| config.version);
    if config.version <= before {
        return;
    }
    let line = Line::state_change("configuration in force").with("version", config.version);
    fx.log(line.with("before", before).with("routes", config.routes.len()));
    daemon.limit = limit::State::retain_configured(&daemon.limit, &config);
    daemon.config = Some(config);
    session::on_config(daemon, now, fx);
}
