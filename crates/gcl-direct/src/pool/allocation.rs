//! Limits on the connections to a server that each host may hold, so that all hosts together stay
//! below the number that the server accepts.
//!
//! A server resets connections in use when it is asked for more than it accepts, and it keeps those
//! of a failed daemon for up to [`HELD_AFTER_LOSS`]. Therefore the limits of all roles add up to that
//! number, whoever else still holds connections: the home's, those of the standby, which becomes the
//! home when it is lost, and one for each host that checks the server. A home that has just become
//! one keeps the limit of a standby until the connections of the former home are certainly gone. So
//! does a home that is cut off from most hosts of its region, since these have another one.

use super::share::Share;
use gcl_core::id;
use indexmap::IndexMap;
use std::time::Duration;

/// How long a server may keep the connections of a lost daemon, and how long a former home keeps
/// its own.
pub const HELD_AFTER_LOSS: Duration = Duration::from_secs(3);
/// Hosts that open a connection to check a server ([`crate::failover`]).
const CHECKERS: usize = 4;
/// One in this many of a server's connections is for the standby.
const STANDBY_PART: usize = 7;

/// Smoothing of the interval between arrivals: a new one has the weight of one part in this many.
const INTERVAL_DIVISOR: u32 = 4;
/// Interval that is assumed after the first arrival.
const INITIAL_INTERVAL: Duration = Duration::from_secs(5);
/// How long arrivals of a workspace are remembered.
const ARRIVALS_RETENTION: Duration = Duration::from_mins(1);
/// Number of workspaces from which on older arrivals are discarded.
const MAX_ARRIVALS: usize = 512;

/// Arrivals of one workspace's statements at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrivals {
    last: Duration,
    interval: Duration,
}

impl Arrivals {
    /// Expected time until the next arrival: the usual interval, or the time since the last arrival
    /// if that is longer.
    #[must_use]
    pub fn next(&self, now: Duration) -> Duration {
        self.interval.max(now.saturating_sub(self.last))
    }
}

/// Records an arrival. The first two of a workspace say nothing about its interval, which is taken
/// as long.
pub fn record(
    arrivals: &mut IndexMap<id::Workspace, Arrivals>,
    name: &id::Workspace,
    now: Duration,
) {
    if let Some(known) = arrivals.get_mut(name) {
        let passed = now.saturating_sub(known.last);
        known.interval = (known.interval * (INTERVAL_DIVISOR - 1) + passed) / INTERVAL_DIVISOR;
        known.last = now;
        return;
    }
    if arrivals.len() >= MAX_ARRIVALS {
        arrivals.retain(|_, it| now.saturating_sub(it.last) < ARRIVALS_RETENTION);
    }
    arrivals.insert(name.clone(), Arrivals { last: now, interval: INITIAL_INTERVAL });
}

/// Chooses the idle connection to close for another workspace: the one that is needed last. `idle`
/// are connections with their workspaces. The second one of a workspace is needed at its second
/// arrival, and so on.
pub fn to_close<'a>(
    idle: impl Iterator<Item = (id::Connection, &'a id::Workspace)>,
    arrivals: &IndexMap<id::Workspace, Arrivals>,
    now: Duration,
) -> Option<(id::Connection, Duration)> {
    let mut seen = IndexMap::<&id::Workspace, u32>::new();
    let needed = idle.map(|(connection, workspace)| {
        let count = seen.entry(workspace).or_default();
        *count += 1;
        let next = arrivals.get(workspace).map_or(Duration::MAX, |it| it.next(now));
        (connection, next.saturating_mul(*count))
    });
    needed.max_by_key(|(_, next)| *next)
}

/// What a host is for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// Its home.
    Home {
        /// Since when.
        since: Duration,
        /// Whether most hosts of the region are reachable.
        majority: bool,
    },
    /// Its home until recently.
    Former,
    /// Next in the order of its hosts, or about to stop.
    Standby,
    /// Neither. It only opens a connection to check the server.
    Other,
}

/// Connections for the standby.
fn standby(connections: usize) -> usize {
    (connections / STANDBY_PART).max(1)
}

/// The share of a host that is `position` for a server of `connections`.
#[must_use]
pub fn share(connections: usize, position: Position, now: Duration) -> Share {
    let standby = standby(connections);
    match position {
        Position::Home { since, majority } if majority && now >= since + HELD_AFTER_LOSS => {
            let home = connections.saturating_sub(standby + CHECKERS).max(connections / 2).max(1);
            Share { retained: home, max: home }
        }
        // After a restart of the fleet each host is the home until it hears the others.
        Position::Home { since, majority: false } if now < since + HELD_AFTER_LOSS => {
            Share { retained: 1, max: 1 }
        }
        Position::Home { .. } | Position::Former => Share { retained: standby, max: standby },
        Position::Standby => Share { retained: 0, max: standby },
        Position::Other => Share { retained: 0, max: 0 },
    }
}
