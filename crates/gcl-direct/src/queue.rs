//! Order in which statements that wait for a connection get one.
//!
//! It matters under overload, when statements exceed the capacity of a server's connections for
//! seconds. The most urgent routes come first, whatever the age of their statements, so that a
//! statement does not wait behind less urgent ones that are only queued; a small share for statements
//! past their target is the only exception. Within a route's priority,
//! statements that can still be answered within their target latency precede those past it, since
//! their callers gain more. Then workspaces that hold fewer connections go first, so that one busy
//! workspace does not take all connections; the priority of a workspace counts only between
//! workspaces that hold equally many.

use crate::urgency::Urgency;
use gcl_core::id;
use std::time::Duration;

/// One in this many statements is the longest-waiting one past its target. Aging, which raises the
/// priority of each statement with its wait, delays urgent statements at the peak more than this.
const SHARE_OF_LATE: u64 = 10;
/// Shortest retry-after, about the time in which a server completes a statement.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Shortest interval over which the retries of refused callers are spread.
const MIN_SPREAD: Duration = Duration::from_millis(250);

/// A statement that waits for a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The session that sent it.
    pub session: id::Session,
    /// The workspace of the session.
    pub workspace: id::Workspace,
    /// Its urgency.
    pub urgency: Urgency,
    /// When it arrived.
    pub arrived: Duration,
    /// When the route's target latency is exceeded.
    pub target: Duration,
}

/// Place of a waiter in the serving order; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority of the route.
    pub route: u32,
    /// Whether the target latency is exceeded.
    pub is_late: bool,
    /// Connections that the waiter's workspace holds.
    pub held: usize,
    /// Priority of the workspace.
    pub workspace: u32,
    /// When the statement arrived.
    pub arrived: Duration,
}

/// Ranks a waiter. `held` counts the connections that its workspace holds.
#[must_use]
pub fn rank(waiter: &Waiter, now: Duration, held: usize) -> Rank {
    let Urgency { route, workspace } = waiter.urgency;
    Rank { route, is_late: now >= waiter.target, held, workspace, arrived: waiter.arrived }
}

/// Sorts the waiters of a server into serving order. `turn` counts the statements that have got a
/// connection there. Each [`SHARE_OF_LATE`]th of them is the longest-waiting one past its target, so
/// that no priority waits without limit behind a stream of more urgent statements.
pub fn sort(
    waiters: &mut [Waiter],
    now: Duration,
    turn: u64,
    held: impl Fn(&id::Workspace) -> usize,
) {
    waiters.sort_by_cached_key(|waiter| rank(waiter, now, held(&waiter.workspace)));
    if turn % SHARE_OF_LATE == SHARE_OF_LATE - 1 {
        let late = waiters.iter().enumerate().filter(|(_, waiter)| now >= waiter.target);
        let oldest = late.min_by_key(|(_, waiter)| waiter.arrived).map(|(index, _)| index);
        if let Some(oldest) = oldest {
            waiters[..=oldest].rotate_right(1);
        }
    }
}

/// Limit on the statements that a home has in flight at a server: a few more than it has slots, to
/// keep them busy. The others wait here, in order, because the server does not order its queue.
#[must_use]
pub const fn max_in_flight(slots: usize) -> usize {
    slots.saturating_add(slots.div_ceil(2))
}

/// Finds the waiters whose expected wait exceeds their remaining time, and returns their indices
/// and expected waits. `times` are the remaining times in serving order. A waiter that is found
/// does not delay those behind it.
pub fn past_deadline(
    times: impl Iterator<Item = Duration>,
    service_time: Duration,
    concurrency: usize,
) -> Vec<(usize, Duration)> {
    let mut ahead = 0;
    let mut late = Vec::new();
    for (index, time) in times.enumerate() {
        let wait = expected_wait(ahead, service_time, concurrency);
        if wait > time {
            late.push((index, wait));
        } else {
            ahead += 1;
        }
    }
    late
}

/// Expected wait of a statement that arrives now; it is refused at once if it has less time than
/// that.
///
/// `ahead` statements are waiting already, `service_time` is how long each holds a connection, and
/// `concurrency` is the number of connections that serve them.
#[must_use]
pub fn expected_wait(ahead: usize, service_time: Duration, concurrency: usize) -> Duration {
    let concurrency = u32::try_from(concurrency.max(1)).unwrap_or(u32::MAX);
    service_time.saturating_mul(u32::try_from(ahead + 1).unwrap_or(u32::MAX)) / concurrency
}

/// Retry-after of a statement that is refused because its expected `wait` exceeds its `time`.
///
/// The statement could be accepted once the queue ahead of it has become shorter by the difference.
/// From then on, callers return spread over the time that the `queue` of all waiters needs, so that
/// they do not meet again. `wait` counts the statements ahead only, so urgent callers return first.
/// `random` is a random number.
#[must_use]
pub fn retry_after(wait: Duration, time: Duration, queue: Duration, random: u64) -> Duration {
    let spread = u64::try_from(queue.max(MIN_SPREAD).as_micros()).unwrap_or(u64::MAX);
    wait.saturating_sub(time).max(MIN_RETRY_AFTER) + Duration::from_micros(random % spread)
}
