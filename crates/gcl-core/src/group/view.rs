//! Views: how leaders and replica lag reach the entries that use a database.
//!
//! An entry asks a home of the database, the nearest first, and is told of changes until its
//! interest expires; it renews while it uses the database. Renewals are spread so that an entry
//! sends at most ten a second however many databases it uses. The primary's home measures the lag of
//! the replicas and tells the other homes, each of which tells its interested entries: no view goes
//! to a daemon that did not ask.

use super::{
    Group, Lag, Message, home_daemons, is_home, learn_if_some, schedule_timer, servers, watches,
};
use crate::{
    effect::Effects, id, mark::Mark, member, peer, run::Leader, state::State as Daemon, time::Now,
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// Shortest time between two renewals of an interest.
const MIN_RENEWAL_PERIOD: Duration = Duration::from_secs(10);
/// Time between renewals for each database in use.
const RENEWAL_PER_DATABASE: Duration = Duration::from_millis(100);
/// How many renewals an interest outlives.
const TTL_RENEWALS: u32 = 3;
/// Time between questions while no leader is known.
const ASK_RETRY: Duration = Duration::from_millis(100);
/// Time without use after which an interest is not renewed.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(30);
/// Most entries that a home keeps for one database.
const MAX_SUBSCRIBERS: usize = 4096;
/// Longest interest that a home keeps.
const MAX_TTL: Duration = Duration::from_mins(30);
/// Least time between two views that only carry lag.
const MIN_LAG_INTERVAL: Duration = Duration::from_millis(500);
/// Samples of the primary's position kept to measure lag.
const MAX_SAMPLES: usize = 64;
/// Least time between two samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Whom a view is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Audience {
    /// The interested entries.
    Entries,
    /// The interested entries and the other homes.
    All,
}

/// The view of one group: an entry's interest, and a home's interested entries.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    /// The highest term that was told to all that wait.
    pub announced_term: id::Term,
    /// The lag of each replica, with the time of the news.
    pub lags: IndexMap<id::Server, (Duration, Duration)>,
    asked_at: Option<Duration>,
    attempts: usize,
    used_at: Option<Duration>,
    subscribers: IndexMap<id::Daemon, Duration>,
    samples: VecDeque<(Mark, Duration)>,
    sent_at: Duration,
    /// When the primary was last moved off a leaving server.
    pub leave_attempted_at: Option<Duration>,
    lag_classes: IndexMap<id::Server, u32>,
}

/// Notes that this entry uses a database, and asks for views when it is time.
pub(super) fn on_use(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let group = daemon.group.groups.entry(database.clone()).or_default();
    group.view.used_at = Some(now.mono);
    if watches(daemon, database) {
        return;
    }
    let renew = renewal_period(daemon);
    let group = daemon.group.groups.entry(database.clone()).or_default();
    let period = if group.leader.is_some() { renew } else { ASK_RETRY };
    if group.view.asked_at.is_none_or(|asked| now.since(asked) >= period) {
        subscribe(daemon, now, fx, database);
    }
}

fn renewal_period(daemon: &Daemon) -> Duration {
    let used = u32::try_from(daemon.group.groups.len()).unwrap_or(u32::MAX);
    MIN_RENEWAL_PERIOD.max(RENEWAL_PER_DATABASE.saturating_mul(used))
}

/// Asks the nearest home, and another one each time while no leader is known.
pub(super) fn subscribe(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let ttl = renewal_period(daemon) * TTL_RENEWALS;
    let mut homes = home_daemons(daemon, database);
    homes.retain(|home| *home != daemon.settings.daemon);
    homes.sort_by_key(|home| distance(daemon, home));
    let group = daemon.group.groups.entry(database.clone()).or_default();
    let unknown = group.leader.is_none();
    group.view.asked_at = Some(now.mono);
    let attempt = group.view.attempts;
    group.view.attempts = if unknown { attempt + 1 } else { 0 };
    if let Some(home) = homes.get(attempt % homes.len().max(1)) {
        let message = Message::Ask { database: database.clone(), ttl };
        member::send(daemon, fx, home, peer::Message::Group(message));
    }
    if unknown {
        schedule_timer(daemon, fx, database, now.mono + ASK_RETRY);
    }
}

/// Zero for a daemon of the same failure domain, one for the same region, two beyond.
fn distance(daemon: &Daemon, other: &id::Daemon) -> u8 {
    let domain = daemon.member.members.get(other).map(|member| member.domain.as_str());
    super::choose::distance(daemon, domain.unwrap_or_default())
}

/// Takes an entry's interest and answers with the present view.
pub(super) fn on_ask(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    database: &id::Database,
    ttl: Duration,
) {
    if !daemon.config.snapshot.groups.contains_key(database) {
        return;
    }
    let group = daemon.group.groups.entry(database.clone()).or_default();
    let subscribers = &mut group.view.subscribers;
    if subscribers.len() >= MAX_SUBSCRIBERS {
        subscribers.retain(|_, until| *until > now.mono);
    }
    if subscribers.len() < MAX_SUBSCRIBERS {
        subscribers.insert(from.clone(), now.mono + ttl.min(MAX_TTL));
    }
    let message = view_message(group, database);
    member::send(daemon, fx, from, peer::Message::Group(message));
}

fn view_message(group: &Group, database: &id::Database) -> Message {
    let lags = group.view.lags.iter();
    let lags = lags.map(|(server, (lag, _))| Lag { server: server.clone(), lag: *lag }).collect();
    Message::View { database: database.clone(), leader: group.leader.clone(), lags }
}

/// Takes a view, and passes it on to the entries that asked this daemon.
pub(super) fn on_view(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    leader: Option<Leader>,
    lags: Vec<Lag>,
) {
    if !daemon.config.snapshot.groups.contains_key(database) {
        return;
    }
    let group = daemon.group.groups.entry(database.clone()).or_default();
    let news = !lags.is_empty();
    for Lag { server, lag } in lags {
        group.view.lags.insert(server, (lag, now.mono));
    }
    learn_if_some(daemon, now, fx, database, leader);
    if news {
        announce(daemon, now, fx, database, Audience::Entries);
    }
}

/// Sends the present view to those who want it.
pub(super) fn announce(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    audience: Audience,
) {
    let homes = if audience == Audience::All && watches(daemon, database) {
        home_daemons(daemon, database)
    } else {
        Vec::new()
    };
    let me = daemon.settings.daemon.clone();
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    group.view.sent_at = now.mono;
    group.view.subscribers.retain(|_, until| *until > now.mono);
    let entries = group.view.subscribers.keys().filter(|entry| !homes.contains(entry)).cloned();
    let mut to: Vec<_> = entries.collect();
    to.extend(homes);
    to.retain(|name| *name != me);
    let message = view_message(group, database);
    for name in to {
        member::send(daemon, fx, &name, peer::Message::Group(message.clone()));
    }
}

/// Measures lag at the primary's home when a report came in.
pub(super) fn on_observation(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    server: &id::Server,
) {
    let Some(leader) = super::leader(daemon, database) else {
        return;
    };
    if !is_home(daemon, &leader.server) {
        return;
    }
    let replicas = servers(daemon, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    if leader.server == *server {
        sample(group, server, now);
    }
    for replica in replicas.iter().filter(|replica| **replica != leader.server) {
        if let Some(lag) = lag(group, replica, now) {
            group.view.lags.insert(replica.clone(), (lag, now.mono));
        }
    }
    group.view.lags.swap_remove(&leader.server);
    if lag_class_changed(group, now) {
        announce(daemon, now, fx, database, Audience::All);
    }
}

fn sample(group: &mut Group, server: &id::Server, now: Now) {
    let Some(mark) = group.reports.get(server).map(|observation| observation.report.received)
    else {
        return;
    };
    let samples = &mut group.view.samples;
    let recent = samples.back();
    if recent.is_some_and(|(last, at)| *last == mark || now.since(*at) < MIN_SAMPLE_INTERVAL) {
        return;
    }
    if samples.len() == MAX_SAMPLES {
        samples.pop_front();
    }
    samples.push_back((mark, now.mono));
}

/// Time since the primary was first seen past what a replica has applied.
fn lag(group: &Group, replica: &id::Server, now: Now) -> Option<Duration> {
    let applied = group.reports.get(replica)?.report.applied;
    let ahead = group.view.samples.iter().find(|(mark, _)| *mark > applied);
    Some(ahead.map_or(Duration::ZERO, |(_, at)| now.since(*at)))
}

/// Whether a replica's lag moved to another power of two since it was last told.
fn lag_class_changed(group: &mut Group, now: Now) -> bool {
    if now.since(group.view.sent_at) < MIN_LAG_INTERVAL {
        return false;
    }
    let lags = group.view.lags.iter();
    let lag_classes: IndexMap<_, _> =
        lags.map(|(server, (lag, _))| (server.clone(), lag_class(*lag))).collect();
    let changed = lag_classes != group.view.lag_classes;
    group.view.lag_classes = lag_classes;
    changed
}

/// The power of two of a duration in steps of 64 ms.
fn lag_class(lag: Duration) -> u32 {
    let steps = u64::try_from(lag.as_millis() / 64).unwrap_or(u64::MAX);
    u64::BITS - steps.leading_zeros()
}

/// Renews the interest in a database that is in use.
pub(super) fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    let waits = group.leader.is_none();
    let used = group.view.used_at.is_some_and(|used| now.since(used) < UNUSED_TIMEOUT);
    let asked = group.view.asked_at.is_some_and(|asked| now.since(asked) < ASK_RETRY);
    if waits && used && !asked && !watches(daemon, database) {
        subscribe(daemon, now, fx, database);
    }
}
