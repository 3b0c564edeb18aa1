//! Evacuation of failure domains: operators ask that the servers of a failure domain get no more
//! requests, until they take the evacuation back.
//!
//! As soon as a daemon learns of an evacuation, new statements go to servers elsewhere, and
//! primaries in the failure domain are moved ([`crate::failover`]). What runs there may end, and a
//! primary that has not been moved yet serves on, until the domain is closed: half of the
//! deployment's bound later, since the daemon may have learned late. Then open transactions there
//! are rolled back, connections are closed, and statements that only such a server could run are
//! refused.
//!
//! Evacuations are read from the store together with the configuration. Digests carry them as well,
//! for daemons that the store rejects. Each daemon knows up to which revision of the store its
//! knowledge is complete, so that of two daemons with different knowledge the later one is right.

use crate::{
    effect::Effects,
    era, failover,
    line::Line,
    placement::Need,
    pool,
    request::{self, Stage},
    session::Transaction,
    state::State as Daemon,
    statement::Statement,
    timer,
};
use gcl_core::{
    code::{Code, Fault, Result},
    id,
    time::Now,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Part of the deployment's bound after which a failure domain is closed, as a divisor.
const CLOSE_DIVISOR: u32 = 2;
/// Retry-after of statements that only a server of an evacuated failure domain could run.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Gauge of the open connections to servers of an evacuated failure domain.
const CONNECTIONS: &str = "gcl_evacuated_connections";
/// Gauge of those connections that carry a statement or an open transaction.
const STATEMENTS: &str = "gcl_evacuated_statements";

/// A change of a failure domain's evacuation, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The failure domain.
    pub domain: id::Domain,
    /// Whether its evacuation is requested; false if it was taken back.
    pub requested: bool,
    /// The revision of the change.
    pub revision: id::Revision,
}

/// A daemon's knowledge of evacuations, as gossiped to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The revision of the store up to which it is complete.
    pub revision: id::Revision,
    /// The evacuated failure domains.
    pub domains: Vec<id::Domain>,
}

/// The evacuated failure domains.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The revision of the store up to which they are known, zero before the first read.
    revision: id::Revision,
    /// When each domain is closed.
    domains: IndexMap<id::Domain, Duration>,
    /// Whether any domain was evacuated while this process ran.
    active: bool,
}

impl State {
    /// Whether a failure domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    /// Whether any failure domain is evacuated.
    #[must_use]
    pub fn is_in_force(&self) -> bool {
        !self.domains.is_empty()
    }

    /// Whether an evacuated failure domain is closed: its servers get nothing more.
    #[must_use]
    pub fn is_closed(&self, domain: &str, now: Now) -> bool {
        self.domains.get(domain).is_some_and(|closes_at| *closes_at <= now.mono)
    }

    /// Whether evacuations are known, so that statements may be sent to servers.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// The notice for other daemons, `None` if there was never an evacuation.
    #[must_use]
    pub fn notice(&self) -> Option<Notice> {
        self.active.then(|| Notice {
            revision: self.revision,
            domains: self.domains.keys().cloned().collect(),
        })
    }
}

/// Whether a server is in an evacuated failure domain that is closed.
#[must_use]
pub fn is_closed(daemon: &Daemon, now: Now, server: &str) -> bool {
    let entry = daemon.directory.get(server);
    entry.is_some_and(|entry| daemon.evacuation.is_closed(&entry.domain, now))
}

/// Checks that a statement may be sent to a primary. One in an evacuated failure domain may be used
/// until the domain is closed.
///
/// # Errors
/// [`Code::DomainEvacuated`].
pub fn check_primary(daemon: &Daemon, now: Now, server: id::Server) -> Result<id::Server> {
    if is_closed(daemon, now, &server) { Err(refusal()) } else { Ok(server) }
}

/// The error for a statement that only a server of an evacuated failure domain could run.
#[must_use]
pub fn refusal() -> Fault {
    Fault::new(Code::DomainEvacuated, "its server's failure domain is evacuated")
        .retry_after(RETRY_AFTER)
}

/// Handles evacuations from the store, either all of them (`full`) or those that changed, complete
/// up to `revision`.
pub fn on_changes(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    changes: &[Change],
    revision: id::Revision,
    full: bool,
) {
    let known = daemon.evacuation.revision;
    if full {
        let requested = changes.iter().filter(|change| change.requested);
        let domains = requested.map(|change| change.domain.clone()).collect();
        return replace(daemon, now, fx, &Notice { revision, domains });
    }
    // A notice of a peer may have been newer than these changes.
    for change in changes.iter().filter(|change| change.revision > known) {
        set(daemon, now, fx, &change.domain, change.requested);
    }
    daemon.evacuation.revision = known.max(revision);
}

/// Handles a peer's knowledge of evacuations.
pub fn on_notice(daemon: &mut Daemon, now: Now, fx: &mut Effects, notice: &Notice) {
    if notice.revision > daemon.evacuation.revision {
        replace(daemon, now, fx, notice);
    }
}

/// Replaces the evacuated failure domains. A restored store may lack evacuations until the operator
/// has written them again, so none ends until then.
fn replace(daemon: &mut Daemon, now: Now, fx: &mut Effects, notice: &Notice) {
    if notice.revision < daemon.evacuation.revision {
        return;
    }
    for domain in &notice.domains {
        set(daemon, now, fx, domain, true);
    }
    if era::is_restored(daemon, now) {
        let ended = daemon.evacuation.domains.keys().filter(|name| !notice.domains.contains(name));
        for domain in ended.cloned().collect::<Vec<_>>() {
            set(daemon, now, fx, &domain, false);
        }
    }
    daemon.evacuation.revision = notice.revision;
}

/// Starts or ends the evacuation of a failure domain.
fn set(daemon: &mut Daemon, now: Now, fx: &mut Effects, domain: &id::Domain, requested: bool) {
    if requested == daemon.evacuation.contains(domain) {
        return;
    }
    if !requested {
        daemon.evacuation.domains.swap_remove(domain);
        fx.gauge(CONNECTIONS, domain, 0);
        fx.gauge(STATEMENTS, domain, 0);
        fx.log(Line::state_change("evacuation ended").with("domain", domain));
        return failover::review_all(daemon, now, fx);
    }
    // An evacuation that this daemon finds at its start may have been acknowledged long ago.
    let closes_in = if daemon.evacuation.is_known() {
        daemon.settings.bounds.evacuation / CLOSE_DIVISOR
    } else {
        Duration::ZERO
    };
    let closes_at = now.mono + closes_in;
    daemon.evacuation.active = true;
    daemon.evacuation.domains.insert(domain.clone(), closes_at);
    let servers = servers_in(daemon, domain);
    let line = Line::state_change("failure domain evacuated").with("domain", domain);
    fx.log(line.with("servers", servers.len()).millis("closes_in", closes_in));
    daemon.timers.arm_by(timer::Key::Evacuation, closes_at);
    for server in &servers {
        reroute_reads(daemon, now, fx, server);
        pool::on_surplus(daemon, now, fx, server);
    }
    failover::review_all(daemon, now, fx);
}

fn servers_in(daemon: &Daemon, domain: &str) -> Vec<id::Server> {
    let servers = daemon.directory.iter().filter(|(_, entry)| entry.domain == domain);
    servers.map(|(server, _)| server.clone()).collect()
}

/// Sends queued reads that other servers can run elsewhere.
fn reroute_reads(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(pool) = daemon.pools.get(server) else {
        return;
    };
    let reads = pool.waiting.iter().map(|waiter| waiter.session).filter(|session| {
        let request = daemon.sessions.get(session).and_then(|state| state.request.as_ref());
        request.is_some_and(|request| request.need == Need::Recent)
    });
    for session in reads.collect::<Vec<_>>() {
        pool::dequeue(daemon, server, session);
        request::on_rerouted(daemon, now, fx, session, server);
    }
}

/// Closes failure domains that are due.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let due = daemon.evacuation.domains.iter().filter(|(_, closes_at)| **closes_at <= now.mono);
    for domain in due.map(|(domain, _)| domain.clone()).collect::<Vec<_>>() {
        for server in servers_in(daemon, &domain) {
            close(daemon, now, fx, &server);
        }
    }
    let pending = daemon.evacuation.domains.values().filter(|closes_at| **closes_at > now.mono);
    if let Some(next) = pending.min().copied() {
        daemon.timers.arm_by(timer::Key::Evacuation, next);
    }
}

/// Closes the connections to a server, except those that wait for the answer to a commit or to a
/// statement outside a transaction.
fn close(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(pool) = daemon.pools.get(server) else {
        return;
    };
    let connections: Vec<_> = pool.connections.iter().copied().collect();
    let (mut closed, mut kept) = (0, 0);
    for connection in connections {
        if is_ending(daemon, connection) {
            kept += 1;
        } else {
            closed += 1;
            let reason = "the failure domain is evacuated";
            request::on_closed(daemon, now, fx, connection, reason);
        }
    }
    let waiters = daemon.pools.get_mut(server).map(|pool| std::mem::take(&mut pool.waiting));
    let waiters = waiters.unwrap_or_default();
    if closed + kept + waiters.len() > 0 {
        let line = Line::state_change("evacuated server closed").with("server", server);
        fx.log(line.with("closed", closed).with("ending", kept).with("waiting", waiters.len()));
    }
    for waiter in waiters {
        request::on_rerouted(daemon, now, fx, waiter.session, server);
    }
}

/// Whether a connection waits for the answer that ends its session's operation.
fn is_ending(daemon: &Daemon, connection: id::Connection) -> bool {
    let session = daemon.connections.get(&connection).and_then(|conn| conn.session);
    let Some(state) = session.and_then(|session| daemon.sessions.get(&session)) else {
        return false;
    };
    state.request.as_ref().is_some_and(|request| {
        let commits = request.query.statement == Statement::Commit;
        request.stage == Stage::Sent(connection)
            && (commits || !matches!(state.transaction, Transaction::Open(_)))
    })
}

/// Counts the open connections to servers of evacuated failure domains, for the metrics.
pub fn observe(daemon: &Daemon, fx: &mut Effects) {
    for domain in daemon.evacuation.domains.keys() {
        let open = daemon.connections.values().filter(|conn| {
            daemon.directory.get(&conn.server).is_some_and(|entry| entry.domain == *domain)
        });
        let (mut connections, mut statements) = (0_usize, 0_usize);
        for conn in open {
            connections += 1;
            statements += usize::from(conn.session.is_some());
        }
        fx.gauge(CONNECTIONS, domain, connections);
        fx.gauge(STATEMENTS, domain, statements);
    }
}
