//! What a daemon may conclude about a move from its own view of the store, which may be older than
//! that of the daemon that moves the primary.

use super::{ORPHAN_TIMEOUT, TAKEOVER_TIMEOUT, is_checker, tracker_mut};
use crate::{
    effect::Effects,
    era,
    group::{self, Move},
    line::Line,
    revocation,
    state::State as Daemon,
    store::Topic,
    watch,
};
use gcl_core::{id, time::Now};

/// Whether this daemon's view of the store is recent enough to decide a move. An older one lacks
/// servers and moves that others know, and two daemons would replace each other's moves.
pub(super) fn may_decide(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
) -> bool {
    let current = watch::is_current(daemon, now);
    let view_age = watch::view_age(daemon, now);
    let deferred = &mut tracker_mut(daemon, database).deferred;
    if !current && !std::mem::replace(deferred, true) {
        let line = Line::state_change("move deferred").with("database", database);
        fx.log(line.millis("view_age", view_age));
        fx.count("gcl_moves_deferred", database);
    }
    *deferred = !current;
    current
}

/// Whether a move does not complete.
pub(super) fn is_stalled(daemon: &Daemon, now: Now, group: &group::Group) -> bool {
    let Some(moved) = &group.latest_move else {
        return false;
    };
    let age = now.since(moved.seen);
    if is_stale(daemon, moved) {
        return age >= ORPHAN_TIMEOUT;
    }
    let by = &moved.intention.by;
    // An unlisted daemon that does not know of its revocation may still request the promotion.
    let orphaned = match daemon.members.get(by) {
        Some(member) => member.record.incarnation != moved.intention.incarnation,
        None => !revocation::may_be_unaware(daemon, now, by),
    };
    (orphaned || is_target_gone(daemon, moved)) && age >= ORPHAN_TIMEOUT || age >= TAKEOVER_TIMEOUT
}

/// Whether the target of a move has no entry in a view of the servers that is newer than the move. In
/// an older one it may be missing because this daemon has not heard of it.
fn is_target_gone(daemon: &Daemon, moved: &Move) -> bool {
    !daemon.directory.contains_key(&moved.intention.to)
        && daemon.watch.revision(Topic::Servers) >= moved.revision
}

/// Reads the servers if the target of a move has been unknown for a while.
pub(super) fn refresh_target(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
) {
    let moved = daemon.groups.get(database).and_then(|group| group.latest_move.as_ref());
    let unknown = moved.is_some_and(|moved| {
        now.since(moved.seen) >= ORPHAN_TIMEOUT
            && !daemon.directory.contains_key(&moved.intention.to)
            && !is_target_gone(daemon, moved)
    });
    if unknown && is_checker(daemon, database) && daemon.watch.is_complete() {
        watch::refresh_servers(daemon, now, fx);
    }
}

/// Whether a move started in an earlier era of the store. Its promotion is no longer requested: a
/// daemon that has not received the move may have started another with a higher fencing token.
pub(super) fn is_stale(daemon: &Daemon, moved: &Move) -> bool {
    era::of(moved.revision) < daemon.era.current
}
