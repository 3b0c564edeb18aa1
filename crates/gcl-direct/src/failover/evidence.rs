//! How long a primary is waited for before it is replaced, and by which server.
//!
//! The load it answers: a primary that crashes, falls silent, is cut off together with some daemons,
//! or has replicas that received nothing for a while. A primary that was merely cut off may have
//! acknowledged commits that no other server has. So the wait is short only where nothing can be
//! lost by it: the server's own host says that it is gone, or all daemons that may have used it are
//! heard and a successor has all that they saw.

use crate::pool::Health;
use gcl_core::{id, mark::Mark};
use std::{cmp::Reverse, time::Duration};

/// Time for which nothing may succeed at a primary before it is in doubt.
const DOUBT: Duration = Duration::from_millis(500);
/// Failures in that time that are needed.
const FAILURES: u32 = 2;
/// Time within which another server must have answered, so that the fault is not this daemon's.
const ELSEWHERE: Duration = Duration::from_millis(1500);
/// How long no server may register itself as primary before one is made so.
const MISSING: Duration = Duration::from_secs(3);
/// How long a primary is waited for that may have acknowledged what no successor has. Cuts of a
/// few seconds heal within it.
const LOSS: Duration = Duration::from_secs(9);
/// How long other daemons have to say whether they reach the primary; they are asked when the doubt
/// begins, and answer within a round of digests.
const OPINION: Duration = Duration::from_millis(350);
/// How long successors of a primary that is certainly gone may catch up.
const CATCH_UP: Duration = Duration::from_millis(2500);

/// Why a primary is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its entry is gone.
    Gone,
    /// It does not answer.
    Silent,
    /// It is about to leave.
    Leaving,
    /// A move did not come to its end.
    Stalled,
    /// No server was ever seen as primary.
    Missing,
}

/// What a daemon knows about a primary in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Why it is in doubt.
    pub cause: Cause,
    /// Whether its host says that it does not run.
    pub refused: bool,
    /// Whether all daemons that may have used it are heard.
    pub complete: bool,
    /// Whether no successor has all that daemons saw at it.
    pub behind: bool,
}

impl Evidence {
    /// The time for which the doubt must last before the primary is replaced.
    #[must_use]
    pub const fn patience(&self) -> Duration {
        match self.cause {
            Cause::Missing => MISSING,
            Cause::Leaving if self.behind => CATCH_UP,
            Cause::Leaving | Cause::Stalled => Duration::ZERO,
            Cause::Gone | Cause::Silent if self.refused && self.behind => CATCH_UP,
            Cause::Gone | Cause::Silent if self.refused => OPINION,
            Cause::Gone | Cause::Silent if self.complete && !self.behind => OPINION,
            Cause::Gone | Cause::Silent => LOSS,
        }
    }
}

/// Whether nothing has succeeded at a server for a while.
#[must_use]
pub fn is_failing(health: Health, now: Duration) -> bool {
    let failing = health.failing_since.is_some_and(|since| now.saturating_sub(since) >= DOUBT);
    failing && health.failures >= FAILURES
}

/// Whether the way to a server shows that it is gone, and not that this daemon is cut off.
#[must_use]
pub fn is_silent(health: Health, now: Duration, elsewhere: Duration) -> bool {
    is_failing(health, now) && now.saturating_sub(elsewhere) < ELSEWHERE
}

/// Whether the other daemons agree that a server is gone: most of them where its host refuses, all
/// that say anything where it is silent. A server that is busy with a fleet's new connections is
/// silent to some, and answers others.
#[must_use]
pub const fn is_agreed(refused: bool, answering: usize, failing: usize) -> bool {
    answering == 0 || (refused && failing + 1 > answering)
}

/// A server that may take over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Successor {
    /// The server.
    pub server: id::Server,
    /// Whether this daemon reaches it.
    pub reached: bool,
    /// The newest log position that it is known to have.
    pub mark: Option<Mark>,
    /// Its distance from this daemon.
    pub distance: u8,
}

/// The server that takes over: one that is reached, has most of the log, and is near.
#[must_use]
pub fn successor(candidates: Vec<Successor>) -> Option<Successor> {
    candidates
        .into_iter()
        .max_by_key(|it| (it.reached, it.mark, Reverse(it.distance), Reverse(it.server.clone())))
}
