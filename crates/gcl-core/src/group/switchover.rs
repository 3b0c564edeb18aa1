//! A planned change of primary.
//!
//! The home of the primary stops starting writes ("not run", come back soon), waits until the
//! commits under way are held and the next primary has the whole log, then fences all servers and
//! promotes. Writes that run longer than the drain end with the old term; nothing that was
//! acknowledged can be lost, because the promotion keeps to the rule of every promotion.

use super::{Group, Message, failover, is_home, note, report, servers, wake};
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

/// Time without a new commit after which no write is under way.
const QUIET: Duration = Duration::from_millis(10);
/// Longest wait for writes under way.
const DRAIN: Duration = Duration::from_millis(100);
/// Longest wait for the next primary to catch up.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Time between questions during the drain.
const POLL: Duration = Duration::from_millis(5);
/// Time between tries to move the primary off a server that is leaving.
const LEAVE_RETRY: Duration = Duration::from_secs(1);

/// A planned change under way.
#[derive(Clone, Debug)]
pub(super) struct Switch {
    to: id::Server,
    began: Duration,
    /// Questions above this id were asked after writes had stopped.
    after: id::Question,
    head: Mark,
    moved: Duration,
    polled: Duration,
}

/// Moves the primary of a database to another of its servers; the home of the primary does it.
///
/// # Errors
/// [`Code::NotFound`] when `to` is no server of the database, [`Code::NoPrimary`] when no primary
/// is known, [`Code::Conflict`] when a change is under way.
pub fn switch(
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
    begin(daemon, now, fx, database, to)
}

fn begin(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    to: &id::Server,
) -> Result<()> {
    let after = daemon.counters.question();
    let group = daemon.group.groups.entry(database.clone()).or_default();
    if group.switch.is_some() || group.failover.doubts() {
        return Err(Fault::new(Code::Conflict, "the primary is changing"));
    }
    let (head, moved, polled) = (Mark::default(), now.mono, now.mono);
    group.switch = Some(Switch { to: to.clone(), began: now.mono, after, head, moved, polled });
    note(daemon, fx, database, to, None, "planned change of primary begins");
    ask(daemon, now, fx, database);
    Ok(())
}

fn ask(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    for server in servers(daemon, database) {
        report::status(daemon, now, fx, &server);
    }
    wake(daemon, fx, database, now.mono + POLL);
}

/// Goes on with a planned change as reports come in.
pub(super) fn advance(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    if group.failover.busy() {
        return;
    }
    let Some(switch) = &group.switch else {
        return;
    };
    let (to, began) = (switch.to.clone(), switch.began);
    if ready(group, now) {
        return failover::attempt(daemon, now, fx, database, Some(to));
    }
    if now.since(began) > CATCH_UP {
        group.switch = None;
        note(daemon, fx, database, &to, None, "refused: the next primary did not catch up");
    }
}

/// Whether writes have ended, or had their time, and the next primary has the whole log.
fn ready(group: &mut Group, now: Now) -> bool {
    let Some(leader) = &group.leader else {
        return false;
    };
    let Some(switch) = &mut group.switch else {
        return false;
    };
    let fresh = |server: &id::Server| {
        let sight = group.reports.get(server).filter(|sight| sight.question > switch.after);
        sight.map(|sight| sight.report.received)
    };
    let (Some(head), Some(reached)) = (fresh(&leader.server), fresh(&switch.to)) else {
        return false;
    };
    if head != switch.head {
        switch.head = head;
        switch.moved = now.mono;
    }
    let quiet = now.since(switch.moved) >= QUIET && !group.round.holding();
    (quiet || now.since(switch.began) >= DRAIN) && reached >= head
}

/// Asks again during the drain.
pub(super) fn sweep(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    advance(daemon, now, fx, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    if group.failover.busy() {
        return;
    }
    let Some(switch) = &mut group.switch else {
        return;
    };
    if now.since(switch.polled) >= POLL {
        switch.polled = now.mono;
        ask(daemon, now, fx, database);
    } else {
        let due = switch.polled + POLL;
        wake(daemon, fx, database, due);
    }
}

/// Ends a planned change that a new leader has made.
pub(super) fn on_leader(daemon: &mut Daemon, database: &id::Database) {
    if let Some(group) = daemon.group.groups.get_mut(database) {
        group.switch = None;
    }
}

/// Moves the primary off a server that is leaving, to the most advanced that stays.
pub(super) fn leave(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(leader) = super::leader(daemon, database) else {
        return;
    };
    let stays = |server: &id::Server| {
        daemon.config.snapshot.server(server).is_some_and(|server| !server.leaving)
    };
    if stays(&leader.server) || !is_home(daemon, &leader.server) {
        return;
    }
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    if group.switch.is_some() || group.view.left.is_some_and(|at| now.since(at) < LEAVE_RETRY) {
        return;
    }
    let staying = group.reports.iter().filter(|(server, _)| stays(server));
    let best = staying.max_by_key(|(_, sight)| sight.report.received);
    let Some(to) = best.map(|(server, _)| server.clone()) else {
        return;
    };
    if let Some(group) = daemon.group.groups.get_mut(database) {
        group.view.left = Some(now.mono);
    }
    if let Err(fault) = begin(daemon, now, fx, database, &to) {
        note(daemon, fx, database, &to, None, fault.detail);
    }
}
