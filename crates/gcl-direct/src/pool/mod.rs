//! Pool of the connections to one backend server, and the queue of statements that wait for one.
//!
//! A server accepts a limited number of connections from all daemons together. Each daemon may hold
//! an equal share of half of them at any time, and more while the server accepts more; connections
//! beyond the share are closed once they have been idle briefly. A connection carries one
//! workspace, so if a workspace has none, an idle one of another workspace is closed to make room.

pub mod allocation;
mod health;
mod room;
mod share;
mod shedding;
mod surplus;

pub use self::{
    health::Health,
    share::{Share, may_connect, share, share_for_primary},
    shedding::reroute_waiting,
    surplus::on_surplus,
};

use self::{
    room::make_room,
    share::{max_opening, max_running},
    shedding::shed,
    surplus::schedule_surplus_check,
};
use crate::{
    backend::{Call, Command, Refusal},
    cold,
    connection::{Connection, Phase, Step, Values},
    effect::Effects,
    evacuation,
    line::Line,
    placement,
    queue::{self, Waiter},
    request, restart,
    state::State as Daemon,
    timer,
};
use gcl_core::{id, mark::Mark, time::Now};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Mean of the jittered pause before the pool grows again after the server had no connection left.
const FULL_BACKOFF: Duration = Duration::from_millis(300);
/// Pause in opening connections after one could not be opened; a multiple of it as failures add up.
const FAILED_BACKOFF: Duration = Duration::from_millis(250);
/// Limit on that multiple.
const MAX_BACKOFF_FACTOR: u32 = 4;
/// Assumed latency before the first measurement.
const INITIAL_LATENCY: Duration = Duration::from_millis(25);
/// Smoothing of moving averages: a new measurement has the weight of one part in this many.
const AVERAGE_DIVISOR: u32 = 8;
/// Minimum interval between requests for a server's log position.
const POLL_INTERVAL: Duration = Duration::from_millis(120);

/// The connections to one server, its queue and its measurements.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Open connections and those being opened.
    pub connections: IndexSet<id::Connection>,
    /// Statements that wait for a connection, unordered.
    pub waiting: Vec<Waiter>,
    /// Recent arrivals by workspace.
    pub arrivals: IndexMap<id::Workspace, allocation::Arrivals>,
    /// Number of statements that have got a connection.
    pub turn: u64,
    /// Until when the pool must not grow, since the server had no connection left.
    pub full_until: Duration,
    /// Until when no connection is opened, since one could not be opened.
    pub failed_until: Duration,
    /// Moving average of statement latency.
    pub latency: Duration,
    /// When it was last measured.
    pub measured: Duration,
    /// Moving average of the time that sessions hold a connection.
    pub hold_time: Duration,
    /// Moving average of the time to open a connection.
    pub open_time: Duration,
    /// Connectivity to the server.
    pub health: Health,
    /// Until when reads avoid the server, since it was behind their log position.
    pub behind_until: Duration,
    /// Until when statements that other servers can run avoid it, since its queue was full.
    pub busy_until: Duration,
    /// The newest log position in the server's answers.
    pub mark: Option<Mark>,
    /// The newest log position that the server had received at its last report.
    pub received: Option<Mark>,
    /// When the last report was requested that was answered, and the position received by then.
    pub reported: Option<(Duration, Mark)>,
    /// When either of these positions last grew.
    pub observed_at: Duration,
    /// When that report was last requested.
    pub polled: Duration,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            connections: IndexSet::new(),
            waiting: Vec::new(),
            arrivals: IndexMap::new(),
            turn: 0,
            full_until: Duration::ZERO,
            failed_until: Duration::ZERO,
            latency: INITIAL_LATENCY,
            measured: Duration::ZERO,
            hold_time: INITIAL_LATENCY,
            open_time: INITIAL_LATENCY,
            health: Health::default(),
            behind_until: Duration::ZERO,
            busy_until: Duration::ZERO,
            mark: None,
            received: None,
            reported: None,
            observed_at: Duration::ZERO,
            polled: Duration::ZERO,
        }
    }
}

impl Pool {
    /// Records that a statement took `time`.
    pub fn on_latency(&mut self, now: Now, time: Duration) {
        let age = now.since(self.measured);
        self.latency = placement::updated_latency(self.latency, age, time);
        self.measured = now.mono;
        self.on_success(now);
    }

    /// Records that the server answered.
    pub const fn on_success(&mut self, now: Now) {
        self.health =
            Health { failing_since: None, failures: 0, last_success: now.mono, refused: false };
    }

    /// Records a failure to reach the server; `answered` is whether the server or its VM refused or
    /// closed a connection.
    pub fn on_failure(&mut self, now: Now, answered: bool) {
        self.health.refused = answered;
        self.health.failing_since.get_or_insert(now.mono);
        self.health.failures += 1;
        let factor = self.health.failures.min(MAX_BACKOFF_FACTOR);
        self.failed_until = now.mono + FAILED_BACKOFF * factor;
    }
}

fn update_average(old: Duration, new: Duration) -> Duration {
    (old * (AVERAGE_DIVISOR - 1) + new) / AVERAGE_DIVISOR
}

/// Adds a session's statement to a server's queue and serves the queue.
pub fn enqueue(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    waiter: Waiter,
) {
    let pool = daemon.pools.entry(server.clone()).or_default();
    allocation::record(&mut pool.arrivals, &waiter.workspace, now.mono);
    pool.waiting.push(waiter);
    dispatch(daemon, now, fx, server);
    shed(daemon, now, fx, server);
}

/// Removes a session from a server's queue.
pub fn dequeue(daemon: &mut Daemon, server: &id::Server, session: id::Session) {
    if let Some(pool) = daemon.pools.get_mut(server) {
        pool.waiting.retain(|waiter| waiter.session != session);
    }
}

/// Assigns idle connections to waiting sessions, and opens more as the limits allow.
pub fn dispatch(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let waiting = serving_order(daemon, now, server);
    let mut unserved = Vec::new();
    let mut capacity = max_running(daemon, server).saturating_sub(running_count(daemon, server));
    capacity = capacity.min(cold::room(daemon, now, server));
    if let (Some(at), false) = (cold::next_room(daemon, now, server), waiting.is_empty()) {
        daemon.timers.arm_by(timer::Key::IdleConnections(server.clone()), at);
    }
    for waiter in waiting {
        if capacity == 0 {
            break;
        }
        match idle_for(daemon, server, &waiter) {
            Some(connection) => {
                capacity -= 1;
                assign(daemon, now, fx, server, connection, waiter.session);
            }
            None => unserved.push(waiter),
        }
    }
    for (position, waiter) in unserved.iter().enumerate() {
        let same = |other: &&Waiter| other.workspace == waiter.workspace;
        let before = unserved[..position].iter().filter(same).count();
        if opening_count(daemon, server, |workspace| *workspace == waiter.workspace) > before {
            continue;
        }
        if opening_count(daemon, server, |_any| true) >= max_opening(daemon, server) {
            break;
        }
        if !make_room(daemon, now, fx, server, waiter) {
            break;
        }
        open(daemon, now, fx, server, &waiter.workspace);
    }
}

/// The connections of a pool that still exist.
fn connections_of<'a>(daemon: &'a Daemon, pool: &'a Pool) -> impl Iterator<Item = &'a Connection> {
    pool.connections.iter().filter_map(|id| daemon.connections.get(id))
}

/// Number of this daemon's statements that run or wait at a server.
#[must_use]
pub fn load(daemon: &Daemon, pool: &Pool) -> usize {
    pool.waiting.len() + connections_of(daemon, pool).filter(|conn| conn.session.is_some()).count()
}

/// Number of this daemon's commands that a server has not answered.
#[must_use]
pub fn running_count(daemon: &Daemon, server: &str) -> usize {
    let Some(pool) = daemon.pools.get(server) else {
        return 0;
    };
    let busy = connections_of(daemon, pool).filter(|conn| conn.in_flight.is_some());
    busy.count()
}

/// Whether the pool has an idle connection for a workspace.
#[must_use]
pub fn is_warm(daemon: &Daemon, pool: &Pool, workspace: &str) -> bool {
    connections_of(daemon, pool).any(|conn| conn.is_idle() && conn.workspace == workspace)
}

/// The waiters of a server in serving order.
fn serving_order(daemon: &Daemon, now: Now, server: &id::Server) -> Vec<Waiter> {
    let Some(pool) = daemon.pools.get(server) else {
        return Vec::new();
    };
    let mut waiting = pool.waiting.clone();
    let held = |workspace: &id::Workspace| held_count(daemon, pool, workspace);
    queue::sort(&mut waiting, now.mono, pool.turn, held);
    waiting
}

/// Number of connections that sessions of a workspace hold.
fn held_count(daemon: &Daemon, pool: &Pool, workspace: &id::Workspace) -> usize {
    let held = connections_of(daemon, pool).filter(|conn| conn.session.is_some());
    held.filter(|conn| conn.workspace == *workspace).count()
}

/// Finds an idle connection for a waiter, preferably one that needs no reset.
fn idle_for(daemon: &Daemon, server: &id::Server, waiter: &Waiter) -> Option<id::Connection> {
    let pool = daemon.pools.get(server)?;
    let none = Values::new();
    let values = daemon.sessions.get(&waiter.session).map_or(&none, |session| &session.values);
    let idle = pool.connections.iter().filter(|id| {
        let conn = daemon.connections.get(*id);
        conn.is_some_and(|conn| conn.is_idle() && conn.workspace == waiter.workspace)
    });
    let compatible = |id: &&id::Connection| {
        daemon.connections.get(*id).is_some_and(|conn| conn.is_compatible(values))
    };
    idle.max_by_key(compatible).copied()
}

/// Expected wait of a statement that arrives now for a connection to a server. Only statements that
/// are served before it count.
#[must_use]
pub fn expected_wait(daemon: &Daemon, now: Now, server: &id::Server, waiter: &Waiter) -> Duration {
    let Some(pool) = daemon.pools.get(server) else {
        return Duration::ZERO;
    };
    let held = |workspace: &id::Workspace| held_count(daemon, pool, workspace);
    let own = queue::rank(waiter, now.mono, held(&waiter.workspace));
    let before = |it: &&Waiter| queue::rank(it, now.mono, held(&it.workspace)) <= own;
    let ahead = pool.waiting.iter().filter(before).count();
    let concurrency = max_running(daemon, server);
    if concurrency < usize::MAX
        && (pool.waiting.len() > concurrency || running_count(daemon, server) >= concurrency)
    {
        return queue::expected_wait(ahead, pool.latency, concurrency);
    }
    if is_warm(daemon, pool, &waiter.workspace) {
        return Duration::ZERO;
    }
    let opening = queue::expected_wait(ahead, pool.open_time, max_opening(daemon, server));
    let release = queue::expected_wait(ahead, pool.hold_time, pool.connections.len());
    if ahead == 0 { opening } else { opening.max(release) }
}

/// Expected time in which a server's whole queue is served.
#[must_use]
pub fn queue_time(daemon: &Daemon, server: &id::Server) -> Duration {
    daemon.pools.get(server).map_or(Duration::ZERO, |pool| {
        let concurrency = max_running(daemon, server).min(pool.connections.len());
        queue::expected_wait(pool.waiting.len(), pool.latency, concurrency)
    })
}

/// Number of connections that are being opened for matching workspaces.
fn opening_count(
    daemon: &Daemon,
    server: &id::Server,
    wanted: impl Fn(&id::Workspace) -> bool,
) -> usize {
    let Some(pool) = daemon.pools.get(server) else {
        return 0;
    };
    let connections = connections_of(daemon, pool);
    connections.filter(|conn| conn.phase == Phase::Opening && wanted(&conn.workspace)).count()
}

/// Starts opening a connection to a server for a workspace.
pub fn open(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    workspace: &id::Workspace,
) {
    if evacuation::is_closed(daemon, now, server) {
        return;
    }
    let Some(entry) = daemon.directory.get(server) else {
        return;
    };
    let (address, database) = (entry.address.clone(), entry.database.clone());
    let id = daemon.next_id();
    let connection = Connection::new(server.clone(), workspace.clone(), now.mono);
    daemon.connections.insert(id, connection);
    daemon.pools.entry(server.clone()).or_default().connections.insert(id);
    fx.count("gcl_backend_opened", server);
    let (server, workspace) = (server.clone(), workspace.clone());
    fx.backend(id, Call::Open { server, address, database, workspace });
}

/// Closes and removes a connection; the server rolls back its open transaction.
pub fn close(daemon: &mut Daemon, fx: &mut Effects, connection: id::Connection) {
    if let Some(conn) = daemon.connections.swap_remove(&connection) {
        if let Some(pool) = daemon.pools.get_mut(&conn.server) {
            pool.connections.swap_remove(&connection);
        }
        fx.backend(connection, Call::Close);
    }
}

fn assign(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    connection: id::Connection,
    session: id::Session,
) {
    dequeue(daemon, server, session);
    if let Some(pool) = daemon.pools.get_mut(server) {
        pool.turn += 1;
    }
    if let Some(conn) = daemon.connections.get_mut(&connection) {
        conn.session = Some(session);
        conn.last_used = now.mono;
    }
    request::on_connection(daemon, now, fx, session, connection);
}

/// Sends a command on a connection.
pub fn send(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    connection: id::Connection,
    step: Step,
    command: Command,
) {
    if let Some(conn) = daemon.connections.get_mut(&connection) {
        conn.in_flight = Some((step, now.mono));
        let server = conn.server.clone();
        cold::record(daemon, now, &server);
        fx.backend(connection, Call::Send(command));
    }
}

/// Requests the log position that a server has received, at most once in a short interval.
pub fn poll_position(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    if evacuation::is_closed(daemon, now, server) {
        return;
    }
    let pool = daemon.pools.entry(server.clone()).or_default();
    if now.since(pool.polled) < POLL_INTERVAL {
        return;
    }
    pool.polled = now.mono;
    let idle = pool.connections.iter().find(|id| {
        let conn = daemon.connections.get(*id);
        conn.is_some_and(|conn| conn.is_idle() && !conn.in_transaction)
    });
    match idle.copied() {
        Some(idle) => send(daemon, now, fx, idle, Step::Report, Command::Report),
        None if now.mono >= pool.failed_until && pool.connections.is_empty() => {
            open(daemon, now, fx, server, &id::Workspace::default());
        }
        None => {}
    }
}

/// Releases a connection from its session, and rolls back its open transaction. A connection is closed
/// if a command on it is unanswered or what its server holds for it is unknown.
pub fn release(daemon: &mut Daemon, now: Now, fx: &mut Effects, connection: id::Connection) {
    let Some(conn) = daemon.connections.get_mut(&connection) else {
        return;
    };
    let server = conn.server.clone();
    if conn.session.take().is_some() {
        let held = now.since(conn.last_used);
        if let Some(pool) = daemon.pools.get_mut(&server) {
            pool.hold_time = update_average(pool.hold_time, held);
        }
    }
    conn.last_used = now.mono;
    if matches!(conn.in_flight, Some((Step::Rollback | Step::Report, _))) {
        return;
    }
    let is_usable = conn.in_flight.is_none() && conn.is_reusable();
    let in_transaction = conn.in_transaction;
    if !is_usable || evacuation::is_closed(daemon, now, &server) {
        close(daemon, fx, connection);
    } else if in_transaction {
        send(daemon, now, fx, connection, Step::Rollback, Command::Rollback);
    } else {
        schedule_surplus_check(daemon, now, &server);
    }
    dispatch(daemon, now, fx, &server);
}

/// Handles the opening of a connection; `mark` is the server's log position.
pub fn on_opened(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    connection: id::Connection,
    mark: Option<Mark>,
) {
    let Some(conn) = daemon.connections.get_mut(&connection) else {
        return;
    };
    conn.phase = Phase::Open;
    let sent = std::mem::replace(&mut conn.last_used, now.mono);
    let took = now.since(sent);
    let server = conn.server.clone();
    restart::on_position(daemon, now, fx, connection, sent, (mark, None));
    if let Some(pool) = daemon.pools.get_mut(&server) {
        pool.mark = mark.max(pool.mark);
        pool.open_time = update_average(pool.open_time, took);
        pool.on_success(now);
    }
    schedule_surplus_check(daemon, now, &server);
    dispatch(daemon, now, fx, &server);
}

/// Handles a server's refusal to open a connection.
pub fn on_refused(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    connection: id::Connection,
    refusal: &Refusal,
) {
    let Some(conn) = daemon.connections.get(&connection) else {
        return;
    };
    let server = conn.server.clone();
    close(daemon, fx, connection);
    fx.count("gcl_backend_refused", refusal.name());
    let pause = daemon.random.jitter(FULL_BACKOFF);
    let Some(pool) = daemon.pools.get_mut(&server) else {
        return;
    };
    let line = Line::failure("connection refused").with("server", &server);
    fx.log(line.with("reason", refusal.name()).with("open", pool.connections.len()));
    if *refusal == Refusal::Full {
        pool.on_success(now);
        pool.full_until = now.mono + pause;
    } else {
        pool.failed_until = now.mono + FAILED_BACKOFF;
    }
    reroute_waiting(daemon, now, fx, &server);
    dispatch(daemon, now, fx, &server);
}
