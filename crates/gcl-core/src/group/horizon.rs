//! Horizons: bounds on the age of a replica's data that need no synchronized clocks.
//!
//! A horizon is a log position that covers every write acknowledged before a given time. A
//! replica's home requests one from the primary's home at time `s` of its own clock. The primary's
//! home answers with the primary's log position after a majority round that began once the request
//! had arrived, so the position covers every write acknowledged before `s`. Once the replica has
//! applied it, its data is at least as new as `s`, and remains so: rewinding a replica's log
//! removes only writes that were not acknowledged.
//!
//! At most one request per database is in flight. While there are reads, the horizon is renewed at
//! half of the lowest maximum age that they accept; without reads nothing is requested.
//!
//! Marks are compared by term first. Of two log entries of one term, a log with the higher position
//! also holds the lower. An entry of a higher term follows everything acknowledged before it,
//! because its primary was the most advanced of a majority. A log with a higher mark therefore
//! holds every acknowledged write of a log with a lower mark.

use super::{
    Group, Message, leader, quorum,
    report::{self, Observation, Pending, Purpose},
    schedule_timer, watches,
};
use crate::{
    code::{Code, Fault, Result},
    effect::Effects,
    home, id,
    mark::Mark,
    member, peer,
    run::Access,
    server::Ask,
    state::State as Daemon,
    time::Now,
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// Time after which an unanswered horizon request is repeated.
const REQUEST_RETRY: Duration = Duration::from_millis(150);
/// Minimum time between two requests that only renew the horizon.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of horizons kept until the replica has applied them.
const MAX_KNOWN: usize = 16;
/// Time between questions to a replica that has received a position but not yet applied it.
const APPLY_POLL: Duration = Duration::from_millis(5);
/// Retry hint for a read whose replica was not ready.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// A position that covers all writes acknowledged before it was requested.
#[derive(Clone, Copy, Debug)]
struct Horizon {
    number: u64,
    mark: Mark,
    requested_at: Duration,
}

/// A request in flight to the primary's home.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    number: u64,
    requested_at: Duration,
}

/// A read that is waiting for its replica.
#[derive(Clone, Debug)]
struct Wait {
    server: id::Server,
    waiter: id::Request,
    floor: Option<Mark>,
    max_age: Duration,
    /// The number of the first horizon requested after the read arrived.
    first_number: u64,
    deadline: Duration,
}

/// The horizons of one group.
#[derive(Clone, Debug, Default)]
pub(super) struct Horizons {
    last_number: u64,
    in_flight: Option<InFlight>,
    known: VecDeque<Horizon>,
    applied: IndexMap<id::Server, Horizon>,
    waiting: Vec<Wait>,
    /// The lowest maximum age of the reads since the last request, or none without reads.
    lowest_max_age: Option<Duration>,
    open_questions: IndexMap<id::Server, id::Question>,
    retry_at: IndexMap<id::Server, Duration>,
    /// Answers to questions up to this id no longer show what a replica has applied.
    invalid_through: IndexMap<id::Server, id::Question>,
}

impl Horizons {
    /// Invalidates what the answers up to `question` have shown about a replica, after its applied
    /// position went back or its state became unknown.
    pub(super) fn invalidate(&mut self, server: &id::Server, question: id::Question) {
        self.applied.swap_remove(server);
        self.invalid_through.insert(server.clone(), question);
    }
}

/// The newest report of a replica, unless it has been invalidated.
fn valid_observation<'a>(group: &'a Group, server: &id::Server) -> Option<&'a Observation> {
    let invalid_through = group.horizon.invalid_through.get(server).copied().unwrap_or(0);
    group.reports.get(server).filter(|observation| observation.question > invalid_through)
}

/// Waits until a replica is recent enough for a read, and then calls [`home::on_replica_ready`].
pub fn await_ready(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    access: Access,
    waiter: id::Request,
) {
    let Access::Replica { floor, max_age, wait } = access else {
        return home::on_replica_ready(daemon, now, fx, waiter, Ok(()));
    };
    let Some(database) = daemon.config.snapshot.server(server).map(|s| s.database.clone()) else {
        return home::on_replica_ready(
            daemon,
            now,
            fx,
            waiter,
            Err(not_ready("the server is unknown")),
        );
    };
    let group = daemon.group.groups.entry(database.clone()).or_default();
    let horizon = &mut group.horizon;
    let deadline = now.mono + wait;
    let first_number = horizon.last_number + 1;
    let server = server.clone();
    horizon.waiting.push(Wait { server, waiter, floor, max_age, first_number, deadline });
    horizon.lowest_max_age =
        Some(horizon.lowest_max_age.map_or(max_age, |lowest_max_age| lowest_max_age.min(max_age)));
    schedule_timer(daemon, fx, &database, deadline);
    settle(daemon, now, fx, &database);
}

/// The time on this daemon's clock up to which all acknowledged writes are known to be applied on a
/// replica, if any. A home that reads it when a statement starts can compute the age of the data
/// when the statement ends.
#[must_use]
pub fn fresh_as_of(daemon: &Daemon, server: &id::Server) -> Option<Duration> {
    let config = daemon.config.snapshot.server(server)?;
    let group = daemon.group.groups.get(&config.database)?;
    group.horizon.applied.get(server).map(|horizon| horizon.requested_at)
}

/// Whether a replica that was ready for a read may still serve it. Its home checks again before the
/// statement starts because time spent in a queue adds to the age.
#[must_use]
pub fn is_fresh(daemon: &Daemon, now: Now, server: &id::Server, access: Access) -> bool {
    let Access::Replica { floor, max_age, .. } = access else {
        return true;
    };
    let config = daemon.config.snapshot.server(server);
    let group = config.and_then(|config| daemon.group.groups.get(&config.database));
    let Some((group, observation)) =
        group.and_then(|group| Some((group, valid_observation(group, server)?)))
    else {
        return false;
    };
    let horizon = group.horizon.applied.get(server);
    let recent_enough = horizon.is_some_and(|horizon| now.since(horizon.requested_at) <= max_age);
    recent_enough && floor.is_none_or(|floor| observation.report.applied >= floor)
}

/// Ends the waits that the current reports satisfy or that timed out, and requests what the others
/// need.
pub(super) fn settle(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    update_applied(group);
    let waiting = std::mem::take(&mut group.horizon.waiting);
    let mut ended = Vec::new();
    for read in waiting {
        if can_serve(group, &read, now) {
            ended.push((read.waiter, Ok(())));
        } else if read.deadline <= now.mono {
            ended.push((read.waiter, Err(not_ready("the replica is not recent enough"))));
        } else {
            group.horizon.waiting.push(read);
        }
    }
    for (waiter, ready) in ended {
        finish_wait(daemon, now, fx, waiter, ready);
    }
    renew(daemon, now, fx, database);
    ask_replicas(daemon, now, fx, database);
}

fn finish_wait(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    waiter: id::Request,
    ready: Result<()>,
) {
    fx.count("gcl_replica_reads", if ready.is_ok() { "ready" } else { "late" }, 1);
    home::on_replica_ready(daemon, now, fx, waiter, ready);
}

fn not_ready(detail: &str) -> Fault {
    Fault::new(Code::NoReplica, detail).retry_after(RETRY_AFTER)
}

/// Updates the newest horizon that each replica has applied.
fn update_applied(group: &mut Group) {
    let servers: Vec<_> = group.reports.keys().cloned().collect();
    for server in servers {
        let Some(applied) =
            valid_observation(group, &server).map(|observation| observation.report.applied)
        else {
            continue;
        };
        let mut known = group.horizon.known.iter().rev();
        let newest = known.find(|known| known.mark <= applied).copied();
        let old = group.horizon.applied.get(&server).map_or(0, |old| old.number);
        if let Some(newest) = newest.filter(|newest| newest.number > old) {
            group.horizon.applied.insert(server, newest);
        }
    }
}

fn can_serve(group: &Group, read: &Wait, now: Now) -> bool {
    let Some(observation) = valid_observation(group, &read.server) else {
        return false;
    };
    let Some(horizon) = group.horizon.applied.get(&read.server) else {
        return false;
    };
    let recent_enough = now.since(horizon.requested_at) <= read.max_age;
    let reached = match read.floor {
        Some(floor) => observation.report.applied >= floor,
        None => horizon.number >= read.first_number,
    };
    recent_enough && reached
}

/// Requests a new horizon if reads are waiting for one or the newest one is due for renewal.
fn renew(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let horizon = &mut group.horizon;
    if let Some(in_flight) = horizon.in_flight {
        let retry = in_flight.requested_at + REQUEST_RETRY;
        if now.mono < retry {
            return schedule_timer(daemon, fx, database, retry);
        }
    }
    let newest = horizon.known.back().copied();
    let needs_newer = |read: &Wait| {
        newest.is_none_or(|newest| {
            let requested_too_early = read.floor.is_none() && newest.number < read.first_number;
            requested_too_early || now.since(newest.requested_at) > read.max_age
        })
    };
    if horizon.waiting.iter().any(needs_newer) {
        return ask_primary_home(daemon, now, fx, database);
    }
    let (Some(lowest_max_age), Some(newest)) = (horizon.lowest_max_age, newest) else {
        return;
    };
    let due = newest.requested_at + (lowest_max_age / 2).max(MIN_RENEWAL_INTERVAL);
    if due <= now.mono {
        ask_primary_home(daemon, now, fx, database);
    } else {
        schedule_timer(daemon, fx, database, due);
    }
}

fn ask_primary_home(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let to = leader(daemon, database).and_then(|leader| member::home(daemon, &leader.server));
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let horizon = &mut group.horizon;
    horizon.last_number += 1;
    let number = horizon.last_number;
    horizon.in_flight = Some(InFlight { number, requested_at: now.mono });
    horizon.lowest_max_age = None;
    if let Some(to) = to {
        let message = Message::Horizon { database: database.clone(), number };
        member::send(daemon, fx, &to, peer::Message::Group(message));
    }
    schedule_timer(daemon, fx, database, now.mono + REQUEST_RETRY);
}

/// Handles a horizon request of a replica's home, answered after proving the primary's leadership.
pub(super) fn on_ask(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    database: &id::Database,
    number: u64,
) {
    if watches(daemon, database) {
        let waiter = quorum::Waiter::Horizon(from.clone(), number);
        quorum::prove_for(daemon, now, fx, database, waiter);
    } else {
        answer(daemon, fx, from, database, number, false);
    }
}

/// Answers a horizon request, with the position that the primary reported if its leadership was
/// proven.
pub(super) fn answer(
    daemon: &Daemon,
    fx: &mut Effects,
    to: &id::Daemon,
    database: &id::Database,
    number: u64,
    proven: bool,
) {
    let group = daemon.group.groups.get(database);
    let leader = group.and_then(|group| group.leader.clone());
    let observation = group
        .zip(leader.as_ref())
        .and_then(|(group, leader)| group.reports.get(&leader.server))
        .filter(|_| proven);
    let mark = observation.map(|observation| observation.report.received);
    let message = Message::Reached { database: database.clone(), number, mark, leader };
    member::send(daemon, fx, to, peer::Message::Group(message));
}

/// Handles the answer to the horizon request in flight.
pub(super) fn on_reached(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    number: u64,
    mark: Option<Mark>,
) {
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let horizon = &mut group.horizon;
    let Some(in_flight) = horizon.in_flight.filter(|in_flight| in_flight.number == number) else {
        return;
    };
    let Some(mark) = mark else {
        return;
    };
    horizon.in_flight = None;
    if horizon.known.len() == MAX_KNOWN {
        horizon.known.pop_front();
    }
    horizon.known.push_back(Horizon { number, mark, requested_at: in_flight.requested_at });
    settle(daemon, now, fx, database);
}

/// Queries the replicas that reads are waiting for.
fn ask_replicas(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    let mut names: Vec<_> = group.horizon.waiting.iter().map(|w| w.server.clone()).collect();
    names.sort_unstable();
    names.dedup();
    for server in names {
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
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let open = group.horizon.open_questions.get(server).copied();
    if open.is_some_and(|question| daemon.group.questions.contains_key(&question)) {
        return;
    }
    if let Some(retry_at) = group.horizon.retry_at.get(server).copied().filter(|at| *at > now.mono)
    {
        return schedule_timer(daemon, fx, database, retry_at);
    }
    let Some(question) = next_question(group, server, now) else {
        return;
    };
    let question = report::ask(daemon, now, fx, server, question, Purpose::Ready);
    let group = daemon.group.groups.entry(database.clone()).or_default();
    if let Some(question) = question {
        group.horizon.open_questions.insert(server.clone(), question);
    }
}

/// The next question to a replica that reads are waiting for: to report when it has received the
/// lowest mark they need, or at once if it has already received that but not yet applied it.
fn next_question(group: &Group, server: &id::Server, now: Now) -> Option<Ask> {
    let waiting = || group.horizon.waiting.iter().filter(|read| read.server == *server);
    let wait = waiting().map(|read| read.deadline.saturating_sub(now.mono)).max()?;
    let floors = waiting().filter_map(|read| read.floor);
    let horizon = group.horizon.known.back().map(|known| known.mark);
    let Some(observation) = valid_observation(group, server) else {
        return Some(Ask::Status);
    };
    let missing = floors.chain(horizon);
    let applied = observation.report.applied;
    let mark = missing.filter(|mark| *mark > applied).min()?;
    if observation.report.received >= mark {
        return Some(Ask::Status);
    }
    Some(Ask::Await { mark, wait })
}

/// Handles the end of a question to a replica and schedules the next one.
pub(super) fn on_await(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Pending,
    question: id::Question,
) {
    let Some(group) = daemon.group.groups.get_mut(&asked.database) else {
        return;
    };
    let open = group.horizon.open_questions.get(&asked.server) == Some(&question);
    if open {
        group.horizon.open_questions.swap_remove(&asked.server);
    }
    group.horizon.retry_at.insert(asked.server.clone(), now.mono + APPLY_POLL);
    schedule_timer(daemon, fx, &asked.database, now.mono + APPLY_POLL);
}

/// Handles the group's timer: ends waits that timed out and renews the horizon.
pub(super) fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    settle(daemon, now, fx, database);
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    if let Some(due) = group.horizon.waiting.iter().map(|read| read.deadline).min() {
        schedule_timer(daemon, fx, database, due);
    }
}
