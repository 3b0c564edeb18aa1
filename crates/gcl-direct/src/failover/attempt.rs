//! A move run by this daemon, from the intention in the store to the promotion.

use super::{successor, tracker_mut};
use crate::{
    effect::{Effect, Effects},
    era, gossip,
    group::{self, Intention, Leader},
    line::Line,
    pool, quorum, revocation,
    state::State as Daemon,
    store::Topic,
    timer,
};
use gcl_core::{
    code::{Code, Fault},
    id,
    mark::Mark,
    store::Lease,
    time::Now,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Time after which a daemon that has neither acknowledged the move nor lost its lease has the
/// lease revoked.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which a promotion that has not taken effect is requested again.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum requests of one promotion before another server is chosen.
const MAX_REQUESTS: u32 = 3;
/// Maximum age of an intention whose promotion may be requested. Later, another daemon may replace
/// the intention.
const MAX_AGE: Duration = Duration::from_secs(15);
/// Time for the target to catch up with the positions that daemons saw at the old primary.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same in a planned move, whose old primary still sends its commits to the target.
const PLANNED_CATCH_UP_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for the target to catch up while another replica has received more.
const EXCHANGE_DELAY: Duration = Duration::from_millis(400);
/// Interval between checks of a move.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// State of a move run by this daemon.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    revision: id::Revision,
    started_at: Duration,
    /// Leases that this move revokes, with their daemons, once it has waited long enough.
    revoked: Option<IndexMap<Lease, id::Daemon>>,
    released_at: Option<Duration>,
    requested_at: Option<Duration>,
    accepted: bool,
    requests: u32,
}

impl Attempt {
    /// Starts a move whose intention is written.
    pub(super) const fn new(revision: id::Revision, started_at: Duration) -> Self {
        Self {
            revision,
            started_at,
            revoked: None,
            released_at: None,
            requested_at: None,
            accepted: false,
            requests: 0,
        }
    }
}

fn attempt_of<'a>(daemon: &'a mut Daemon, database: &id::Database) -> Option<&'a mut Attempt> {
    tracker_mut(daemon, database).attempt.as_mut()
}

/// Advances the move run by this daemon.
pub(super) fn advance(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(attempt) = attempt_of(daemon, database).cloned() else {
        return;
    };
    let Some(group) = daemon.groups.get(database) else {
        return;
    };
    let leader = group::leader(group, &daemon.directory, database);
    let own_released = group.released;
    let newest = group.latest_move.as_ref().filter(|moved| moved.revision == attempt.revision);
    let Some(to) = newest.map(|moved| moved.intention.to.clone()) else {
        tracker_mut(daemon, database).attempt = None;
        return;
    };
    if matches!(leader, Leader::Known(_)) {
        let line = Line::state_change("primary moved").with("database", database).with("to", &to);
        fx.log(line.millis("took", now.since(attempt.started_at)));
        fx.observe("gcl_failover_seconds", database, now.since(attempt.started_at));
        tracker_mut(daemon, database).attempt = None;
        return;
    }
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + CHECK_INTERVAL);
    let listed = daemon.watch.revision(Topic::Coordination) >= attempt.revision;
    // Daemons that are not listed yet in a new era may still use the old primary.
    if !listed
        || !era::is_settled(daemon, now)
        || !daemon.lease.is_valid(now.mono)
        || now.since(attempt.started_at) > MAX_AGE
    {
        return;
    }
    let waiting = unacknowledged(daemon, now, database, attempt.revision);
    let on_loan = !gossip::loans_ended(daemon, now, database, attempt.revision);
    if !waiting.is_empty() && now.since(attempt.started_at) >= REVOKE_TIMEOUT {
        revoke(daemon, now, fx, database, &waiting);
    }
    if !waiting.is_empty() || on_loan || !own_released {
        return;
    }
    if let Some(attempt) = attempt_of(daemon, database) {
        attempt.released_at.get_or_insert(now.mono);
    }
    promote(daemon, now, fx, database, &attempt);
}

/// Promotes the target of a move, whose old primary no daemon uses any more, once it has every commit
/// that daemons saw there. A target that lacks commits is exchanged for a replica that has more.
fn promote(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    attempt: &Attempt,
) {
    let moved = daemon.groups.get(database).and_then(|group| group.latest_move.as_ref());
    let Some(Intention { from, to, planned, .. }) = moved.map(|moved| moved.intention.clone())
    else {
        return;
    };
    let seen = newest_position(daemon, database, &from, attempt.revision);
    let received = successor::received(daemon, &to);
    let has_all = |daemon: &Daemon, server: &id::Server| {
        quorum::has_all_commits(daemon, database, server, attempt.released_at)
    };
    let proven = has_all(daemon, &to);
    if (received >= seen && proven) || attempt.requested_at.is_some() {
        return request_promotion(daemon, now, fx, database, attempt, to);
    }
    // The target lacks commits that daemons saw at the old primary, which may have failed meanwhile.
    if daemon.directory.contains_key(&from) {
        pool::poll_position(daemon, now, fx, &from);
    }
    let sends = planned && still_sends(daemon, now, &from);
    let timeout = if sends { PLANNED_CATCH_UP_TIMEOUT } else { CATCH_UP_TIMEOUT };
    let waited = attempt.released_at.map_or(Duration::ZERO, |at| now.since(at));
    quorum::poll(daemon, now, fx, database);
    let holder = successor::newest_holder(daemon, now, fx, database)
        .filter(|it| it.mark > received || (!proven && has_all(daemon, &it.server)))
        .filter(|it| it.server != to);
    let exchanges = holder.as_ref().is_some_and(|it| it.mark >= seen || !sends);
    let delay = if exchanges { EXCHANGE_DELAY } else { timeout };
    let in_flight = tracker_mut(daemon, database).call.is_some();
    if in_flight || waited < delay {
        return;
    }
    let undetermined = holder.is_none() && !proven;
    if !std::mem::replace(&mut tracker_mut(daemon, database).undetermined, undetermined) {
        let line = Line::state_change("successor lacks commits").with("database", database);
        let line = line.with("to", &to).mark("has", received).mark("seen", seen);
        fx.log(line.with("proven", proven));
    }
    match holder {
        Some(holder) => super::exchange_successor(daemon, now, fx, database, from, holder),
        None if proven => request_promotion(daemon, now, fx, database, attempt, to),
        None => {}
    }
}

/// Whether an old primary still works, so that it goes on to send its commits.
fn still_sends(daemon: &Daemon, now: Now, from: &str) -> bool {
    let health = daemon.pools.get(from).map(|pool| pool.health).unwrap_or_default();
    !super::is_failing(health, now.mono)
}

/// The newest log position that any daemon saw at the old primary, or at the last one that is known
/// if the move replaces one that did not complete.
fn newest_position(
    daemon: &Daemon,
    database: &id::Database,
    from: &id::Server,
    revision: id::Revision,
) -> Option<Mark> {
    let written = daemon.members.values().filter_map(|member| {
        let acknowledgement = member.record.acknowledged.get(database)?;
        acknowledgement.mark.filter(|_| acknowledgement.revision == revision)
    });
    let announced = daemon.gossip.acknowledged_mark(database, revision);
    successor::newest_position(daemon, database, from).max(written.max()).max(announced)
}

/// Daemons that may still use the old primary: those that have not acknowledged the move, listed or
/// not.
///
/// A restarted daemon counts as well, since its previous incarnation may have lent its authority.
fn unacknowledged(
    daemon: &Daemon,
    now: Now,
    database: &id::Database,
    revision: id::Revision,
) -> Vec<id::Daemon> {
    let listed = daemon.members.iter().map(|(name, other)| {
        let written = other.record.acknowledged.get(database).map_or(0, |it| it.revision);
        (name, other.record.incarnation, written)
    });
    let unlisted = revocation::unlisted_holders(daemon, now);
    let holders = listed.chain(unlisted.map(|(name, incarnation)| (name, incarnation, 0)));
    let others = holders.filter(|(name, ..)| **name != daemon.settings.daemon);
    let using = others.filter(|(name, incarnation, written)| {
        let announced = daemon.gossip.acknowledged(name, *incarnation, database);
        announced.revision.max(*written) < revision
    });
    using.map(|(name, ..)| name.clone()).collect()
}

/// Revokes the leases of the daemons that this move has waited for too long.
fn revoke(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    waiting: &[id::Daemon],
) {
    let listed = waiting.iter().filter_map(|name| Some((daemon.members.get(name)?.lease, name)));
    let listed: IndexMap<_, _> = listed.map(|(lease, name)| (lease, name.clone())).collect();
    if let Some(attempt) = attempt_of(daemon, database) {
        let revoked = attempt.revoked.get_or_insert(listed).clone();
        revocation::revoke(daemon, now, fx, &revoked);
    }
}

/// Requests the promotion, and repeats the request if it had no effect.
fn request_promotion(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    attempt: &Attempt,
    to: id::Server,
) {
    if attempt.requested_at.is_some_and(|at| now.since(at) < PROMOTION_TIMEOUT) {
        return;
    }
    let leads = daemon.directory.get(&to).is_some_and(|entry| entry.claims_primary);
    if attempt.accepted && leads {
        return complete_move(daemon, now, database, &to);
    }
    if attempt.requests >= MAX_REQUESTS {
        let line = Line::state_change("promotion had no effect").with("database", database);
        fx.log(line.with("to", &to).with("orders", attempt.requests));
        return super::replace_move(daemon, now, fx, database);
    }
    let line = Line::state_change("promotion ordered").with("database", database).with("to", &to);
    fx.log(line.with("fence", attempt.revision).millis("waited", now.since(attempt.started_at)));
    if let Some(attempt) = attempt_of(daemon, database) {
        attempt.requested_at = Some(now.mono);
        attempt.requests += 1;
    }
    fx.push(Effect::Promote { database: database.clone(), server: to, fence: attempt.revision });
}

/// Completes a move to a server that already registered itself as primary before its promotion was
/// requested: a promotion that was still due would have taken effect by now.
fn complete_move(daemon: &mut Daemon, now: Now, database: &id::Database, to: &id::Server) {
    let Some(group) = daemon.groups.get_mut(database) else {
        return;
    };
    let moved = group.latest_move.as_ref().filter(|moved| moved.intention.to == *to);
    if let Some(revision) = moved.map(|moved| moved.revision) {
        group.completed = revision;
        gossip::send_now(daemon, now);
    }
}

/// Handles the platform's response to a promotion request.
pub fn on_promoted(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    result: std::result::Result<(), Fault>,
) {
    let Err(fault) = result else {
        if let Some(attempt) = attempt_of(daemon, database) {
            attempt.accepted = true;
        }
        return fx.log(Line::state_change("promotion accepted").with("database", database));
    };
    let line = Line::state_change("promotion failed").with("database", database);
    fx.log(line.with("fault", &fault));
    if fault.code == Code::Conflict && daemon.lease.is_valid(now.mono) {
        return super::replace_move(daemon, now, fx, database);
    }
    if let Some(attempt) = attempt_of(daemon, database) {
        attempt.requested_at = Some(now.mono.saturating_sub(PROMOTION_TIMEOUT / 2));
    }
}
