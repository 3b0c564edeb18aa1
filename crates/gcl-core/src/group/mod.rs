//! Database groups: terms, positions, proofs of leadership, and changes of primary.

use crate::{
    code::{Code, Fault, Result},
    effect::Effects,
    home, id,
    mark::Mark,
    member, peer,
    run::{Access, Leader},
    server,
    state::State as Daemon,
    time::Now,
    timer,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time between questions to the servers of a group.
const POLL: Duration = Duration::from_millis(250);
/// Longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Messages about database groups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The newest leader that the sender knows.
    View {
        /// The database.
        database: id::Database,
        /// Its leader.
        leader: Leader,
    },
}

/// What a request needs of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// To write.
    Write,
    /// To read the newest data.
    Strong,
    /// To read data of a stated age.
    Aged {
        /// The session's floor.
        floor: Option<Mark>,
        /// The greatest age.
        max_age: Duration,
    },
}

/// The server chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: id::Server,
    /// What its home is to make sure of.
    pub access: Access,
    /// Why it was chosen, for the record.
    pub reason: &'static str,
}

/// A group as this daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// The newest leader known.
    pub leader: Option<Leader>,
    /// The last report of each server with its time of arrival.
    pub reports: IndexMap<id::Server, (server::Report, Duration)>,
}

/// The groups that this daemon knows.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The groups by database.
    pub groups: IndexMap<id::Database, Group>,
    questions: IndexMap<id::Question, (id::Database, id::Server)>,
}

/// Follows a change of the configuration or of the homes: polls the groups of which this daemon is
/// home of a server.
pub fn on_config(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let databases: Vec<_> = daemon.config.snapshot.groups.keys().cloned().collect();
    for database in databases {
        fx.arm(timer::Key::Group(database), now.mono);
    }
}

/// Asks the servers of a group for their reports.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let servers = daemon.config.snapshot.group(database).to_vec();
    let me = daemon.settings.daemon.clone();
    let mine = servers.iter().any(|server| member::home(daemon, server).as_ref() == Some(&me));
    if !mine {
        return;
    }
    for name in &servers {
        let Some(address) = daemon.config.snapshot.server(name).map(|server| server.address) else {
            continue;
        };
        let question = daemon.counters.question();
        daemon.group.questions.insert(question, (database.clone(), name.clone()));
        let ask = server::Ask::Status;
        fx.server(name, server::Call::Ask { question, address, ask, timeout: REPORT_TIMEOUT });
    }
    fx.arm(timer::Key::Group(database.clone()), now.mono + POLL);
}

/// Takes the answer to a control question.
pub fn on_report(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    question: id::Question,
    result: std::result::Result<server::Report, server::Refusal>,
) {
    let Some((database, server)) = daemon.group.questions.swap_remove(&question) else {
        return;
    };
    let Ok(report) = result else { return };
    let group = daemon.group.groups.entry(database.clone()).or_default();
    group.reports.insert(server.clone(), (report.clone(), now.mono));
    if report.role == server::Role::Primary {
        let leader = Leader { term: report.term, server };
        let news = group.leader.as_ref() != Some(&leader);
        learn(group, leader.clone());
        if news {
            announce(daemon, fx, &database, &leader);
        }
    }
}

fn announce(daemon: &Daemon, fx: &mut Effects, database: &id::Database, leader: &Leader) {
    for name in daemon.member.members.keys() {
        let message = Message::View { database: database.clone(), leader: leader.clone() };
        member::send(daemon, fx, name, peer::Message::Group(message));
    }
}

fn learn(group: &mut Group, leader: Leader) {
    if group.leader.as_ref().is_none_or(|known| known.term < leader.term) {
        group.leader = Some(leader);
    }
}

/// Acts on a message of another daemon.
pub fn on_message(
    daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _from: &id::Daemon,
    message: Message,
) {
    match message {
        Message::View { database, leader } => on_leader(daemon, &database, leader),
    }
}

/// Learns a leader that another daemon reported.
pub fn on_leader(daemon: &mut Daemon, database: &id::Database, leader: Leader) {
    learn(daemon.group.groups.entry(database.clone()).or_default(), leader);
}

/// The newest leader known of a database.
#[must_use]
pub fn leader(daemon: &Daemon, database: &id::Database) -> Option<Leader> {
    daemon.group.groups.get(database).and_then(|group| group.leader.clone())
}

/// Chooses the server for a request, at its entry.
///
/// # Errors
/// [`Code::NoPrimary`] or [`Code::NoReplica`].
pub fn choose(
    daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    database: &id::Database,
    need: Need,
) -> Result<Choice> {
    let leader = leader(daemon, database)
        .ok_or_else(|| Fault::new(Code::NoPrimary, "no primary is known"))?;
    let access = match need {
        Need::Write => Access::Write,
        Need::Strong | Need::Aged { .. } => Access::Strong,
    };
    Ok(Choice { server: leader.server, access, reason: "primary" })
}

/// The term at which a home may start a write on a server.
///
/// # Errors
/// [`Code::NoPrimary`] when the server is not proven to be the primary.
pub fn writable(
    daemon: &Daemon,
    _now: Now,
    database: &id::Database,
    server: &id::Server,
) -> Result<id::Term> {
    leader(daemon, database)
        .filter(|leader| leader.server == *server)
        .map(|leader| leader.term)
        .ok_or_else(|| Fault::new(Code::NoPrimary, "the server is not the primary"))
}

/// Proves that the primary was not superseded after this moment; answers by [`home::on_proof`].
pub fn prove(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    _database: &id::Database,
    waiter: id::Request,
) {
    home::on_proof(daemon, now, fx, waiter, Ok(()));
}

/// Waits until a majority holds a mark; answers by [`home::on_held`].
pub fn hold(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    _database: &id::Database,
    _mark: Mark,
    waiter: id::Request,
) {
    home::on_held(daemon, now, fx, waiter, Ok(()));
}

/// Waits until a replica is recent enough; answers by [`home::on_ready`].
pub fn ready(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    _server: &id::Server,
    _access: Access,
    waiter: id::Request,
) {
    home::on_ready(daemon, now, fx, waiter, Ok(()));
}

/// Acts on the timer of a failover's step.
pub fn on_failover_timer(
    _daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _database: &id::Database,
) {
}
