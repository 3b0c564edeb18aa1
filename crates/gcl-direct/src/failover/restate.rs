//! Moves of primaries across a return of the store from a copy: those that the copy lacks are written
//! again, and what nobody remembers is found out at the servers.

use super::{RANK_STEP, STEP, Successor, candidate, is_former, rank, watch_of, write};
use crate::{directory, effect::Effects, era, group, line::Line, state::State as Daemon, timer};
use gcl_core::{id, time::Now};

/// Writes an intention again that a copy of the store lacks, in its old place in the order, so that
/// daemons that start later know of it.
pub(super) fn restate(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let rank = rank(daemon, database);
    let Some(group) = daemon.groups.get(database) else {
        return;
    };
    let lacking =
        group.moved.as_ref().filter(|it| is_former(daemon, it) && group.held < it.revision);
    let Some(moved) = lacking.filter(|_| daemon.follow.complete()) else {
        return;
    };
    let (intention, order, expected) = (moved.intention.clone(), moved.revision, group.written);
    let due = daemon.era.restating_at() + RANK_STEP * rank;
    if now.mono < due || watch_of(daemon, database).call.is_some() {
        return daemon
            .timers
            .arm_by(timer::Key::Failover(database.clone()), due.max(now.mono + STEP));
    }
    fx.log(
        Line::state_change("intention written again")
            .with("database", database)
            .with("order", order),
    );
    let record = group::Record { intention, era: era::of(order), order };
    write(daemon, fx, database, &record, expected);
}

/// Forgets what is under way in the store's earlier era.
pub fn on_era(daemon: &mut Daemon) {
    for watch in daemon.failover.watches.values_mut() {
        (watch.call, watch.attempt) = (None, None);
    }
}

/// The server that took over by a move that a copy of the store lacks: the only one that registers
/// itself as primary, once all had the time to do so.
pub(super) fn confirmed(daemon: &Daemon, now: Now, database: &id::Database) -> Option<Successor> {
    let moved = daemon.groups.get(database)?.moved.as_ref()?;
    if !is_former(daemon, moved) || !era::is_settled(daemon, now) {
        return None;
    }
    let servers = directory::servers(&daemon.directory, database);
    let mut leaders = servers.filter(|(_, entry)| entry.claims_primary && !entry.draining);
    let (server, entry) = leaders.next().filter(|_| leaders.next().is_none())?;
    Some(candidate(daemon, now, server, entry))
}
