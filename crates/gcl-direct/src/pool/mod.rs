//! Connections to one backend server, and the statements that wait for one.
//!
//! All daemons together may hold only so many connections to a server. Each may hold an equal share
//! of half of them at any time, and more while the server accepts more; what exceeds the share is
//! closed as soon as it has rested for a moment. A connection carries one workspace, so where a workspace has none, an
//! idle one of another workspace makes room.

mod health;
mod relief;
mod share;

pub use self::{
    health::Health,
    relief::strand,
    share::{Share, share, share_of_primary, share_with_homes},
};

use self::{
    relief::shed,
    share::{most_opening, most_running, share_of},
};
use crate::{
    backend::{Call, Command, Refusal},
    connection::{Connection, Phase, Step, Values},
    effect::Effects,
    line::Line,
    queue::{self, Waiter},
    request,
    state::State as Daemon,
    timer,
};
use gcl_core::{id, mark::Mark, time::Now};
use indexmap::IndexSet;
use std::time::Duration;

/// Mean time for which no connection is tried after the server had none left.
const FULL_PAUSE: Duration = Duration::from_millis(300);
/// How long no connection is tried after one could not be opened.
const FAILED_PAUSE: Duration = Duration::from_millis(250);
/// Most times that pause, as failures add up.
const MOST_PAUSES: u32 = 4;
/// How long a connection beyond the share may rest.
const SURPLUS_REST: Duration = Duration::from_millis(300);
/// What a statement is taken to need before any was measured.
const LATENCY_FIRST: Duration = Duration::from_millis(25);
/// Weight of a new measurement, as a divisor.
const LATENCY_WEIGHT: u32 = 8;
/// Shortest time between two questions for a server's log position.
const ASK_PAUSE: Duration = Duration::from_millis(120);

/// The connections to one server.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The connections.
    pub connections: IndexSet<id::Connection>,
    /// Statements that wait for one.
    pub waiting: Vec<Waiter>,
    /// Until when none is added to those there, since the server had none left.
    pub full_until: Duration,
    /// Until when no connection is tried at all.
    pub failed_until: Duration,
    /// How long statements take.
    pub latency: Duration,
    /// How long sessions hold a connection.
    pub hold: Duration,
    /// How long opening a connection takes.
    pub opening: Duration,
    /// The way to the server.
    pub health: Health,
    /// Until when reads that need a recent log go elsewhere.
    pub behind_until: Duration,
    /// Until when statements that other servers can run go there, since its queue was full.
    pub busy_until: Duration,
    /// The newest log position that the server answered with.
    pub mark: Option<Mark>,
    /// The newest log position that it has received, when it was last asked.
    pub received: Option<Mark>,
    /// When it was last asked for that.
    pub asked: Duration,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            connections: IndexSet::new(),
            waiting: Vec::new(),
            full_until: Duration::ZERO,
            failed_until: Duration::ZERO,
            latency: LATENCY_FIRST,
            hold: LATENCY_FIRST,
            opening: LATENCY_FIRST,
            health: Health::default(),
            behind_until: Duration::ZERO,
            busy_until: Duration::ZERO,
            mark: None,
            received: None,
            asked: Duration::ZERO,
        }
    }
}

impl Pool {
    /// Takes note that a statement took `time`.
    pub fn on_latency(&mut self, now: Now, time: Duration) {
        self.latency = average(self.latency, time);
        self.on_success(now);
    }

    /// Takes note that the server did something.
    pub const fn on_success(&mut self, now: Now) {
        self.health = Health { failing: None, failures: 0, succeeded: now.mono, refused: false };
    }

    /// Takes note that the server could not be reached; `answered` tells whether its host said so.
    pub fn on_failure(&mut self, now: Now, answered: bool) {
        self.health.refused = answered;
        self.health.failing.get_or_insert(now.mono);
        self.health.failures += 1;
        let pauses = self.health.failures.min(MOST_PAUSES);
        self.failed_until = now.mono + FAILED_PAUSE * pauses;
    }
}

fn average(old: Duration, new: Duration) -> Duration {
    (old * (LATENCY_WEIGHT - 1) + new) / LATENCY_WEIGHT
}

/// Queues a session's statement for a connection to a server.
pub fn enqueue(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    waiter: Waiter,
) {
    daemon.pools.entry(server.clone()).or_default().waiting.push(waiter);
    pump(daemon, now, fx, server);
    shed(daemon, now, fx, server);
}

/// Takes a session out of a server's queue.
pub fn withdraw(daemon: &mut Daemon, server: &id::Server, session: id::Session) {
    if let Some(pool) = daemon.pools.get_mut(server) {
        pool.waiting.retain(|waiter| waiter.session != session);
    }
}

/// Gives connections to sessions that wait, and opens more where that is allowed.
pub fn pump(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let waiting = ordered(daemon, now, server);
    let mut unserved = Vec::new();
    let mut free = most_running(daemon, server).saturating_sub(running(daemon, server));
    for waiter in waiting {
        if free == 0 {
            break;
        }
        match idle_for(daemon, server, &waiter) {
            Some(connection) => {
                free -= 1;
                assign(daemon, now, fx, server, connection, waiter.session);
            }
            None => unserved.push(waiter),
        }
    }
    for (position, waiter) in unserved.iter().enumerate() {
        let same = |other: &&Waiter| other.workspace == waiter.workspace;
        let before = unserved[..position].iter().filter(same).count();
        if opening(daemon, server, |workspace| *workspace == waiter.workspace) > before {
            continue;
        }
        if opening(daemon, server, |_any| true) >= most_opening(daemon, server) {
            break;
        }
        if !make_room(daemon, now, fx, server) {
            break;
        }
        open(daemon, now, fx, server, &waiter.workspace);
    }
}

/// The connections of a pool.
fn open_in<'a>(daemon: &'a Daemon, pool: &'a Pool) -> impl Iterator<Item = &'a Connection> {
    pool.connections.iter().filter_map(|name| daemon.connections.get(name))
}

/// Statements of this daemon that run or wait at a server.
#[must_use]
pub fn load(daemon: &Daemon, pool: &Pool) -> usize {
    pool.waiting.len() + open_in(daemon, pool).filter(|known| known.session.is_some()).count()
}

/// Commands that a server has not answered, of this daemon's.
fn running(daemon: &Daemon, server: &str) -> usize {
    let Some(pool) = daemon.pools.get(server) else {
        return 0;
    };
    let busy = open_in(daemon, pool).filter(|known| known.step.is_some());
    busy.count()
}

/// Whether a connection for a workspace is ready.
#[must_use]
pub fn is_warm(daemon: &Daemon, pool: &Pool, workspace: &str) -> bool {
    open_in(daemon, pool).any(|known| known.is_idle() && known.workspace == workspace)
}

/// Those who wait, in the order in which they are served.
fn ordered(daemon: &Daemon, now: Now, server: &id::Server) -> Vec<Waiter> {
    let Some(pool) = daemon.pools.get(server) else {
        return Vec::new();
    };
    let mut waiting = pool.waiting.clone();
    let held = |workspace: &id::Workspace| held(daemon, pool, workspace);
    waiting.sort_by_cached_key(|waiter| queue::rank(waiter, now.mono, held(&waiter.workspace)));
    waiting
}

/// Connections that sessions of a workspace hold.
fn held(daemon: &Daemon, pool: &Pool, workspace: &id::Workspace) -> usize {
    let held = open_in(daemon, pool).filter(|known| known.session.is_some());
    held.filter(|known| known.workspace == *workspace).count()
}

fn idle_for(daemon: &Daemon, server: &id::Server, waiter: &Waiter) -> Option<id::Connection> {
    let pool = daemon.pools.get(server)?;
    let none = Values::new();
    let values = daemon.sessions.get(&waiter.session).map_or(&none, |session| &session.values);
    let idle = pool.connections.iter().filter(|name| {
        let known = daemon.connections.get(*name);
        known.is_some_and(|known| known.is_idle() && known.workspace == waiter.workspace)
    });
    let fits = |name: &&id::Connection| {
        daemon.connections.get(*name).is_some_and(|known| known.fits(values))
    };
    idle.max_by_key(fits).copied()
}

/// How long a statement that comes now waits for a connection to a server.
#[must_use]
pub fn expected_wait(daemon: &Daemon, now: Now, server: &id::Server, waiter: &Waiter) -> Duration {
    let Some(pool) = daemon.pools.get(server) else {
        return Duration::ZERO;
    };
    let lanes = most_running(daemon, server);
    if lanes < usize::MAX && (pool.waiting.len() > lanes || running(daemon, server) >= lanes) {
        let held = |workspace: &id::Workspace| held(daemon, pool, workspace);
        let own = queue::rank(waiter, now.mono, held(&waiter.workspace));
        let before = |it: &&Waiter| queue::rank(it, now.mono, held(&it.workspace)) <= own;
        let ahead = pool.waiting.iter().filter(before).count();
        return queue::expected_wait(ahead, pool.latency, lanes);
    }
    if is_warm(daemon, pool, &waiter.workspace) {
        return Duration::ZERO;
    }
    let opening =
        queue::expected_wait(pool.waiting.len(), pool.opening, most_opening(daemon, server));
    let free = queue::expected_wait(pool.waiting.len(), pool.hold, pool.connections.len());
    if pool.waiting.is_empty() { opening } else { opening.max(free) }
}

/// Connections that are being opened for some workspaces.
fn opening(daemon: &Daemon, server: &id::Server, wanted: impl Fn(&id::Workspace) -> bool) -> usize {
    let Some(pool) = daemon.pools.get(server) else {
        return 0;
    };
    let known = open_in(daemon, pool);
    known.filter(|known| known.phase == Phase::Opening && wanted(&known.workspace)).count()
}

/// Whether a connection may be opened, after closing an idle one if need be.
fn make_room(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) -> bool {
    let share = share_of(daemon, server);
    let Some(pool) = daemon.pools.get(server) else {
        return false;
    };
    if now.mono < pool.failed_until {
        daemon.timers.arm_by(timer::Key::IdleConnections(server.clone()), pool.failed_until);
        return false;
    }
    let open = pool.connections.len();
    let full = now.mono < pool.full_until;
    if !full && open < share.kept {
        return true;
    }
    let idle = pool
        .connections
        .iter()
        .find(|name| daemon.connections.get(*name).is_some_and(Connection::is_idle));
    if let Some(idle) = idle.copied() {
        close(daemon, fx, idle);
        return true;
    }
    if full {
        daemon.timers.arm_by(timer::Key::IdleConnections(server.clone()), pool.full_until);
    }
    !full && open < share.most
}

/// Opens a connection to a server for a workspace.
pub fn open(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    workspace: &id::Workspace,
) {
    let Some(entry) = daemon.directory.get(server) else {
        return;
    };
    let (address, database) = (entry.address.clone(), entry.database.clone());
    let name = daemon.next_id();
    let connection = Connection::new(server.clone(), workspace.clone(), now.mono);
    daemon.connections.insert(name, connection);
    daemon.pools.entry(server.clone()).or_default().connections.insert(name);
    fx.count("gcl_backend_opened", server);
    let (server, workspace) = (server.clone(), workspace.clone());
    fx.backend(name, Call::Open { server, address, database, workspace });
}

/// Closes a connection and forgets it; the server rolls back what is open on it.
pub fn close(daemon: &mut Daemon, fx: &mut Effects, connection: id::Connection) {
    if let Some(known) = daemon.connections.swap_remove(&connection) {
        if let Some(pool) = daemon.pools.get_mut(&known.server) {
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
    withdraw(daemon, server, session);
    if let Some(known) = daemon.connections.get_mut(&connection) {
        known.session = Some(session);
        known.used = now.mono;
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
    if let Some(known) = daemon.connections.get_mut(&connection) {
        known.step = Some((step, now.mono));
        fx.backend(connection, Call::Send(command));
    }
}

/// Asks a server for the log position that it has received, unless it was asked just now.
pub fn ask(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let pool = daemon.pools.entry(server.clone()).or_default();
    if now.since(pool.asked) < ASK_PAUSE {
        return;
    }
    pool.asked = now.mono;
    let idle = pool.connections.iter().find(|name| {
        let known = daemon.connections.get(*name);
        known.is_some_and(|known| known.is_idle() && !known.in_transaction)
    });
    match idle.copied() {
        Some(idle) => send(daemon, now, fx, idle, Step::Report, Command::Report),
        None if now.mono >= pool.failed_until && pool.connections.is_empty() => {
            open(daemon, now, fx, server, &id::Workspace::default());
        }
        None => {}
    }
}

/// Takes a connection back from its session, and rolls back what is open on it.
pub fn release(daemon: &mut Daemon, now: Now, fx: &mut Effects, connection: id::Connection) {
    let Some(known) = daemon.connections.get_mut(&connection) else {
        return;
    };
    let server = known.server.clone();
    if known.session.take().is_some() {
        let held = now.since(known.used);
        if let Some(pool) = daemon.pools.get_mut(&server) {
            pool.hold = average(pool.hold, held);
        }
    }
    known.used = now.mono;
    if matches!(known.step, Some((Step::Rollback | Step::Report, _))) {
        return;
    }
    if known.step.is_some() {
        close(daemon, fx, connection);
    } else if known.in_transaction {
        send(daemon, now, fx, connection, Step::Rollback, Command::Rollback);
    } else {
        rest(daemon, now, &server);
    }
    pump(daemon, now, fx, &server);
}

/// Has connections that exceed the share, or lead to a server that leaves, closed when they rest.
fn rest(daemon: &mut Daemon, now: Now, server: &id::Server) {
    let share = share_of(daemon, server);
    let draining = daemon.directory.get(server).is_none_or(|entry| entry.draining);
    let count = daemon.pools.get(server).map_or(0, |pool| pool.connections.len());
    if draining || count > share.kept {
        let rest = if share.kept == 0 { Duration::ZERO } else { SURPLUS_REST };
        daemon.timers.arm_by(timer::Key::IdleConnections(server.clone()), now.mono + rest);
    }
}

/// Closes idle connections that exceed the share or lead to a server that leaves.
pub fn on_surplus(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    pump(daemon, now, fx, server);
    let draining = daemon.directory.get(server).is_none_or(|entry| entry.draining);
    let kept = if draining { 0 } else { share_of(daemon, server).kept };
    let Some(pool) = daemon.pools.get(server) else {
        return;
    };
    let mut surplus = pool.connections.len().saturating_sub(kept);
    let mut rested = Vec::new();
    for name in &pool.connections {
        let idle = daemon.connections.get(name).filter(|known| known.is_idle());
        let Some(idle) = idle.filter(|_| surplus > 0) else {
            continue;
        };
        if kept == 0 || now.since(idle.used) >= SURPLUS_REST {
            rested.push(*name);
            surplus -= 1;
        }
    }
    for name in rested {
        close(daemon, fx, name);
    }
    if surplus > 0 {
        let again = now.mono + SURPLUS_REST;
        daemon.timers.arm_by(timer::Key::IdleConnections(server.clone()), again);
    }
}

/// Takes note that a connection is open.
pub fn on_opened(daemon: &mut Daemon, now: Now, fx: &mut Effects, connection: id::Connection) {
    let Some(known) = daemon.connections.get_mut(&connection) else {
        return;
    };
    known.phase = Phase::Open;
    let took = now.since(known.used);
    known.used = now.mono;
    let server = known.server.clone();
    if let Some(pool) = daemon.pools.get_mut(&server) {
        pool.opening = average(pool.opening, took);
        pool.on_success(now);
    }
    rest(daemon, now, &server);
    pump(daemon, now, fx, &server);
}

/// Takes note that a server refused a connection.
pub fn on_refused(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    connection: id::Connection,
    refusal: &Refusal,
) {
    let Some(known) = daemon.connections.get(&connection) else {
        return;
    };
    let server = known.server.clone();
    close(daemon, fx, connection);
    fx.count("gcl_backend_refused", refusal.name());
    let pause = daemon.random.jitter(FULL_PAUSE);
    let Some(pool) = daemon.pools.get_mut(&server) else {
        return;
    };
    let line = Line::failure("connection refused").with("server", &server);
    fx.log(line.with("reason", refusal.name()).with("open", pool.connections.len()));
    if *refusal == Refusal::Full {
        pool.on_success(now);
        pool.full_until = now.mono + pause;
    } else {
        pool.failed_until = now.mono + FAILED_PAUSE;
    }
    strand(daemon, now, fx, &server);
    pump(daemon, now, fx, &server);
}
