//! Database groups: terms, log positions, proofs of leadership, and changes of primary.
//!
//! A group is a primary and its replicas. Its servers are the only quorum; nothing in this module
//! depends on the store. The home of a server is the daemon that holds its connections, the entry
//! of a request the daemon that received it from the caller. A mark is a log position with the term
//! in which it was written. Every home of one of the servers monitors the group and queries the
//! servers directly:
//!
//! - `report`: control questions return the newest report of each server;
//! - `quorum`: rounds prove leadership, or wait until a majority holds a commit;
//! - `horizon`: horizons bound the age of a replica's data;
//! - `failover` replaces a failed primary, `switchover` moves a working one;
//! - `view`: views carry the leader and the replicas' lag to the entries that use a database;
//! - `choose`: an entry chooses the server for each request based on its view.
//!
//! Reports are ordered by question ids, which only increase, so that "asked after the request
//! arrived" does not depend on a clock. Durations only bound waits; safety does not depend on them.
//!
//! Cost of polling with 3,300 daemons and 15,300 servers: a daemon is home of 4.6 servers, 1.5 of
//! them primaries. The home of a primary polls 3 servers every 400 ms (11.6 questions a second for
//! 1.55 primaries); the home of a replica polls the primary every 500 ms and its own server every
//! second (9.3 a second for 3.1 replicas). At about 150 bytes for a question and its answer that is
//! 3.1 KB a second of the 5 KB a second that control traffic may use.

mod choose;
mod failover;
mod horizon;
mod quorum;
mod report;
mod switchover;
mod view;

pub use self::{
    choose::{avoid_replica, choose},
    horizon::{await_ready, fresh_as_of, is_fresh},
    quorum::{await_majority, prove_leadership, writable},
    report::{Observation, on_connection_failure, on_report},
    switchover::switch_over,
};
use crate::{
    effect::Effects,
    id,
    mark::Mark,
    member,
    record::{self, Line},
    run::{Access, Leader},
    state::State as Daemon,
    time::Now,
    timer,
};
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The lag of a replica, as reported by a home of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lag {
    /// The replica.
    pub server: id::Server,
    /// How far reads on the replica are behind the primary.
    pub lag: Duration,
}

/// Messages about database groups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Subscribes the sender, an entry that uses a database, to the database's views.
    Ask {
        /// The database.
        database: id::Database,
        /// How long the subscription lasts.
        ttl: Duration,
    },
    /// The newest leader and replica lags known to the sender.
    View {
        /// The database.
        database: id::Database,
        /// The primary and its term.
        leader: Option<Leader>,
        /// The replicas' lags, empty if unknown.
        lags: Vec<Lag>,
    },
    /// The sender cannot reach a primary and asks whether the receiver can.
    Suspect {
        /// The database.
        database: id::Database,
        /// The suspected primary.
        leader: Leader,
        /// Repeated in the answer.
        number: u64,
    },
    /// The answer to [`Message::Suspect`].
    Opinion {
        /// The database.
        database: id::Database,
        /// The number of the question.
        number: u64,
        /// Whether the sender of the answer can reach the primary at its term.
        seen: bool,
        /// The newest leader known.
        leader: Option<Leader>,
    },
    /// Asks for a horizon: the position that a replica must have applied to be current.
    Horizon {
        /// The database.
        database: id::Database,
        /// Repeated in the answer.
        number: u64,
    },
    /// The answer to [`Message::Horizon`].
    Reached {
        /// The database.
        database: id::Database,
        /// The number of the question.
        number: u64,
        /// The primary's position, proven after the question arrived, or none if the proof failed.
        mark: Option<Mark>,
        /// The newest leader known.
        leader: Option<Leader>,
    },
    /// Asks the primary's home for a switchover.
    Switch {
        /// The database.
        database: id::Database,
        /// The new primary.
        to: id::Server,
    },
}

/// The kind of server that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The primary, to write.
    Write,
    /// The primary, to read the newest data.
    Strong,
    /// Any server whose data is not older than a maximum age.
    Bounded {
        /// The session's floor: the lowest mark that the read must reflect.
        floor: Option<Mark>,
        /// The maximum age.
        max_age: Duration,
    },
}

/// The server chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: id::Server,
    /// The guarantee that the server's home must enforce.
    pub access: Access,
    /// The reason for the choice, written to the audit record.
    pub reason: &'static str,
}

/// What this daemon knows about a group.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// The leader with the highest term known.
    pub leader: Option<Leader>,
    /// The newest report of each server.
    pub reports: IndexMap<id::Server, Observation>,
    watch: report::Watch,
    quorum: quorum::Rounds,
    horizon: horizon::Horizons,
    failover: failover::Failover,
    switchover: Option<switchover::Switchover>,
    view: view::View,
    exclusions: choose::Exclusions,
    timer_at: Option<Duration>,
}

/// The groups that this daemon monitors or uses.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The groups, by database.
    pub groups: IndexMap<id::Database, Group>,
    questions: IndexMap<id::Question, report::Pending>,
}

/// Handles a change of the configuration or of the homes: starts to monitor the groups with a
/// server of which this daemon is home, and drops groups that no longer exist.
pub fn on_config(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let snapshot = &daemon.config.snapshot;
    daemon.group.groups.retain(|database, _| snapshot.groups.contains_key(database));
    let databases: Vec<_> = snapshot.groups.keys().cloned().collect();
    for database in databases {
        if watches(daemon, &database) {
            schedule_timer(daemon, fx, &database, now.mono);
        }
    }
}

/// Handles a change of the live members, which may have changed the homes.
pub fn on_members(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    on_config(daemon, now, fx);
}

/// Handles the timer of a group.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    group.timer_at = None;
    report::expire_questions(daemon, now, fx, database);
    view::on_timer(daemon, now, fx, database);
    quorum::on_timer(daemon, now, fx, database);
    horizon::on_timer(daemon, now, fx, database);
    switchover::on_timer(daemon, now, fx, database);
    if watches(daemon, database) {
        failover::evaluate(daemon, now, fx, database);
        report::poll(daemon, now, fx, database);
    }
}

/// Handles the time limit of a failover step.
pub fn on_failover_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    failover::on_timer(daemon, now, fx, database);
}

/// Handles a message from another daemon.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: Message,
) {
    match message {
        Message::Ask { database, ttl } => view::on_ask(daemon, now, fx, from, &database, ttl),
        Message::View { database, leader, lags } => {
            view::on_view(daemon, now, fx, &database, leader, lags);
        }
        Message::Suspect { database, leader, number } => {
            failover::on_suspect(daemon, now, fx, from, &database, &leader, number);
        }
        Message::Opinion { database, number, seen, leader } => {
            learn_if_some(daemon, now, fx, &database, leader);
            failover::on_opinion(daemon, now, fx, from, &database, number, seen);
        }
        Message::Horizon { database, number } => {
            horizon::on_ask(daemon, now, fx, from, &database, number);
        }
        Message::Reached { database, number, mark, leader } => {
            learn_if_some(daemon, now, fx, &database, leader);
            horizon::on_reached(daemon, now, fx, &database, number, mark);
        }
        Message::Switch { database, to } => {
            if let Err(fault) = switch_over(daemon, now, fx, &database, &to) {
                record_failover(daemon, fx, &database, &to, None, fault.detail);
            }
        }
    }
}

/// Records a leader reported by another daemon. Views and waiting rounds are updated by the next
/// event of the group.
pub fn on_leader(daemon: &mut Daemon, database: &id::Database, leader: Leader) {
    let group = daemon.group.groups.entry(database.clone()).or_default();
    if group.leader.as_ref().is_none_or(|known| known.term < leader.term) {
        group.leader = Some(leader);
    }
}

/// The leader of a database with the highest term known.
#[must_use]
pub fn leader(daemon: &Daemon, database: &id::Database) -> Option<Leader> {
    daemon.group.groups.get(database).and_then(|group| group.leader.clone())
}

fn learn_if_some(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    leader: Option<Leader>,
) {
    if let Some(leader) = leader {
        learn(daemon, now, fx, database, leader);
    }
}

/// Records a leader and, if its term is new, notifies everything that depends on it.
fn learn(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database, leader: Leader) {
    on_leader(daemon, database, leader);
    notify_new_leader(daemon, now, fx, database);
}

/// Notifies the other modules and daemons of a new leader, once for each term.
fn notify_new_leader(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let term = group.leader.as_ref().map_or(0, |leader| leader.term);
    if term <= group.view.announced_term {
        return;
    }
    group.view.announced_term = term;
    failover::on_leader(daemon, now, fx, database);
    switchover::on_leader(daemon, database);
    view::announce(daemon, now, fx, database, view::Audience::All);
    quorum::settle(daemon, now, fx, database);
    report::on_leader(daemon, now, fx, database);
    crate::home::completion::on_leader_change(daemon, now, fx, database);
    crate::request::on_leader_change(daemon, now, fx, database);
}

/// The servers of a database.
fn servers(daemon: &Daemon, database: &id::Database) -> Vec<id::Server> {
    daemon.config.snapshot.group(database).to_vec()
}

/// Whether `count` servers are a majority of a group of `size`.
const fn is_majority(count: usize, size: usize) -> bool {
    count * 2 > size
}

/// The homes of the group's servers in the order of the servers, without duplicates.
fn home_daemons(daemon: &Daemon, database: &id::Database) -> Vec<id::Daemon> {
    let mut found = Vec::new();
    for server in daemon.config.snapshot.group(database) {
        let home = member::home(daemon, server);
        found.extend(home.filter(|home| !found.contains(home)));
    }
    found
}

/// Whether this daemon is the home of a server.
fn is_home(daemon: &Daemon, server: &id::Server) -> bool {
    member::home(daemon, server).as_ref() == Some(&daemon.settings.daemon)
}

/// Whether this daemon is the home of any server of the group, and so monitors it.
fn watches(daemon: &Daemon, database: &id::Database) -> bool {
    daemon.config.snapshot.group(database).iter().any(|server| is_home(daemon, server))
}

/// Arms the group's timer to fire no later than `at`.
fn schedule_timer(daemon: &mut Daemon, fx: &mut Effects, database: &id::Database, at: Duration) {
    let group = daemon.group.groups.entry(database.clone()).or_default();
    if group.timer_at.is_none_or(|timer_at| at < timer_at) {
        group.timer_at = Some(at);
        fx.arm(timer::Key::Group(database.clone()), at);
    }
}

/// Writes a line about a group's primary to the audit record.
fn record_failover(
    daemon: &Daemon,
    fx: &mut Effects,
    database: &id::Database,
    server: &id::Server,
    term: Option<id::Term>,
    reason: impl Into<CompactString>,
) {
    fx.record(Line {
        revision: Some(daemon.config.snapshot.revision),
        database: database.clone(),
        server: server.clone(),
        term,
        reason: reason.into(),
        ..Line::new(record::Kind::Failover)
    });
}
