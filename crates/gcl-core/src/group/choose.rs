//! Choice of the server for a request, made by the request's entry.
//!
//! Writes and strong reads go to the leader. A read that accepts a maximum age goes to a replica in
//! the same failure domain, else in the same region, else in another region, where the link is slow
//! and traffic is billed. Equally near replicas are chosen at random, weighted by their slots. A
//! replica that lags more than the maximum age is excluded until its lag has fallen to half of it,
//! so that a replica near the limit does not flap. One that refused a read is excluded for a period
//! that doubles with each refusal. If no replica qualifies, the primary serves the read.

use super::{Choice, Group, Need, leader, view};
use crate::{
    code::{Code, Fault, Result},
    effect::Effects,
    id,
    mark::Mark,
    run::Access,
    state::State as Daemon,
    time::Now,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Retry hint while no primary is known.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Age at which a reported lag becomes meaningless.
const LAG_MAX_AGE: Duration = Duration::from_secs(30);
/// Maximum time that a replica's home waits for the replica to become recent enough.
const MAX_REPLICA_WAIT: Duration = Duration::from_millis(100);
/// How long a replica is excluded after its first refusal.
const EXCLUSION_MIN: Duration = Duration::from_millis(100);
/// Maximum time for which a replica is excluded after a refusal. If an exclusion ended longer than
/// this ago, the next one starts from the minimum again.
const EXCLUSION_MAX: Duration = Duration::from_secs(5);

/// Why and until when a replica is excluded.
#[derive(Clone, Copy, Debug, Default)]
struct Exclusion {
    until: Duration,
    backoff: Duration,
    /// The maximum ages for which the replica lags too much: one bit for each power of two of
    /// milliseconds.
    lagging_ages: u64,
}

/// The exclusions of a group's replicas at an entry.
#[derive(Clone, Debug, Default)]
pub(super) struct Exclusions {
    servers: IndexMap<id::Server, Exclusion>,
}

/// Chooses the server for a request at its entry.
///
/// # Errors
/// [`Code::NoPrimary`] while no leader is known; the call also requests the current view.
pub fn choose(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    need: Need,
) -> Result<Choice> {
    view::on_use(daemon, now, fx, database);
    let leader = leader(daemon, database).ok_or_else(|| {
        Fault::new(Code::NoPrimary, "no primary is known").retry_after(RETRY_AFTER)
    })?;
    match need {
        Need::Write => {
            Ok(Choice { server: leader.server, access: Access::Write, reason: "write on primary" })
        }
        Need::Strong => Ok(Choice {
            server: leader.server,
            access: Access::Strong,
            reason: "strong read on primary",
        }),
        Need::Bounded { floor, max_age } => {
            Ok(choose_bounded(daemon, now, database, &leader.server, floor, max_age))
        }
    }
}

fn choose_bounded(
    daemon: &mut Daemon,
    now: Now,
    database: &id::Database,
    primary: &id::Server,
    floor: Option<Mark>,
    max_age: Duration,
) -> Choice {
    let mut nearest: Vec<(id::Server, u32)> = Vec::new();
    let mut best = u8::MAX;
    for server in super::servers(daemon, database) {
        let Some(config) = daemon.config.snapshot.server(&server) else {
            continue;
        };
        let (leaving, slots) = (config.leaving, config.slots);
        let distance = distance(daemon, &config.domain);
        let group = daemon.group.groups.entry(database.clone()).or_default();
        if leaving
            || server == *primary
            || distance > best
            || !can_likely_serve(group, now, &server, max_age)
        {
            continue;
        }
        if distance < best {
            nearest.clear();
            best = distance;
        }
        nearest.push((server, slots.max(1)));
    }
    let reason = ["replica of the domain", "replica of the region", "replica of another region"];
    match draw_by_slots(daemon, &nearest) {
        Some(server) => Choice {
            server,
            access: Access::Replica { floor, max_age, wait: MAX_REPLICA_WAIT.min(max_age) },
            reason: reason.get(usize::from(best)).copied().unwrap_or("replica"),
        },
        None => Choice {
            server: primary.clone(),
            access: Access::Strong,
            reason: "no replica is recent enough",
        },
    }
}

/// Draws one of the servers at random, weighted by their slots.
fn draw_by_slots(daemon: &mut Daemon, servers: &[(id::Server, u32)]) -> Option<id::Server> {
    let total = servers.iter().map(|(_, slots)| u64::from(*slots)).sum();
    let mut ticket = daemon.random.below(total);
    for (server, slots) in servers {
        let slots = u64::from(*slots);
        if ticket < slots {
            return Some(server.clone());
        }
        ticket -= slots;
    }
    None
}

/// Whether a replica can be expected to serve a read with a maximum age.
fn can_likely_serve(group: &mut Group, now: Now, server: &id::Server, max_age: Duration) -> bool {
    let exclusion = group.exclusions.servers.entry(server.clone()).or_default();
    if exclusion.until > now.mono {
        return false;
    }
    let recent = group.view.lags.get(server).filter(|(_, at)| now.since(*at) < LAG_MAX_AGE);
    let Some((lag, _)) = recent else {
        return true;
    };
    let millis = u64::try_from(max_age.as_millis()).unwrap_or(u64::MAX);
    let bit = 1 << (u64::BITS - millis.leading_zeros()).min(u64::BITS - 1);
    let lagging = exclusion.lagging_ages & bit != 0;
    if *lag > max_age {
        exclusion.lagging_ages |= bit;
    } else if *lag <= max_age / 2 {
        exclusion.lagging_ages &= !bit;
    }
    *lag <= max_age / 2 || (!lagging && *lag <= max_age)
}

/// Excludes a replica for a while because it could not serve a read in time.
pub fn avoid_replica(daemon: &mut Daemon, now: Now, database: &id::Database, server: &id::Server) {
    let group = daemon.group.groups.entry(database.clone()).or_default();
    let exclusion = group.exclusions.servers.entry(server.clone()).or_default();
    let expired = now.since(exclusion.until) > EXCLUSION_MAX;
    let next = if expired { EXCLUSION_MIN } else { exclusion.backoff * 2 };
    exclusion.backoff = next.clamp(EXCLUSION_MIN, EXCLUSION_MAX);
    exclusion.until = now.mono + exclusion.backoff;
}

/// The distance to a failure domain: 0 for the daemon's own, 1 in its region, 2 otherwise.
pub(super) fn distance(daemon: &Daemon, domain: &str) -> u8 {
    let me = &daemon.settings;
    if me.domain == domain {
        0
    } else if me.region == daemon.config.snapshot.region(domain) {
        1
    } else {
        2
    }
}
