//! State shared by the tasks of one server.

use super::{
    Options,
    engine::{Error, Result},
    fault::{Command, Fault, Faults, Peer},
    node::Node,
};
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::sync::{Notify, Semaphore, watch};

/// Identifies a connection in a cancel request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CancelKey {
    /// The process id sent by the server.
    pub process: i32,
    /// The secret sent by the server.
    pub secret: i32,
}

/// Replication lag of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    /// Time from the commit on the primary to the receipt of its entry.
    pub receive: Duration,
    /// Time from the receipt of an entry to its visibility to reads.
    pub apply: Duration,
}

/// State and signals of one server.
#[derive(Debug)]
pub struct Shared {
    /// The server's options.
    pub options: Options,
    /// Permits for running statements.
    pub slots: Semaphore,
    /// Changes when all connections must be closed.
    pub disconnects: watch::Sender<u64>,
    node: Mutex<Node>,
    faults: watch::Sender<Faults>,
    changes: watch::Sender<u64>,
    lag: Mutex<Lag>,
    cancels: Mutex<HashMap<CancelKey, Arc<Notify>>>,
    connections: AtomicUsize,
    sessions: AtomicU64,
}

impl Shared {
    /// Creates the shared state of a server.
    #[must_use]
    pub fn new(options: Options, node: Node) -> Self {
        Self {
            slots: Semaphore::new(options.slots),
            disconnects: watch::Sender::new(0),
            node: Mutex::new(node),
            faults: watch::Sender::new(Faults::default()),
            changes: watch::Sender::new(0),
            lag: Mutex::new(options.lag),
            cancels: Mutex::default(),
            connections: AtomicUsize::new(0),
            sessions: AtomicU64::new(0),
            options,
        }
    }

    /// Locks the server's state.
    pub fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of running statements.
    pub fn running(&self) -> usize {
        self.options.slots - self.slots.available_permits()
    }

    /// Signals a change of the state.
    pub fn signal(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes of the state.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The lag in force.
    pub fn lag(&self) -> Lag {
        *self.lag.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the lag.
    pub fn set_lag(&self, lag: Lag) {
        *self.lag.lock().unwrap_or_else(PoisonError::into_inner) = lag;
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.faults.borrow().clone()
    }

    /// Subscribes to changes of the faults.
    #[must_use]
    pub fn watch_faults(&self) -> watch::Receiver<Faults> {
        self.faults.subscribe()
    }

    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        self.faults.send_modify(|faults| faults.inject(fault));
        if fault == Fault::Crash {
            self.node().restart();
            self.disconnects.send_modify(|disconnects| *disconnects += 1);
            self.signal();
        }
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.faults.send_replace(Faults::default());
    }

    /// Executes a fault command. If it has a duration, all faults end after that.
    pub fn execute(self: &Arc<Self>, command: Command) {
        match command {
            Command::Heal => self.heal(),
            Command::Inject(fault, time) => {
                self.inject(fault);
                if let Some(time) = time {
                    let shared = Arc::clone(self);
                    tokio::spawn(async move {
                        tokio::time::sleep(time).await;
                        shared.heal();
                    });
                }
            }
        }
    }

    /// Waits until no fault blocks data between the server and a peer.
    pub async fn wait_for_network(&self, peer: Peer) {
        let mut faults = self.faults.subscribe();
        // `self` owns the sender, so the wait cannot fail.
        let _ = faults.wait_for(|faults| faults.passes(peer)).await;
    }

    /// Waits while the server is frozen.
    pub async fn wait_while_frozen(&self) {
        let mut faults = self.faults.subscribe();
        // `self` owns the sender, so the wait cannot fail.
        let _ = faults.wait_for(|faults| !faults.frozen()).await;
    }

    /// Whether to drop a response; counts it against the remaining drops of the given kind.
    pub fn take_loss(&self, count: fn(&mut Faults) -> &mut u64) -> bool {
        self.faults.send_if_modified(|faults| {
            let remaining = count(faults);
            let drops = *remaining > 0;
            *remaining = remaining.saturating_sub(1);
            drops
        })
    }

    /// Counts a new data connection.
    ///
    /// # Errors
    /// SQLSTATE 53300 if the limit is reached.
    pub fn acquire_connection(&self) -> Result<()> {
        let limit = self.options.connections;
        let add = |count: usize| (count < limit).then_some(count + 1);
        self.connections
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .map(drop)
            .map_err(|_full| Error::new("53300", "sorry, too many clients already"))
    }

    /// Releases a data connection.
    pub fn release_connection(&self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }

    /// Number of open data connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Returns the id of a new session.
    pub fn next_session(&self) -> u64 {
        self.sessions.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Registers a connection for cancel requests.
    pub fn register(&self, key: CancelKey) -> Arc<Notify> {
        let cancel = Arc::new(Notify::new());
        self.cancels().insert(key, Arc::clone(&cancel));
        cancel
    }

    /// Removes a connection, which can no longer be cancelled.
    pub fn unregister(&self, key: CancelKey) {
        self.cancels().remove(&key);
    }

    /// Cancels the running statement of a connection.
    pub fn cancel(&self, key: CancelKey) {
        if let Some(cancel) = self.cancels().get(&key) {
            cancel.notify_waiters();
        }
    }

    fn cancels(&self) -> MutexGuard<'_, HashMap<CancelKey, Arc<Notify>>> {
        self.cancels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
