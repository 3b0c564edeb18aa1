//! How many connections to a server one daemon may hold, open at a time, and use at a time.
//!
//! The load it answers: more daemons and workspaces than a server accepts connections, and a fleet
//! that starts again before servers that still hold the connections of its earlier life.

use crate::{home, queue, state::State as Daemon};
use gcl_core::rendezvous;

/// Connections to a server that the daemons together open at the same time, for each of its slots.
/// Opening one takes a slot for a moment, and a fleet that starts again would else keep its servers
/// busy with connections that are given up before they are open.
const OPENING_PER_SLOT: usize = 12;
/// Most connections to a server that one daemon opens at the same time.
const MOST_OPENING: usize = 3;
/// Most shares that one daemon may hold.
const MOST_SHARES: usize = 4;
/// Part of a server's connections that is shared out, in percent. The rest is for daemons that need
/// more for a moment, and for a fleet that starts again while the server still holds the connections
/// of its earlier life.
const SHARED_PERCENT: usize = 50;
/// Part of a server's connections that its home keeps, in percent.
const HOME_PERCENT: usize = 88;
/// The same for the home of a primary in a fleet of hosts only, which have more need of the rest: each
/// goes to the primary itself while it does not know the home.
const PRIMARY_HOME_PERCENT: usize = 50;

/// Connections to a server that a daemon may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Those that it may keep while nobody uses them.
    pub kept: usize,
    /// Those that it may have open at any time.
    pub most: usize,
}

/// The share of the daemon of a `rank` among `members`.
///
/// What does not divide evenly goes to the first ranks. Every daemon may keep one, unless there are
/// more daemons than connections: then most of them open one for a statement and close it after
/// that, since a server that is asked for more than it has resets what others use.
#[must_use]
pub fn share(connections: usize, members: usize, rank: usize) -> Share {
    let shared = connections * SHARED_PERCENT / 100;
    let members = members.max(1);
    let kept = shared / members + usize::from(rank < shared % members);
    if members > connections {
        return Share { kept, most: 1 };
    }
    let kept = kept.max(1);
    Share { kept, most: kept * MOST_SHARES }
}

/// The share of a daemon where servers have homes: the home keeps most of the connections, and the
/// rest is a reserve for daemons that do without it.
#[must_use]
pub fn share_with_homes(connections: usize, members: usize, is_home: bool) -> Share {
    home_share(connections, members, is_home, HOME_PERCENT)
}

/// The share for a primary, where only primaries have homes.
#[must_use]
pub fn share_of_primary(connections: usize, members: usize, is_home: bool) -> Share {
    home_share(connections, members, is_home, PRIMARY_HOME_PERCENT)
}

fn home_share(connections: usize, members: usize, is_home: bool, percent: usize) -> Share {
    let kept = connections * percent / 100;
    let reserve = (connections - kept) / members.max(1);
    if is_home {
        return Share { kept: kept.max(1), most: (connections - reserve).max(1) };
    }
    Share { kept: 0, most: reserve.max(1) }
}

/// Statements of this daemon that a server is sent at the same time, no limit without homes.
pub(super) fn most_running(daemon: &Daemon, server: &str) -> usize {
    match daemon.directory.get(server) {
        Some(entry) if home::is_home_for(daemon, server) => queue::depth(entry.slots),
        _ => usize::MAX,
    }
}

/// The share of this daemon for a server.
pub(super) fn share_of(daemon: &Daemon, server: &str) -> Share {
    let database = daemon.directory.get(server).map(|entry| &entry.database);
    let config = daemon.config.as_ref();
    let Some(known) = database.and_then(|database| config?.databases.get(database)) else {
        return share(1, 1, 0);
    };
    let (members, is_home) = (daemon.members.len(), home::is_home_for(daemon, server));
    if home::is_enabled(daemon) {
        return share_with_homes(known.connections, members, is_home);
    }
    if home::routes_to_home(daemon, server) {
        return share_of_primary(known.connections, members, is_home);
    }
    let own = rendezvous::weight(server, &daemon.settings.daemon);
    let before = daemon.members.keys().filter(|name| rendezvous::weight(server, name) > own);
    share(known.connections, daemon.members.len(), before.count())
}

/// Connections to a server that this daemon may open at the same time.
pub(super) fn most_opening(daemon: &Daemon, server: &str) -> usize {
    let slots = daemon.directory.get(server).map_or(1, |entry| entry.slots);
    if home::is_home_for(daemon, server) {
        return slots.max(1);
    }
    (slots * OPENING_PER_SLOT / daemon.members.len().max(1)).clamp(1, MOST_OPENING)
}
