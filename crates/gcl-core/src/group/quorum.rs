//! Majorities: proofs that a primary has not been superseded, and waits for replicated commits.
//!
//! A round queries all servers of a group on behalf of every waiter that was present when it began;
//! later ones are served by the next round. A proof of leadership counts the servers that reported
//! the leader's term in answer to a question asked after the waiter arrived. A commit counts the
//! servers that report its term both as their own term and as the term of their last log entry,
//! because the same position of another term may belong to a diverged log. A server that reported
//! such a mark held it before it was fenced, so the report remains valid.

use super::{
    Group, horizon, is_majority,
    report::{self, Pending, Purpose},
    schedule_timer, servers,
};
use crate::{
    code::{Code, Fault, Result},
    effect::Effects,
    home, id,
    mark::Mark,
    run::Leader,
    server::{Ask, Role},
    state::State as Daemon,
    time::Now,
};
use std::time::Duration;

/// Maximum wait for a proof of leadership.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a round repeats its question to servers that have not answered.
const ROUND_RETRY: Duration = Duration::from_millis(150);
/// Maximum wait for a majority to hold a commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a server reports its state even if the commit has not arrived.
const AWAIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a replica is asked again if its answer did not complete a majority.
const COMMIT_RETRY: Duration = Duration::from_millis(50);
/// Maximum number of open commit questions per server.
const MAX_OPEN_AWAITS: usize = 2;
/// Maximum age of a majority's reports for a write to start.
const WRITABLE_MAX_AGE: Duration = Duration::from_secs(1);
/// Retry hint for a request whose proof of leadership failed.
const RETRY_AFTER: Duration = Duration::from_millis(20);

/// A waiter for a proof of leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Waiter {
    /// A strong read of this home.
    Request(id::Request),
    /// A horizon request of a replica's home, with its number.
    Horizon(id::Daemon, u64),
}

#[derive(Clone, Debug)]
struct ProofWait {
    waiter: Waiter,
    leader: Option<Leader>,
    deadline: Duration,
}

#[derive(Clone, Copy, Debug)]
struct CommitWait {
    mark: Mark,
    waiter: id::Request,
    deadline: Duration,
}

/// The rounds and commit waits of one group.
#[derive(Clone, Debug, Default)]
pub(super) struct Rounds {
    /// Answers to questions above this id count for the current round.
    after: id::Question,
    asked_at: Duration,
    current: Vec<ProofWait>,
    next: Vec<ProofWait>,
    commit_waits: Vec<CommitWait>,
}

impl Rounds {
    /// Whether commits wait for a majority.
    pub(super) const fn has_commit_waits(&self) -> bool {
        !self.commit_waits.is_empty()
    }
}

/// Proves that the primary had not been superseded when this was called, and then calls
/// [`home::on_leadership_proof`].
pub fn prove_leadership(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    waiter: id::Request,
) {
    if super::leader(daemon, database).is_none() {
        return home::on_leadership_proof(
            daemon,
            now,
            fx,
            waiter,
            Err(no_primary("no primary is known")),
        );
    }
    prove_for(daemon, now, fx, database, Waiter::Request(waiter));
}

/// Proves the primary's leadership on behalf of a waiter.
pub(super) fn prove_for(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    waiter: Waiter,
) {
    let group = daemon.group.groups.entry(database.clone()).or_default();
    let deadline = now.mono + PROOF_TIMEOUT;
    group.quorum.next.push(ProofWait { waiter, leader: group.leader.clone(), deadline });
    schedule_timer(daemon, fx, database, deadline);
    start_round(daemon, now, fx, database);
}

/// Starts a round for the waiters, unless one is in progress.
fn start_round(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let after = daemon.counters.question();
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    if !group.quorum.current.is_empty() || group.quorum.next.is_empty() {
        return;
    }
    group.quorum.current = std::mem::take(&mut group.quorum.next);
    group.quorum.after = after;
    group.quorum.asked_at = now.mono;
    for server in servers(daemon, database) {
        report::request_status(daemon, now, fx, &server);
    }
    schedule_timer(daemon, fx, database, now.mono + ROUND_RETRY);
}

/// Ends the waits that the current reports decide.
pub(super) fn settle(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    settle_commits(daemon, now, fx, database);
    settle_proofs(daemon, now, fx, database);
}

fn settle_proofs(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let servers = servers(daemon, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    if group.quorum.current.is_empty() {
        return;
    }
    let leadership = leadership(group, &servers, group.quorum.after);
    let leader = group.leader.clone();
    let proofs = std::mem::take(&mut group.quorum.current);
    let mut ended = Vec::new();
    for wait in proofs {
        let changed = wait.leader != leader && matches!(wait.waiter, Waiter::Request(_));
        match leadership {
            _ if changed => ended.push((wait.waiter, Err(no_primary("the primary changed")))),
            Some(true) => ended.push((wait.waiter, Ok(()))),
            Some(false) => ended.push((wait.waiter, Err(no_primary("a higher term exists")))),
            None if wait.deadline <= now.mono => {
                ended.push((wait.waiter, Err(no_primary("no majority answered"))));
            }
            None => group.quorum.current.push(wait),
        }
    }
    let timed_out = |wait: &mut ProofWait| wait.deadline <= now.mono;
    for wait in group.quorum.next.extract_if(.., timed_out) {
        ended.push((wait.waiter, Err(no_primary("no majority answered"))));
    }
    for (waiter, proof) in ended {
        notify(daemon, now, fx, database, waiter, proof);
    }
    start_round(daemon, now, fx, database);
}

fn notify(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    waiter: Waiter,
    proof: Result<()>,
) {
    match waiter {
        Waiter::Request(request) => home::on_leadership_proof(daemon, now, fx, request, proof),
        Waiter::Horizon(from, number) => {
            horizon::answer(daemon, fx, &from, database, number, proof.is_ok());
        }
    }
}

/// Whether the primary and a majority confirmed the leader's term in answers to questions above
/// `after`; none while undecided.
fn leadership(group: &Group, servers: &[id::Server], after: id::Question) -> Option<bool> {
    let leader = group.leader.as_ref()?;
    let fresh = |server: &&id::Server| {
        group
            .reports
            .get(*server)
            .filter(|observation| observation.question > after)
            .map(|observation| &observation.report)
    };
    let primary = fresh(&&leader.server)
        .is_some_and(|report| report.term == leader.term && report.role == Role::Primary);
    let seen = servers.iter().filter_map(|server| fresh(&server));
    let agreed = seen.clone().filter(|report| report.term == leader.term).count();
    let higher = seen.filter(|report| report.term > leader.term).count();
    if primary && is_majority(agreed, servers.len()) {
        return Some(true);
    }
    (higher > 0 && !is_majority(servers.len() - higher, servers.len())).then_some(false)
}

fn no_primary(detail: &str) -> Fault {
    Fault::new(Code::NoPrimary, detail).retry_after(RETRY_AFTER)
}

/// The term at which a home may start a write on a server: the server is the primary, and a
/// majority reported its term within the last second of this daemon's clock.
///
/// # Errors
/// [`Code::NoPrimary`] when the server is not proven to be the primary.
pub fn writable(
    daemon: &Daemon,
    now: Now,
    database: &id::Database,
    server: &id::Server,
) -> Result<id::Term> {
    let group = daemon.group.groups.get(database);
    let group = group.ok_or_else(|| no_primary("the group is unknown"))?;
    let leader = group.leader.as_ref().filter(|leader| leader.server == *server);
    let leader = leader.ok_or_else(|| no_primary("the server is not the primary"))?;
    if group.switchover.is_some() {
        return Err(no_primary("the primary is moving"));
    }
    let seen = |server: &&id::Server| {
        group.reports.get(*server).is_some_and(|observation| {
            observation.report.term == leader.term
                && now.since(observation.sent) <= WRITABLE_MAX_AGE
        })
    };
    let servers = daemon.config.snapshot.group(database);
    let leads = group
        .reports
        .get(server)
        .is_some_and(|observation| observation.report.role == Role::Primary);
    if leads && seen(&server) && is_majority(servers.iter().filter(seen).count(), servers.len()) {
        Ok(leader.term)
    } else {
        Err(no_primary("no majority was seen at the primary's term"))
    }
}

/// Waits until a majority holds the commit at a mark, and then calls [`home::on_majority`].
pub fn await_majority(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    mark: Mark,
    waiter: id::Request,
) {
    let group = daemon.group.groups.entry(database.clone()).or_default();
    let deadline = now.mono + COMMIT_TIMEOUT;
    group.quorum.commit_waits.push(CommitWait { mark, waiter, deadline });
    schedule_timer(daemon, fx, database, deadline);
    settle_commits(daemon, now, fx, database);
    ask_replicas(daemon, now, fx, database);
}

fn settle_commits(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let servers = servers(daemon, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let term = group.leader.as_ref().map_or(0, |leader| leader.term);
    let mut ended = Vec::new();
    for wait in std::mem::take(&mut group.quorum.commit_waits) {
        if is_held(group, &servers, wait.mark) {
            ended.push((wait.waiter, Ok(())));
        } else if term > wait.mark.term {
            ended.push((wait.waiter, Err(majority_unknown("the primary was superseded"))));
        } else if wait.deadline <= now.mono {
            ended.push((wait.waiter, Err(majority_unknown("no majority held the commit in time"))));
        } else {
            group.quorum.commit_waits.push(wait);
        }
    }
    for (waiter, held) in ended {
        home::on_majority(daemon, now, fx, waiter, held);
    }
}

/// Whether a majority holds a commit: the primary that made it and the replicas that reported it.
fn is_held(group: &Group, servers: &[id::Server], mark: Mark) -> bool {
    let Some(leader) = group.leader.as_ref().filter(|leader| leader.term == mark.term) else {
        return false;
    };
    let holds = |server: &&id::Server| {
        **server == leader.server
            || group.reports.get(*server).is_some_and(|observation| {
                let report = &observation.report;
                report.term == mark.term
                    && report.received.term == mark.term
                    && report.received.position >= mark.position
            })
    };
    is_majority(servers.iter().filter(holds).count(), servers.len())
}

fn majority_unknown(detail: &str) -> Fault {
    Fault::new(Code::MajorityUnknown, detail)
}

/// Asks each replica to report as soon as it holds the newest commit that is waited for.
fn ask_replicas(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    for server in servers(daemon, database) {
        ask_replica(daemon, now, fx, database, &server);
    }
}

fn ask_replica(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    server: &id::Server,
) {
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    let Some(mark) = group.quorum.commit_waits.iter().map(|wait| wait.mark).max() else {
        return;
    };
    let leads = group.leader.as_ref().is_some_and(|leader| leader.server == *server);
    let questions = daemon.group.questions.values();
    let open =
        questions.filter(|asked| asked.purpose == Purpose::Commit && asked.server == *server);
    if leads || open.count() >= MAX_OPEN_AWAITS {
        return;
    }
    let ask = Ask::Await { mark, wait: AWAIT_TIMEOUT };
    report::ask(daemon, now, fx, server, ask, Purpose::Commit);
}

/// Handles a replica's answer: if it ended some waits but not all, asks again at once, otherwise
/// after [`COMMIT_RETRY`].
pub(super) fn on_await(daemon: &mut Daemon, now: Now, fx: &mut Effects, asked: &Pending) {
    let waiting = |daemon: &Daemon| {
        daemon.group.groups.get(&asked.database).map_or(0, |group| group.quorum.commit_waits.len())
    };
    let before = waiting(daemon);
    settle_commits(daemon, now, fx, &asked.database);
    let left = waiting(daemon);
    if left > 0 && left < before {
        ask_replica(daemon, now, fx, &asked.database, &asked.server);
    } else if left > 0 {
        schedule_timer(daemon, fx, &asked.database, now.mono + COMMIT_RETRY);
    }
}

/// Asks the replicas that have no open commit question.
fn retry_commits(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    for server in servers(daemon, database) {
        let mut questions = daemon.group.questions.values();
        if !questions.any(|asked| asked.purpose == Purpose::Commit && asked.server == server) {
            ask_replica(daemon, now, fx, database, &server);
        }
    }
}

/// Handles the group's timer: ends waits that timed out and repeats unanswered questions.
pub(super) fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    settle(daemon, now, fx, database);
    retry_commits(daemon, now, fx, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let round = &mut group.quorum;
    let deadlines = round.current.iter().chain(&round.next).map(|wait| wait.deadline);
    let deadlines = deadlines.chain(round.commit_waits.iter().map(|wait| wait.deadline));
    let mut due = deadlines.min();
    let (after, open) = (round.after, !round.current.is_empty());
    let retry_due = open && now.since(round.asked_at) >= ROUND_RETRY;
    if retry_due {
        round.asked_at = now.mono;
    }
    if open {
        due = due.map(|due| due.min(round.asked_at + ROUND_RETRY));
    }
    if retry_due {
        retry_round(daemon, now, fx, database, after);
    }
    if let Some(due) = due {
        schedule_timer(daemon, fx, database, due);
    }
}

fn retry_round(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    after: id::Question,
) {
    for server in servers(daemon, database) {
        let group = daemon.group.groups.get(database);
        let observation = group.and_then(|group| group.reports.get(&server));
        if observation.is_none_or(|observation| observation.question <= after) {
            report::request_status(daemon, now, fx, &server);
        }
    }
}
