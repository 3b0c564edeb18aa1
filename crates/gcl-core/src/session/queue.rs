//! The batches of a session: one runs, the others wait in order.

use super::{Phase, Session, admitted, draining, end, option, refusal, reply};
use crate::{
    batch::{Batch, Status},
    caller::{Effect, Reply},
    code::{Code, Fault, Result},
    effect::Effects,
    id, key, record,
    request::{self, Submission},
    run::Outcome,
    state::State as Daemon,
    statement::{Class, Command, Options},
    time::Now,
};
use std::collections::VecDeque;

/// Waiting batches above which the caller is read no further.
const PAUSE_ABOVE: usize = 32;
/// Bytes that a waiting batch counts beside its text and parameters.
const JOB_BYTES: usize = 256;
/// Largest messages that may wait in one session.
const WAITING_MESSAGES: usize = 8;

/// A step of a batch that needs no server.
#[derive(Clone, Debug)]
pub(super) enum Local {
    /// Acknowledges a `Parse`.
    Parse,
    /// Acknowledges a `Bind`.
    Bind,
    /// Acknowledges a `Close`.
    Close,
    /// Describes a statement, or a portal if there are no parameters to describe.
    Describe {
        /// Whether parameters are described.
        statement: bool,
        /// The command, `None` for an empty query.
        command: Option<Command>,
    },
    /// Runs a command of the extended protocol, `None` for an empty query.
    Execute(Option<Command>),
    /// Runs a command of the simple protocol, `None` for an empty query.
    Query(Option<Command>),
}

/// What a batch needs.
#[derive(Clone, Debug)]
pub(super) enum Work {
    /// A server.
    Run {
        /// The messages.
        batch: Batch,
        /// What they do.
        class: Class,
        /// What they ask of the proxy, beside the session.
        options: Options,
    },
    /// The entry alone.
    Local(Vec<Local>),
    /// A refusal.
    Refuse(Fault),
}

/// A batch that waits.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// What it needs.
    pub work: Work,
    /// Whether it ends with `ReadyForQuery`; a flushed part of a batch does not.
    pub ready: bool,
}

impl Job {
    fn size(&self) -> usize {
        let Work::Run { batch, .. } = &self.work else { return JOB_BYTES };
        JOB_BYTES + batch.size()
    }
}

/// What has to be known of a batch to answer it.
#[derive(Clone, Copy, Debug)]
struct Running {
    /// Whether it ends with `ReadyForQuery`.
    ready: bool,
    /// Whether it commits or rolls back the transaction.
    ends: bool,
    /// Whether it is a `ROLLBACK` by a simple query.
    rollback: bool,
}

/// The batches of a session.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    jobs: VecDeque<Job>,
    bytes: usize,
    /// The batch that runs.
    running: Option<Running>,
    /// Whether batches are skipped up to the next `ReadyForQuery`, after an error.
    skipping: bool,
    /// Whether the queue is being worked on further up the stack.
    pumping: bool,
    /// Whether the caller is not read.
    paused: bool,
}

impl Queue {
    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_none() && self.jobs.is_empty()
    }
}

/// Adds a batch and runs what can run.
pub(super) fn push(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session, job: Job) {
    let most = daemon.settings.bounds.message_bytes.saturating_mul(WAITING_MESSAGES);
    let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
    session.queue.bytes += job.size();
    session.queue.jobs.push_back(job);
    if session.queue.bytes > most {
        let fault = Fault::new(Code::TooLarge, "too much waits in the session");
        return end(daemon, now, fx, id, &fault);
    }
    pump(daemon, now, fx, id);
    let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
    if session.queue.jobs.len() > PAUSE_ABOVE && !session.queue.paused {
        session.queue.paused = true;
        fx.caller(id, Effect::Pause);
    }
}

/// Runs batches until one waits for a server.
fn pump(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session) {
    loop {
        let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
        if session.queue.running.is_some() || session.queue.pumping {
            return;
        }
        let Some(job) = session.queue.jobs.pop_front() else {
            return settle(daemon, now, fx, id);
        };
        session.queue.bytes -= job.size();
        session.queue.pumping = true;
        start(daemon, now, fx, id, job);
        if let Some(session) = daemon.session.sessions.get_mut(&id) {
            session.queue.pumping = false;
        }
    }
}

/// Ends a session that a planned stop has waited for.
fn settle(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session) {
    let idle = daemon.session.sessions.get(&id).is_some_and(Session::idle);
    if daemon.draining && idle {
        end(daemon, now, fx, id, &draining());
    }
}

fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session, job: Job) {
    let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
    let ready = job.ready;
    if session.queue.skipping {
        session.queue.skipping = !ready;
        return answer(session, fx, id, Vec::new(), ready);
    }
    match job.work {
        Work::Local(steps) => {
            let mut replies = Vec::with_capacity(steps.len() + 1);
            let done = steps.iter().try_for_each(|step| run_local(session, step, &mut replies));
            if let Err(fault) = done {
                fx.record(refusal(session, id, record::Kind::Refusal, &fault));
                replies.push(Reply::Error { fault, fatal: false });
                session.queue.skipping = !ready;
            }
            answer(session, fx, id, replies, ready);
        }
        Work::Refuse(fault) => refuse(session, fx, id, fault, ready),
        Work::Run { batch, class, options } => {
            let options = options.or(&session.options);
            let simple = matches!(batch, Batch::Simple(_));
            session.queue.running = Some(Running {
                ready,
                ends: matches!(class, Class::Commit | Class::Rollback),
                rollback: simple && class == Class::Rollback,
            });
            run(daemon, now, fx, id, (batch, class, options));
        }
    }
}

/// Answers a batch that the entry refuses.
fn refuse(session: &mut Session, fx: &mut Effects, id: id::Session, fault: Fault, ready: bool) {
    fx.record(refusal(session, id, record::Kind::Refusal, &fault));
    session.queue.skipping = !ready;
    answer(session, fx, id, vec![Reply::Error { fault, fatal: false }], ready);
}

fn run(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    id: id::Session,
    (batch, class, options): (Batch, Class, Options),
) {
    let Some(session) = daemon.session.sessions.get(&id) else { return };
    if let Err(fault) = allowed(daemon, now, session) {
        let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
        let ready = session.queue.running.take().is_none_or(|running| running.ready);
        return refuse(session, fx, id, fault, ready);
    }
    let variables = session.variables.iter();
    let submit = Submission {
        session: id,
        workspace: session.workspace.clone(),
        key: session.key.clone(),
        service: session.service.clone(),
        class,
        options,
        floor: session.floor.clone(),
        variables: variables.map(|(name, value)| (name.clone(), value.clone())).collect(),
        batch,
    };
    request::submit(daemon, now, fx, submit);
}

/// Whether a session may run something now.
fn allowed(daemon: &Daemon, now: Now, session: &Session) -> Result<()> {
    debug_assert_eq!(session.phase, Phase::Open, "only an open session has batches");
    admitted(daemon, session)?;
    if session.key.is_empty() {
        return Ok(());
    }
    key::fresh(daemon, now, &session.workspace)
}

fn run_local(session: &mut Session, step: &Local, replies: &mut Vec<Reply>) -> Result<()> {
    match step {
        Local::Parse => replies.push(Reply::ParseComplete),
        Local::Bind => replies.push(reply::empty(b'2')),
        Local::Close => replies.push(Reply::CloseComplete),
        Local::Describe { statement, command } => {
            if *statement {
                replies.push(reply::no_parameters());
            }
            replies.push(match command {
                Some(Command::Show(name)) => reply::column(name),
                _ => reply::empty(b'n'),
            });
        }
        Local::Execute(None) | Local::Query(None) => replies.push(Reply::EmptyQuery),
        Local::Execute(Some(command)) => {
            let (value, reports) = option::run(session, command)?;
            replies.extend(reports);
            replies.extend(value.map(|value| reply::row(&value)));
            replies.push(Reply::Complete(command.tag().into()));
        }
        Local::Query(Some(command)) => {
            let (value, reports) = option::run(session, command)?;
            replies.extend(reports);
            if let (Some(value), Command::Show(column)) = (value, command) {
                replies.push(Reply::Row { column: column.clone(), value });
            }
            replies.push(Reply::Complete(command.tag().into()));
        }
    }
    Ok(())
}

fn answer(
    session: &mut Session,
    fx: &mut Effects,
    id: id::Session,
    mut replies: Vec<Reply>,
    ready: bool,
) {
    if ready {
        replies.push(Reply::Ready(session.status));
    }
    if !replies.is_empty() {
        fx.reply(id, replies);
    }
    // A `Send` lets the listener read on.
    if session.queue.paused {
        session.queue.paused = session.queue.jobs.len() > PAUSE_ABOVE;
        fx.caller(id, if session.queue.paused { Effect::Pause } else { Effect::Resume });
    }
}

/// Takes the outcome of the running batch; one that comes late finds none and goes nowhere.
pub(super) fn on_outcome(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    id: id::Session,
    database: &id::Database,
    outcome: Outcome,
) {
    let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
    let Some(running) = session.queue.running.take() else { return };
    let ready = running.ready;
    session.active = now.mono;
    let mut replies = Vec::with_capacity(3);
    match outcome {
        Outcome::Done { frames, status, mark } => {
            session.status = status;
            session.queue.skipping = !ready && frames.iter().any(|frame| frame.tag == b'E');
            replies.push(Reply::Frames(frames));
            if mark.is_some_and(|mark| session.floor.raise(database, mark)) {
                replies.push(reply::token(session));
            }
        }
        // The transaction was lost before; all that is left is to take note of it.
        Outcome::NotRun(fault) if running.ends && fault.code == Code::TransactionLost => {
            session.status = Status::Idle;
            session.queue.skipping = !ready;
            replies.push(if running.rollback {
                Reply::Complete("ROLLBACK".into())
            } else {
                Reply::Error { fault, fatal: false }
            });
        }
        Outcome::NotRun(fault) => {
            session.status = after_refusal(session.status, fault.code);
            session.queue.skipping = !ready;
            replies.push(Reply::Error { fault, fatal: false });
        }
        Outcome::Unknown(fault) => {
            session.status =
                if running.ends { Status::Idle } else { after_unknown(session.status) };
            session.queue.skipping = !ready;
            replies.push(Reply::Error { fault, fatal: false });
        }
    }
    answer(session, fx, id, replies, ready);
    pump(daemon, now, fx, id);
}

/// A transaction survives a refusal unless the refusal says that it is gone.
const fn after_refusal(status: Status, code: Code) -> Status {
    match (status, code) {
        (Status::Idle, _) => Status::Idle,
        (_, Code::TransactionLost | Code::HomeLost | Code::ServerLost | Code::Draining) => {
            Status::Failed
        }
        (status, _) => status,
    }
}

const fn after_unknown(status: Status) -> Status {
    match status {
        Status::Idle => Status::Idle,
        Status::Open | Status::Failed => Status::Failed,
    }
}
