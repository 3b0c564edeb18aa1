//! Switchover: a planned change of primary.
//!
//! The home of the primary stops starting writes (they are refused as not run, with a retry hint),
//! waits until commits in progress are held by a majority and the new primary has the whole log,
//! then fences all servers and promotes. Writes that outlast the drain fail with the old term. No
//! acknowledged write can be lost, because the promotion follows the same rule as every other.

use super::{Group, Message, failover, is_home, record_failover, report, schedule_timer, servers};
use crate::{
    code::{Code, Fault, Result},
    effect::Effects,
    id,
    mark::Mark,
    member, peer,
    state::State as Daemon,
    time::Now,
};
use std::time::Duration;

/// Time without a new commit after which writes are assumed to have ended.
const QUIET_TIME: Duration = Duration::from_millis(10);
/// Maximum wait for writes in progress.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum wait for the new primary to catch up.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the servers are polled during the drain.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time between attempts to move the primary off a server that is leaving.
const LEAVE_RETRY: Duration = Duration::from_secs(1);

/// A switchover in progress.
#[derive(Clone, Debug)]
pub(super) struct Switchover {
    to: id::Server,
    started_at: Duration,
    /// Questions above this id were asked after new writes had been stopped.
    after: id::Question,
    head: Mark,
    head_changed_at: Duration,
    polled_at: Duration,
}

/// Moves the primary of a database to another of its servers. The request is forwarded to the home
/// of the primary, which carries it out.
///
/// # Errors
/// [`Code::NotFound`] when `to` is not a server of the database, [`Code::NoPrimary`] when no
/// primary is known, [`Code::HomeLost`] when the primary has no home, [`Code::Conflict`] when a
/// change of primary is in progress.
pub fn switch_over(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    to: &id::Server,
) -> Result<()> {
    if !daemon.config.snapshot.group(database).contains(to) {
        return Err(Fault::new(Code::NotFound, "the database has no such server"));
    }
    let leader = super::leader(daemon, database)
        .ok_or_else(|| Fault::new(Code::NoPrimary, "no primary is known"))?;
    if leader.server == *to {
        return Ok(());
    }
    if !is_home(daemon, &leader.server) {
        let home = member::home(daemon, &leader.server)
            .ok_or_else(|| Fault::new(Code::HomeLost, "the primary has no home"))?;
        let message = Message::Switch { database: database.clone(), to: to.clone() };
        member::send(daemon, fx, &home, peer::Message::Group(message));
        return Ok(());
    }
    start(daemon, now, fx, database, to)
}

fn start(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    to: &id::Server,
) -> Result<()> {
    let after = daemon.counters.question();
    let group = daemon.group.groups.entry(database.clone()).or_default();
    if group.switchover.is_some() || group.failover.is_active() {
        return Err(Fault::new(Code::Conflict, "the primary is changing"));
    }
    let (head, head_changed_at, polled_at) = (Mark::default(), now.mono, now.mono);
    group.switchover = Some(Switchover {
        to: to.clone(),
        started_at: now.mono,
        after,
        head,
        head_changed_at,
        polled_at,
    });
    record_failover(daemon, fx, database, to, None, "planned change of primary begins");
    poll_servers(daemon, now, fx, database);
    Ok(())
}

fn poll_servers(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    for server in servers(daemon, database) {
        report::poll_status(daemon, now, fx, &server);
    }
    schedule_timer(daemon, fx, database, now.mono + POLL_INTERVAL);
}

/// Advances the switchover based on the current reports.
pub(super) fn advance(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    if group.failover.is_attempting() {
        return;
    }
    let Some(switchover) = &group.switchover else {
        return;
    };
    let (to, started_at) = (switchover.to.clone(), switchover.started_at);
    if is_ready(group, now) {
        return failover::start_attempt(daemon, now, fx, database, Some(to));
    }
    if now.since(started_at) > CATCH_UP_TIMEOUT {
        group.switchover = None;
        record_failover(
            daemon,
            fx,
            database,
            &to,
            None,
            "refused: the next primary did not catch up",
        );
    }
}

/// Whether writes have ended or had the drain time to do so, and the new primary has the whole log.
fn is_ready(group: &mut Group, now: Now) -> bool {
    let Some(leader) = &group.leader else {
        return false;
    };
    let Some(switchover) = &mut group.switchover else {
        return false;
    };
    let received_since_start = |server: &id::Server| {
        let observation =
            group.reports.get(server).filter(|observation| observation.question > switchover.after);
        observation.map(|observation| observation.report.received)
    };
    let (Some(head), Some(reached)) =
        (received_since_start(&leader.server), received_since_start(&switchover.to))
    else {
        return false;
    };
    if head != switchover.head {
        switchover.head = head;
        switchover.head_changed_at = now.mono;
    }
    let writes_ended =
        now.since(switchover.head_changed_at) >= QUIET_TIME && !group.quorum.has_commit_waits();
    (writes_ended || now.since(switchover.started_at) >= DRAIN_TIMEOUT) && reached >= head
}

/// Handles the group's timer: polls the servers during the drain.
pub(super) fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    advance(daemon, now, fx, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    if group.failover.is_attempting() {
        return;
    }
    let Some(switchover) = &mut group.switchover else {
        return;
    };
    if now.since(switchover.polled_at) >= POLL_INTERVAL {
        switchover.polled_at = now.mono;
        poll_servers(daemon, now, fx, database);
    } else {
        let due = switchover.polled_at + POLL_INTERVAL;
        schedule_timer(daemon, fx, database, due);
    }
}

/// Ends the switchover once there is a new leader.
pub(super) fn on_leader(daemon: &mut Daemon, database: &id::Database) {
    if let Some(group) = daemon.group.groups.get_mut(database) {
        group.switchover = None;
    }
}

/// Moves the primary off a server that is leaving, to the most advanced server that is not.
pub(super) fn move_off_leaving(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
) {
    let Some(leader) = super::leader(daemon, database) else {
        return;
    };
    let is_staying = |server: &id::Server| {
        daemon.config.snapshot.server(server).is_some_and(|server| !server.leaving)
    };
    if is_staying(&leader.server) || !is_home(daemon, &leader.server) {
        return;
    }
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    if group.switchover.is_some()
        || group.view.leave_attempted_at.is_some_and(|at| now.since(at) < LEAVE_RETRY)
    {
        return;
    }
    let staying = group.reports.iter().filter(|(server, _)| is_staying(server));
    let best = staying.max_by_key(|(_, observation)| observation.report.received);
    let Some(to) = best.map(|(server, _)| server.clone()) else {
        return;
    };
    if let Some(group) = daemon.group.groups.get_mut(database) {
        group.view.leave_attempted_at = Some(now.mono);
    }
    if let Err(fault) = start(daemon, now, fx, database, &to) {
        record_failover(daemon, fx, database, &to, None, fault.detail);
    }
}
