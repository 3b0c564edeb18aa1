//! A request at its entry: admission, placement, tries, and its one outcome.
//!
//! A request is sent again only when that cannot run it twice: its home said that it was not run,
//! or it only reads, or it is idempotent, or its caller declared it repeatable. Everything else
//! whose answer is lost ends as unknown, after the home was asked for its fate.

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

/// Messages between entry and home beside `Run` and `Answer`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Cancels a request.
    Cancel(id::Request),
    /// Rolls back and releases a transaction whose session ended.
    Release(id::Transaction),
    /// Asks a home what became of a request; a home that never started it refuses it from then on.
    AskFate {
        /// The request.
        request: id::Request,
        /// The last try that was sent to this home.
        attempt: u32,
        /// Time since the first try was sent to this home.
        age: Duration,
    },
    /// Answers [`Message::AskFate`]; a request that has ended is answered by its `Answer` again.
    Fate {
        /// The request.
        request: id::Request,
        /// What the home knows of it.
        fate: Fate,
    },
}

/// A caller's request, as its session hands it in.
#[derive(Clone, Debug)]
pub struct Submit {
    /// The session.
    pub session: id::Session,
    /// The workspace.
    pub workspace: id::Workspace,
    /// The public half of the key, empty on open routes.
    pub key: id::Key,
    /// The database service.
    pub service: id::Service,
    /// What the statement does.
    pub class: Class,
    /// What the caller asks of the proxy.
    pub options: Options,
    /// The session's floor.
    pub floor: Floor,
    /// Session variables to set first.
    pub variables: Vec<(CompactString, CompactString)>,
    /// The messages to run.
    pub batch: Batch,
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for a token of its workspace's rate.
    Admission,
    /// Waits for a timer or a leader before its next try; the outcome if there is none.
    Waiting(Outcome),
    /// Sent to a home.
    Sent,
    /// Its home was lost and is asked for its fate.
    Asking,
}

/// A request that has no outcome yet.
#[derive(Clone, Debug)]
struct Pending {
    submit: Submit,
    place: Destination,
    stage: Stage,
    attempt: u32,
    tries: u32,
    submitted: Duration,
    deadline: Duration,
    home: id::Daemon,
    server: id::Server,
    /// What it needed of the server that it was sent to.
    access: Option<Access>,
    /// Replicas that could not serve it.
    avoided: Vec<id::Server>,
    /// The fault of a try that may have run; no later refusal makes that undone.
    doubt: Option<Fault>,
    /// Whether a server found that it writes.
    writes: bool,
}

/// The requests and open transactions of this entry.
#[derive(Clone, Debug, Default)]
pub struct State {
    pending: IndexMap<id::Request, Pending>,
    open: IndexMap<id::Session, transaction::Open>,
    budget: retry::Budget,
}

impl State {
    /// Requests without an outcome.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}

/// Takes a request; its outcome comes by [`session::on_outcome`].
pub fn submit(daemon: &mut Daemon, now: Now, fx: &mut Effects, submit: Submit) {
    let request = daemon.counters.request();
    let place = match transaction::place(daemon, &submit) {
        Ok(place) => place,
        Err(fault) => return refuse(daemon, now, fx, request, &submit, fault),
    };
    let timeout = submit.options.timeout.unwrap_or_else(|| daemon.settings.request_timeout());
    let workspace = submit.workspace.clone();
    let pending = Pending {
        submit,
        place,
        stage: Stage::Admission,
        attempt: 0,
        tries: 0,
        submitted: now.mono,
        deadline: now.mono + timeout,
        home: id::Daemon::default(),
        server: id::Server::default(),
        access: None,
        avoided: Vec::new(),
        doubt: None,
        writes: false,
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

/// Places a request outside a transaction.
fn place(daemon: &Daemon, submit: &Submit) -> Result<Destination> {
    let route_key = submit.options.route.as_ref().unwrap_or(&submit.workspace);
    route::resolve(&daemon.config.snapshot, &submit.workspace, &submit.service, route_key)
}

/// Takes the word of the limits on a request.
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
    submit: &Submit,
    fault: Fault,
) {
    fx.record(Line {
        code: Some(fault.code),
        workspace: submit.workspace.clone(),
        key: submit.key.clone(),
        session: Some(submit.session),
        request: record::format_request_id(request),
        reason: fault.detail.clone(),
        ..Line::new(record::Kind::Refusal)
    });
    let none = id::Database::default();
    session::on_outcome(daemon, now, fx, submit.session, &none, Outcome::NotRun(fault));
}

/// Cancels what a session is running.
pub fn cancel(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let pending = daemon.request.pending.iter();
    let of_session = pending.filter(|(_, pending)| pending.submit.session == session);
    let requests: Vec<id::Request> = of_session.map(|(request, _)| *request).collect();
    for request in requests {
        outcome::cancel(daemon, now, fx, request);
    }
}

/// Gives up what a closed session has open.
pub fn on_session_closed(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    cancel(daemon, now, fx, session);
    transaction::release(daemon, fx, session);
}

/// Acts on a message between entry and home.
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
fn tell(daemon: &Daemon, fx: &mut Effects, home: &id::Daemon, message: Message) {
    member::send(daemon, fx, home, peer::Message::Request(message));
}

/// Whether work is left that a planned stop has to wait for.
#[must_use]
pub fn busy(daemon: &Daemon) -> bool {
    !daemon.request.pending.is_empty() || !daemon.request.open.is_empty()
}

impl Pending {
    /// Whether it may be sent again when its outcome is in doubt: never if its caller forbade it,
    /// else if running it twice does no harm.
    fn harmless_twice(&self) -> bool {
        let reads = matches!(self.submit.class, Class::Read) && !self.writes;
        let begins = matches!(self.submit.class, Class::Begin { .. });
        // A server was told to refuse its writes.
        let bound_to_read = matches!(self.access, Some(Access::Replica { .. }));
        let idempotent = self.submit.options.request.is_some();
        match self.submit.options.repeatable {
            Some(declared) => declared,
            None => reads || begins || bound_to_read || idempotent,
        }
    }
}
