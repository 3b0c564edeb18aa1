//! The order in which statements that wait for a connection get one.
//!
//! The load it answers: more statements than a server's connections carry, for seconds. First come
//! statements whose caller can still be answered within the route's target, by the route's priority
//! and then by the time of arrival; those whose target has passed follow, since their callers gain
//! less. Among equals a workspace that holds fewer connections goes first, so that one busy workspace
//! does not take all.

use gcl_core::id;
use std::time::Duration;

/// A statement that waits for a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Its session.
    pub session: id::Session,
    /// Its workspace.
    pub workspace: id::Workspace,
    /// The priority of its route, zero for the highest.
    pub priority: u32,
    /// When it came.
    pub arrived: Duration,
    /// Until when its caller gains most from an answer.
    pub target: Duration,
}

/// What orders waiters; the least is served first.
#[must_use]
pub fn rank(waiter: &Waiter, now: Duration, held: usize) -> (bool, u32, usize, Duration) {
    (now >= waiter.target, waiter.priority, held, waiter.arrived)
}

/// Statements that a home sends to a server at the same time. A few more than it has slots keep these
/// busy; all others wait here, where they are ordered, and not at the server, where they are not.
#[must_use]
pub const fn depth(slots: usize) -> usize {
    slots + slots.div_ceil(2)
}

/// Those whose time does not suffice, of waiters in the order in which they are served, with the wait
/// that each would have. Whoever is passed over makes room for the next.
pub fn late(
    times: impl Iterator<Item = Duration>,
    turn: Duration,
    lanes: usize,
) -> Vec<(usize, Duration)> {
    let mut ahead = 0;
    let mut late = Vec::new();
    for (place, time) in times.enumerate() {
        let wait = expected_wait(ahead, turn, lanes);
        if wait > time {
            late.push((place, wait));
        } else {
            ahead += 1;
        }
    }
    late
}

/// How long a statement that comes now is expected to wait; one whose time is shorter is refused at
/// once.
///
/// `ahead` statements wait already, `turn` is how long one holds a connection, and `lanes` are the
/// connections that serve them.
#[must_use]
pub fn expected_wait(ahead: usize, turn: Duration, lanes: usize) -> Duration {
    let lanes = u32::try_from(lanes.max(1)).unwrap_or(u32::MAX);
    turn.saturating_mul(u32::try_from(ahead + 1).unwrap_or(u32::MAX)) / lanes
}
