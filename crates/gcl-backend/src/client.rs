//! The calls of the reducer to backend servers, carried out.

use crate::{
    control::Lines,
    data::{self, Command, Run},
    prelude::Accepted,
};
use compact_str::CompactString;
use gcl_core::{
    id,
    server::{Call, Completion, Event},
};
use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

/// Where the events go, each with its server.
pub type Events = UnboundedSender<(id::Server, Event)>;

/// How the connections are made and bounded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The user that the servers see.
    pub user: CompactString,
    /// The database that the servers see.
    pub database: CompactString,
    /// Longest time to open a connection.
    pub open_timeout: Duration,
    /// Longest time for a cancel request.
    pub cancel_timeout: Duration,
    /// Longest time to reset a connection.
    pub reset_timeout: Duration,
    /// Longest time for the answer to a batch; a batch that takes longer loses its connection.
    pub answer_timeout: Duration,
    /// Largest answer in bytes.
    pub answer_bytes: usize,
    /// Most statements kept prepared on one connection.
    pub statements: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            user: "goldcrest".into(),
            database: "goldcrest".into(),
            open_timeout: Duration::from_secs(2),
            cancel_timeout: Duration::from_secs(1),
            reset_timeout: Duration::from_secs(2),
            answer_timeout: Duration::from_mins(5),
            answer_bytes: 16 << 20,
            statements: 256,
        }
    }
}

/// What all connections share.
#[derive(Debug, Default)]
pub struct Shared {
    /// How the connections are made and bounded.
    pub options: Options,
    /// Assignments of variables that a server accepted before.
    pub accepted: Accepted,
    connections: Mutex<HashMap<id::Connection, UnboundedSender<Command>>>,
    tabled: Mutex<HashSet<id::Server>>,
}

impl Shared {
    /// Forgets a connection that is gone.
    pub fn forget(&self, connection: id::Connection) {
        self.connections().remove(&connection);
    }

    /// Whether a server is known to have the table of idempotent requests.
    pub fn has_table(&self, server: &id::Server) -> bool {
        self.tabled().contains(server)
    }

    /// Learns whether a server has the table of idempotent requests.
    pub fn set_table(&self, server: &id::Server, exists: bool) {
        if !exists {
            self.tabled().remove(server);
        } else if !self.has_table(server) {
            self.tabled().insert(server.clone());
        }
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<id::Connection, UnboundedSender<Command>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tabled(&self) -> MutexGuard<'_, HashSet<id::Server>> {
        self.tabled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a command to a connection's task; gives it back if the connection is gone.
    fn command(&self, connection: id::Connection, command: Command) -> Result<(), Command> {
        match self.connections().get(&connection) {
            Some(commands) => commands.send(command).map_err(|unsent| unsent.0),
            None => Err(command),
        }
    }
}

/// Carries out the calls. Its connections end when it is dropped.
#[derive(Debug)]
pub struct Client {
    shared: Arc<Shared>,
    events: Events,
    lines: Mutex<HashMap<id::Server, Arc<Lines>>>,
}

impl Client {
    /// A client that sends its events to `events`.
    #[must_use]
    pub fn new(options: Options, events: Events) -> Self {
        let shared = Arc::new(Shared { options, ..Shared::default() });
        Self { shared, events, lines: Mutex::default() }
    }

    /// Carries out a call to a server; returns at once. Runs within a tokio runtime.
    pub fn call(&self, server: id::Server, call: Call) {
        match call {
            Call::Open { connection, address } => self.open(server, connection, address),
            Call::Run { connection, request, term, read_only, variables, idempotency, batch } => {
                let run = Run { request, term, read_only, variables, idempotency, batch };
                self.run(server, connection, run);
            }
            Call::Cancel(connection) => {
                // A connection that is gone has nothing to cancel.
                let _ = self.shared.command(connection, Command::Cancel);
            }
            Call::Reset(connection) => {
                if self.shared.command(connection, Command::Reset).is_err() {
                    self.send(server, Event::Reset { connection, clean: false });
                }
            }
            Call::Close(connection) => {
                // A connection that is gone has sent its last event.
                let _ = self.shared.command(connection, Command::Close);
            }
            Call::Ask { question, address, ask, timeout } => {
                let lines = self.lines(&server);
                let (shared, events) = (Arc::clone(&self.shared), self.events.clone());
                tokio::spawn(async move {
                    let result = lines.ask(&shared.options, address, &ask, timeout).await;
                    // Without a receiver the daemon is going down.
                    let _ = events.send((server, Event::Answered { question, result }));
                });
            }
        }
    }

    fn open(&self, server: id::Server, connection: id::Connection, address: std::net::SocketAddr) {
        let (commands, received) = unbounded_channel();
        self.shared.connections().insert(connection, commands);
        let start = data::Start {
            shared: Arc::clone(&self.shared),
            events: self.events.clone(),
            server,
            connection,
            address,
            commands: received,
        };
        tokio::spawn(data::serve(start));
    }

    fn run(&self, server: id::Server, connection: id::Connection, run: Run) {
        let request = run.request;
        if self.shared.command(connection, Command::Run(Box::new(run))).is_err() {
            let ended = Completion::Lost { sent: false };
            self.send(server, Event::Ended { connection, request, ended });
        }
    }

    fn send(&self, server: id::Server, event: Event) {
        // Without a receiver the daemon is going down.
        let _ = self.events.send((server, event));
    }

    fn lines(&self, server: &id::Server) -> Arc<Lines> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(lines.entry(server.clone()).or_default())
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.shared.connections().clear();
    }
}
