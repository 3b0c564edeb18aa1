//! The connections to one server.
//!
//! A connection counts against the server's limit from the moment its opening is requested until it
//! is known to be closed. At most as many statements run as the server has slots; a connection held
//! by an idle transaction takes no slot. Idle connections are kept open up to a target that follows
//! demand, so that requests seldom wait for one to open.

use super::queue::Queue;
use crate::{effect::Effects, id, server::Call, state::State as Daemon, time::Now, timer};
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};

/// Connections of a server that homes leave free for control questions.
const CONTROL_RESERVE: usize = 2;
/// A new home starts with this fraction of a server's connections, as a divisor.
const HANDOVER_RESERVE_DIVISOR: usize = 5;
/// Fraction of the connections reserved for single statements, as a divisor.
const SINGLE_STATEMENT_DIVISOR: usize = 4;
/// Fraction of the other connections that one workspace's transactions may take, as a divisor.
const WORKSPACE_TRANSACTION_DIVISOR: usize = 2;
/// Initial and maximum wait after a connection could not be opened; the wait doubles in between.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// How long a closing connection is counted if its end is not reported.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two adjustments of the target for open connections.
pub const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum delay of the queue's timer.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);
/// Slot time assumed for a server that has not run a statement yet.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(1);
/// Weight of a new sample in the moving averages, as a divisor.
const AVERAGE_DIVISOR: u32 = 8;

/// A request that runs on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The request.
    pub request: id::Request,
    /// Its workspace.
    pub workspace: id::Workspace,
    /// The transaction that holds the connection.
    pub transaction: Option<id::Transaction>,
    /// When it started.
    pub started: Duration,
    /// Its deadline.
    pub deadline: Duration,
    /// Slot time charged to the workspace at the start.
    pub charged: Duration,
    /// Whether a transaction that it leaves open is to be closed with the connection, since its
    /// session will not continue it.
    pub abandoned: bool,
}

/// What a connection is used for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Usage {
    /// Being opened, since this time.
    Opening(Duration),
    /// Available.
    Idle,
    /// Runs a request.
    Running(Work),
    /// Held by a transaction between two statements.
    Held(id::Transaction),
    /// To be reset once a slot is free.
    AwaitingReset,
    /// Being reset, since this time.
    Resetting(Duration),
    /// Being closed, since this time.
    Closing(Duration),
}

/// A connection to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connection {
    /// What it is used for.
    pub usage: Usage,
    /// Whether a cancel request was sent for it. That request may take effect late and cancel a
    /// later statement, so the connection is not used again.
    pub tainted: bool,
}

/// The connections to one server.
#[derive(Clone, Debug)]
pub struct Pool {
    /// All connections that count against the server's limit.
    pub connections: IndexMap<id::Connection, Connection>,
    /// Available connections, the most recently used one at the end.
    pub idle: Vec<id::Connection>,
    /// The requests that wait for a slot.
    pub queue: Queue,
    /// Open transactions of each workspace.
    pub open_transactions: IndexMap<id::Workspace, usize>,
    /// Whether earlier homes have released their connections.
    pub takeover_complete: bool,
    /// Earlier homes that have not released their connections, with the time at which each was last
    /// alive.
    pub predecessors: IndexMap<id::Daemon, Duration>,
    /// Daemons that requested the release of the server.
    pub successors: Vec<id::Daemon>,
    /// Since when this daemon has been handing the server over.
    pub leaving_since: Option<Duration>,
    /// Moving average of the slot time of a statement.
    pub service_time: Duration,
    /// Moving average of `peak`; follows an increase at once.
    demand: f64,
    /// The maximum number of connections in use since the last upkeep.
    peak: usize,
    retry_at: Duration,
    backoff: Duration,
    next_upkeep: Duration,
    armed_for: Option<Duration>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            connections: IndexMap::new(),
            idle: Vec::new(),
            queue: Queue::default(),
            open_transactions: IndexMap::new(),
            takeover_complete: false,
            predecessors: IndexMap::new(),
            successors: Vec::new(),
            leaving_since: None,
            service_time: INITIAL_SERVICE_TIME,
            demand: 0.0,
            peak: 0,
            retry_at: Duration::ZERO,
            backoff: BACKOFF.0,
            next_upkeep: Duration::ZERO,
            armed_for: None,
        }
    }
}

/// Connections that a new home may open before earlier homes have released the server.
#[must_use]
pub fn handover_reserve(connections: usize) -> usize {
    (connections / HANDOVER_RESERVE_DIVISOR).max(1)
}

/// Connections that a home may have open; after its takeover it leaves room for a successor.
#[must_use]
pub fn capacity(connections: usize, takeover_complete: bool) -> usize {
    let reserve = handover_reserve(connections);
    let control = CONTROL_RESERVE.min(connections / SINGLE_STATEMENT_DIVISOR);
    if takeover_complete { connections.saturating_sub(control + reserve).max(1) } else { reserve }
}

impl Pool {
    /// Statements and resets that are running, each of which takes a slot.
    #[must_use]
    pub fn executing(&self) -> usize {
        let busy = |usage: &Usage| matches!(usage, Usage::Running(_) | Usage::Resetting(_));
        self.connections.values().filter(|connection| busy(&connection.usage)).count()
    }

    fn opening(&self) -> usize {
        let opening = |usage: &Usage| matches!(usage, Usage::Opening(_));
        self.connections.values().filter(|connection| opening(&connection.usage)).count()
    }

    /// Open transactions.
    #[must_use]
    pub fn transactions(&self) -> usize {
        self.open_transactions.values().sum()
    }

    /// Takes the next request of the queue and an idle connection for it. Open transactions leave
    /// some connections to single statements, and those of one workspace leave half of the rest to
    /// other workspaces.
    pub fn take_next(
        &mut self,
        capacity: usize,
    ) -> Option<(id::Request, Duration, id::Connection)> {
        self.idle.last()?;
        let reserved = (capacity / SINGLE_STATEMENT_DIVISOR).min(capacity.saturating_sub(1));
        let max_open = capacity - reserved;
        let room = self.transactions() < max_open;
        let open_by_workspace = &self.open_transactions;
        let own = |name: &str| open_by_workspace.get(name).copied().unwrap_or_default();
        let may_begin =
            |name: &str| room && own(name) < max_open.div_ceil(WORKSPACE_TRANSACTION_DIVISOR);
        let (item, charged) = self.queue.pop(may_begin)?;
        Some((item.request, charged, self.idle.pop()?))
    }

    /// Whether any connection will become free for a waiting request.
    #[must_use]
    pub fn can_free_connection(&self) -> bool {
        let unavailable = |usage: &Usage| matches!(usage, Usage::Held(_) | Usage::Closing(_));
        self.connections.values().any(|connection| !unavailable(&connection.usage))
    }

    /// Records that a connection could not be opened, and returns the wait before the next attempt.
    pub fn on_failed(&mut self, now: Now, connection: id::Connection) -> Duration {
        self.connections.swap_remove(&connection);
        self.retry_at = now.mono + self.backoff;
        let wait = self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF.1);
        wait
    }

    /// Resets the backoff after a connection was opened.
    pub fn on_opened(&mut self) {
        self.backoff = BACKOFF.0;
        self.retry_at = Duration::ZERO;
    }

    /// Time until another connection may be opened, if the pool is backing off.
    #[must_use]
    pub fn backoff_left(&self, now: Now) -> Option<Duration> {
        self.retry_at.checked_sub(now.mono).filter(|wait| !wait.is_zero())
    }

    /// Adds a statement's slot time to the moving average.
    pub fn record_service_time(&mut self, took: Duration) {
        self.service_time = (self.service_time * (AVERAGE_DIVISOR - 1) + took) / AVERAGE_DIVISOR;
    }

    /// Estimated time until a new request would have run, from the average slot time.
    #[must_use]
    pub fn estimate_wait(&self, workspace: &str, weight: u32, slots: usize) -> Duration {
        let slots = u32::try_from(slots.max(1)).unwrap_or(u32::MAX);
        let running = self.executing();
        let before = self.queue.max_ahead(workspace, weight) + running;
        let rounds = u32::try_from(before).unwrap_or(u32::MAX) / slots + 1;
        self.service_time.saturating_mul(rounds)
    }

    /// Changes what a connection is used for.
    pub fn set_usage(&mut self, connection: id::Connection, usage: Usage) {
        if let Some(known) = self.connections.get_mut(&connection) {
            known.usage = usage;
        }
        self.update_peak();
    }

    fn update_peak(&mut self) {
        let used = self.connections.len() - self.idle.len().min(self.connections.len());
        self.peak = self.peak.max(used);
    }

    /// Returns a connection to the pool, or closes it when it must not be used again.
    pub fn put_back(&mut self, now: Now, connection: id::Connection) -> Option<Call> {
        let known = self.connections.get(&connection)?;
        if known.tainted {
            return Some(self.close(now, connection));
        }
        self.set_usage(connection, Usage::Idle);
        self.idle.push(connection);
        None
    }

    /// Starts to close a connection.
    pub fn close(&mut self, now: Now, connection: id::Connection) -> Call {
        self.idle.retain(|idle| *idle != connection);
        self.set_usage(connection, Usage::Closing(now.mono));
        Call::Close(connection)
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, connection: id::Connection) -> Option<Connection> {
        self.idle.retain(|idle| *idle != connection);
        self.connections.swap_remove(&connection)
    }

    fn remove_timed_out_closes(&mut self, now: Now) {
        self.connections.retain(|_, connection| match connection.usage {
            Usage::Closing(since) => now.mono < since + CLOSE_TIMEOUT,
            _ => true,
        });
    }

    fn target(&self, slots: usize, capacity: usize) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "demand is a small positive number of connections"
        )]
        let demand = self.demand.ceil() as usize;
        demand.max(slots).min(capacity)
    }
}

/// Opens the connections that waiting requests need.
pub fn open_for_queue(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    (slots, capacity): (usize, usize),
) {
    let Some(pool) = daemon.home.pools.get(server) else {
        return;
    };
    let free = slots.saturating_sub(pool.executing());
    let wanted = pool.queue.len().min(free);
    let missing = wanted.saturating_sub(pool.idle.len() + pool.opening());
    open(daemon, now, fx, server, missing, capacity);
}

fn open(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    count: usize,
    capacity: usize,
) {
    let Some(address) = daemon.config.snapshot.server(server).map(|config| config.address) else {
        return;
    };
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    if pool.backoff_left(now).is_some() {
        return;
    }
    let room = capacity.saturating_sub(pool.connections.len());
    for _ in 0..count.min(room) {
        let connection = daemon.counters.connection();
        open_one(pool, now, fx, server, connection, address);
    }
    pool.update_peak();
}

fn open_one(
    pool: &mut Pool,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    connection: id::Connection,
    address: SocketAddr,
) {
    let usage = Usage::Opening(now.mono);
    pool.connections.insert(connection, Connection { usage, tainted: false });
    fx.server(server, Call::Open { connection, address });
}

/// Adjusts the idle connections to the demand, opening or closing some.
pub fn upkeep(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let limits = super::limits(daemon, server);
    let leaving = super::handover::is_leaving(daemon, server);
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    pool.remove_timed_out_closes(now);
    let (slots, capacity) = limits;
    if now.mono >= pool.next_upkeep {
        pool.next_upkeep = now.mono + UPKEEP_INTERVAL;
        #[expect(clippy::cast_precision_loss, reason = "a pool has few connections")]
        let peak = pool.peak as f64;
        pool.demand = peak.max(pool.demand + (peak - pool.demand) / f64::from(AVERAGE_DIVISOR));
        pool.peak = 0;
        pool.update_peak();
        report_gauges(pool, fx, server);
    }
    let target = if leaving { 0 } else { pool.target(slots, capacity) };
    while pool.idle.len() > target.max(pool.queue.len())
        || (pool.connections.len() > capacity && !pool.idle.is_empty())
    {
        let oldest = pool.idle.remove(0);
        let call = pool.close(now, oldest);
        fx.server(server, call);
    }
    let available = pool.idle.len() + pool.opening() + pool.executing();
    if !leaving {
        open(daemon, now, fx, server, target.saturating_sub(available), capacity);
    }
}

#[expect(clippy::cast_precision_loss, reason = "a pool has few connections")]
fn report_gauges(pool: &Pool, fx: &mut Effects, server: &id::Server) {
    fx.gauge("home_queue", server.clone(), pool.queue.len() as f64);
    fx.gauge("home_connections", server.clone(), pool.connections.len() as f64);
    fx.gauge("home_idle", server.clone(), pool.idle.len() as f64);
    fx.gauge("home_slots_used", server.clone(), pool.executing() as f64);
    fx.gauge("home_transactions", server.clone(), pool.transactions() as f64);
}

/// Arms the timer of a server's queue for the next upkeep or the earliest deadline in the queue.
pub fn arm(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    let mut at = pool.next_upkeep.max(now.mono + MIN_TIMER_DELAY);
    if let Some(deadline) = pool.queue.deadline() {
        at = at.min(deadline.max(now.mono + MIN_TIMER_DELAY));
    }
    pool.armed_for = None;
    arm_by(pool, now, fx, server, at);
}

/// Arms the timer of a server's queue for `at` unless it fires earlier.
pub fn arm_by(pool: &mut Pool, now: Now, fx: &mut Effects, server: &id::Server, at: Duration) {
    let at = pool.backoff_left(now).map_or(at, |wait| at.min(now.mono + wait));
    if pool.armed_for.is_none_or(|armed| at < armed) {
        pool.armed_for = Some(at);
        fx.arm(timer::Key::Queue(server.clone()), at);
    }
}

/// Starts to reset connections that await it, as far as the slots allow.
pub fn start_resets(
    pool: &mut Pool,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    slots: usize,
) {
    let free = slots.saturating_sub(pool.executing());
    let awaiting = pool.connections.iter_mut();
    let awaiting = awaiting.filter(|(_, known)| known.usage == Usage::AwaitingReset);
    for (connection, known) in awaiting.take(free) {
        known.usage = Usage::Resetting(now.mono);
        fx.server(server, Call::Reset(*connection));
    }
}

/// Marks a running request as abandoned: its session will not continue a transaction that it may
/// leave open.
pub fn mark_abandoned(pool: &mut Pool, request: id::Request) {
    for connection in pool.connections.values_mut() {
        if let Usage::Running(work) = &mut connection.usage
            && work.request == request
        {
            work.abandoned = true;
        }
    }
}
