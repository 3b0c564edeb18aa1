//! A stand-in for a group of database servers: `SQLite` behind the `PostgreSQL` protocol.
//!
//! A [`Server`] is one server of a group. It runs in the calling process; the `database` command
//! runs one in a separate process. Its log is kept in memory: it survives an injected crash, but
//! the end of the process only with a journal.

pub mod clock;
pub mod command;
pub mod connection;
pub mod control;
pub mod dispatch;
pub mod engine;
pub mod fault;
pub mod journal;
pub mod link;
pub mod log;
pub mod node;
pub mod replication;
pub mod session;
pub mod settings;
pub mod shared;
pub mod sql;
pub mod value;

pub use shared::Lag;

use fault::Fault;
use gcl_core::{id::Term, server::Report};
use journal::Journal;
use log::Entry;
use node::{Leader, Node};
use serde::Deserialize;
use shared::Shared;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Pause after a failed accept or bind.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The initial term of a group.
const FIRST_TERM: Term = 1;

/// The initial role of a server in its group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Boot {
    /// It is a replica at term zero that follows no primary.
    #[default]
    Empty,
    /// It is primary at term one.
    Primary,
    /// It follows a server at term one.
    Follow {
        /// The primary's name.
        server: String,
        /// The primary's address.
        address: SocketAddr,
    },
}

/// Options of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Its name.
    pub name: String,
    /// Its listen address; port zero selects a free port.
    pub address: SocketAddr,
    /// Maximum number of data connections.
    pub connections: usize,
    /// Maximum number of concurrent statements.
    pub slots: usize,
    /// Time to open a data connection.
    pub open_delay: Duration,
    /// Delay added to each statement.
    pub statement_delay: Duration,
    /// Its replication lag as a replica.
    pub lag: Lag,
    /// Its role at the first start.
    pub boot: Boot,
    /// File that preserves its state when the process is killed. Without one it starts empty.
    pub journal: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "standin".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            connections: 20,
            slots: 3,
            open_delay: Duration::ZERO,
            statement_delay: Duration::ZERO,
            lag: Lag::default(),
            boot: Boot::Empty,
            journal: None,
        }
    }
}

/// A running server; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Server {
    /// Starts a server with the state of its journal, or empty.
    ///
    /// # Errors
    /// An error of `SQLite`, the file system or the socket.
    pub async fn start(options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let address = listener.local_addr()?;
        let (node, is_new) = load(&options)?;
        let shared = Arc::new(Shared::new(options, node));
        if is_new {
            set_initial_role(&shared);
        }
        let tasks = vec![
            tokio::spawn(listen(Arc::clone(&shared), listener, address)),
            tokio::spawn(replication::run(Arc::clone(&shared))),
        ];
        Ok(Self { shared, address, tasks })
    }

    /// Its listen address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.options.name
    }

    /// Its status report.
    #[must_use]
    pub fn report(&self) -> Report {
        self.shared.node().report()
    }

    /// A copy of its log.
    #[must_use]
    pub fn log(&self) -> Vec<Entry> {
        self.shared.node().log().after(0, usize::MAX).to_vec()
    }

    /// Number of open data connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.connections()
    }

    /// Waits until its report satisfies a condition.
    pub async fn wait_for(&self, condition: impl Fn(&Report) -> bool) -> Report {
        let mut changes = self.shared.changes();
        loop {
            changes.mark_unchanged();
            let report = self.report();
            if condition(&report) {
                return report;
            }
            // `self.shared` owns the sender, so the wait cannot fail.
            let _ = changes.changed().await;
        }
    }

    /// Waits until exactly `count` statements are running.
    pub async fn wait_for_running(&self, count: usize) {
        let mut changes = self.shared.changes();
        loop {
            changes.mark_unchanged();
            if self.shared.running() == count {
                return;
            }
            // `self.shared` owns the sender, so the wait cannot fail.
            let _ = changes.changed().await;
        }
    }

    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        self.shared.inject(fault);
    }

    /// Ends all faults; a crashed server listens again.
    pub fn heal(&self) {
        self.shared.heal();
    }

    /// Sets its replication lag as a replica.
    pub fn set_lag(&self, lag: Lag) {
        self.shared.set_lag(lag);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.shared.disconnects.send_modify(|disconnects| *disconnects += 1);
    }
}

/// Loads the state of a server, and whether it starts for the first time.
fn load(options: &Options) -> io::Result<(Node, bool)> {
    let (journal, lines) = match &options.journal {
        Some(path) => Journal::open(path)?,
        None => (Journal::default(), Vec::new()),
    };
    let is_new = lines.is_empty();
    let node = Node::restore(journal, lines).map_err(|error| io::Error::other(error.message))?;
    Ok((node, is_new))
}

fn set_initial_role(shared: &Shared) {
    let mut node = shared.node();
    match &shared.options.boot {
        Boot::Empty => {}
        Boot::Primary => {
            node.fence(FIRST_TERM);
            node.promote(FIRST_TERM);
        }
        Boot::Follow { server, address } => {
            let (server, address) = (server.clone(), *address);
            node.follow(Leader { term: FIRST_TERM, server, address });
        }
    }
}

/// Accepts connections. The port is closed while the server is crashed.
async fn listen(shared: Arc<Shared>, listener: TcpListener, address: SocketAddr) {
    let mut listener = Some(listener);
    let mut faults = shared.watch_faults();
    loop {
        if let Some(open) = &listener {
            // `shared` owns the sender, so no wait here can fail.
            let crash = async { drop(faults.wait_for(|faults| faults.crashed).await) };
            let accepted = tokio::select! {
                () = crash => None,
                accepted = open.accept() => Some(accepted),
            };
            match accepted {
                Some(Ok((stream, _))) => serve(&shared, stream),
                Some(Err(_)) => tokio::time::sleep(RETRY_DELAY).await,
                None => listener = None,
            }
        } else {
            drop(faults.wait_for(|faults| !faults.crashed).await);
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn serve(shared: &Arc<Shared>, stream: TcpStream) {
    if shared.faults().refusing {
        return;
    }
    let shared = Arc::clone(shared);
    let mut disconnects = shared.disconnects.subscribe();
    tokio::spawn(async move {
        tokio::select! {
            _ = disconnects.changed() => {}
            ended = connection::serve(Arc::clone(&shared), stream) => {
                if let Err(error) = ended {
                    tracing::debug!(server = shared.options.name, %error, "connection failed");
                }
            }
        }
    });
}
