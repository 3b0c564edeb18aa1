//! Replacement of a primary that is gone.
//!
//! Any home of a group may doubt the primary after missed reports. It asks the other homes, and
//! asks all servers at the same time; it goes on only when most of the homes that answer cannot see
//! the primary and a majority of the servers can be reached, so that neither a one-sided cut nor a
//! minority fences anything. Then it fences at a term above all it has seen. A server takes a
//! strictly higher fence once, so two promoters never hold a majority at one term. Of a fenced
//! majority the most advanced by (term, position) of its log is promoted; every acknowledged commit
//! is held by a majority, the two majorities meet, and so the promoted log holds it. A promotion is
//! asked once per term: a lost answer leads to a higher term, never to a second primary at the same.
//!
//! A promoter that dies leaves servers at a term without a primary; other homes see that and take
//! over with a higher term. A group that never had a primary gets one in the same way. Loops between
//! rivals end by ranks among the homes and a seeded jitter.

use super::{
    Group, Message, is_home, majority, note,
    report::{self, Asked, Purpose},
    servers, switch, vantages, wake, watches,
};
use crate::{
    effect::Effects,
    id,
    mark::Mark,
    member, peer, rendezvous,
    run::Leader,
    server::{Ask, Refusal, Report, Role},
    state::State as Daemon,
    time::Now,
    timer,
};
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use std::time::Duration;

/// Unanswered questions after which a primary is in doubt.
const MISSES: u32 = 2;
/// Least silence after which a primary is in doubt.
const SILENCE: Duration = Duration::from_millis(150);
/// Longest wait for the opinions of the other homes.
const OPINION: Duration = Duration::from_millis(350);
/// Time between the ranks of homes that doubt the same primary.
const RANK_STEP: Duration = Duration::from_millis(80);
/// Time after which other homes take over a term that got no primary.
const TAKEOVER: Duration = Duration::from_millis(400);
/// Wait for primaries to show before a group without any gets one.
const BOOT: Duration = Duration::from_millis(300);
/// Longest wait for a majority to be fenced, and for a promotion.
const STEP: Duration = Duration::from_millis(300);
/// Longest wait for the rest of the group in a planned change.
const STEP_PLANNED: Duration = Duration::from_millis(60);
/// Mean wait after a failed try.
const BACKOFF: Duration = Duration::from_millis(150);

/// Why a group needs a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The primary does not answer.
    Silent,
    /// Servers are at a term that has no primary.
    Ahead,
    /// No server was ever primary.
    Boot,
}

impl Cause {
    const fn text(self) -> &'static str {
        match self {
            Self::Silent => "the primary does not answer",
            Self::Ahead => "a term has no primary",
            Self::Boot => "the group has no primary",
        }
    }
}

/// A doubt that is being checked.
#[derive(Clone, Debug)]
struct Doubt {
    number: u64,
    cause: Cause,
    /// Answers to questions above this id tell which servers can be reached.
    after: id::Question,
    until: Duration,
    asked: usize,
    opinions: IndexMap<id::Daemon, bool>,
}

/// A promotion under way.
#[derive(Clone, Debug)]
struct Attempt {
    term: id::Term,
    began: Duration,
    old: Option<Leader>,
    prefer: Option<id::Server>,
    fenced: IndexMap<id::Server, Mark>,
    open: usize,
    promoted: Option<id::Server>,
}

/// Another home that waits for this one's opinion.
#[derive(Clone, Debug)]
struct Asker {
    daemon: id::Daemon,
    number: u64,
    at: Duration,
}

/// What a home keeps to replace the primary of a group.
#[derive(Clone, Debug, Default)]
pub(super) struct Failover {
    last: u64,
    noticed: Option<(Cause, Duration)>,
    doubt: Option<Doubt>,
    attempt: Option<Attempt>,
    askers: Vec<Asker>,
    backoff: Duration,
}

impl Failover {
    /// Whether the primary is in doubt or being replaced.
    pub(super) const fn doubts(&self) -> bool {
        self.noticed.is_some() || self.attempt.is_some()
    }

    /// Whether a promotion is under way.
    pub(super) const fn busy(&self) -> bool {
        self.attempt.is_some()
    }
}

/// Opens a doubt when there is cause and it is this home's turn.
pub(super) fn consider(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
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
    let leader = super::leader(daemon, database);
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
pub(super) fn on_suspect(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    database: &id::Database,
    leader: &Leader,
    number: u64,
) {
    super::learn(daemon, now, fx, database, leader.clone());
    let newer = super::leader(daemon, database).is_some_and(|known| known.term > leader.term);
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
    let leader = super::leader(daemon, database);
    let message = Message::Opinion { database: database.clone(), number, seen, leader };
    member::send(daemon, fx, to, peer::Message::Group(message));
}

/// Tells those who asked whether the primary answered.
pub(super) fn on_status(
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
pub(super) fn on_opinion(
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
fn decide(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
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

/// Fences all servers at a term above every term seen.
pub(super) fn attempt(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    prefer: Option<id::Server>,
) {
    let servers = servers(daemon, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let old = group.leader.clone();
    let known = group.reports.values().map(|sight| sight.report.term);
    let term = known.chain(old.as_ref().map(|old| old.term)).max().unwrap_or(0) + 1;
    let step = if prefer.is_some() { STEP_PLANNED } else { STEP };
    group.failover.attempt = Some(Attempt {
        term,
        began: now.mono,
        old,
        prefer,
        fenced: IndexMap::default(),
        open: servers.len(),
        promoted: None,
    });
    fx.arm(timer::Key::Failover(database.clone()), now.mono + step);
    for server in servers {
        note(daemon, fx, database, &server, Some(term), "fence");
        report::ask(daemon, now, fx, &server, Ask::Fence(term), Purpose::Fence(term));
    }
}

/// Takes the answer to a fence.
pub(super) fn on_fence(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Asked,
    term: id::Term,
    result: Result<Report, Refusal>,
) {
    let database = &asked.database;
    let size = servers(daemon, database).len();
    let Some(attempt) = attempt_at(daemon, database, term) else {
        return;
    };
    attempt.open = attempt.open.saturating_sub(1);
    if let Ok(report) = result {
        attempt.fenced.insert(asked.server.clone(), report.received);
    }
    let enough = majority(attempt.fenced.len(), size);
    let waits = attempt.prefer.is_some() && attempt.open > 0;
    if attempt.promoted.is_some() || waits {
        return;
    }
    if enough {
        promote(daemon, now, fx, database);
    } else if !majority(attempt.fenced.len() + attempt.open, size) {
        back_off(daemon, now, fx, database, "no majority took the fence");
    }
}

fn attempt_at<'a>(
    daemon: &'a mut Daemon,
    database: &id::Database,
    term: id::Term,
) -> Option<&'a mut Attempt> {
    let group = daemon.group.groups.get_mut(database)?;
    group.failover.attempt.as_mut().filter(|attempt| attempt.term == term)
}

/// Promotes the most advanced of the fenced servers.
fn promote(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(server) = pick(daemon, database) else {
        return back_off(daemon, now, fx, database, "no server can be promoted");
    };
    let group = daemon.group.groups.get_mut(database);
    let Some(attempt) = group.and_then(|group| group.failover.attempt.as_mut()) else {
        return;
    };
    attempt.promoted = Some(server.clone());
    let (term, mark) = (attempt.term, attempt.fenced[&server]);
    let reason: CompactString =
        format_compact!("promote the most advanced, at {} of term {}", mark.position, mark.term);
    note(daemon, fx, database, &server, Some(term), reason);
    fx.arm(timer::Key::Failover(database.clone()), now.mono + STEP);
    report::ask(daemon, now, fx, &server, Ask::Promote(term), Purpose::Promote(term));
}

/// The server to promote: the planned one if a fenced majority holds nothing beyond it, else the
/// most advanced; among equals one that stays, answers, and lies in the old primary's region.
fn pick(daemon: &Daemon, database: &id::Database) -> Option<id::Server> {
    let size = daemon.config.snapshot.group(database).len();
    let group = daemon.group.groups.get(database)?;
    let attempt = group.failover.attempt.as_ref()?;
    if let Some((prefer, mark)) =
        attempt.prefer.as_ref().and_then(|p| attempt.fenced.get_key_value(p))
    {
        let behind = attempt.fenced.values().filter(|fenced| *fenced <= mark).count();
        if majority(behind, size) {
            return Some(prefer.clone());
        }
    }
    let snapshot = &daemon.config.snapshot;
    let domain = |server: &id::Server| snapshot.server(server).map_or("", |server| &server.domain);
    let old = attempt.old.as_ref().map(|old| &old.server);
    let region = old.map(|old| snapshot.region(domain(old)));
    let preference = |server: &id::Server| {
        let stays = snapshot.server(server).is_some_and(|server| !server.leaving);
        let steady = !group.watch.silent.contains_key(server) && old != Some(server);
        (stays, steady, Some(snapshot.region(domain(server))) == region)
    };
    let best = attempt.fenced.iter().max_by_key(|(server, mark)| (**mark, preference(server)));
    best.map(|(server, _)| server.clone())
}

/// Takes the answer to a promotion; its report already made the server the leader if it agreed.
pub(super) fn on_promote(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Asked,
    term: id::Term,
    result: Result<Report, Refusal>,
) {
    if attempt_at(daemon, &asked.database, term).is_none() {
        return;
    }
    let promoted = result.is_ok_and(|report| report.role == Role::Primary && report.term == term);
    if !promoted {
        back_off(daemon, now, fx, &asked.database, "the promotion was not confirmed");
    }
}

/// Ends a doubt or a promotion that a leader's appearance decides.
pub(super) fn on_leader(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let Some(leader) = group.leader.clone() else {
        return;
    };
    group.failover.doubt = None;
    group.failover.noticed = None;
    let attempt = group.failover.attempt.take_if(|attempt| attempt.term <= leader.term);
    let mine = attempt.filter(|attempt| attempt.term == leader.term);
    let reason = if mine.is_some() { "promoted" } else { "learned the primary" };
    note(daemon, fx, database, &leader.server, Some(leader.term), reason);
    if let Some(attempt) = mine {
        fx.observe("gcl_failover_seconds", database.clone(), now.since(attempt.began));
        for server in servers(daemon, database) {
            if server != leader.server {
                report::tell_follow(daemon, now, fx, database, &server);
            }
        }
    }
    let alone = is_home(daemon, &leader.server);
    fx.gauge("gcl_primary_here", database.clone(), if alone { 1.0 } else { 0.0 });
}

/// Ends a step that took too long.
pub(super) fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let size = servers(daemon, database).len();
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    let Some(attempt) = &group.failover.attempt else {
        return decide(daemon, now, fx, database);
    };
    let enough = majority(attempt.fenced.len(), size);
    if attempt.promoted.is_some() {
        back_off(daemon, now, fx, database, "the promotion took too long");
    } else if enough {
        promote(daemon, now, fx, database);
    } else if attempt.prefer.is_some() && now.since(attempt.began) < STEP {
        fx.arm(timer::Key::Failover(database.clone()), attempt.began + STEP);
    } else {
        back_off(daemon, now, fx, database, "fencing took too long");
    }
}

/// Gives up a doubt or a promotion for a while.
fn back_off(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    reason: &str,
) {
    let pause = daemon.random.jitter(BACKOFF);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    group.failover.doubt = None;
    let attempt = group.failover.attempt.take();
    group.switch = None;
    group.failover.backoff = now.mono + pause;
    let term = attempt.map(|attempt| attempt.term);
    let server = group.leader.as_ref().map(|leader| leader.server.clone()).unwrap_or_default();
    note(daemon, fx, database, &server, term, format_compact!("refused: {reason}"));
    fx.cancel(timer::Key::Failover(database.clone()));
    wake(daemon, fx, database, now.mono + pause);
}
