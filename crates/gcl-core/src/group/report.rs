//! Control questions to the servers of a group and the reports that answer them.

use super::{
    Group, failover, horizon, is_home, learn, notify_new_leader, quorum, record_failover,
    schedule_timer, servers, switchover, view,
};
use crate::{
    effect::Effects,
    id,
    mark::Mark,
    server::{Ask, Call, Failure, Report, Role},
    state::State as Daemon,
    time::Now,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Interval at which the primary's home polls all servers of the group.
const LEADER_POLL: Duration = Duration::from_millis(400);
/// Interval at which a replica's home polls the primary.
const PRIMARY_POLL: Duration = Duration::from_millis(500);
/// Interval at which a replica's home polls its own server.
const OWN_POLL: Duration = Duration::from_secs(1);
/// Interval at which all servers are polled while the primary is suspected or unknown.
const SUSPICION_POLL: Duration = Duration::from_millis(100);
/// Maximum wait for a report.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time beyond its timeout after which a question without any answer counts as lost.
const EXPIRY_GRACE: Duration = Duration::from_millis(100);
/// Minimum time between two attempts to make a server follow at the same term.
const FOLLOW_RETRY: Duration = Duration::from_millis(200);
/// Time without progress after which a replica behind its primary is made to follow again.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The purpose of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Monitoring.
    Status,
    /// Waiting until a replica holds a commit.
    Commit,
    /// Waiting until a replica can serve a read.
    Ready,
    /// Fencing at a term.
    Fence(id::Term),
    /// Promotion at a term.
    Promote(id::Term),
    /// Following the primary of a term.
    Follow(id::Term),
}

/// A question that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub database: id::Database,
    pub server: id::Server,
    pub purpose: Purpose,
    pub sent: Duration,
    expires: Duration,
}

/// The newest report of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The report.
    pub report: Report,
    /// The question that the report answers; later questions have higher ids.
    pub question: id::Question,
    /// When the question was sent, on this daemon's monotonic clock.
    pub sent: Duration,
}

/// Consecutive questions that a server has not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unanswered {
    pub since: Duration,
    pub count: u32,
}

/// The progress of a replica that has accepted a primary to follow.
#[derive(Clone, Copy, Debug)]
struct Followed {
    term: id::Term,
    received: Mark,
    progressed_at: Duration,
}

/// The state that a home keeps to monitor a group.
#[derive(Clone, Debug, Default)]
pub(super) struct Watch {
    pub unanswered: IndexMap<id::Server, Unanswered>,
    polled_at: IndexMap<id::Server, Duration>,
    open_status: IndexMap<id::Server, id::Question>,
    followed: IndexMap<id::Server, Followed>,
    follow_sent: IndexMap<id::Server, (id::Term, Duration)>,
}

/// Sends a question to a server; none if the server is not configured.
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
    let expires = now.mono + timeout + EXPIRY_GRACE;
    let asked = Pending { database, server: server.clone(), purpose, sent: now.mono, expires };
    schedule_timer(daemon, fx, &asked.database, expires);
    daemon.group.questions.insert(question, asked);
    fx.server(server, Call::Ask { question, address, ask, timeout });
    Some(question)
}

/// Requests a server's status, unless such a question is open.
pub(super) fn poll_status(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(config) = daemon.config.snapshot.server(server) else {
        return;
    };
    let database = config.database.clone();
    let group = daemon.group.groups.entry(database.clone()).or_default();
    group.watch.polled_at.insert(server.clone(), now.mono);
    let open = group.watch.open_status.get(server).copied();
    if open.is_some_and(|question| daemon.group.questions.contains_key(&question)) {
        return;
    }
    request_status(daemon, now, fx, server);
}

/// Requests a server's status, even if such a question is open.
pub(super) fn request_status(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(question) = ask(daemon, now, fx, server, Ask::Status, Purpose::Status) else {
        return;
    };
    let database = &daemon.group.questions[&question].database;
    if let Some(group) = daemon.group.groups.get_mut(database) {
        group.watch.open_status.insert(server.clone(), question);
        group.watch.polled_at.insert(server.clone(), now.mono);
    }
}

/// Polls the servers that are due and schedules the next poll.
pub(super) fn poll(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let mut next = now.mono + OWN_POLL;
    for server in servers(daemon, database) {
        let Some(period) = poll_period(daemon, database, &server) else {
            continue;
        };
        let group = daemon.group.groups.entry(database.clone()).or_default();
        let polled_at = group.watch.polled_at.get(&server).copied();
        let due = polled_at.map_or(now.mono, |polled_at| polled_at + period);
        if due <= now.mono {
            poll_status(daemon, now, fx, &server);
            next = next.min(now.mono + period);
        } else {
            next = next.min(due);
        }
    }
    schedule_timer(daemon, fx, database, next);
}

fn poll_period(daemon: &Daemon, database: &id::Database, server: &id::Server) -> Option<Duration> {
    let group = daemon.group.groups.get(database)?;
    let Some(leader) = &group.leader else {
        return Some(SUSPICION_POLL);
    };
    if group.failover.is_active() || group.watch.unanswered.contains_key(&leader.server) {
        return Some(SUSPICION_POLL);
    }
    if is_home(daemon, &leader.server) {
        return Some(LEADER_POLL);
    }
    if leader.server == *server {
        return Some(PRIMARY_POLL);
    }
    is_home(daemon, server).then_some(OWN_POLL)
}

/// Treats questions that have expired without an answer as lost.
pub(super) fn expire_questions(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
) {
    let questions = &daemon.group.questions;
    let expired = questions.iter().filter(|(_, asked)| asked.expires <= now.mono);
    let expired: Vec<_> =
        expired.filter(|(_, a)| a.database == *database).map(|(id, _)| *id).collect();
    for question in expired {
        on_report(daemon, now, fx, question, Err(Failure::Lost("no answer".into())));
    }
    let open = daemon.group.questions.values().filter(|asked| asked.database == *database);
    if let Some(next) = open.map(|asked| asked.expires).min() {
        schedule_timer(daemon, fx, database, next);
    }
}

/// Handles the answer to a control question.
pub fn on_report(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    question: id::Question,
    result: std::result::Result<Report, Failure>,
) {
    let Some(asked) = daemon.group.questions.swap_remove(&question) else {
        return;
    };
    match &result {
        Ok(report) | Err(Failure::Refused(report)) => {
            observe(daemon, now, fx, &asked, question, report);
        }
        Err(Failure::Lost(_)) => on_no_answer(daemon, now, fx, &asked),
    }
    match asked.purpose {
        Purpose::Status => failover::on_status(daemon, now, fx, &asked, result.is_ok()),
        Purpose::Commit => quorum::on_await(daemon, now, fx, &asked),
        Purpose::Ready => horizon::on_await(daemon, now, fx, &asked, question),
        Purpose::Fence(term) => failover::on_fence(daemon, now, fx, &asked, term, result),
        Purpose::Promote(term) => failover::on_promote(daemon, now, fx, &asked, term, result),
        Purpose::Follow(term) => on_follow(daemon, now, fx, &asked, term, result.is_ok()),
    }
    settle(daemon, now, fx, &asked.database);
}

fn settle(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    notify_new_leader(daemon, now, fx, database);
    quorum::settle(daemon, now, fx, database);
    horizon::settle(daemon, now, fx, database);
    switchover::advance(daemon, now, fx, database);
    failover::evaluate(daemon, now, fx, database);
}

fn observe(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Pending,
    question: id::Question,
    report: &Report,
) {
    let (database, server) = (&asked.database, &asked.server);
    let group = daemon.group.groups.entry(database.clone()).or_default();
    if group.watch.unanswered.get(server).is_some_and(|unanswered| unanswered.since <= asked.sent) {
        group.watch.unanswered.swap_remove(server);
    }
    if group.reports.get(server).is_some_and(|observation| observation.question > question) {
        return;
    }
    let went_back =
        group.reports.get(server).is_some_and(|old| report.applied < old.report.applied);
    if went_back {
        group.horizon.invalidate(server, question - 1);
    }
    let observation = Observation { report: report.clone(), question, sent: asked.sent };
    group.reports.insert(server.clone(), observation);
    if report.role == Role::Primary {
        let leader = crate::run::Leader { term: report.term, server: server.clone() };
        learn(daemon, now, fx, database, leader);
    }
    view::on_observation(daemon, now, fx, database, server);
    ensure_follows(daemon, now, fx, database, server);
}

/// Counts an unanswered question. A status question to the primary is repeated at once if it is the
/// first unanswered one.
fn on_no_answer(daemon: &mut Daemon, now: Now, fx: &mut Effects, asked: &Pending) {
    let (database, server) = (&asked.database, &asked.server);
    let last = daemon.counters.question();
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    group.horizon.invalidate(server, last);
    if group.reports.get(server).is_some_and(|observation| observation.sent > asked.sent) {
        return;
    }
    let unanswered = Unanswered { since: asked.sent, count: 0 };
    let unanswered = group.watch.unanswered.entry(server.clone()).or_insert(unanswered);
    unanswered.count += 1;
    let first = unanswered.count == 1;
    let is_leader = group.leader.as_ref().is_some_and(|leader| leader.server == *server);
    if first && is_leader && asked.purpose == Purpose::Status {
        request_status(daemon, now, fx, server);
    }
}

/// Handles a failure of a server's data connections: requests its status at once and invalidates
/// older reports of what it has applied.
pub fn on_connection_failure(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(config) = daemon.config.snapshot.server(server) else {
        return;
    };
    let database = config.database.clone();
    let last = daemon.counters.question();
    if let Some(group) = daemon.group.groups.get_mut(&database) {
        group.horizon.invalidate(server, last);
    }
    request_status(daemon, now, fx, server);
}

/// Makes the servers of which this daemon is home follow a new leader. The leader's home also
/// requests the status of all servers at once, so that writes can start.
pub(super) fn on_leader(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let leads = super::leader(daemon, database).is_some_and(|it| is_home(daemon, &it.server));
    for server in servers(daemon, database) {
        ensure_follows(daemon, now, fx, database, &server);
        if leads {
            request_status(daemon, now, fx, &server);
        }
    }
}

/// Makes a server follow the leader if this daemon is its home and it does not follow already.
fn ensure_follows(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    server: &id::Server,
) {
    if is_home(daemon, server) && must_follow(daemon, now, database, server) {
        send_follow(daemon, now, fx, database, server);
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
    let (Some(leader), Some(observation)) = (&group.leader, group.reports.get(server)) else {
        return false;
    };
    let report = &observation.report;
    if leader.server == *server || report.term > leader.term {
        return false;
    }
    let head = group.reports.get(&leader.server).map(|observation| observation.report.received);
    let behind = head.is_some_and(|head| report.received < head);
    match group.watch.followed.get_mut(server) {
        Some(followed) if followed.term == leader.term && report.term == leader.term => {
            if !behind || followed.received != report.received {
                followed.received = report.received;
                followed.progressed_at = now.mono;
            }
            now.since(followed.progressed_at) > STALL_TIMEOUT
        }
        _ => true,
    }
}

/// Asks a server to follow the leader, unless it was asked recently.
pub(super) fn send_follow(
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
    let follow_sent = group.watch.follow_sent.get(server);
    if follow_sent.is_some_and(|(at, when)| *at == term && now.since(*when) < FOLLOW_RETRY) {
        return;
    }
    group.watch.follow_sent.insert(server.clone(), (term, now.mono));
    let purpose = Purpose::Follow(term);
    let question = Ask::Follow { term, server: leader.server, address };
    record_failover(daemon, fx, database, server, Some(term), "told to follow the primary");
    ask(daemon, now, fx, server, question, purpose);
}

fn on_follow(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Pending,
    term: id::Term,
    accepted: bool,
) {
    let Some(group) = daemon.group.groups.get_mut(&asked.database) else {
        return;
    };
    if accepted {
        let received = received(group, &asked.server);
        let followed = Followed { term, received, progressed_at: now.mono };
        group.watch.followed.insert(asked.server.clone(), followed);
    } else {
        record_failover(daemon, fx, &asked.database, &asked.server, Some(term), "did not follow");
    }
}

fn received(group: &Group, server: &id::Server) -> Mark {
    group.reports.get(server).map_or_else(Mark::default, |observation| observation.report.received)
}
