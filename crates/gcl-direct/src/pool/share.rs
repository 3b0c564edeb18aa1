//! Limits on the connections to a server that one daemon may hold, open concurrently, and use
//! concurrently.
//!
//! There can be more daemons and workspaces than connections that a server accepts, and a fleet may
//! restart while servers still hold the connections of its previous processes. Where servers have
//! homes (see [`crate::home`]), [`allocation`] decides.

use super::allocation;
use crate::{home, queue, state::State as Daemon};
use gcl_core::{rendezvous, time::Now};

/// Connections to a server that all daemons together may be opening at a time, for each of its
/// slots. Opening one occupies a slot briefly; without the limit, a restarting fleet would keep its
/// servers busy with connections that are abandoned before they are open.
const OPENING_PER_SLOT: usize = 12;
/// Limit on the connections to a server that one daemon opens concurrently.
const MAX_OPENING: usize = 3;
/// Connections that one daemon may have open, as a multiple of its share.
const MAX_SHARE_FACTOR: usize = 4;
/// Part of a server's connections that is divided among the daemons, in percent. The rest is for
/// daemons that briefly need more, and for a restarting fleet while the server still holds the
/// connections of its previous processes.
const SHARED_PERCENT: usize = 50;
/// Part of a primary's connections that its home retains in a fleet without entries, in percent.
/// The other hosts need more of the rest: each connects to the primary itself while it does not
/// know the home.
const PRIMARY_HOME_PERCENT: usize = 50;

/// Limits on a daemon's connections to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Connections that it may retain while they are idle.
    pub retained: usize,
    /// Connections that it may have open at any time.
    pub max: usize,
}

/// The share of the daemon with `rank` among `members`.
///
/// The remainder goes to the lowest ranks. Every daemon may retain one connection, unless there are
/// more daemons than connections. In that case most of them open one for a statement and close it
/// afterwards, since a server that is asked for more connections than it has resets those in use.
#[must_use]
pub fn share(connections: usize, members: usize, rank: usize) -> Share {
    let shared = connections * SHARED_PERCENT / 100;
    let members = members.max(1);
    let retained = shared / members + usize::from(rank < shared % members);
    if members > connections {
        return Share { retained, max: 1 };
    }
    let retained = retained.max(1);
    Share { retained, max: retained * MAX_SHARE_FACTOR }
}

/// The share of a daemon for a primary, where only primaries have homes.
#[must_use]
pub fn share_for_primary(connections: usize, members: usize, is_home: bool) -> Share {
    let retained = connections * PRIMARY_HOME_PERCENT / 100;
    let reserve = (connections - retained) / members.max(1);
    if is_home {
        return Share { retained: retained.max(1), max: (connections - reserve).max(1) };
    }
    Share { retained: 0, max: reserve.max(1) }
}

/// Limit on the statements that this daemon has in flight at a server; none unless it is the home.
pub(super) fn max_running(daemon: &Daemon, server: &str) -> usize {
    match daemon.directory.get(server) {
        Some(entry) if home::is_home_for(daemon, server) => queue::max_in_flight(entry.slots),
        _ => usize::MAX,
    }
}

/// This daemon's share of a server's connections.
pub(super) fn share_of(daemon: &Daemon, now: Now, server: &str) -> Share {
    let database = daemon.directory.get(server).map(|entry| &entry.database);
    let config = daemon.config.as_ref();
    let Some(limits) = database.and_then(|database| config?.databases.get(database)) else {
        return share(1, 1, 0);
    };
    let (members, is_home) = (daemon.members.len(), home::is_home_for(daemon, server));
    if home::is_enabled(daemon) {
        return allocation::share(limits.connections, home::position(daemon, server), now.mono);
    }
    if home::routes_to_home(daemon, server) {
        return share_for_primary(limits.connections, members, is_home);
    }
    let own = rendezvous::weight(server, &daemon.settings.daemon);
    let before = daemon.members.keys().filter(|name| rendezvous::weight(server, name) > own);
    share(limits.connections, daemon.members.len(), before.count())
}

/// Whether this daemon has or may open connections to a server for statements.
#[must_use]
pub fn may_connect(daemon: &Daemon, now: Now, server: &str) -> bool {
    daemon.pools.get(server).is_some_and(|pool| !pool.connections.is_empty())
        || share_of(daemon, now, server).max > 0
}

/// Limit on the connections to a server that this daemon opens concurrently.
pub(super) fn max_opening(daemon: &Daemon, server: &str) -> usize {
    let slots = daemon.directory.get(server).map_or(1, |entry| entry.slots);
    if home::is_home_for(daemon, server) {
        return slots.max(1);
    }
    (slots.saturating_mul(OPENING_PER_SLOT) / daemon.members.len().max(1)).clamp(1, MAX_OPENING)
}
