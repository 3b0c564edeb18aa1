//! Data connections, each run by a task of its own.

use crate::{
    answer::{self, Answer},
    cache::Cache,
    cancel,
    client::{Events, Shared},
    idempotent,
    login::{self, CancelKey, Login, Purpose},
    plan::Plan,
    prelude::{self, Prelude, Session, Settings, Variables},
    wire::{self, Item, Link},
};
use bytes::{BufMut, Bytes, BytesMut};
use compact_str::CompactString;
use gcl_core::{
    batch::{Batch, Frame, Status},
    id,
    mark::Mark,
    server::{Completion, Event},
};
use std::{collections::VecDeque, io, net::SocketAddr, sync::Arc};
use tokio::{
    sync::mpsc::UnboundedReceiver,
    task::JoinSet,
    time::{Instant, timeout, timeout_at},
};

/// A batch to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request, repeated in the completion event.
    pub request: id::Request,
    /// For writes, the term at which the server must be primary.
    pub term: Option<id::Term>,
    /// Whether the batch must not write.
    pub read_only: bool,
    /// The session's variables.
    pub variables: Vec<(CompactString, CompactString)>,
    /// The caller's id of a write.
    pub idempotency: Option<id::Idempotency>,
    /// The messages.
    pub batch: Batch,
}

/// A command to a connection's task.
#[derive(Debug)]
pub enum Command {
    /// Runs a batch.
    Run(Box<Run>),
    /// Cancels the running batch.
    Cancel,
    /// Rolls back and discards session state.
    Reset,
    /// Closes the connection.
    Close,
}

impl Command {
    fn into_run(self) -> Option<Box<Run>> {
        match self {
            Self::Run(run) => Some(run),
            Self::Cancel | Self::Reset | Self::Close => None,
        }
    }
}

/// The connection failed and must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Whether any byte of the batch may have been sent.
    pub sent: bool,
}

/// The result of an exchange with the server.
pub type Result<T> = std::result::Result<T, Broken>;

/// The parameters of a connection's task.
#[derive(Debug)]
pub struct Setup {
    /// State shared by all connections.
    pub shared: Arc<Shared>,
    /// Channel for the connection's events.
    pub events: Events,
    /// The server.
    pub server: id::Server,
    /// The connection's id.
    pub connection: id::Connection,
    /// The server's address.
    pub address: SocketAddr,
    /// Commands to the connection.
    pub commands: UnboundedReceiver<Command>,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    /// State shared by all connections.
    pub shared: Arc<Shared>,
    /// The server.
    pub server: id::Server,
    /// The prepared statements.
    pub cache: Cache,
    /// The session settings and the transaction status.
    pub session: Session,
    /// The mark that the server reported last.
    pub mark: Option<Mark>,
    events: Events,
    id: id::Connection,
    address: SocketAddr,
    link: Link,
    key: CancelKey,
    commands: UnboundedReceiver<Command>,
    queued: VecDeque<Command>,
    /// The mark at the start of the current batch.
    mark_before: Option<Mark>,
    /// Whether the current batch is read-only.
    read_only: bool,
    cancels: JoinSet<io::Result<()>>,
}

/// Opens a connection and serves it until it ends.
pub async fn serve(setup: Setup) {
    let (shared, events) = (Arc::clone(&setup.shared), setup.events.clone());
    let (server, connection) = (setup.server.clone(), setup.connection);
    let login = login::open(&shared.options, setup.address, Purpose::Data).await;
    let (last, mut queued, commands) = match login {
        Ok(login) => {
            // The receiver is closed only when the daemon is shutting down.
            let _ = events.send((server.clone(), Event::Opened(connection)));
            let mut opened = Connection::new(setup, login);
            let last = opened.serve().await;
            (last, opened.queued, opened.commands)
        }
        Err(error) => {
            let full = matches!(error, login::Error::Full);
            (Event::Failed { connection, full }, VecDeque::new(), setup.commands)
        }
    };
    shared.remove_connection(connection);
    queued.extend(drain(commands));
    // Sent before the connection's last event: these batches were never sent, so they did not run.
    for run in queued.into_iter().filter_map(Command::into_run) {
        let (request, ended) = (run.request, Completion::Lost { sent: false });
        let _ = events.send((server.clone(), Event::Ended { connection, request, ended }));
    }
    let _ = events.send((server, last));
}

/// Takes the remaining commands out of a channel that has no sender any more.
fn drain(mut commands: UnboundedReceiver<Command>) -> Vec<Command> {
    std::iter::from_fn(|| commands.try_recv().ok()).collect()
}

impl Connection {
    fn new(setup: Setup, login: Login) -> Self {
        Self {
            cache: Cache::new(setup.shared.options.statements),
            shared: setup.shared,
            server: setup.server,
            session: Session::default(),
            mark: login.mark,
            events: setup.events,
            id: setup.connection,
            address: setup.address,
            link: login.link,
            key: login.key,
            commands: setup.commands,
            queued: VecDeque::new(),
            mark_before: login.mark,
            read_only: false,
            cancels: JoinSet::new(),
        }
    }

    /// Processes commands until the connection ends; returns its last event.
    async fn serve(&mut self) -> Event {
        let connection = self.id;
        loop {
            let last = match self.next_command().await {
                Some(Command::Run(run)) => self.on_run(&run).await,
                Some(Command::Reset) => self.on_reset().await,
                Some(Command::Cancel) => None,
                Some(Command::Close) | None => Some(Event::Closed(connection)),
            };
            if let Some(last) = last {
                return last;
            }
        }
    }

    /// Waits for the next command; `None` if the connection must be closed.
    async fn next_command(&mut self) -> Option<Command> {
        if let Some(command) = self.queued.pop_front() {
            return Some(command);
        }
        loop {
            tokio::select! {
                command = self.commands.recv() => return command,
                item = self.link.read(wire::MAX_MESSAGE_BYTES) => match item {
                    Ok(Item::Frame(frame)) => self.on_idle_frame(frame)?,
                    _ => return None,
                },
            }
        }
    }

    /// Handles a message outside a batch; `None` if the protocol does not allow it there.
    fn on_idle_frame(&mut self, frame: Frame) -> Option<()> {
        match answer::decode_mark(frame) {
            Ok(mark) => self.mark = Some(mark),
            Err(frame) if matches!(frame.tag, b'N' | b'S' | b'A') => {}
            Err(_) => return None,
        }
        Some(())
    }

    async fn on_run(&mut self, run: &Run) -> Option<Event> {
        let ended = self.run(run).await;
        let may_cancel_later = self.finish_cancels().await;
        let (connection, request) = (self.id, run.request);
        match ended {
            Ok(ended) => {
                let event = Event::Ended { connection, request, ended };
                // The receiver is closed only when the daemon is shutting down.
                let _ = self.events.send((self.server.clone(), event));
                may_cancel_later.then_some(Event::Closed(connection))
            }
            Err(Broken { sent }) => {
                let ended = Completion::Lost { sent };
                Some(Event::Ended { connection, request, ended })
            }
        }
    }

    /// Waits for pending cancel requests; true if one may still cancel a later batch.
    async fn finish_cancels(&mut self) -> bool {
        let mut may_cancel_later = false;
        while let Some(done) = self.cancels.join_next().await {
            may_cancel_later |= !matches!(done, Ok(Ok(())));
        }
        may_cancel_later
    }

    async fn run(&mut self, run: &Run) -> Result<Completion> {
        self.mark_before = self.mark;
        self.read_only = run.read_only;
        if self.link.is_closed() {
            return Err(Broken { sent: false });
        }
        if let Some((name, _)) = run.variables.iter().find(|(name, _)| !prelude::is_name(name)) {
            let message = format!("invalid name of a session variable: {name}");
            return Ok(self.error_completion("42602", &message));
        }
        let wanted = Settings {
            variables: run.variables.iter().cloned().collect::<Variables>(),
            term: run.term,
            read_only: run.read_only,
        };
        let mut prelude = self.session.prelude(wanted, &self.shared.accepted);
        if let Some(fallible) = prelude.take_if(|prelude| prelude.may_fail) {
            let answer = self.assign(fallible).await?;
            if answer.error.is_some() {
                return Ok(self.completion(answer));
            }
        }
        match (run.idempotency, self.session.status) {
            (Some(id), Status::Idle) => idempotent::record(self, prelude, run, id).await,
            (Some(id), Status::Open) if idempotent::is_commit(&run.batch) => {
                idempotent::commit(self, prelude, run, id).await
            }
            _ => self.run_batch(prelude, run).await,
        }
    }

    /// Runs a prelude by itself and waits for the answer.
    async fn assign(&mut self, prelude: Prelude) -> Result<Answer> {
        let mut plan = Plan::default();
        if let Err(error) = plan.query(&prelude.sql) {
            let error = error_frame("22021", &error.to_string());
            return Ok(Answer {
                frames: vec![error],
                status: self.session.status,
                error: Some("22021".into()),
                ..Answer::default()
            });
        }
        let answer = last_answer(self.exchange(plan).await?)?;
        if answer.error.is_none() {
            self.session.confirm(prelude, &self.shared.accepted);
        } else {
            self.session.dirty = true;
        }
        self.session.set_status(answer.status);
        Ok(answer)
    }

    async fn run_batch(&mut self, prelude: Option<Prelude>, run: &Run) -> Result<Completion> {
        let mut plan = Plan::default();
        if let Err(error) = self.plan_batch(&mut plan, prelude.as_ref(), run) {
            return Ok(self.error_completion("22021", &error.to_string()));
        }
        let answer = last_answer(self.send(prelude, plan).await?)?;
        self.observe(&answer);
        Ok(self.completion(answer))
    }

    fn plan_batch(
        &mut self,
        plan: &mut Plan,
        prelude: Option<&Prelude>,
        run: &Run,
    ) -> io::Result<()> {
        if let Some(prelude) = prelude {
            plan.query(&prelude.sql)?;
        }
        plan.batch(&run.batch, &mut self.cache)
    }

    /// Sends a plan that begins with the given prelude; returns the answers after the prelude's.
    ///
    /// # Errors
    /// The connection failed, or the server rejected the prelude. In the latter case the batch has
    /// already been sent and may have run with wrong settings.
    pub async fn send(&mut self, prelude: Option<Prelude>, plan: Plan) -> Result<Vec<Answer>> {
        let mut answers = self.exchange(plan).await?;
        if let Some(prelude) = prelude {
            if answers.is_empty() || answers.remove(0).error.is_some() {
                return Err(Broken { sent: true });
            }
            self.session.confirm(prelude, &self.shared.accepted);
        }
        if let Some(answer) = answers.last() {
            self.session.set_status(answer.status);
        }
        Ok(answers)
    }

    /// Updates the session and the statement cache with the effects of a batch.
    pub fn observe(&mut self, answer: &Answer) {
        let has_tag = |words: &[&str]| {
            answer.tags.iter().any(|tag| words.iter().any(|word| tag.starts_with(word)))
        };
        if has_tag(&["SET", "RESET", "DISCARD"]) {
            self.session.dirty = true;
        }
        // A prepared statement that no longer exists (26000) or whose result type changed (0A000)
        // has to be prepared again.
        let stale = answer.error.as_deref().is_some_and(|code| code == "26000" || code == "0A000");
        if stale || has_tag(&["DISCARD", "DEALLOCATE"]) {
            self.cache.clear();
        }
    }

    /// Sends messages and collects the answers; handles commands meanwhile.
    ///
    /// # Errors
    /// The connection failed, was closed or timed out.
    pub async fn exchange(&mut self, mut plan: Plan) -> Result<Vec<Answer>> {
        let total = plan.output.len();
        let mut answers = Vec::with_capacity(plan.groups.len());
        let deadline = Instant::now() + self.shared.options.answer_timeout;
        while !plan.groups.is_empty() {
            let answer = timeout_at(deadline, self.collect(&mut plan)).await;
            let Ok(Some(answer)) = answer else {
                let written = total - plan.output.len();
                let sent = plan.batch_start.is_some_and(|start| written > start);
                return Err(Broken { sent });
            };
            answers.push(answer);
        }
        Ok(answers)
    }

    /// Collects the answer to the first group; `None` if the connection must be closed.
    async fn collect(&mut self, plan: &mut Plan) -> Option<Answer> {
        let mut group = plan.groups.pop_front()?;
        let max_bytes = self.shared.options.answer_bytes;
        let limit = max_bytes.max(wire::MAX_MESSAGE_BYTES);
        let mut answer = Answer::default();
        answer::push_synthetic(&mut answer, &mut group, max_bytes);
        loop {
            let item = tokio::select! {
                command = self.commands.recv() => {
                    self.on_command(command)?;
                    continue;
                }
                item = self.link.advance(&mut plan.output, limit) => item.ok()?,
            };
            let frame = match item {
                None => continue,
                Some(Item::TooLarge(answer::ROW)) => {
                    answer.overflow();
                    continue;
                }
                Some(Item::TooLarge(_)) => return None,
                Some(Item::Frame(frame)) => frame,
            };
            let frame = match answer::decode_mark(frame) {
                Ok(mark) => {
                    self.mark = Some(mark);
                    continue;
                }
                Err(frame) => frame,
            };
            if answer::accept(&mut answer, &mut group, frame, &mut self.cache, max_bytes).ok()? {
                return Some(answer);
            }
        }
    }

    /// Handles a command during a batch; `None` if the connection must be closed.
    fn on_command(&mut self, command: Option<Command>) -> Option<()> {
        match command? {
            Command::Close => return None,
            Command::Cancel => {
                let (shared, address, key) = (Arc::clone(&self.shared), self.address, self.key);
                self.cancels
                    .spawn(async move { cancel::cancel(&shared.options, address, key).await });
            }
            command => self.queued.push_back(command),
        }
        Some(())
    }

    async fn on_reset(&mut self) -> Option<Event> {
        let connection = self.id;
        let limit = self.shared.options.reset_timeout;
        let clean = timeout(limit, self.reset()).await.is_ok_and(|reset| reset.is_ok());
        if clean {
            let event = Event::Reset { connection, clean };
            // The receiver is closed only when the daemon is shutting down.
            let _ = self.events.send((self.server.clone(), event));
            return None;
        }
        Some(Event::Reset { connection, clean })
    }

    async fn reset(&mut self) -> Result<()> {
        let mut plan = Plan::default();
        let mut statements = vec!["DISCARD ALL"];
        if self.session.status != Status::Idle {
            statements.insert(0, "ROLLBACK");
        }
        for statement in statements {
            plan.query(statement).map_err(|_invalid| Broken { sent: false })?;
        }
        let answers = self.exchange(plan).await?;
        let clean = answers.iter().all(|answer| answer.error.is_none());
        let idle = answers.last().is_some_and(|answer| answer.status == Status::Idle);
        if !clean || !idle {
            return Err(Broken { sent: false });
        }
        self.session.reset();
        self.cache.clear();
        Ok(())
    }

    /// Converts an answer to a completion.
    pub fn completion(&self, answer: Answer) -> Completion {
        let status = answer.status;
        let committed = self.mark != self.mark_before && !self.read_only;
        let reports_mark = status == Status::Idle && (answer.error.is_none() || committed);
        let mark = self.mark.filter(|_| reports_mark);
        if answer.too_large {
            return Completion::TooLarge { status, mark };
        }
        Completion::Answered { frames: answer.frames, status, mark, error: answer.error }
    }

    /// The completion of a batch that was rejected without being sent.
    pub fn error_completion(&self, code: &str, message: &str) -> Completion {
        Completion::Answered {
            frames: vec![error_frame(code, message)],
            status: self.session.status,
            mark: None,
            error: Some(code.into()),
        }
    }
}

/// The last answer of an exchange.
///
/// # Errors
/// There is none.
pub fn last_answer(mut answers: Vec<Answer>) -> Result<Answer> {
    answers.pop().ok_or(Broken { sent: true })
}

/// Builds an `ErrorResponse`.
pub fn error_frame(code: &str, message: &str) -> Frame {
    let mut body = BytesMut::new();
    for (field, value) in [(b'S', "ERROR"), (b'V', "ERROR"), (b'C', code), (b'M', message)] {
        body.put_u8(field);
        body.extend(value.bytes().filter(|byte| *byte != 0));
        body.put_u8(0);
    }
    body.put_u8(0);
    Frame { tag: answer::ERROR, body: body.freeze() }
}

/// Builds a `CommandComplete`.
pub fn complete_frame(tag: &str) -> Frame {
    let mut body = Vec::from(tag.as_bytes());
    body.push(0);
    Frame { tag: answer::COMPLETE, body: Bytes::from(body) }
}
