//! Doubts about a primary: what raises them, and what the other homes say.

use super::{
    Asker, BOOT, Cause, Doubt, MISSES, OPINION, RANK_STEP, SILENCE, TAKEOVER, attempt, back_off,
};
use crate::{
    effect::Effects,
    group::{
        Group, Message, majority, note,
        report::{self, Asked},
        servers, switch, vantages, wake, watches,
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

/// Opens a doubt when there is cause and it is this home's turn.
pub(in crate::group) fn consider(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
) {
    if !watches(daemon, database) {
        return;
    }
    let cause = notice(daemon, now, database);
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    let failover = &group.failover;
    if failover.attempt.is_some() {
        return;
    }
    if failover.doubt.is_some() {
        return decide(daemon, now, fx, database);
    }
    let (Some((cause, since)), backoff) = (cause, failover.backoff) else {
        return switch::leave(daemon, now, fx, database);
    };
    let due = (since + delay(daemon, database, cause)).max(backoff);
    if due <= now.mono {
        doubt(daemon, now, fx, database, cause);
    } else {
        wake(daemon, fx, database, due);
    }
}

/// Notes since when there is cause to replace the primary.
fn notice(daemon: &mut Daemon, now: Now, database: &id::Database) -> Option<(Cause, Duration)> {
    let servers = servers(daemon, database);
    let group = daemon.group.groups.get_mut(database)?;
    let cause = cause(group, &servers, now);
    let noticed = match (cause, group.failover.noticed) {
        (Some(cause), Some((old, since))) if cause == old => Some((cause, since)),
        (Some(cause), _) => Some((cause, now.mono)),
        (None, _) => None,
    };
    group.failover.noticed = noticed;
    noticed
}

fn cause(group: &Group, servers: &[id::Server], now: Now) -> Option<Cause> {
    let recent = |server: &&id::Server| {
        let sight = group.reports.get(*server);
        sight.is_some_and(|sight| now.since(sight.sent) <= Duration::from_secs(1))
    };
    let Some(leader) = &group.leader else {
        let known = servers.iter().filter(recent).count();
        return majority(known, servers.len()).then_some(Cause::Boot);
    };
    let lost = |server: &id::Server, report: &Report| {
        let primary = report.role == Role::Primary && *server == leader.server;
        report.term > leader.term || (*server == leader.server && !primary)
    };
    let mut reports = group.reports.iter();
    if reports.any(|(server, sight)| lost(server, &sight.report)) {
        return Some(Cause::Ahead);
    }
    let silence = group.watch.silent.get(&leader.server)?;
    (silence.misses >= MISSES).then_some(Cause::Silent)
}

/// How long this home waits for others to act first.
fn delay(daemon: &Daemon, database: &id::Database, cause: Cause) -> Duration {
    let rank = rank(daemon, database);
    match cause {
        Cause::Silent => SILENCE + RANK_STEP * rank,
        Cause::Ahead => TAKEOVER + RANK_STEP * rank,
        Cause::Boot => BOOT + RANK_STEP * 2 * rank,
    }
}

/// This home's place among the homes of the group; the home of the primary is the last.
fn rank(daemon: &Daemon, database: &id::Database) -> u32 {
    let me = &daemon.settings.daemon;
    let leader = crate::group::leader(daemon, database);
    let last = leader.and_then(|leader| member::home(daemon, &leader.server));
    let weight = |name: &id::Daemon| {
        (last.as_ref() != Some(name), rendezvous::weight(database, name), name.clone())
    };
    let mine = weight(me);
    let before = vantages(daemon, database).iter().filter(|name| weight(name) > mine).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

fn doubt(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database, cause: Cause) {
    let mut others = vantages(daemon, database);
    others.retain(|name| *name != daemon.settings.daemon && cause == Cause::Silent);
    let after = daemon.counters.question();
    let group = daemon.group.groups.entry(database.clone()).or_default();
    group.failover.last += 1;
    let (number, until) = (group.failover.last, now.mono + OPINION);
    let opinions = IndexMap::default();
    let asked = others.len();
    group.failover.doubt = Some(Doubt { number, cause, after, until, asked, opinions });
    let leader = group.leader.clone();
    fx.arm(timer::Key::Failover(database.clone()), until);
    if let Some(leader) = leader {
        note(daemon, fx, database, &leader.server, Some(leader.term), cause.text());
        for to in &others {
            let (database, leader) = (database.clone(), leader.clone());
            let message = Message::Suspect { database, leader, number };
            member::send(daemon, fx, to, peer::Message::Group(message));
        }
    }
    for server in servers(daemon, database) {
        report::fresh_status(daemon, now, fx, &server);
    }
}

/// Gives another home an opinion on a primary, after asking it afresh.
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
        return opine(daemon, fx, from, database, number, false);
    }
    let asker = Asker { daemon: from.clone(), number, at: now.mono };
    let group = daemon.group.groups.entry(database.clone()).or_default();
    group.failover.askers.retain(|old| old.daemon != *from);
    group.failover.askers.push(asker);
    report::fresh_status(daemon, now, fx, &leader.server);
}

fn opine(
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

/// Tells those who asked whether the primary answered.
pub(in crate::group) fn on_status(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Asked,
    answered: bool,
) {
    let Some(group) = daemon.group.groups.get_mut(&asked.database) else {
        return;
    };
    if group.leader.as_ref().is_none_or(|leader| leader.server != asked.server) {
        return;
    }
    let role = group.reports.get(&asked.server).map(|sight| sight.report.role);
    let seen = answered && role == Some(Role::Primary);
    let askers = std::mem::take(&mut group.failover.askers);
    let (due, rest): (Vec<_>, Vec<_>) =
        askers.into_iter().partition(|asker| asker.at <= asked.sent);
    group.failover.askers = rest;
    for asker in due {
        opine(daemon, fx, &asker.daemon, &asked.database, asker.number, seen);
    }
    if group_silent(daemon, &asked.database) {
        consider(daemon, now, fx, &asked.database);
    }
}

fn group_silent(daemon: &Daemon, database: &id::Database) -> bool {
    daemon.group.groups.get(database).is_some_and(|group| group.failover.noticed.is_some())
}

/// Takes another home's opinion.
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
    let doubt = group.and_then(|group| group.failover.doubt.as_mut());
    if let Some(doubt) = doubt.filter(|doubt| doubt.number == number) {
        doubt.opinions.insert(from.clone(), seen);
        decide(daemon, now, fx, database);
    }
}

/// Ends a doubt once the opinions and the servers' answers are in.
pub(super) fn decide(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let servers = servers(daemon, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let Some(doubt) = &group.failover.doubt else {
        return;
    };
    let late = doubt.until <= now.mono;
    let (cause, after) = (doubt.cause, doubt.after);
    let complete = late || doubt.opinions.len() >= doubt.asked;
    let unseen = doubt.opinions.values().filter(|seen| !**seen).count() + 1;
    let agreed = cause != Cause::Silent || majority(unseen, doubt.opinions.len() + 1);
    let fresh = |server: &&id::Server| {
        group.reports.get(*server).is_some_and(|sight| sight.question > after)
    };
    let reached = majority(servers.iter().filter(fresh).count(), servers.len());
    let leader = group.leader.clone();
    let back = leader.as_ref().is_some_and(|leader| fresh(&&leader.server));
    let refusal = match (cause, complete) {
        (Cause::Silent, _) if back => Some("the primary answered again"),
        (_, false) => return,
        _ if !agreed => Some("other homes see the primary"),
        _ if !reached && !late => return,
        _ if !reached => Some("no majority of the servers can be reached"),
        _ => None,
    };
    group.failover.doubt = None;
    match refusal {
        Some(reason) => back_off(daemon, now, fx, database, reason),
        None => attempt(daemon, now, fx, database, None),
    }
}
