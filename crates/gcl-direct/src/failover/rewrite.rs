//! Moves of primaries across restores of the store: moves that are missing from the snapshot are
//! written again, and moves that no daemon remembers are derived from the servers.

use super::{
    CHECK_INTERVAL, Candidate, RANK_STEP, is_stale, rank, successor::candidate, tracker_mut,
    write_record,
};
use crate::{directory, effect::Effects, era, group, line::Line, state::State as Daemon, timer};
use gcl_core::{id, time::Now};

/// Writes an intention that is missing from the restored store again, with its original order, so
/// that daemons that start later receive it.
pub(super) fn rewrite(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let rank = rank(daemon, database);
    let Some(group) = daemon.groups.get(database) else {
        return;
    };
    let missing = group
        .latest_move
        .as_ref()
        .filter(|it| is_stale(daemon, it) && group.key_order < it.revision);
    let Some(moved) = missing.filter(|_| daemon.watch.is_complete()) else {
        return;
    };
    let (intention, order, expected) =
        (moved.intention.clone(), moved.revision, group.key_revision);
    let due = daemon.era.first_seen() + RANK_STEP * rank;
    if now.mono < due || tracker_mut(daemon, database).call.is_some() {
        return daemon
            .timers
            .arm_by(timer::Key::Failover(database.clone()), due.max(now.mono + CHECK_INTERVAL));
    }
    fx.log(
        Line::state_change("intention written again")
            .with("database", database)
            .with("order", order),
    );
    let record = group::Record { intention, era: era::of(order), order };
    write_record(daemon, fx, database, &record, expected);
}

/// Discards calls and moves in progress from the store's earlier era.
pub fn on_era(daemon: &mut Daemon) {
    for tracker in daemon.failover.trackers.values_mut() {
        (tracker.call, tracker.attempt) = (None, None);
    }
}

/// The server promoted by a move that is missing from the restored store: the only one that
/// registers itself as primary, once all had time to do so.
pub(super) fn registered_target(
    daemon: &Daemon,
    now: Now,
    database: &id::Database,
) -> Option<Candidate> {
    let moved = daemon.groups.get(database)?.latest_move.as_ref()?;
    if !is_stale(daemon, moved) || !era::is_settled(daemon, now) {
        return None;
    }
    let servers = directory::servers(&daemon.directory, database);
    let mut leaders = servers.filter(|(_, entry)| entry.claims_primary && !entry.draining);
    let (server, entry) = leaders.next().filter(|_| leaders.next().is_none())?;
    Some(candidate(daemon, now, server, entry))
}
