//! The batches of a session: one runs at a time, the others are queued in order.

use super::{Phase, Session, check_key, draining, end, option, refusal_line, reply};
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

/// Number of queued batches above which reading from the caller is paused.
const PAUSE_THRESHOLD: usize = 32;
/// Bytes charged for each queued batch in addition to its text and parameters.
const JOB_OVERHEAD_BYTES: usize = 256;
/// Limit on the bytes queued in one session, as a multiple of the message size limit.
const QUEUE_BYTES_FACTOR: usize = 8;

/// A step that the entry runs itself, without a server.
#[derive(Clone, Debug)]
pub(super) enum Local {
    /// Acknowledges a `Parse`.
    Parse,
    /// Acknowledges a `Bind`.
    Bind,
    /// Acknowledges a `Close`.
    Close,
    /// Describes a statement with its parameters, or a portal.
    Describe {
        /// Whether this is a statement, whose parameters are described too.
        statement: bool,
        /// The command, `None` for an empty query.
        command: Option<Command>,
    },
    /// Runs a command of the extended protocol, `None` for an empty query.
    Execute(Option<Command>),
    /// Runs a command of the simple protocol, `None` for an empty query.
    Query(Option<Command>),
}

/// How a batch is processed.
#[derive(Clone, Debug)]
pub(super) enum Work {
    /// Run by a server.
    Run {
        /// The messages.
        batch: Batch,
        /// The combined class of the statements.
        class: Class,
        /// Options of the batch, which override those of the session.
        options: Options,
    },
    /// Run by the entry itself.
    Local(Vec<Local>),
    /// Refused.
    Refuse(Fault),
}

/// A queued batch.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// How the batch is processed.
    pub work: Work,
    /// Whether the response ends with `ReadyForQuery`; that of a flushed part of a batch does not.
    pub ready: bool,
}

impl Job {
    fn size(&self) -> usize {
        let Work::Run { batch, .. } = &self.work else { return JOB_OVERHEAD_BYTES };
        JOB_OVERHEAD_BYTES + batch.size()
    }
}

/// The properties of the running batch that its response depends on.
#[derive(Clone, Copy, Debug)]
struct Running {
    /// Whether the response ends with `ReadyForQuery`.
    ready: bool,
    /// Whether it commits or rolls back the transaction.
    ends: bool,
    /// Whether it is a `ROLLBACK` sent as a simple query.
    rollback: bool,
}

/// The batches of a session.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    jobs: VecDeque<Job>,
    bytes: usize,
    /// The batch that is running at a server.
    running: Option<Running>,
    /// Whether batches are skipped up to the next `ReadyForQuery`, after an error.
    skipping: bool,
    /// Whether a batch is being started further up the call stack; guards against reentrancy.
    dispatching: bool,
    /// Whether reading from the caller is paused.
    paused: bool,
}

impl Queue {
    /// Whether no batch is running or queued.
    pub fn is_idle(&self) -> bool {
        self.running.is_none() && self.jobs.is_empty()
    }
}

/// Queues a batch and runs what can run.
pub(super) fn push(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session, job: Job) {
    let max_bytes = daemon.settings.bounds.message_bytes.saturating_mul(QUEUE_BYTES_FACTOR);
    let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
    session.queue.bytes += job.size();
    session.queue.jobs.push_back(job);
    if session.queue.bytes > max_bytes {
        let fault = Fault::new(Code::TooLarge, "too much waits in the session");
        return end(daemon, now, fx, id, &fault);
    }
    dispatch(daemon, now, fx, id);
    let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
    if session.queue.jobs.len() > PAUSE_THRESHOLD && !session.queue.paused {
        session.queue.paused = true;
        fx.caller(id, Effect::Pause);
    }
}

/// Runs batches until one waits for a server.
fn dispatch(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session) {
    loop {
        let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
        if session.queue.running.is_some() || session.queue.dispatching {
            return;
        }
        let Some(job) = session.queue.jobs.pop_front() else {
            return end_if_drained(daemon, now, fx, id);
        };
        session.queue.bytes -= job.size();
        session.queue.dispatching = true;
        start(daemon, now, fx, id, job);
        if let Some(session) = daemon.session.sessions.get_mut(&id) {
            session.queue.dispatching = false;
        }
    }
}

/// Ends an idle session if the daemon is draining.
fn end_if_drained(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session) {
    let idle = daemon.session.sessions.get(&id).is_some_and(Session::is_idle);
    if daemon.draining && idle {
        end(daemon, now, fx, id, &draining());
    }
}

fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session, job: Job) {
    let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
    let ready = job.ready;
    if session.queue.skipping {
        session.queue.skipping = !ready;
        return respond(session, fx, id, Vec::new(), ready);
    }
    match job.work {
        Work::Local(steps) => {
            let mut replies = Vec::with_capacity(steps.len() + 1);
            let result = steps.iter().try_for_each(|step| run_local(session, step, &mut replies));
            if let Err(fault) = result {
                fx.record(refusal_line(session, id, record::Kind::Refusal, &fault));
                replies.push(Reply::Error { fault, fatal: false });
                session.queue.skipping = !ready;
            }
            respond(session, fx, id, replies, ready);
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

/// Responds to a batch that the entry refuses.
fn refuse(session: &mut Session, fx: &mut Effects, id: id::Session, fault: Fault, ready: bool) {
    fx.record(refusal_line(session, id, record::Kind::Refusal, &fault));
    session.queue.skipping = !ready;
    respond(session, fx, id, vec![Reply::Error { fault, fatal: false }], ready);
}

fn run(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    id: id::Session,
    (batch, class, options): (Batch, Class, Options),
) {
    let Some(session) = daemon.session.sessions.get(&id) else { return };
    if let Err(fault) = check_access(daemon, now, session) {
        let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
        let ready = session.queue.running.take().is_none_or(|running| running.ready);
        return refuse(session, fx, id, fault, ready);
    }
    let variables = session.variables.iter();
    let submission = Submission {
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
    request::submit(daemon, now, fx, submission);
}

/// Checks that the session's key is still valid and the configuration recent enough to trust it.
fn check_access(daemon: &Daemon, now: Now, session: &Session) -> Result<()> {
    debug_assert_eq!(session.phase, Phase::Open, "only an open session has batches");
    check_key(daemon, session)?;
    if session.key.is_empty() {
        return Ok(());
    }
    key::check_freshness(daemon, now, &session.workspace)
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
            let (value, reports) = option::run_command(session, command)?;
            replies.extend(reports);
            replies.extend(value.map(|value| reply::row(&value)));
            replies.push(Reply::Complete(command.tag().into()));
        }
        Local::Query(Some(command)) => {
            let (value, reports) = option::run_command(session, command)?;
            replies.extend(reports);
            if let (Some(value), Command::Show(column)) = (value, command) {
                replies.push(Reply::Row { column: column.clone(), value });
            }
            replies.push(Reply::Complete(command.tag().into()));
        }
    }
    Ok(())
}

fn respond(
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
    // The listener resumes reading after a `Send`, so a pause has to be repeated.
    if session.queue.paused {
        session.queue.paused = session.queue.jobs.len() > PAUSE_THRESHOLD;
        fx.caller(id, if session.queue.paused { Effect::Pause } else { Effect::Resume });
    }
}

/// Handles the outcome of the running batch; a late outcome finds no running batch and is ignored.
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
    session.last_active = now.mono;
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
        // The transaction was lost earlier, so there is nothing to end but the session's status.
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
            session.status = status_after_refusal(session.status, fault.code);
            session.queue.skipping = !ready;
            replies.push(Reply::Error { fault, fatal: false });
        }
        Outcome::Unknown(fault) => {
            session.status =
                if running.ends { Status::Idle } else { status_after_unknown(session.status) };
            session.queue.skipping = !ready;
            replies.push(Reply::Error { fault, fatal: false });
        }
    }
    respond(session, fx, id, replies, ready);
    dispatch(daemon, now, fx, id);
}

/// The status after a refusal, which a transaction survives unless the code reports its loss.
const fn status_after_refusal(status: Status, code: Code) -> Status {
    match (status, code) {
        (Status::Idle, _) => Status::Idle,
        (_, Code::TransactionLost | Code::HomeLost | Code::ServerLost | Code::Draining) => {
            Status::Failed
        }
        (status, _) => status,
    }
}

/// The status after an unknown outcome, which fails an open transaction.
const fn status_after_unknown(status: Status) -> Status {
    match status {
        Status::Idle => Status::Idle,
        Status::Open | Status::Failed => Status::Failed,
    }
}
