//! What the store holds, followed: the configuration, the servers, and the daemons' own keys.
//!
//! Each topic is read once and then watched from one revision to the next. A watch that fails is
//! asked for again after a pause; history that the store no longer has is made up by reading again.
//! An entry of a server that lapses during or right after an outage of the store is kept until the
//! server had the time to register itself again.

mod own;
mod server;

pub use self::server::on_missing;

use self::{own::on_own, server::on_servers};
use crate::{
    config::Config,
    effect::Effects,
    era, failover, home, limit,
    line::Line,
    member,
    role::{self, Role},
    session,
    state::State as Daemon,
    store::{Answer, Call, Contents, Event, Failure, Result, Topic},
    timer,
};
use gcl_core::{id, time::Now};
use indexmap::{IndexMap, IndexSet};
use std::{sync::Arc, time::Duration};

/// Mean pause before a failed call is made again.
const RETRY: Duration = Duration::from_millis(500);
/// Most times that pause, as failures add up, in a fleet with homes: a host that the store turns away
/// hears of new configurations from others, and calls that are turned away are counted as well.
const MOST_RETRIES: u32 = 4;
/// The same in a fleet of hosts only.
const MOST_RETRIES_OF_FEW: u32 = 2;
/// Pause between watches of the daemons' own keys: each change there ends the watch of every daemon,
/// and what is urgent about them is told by digests.
const OWN_PAUSE: Duration = Duration::from_secs(2);
/// Pause between watches of the configuration in a fleet with homes, whose bounds leave the time for
/// it, so that versions that come together end one watch.
const CONFIG_PAUSE: Duration = Duration::from_millis(900);
/// Pause between watches of the servers, so that changes that come together end one watch.
const SERVERS_PAUSE: Duration = Duration::from_millis(200);
/// The same while a deployment starts, when every server registers itself.
const START_PAUSE: Duration = Duration::from_millis(1500);
/// Age of a daemon up to which its deployment may be starting.
const START: Duration = Duration::from_secs(5);

/// Mean time before a topic is read again, for each daemon that is listed and reads it as well.
const REREAD_STEP: Duration = Duration::from_millis(2);

/// How long a daemon counts that is no longer listed.
pub const RECENT: Duration = Duration::from_secs(12);

/// How one topic is followed.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    revision: id::Revision,
    read: bool,
    /// The revision that is watched from.
    watched: Option<id::Revision>,
    failing: Option<Duration>,
    /// Calls that failed since then.
    failures: u32,
}

/// How the store is followed.
#[derive(Clone, Debug, Default)]
pub struct State {
    topics: IndexMap<Topic, Progress>,
    /// When a call to the store last failed.
    failed: Option<Duration>,
    /// When each daemon was last listed, for those that no longer are.
    left: IndexMap<id::Daemon, Duration>,
    /// Daemons that are listed.
    listed: IndexSet<id::Daemon>,
    /// Servers whose entries lapsed, and until when they are kept.
    missing: IndexMap<id::Server, Duration>,
    /// Servers that are gone, with the start of their last life.
    gone: IndexMap<id::Server, u64>,
}

impl State {
    /// Daemons that are listed, or were a short while ago.
    pub fn recent_members(&self, now: Now) -> impl Iterator<Item = &id::Daemon> {
        let left = self.left.iter().filter(move |(_, at)| now.since(**at) < RECENT);
        self.listed.iter().chain(left.map(|(name, _)| name))
    }

    fn list(&mut self, now: Now, name: &id::Daemon, listed: bool) {
        if listed {
            self.left.swap_remove(name);
            self.listed.insert(name.clone());
        } else if self.listed.swap_remove(name) {
            self.left.insert(name.clone(), now.mono);
        }
    }

    /// The revision up to which the daemons' own keys are known.
    #[must_use]
    pub fn own_revision(&self) -> id::Revision {
        self.topics.get(&Topic::Own).map_or(0, |known| known.revision)
    }

    /// Whether each topic was read at least once.
    #[must_use]
    pub fn complete(&self) -> bool {
        Topic::ALL.iter().all(|topic| self.topics.get(topic).is_some_and(|known| known.read))
    }
}

/// Follows every topic, as a host does.
pub fn start(daemon: &mut Daemon, fx: &mut Effects) {
    for topic in Topic::ALL {
        on_timer(daemon, fx, topic);
    }
}

/// Asks again for a topic whose call failed.
pub fn on_timer(daemon: &mut Daemon, fx: &mut Effects, topic: Topic) {
    let known = daemon.follow.topics.entry(topic).or_default();
    if !known.read || daemon.role.current != Role::Host {
        fx.store(Call::Read(topic));
    } else if known.watched.is_none() {
        known.watched = Some(known.revision);
        fx.store(Call::Watch(topic, known.revision));
    }
}

/// Reads every topic again, since the store came back from a copy. What a watch would bring may lack
/// changes that the copy undid.
pub fn on_era(daemon: &mut Daemon, now: Now) {
    // Entries that are missing now may be written again.
    daemon.follow.failed = Some(now.mono);
    role::on_era(daemon);
    for group in daemon.groups.values_mut() {
        (group.written, group.held) = (0, 0);
    }
    for topic in Topic::ALL {
        if let Some(known) = daemon.follow.topics.get_mut(&topic) {
            (known.read, known.watched) = (false, None);
            read_again(daemon, now, topic);
        }
    }
}

/// Has a topic read again, with a spread over the daemons that do so at the same time.
fn read_again(daemon: &mut Daemon, now: Now, topic: Topic) {
    if daemon.role.current == Role::Host {
        let listed = u32::try_from(daemon.members.len()).unwrap_or(u32::MAX);
        let pause = daemon.random.jitter(REREAD_STEP * listed);
        daemon.timers.arm(timer::Key::Store(topic), now.mono + pause);
    }
}

/// Acts on an answer of the store. One that belongs to an earlier era counts as lost.
pub fn on_answer(daemon: &mut Daemon, now: Now, fx: &mut Effects, answer: Answer) {
    era::on_answer(daemon, now, fx, answer.era);
    let late = answer.era != 0 && answer.era < daemon.era.current;
    on_event(daemon, now, fx, if late { answer.event.lost() } else { answer.event });
}

fn on_event(daemon: &mut Daemon, now: Now, fx: &mut Effects, event: Event) {
    match event {
        Event::Read(topic, result) => on_contents(daemon, now, fx, topic, result, true),
        Event::Watched(topic, after, result) => {
            let known = daemon.follow.topics.entry(topic).or_default();
            // Another watch may have been begun since, in a later era.
            if known.watched.take_if(|watched| *watched == after).is_some() {
                on_contents(daemon, now, fx, topic, result, false);
            }
        }
        Event::Written(call, result) => {
            if !member::on_written(daemon, now, fx, call, result) {
                failover::on_written(daemon, now, fx, call, result);
            }
        }
        Event::Granted(result) => {
            note_failure(daemon, now, result.is_err());
            member::on_granted(daemon, now, fx, result);
        }
        Event::Renewed(lease, result) => {
            note_failure(daemon, now, result.is_err());
            member::on_renewed(daemon, now, fx, lease, result);
        }
    }
}

const fn note_failure(daemon: &mut Daemon, now: Now, failed: bool) {
    if failed {
        daemon.follow.failed = Some(now.mono);
    }
}

fn on_contents(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    topic: Topic,
    result: Result<(Contents, id::Revision)>,
    whole: bool,
) {
    let known = daemon.follow.topics.entry(topic).or_default();
    let first = !known.read;
    match result {
        Ok((contents, revision)) => {
            known.failures = 0;
            if let Some(since) = known.failing.take() {
                let line = Line::state_change("store regained").with("topic", topic.name());
                fx.log(line.millis("away", now.since(since)));
            }
            // A read that overtook a watch may be older than what the watch brought.
            if whole && revision < known.revision {
                if topic == Topic::Own {
                    member::on_read(daemon, now, fx, Ok(revision));
                }
                return;
            }
            known.revision = revision.max(known.revision);
            known.read = true;
            if daemon.role.current != Role::Host {
                // An entry follows nothing; it becomes a host or asks hosts.
            } else if first {
                on_timer(daemon, fx, topic);
            } else if !whole {
                let pause = pause(daemon, topic, now);
                daemon.timers.arm(timer::Key::Store(topic), now.mono + pause);
            }
            apply(daemon, now, fx, contents, whole);
            if whole && topic == Topic::Own {
                member::on_read(daemon, now, fx, Ok(revision));
            }
        }
        Err(failure) => on_failed(daemon, now, fx, topic, failure, whole),
    }
}

/// Time between a watch that brought changes and the next.
fn pause(daemon: &Daemon, topic: Topic, now: Now) -> Duration {
    match topic {
        Topic::Own => OWN_PAUSE,
        Topic::Config if home::is_enabled(daemon) => CONFIG_PAUSE,
        Topic::Config => Duration::ZERO,
        _ if now.mono < START => START_PAUSE,
        Topic::Servers => SERVERS_PAUSE,
    }
}

fn on_failed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    topic: Topic,
    failure: Failure,
    whole: bool,
) {
    daemon.follow.failed = Some(now.mono);
    let known = daemon.follow.topics.entry(topic).or_default();
    if failure == Failure::Compacted {
        fx.log(Line::state_change("store history gone").with("topic", topic.name()));
        known.read = false;
        known.revision = 0;
        return read_again(daemon, now, topic);
    }
    if known.failing.is_none() {
        known.failing = Some(now.mono);
        let line = Line::state_change("store lost").with("topic", topic.name());
        fx.log(line.with("failure", format_args!("{failure:?}")));
    }
    let first = !known.read;
    known.failures += 1;
    let failures = known.failures;
    let is_host = daemon.role.current == Role::Host;
    let most = if home::is_enabled(daemon) { MOST_RETRIES } else { MOST_RETRIES_OF_FEW };
    let pauses = if is_host { failures.min(most) } else { 1 };
    if !whole || first || !is_host {
        let pause = daemon.random.jitter(RETRY * pauses);
        daemon.timers.arm(timer::Key::Store(topic), now.mono + pause);
    }
    if whole && topic == Topic::Own {
        member::on_read(daemon, now, fx, Err(failure));
    }
}

fn apply(daemon: &mut Daemon, now: Now, fx: &mut Effects, contents: Contents, whole: bool) {
    match contents {
        Contents::Config(None) => {}
        Contents::Config(Some(Ok(config))) => on_config(daemon, now, fx, config.into()),
        Contents::Config(Some(Err(fault))) => {
            fx.log(Line::state_change("configuration refused").with("fault", fault));
        }
        Contents::Servers(entries) => on_servers(daemon, now, fx, entries, whole),
        Contents::Own(items) => on_own(daemon, now, fx, items, whole),
    }
}

/// Puts a configuration in force, unless a newer one is.
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
