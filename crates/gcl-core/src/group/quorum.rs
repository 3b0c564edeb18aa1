//! Majority rounds: proofs that a primary was not superseded, and commits held by a majority.
//!
//! A round asks all servers of a group and serves everyone who was waiting when it began; those
//! who come meanwhile are served by the next. A proof counts a server whose report carries the
//! leader's term and answers a question asked after the waiter arrived. A commit counts a server
//! that reports the commit's term both as its own and as the term of its last entry: an equal
//! position of another term may be another history. A server that reported such a mark held it
//! before it was fenced, so the report stays good.

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

/// Longest wait for a proof.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a round asks again the servers that have not answered.
const ROUND_RETRY: Duration = Duration::from_millis(150);
/// Longest wait for a majority to hold a commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait of a server for a commit to arrive before it reports what it has.
const AWAIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a replica that did not bring a commit to a majority is asked again.
const COMMIT_RETRY: Duration = Duration::from_millis(50);
/// Most questions for commits open at one server.
const MAX_OPEN_AWAITS: usize = 2;
/// Age of a majority's reports beyond which no write is started.
const WRITABLE_MAX_AGE: Duration = Duration::from_secs(1);
/// When to come back after a proof failed.
const RETRY_AFTER: Duration = Duration::from_millis(20);

/// Who waits for a proof.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Waiter {
    /// A strong read of this home.
    Request(id::Request),
    /// A replica's home that asked for the horizon.
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

/// The rounds of one group.
#[derive(Clone, Debug, Default)]
pub(super) struct Rounds {
    /// Questions above this id count for the round in flight.
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

/// Proves that the primary was not superseded after this moment; answers by [`home::on_proof`].
pub fn prove_leadership(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    waiter: id::Request,
) {
    if super::leader(daemon, database).is_none() {
        return home::on_proof(daemon, now, fx, waiter, Err(no_primary("no primary is known")));
    }
    prove_for(daemon, now, fx, database, Waiter::Request(waiter));
}

/// Proves the primary for any waiter.
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

/// Begins a round for those who wait, unless one is in flight.
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

/// Ends what the reports decide.
pub(super) fn settle(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    settle_holds(daemon, now, fx, database);
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
    for proof in proofs {
        let changed = proof.leader != leader && matches!(proof.waiter, Waiter::Request(_));
        match leadership {
            _ if changed => ended.push((proof.waiter, Err(no_primary("the primary changed")))),
            Some(true) => ended.push((proof.waiter, Ok(()))),
            Some(false) => ended.push((proof.waiter, Err(no_primary("a higher term exists")))),
            None if proof.deadline <= now.mono => {
                ended.push((proof.waiter, Err(no_primary("no majority answered"))));
            }
            None => group.quorum.current.push(proof),
        }
    }
    let late = |proof: &mut ProofWait| proof.deadline <= now.mono;
    for proof in group.quorum.next.extract_if(.., late) {
        ended.push((proof.waiter, Err(no_primary("no majority answered"))));
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
        Waiter::Request(request) => home::on_proof(daemon, now, fx, request, proof),
        Waiter::Horizon(from, number) => {
            horizon::answer(daemon, fx, &from, database, number, proof.is_ok());
        }
    }
}

/// Whether a majority was seen at the leader's term by questions above `after`; none while open.
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

/// The term at which a home may start a write on a server: it leads, and a majority was seen at its
/// term within the last second of this daemon's clock.
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

/// Waits until a majority holds a mark; answers by [`home::on_held`].
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
    settle_holds(daemon, now, fx, database);
    ask_holders(daemon, now, fx, database);
}

fn settle_holds(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let servers = servers(daemon, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let term = group.leader.as_ref().map_or(0, |leader| leader.term);
    let mut ended = Vec::new();
    for hold in std::mem::take(&mut group.quorum.commit_waits) {
        if is_held(group, &servers, hold.mark) {
            ended.push((hold.waiter, Ok(())));
        } else if term > hold.mark.term {
            ended.push((hold.waiter, Err(majority_unknown("the primary was superseded"))));
        } else if hold.deadline <= now.mono {
            ended.push((hold.waiter, Err(majority_unknown("no majority held the commit in time"))));
        } else {
            group.quorum.commit_waits.push(hold);
        }
    }
    for (waiter, held) in ended {
        home::on_held(daemon, now, fx, waiter, held);
    }
}

/// Whether a majority, with the primary that made the commit, reported to hold it.
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

/// Asks each replica to report as soon as it holds the newest commit that waits.
fn ask_holders(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    for server in servers(daemon, database) {
        ask_holder(daemon, now, fx, database, &server);
    }
}

fn ask_holder(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    server: &id::Server,
) {
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    let Some(mark) = group.quorum.commit_waits.iter().map(|hold| hold.mark).max() else {
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

/// Asks again at once when an answer ended waits and left others; the sweep asks later otherwise.
pub(super) fn on_await(daemon: &mut Daemon, now: Now, fx: &mut Effects, asked: &Pending) {
    let waiting = |daemon: &Daemon| {
        daemon.group.groups.get(&asked.database).map_or(0, |group| group.quorum.commit_waits.len())
    };
    let before = waiting(daemon);
    settle_holds(daemon, now, fx, &asked.database);
    let left = waiting(daemon);
    if left > 0 && left < before {
        ask_holder(daemon, now, fx, &asked.database, &asked.server);
    } else if left > 0 {
        schedule_timer(daemon, fx, &asked.database, now.mono + COMMIT_RETRY);
    }
}

/// Asks the replicas at which no question for a commit is open.
fn retry_holds(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    for server in servers(daemon, database) {
        let mut questions = daemon.group.questions.values();
        if !questions.any(|asked| asked.purpose == Purpose::Commit && asked.server == server) {
            ask_holder(daemon, now, fx, database, &server);
        }
    }
}

/// Ends waits whose bound passed and asks again where a round has no answer.
pub(super) fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    settle(daemon, now, fx, database);
    retry_holds(daemon, now, fx, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let round = &mut group.quorum;
    let deadlines = round.current.iter().chain(&round.next).map(|proof| proof.deadline);
    let deadlines = deadlines.chain(round.commit_waits.iter().map(|hold| hold.deadline));
    let mut due = deadlines.min();
    let (after, open) = (round.after, !round.current.is_empty());
    let again = open && now.since(round.asked_at) >= ROUND_RETRY;
    if again {
        round.asked_at = now.mono;
    }
    if open {
        due = due.map(|due| due.min(round.asked_at + ROUND_RETRY));
    }
    if again {
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
