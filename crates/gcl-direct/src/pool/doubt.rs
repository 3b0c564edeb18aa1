//! Whether a server is in doubt, so that statements which others can run go there.
//!
//! The load it answers: a server that falls silent or is cut off while its queue and its latency still
//! look good. Its last failure counts until something succeeds there, which a single connection finds
//! out; an opening that takes far longer than usual counts before it fails.

use super::{Pool, open_in};
use crate::{
    connection::{Connection, Phase},
    directory,
    state::State as Daemon,
};
use gcl_core::time::Now;
use std::time::Duration;

/// Shortest time after which an opening is overdue.
const OVERDUE: Duration = Duration::from_millis(150);
/// How many times as long as usual an opening takes that is overdue.
const OVERDUE_TIMES: u32 = 4;

/// Time after which an opening is overdue.
fn overdue(pool: &Pool) -> Duration {
    (pool.opening * OVERDUE_TIMES).max(OVERDUE)
}

/// When the next opening becomes overdue.
pub(super) fn due(daemon: &Daemon, now: Now, pool: &Pool) -> Option<Duration> {
    let openings = open_in(daemon, pool).filter(|known| known.phase == Phase::Opening);
    openings.map(|it| it.used + overdue(pool)).filter(|due| *due > now.mono).min()
}

/// Whether nothing shows that the server answers.
#[must_use]
pub fn is_doubtful(daemon: &Daemon, now: Now, pool: &Pool) -> bool {
    pool.health.failing.is_some() || hangs(now, pool, open_in(daemon, pool))
}

/// Whether another server of the same database is not in doubt.
pub(super) fn has_better(daemon: &Daemon, now: Now, server: &str) -> bool {
    let Some(entry) = daemon.directory.get(server) else {
        return false;
    };
    let mut others = directory::servers(&daemon.directory, &entry.database)
        .filter(|(name, other)| *name != server && !other.draining);
    others.any(|(name, _)| {
        daemon
            .pools
            .get(name)
            .is_none_or(|pool| now.mono >= pool.failed_until && !is_doubtful(daemon, now, pool))
    })
}

/// Whether an opening is overdue, and nothing has succeeded since it began.
fn hangs<'a>(now: Now, pool: &Pool, connections: impl Iterator<Item = &'a Connection>) -> bool {
    let overdue = overdue(pool);
    let mut openings = connections.filter(|known| known.phase == Phase::Opening);
    openings.any(|it| now.since(it.used) >= overdue && pool.health.succeeded <= it.used)
}
