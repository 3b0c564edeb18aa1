//! Views: distribution of leaders and replica lag to the entries that use a database.
//!
//! An entry subscribes at a home of the database, trying the nearest first, and receives changes
//! until its subscription expires; it renews it while it uses the database. Renewals are spread out
//! so that an entry sends at most ten a second, however many databases it uses. The primary's home
//! measures the lag of the replicas and sends it to the other homes, each of which forwards it to
//! its subscribers. Entries that have not subscribed receive no views.

use super::{
    Group, Lag, Message, home_daemons, is_home, learn_if_some, schedule_timer, servers, watches,
};
use crate::{
    effect::Effects, id, mark::Mark, member, peer, run::Leader, state::State as Daemon, time::Now,
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// Minimum time between two renewals of a subscription.
const MIN_RENEWAL_PERIOD: Duration = Duration::from_secs(10);
/// Minimum time between renewals for each database in use, which bounds their rate.
const RENEWAL_PER_DATABASE: Duration = Duration::from_millis(100);
/// Time to live of a subscription, in renewal periods.
const TTL_RENEWALS: u32 = 3;
/// Time between subscription attempts while no leader is known.
const SUBSCRIBE_RETRY: Duration = Duration::from_millis(100);
/// Time without use after which a subscription is not renewed.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of subscribers that a home keeps for one database.
const MAX_SUBSCRIBERS: usize = 4096;
/// Maximum time to live of a subscription at a home.
const MAX_TTL: Duration = Duration::from_mins(30);
/// Minimum time between two views that only update the lag.
const MIN_LAG_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of samples of the primary's position, kept to measure lag.
const MAX_SAMPLES: usize = 64;
/// Minimum time between two samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The receivers of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Audience {
    /// The subscribed entries.
    Entries,
    /// The subscribed entries and the other homes.
    All,
}

/// The view of one group: an entry's subscription, and a home's subscribers and measurements.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    /// The highest term whose leader has been announced.
    pub announced_term: id::Term,
    /// The lag of each replica, and when it was learned.
    pub lags: IndexMap<id::Server, (Duration, Duration)>,
    subscribed_at: Option<Duration>,
    attempts: usize,
    used_at: Option<Duration>,
    subscribers: IndexMap<id::Daemon, Duration>,
    samples: VecDeque<(Mark, Duration)>,
    announced_at: Duration,
    /// When a switchover away from a leaving server was last attempted.
    pub leave_attempted_at: Option<Duration>,
    lag_classes: IndexMap<id::Server, u32>,
}

/// Records that this entry uses a database, and subscribes or renews when due.
pub(super) fn on_use(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let group = daemon.group.groups.entry(database.clone()).or_default();
    group.view.used_at = Some(now.mono);
    if watches(daemon, database) {
        return;
    }
    let renew = renewal_period(daemon);
    let group = daemon.group.groups.entry(database.clone()).or_default();
    let period = if group.leader.is_some() { renew } else { SUBSCRIBE_RETRY };
    if group.view.subscribed_at.is_none_or(|at| now.since(at) >= period) {
        subscribe(daemon, now, fx, database);
    }
}

fn renewal_period(daemon: &Daemon) -> Duration {
    let used = u32::try_from(daemon.group.groups.len()).unwrap_or(u32::MAX);
    MIN_RENEWAL_PERIOD.max(RENEWAL_PER_DATABASE.saturating_mul(used))
}

/// Subscribes at the nearest home, or at a different one with each attempt while no leader is
/// known.
pub(super) fn subscribe(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let ttl = renewal_period(daemon) * TTL_RENEWALS;
    let mut homes = home_daemons(daemon, database);
    homes.retain(|home| *home != daemon.settings.daemon);
    homes.sort_by_key(|home| distance(daemon, home));
    let group = daemon.group.groups.entry(database.clone()).or_default();
    let unknown = group.leader.is_none();
    group.view.subscribed_at = Some(now.mono);
    let attempt = group.view.attempts;
    group.view.attempts = if unknown { attempt + 1 } else { 0 };
    if let Some(home) = homes.get(attempt % homes.len().max(1)) {
        let message = Message::Ask { database: database.clone(), ttl };
        member::send(daemon, fx, home, peer::Message::Group(message));
    }
    if unknown {
        schedule_timer(daemon, fx, database, now.mono + SUBSCRIBE_RETRY);
    }
}

/// The distance to a daemon: 0 in the same failure domain, 1 in the same region, 2 otherwise.
fn distance(daemon: &Daemon, other: &id::Daemon) -> u8 {
    let domain = daemon.member.members.get(other).map(|member| member.domain.as_str());
    super::choose::distance(daemon, domain.unwrap_or_default())
}

/// Handles an entry's subscription and answers with the current view.
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

/// Handles a view, and forwards new lag to the entries subscribed at this daemon.
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
    let has_lags = !lags.is_empty();
    for Lag { server, lag } in lags {
        group.view.lags.insert(server, (lag, now.mono));
    }
    learn_if_some(daemon, now, fx, database, leader);
    if has_lags {
        announce(daemon, now, fx, database, Audience::Entries);
    }
}

/// Sends the current view to the audience.
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
    group.view.announced_at = now.mono;
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

/// Updates the replicas' lag from a new report, at the primary's home.
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

/// The time since the primary was first observed ahead of what a replica has applied.
fn lag(group: &Group, replica: &id::Server, now: Now) -> Option<Duration> {
    let applied = group.reports.get(replica)?.report.applied;
    let ahead = group.view.samples.iter().find(|(mark, _)| *mark > applied);
    Some(ahead.map_or(Duration::ZERO, |(_, at)| now.since(*at)))
}

/// Whether the lag class of any replica has changed since the last check.
fn lag_class_changed(group: &mut Group, now: Now) -> bool {
    if now.since(group.view.announced_at) < MIN_LAG_INTERVAL {
        return false;
    }
    let lags = group.view.lags.iter();
    let lag_classes: IndexMap<_, _> =
        lags.map(|(server, (lag, _))| (server.clone(), lag_class(*lag))).collect();
    let changed = lag_classes != group.view.lag_classes;
    group.view.lag_classes = lag_classes;
    changed
}

/// The class of a lag: the bit length of its number of 64 ms steps, so classes double in width.
fn lag_class(lag: Duration) -> u32 {
    let steps = u64::try_from(lag.as_millis() / 64).unwrap_or(u64::MAX);
    u64::BITS - steps.leading_zeros()
}

/// Handles the group's timer: repeats the subscription to a database in use while no leader is
/// known.
pub(super) fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    let leader_unknown = group.leader.is_none();
    let recently_used = group.view.used_at.is_some_and(|at| now.since(at) < UNUSED_TIMEOUT);
    let recently_attempted =
        group.view.subscribed_at.is_some_and(|at| now.since(at) < SUBSCRIBE_RETRY);
    if leader_unknown && recently_used && !recently_attempted && !watches(daemon, database) {
        subscribe(daemon, now, fx, database);
    }
}
