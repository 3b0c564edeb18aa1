//! Suspicion of a primary: its causes, and the opinions of the other homes.

use super::{
    BOOTSTRAP_DELAY, Cause, OPINION_TIMEOUT, OpinionRequest, RANK_STEP, SUSPICION_DELAY, Suspicion,
    TAKEOVER_DELAY, UNANSWERED_THRESHOLD, back_off, start_attempt,
};
use crate::{
    effect::Effects,
    group::{
        Group, Message, home_daemons, is_majority, record_failover,
        report::{self, Pending},
        schedule_timer, servers, switchover, watches,
    },
    id, member, peer, rendezvous,
    run::Leader,
    server::{Report, Role},
    state::State as Daemon,
    time::Now,
    timer,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Starts a suspicion if there is cause for one and this home's delay has elapsed.
pub(in crate::group) fn evaluate(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
) {
    if !watches(daemon, database) {
        return;
    }
    let cause = update_cause(daemon, now, database);
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    let failover = &group.failover;
    if failover.attempt.is_some() {
        return;
    }
    if failover.suspicion.is_some() {
        return resolve_suspicion(daemon, now, fx, database);
    }
    let (Some((cause, since)), backoff) = (cause, failover.backoff_until) else {
        return switchover::move_off_leaving(daemon, now, fx, database);
    };
    let due = (since + delay(daemon, database, cause)).max(backoff);
    if due <= now.mono {
        suspect(daemon, now, fx, database, cause);
    } else {
        schedule_timer(daemon, fx, database, due);
    }
}

/// Updates the cause to replace the primary and the time since which it has persisted.
fn update_cause(
    daemon: &mut Daemon,
    now: Now,
    database: &id::Database,
) -> Option<(Cause, Duration)> {
    let servers = servers(daemon, database);
    let group = daemon.group.groups.get_mut(database)?;
    let cause = cause(group, &servers, now);
    let cause_since = match (cause, group.failover.cause_since) {
        (Some(cause), Some((old, since))) if cause == old => Some((cause, since)),
        (Some(cause), _) => Some((cause, now.mono)),
        (None, _) => None,
    };
    group.failover.cause_since = cause_since;
    cause_since
}

fn cause(group: &Group, servers: &[id::Server], now: Now) -> Option<Cause> {
    let recent = |server: &&id::Server| {
        let observation = group.reports.get(*server);
        observation.is_some_and(|observation| now.since(observation.sent) <= Duration::from_secs(1))
    };
    let Some(leader) = &group.leader else {
        let known = servers.iter().filter(recent).count();
        return is_majority(known, servers.len()).then_some(Cause::Bootstrap);
    };
    let contradicts_leader = |server: &id::Server, report: &Report| {
        let primary = report.role == Role::Primary && *server == leader.server;
        report.term > leader.term || (*server == leader.server && !primary)
    };
    let mut reports = group.reports.iter();
    if reports.any(|(server, observation)| contradicts_leader(server, &observation.report)) {
        return Some(Cause::Leaderless);
    }
    let unanswered = group.watch.unanswered.get(&leader.server)?;
    (unanswered.count >= UNANSWERED_THRESHOLD).then_some(Cause::Unresponsive)
}

/// How long this home waits for homes of a lower rank to act first.
fn delay(daemon: &Daemon, database: &id::Database, cause: Cause) -> Duration {
    let rank = rank(daemon, database);
    match cause {
        Cause::Unresponsive => SUSPICION_DELAY + RANK_STEP * rank,
        Cause::Leaderless => TAKEOVER_DELAY + RANK_STEP * rank,
        Cause::Bootstrap => BOOTSTRAP_DELAY + RANK_STEP * 2 * rank,
    }
}

/// This home's rank among the homes of the group; the home of the primary has the highest.
fn rank(daemon: &Daemon, database: &id::Database) -> u32 {
    let me = &daemon.settings.daemon;
    let leader = crate::group::leader(daemon, database);
    let primary_home = leader.and_then(|leader| member::home(daemon, &leader.server));
    let weight = |name: &id::Daemon| {
        (primary_home.as_ref() != Some(name), rendezvous::weight(database, name), name.clone())
    };
    let mine = weight(me);
    let before = home_daemons(daemon, database).iter().filter(|name| weight(name) > mine).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

fn suspect(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database, cause: Cause) {
    let mut others = home_daemons(daemon, database);
    others.retain(|name| *name != daemon.settings.daemon && cause == Cause::Unresponsive);
    let after = daemon.counters.question();
    let group = daemon.group.groups.entry(database.clone()).or_default();
    group.failover.last_number += 1;
    let (number, until) = (group.failover.last_number, now.mono + OPINION_TIMEOUT);
    let opinions = IndexMap::default();
    let requested = others.len();
    group.failover.suspicion = Some(Suspicion { number, cause, after, until, requested, opinions });
    let leader = group.leader.clone();
    fx.arm(timer::Key::Failover(database.clone()), until);
    if let Some(leader) = leader {
        record_failover(daemon, fx, database, &leader.server, Some(leader.term), cause.text());
        for to in &others {
            let (database, leader) = (database.clone(), leader.clone());
            let message = Message::Suspect { database, leader, number };
            member::send(daemon, fx, to, peer::Message::Group(message));
        }
    }
    for server in servers(daemon, database) {
        report::request_status(daemon, now, fx, &server);
    }
}

/// Handles a request for an opinion on a primary, answered after querying the primary again.
pub(in crate::group) fn on_suspect(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    database: &id::Database,
    leader: &Leader,
    number: u64,
) {
    crate::group::learn(daemon, now, fx, database, leader.clone());
    let newer =
        crate::group::leader(daemon, database).is_some_and(|known| known.term > leader.term);
    if newer || !watches(daemon, database) {
        return send_opinion(daemon, fx, from, database, number, false);
    }
    let request = OpinionRequest { daemon: from.clone(), number, at: now.mono };
    let group = daemon.group.groups.entry(database.clone()).or_default();
    group.failover.opinion_requests.retain(|old| old.daemon != *from);
    group.failover.opinion_requests.push(request);
    report::request_status(daemon, now, fx, &leader.server);
}

fn send_opinion(
    daemon: &Daemon,
    fx: &mut Effects,
    to: &id::Daemon,
    database: &id::Database,
    number: u64,
    seen: bool,
) {
    let leader = crate::group::leader(daemon, database);
    let message = Message::Opinion { database: database.clone(), number, seen, leader };
    member::send(daemon, fx, to, peer::Message::Group(message));
}

/// Sends the pending opinions once the primary has answered or failed to.
pub(in crate::group) fn on_status(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Pending,
    answered: bool,
) {
    let Some(group) = daemon.group.groups.get_mut(&asked.database) else {
        return;
    };
    if group.leader.as_ref().is_none_or(|leader| leader.server != asked.server) {
        return;
    }
    let role = group.reports.get(&asked.server).map(|observation| observation.report.role);
    let seen = answered && role == Some(Role::Primary);
    let opinion_requests = std::mem::take(&mut group.failover.opinion_requests);
    let (due, rest): (Vec<_>, Vec<_>) =
        opinion_requests.into_iter().partition(|request| request.at <= asked.sent);
    group.failover.opinion_requests = rest;
    for request in due {
        send_opinion(daemon, fx, &request.daemon, &asked.database, request.number, seen);
    }
    if has_cause(daemon, &asked.database) {
        evaluate(daemon, now, fx, &asked.database);
    }
}

fn has_cause(daemon: &Daemon, database: &id::Database) -> bool {
    daemon.group.groups.get(database).is_some_and(|group| group.failover.cause_since.is_some())
}

/// Handles another home's opinion.
pub(in crate::group) fn on_opinion(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    database: &id::Database,
    number: u64,
    seen: bool,
) {
    let group = daemon.group.groups.get_mut(database);
    let suspicion = group.and_then(|group| group.failover.suspicion.as_mut());
    if let Some(suspicion) = suspicion.filter(|suspicion| suspicion.number == number) {
        suspicion.opinions.insert(from.clone(), seen);
        resolve_suspicion(daemon, now, fx, database);
    }
}

/// Concludes the suspicion once enough opinions and answers of the servers have arrived.
pub(super) fn resolve_suspicion(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
) {
    let servers = servers(daemon, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let Some(suspicion) = &group.failover.suspicion else {
        return;
    };
    let timed_out = suspicion.until <= now.mono;
    let (cause, after) = (suspicion.cause, suspicion.after);
    let complete = timed_out || suspicion.opinions.len() >= suspicion.requested;
    let unseen = suspicion.opinions.values().filter(|seen| !**seen).count() + 1;
    let agreed = cause != Cause::Unresponsive || is_majority(unseen, suspicion.opinions.len() + 1);
    let fresh = |server: &&id::Server| {
        group.reports.get(*server).is_some_and(|observation| observation.question > after)
    };
    let majority_reachable = is_majority(servers.iter().filter(fresh).count(), servers.len());
    let leader = group.leader.clone();
    let recovered = leader.as_ref().is_some_and(|leader| fresh(&&leader.server));
    let abandoned = match (cause, complete) {
        (Cause::Unresponsive, _) if recovered => Some("the primary answered again"),
        (_, false) => return,
        _ if !agreed => Some("other homes see the primary"),
        _ if !majority_reachable && !timed_out => return,
        _ if !majority_reachable => Some("no majority of the servers can be reached"),
        _ => None,
    };
    group.failover.suspicion = None;
    match abandoned {
        Some(reason) => back_off(daemon, now, fx, database, reason),
        None => start_attempt(daemon, now, fx, database, None),
    }
}
