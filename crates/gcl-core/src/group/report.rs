//! Control questions to the servers of a group, and what their answers tell.

use super::{
    Group, failover, horizon, is_home, learn, note, publish, round, servers, switch, view, wake,
};
use crate::{
    effect::Effects,
    id,
    mark::Mark,
    server::{Ask, Call, Refusal, Report, Role},
    state::State as Daemon,
    time::Now,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Time between questions of a primary's home to all servers of the group.
const LEADER_POLL: Duration = Duration::from_millis(400);
/// Time between questions of a replica's home to the primary.
const PRIMARY_POLL: Duration = Duration::from_millis(500);
/// Time between questions of a replica's home to its own server.
const OWN_POLL: Duration = Duration::from_secs(1);
/// Time between questions to all servers while the primary is in doubt.
const DOUBT_POLL: Duration = Duration::from_millis(100);
/// Longest wait for a report.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time beyond its timeout after which a question without any answer is given up.
const GRACE: Duration = Duration::from_millis(100);
/// Least time between two tries to make a server follow at one term.
const FOLLOW_RETRY: Duration = Duration::from_millis(200);
/// Time without progress after which a replica behind its primary is told to follow again.
const STALL: Duration = Duration::from_secs(2);

/// What a question is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// To know.
    Status,
    /// To hear when a replica holds a commit.
    Hold,
    /// To hear when a replica can serve.
    Ready,
    /// To fence at a term.
    Fence(id::Term),
    /// To promote at a term.
    Promote(id::Term),
    /// To follow at a term.
    Follow(id::Term),
}

/// A question that has no answer yet.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub database: id::Database,
    pub server: id::Server,
    pub purpose: Purpose,
    pub sent: Duration,
    expires: Duration,
}

/// The newest report of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sight {
    /// The report.
    pub report: Report,
    /// The question that it answers; later questions have higher ids.
    pub question: id::Question,
    /// When the question was sent, on this daemon's monotonic clock.
    pub sent: Duration,
}

/// Questions that a server left without an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silence {
    pub since: Duration,
    pub misses: u32,
}

/// A replica that was told whom to follow.
#[derive(Clone, Copy, Debug)]
struct Followed {
    term: id::Term,
    received: Mark,
    moved: Duration,
}

/// What a home keeps to watch a group.
#[derive(Clone, Debug, Default)]
pub(super) struct Watch {
    pub silent: IndexMap<id::Server, Silence>,
    polled: IndexMap<id::Server, Duration>,
    open: IndexMap<id::Server, id::Question>,
    followed: IndexMap<id::Server, Followed>,
    told: IndexMap<id::Server, (id::Term, Duration)>,
}

/// Asks a server; none if the configuration does not know it.
pub(super) fn ask(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    ask: Ask,
    purpose: Purpose,
) -> Option<id::Question> {
    let config = daemon.config.snapshot.server(server)?;
    let (address, database) = (config.address, config.database.clone());
    let wait = if let Ask::Await { wait, .. } = &ask { *wait } else { Duration::ZERO };
    let timeout = wait + REPORT_TIMEOUT;
    let question = daemon.counters.question();
    let expires = now.mono + timeout + GRACE;
    let asked = Asked { database, server: server.clone(), purpose, sent: now.mono, expires };
    wake(daemon, fx, &asked.database, expires);
    daemon.group.questions.insert(question, asked);
    fx.server(server, Call::Ask { question, address, ask, timeout });
    Some(question)
}

/// Asks a server for its status, unless such a question is open.
pub(super) fn status(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(config) = daemon.config.snapshot.server(server) else {
        return;
    };
    let database = config.database.clone();
    let group = daemon.group.groups.entry(database.clone()).or_default();
    group.watch.polled.insert(server.clone(), now.mono);
    let open = group.watch.open.get(server).copied();
    if open.is_some_and(|question| daemon.group.questions.contains_key(&question)) {
        return;
    }
    fresh_status(daemon, now, fx, server);
}

/// Asks a server for its status, whatever is open.
pub(super) fn fresh_status(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(question) = ask(daemon, now, fx, server, Ask::Status, Purpose::Status) else {
        return;
    };
    let database = &daemon.group.questions[&question].database;
    if let Some(group) = daemon.group.groups.get_mut(database) {
        group.watch.open.insert(server.clone(), question);
        group.watch.polled.insert(server.clone(), now.mono);
    }
}

/// Asks the servers whose reports are due and arms the timer for the next.
pub(super) fn poll(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let mut next = now.mono + OWN_POLL;
    for server in servers(daemon, database) {
        let Some(period) = period(daemon, database, &server) else {
            continue;
        };
        let group = daemon.group.groups.entry(database.clone()).or_default();
        let polled = group.watch.polled.get(&server).copied();
        let due = polled.map_or(now.mono, |polled| polled + period);
        if due <= now.mono {
            status(daemon, now, fx, &server);
            next = next.min(now.mono + period);
        } else {
            next = next.min(due);
        }
    }
    wake(daemon, fx, database, next);
}

fn period(daemon: &Daemon, database: &id::Database, server: &id::Server) -> Option<Duration> {
    let group = daemon.group.groups.get(database)?;
    let Some(leader) = &group.leader else {
        return Some(DOUBT_POLL);
    };
    if group.failover.doubts() || group.watch.silent.contains_key(&leader.server) {
        return Some(DOUBT_POLL);
    }
    if is_home(daemon, &leader.server) {
        return Some(LEADER_POLL);
    }
    if leader.server == *server {
        return Some(PRIMARY_POLL);
    }
    is_home(daemon, server).then_some(OWN_POLL)
}

/// Treats questions whose answer never came as lost.
pub(super) fn expire(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let questions = &daemon.group.questions;
    let late = questions.iter().filter(|(_, asked)| asked.expires <= now.mono);
    let late: Vec<_> = late.filter(|(_, a)| a.database == *database).map(|(id, _)| *id).collect();
    for question in late {
        on_report(daemon, now, fx, question, Err(Refusal::Lost("no answer".into())));
    }
    let open = daemon.group.questions.values().filter(|asked| asked.database == *database);
    if let Some(next) = open.map(|asked| asked.expires).min() {
        wake(daemon, fx, database, next);
    }
}

/// Takes the answer to a control question.
pub fn on_report(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    question: id::Question,
    result: std::result::Result<Report, Refusal>,
) {
    let Some(asked) = daemon.group.questions.swap_remove(&question) else {
        return;
    };
    match &result {
        Ok(report) | Err(Refusal::Refused(report)) => {
            observe(daemon, now, fx, &asked, question, report);
        }
        Err(Refusal::Lost(_)) => miss(daemon, now, fx, &asked),
    }
    match asked.purpose {
        Purpose::Status => failover::on_status(daemon, now, fx, &asked, result.is_ok()),
        Purpose::Hold => round::on_await(daemon, now, fx, &asked),
        Purpose::Ready => horizon::on_await(daemon, now, fx, &asked, question),
        Purpose::Fence(term) => failover::on_fence(daemon, now, fx, &asked, term, result),
        Purpose::Promote(term) => failover::on_promote(daemon, now, fx, &asked, term, result),
        Purpose::Follow(term) => on_follow(daemon, now, fx, &asked, term, result.is_ok()),
    }
    settle(daemon, now, fx, &asked.database);
}

fn settle(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    publish(daemon, now, fx, database);
    round::settle(daemon, now, fx, database);
    horizon::settle(daemon, now, fx, database);
    switch::advance(daemon, now, fx, database);
    failover::consider(daemon, now, fx, database);
}

fn observe(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Asked,
    question: id::Question,
    report: &Report,
) {
    let (database, server) = (&asked.database, &asked.server);
    let group = daemon.group.groups.entry(database.clone()).or_default();
    if group.watch.silent.get(server).is_some_and(|silence| silence.since <= asked.sent) {
        group.watch.silent.swap_remove(server);
    }
    if group.reports.get(server).is_some_and(|sight| sight.question > question) {
        return;
    }
    let back = group.reports.get(server).is_some_and(|old| report.applied < old.report.applied);
    if back {
        group.horizon.forget(server, question - 1);
    }
    let sight = Sight { report: report.clone(), question, sent: asked.sent };
    group.reports.insert(server.clone(), sight);
    if report.role == Role::Primary {
        let leader = crate::run::Leader { term: report.term, server: server.clone() };
        learn(daemon, now, fx, database, leader);
    }
    view::on_sight(daemon, now, fx, database, server);
    follow(daemon, now, fx, database, server);
}

/// Counts a question without an answer and asks again while the primary is in doubt.
fn miss(daemon: &mut Daemon, now: Now, fx: &mut Effects, asked: &Asked) {
    let (database, server) = (&asked.database, &asked.server);
    let last = daemon.counters.question();
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    group.horizon.forget(server, last);
    if group.reports.get(server).is_some_and(|sight| sight.sent > asked.sent) {
        return;
    }
    let silence = Silence { since: asked.sent, misses: 0 };
    let silence = group.watch.silent.entry(server.clone()).or_insert(silence);
    silence.misses += 1;
    let again = silence.misses == 1;
    let leads = group.leader.as_ref().is_some_and(|leader| leader.server == *server);
    if again && leads && asked.purpose == Purpose::Status {
        fresh_status(daemon, now, fx, server);
    }
}

/// Notes that a server's data connections failed: asks for its status at once and trusts no older
/// report of what it has applied.
pub fn on_trouble(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(config) = daemon.config.snapshot.server(server) else {
        return;
    };
    let database = config.database.clone();
    let last = daemon.counters.question();
    if let Some(group) = daemon.group.groups.get_mut(&database) {
        group.horizon.forget(server, last);
    }
    fresh_status(daemon, now, fx, server);
}

/// Makes all own servers follow a new leader; its home asks all servers at once, so that writes can
/// start.
pub(super) fn on_leader(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let leads = super::leader(daemon, database).is_some_and(|it| is_home(daemon, &it.server));
    for server in servers(daemon, database) {
        follow(daemon, now, fx, database, &server);
        if leads {
            fresh_status(daemon, now, fx, &server);
        }
    }
}

/// Makes a server of which this daemon is home follow the leader.
fn follow(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    server: &id::Server,
) {
    if is_home(daemon, server) && must_follow(daemon, now, database, server) {
        tell_follow(daemon, now, fx, database, server);
    }
}

fn must_follow(
    daemon: &mut Daemon,
    now: Now,
    database: &id::Database,
    server: &id::Server,
) -> bool {
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return false;
    };
    let (Some(leader), Some(sight)) = (&group.leader, group.reports.get(server)) else {
        return false;
    };
    let report = &sight.report;
    if leader.server == *server || report.term > leader.term {
        return false;
    }
    let head = group.reports.get(&leader.server).map(|sight| sight.report.received);
    let behind = head.is_some_and(|head| report.received < head);
    match group.watch.followed.get_mut(server) {
        Some(followed) if followed.term == leader.term && report.term == leader.term => {
            if !behind || followed.received != report.received {
                followed.received = report.received;
                followed.moved = now.mono;
            }
            now.since(followed.moved) > STALL
        }
        _ => true,
    }
}

/// Tells a server to follow the leader, unless it was just told.
pub(super) fn tell_follow(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    server: &id::Server,
) {
    let group = daemon.group.groups.entry(database.clone()).or_default();
    let Some(leader) = group.leader.clone() else {
        return;
    };
    let Some(config) = daemon.config.snapshot.server(&leader.server) else {
        return;
    };
    let (term, address) = (leader.term, config.address);
    let told = group.watch.told.get(server);
    if told.is_some_and(|(at, when)| *at == term && now.since(*when) < FOLLOW_RETRY) {
        return;
    }
    group.watch.told.insert(server.clone(), (term, now.mono));
    let purpose = Purpose::Follow(term);
    let question = Ask::Follow { term, server: leader.server, address };
    note(daemon, fx, database, server, Some(term), "told to follow the primary");
    ask(daemon, now, fx, server, question, purpose);
}

fn on_follow(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Asked,
    term: id::Term,
    agreed: bool,
) {
    let Some(group) = daemon.group.groups.get_mut(&asked.database) else {
        return;
    };
    if agreed {
        let received = received(group, &asked.server);
        let followed = Followed { term, received, moved: now.mono };
        group.watch.followed.insert(asked.server.clone(), followed);
    } else {
        note(daemon, fx, &asked.database, &asked.server, Some(term), "did not follow");
    }
}

fn received(group: &Group, server: &id::Server) -> Mark {
    group.reports.get(server).map_or_else(Mark::default, |sight| sight.report.received)
}
