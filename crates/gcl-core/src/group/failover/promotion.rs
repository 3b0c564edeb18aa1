//! An attempt to promote a primary: fences a majority and promotes its most advanced server.

use super::{Attempt, BACKOFF, PLANNED_STEP_TIMEOUT, STEP_TIMEOUT};
use crate::{
    effect::Effects,
    group::{
        is_majority, record_failover,
        report::{self, Pending, Purpose},
        schedule_timer, servers,
    },
    id,
    server::{Ask, Failure, Report, Role},
    state::State as Daemon,
    time::Now,
    timer,
};
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;

/// Starts an attempt: fences all servers at a term above every known term.
pub(in crate::group) fn start_attempt(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    preferred: Option<id::Server>,
) {
    let servers = servers(daemon, database);
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let old_leader = group.leader.clone();
    let known = group.reports.values().map(|observation| observation.report.term);
    let term = known.chain(old_leader.as_ref().map(|old| old.term)).max().unwrap_or(0) + 1;
    let step = if preferred.is_some() { PLANNED_STEP_TIMEOUT } else { STEP_TIMEOUT };
    group.failover.attempt = Some(Attempt {
        term,
        started_at: now.mono,
        old_leader,
        preferred,
        fenced: IndexMap::default(),
        pending: servers.len(),
        promoted: None,
    });
    fx.arm(timer::Key::Failover(database.clone()), now.mono + step);
    for server in servers {
        record_failover(daemon, fx, database, &server, Some(term), "fence");
        report::ask(daemon, now, fx, &server, Ask::Fence(term), Purpose::Fence(term));
    }
}

/// Handles the answer to a fence.
pub(in crate::group) fn on_fence(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Pending,
    term: id::Term,
    result: Result<Report, Failure>,
) {
    let database = &asked.database;
    let size = servers(daemon, database).len();
    let Some(attempt) = attempt_at(daemon, database, term) else {
        return;
    };
    attempt.pending = attempt.pending.saturating_sub(1);
    if let Ok(report) = result {
        attempt.fenced.insert(asked.server.clone(), report.received);
    }
    let fenced_majority = is_majority(attempt.fenced.len(), size);
    let must_wait = attempt.preferred.is_some() && attempt.pending > 0;
    if attempt.promoted.is_some() || must_wait {
        return;
    }
    if fenced_majority {
        promote(daemon, now, fx, database);
    } else if !is_majority(attempt.fenced.len() + attempt.pending, size) {
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

/// Promotes one of the fenced servers.
pub(super) fn promote(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(server) = select_candidate(daemon, database) else {
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
    record_failover(daemon, fx, database, &server, Some(term), reason);
    fx.arm(timer::Key::Failover(database.clone()), now.mono + STEP_TIMEOUT);
    report::ask(daemon, now, fx, &server, Ask::Promote(term), Purpose::Promote(term));
}

/// Selects the server to promote: the preferred one if it is at least as advanced as a fenced
/// majority, otherwise the most advanced. Among equals it prefers a server that is not leaving,
/// then one that responds and is not the old primary, then one in the old primary's region.
fn select_candidate(daemon: &Daemon, database: &id::Database) -> Option<id::Server> {
    let size = daemon.config.snapshot.group(database).len();
    let group = daemon.group.groups.get(database)?;
    let attempt = group.failover.attempt.as_ref()?;
    if let Some((preferred, mark)) =
        attempt.preferred.as_ref().and_then(|p| attempt.fenced.get_key_value(p))
    {
        let behind = attempt.fenced.values().filter(|fenced| *fenced <= mark).count();
        if is_majority(behind, size) {
            return Some(preferred.clone());
        }
    }
    let snapshot = &daemon.config.snapshot;
    let domain = |server: &id::Server| snapshot.server(server).map_or("", |server| &server.domain);
    let old = attempt.old_leader.as_ref().map(|old| &old.server);
    let region = old.map(|old| snapshot.region(domain(old)));
    let preference = |server: &id::Server| {
        let stays = snapshot.server(server).is_some_and(|server| !server.leaving);
        let responsive = !group.watch.unanswered.contains_key(server) && old != Some(server);
        (stays, responsive, Some(snapshot.region(domain(server))) == region)
    };
    let best = attempt.fenced.iter().max_by_key(|(server, mark)| (**mark, preference(server)));
    best.map(|(server, _)| server.clone())
}

/// Handles the answer to a promotion. If the server accepted, its report has already made it the
/// leader.
pub(in crate::group) fn on_promote(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    asked: &Pending,
    term: id::Term,
    result: Result<Report, Failure>,
) {
    if attempt_at(daemon, &asked.database, term).is_none() {
        return;
    }
    let promoted = result.is_ok_and(|report| report.role == Role::Primary && report.term == term);
    if !promoted {
        back_off(daemon, now, fx, &asked.database, "the promotion was not confirmed");
    }
}

/// Abandons the suspicion or the attempt and waits before the next one.
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
    group.failover.suspicion = None;
    let attempt = group.failover.attempt.take();
    group.switchover = None;
    group.failover.backoff_until = now.mono + pause;
    let term = attempt.map(|attempt| attempt.term);
    let server = group.leader.as_ref().map(|leader| leader.server.clone()).unwrap_or_default();
    record_failover(daemon, fx, database, &server, term, format_compact!("refused: {reason}"));
    fx.cancel(timer::Key::Failover(database.clone()));
    schedule_timer(daemon, fx, database, now.mono + pause);
}
