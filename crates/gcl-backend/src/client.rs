//! Executes the reducer's calls to backend servers.

use crate::{
    control::Connections,
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

/// Channel for events, each with the server that it concerns.
pub type Events = UnboundedSender<(id::Server, Event)>;

/// Login names, timeouts and limits of the connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The user name to log in with.
    pub user: CompactString,
    /// The database to log in to.
    pub database: CompactString,
    /// Timeout for opening a connection.
    pub open_timeout: Duration,
    /// Timeout of a cancel request.
    pub cancel_timeout: Duration,
    /// Timeout for resetting a connection.
    pub reset_timeout: Duration,
    /// Timeout for the answer to a batch, after which the connection is closed.
    pub answer_timeout: Duration,
    /// Maximum size of an answer in bytes.
    pub answer_bytes: usize,
    /// Maximum number of statements kept prepared on one connection.
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

/// State shared by all connections.
#[derive(Debug, Default)]
pub struct Shared {
    /// Login names, timeouts and limits of the connections.
    pub options: Options,
    /// Variable assignments that a server has accepted before.
    pub accepted: Accepted,
    connections: Mutex<HashMap<id::Connection, UnboundedSender<Command>>>,
    servers_with_table: Mutex<HashSet<id::Server>>,
}

impl Shared {
    /// Removes a connection that has ended.
    pub fn remove_connection(&self, connection: id::Connection) {
        self.connections().remove(&connection);
    }

    /// Whether a server is known to have the table of idempotent requests.
    pub fn has_table(&self, server: &id::Server) -> bool {
        self.servers_with_table().contains(server)
    }

    /// Records whether a server has the table of idempotent requests.
    pub fn set_has_table(&self, server: &id::Server, exists: bool) {
        if !exists {
            self.servers_with_table().remove(server);
        } else if !self.has_table(server) {
            self.servers_with_table().insert(server.clone());
        }
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<id::Connection, UnboundedSender<Command>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn servers_with_table(&self) -> MutexGuard<'_, HashSet<id::Server>> {
        self.servers_with_table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a command to a connection's task; returns the command if the connection has ended.
    fn command(&self, connection: id::Connection, command: Command) -> Result<(), Command> {
        match self.connections().get(&connection) {
            Some(commands) => commands.send(command).map_err(|unsent| unsent.0),
            None => Err(command),
        }
    }
}

/// Executes calls to backend servers. Dropping it closes all data connections.
#[derive(Debug)]
pub struct Client {
    shared: Arc<Shared>,
    events: Events,
    control: Mutex<HashMap<id::Server, Arc<Connections>>>,
}

impl Client {
    /// Creates a client that sends its events to `events`.
    #[must_use]
    pub fn new(options: Options, events: Events) -> Self {
        let shared = Arc::new(Shared { options, ..Shared::default() });
        Self { shared, events, control: Mutex::default() }
    }

    /// Starts a call to a server and returns without waiting. Must be called within a tokio
    /// runtime.
    pub fn call(&self, server: id::Server, call: Call) {
        match call {
            Call::Open { connection, address } => self.open(server, connection, address),
            Call::Run { connection, request, term, read_only, variables, idempotency, batch } => {
                let run = Run { request, term, read_only, variables, idempotency, batch };
                self.run(server, connection, run);
            }
            Call::Cancel(connection) => {
                // A connection that has ended has nothing to cancel.
                let _ = self.shared.command(connection, Command::Cancel);
            }
            Call::Reset(connection) => {
                if self.shared.command(connection, Command::Reset).is_err() {
                    self.send(server, Event::Reset { connection, clean: false });
                }
            }
            Call::Close(connection) => {
                // A connection that has ended has already sent its last event.
                let _ = self.shared.command(connection, Command::Close);
            }
            Call::Ask { question, address, ask, timeout } => {
                let control = self.control(&server);
                let (shared, events) = (Arc::clone(&self.shared), self.events.clone());
                tokio::spawn(async move {
                    let result = control.ask(&shared.options, address, &ask, timeout).await;
                    // The receiver is closed only when the daemon is shutting down.
                    let _ = events.send((server, Event::Answered { question, result }));
                });
            }
        }
    }

    fn open(&self, server: id::Server, connection: id::Connection, address: std::net::SocketAddr) {
        let (commands, received) = unbounded_channel();
        self.shared.connections().insert(connection, commands);
        let setup = data::Setup {
            shared: Arc::clone(&self.shared),
            events: self.events.clone(),
            server,
            connection,
            address,
            commands: received,
        };
        tokio::spawn(data::serve(setup));
    }

    fn run(&self, server: id::Server, connection: id::Connection, run: Run) {
        let request = run.request;
        if self.shared.command(connection, Command::Run(Box::new(run))).is_err() {
            let ended = Completion::Lost { sent: false };
            self.send(server, Event::Ended { connection, request, ended });
        }
    }

    fn send(&self, server: id::Server, event: Event) {
        // The receiver is closed only when the daemon is shutting down.
        let _ = self.events.send((server, event));
    }

    fn control(&self, server: &id::Server) -> Arc<Connections> {
        let mut control = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(control.entry(server.clone()).or_default())
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.shared.connections().clear();
    }
}
