//! One attempt at a new primary: fence a majority, promote the most advanced of it.

use super::{Attempt, BACKOFF, STEP, STEP_PLANNED};
use crate::{
    effect::Effects,
    group::{
        majority, note,
        report::{self, Asked, Purpose},
        servers, wake,
    },
    id,
    server::{Ask, Refusal, Report, Role},
    state::State as Daemon,
    time::Now,
    timer,
};
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;

/// Fences all servers at a term above every term seen.
pub(in crate::group) fn attempt(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    prefer: Option<id::Server>,
) {
    let servers = servers(daemon, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let old = group.leader.clone();
    let known = group.reports.values().map(|sight| sight.report.term);
    let term = known.chain(old.as_ref().map(|old| old.term)).max().unwrap_or(0) + 1;
    let step = if prefer.is_some() { STEP_PLANNED } else { STEP };
    group.failover.attempt = Some(Attempt {
        term,
        began: now.mono,
        old,
        prefer,
        fenced: IndexMap::default(),
        open: servers.len(),
        promoted: None,
    });
    fx.arm(timer::Key::Failover(database.clone()), now.mono + step);
    for server in servers {
        note(daemon, fx, database, &server, Some(term), "fence");
        report::ask(daemon, now, fx, &server, Ask::Fence(term), Purpose::Fence(term));
    }
}

/// Takes the answer to a fence.
pub(in crate::group) fn on_fence(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Asked,
    term: id::Term,
    result: Result<Report, Refusal>,
) {
    let database = &asked.database;
    let size = servers(daemon, database).len();
    let Some(attempt) = attempt_at(daemon, database, term) else {
        return;
    };
    attempt.open = attempt.open.saturating_sub(1);
    if let Ok(report) = result {
        attempt.fenced.insert(asked.server.clone(), report.received);
    }
    let enough = majority(attempt.fenced.len(), size);
    let waits = attempt.prefer.is_some() && attempt.open > 0;
    if attempt.promoted.is_some() || waits {
        return;
    }
    if enough {
        promote(daemon, now, fx, database);
    } else if !majority(attempt.fenced.len() + attempt.open, size) {
        back_off(daemon, now, fx, database, "no majority took the fence");
    }
}

fn attempt_at<'a>(
    daemon: &'a mut Daemon,
    database: &id::Database,
    term: id::Term,
) -> Option<&'a mut Attempt> {
    let group = daemon.group.groups.get_mut(database)?;
    group.failover.attempt.as_mut().filter(|attempt| attempt.term == term)
}

/// Promotes the most advanced of the fenced servers.
pub(super) fn promote(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(server) = pick(daemon, database) else {
        return back_off(daemon, now, fx, database, "no server can be promoted");
    };
    let group = daemon.group.groups.get_mut(database);
    let Some(attempt) = group.and_then(|group| group.failover.attempt.as_mut()) else {
        return;
    };
    attempt.promoted = Some(server.clone());
    let (term, mark) = (attempt.term, attempt.fenced[&server]);
    let reason: CompactString =
        format_compact!("promote the most advanced, at {} of term {}", mark.position, mark.term);
    note(daemon, fx, database, &server, Some(term), reason);
    fx.arm(timer::Key::Failover(database.clone()), now.mono + STEP);
    report::ask(daemon, now, fx, &server, Ask::Promote(term), Purpose::Promote(term));
}

/// The server to promote: the planned one if a fenced majority holds nothing beyond it, else the
/// most advanced; among equals one that stays, answers, and lies in the old primary's region.
fn pick(daemon: &Daemon, database: &id::Database) -> Option<id::Server> {
    let size = daemon.config.snapshot.group(database).len();
    let group = daemon.group.groups.get(database)?;
    let attempt = group.failover.attempt.as_ref()?;
    if let Some((prefer, mark)) =
        attempt.prefer.as_ref().and_then(|p| attempt.fenced.get_key_value(p))
    {
        let behind = attempt.fenced.values().filter(|fenced| *fenced <= mark).count();
        if majority(behind, size) {
            return Some(prefer.clone());
        }
    }
    let snapshot = &daemon.config.snapshot;
    let domain = |server: &id::Server| snapshot.server(server).map_or("", |server| &server.domain);
    let old = attempt.old.as_ref().map(|old| &old.server);
    let region = old.map(|old| snapshot.region(domain(old)));
    let preference = |server: &id::Server| {
        let stays = snapshot.server(server).is_some_and(|server| !server.leaving);
        let steady = !group.watch.silent.contains_key(server) && old != Some(server);
        (stays, steady, Some(snapshot.region(domain(server))) == region)
    };
    let best = attempt.fenced.iter().max_by_key(|(server, mark)| (**mark, preference(server)));
    best.map(|(server, _)| server.clone())
}

/// Takes the answer to a promotion; its report already made the server the leader if it agreed.
pub(in crate::group) fn on_promote(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Asked,
    term: id::Term,
    result: Result<Report, Refusal>,
) {
    if attempt_at(daemon, &asked.database, term).is_none() {
        return;
    }
    let promoted = result.is_ok_and(|report| report.role == Role::Primary && report.term == term);
    if !promoted {
        back_off(daemon, now, fx, &asked.database, "the promotion was not confirmed");
    }
}

/// Gives up a doubt or a promotion for a while.
pub(super) fn back_off(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    reason: &str,
) {
    let pause = daemon.random.jitter(BACKOFF);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    group.failover.doubt = None;
    let attempt = group.failover.attempt.take();
    group.switch = None;
    group.failover.backoff = now.mono + pause;
    let term = attempt.map(|attempt| attempt.term);
    let server = group.leader.as_ref().map(|leader| leader.server.clone()).unwrap_or_default();
    note(daemon, fx, database, &server, term, format_compact!("refused: {reason}"));
    fx.cancel(timer::Key::Failover(database.clone()));
    wake(daemon, fx, database, now.mono + pause);
}
