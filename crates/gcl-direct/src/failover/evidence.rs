//! Decides how long to wait before a primary is replaced, and by which server.
//!
//! A primary may crash, become unresponsive, be partitioned together with some daemons, or have
//! replicas that received nothing for a while. A primary that was merely partitioned may have
//! acknowledged commits that no other server has. So the wait is short only where nothing can be
//! lost: the server's VM refuses connections, or all daemons that may use the primary are reachable
//! and a candidate has every position that they saw. Once the store has dropped the primary's entry,
//! daemons that have lost their lease as well no longer count: they are gone with it.

use crate::pool::Health;
use gcl_core::{id, mark::Mark};
use std::{cmp::Reverse, time::Duration};

/// Time without any success at a primary before it is suspected.
const FAILURE_PERIOD: Duration = Duration::from_millis(500);
/// Minimum number of failures in that time.
const MIN_FAILURES: u32 = 2;
/// Time within which another server must have responded, so that the fault is not this daemon's.
const RESPONSE_WINDOW: Duration = Duration::from_millis(1500);
/// Time without a registered primary before a server is promoted.
const MISSING_DELAY: Duration = Duration::from_secs(3);
/// Wait for a primary that may have acknowledged commits that no candidate has. Partitions of a few
/// seconds heal within it.
const COMMIT_LOSS_DELAY: Duration = Duration::from_secs(9);
/// Time for other daemons to report whether they reach the primary. They are polled when it is
/// first suspected, and answer within a round of digests.
const PEER_REPORT_DELAY: Duration = Duration::from_millis(350);
/// Time for candidates to catch up with a primary that is certainly gone.
const CATCH_UP_DELAY: Duration = Duration::from_millis(2500);

/// The same for a primary that works but may soon no longer be used, since its failure domain is
/// evacuated.
const EVACUATION_CATCH_UP_DELAY: Duration = Duration::from_secs(1);

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its entry is gone.
    Gone,
    /// It does not respond.
    Silent,
    /// It is draining.
    Leaving,
    /// Its failure domain is evacuated.
    Evacuated,
    /// A move did not complete.
    Stalled,
    /// No server was ever seen as primary.
    Missing,
}

impl Cause {
    /// Whether the primary still works, so that its transactions may finish first.
    #[must_use]
    pub const fn is_planned(self) -> bool {
        matches!(self, Self::Leaving | Self::Evacuated)
    }
}

/// A daemon's knowledge about a suspected primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Why it is suspected.
    pub cause: Cause,
    /// Whether its VM refuses connections, so that it does not run.
    pub refused: bool,
    /// Whether all daemons that may use it are reachable; of one whose entry has lapsed, those that
    /// still have a lease.
    pub all_accounted_for: bool,
    /// Whether no candidate has every position that daemons saw at it.
    pub behind: bool,
}

impl Evidence {
    /// How long the primary must remain suspected before it is replaced.
    #[must_use]
    pub const fn grace_period(&self) -> Duration {
        match self.cause {
            Cause::Missing => MISSING_DELAY,
            Cause::Leaving if self.behind => CATCH_UP_DELAY,
            Cause::Evacuated if self.behind => EVACUATION_CATCH_UP_DELAY,
            Cause::Leaving | Cause::Evacuated | Cause::Stalled => Duration::ZERO,
            Cause::Gone | Cause::Silent if self.refused && self.behind => CATCH_UP_DELAY,
            Cause::Gone | Cause::Silent if self.refused => PEER_REPORT_DELAY,
            Cause::Gone | Cause::Silent if self.all_accounted_for && !self.behind => {
                PEER_REPORT_DELAY
            }
            Cause::Gone | Cause::Silent => COMMIT_LOSS_DELAY,
        }
    }
}

/// Whether operations at a server have failed repeatedly for a while, with no success.
#[must_use]
pub fn is_failing(health: Health, now: Duration) -> bool {
    let failing =
        health.failing_since.is_some_and(|since| now.saturating_sub(since) >= FAILURE_PERIOD);
    failing && health.failures >= MIN_FAILURES
}

/// Whether a server does not respond although others do, so that this daemon is not partitioned.
#[must_use]
pub fn is_silent(health: Health, now: Duration, last_elsewhere: Duration) -> bool {
    is_failing(health, now) && now.saturating_sub(last_elsewhere) < RESPONSE_WINDOW
}

/// Whether the other daemons confirm that a server is gone. If its VM refuses connections, most
/// must fail to reach it. If it is unresponsive, none may reach it: a server that is busy with new
/// connections of a whole fleet is unresponsive to some daemons and answers others.
#[must_use]
pub const fn is_confirmed_by_peers(refused: bool, answering: usize, failing: usize) -> bool {
    answering == 0 || (refused && failing + 1 > answering)
}

/// A server that may be promoted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: id::Server,
    /// Whether this daemon can reach it.
    pub reachable: bool,
    /// Its newest known log position.
    pub mark: Option<Mark>,
    /// Its distance from this daemon.
    pub distance: u8,
}

/// Selects the server to promote: a reachable one, with the newest position, and then the nearest.
#[must_use]
pub fn select_successor(candidates: Vec<Candidate>) -> Option<Candidate> {
    candidates
        .into_iter()
        .max_by_key(|it| (it.reachable, it.mark, Reverse(it.distance), Reverse(it.server.clone())))
}
