//! What the tasks of one server share.

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
    /// The process id that the server gave.
    pub process: i32,
    /// The secret that the server gave.
    pub secret: i32,
}

/// How far a replica lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    /// From the primary's commit to holding the entry.
    pub receive: Duration,
    /// From holding the entry to showing it to reads.
    pub apply: Duration,
}

/// One server's state and signals.
#[derive(Debug)]
pub struct Shared {
    /// What the server was started with.
    pub options: Options,
    /// Permits for running statements.
    pub slots: Semaphore,
    /// Changes when every connection is to break.
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
    /// The shared part of a server.
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

    /// The server's state, locked.
    pub fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The statements that run.
    pub fn running(&self) -> usize {
        self.options.slots - self.slots.available_permits()
    }

    /// Signals that the state changed.
    pub fn signal(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Follows the signals from now on.
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

    /// Follows the faults from now on.
    #[must_use]
    pub fn watch_faults(&self) -> watch::Receiver<Faults> {
        self.faults.subscribe()
    }

    /// Puts a fault in force.
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

    /// Carries out an order, and ends the fault after its time.
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

    /// Waits until bytes pass between the server and a peer.
    pub async fn wait_for_network(&self, peer: Peer) {
        let mut faults = self.faults.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = faults.wait_for(|faults| faults.passes(peer)).await;
    }

    /// Waits while the server stands still.
    pub async fn wait_while_frozen(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = faults.wait_for(|faults| !faults.frozen()).await;
    }

    /// Takes one of the answers that are to be lost; false if none is.
    pub fn take_loss(&self, count: fn(&mut Faults) -> &mut u64) -> bool {
        self.faults.send_if_modified(|faults| {
            let left = count(faults);
            let lose = *left > 0;
            *left = left.saturating_sub(1);
            lose
        })
    }

    /// Counts a data connection.
    ///
    /// # Errors
    /// SQLSTATE 53300 at the limit.
    pub fn acquire_connection(&self) -> Result<()> {
        let most = self.options.connections;
        let add = |count: usize| (count < most).then_some(count + 1);
        self.connections
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .map(drop)
            .map_err(|_full| Error::new("53300", "sorry, too many clients already"))
    }

    /// Counts a data connection out.
    pub fn release_connection(&self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }

    /// The data connections open.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Draws the number of a new session.
    pub fn next_session(&self) -> u64 {
        self.sessions.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Registers a connection for cancel requests.
    pub fn register(&self, key: CancelKey) -> Arc<Notify> {
        let cancel = Arc::new(Notify::new());
        self.cancels().insert(key, Arc::clone(&cancel));
        cancel
    }

    /// Removes a connection from the cancel requests.
    pub fn unregister(&self, key: CancelKey) {
        self.cancels().remove(&key);
    }

    /// Cancels what runs on a connection.
    pub fn cancel(&self, key: CancelKey) {
        if let Some(cancel) = self.cancels().get(&key) {
            cancel.notify_waiters();
        }
    }

    fn cancels(&self) -> MutexGuard<'_, HashMap<CancelKey, Arc<Notify>>> {
        self.cancels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
