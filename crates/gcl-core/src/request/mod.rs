//! A request at its entry, the daemon that the caller is connected to: admission, placement,
//! attempts, and exactly one outcome.
//!
//! A request is sent again only if its home reported that it was not run, it only reads, it is
//! idempotent, or its caller declared it repeatable. If the answer of any other request is lost,
//! the entry queries its fate from the home, and reports the outcome as unknown if the home cannot
//! determine it.

mod attempt;
mod fate;
mod outcome;
mod retry;
mod transaction;

pub use self::{
    fate::{Fate, on_lost},
    outcome::{on_answer, on_deadline},
    retry::{on_leader_change, on_retry},
};

use crate::{
    batch::Batch,
    code::{Fault, Result},
    effect::Effects,
    home, id,
    limit::{self, Admission},
    member, peer,
    record::{self, Line},
    route::{self, Destination},
    run::{Access, Outcome},
    session,
    state::State as Daemon,
    statement::{Class, Options},
    time::Now,
    timer,
    token::Floor,
};
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Messages between entry and home other than `Run` and `Answer`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Cancels a request.
    Cancel(id::Request),
    /// Rolls back and releases a transaction whose session ended.
    Release(id::Transaction),
    /// Queries a request's fate; a home that never started the request refuses it from then on.
    AskFate {
        /// The request.
        request: id::Request,
        /// The last attempt sent to this home.
        attempt: u32,
        /// Time since the request was submitted at the entry.
        age: Duration,
    },
    /// Answers [`Message::AskFate`], unless the request has ended: then its `Answer` is sent again.
    Fate {
        /// The request.
        request: id::Request,
        /// Its fate.
        fate: Fate,
    },
}

/// A caller's request, as submitted by its session.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The session.
    pub session: id::Session,
    /// The workspace.
    pub workspace: id::Workspace,
    /// The public half of the key, empty on open routes.
    pub key: id::Key,
    /// The database service.
    pub service: id::Service,
    /// The kind of statement.
    pub class: Class,
    /// The caller's options for the proxy.
    pub options: Options,
    /// The session's floor: the lowest log position that its reads must see, per database.
    pub floor: Floor,
    /// Session variables to set first.
    pub variables: Vec<(CompactString, CompactString)>,
    /// The messages to run.
    pub batch: Batch,
}

/// Progress of a request at its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for a token of its workspace's rate.
    Admission,
    /// Waits for a timer or a new primary before its next attempt; holds the outcome to report if
    /// there is no further attempt.
    Waiting(Outcome),
    /// Sent to its home.
    Sent,
    /// The stream to its home broke, and the home is queried for its fate.
    QueryingFate,
}

/// A request without an outcome so far.
#[derive(Clone, Debug)]
struct Pending {
    submission: Submission,
    destination: Destination,
    stage: Stage,
    attempt: u32,
    retries: u32,
    submitted: Duration,
    deadline: Duration,
    home: id::Daemon,
    server: id::Server,
    /// What its last attempt required of the server.
    access: Option<Access>,
    /// Replicas that could not serve it.
    excluded_servers: Vec<id::Server>,
    /// The fault of an attempt that may have run. If a later attempt is refused, the outcome
    /// remains unknown.
    unknown_fault: Option<Fault>,
    /// Whether a server refused it as a write in a read-only transaction.
    must_write: bool,
}

/// The requests and open transactions of this entry.
#[derive(Clone, Debug, Default)]
pub struct State {
    pending: IndexMap<id::Request, Pending>,
    open_transactions: IndexMap<id::Session, transaction::Transaction>,
    budget: retry::Budget,
}

impl State {
    /// Number of requests without an outcome.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}

/// Submits a request; its outcome is reported by [`session::on_outcome`].
pub fn submit(daemon: &mut Daemon, now: Now, fx: &mut Effects, submission: Submission) {
    let request = daemon.counters.request();
    let destination = match transaction::destination(daemon, &submission) {
        Ok(destination) => destination,
        Err(fault) => return refuse(daemon, now, fx, request, &submission, fault),
    };
    let timeout = submission.options.timeout.unwrap_or_else(|| daemon.settings.request_timeout());
    let workspace = submission.workspace.clone();
    let pending = Pending {
        submission,
        destination,
        stage: Stage::Admission,
        attempt: 0,
        retries: 0,
        submitted: now.mono,
        deadline: now.mono + timeout,
        home: id::Daemon::default(),
        server: id::Server::default(),
        access: None,
        excluded_servers: Vec::new(),
        unknown_fault: None,
        must_write: false,
    };
    daemon.request.budget.earn();
    fx.arm(timer::Key::Deadline(request), pending.deadline);
    daemon.request.pending.insert(request, pending);
    match limit::admit(daemon, now, fx, &workspace, request) {
        Admission::Granted => on_admission(daemon, now, fx, request, Ok(())),
        Admission::Refused(fault) => on_admission(daemon, now, fx, request, Err(fault)),
        Admission::Waiting => {}
    }
}

/// Resolves the destination of a request outside a transaction.
fn resolve_destination(daemon: &Daemon, submission: &Submission) -> Result<Destination> {
    let route_key = submission.options.route.as_ref().unwrap_or(&submission.workspace);
    route::resolve(&daemon.config.snapshot, &submission.workspace, &submission.service, route_key)
}

/// Handles the result of [`limit::admit`] for a request.
pub fn on_admission(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    admission: Result<()>,
) {
    match admission {
        Ok(()) => attempt::start(daemon, now, fx, request),
        Err(fault) => outcome::finish(daemon, now, fx, request, Outcome::NotRun(fault)),
    }
}

fn refuse(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    submission: &Submission,
    fault: Fault,
) {
    fx.record(Line {
        code: Some(fault.code),
        workspace: submission.workspace.clone(),
        key: submission.key.clone(),
        session: Some(submission.session),
        request: record::format_request_id(request),
        reason: fault.detail.clone(),
        ..Line::new(record::Kind::Refusal)
    });
    let none = id::Database::default();
    session::on_outcome(daemon, now, fx, submission.session, &none, Outcome::NotRun(fault));
}

/// Cancels all requests of a session.
pub fn cancel(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let pending = daemon.request.pending.iter();
    let of_session = pending.filter(|(_, pending)| pending.submission.session == session);
    let requests: Vec<id::Request> = of_session.map(|(request, _)| *request).collect();
    for request in requests {
        outcome::cancel(daemon, now, fx, request);
    }
}

/// Cancels the requests of a closed session and releases its transaction.
pub fn on_session_closed(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    cancel(daemon, now, fx, session);
    transaction::release(daemon, fx, session);
}

/// Handles a message between entry and home.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: &Message,
) {
    match message {
        Message::Cancel(request) => home::on_cancel(daemon, now, fx, from, *request),
        Message::Release(transaction) => home::on_release(daemon, now, fx, from, *transaction),
        Message::AskFate { request, attempt, age } => {
            home::on_ask_fate(daemon, now, fx, from, (*request, *attempt), *age);
        }
        Message::Fate { request, fate } => fate::on_fate(daemon, now, fx, from, *request, *fate),
    }
}

/// Sends a message about a request to a home.
fn send_message(daemon: &Daemon, fx: &mut Effects, home: &id::Daemon, message: Message) {
    member::send(daemon, fx, home, peer::Message::Request(message));
}

/// Whether a planned stop has to wait for work that is left here.
#[must_use]
pub fn is_busy(daemon: &Daemon) -> bool {
    !daemon.request.pending.is_empty() || !daemon.request.open_transactions.is_empty()
}

impl Pending {
    /// Whether it may be sent again when its outcome is unknown: as its caller declared, else if it
    /// may safely run twice.
    fn is_repeatable(&self) -> bool {
        let only_reads = matches!(self.submission.class, Class::Read) && !self.must_write;
        let begins = matches!(self.submission.class, Class::Begin { .. });
        // It ran in a read-only transaction, so it cannot have written.
        let read_only_server = matches!(self.access, Some(Access::Replica { .. }));
        let idempotent = self.submission.options.request.is_some();
        match self.submission.options.repeatable {
            Some(declared) => declared,
            None => only_reads || begins || read_only_server || idempotent,
        }
    }
}
