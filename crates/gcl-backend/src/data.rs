//! One data connection, as a task.

use crate::{
    answer::{self, Part},
    cache::Cache,
    cancel,
    client::{Events, Shared},
    idempotent,
    login::{self, CancelKey, Login, Purpose},
    plan::Plan,
    prelude::{self, Prelude, Session, Variables, Wanted},
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
    /// The request, named in the answer.
    pub request: id::Request,
    /// The term that writes are pinned to.
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

/// What a connection is told.
#[derive(Debug)]
pub enum Command {
    /// Runs a batch.
    Run(Box<Run>),
    /// Cancels the batch that runs.
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

/// A connection that cannot be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Whether any byte of the batch may have left.
    pub sent: bool,
}

/// What an exchange with the server returns.
pub type Result<T> = std::result::Result<T, Broken>;

/// What a connection's task starts from.
#[derive(Debug)]
pub struct Start {
    /// What all connections share.
    pub shared: Arc<Shared>,
    /// Where the events go.
    pub events: Events,
    /// The server.
    pub server: id::Server,
    /// The connection's id.
    pub connection: id::Connection,
    /// Where the server listens.
    pub address: SocketAddr,
    /// What the connection is told.
    pub commands: UnboundedReceiver<Command>,
}

/// An open connection.
#[derive(Debug)]
pub struct Data {
    /// What all connections share.
    pub shared: Arc<Shared>,
    /// The server.
    pub server: id::Server,
    /// The statements prepared.
    pub cache: Cache,
    /// The variables and the transaction status.
    pub session: Session,
    /// The mark last reported.
    pub mark: Option<Mark>,
    events: Events,
    connection: id::Connection,
    address: SocketAddr,
    link: Link,
    key: CancelKey,
    commands: UnboundedReceiver<Command>,
    waiting: VecDeque<Command>,
    /// The mark when the present batch began.
    before: Option<Mark>,
    /// Whether the present batch cannot commit a write.
    read_only: bool,
    cancels: JoinSet<io::Result<()>>,
}

/// Opens a connection and serves it until it ends.
pub async fn serve(start: Start) {
    let (shared, events) = (Arc::clone(&start.shared), start.events.clone());
    let (server, connection) = (start.server.clone(), start.connection);
    let login = login::open(&shared.options, start.address, Purpose::Data).await;
    let (last, mut waiting, commands) = match login {
        Ok(login) => {
            // Without a receiver the daemon is going down.
            let _ = events.send((server.clone(), Event::Opened(connection)));
            let mut data = Data::new(start, login);
            let last = data.serve().await;
            (last, data.waiting, data.commands)
        }
        Err(error) => {
            let full = matches!(error, login::Error::Full);
            (Event::Failed { connection, full }, VecDeque::new(), start.commands)
        }
    };
    shared.forget(connection);
    waiting.extend(drain(commands));
    // Those come first: a batch that never left is known not to have run.
    for run in waiting.into_iter().filter_map(Command::into_run) {
        let (request, ended) = (run.request, Completion::Lost { sent: false });
        let _ = events.send((server.clone(), Event::Ended { connection, request, ended }));
    }
    let _ = events.send((server, last));
}

/// What is left in a channel that nobody sends to any more.
fn drain(mut commands: UnboundedReceiver<Command>) -> Vec<Command> {
    std::iter::from_fn(|| commands.try_recv().ok()).collect()
}

impl Data {
    fn new(start: Start, login: Login) -> Self {
        Self {
            cache: Cache::new(start.shared.options.statements),
            shared: start.shared,
            server: start.server,
            session: Session::default(),
            mark: login.mark,
            events: start.events,
            connection: start.connection,
            address: start.address,
            link: login.link,
            key: login.key,
            commands: start.commands,
            waiting: VecDeque::new(),
            before: login.mark,
            read_only: false,
            cancels: JoinSet::new(),
        }
    }

    /// Serves commands; returns the connection's last event.
    async fn serve(&mut self) -> Event {
        let connection = self.connection;
        loop {
            let last = match self.next().await {
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

    /// The next command; `None` when the connection is of no more use.
    async fn next(&mut self) -> Option<Command> {
        if let Some(command) = self.waiting.pop_front() {
            return Some(command);
        }
        loop {
            tokio::select! {
                command = self.commands.recv() => return command,
                item = self.link.read(wire::SMALL) => match item {
                    Ok(Item::Frame(frame)) => self.on_idle_frame(frame)?,
                    _ => return None,
                },
            }
        }
    }

    /// Takes a message outside a batch; `None` if none may come.
    fn on_idle_frame(&mut self, frame: Frame) -> Option<()> {
        match answer::mark(frame) {
            Ok(mark) => self.mark = Some(mark),
            Err(frame) if matches!(frame.tag, b'N' | b'S' | b'A') => {}
            Err(_) => return None,
        }
        Some(())
    }

    async fn on_run(&mut self, run: &Run) -> Option<Event> {
        let ended = self.run(run).await;
        let doubtful = self.settle_cancels().await;
        let (connection, request) = (self.connection, run.request);
        match ended {
            Ok(ended) => {
                let event = Event::Ended { connection, request, ended };
                // Without a receiver the daemon is going down.
                let _ = self.events.send((self.server.clone(), event));
                doubtful.then_some(Event::Closed(connection))
            }
            Err(Broken { sent }) => {
                let ended = Completion::Lost { sent };
                Some(Event::Ended { connection, request, ended })
            }
        }
    }

    /// Waits for the cancel requests on their way; true if one may still hit a later batch.
    async fn settle_cancels(&mut self) -> bool {
        let mut doubtful = false;
        while let Some(done) = self.cancels.join_next().await {
            doubtful |= !matches!(done, Ok(Ok(())));
        }
        doubtful
    }

    async fn run(&mut self, run: &Run) -> Result<Completion> {
        self.before = self.mark;
        self.read_only = run.read_only;
        if self.link.is_closed() {
            return Err(Broken { sent: false });
        }
        if let Some((name, _)) = run.variables.iter().find(|(name, _)| !prelude::is_name(name)) {
            let message = format!("invalid name of a session variable: {name}");
            return Ok(self.refusal("42602", &message));
        }
        let wanted = Wanted {
            variables: run.variables.iter().cloned().collect::<Variables>(),
            term: run.term,
            read_only: run.read_only,
        };
        let mut prelude = self.session.prelude(wanted, &self.shared.accepted);
        if let Some(risky) = prelude.take_if(|prelude| prelude.risky) {
            let part = self.assign(risky).await?;
            if part.error.is_some() {
                return Ok(self.ended(part));
            }
        }
        match (run.idempotency, self.session.status) {
            (Some(id), Status::Idle) => idempotent::record(self, prelude, run, id).await,
            (Some(id), Status::Open) if idempotent::is_commit(&run.batch) => {
                idempotent::commit(self, prelude, run, id).await
            }
            _ => self.plain(prelude, run).await,
        }
    }

    /// Makes assignments and waits for the answer.
    async fn assign(&mut self, prelude: Prelude) -> Result<Part> {
        let mut plan = Plan::default();
        if let Err(error) = plan.query(&prelude.sql) {
            let error = error_frame("22021", &error.to_string());
            return Ok(Part {
                frames: vec![error],
                status: self.session.status,
                error: Some("22021".into()),
                ..Part::default()
            });
        }
        let part = last(self.exchange(plan).await?)?;
        if part.error.is_none() {
            self.session.confirm(prelude, &self.shared.accepted);
        } else {
            self.session.dirty = true;
        }
        self.session.settle(part.status);
        Ok(part)
    }

    async fn plain(&mut self, prelude: Option<Prelude>, run: &Run) -> Result<Completion> {
        let mut plan = Plan::default();
        if let Err(error) = self.begin(&mut plan, prelude.as_ref(), run) {
            return Ok(self.refusal("22021", &error.to_string()));
        }
        let part = last(self.send(prelude, plan).await?)?;
        self.learn(&part);
        Ok(self.ended(part))
    }

    fn begin(&mut self, plan: &mut Plan, prelude: Option<&Prelude>, run: &Run) -> io::Result<()> {
        if let Some(prelude) = prelude {
            plan.query(&prelude.sql)?;
        }
        plan.batch(&run.batch, &mut self.cache)
    }

    /// Sends a plan that begins with a prelude, and returns the parts after it.
    ///
    /// A prelude whose refusal comes too late to stop the batch breaks the connection.
    pub async fn send(&mut self, prelude: Option<Prelude>, plan: Plan) -> Result<Vec<Part>> {
        let mut parts = self.exchange(plan).await?;
        if let Some(prelude) = prelude {
            if parts.is_empty() || parts.remove(0).error.is_some() {
                return Err(Broken { sent: true });
            }
            self.session.confirm(prelude, &self.shared.accepted);
        }
        if let Some(part) = parts.last() {
            self.session.settle(part.status);
        }
        Ok(parts)
    }

    /// Takes note of what a batch did to the session.
    pub fn learn(&mut self, part: &Part) {
        let begins = |words: &[&str]| {
            part.tags.iter().any(|tag| words.iter().any(|word| tag.starts_with(word)))
        };
        if begins(&["SET", "RESET", "DISCARD"]) {
            self.session.dirty = true;
        }
        // A statement that vanished or changed its result has to be prepared again.
        let stale = part.error.as_deref().is_some_and(|code| code == "26000" || code == "0A000");
        if stale || begins(&["DISCARD", "DEALLOCATE"]) {
            self.cache.clear();
        }
    }

    /// Sends messages and collects the answers, obeying commands meanwhile.
    pub async fn exchange(&mut self, mut plan: Plan) -> Result<Vec<Part>> {
        let total = plan.output.len();
        let mut parts = Vec::with_capacity(plan.groups.len());
        let deadline = Instant::now() + self.shared.options.answer_timeout;
        while !plan.groups.is_empty() {
            let part = timeout_at(deadline, self.collect(&mut plan)).await;
            let Ok(Some(part)) = part else {
                let written = total - plan.output.len();
                let sent = plan.start.is_some_and(|start| written > start);
                return Err(Broken { sent });
            };
            parts.push(part);
        }
        Ok(parts)
    }

    /// Collects the answer to the first group; `None` if the connection is of no more use.
    async fn collect(&mut self, plan: &mut Plan) -> Option<Part> {
        let mut group = plan.groups.pop_front()?;
        let most = self.shared.options.answer_bytes;
        let limit = most.max(wire::SMALL);
        let mut part = Part::default();
        answer::release(&mut part, &mut group, most);
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
                    part.overflow();
                    continue;
                }
                Some(Item::TooLarge(_)) => return None,
                Some(Item::Frame(frame)) => frame,
            };
            let frame = match answer::mark(frame) {
                Ok(mark) => {
                    self.mark = Some(mark);
                    continue;
                }
                Err(frame) => frame,
            };
            if answer::accept(&mut part, &mut group, frame, &mut self.cache, most).ok()? {
                return Some(part);
            }
        }
    }

    /// Takes a command during a batch; `None` to give the connection up.
    fn on_command(&mut self, command: Option<Command>) -> Option<()> {
        match command? {
            Command::Close => return None,
            Command::Cancel => {
                let (shared, address, key) = (Arc::clone(&self.shared), self.address, self.key);
                self.cancels
                    .spawn(async move { cancel::cancel(&shared.options, address, key).await });
            }
            command => self.waiting.push_back(command),
        }
        Some(())
    }

    async fn on_reset(&mut self) -> Option<Event> {
        let connection = self.connection;
        let limit = self.shared.options.reset_timeout;
        let clean = timeout(limit, self.reset()).await.is_ok_and(|reset| reset.is_ok());
        if clean {
            let event = Event::Reset { connection, clean };
            // Without a receiver the daemon is going down.
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
        let parts = self.exchange(plan).await?;
        let clean = parts.iter().all(|part| part.error.is_none());
        let idle = parts.last().is_some_and(|part| part.status == Status::Idle);
        if !clean || !idle {
            return Err(Broken { sent: false });
        }
        self.session.reset();
        self.cache.clear();
        Ok(())
    }

    /// The event's account of an answer.
    pub fn ended(&self, part: Part) -> Completion {
        let status = part.status;
        let committed = self.mark != self.before && !self.read_only;
        let told = status == Status::Idle && (part.error.is_none() || committed);
        let mark = self.mark.filter(|_| told);
        if part.too_large {
            return Completion::TooLarge { status, mark };
        }
        Completion::Answered { frames: part.frames, status, mark, error: part.error }
    }

    /// The account of a batch that was not sent.
    pub fn refusal(&self, code: &str, message: &str) -> Completion {
        Completion::Answered {
            frames: vec![error_frame(code, message)],
            status: self.session.status,
            mark: None,
            error: Some(code.into()),
        }
    }
}

/// The last part of an answer.
pub fn last(mut parts: Vec<Part>) -> Result<Part> {
    parts.pop().ok_or(Broken { sent: true })
}

/// An `ErrorResponse`.
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

/// A `CommandComplete`.
pub fn complete_frame(tag: &str) -> Frame {
    let mut body = Vec::from(tag.as_bytes());
    body.push(0);
    Frame { tag: answer::COMPLETE, body: Bytes::from(body) }
}
