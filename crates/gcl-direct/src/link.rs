//! Streams between daemons: what travels on them, and which of them can be trusted to answer.
//!
//! A daemon opens a stream to a host when it first has something to ask of it, and keeps it. The host
//! answers on the same stream; it never asks. Nothing is sent while nothing is asked. A host that
//! leaves something unanswered is pinged, and counts as suspect when that brings no answer either:
//! nothing new is asked of it until it answers again.
//!
//! Messages are added at the end of [`Ask`] and [`Tell`] only, so that neighbouring releases
//! understand each other; a message that a daemon cannot read is counted and left aside.

use crate::{
    caller::Reply,
    config::Route,
    connection::Values,
    effect::Effects,
    feed, forward,
    line::Line,
    news,
    state::State as Daemon,
    statement::{Prepared, Query},
    timer,
};
use compact_str::CompactString;
use gcl_core::{batch::Status, id, mark::Mark, time::Now};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Silence of a host with something to answer after which it is pinged.
const QUIET: Duration = Duration::from_millis(250);
/// Silence after which it is suspect. Pauses of a VM that has used up its share of a core are
/// shorter.
const SUSPECT: Duration = Duration::from_millis(600);
/// Time between two looks at a host.
const LOOK: Duration = Duration::from_millis(100);
/// Time between pings of a suspect host.
const PROBE: Duration = Duration::from_millis(500);

/// A stream that another daemon opened, counted by its receiver.
pub type Id = u64;

/// The start of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// The workspace, empty on public routes.
    pub workspace: id::Workspace,
    /// The route in force at the entry.
    pub route: Arc<Route>,
    /// The session's own last commit in the route's database.
    pub floor: Option<Mark>,
    /// For a transaction whether it only reads, and how long ago it began.
    pub transaction: Option<(bool, Duration)>,
}

/// A statement that a host is to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The session at the entry.
    pub session: id::Session,
    /// Tells the tries of a session's statements apart.
    pub serial: u64,
    /// The operation that it starts, `None` to go on with a transaction.
    pub begin: Option<Begin>,
    /// The session's values.
    pub values: Values,
    /// The prepared statement that it runs, by the session's name.
    pub prepared: Option<(CompactString, Prepared)>,
    /// The statement.
    pub query: Query,
    /// What is left of its time.
    pub left: Duration,
}

/// What became of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The session at the entry.
    pub session: id::Session,
    /// The [`Run::serial`] that it answers.
    pub serial: u64,
    /// Rows and the end, without [`Reply::Ready`].
    pub replies: Vec<Reply>,
    /// The state of the session's transaction.
    pub status: Status,
    /// The last log position that a server reported.
    pub mark: Option<Mark>,
    /// The session's own last commit in the route's database.
    pub floor: Option<Mark>,
}

/// A log position that covers every commit acknowledged before a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The database.
    pub database: id::Database,
    /// When it was asked for, on the asking daemon's clock.
    pub asked: Duration,
    /// The position, and how long before the answer its primary was asked for it.
    pub newest: Option<(Mark, Duration)>,
}

/// What is asked of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// Whether it lives.
    Ping,
    /// To run a statement.
    Run(Box<Run>),
    /// To end what a session has under way.
    Forget(id::Session),
    /// What has changed beyond what the asking daemon knows.
    News(news::Known),
    /// A position of a database's primary, and when it is asked for.
    Position(id::Database, Duration),
    /// The configuration, if it is newer than a version.
    Config(u64),
}

/// What a host answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Tell {
    /// It lives.
    Pong,
    /// What became of a statement.
    Answer(Box<Answer>),
    /// What has changed.
    News(Box<news::News>),
    /// A position of a primary.
    Position(Position),
}

/// What is to be done with streams.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Asks a host, over a new stream if there is none.
    Ask {
        /// The host.
        host: id::Daemon,
        /// Where it hears, `ip:port`.
        address: CompactString,
        /// What it is asked.
        ask: Ask,
    },
    /// Answers on a stream that another daemon opened.
    Tell(Id, Tell),
    /// Closes the stream to a host.
    Close(id::Daemon),
}

/// What happened on streams.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A host answered.
    Told(id::Daemon, Tell),
    /// The stream to a host ended; `opened` tells whether it was ever open.
    Down {
        /// The host.
        host: id::Daemon,
        /// Whether anything can have reached the host.
        opened: bool,
    },
    /// Another daemon asked.
    Asked(Id, Ask),
    /// A stream that another daemon opened ended.
    Left(Id),
}

/// What is known of the way to a host.
#[derive(Clone, Debug, Default)]
struct Host {
    /// Sessions whose statement it has not answered.
    unanswered: IndexSet<id::Session>,
    /// When it last answered, or was first asked after a pause.
    heard: Duration,
    /// Since when it is suspect.
    suspect: Option<Duration>,
    /// Where it hears, as long as it was listed.
    address: CompactString,
}

/// The ways to other daemons.
#[derive(Clone, Debug, Default)]
pub struct State {
    hosts: IndexMap<id::Daemon, Host>,
}

impl State {
    /// Whether nothing speaks against asking a host.
    #[must_use]
    pub fn is_usable(&self, host: &str) -> bool {
        self.hosts.get(host).is_none_or(|known| known.suspect.is_none())
    }

    /// Takes note that a session's statement is answered, or nobody waits for it.
    pub fn settle(&mut self, host: &str, session: id::Session) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.unanswered.swap_remove(&session);
        }
    }
}

/// Asks a host. One that is no longer listed may still have a transaction.
pub fn ask(daemon: &mut Daemon, fx: &mut Effects, host: &id::Daemon, ask: Ask) {
    let known = daemon.link.hosts.entry(host.clone()).or_default();
    if let Some(member) = daemon.members.get(host) {
        known.address.clone_from(&member.record.address);
    }
    if !known.address.is_empty() {
        let address = known.address.clone();
        fx.link(Call::Ask { host: host.clone(), address, ask });
    }
}

/// Sends a statement to a host.
pub fn run(daemon: &mut Daemon, now: Now, fx: &mut Effects, host: &id::Daemon, run: Run) {
    let known = daemon.link.hosts.entry(host.clone()).or_default();
    if known.unanswered.is_empty() {
        known.heard = now.mono;
    }
    known.unanswered.insert(run.session);
    daemon.timers.arm_by(timer::Key::Link(host.clone()), now.mono + QUIET);
    ask(daemon, fx, host, Ask::Run(Box::new(run)));
}

/// Looks whether a host answers.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, host: &id::Daemon) {
    let listed = daemon.members.contains_key(host);
    let Some(known) = daemon.link.hosts.get_mut(host) else {
        return;
    };
    if !listed && known.unanswered.is_empty() && known.suspect.is_some() {
        daemon.link.hosts.swap_remove(host);
        return fx.link(Call::Close(host.clone()));
    }
    let silent = now.since(known.heard);
    if known.suspect.is_some() {
        daemon.timers.arm(timer::Key::Link(host.clone()), now.mono + PROBE);
        return ask(daemon, fx, host, Ask::Ping);
    }
    if known.unanswered.is_empty() {
        return;
    }
    if silent >= SUSPECT {
        return suspect(daemon, now, fx, host, "it does not answer");
    }
    daemon.timers.arm(timer::Key::Link(host.clone()), now.mono + LOOK);
    if silent >= QUIET {
        ask(daemon, fx, host, Ask::Ping);
    }
}

/// Asks nothing more of a host until it answers again, and takes back the reads that it has.
pub fn suspect(daemon: &mut Daemon, now: Now, fx: &mut Effects, host: &id::Daemon, reason: &str) {
    let known = daemon.link.hosts.entry(host.clone()).or_default();
    if known.suspect.is_some() {
        return;
    }
    known.suspect = Some(now.mono);
    let waiting: Vec<_> = known.unanswered.iter().copied().collect();
    let line = Line::belief("host suspect").with("host", host).with("reason", reason);
    fx.log(line.with("unanswered", waiting.len()));
    fx.count("gcl_hosts_suspect", host);
    daemon.timers.arm(timer::Key::Link(host.clone()), now.mono + PROBE);
    news::on_suspect(daemon, now, host);
    for session in waiting {
        forward::on_suspect(daemon, now, fx, session, host);
    }
}

/// Acts on what happened on a stream that this daemon opened.
pub fn on_told(daemon: &mut Daemon, now: Now, fx: &mut Effects, host: &id::Daemon, tell: Tell) {
    let known = daemon.link.hosts.entry(host.clone()).or_default();
    known.heard = now.mono;
    if let Some(since) = known.suspect.take() {
        let line = Line::belief("host answers again").with("host", host);
        fx.log(line.millis("after", now.since(since)));
    }
    match tell {
        Tell::Pong => {}
        Tell::Answer(answer) => forward::on_answer(daemon, now, fx, host, *answer),
        Tell::News(news) => news::on_news(daemon, now, fx, *news),
        Tell::Position(position) => feed::on_position(daemon, now, fx, &position),
    }
}

/// Acts on the end of a stream to a host.
pub fn on_down(daemon: &mut Daemon, now: Now, fx: &mut Effects, host: &id::Daemon, opened: bool) {
    let known = daemon.link.hosts.entry(host.clone()).or_default();
    let waiting = std::mem::take(&mut known.unanswered);
    let reason = if opened { "the stream ended" } else { "it was not reached" };
    suspect(daemon, now, fx, host, reason);
    for session in waiting {
        forward::on_lost(daemon, now, fx, session, host, opened);
    }
    if opened {
        forward::on_transactions_lost(daemon, now, fx, host);
    }
}
