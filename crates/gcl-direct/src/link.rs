//! Streams between daemons: their messages, and the failure detection for hosts.
//!
//! A daemon opens a stream to a host for its first request and keeps it open. The host responds on
//! the same stream and sends no requests of its own, so an idle stream carries nothing. A host that
//! leaves a statement unanswered is pinged. If it does not respond to that either, it is
//! unreachable (logged as suspect) and gets no new requests until it responds again.
//!
//! New variants go to the end of [`Request`] and [`Response`], so that adjacent releases stay
//! compatible. A message that cannot be decoded is counted and discarded.

use crate::{
    balance::Load,
    caller::Reply,
    config::Route,
    connection::Values,
    discovery,
    effect::Effects,
    forward,
    line::Line,
    position,
    state::State as Daemon,
    statement::{Prepared, Query},
    timer, trailing,
    urgency::Urgency,
};
use compact_str::CompactString;
use gcl_core::{batch::Status, id, mark::Mark, time::Now};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// How long a host may leave a statement unanswered before it is pinged.
const PING_AFTER: Duration = Duration::from_millis(250);
/// How long it may stay silent before it is unreachable. A VM that is throttled at its CPU quota
/// pauses for less.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(600);
/// Interval at which a host with unanswered statements is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between pings of an unreachable host.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A stream that another daemon opened, numbered by the daemon that accepted it.
pub type Id = u64;

/// Context of an operation, sent with its first statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// The workspace, empty on public routes.
    pub workspace: id::Workspace,
    /// The route in force at the entry.
    pub route: Arc<Route>,
    /// The log position of the session's last commit in the route's database.
    pub floor: Option<Mark>,
    /// In a transaction: whether it is read-only, and its age.
    pub transaction: Option<(bool, Duration)>,
}

/// A statement that a host is to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The session at the entry.
    pub session: id::Session,
    /// Identifies the attempt among all attempts of the session's statements.
    pub serial: u64,
    /// The operation that it starts, `None` within a transaction that the host already has.
    pub begin: Option<Begin>,
    /// The session's values by name.
    pub values: Values,
    /// The prepared statement that it executes, with the session's name for it.
    pub prepared: Option<(CompactString, Prepared)>,
    /// The statement.
    pub query: Query,
    /// Time until its deadline.
    pub remaining: Duration,
    /// Its urgency; an older release sends none.
    #[serde(default, deserialize_with = "trailing::or_default")]
    pub urgency: Option<Urgency>,
}

/// The outcome of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The session at the entry.
    pub session: id::Session,
    /// The [`Run::serial`] of the attempt.
    pub serial: u64,
    /// Rows and the completion or error, without [`Reply::Ready`].
    pub replies: Vec<Reply>,
    /// The state of the session's transaction.
    pub status: Status,
    /// The last log position that a server reported.
    pub mark: Option<Mark>,
    /// The log position of the session's last commit in the route's database.
    pub floor: Option<Mark>,
    /// The load of the home for the route's database; an older release sends none.
    #[serde(default, deserialize_with = "trailing::or_default")]
    pub load: Option<Load>,
}

/// A log position that covers every commit acknowledged before a point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The database.
    pub database: id::Database,
    /// When it was requested, on the requesting daemon's clock.
    pub requested: Duration,
    /// The position, and the time from the query to the primary until this response.
    pub newest: Option<(Mark, Duration)>,
}

/// A request to a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Checks that the host responds.
    Ping,
    /// Runs a statement.
    Run(Box<Run>),
    /// Ends a session's running statement and open transaction.
    Abort(id::Session),
    /// Asks for whatever differs from the given versions.
    Discover(discovery::Versions),
    /// Asks for the log position of a database's primary; with the time of the request.
    Position(id::Database, Duration),
    /// Asks for the configuration if it is newer than this version.
    Config(u64),
}

/// A response of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Responds to a ping.
    Pong,
    /// The outcome of a statement.
    Answer(Box<Answer>),
    /// What differs from the versions in the request.
    Update(Box<discovery::Update>),
    /// The log position of a primary.
    Position(Position),
}

/// An action of the shell on a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Sends a request to a host, over a new stream if none is open.
    Request {
        /// The host.
        host: id::Daemon,
        /// Its listen address for streams, `ip:port`.
        address: CompactString,
        /// The request.
        request: Request,
    },
    /// Responds on a stream that another daemon opened.
    Respond(Id, Response),
    /// Closes the stream to a host.
    Close(id::Daemon),
}

/// An event on a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A host responded.
    Responded(id::Daemon, Response),
    /// The stream to a host ended.
    Closed {
        /// The host.
        host: id::Daemon,
        /// Whether the stream was ever open, so that requests may have reached the host.
        was_open: bool,
    },
    /// Another daemon sent a request.
    Requested(Id, Request),
    /// A stream that another daemon opened ended.
    PeerClosed(Id),
}

/// The state of the stream to a host.
#[derive(Clone, Debug, Default)]
struct Host {
    /// Sessions with a statement that it has not answered.
    unanswered: IndexSet<id::Session>,
    /// When it last responded, or got the first statement after an idle time.
    last_response: Duration,
    /// Since when it is unreachable.
    unreachable_since: Option<Duration>,
    /// Its last listed address.
    address: CompactString,
}

/// Streams to hosts.
#[derive(Clone, Debug, Default)]
pub struct State {
    hosts: IndexMap<id::Daemon, Host>,
}

impl State {
    /// Whether a host may get new requests, that is, it is not unreachable.
    #[must_use]
    pub fn is_usable(&self, host: &str) -> bool {
        self.hosts.get(host).is_none_or(|peer| peer.unreachable_since.is_none())
    }

    /// Sessions with a statement that a host has not answered.
    pub fn unanswered(&self, host: &str) -> impl Iterator<Item = id::Session> {
        self.hosts.get(host).into_iter().flat_map(|peer| peer.unanswered.iter().copied())
    }

    /// Removes a session's statement that was answered or that no caller waits for any more.
    pub fn clear_unanswered(&mut self, host: &str, session: id::Session) {
        if let Some(peer) = self.hosts.get_mut(host) {
            peer.unanswered.swap_remove(&session);
        }
    }
}

/// Sends a request to a host. One that is no longer listed gets it at its last address, since it
/// may still have an open transaction.
pub fn send(daemon: &mut Daemon, fx: &mut Effects, host: &id::Daemon, request: Request) {
    let peer = daemon.link.hosts.entry(host.clone()).or_default();
    if let Some(member) = daemon.members.get(host) {
        peer.address.clone_from(&member.record.address);
    }
    if !peer.address.is_empty() {
        let address = peer.address.clone();
        fx.link(Call::Request { host: host.clone(), address, request });
    }
}

/// Sends a statement to a host, and starts to check for its answer.
pub fn run(daemon: &mut Daemon, now: Now, fx: &mut Effects, host: &id::Daemon, run: Run) {
    let peer = daemon.link.hosts.entry(host.clone()).or_default();
    if peer.unanswered.is_empty() {
        peer.last_response = now.mono;
    }
    peer.unanswered.insert(run.session);
    daemon.timers.arm_by(timer::Key::Link(host.clone()), now.mono + PING_AFTER);
    send(daemon, fx, host, Request::Run(Box::new(run)));
}

/// Checks whether a host responds.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, host: &id::Daemon) {
    let listed = daemon.members.contains_key(host);
    let Some(peer) = daemon.link.hosts.get_mut(host) else {
        return;
    };
    if !listed && peer.unanswered.is_empty() && peer.unreachable_since.is_some() {
        daemon.link.hosts.swap_remove(host);
        return fx.link(Call::Close(host.clone()));
    }
    let silence = now.since(peer.last_response);
    if peer.unreachable_since.is_some() {
        daemon.timers.arm(timer::Key::Link(host.clone()), now.mono + PROBE_INTERVAL);
        return send(daemon, fx, host, Request::Ping);
    }
    if peer.unanswered.is_empty() {
        return;
    }
    if silence >= UNREACHABLE_AFTER {
        return mark_unreachable(daemon, now, fx, host, "statements unanswered");
    }
    daemon.timers.arm(timer::Key::Link(host.clone()), now.mono + CHECK_INTERVAL);
    if silence >= PING_AFTER {
        send(daemon, fx, host, Request::Ping);
    }
}

/// Stops new requests to a host until it responds again, and moves its reads to other hosts.
pub fn mark_unreachable(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    host: &id::Daemon,
    reason: &str,
) {
    let peer = daemon.link.hosts.entry(host.clone()).or_default();
    if peer.unreachable_since.is_some() {
        return;
    }
    peer.unreachable_since = Some(now.mono);
    let waiting: Vec<_> = peer.unanswered.iter().copied().collect();
    let line = Line::state_change("host suspect").with("host", host).with("reason", reason);
    fx.log(line.with("unanswered", waiting.len()));
    fx.count("gcl_hosts_suspect", host);
    daemon.timers.arm(timer::Key::Link(host.clone()), now.mono + PROBE_INTERVAL);
    discovery::on_unreachable(daemon, now, host);
    for session in waiting {
        forward::on_unreachable(daemon, now, fx, session, host);
    }
}

/// Handles a response of a host.
pub fn on_response(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    host: &id::Daemon,
    response: Response,
) {
    let peer = daemon.link.hosts.entry(host.clone()).or_default();
    peer.last_response = now.mono;
    if let Some(since) = peer.unreachable_since.take() {
        let line = Line::state_change("host answers again").with("host", host);
        fx.log(line.millis("after", now.since(since)));
    }
    match response {
        Response::Pong => {}
        Response::Answer(answer) => forward::on_answer(daemon, now, fx, host, *answer),
        Response::Update(update) => discovery::on_update(daemon, now, fx, *update),
        Response::Position(position) => position::on_position(daemon, now, fx, &position),
    }
}

/// Handles the end of the stream to a host.
pub fn on_closed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    host: &id::Daemon,
    was_open: bool,
) {
    daemon.balance.forget(host);
    let peer = daemon.link.hosts.entry(host.clone()).or_default();
    let waiting = std::mem::take(&mut peer.unanswered);
    let reason = if was_open { "stream closed" } else { "stream not opened" };
    mark_unreachable(daemon, now, fx, host, reason);
    for session in waiting {
        forward::on_disconnect(daemon, now, fx, session, host, was_open);
    }
    if was_open {
        forward::on_transactions_lost(daemon, now, fx, host);
    }
}
