//! Retries: whether and when a request is sent again.

use super::{Stage, attempt, fate, outcome, resolve_destination};
use crate::{
    code::{Code, Fault},
    effect::Effects,
    group, id,
    run::Outcome,
    state::State as Daemon,
    time::Now,
    timer,
};
use std::time::Duration;

/// Wait before the first retry, doubled for each further one.
const BACKOFF: Duration = Duration::from_millis(5);
/// Maximum wait between two attempts.
const BACKOFF_MAX: Duration = Duration::from_millis(200);
/// Retries that each new request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries that the budget can hold.
const MAX_SAVED_RETRIES: f64 = 100.0;

/// Limits retries that add load to a fraction of the requests, so that overload does not feed
/// itself.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    retries: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { retries: MAX_SAVED_RETRIES }
    }
}

impl Budget {
    /// Adds the share of a new request.
    pub fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    fn spend(&mut self) -> bool {
        let allowed = self.retries >= 1.0;
        if allowed {
            self.retries -= 1.0;
        }
        allowed
    }
}

/// How a refusal is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Reported to the caller.
    Final,
    /// Sent again: another home or server may run it, or the cause may have passed.
    Retry,
    /// As `Retry`, but it adds load to the servers, so it is charged to the budget.
    RetryWithBudget,
    /// Sent again as a write.
    RetryAsWrite,
    /// Sent again, to another server.
    RetryElsewhere,
}

const fn policy(code: Code) -> Policy {
    match code {
        Code::NoPrimary
        | Code::HomeLost
        | Code::RevisionMismatch
        | Code::RouteClosed
        | Code::Draining => Policy::Retry,
        Code::ServerLost => Policy::RetryWithBudget,
        Code::ReadOnly => Policy::RetryAsWrite,
        Code::NoReplica => Policy::RetryElsewhere,
        _ => Policy::Final,
    }
}

/// Resends a request that was not run, or reports its refusal.
pub(super) fn after_refusal(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    fault: Fault,
) {
    let Some(pending) = daemon.request.pending.get_mut(&request) else { return };
    let in_transaction = daemon.request.open_transactions.contains_key(&pending.submission.session);
    let policy = if in_transaction { Policy::Final } else { policy(fault.code) };
    match policy {
        Policy::Final => outcome::finish(daemon, now, fx, request, Outcome::NotRun(fault)),
        Policy::RetryWithBudget if !daemon.request.budget.spend() => {
            outcome::finish(daemon, now, fx, request, Outcome::NotRun(fault));
        }
        Policy::RetryAsWrite if pending.must_write => {
            outcome::finish(daemon, now, fx, request, Outcome::NotRun(fault));
        }
        Policy::RetryAsWrite => {
            pending.must_write = true;
            attempt::start(daemon, now, fx, request);
        }
        Policy::RetryElsewhere => {
            let (server, database) = (pending.server.clone(), pending.destination.database.clone());
            pending.excluded_servers.push(server.clone());
            group::avoid_replica(daemon, now, &database, &server);
            schedule(daemon, now, fx, request, Outcome::NotRun(fault));
        }
        Policy::Retry | Policy::RetryWithBudget => {
            schedule(daemon, now, fx, request, Outcome::NotRun(fault));
        }
    }
}

/// Schedules the next attempt of a request. If it would start after the deadline, the request ends
/// with the outcome of the last attempt.
pub(super) fn schedule(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    last: Outcome,
) {
    let (Outcome::NotRun(fault) | Outcome::Unknown(fault)) = &last else { return };
    let Some(pending) = daemon.request.pending.get_mut(&request) else { return };
    let backoff = BACKOFF.saturating_mul(1 << pending.retries.min(8)).min(BACKOFF_MAX);
    pending.retries += 1;
    let base = fault.retry_after.map_or(backoff, |after| after.clamp(BACKOFF, BACKOFF_MAX));
    let at = now.mono + daemon.random.jitter(base);
    if at >= pending.deadline {
        outcome::finish(daemon, now, fx, request, last);
        return;
    }
    fx.count("goldcrest_retries_total", fault.code.text().trim(), 1);
    pending.stage = Stage::Waiting(last);
    fx.arm(timer::Key::Retry(request), at);
}

/// Starts the next attempt of a request that waits for one.
pub fn on_retry(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let Some(pending) = daemon.request.pending.get(&request) else { return };
    match pending.stage {
        Stage::Waiting(_) => {}
        Stage::QueryingFate => return fate::on_timer(daemon, now, fx, request),
        Stage::Admission | Stage::Sent => return,
    }
    match resolve_destination(daemon, &pending.submission) {
        Ok(destination) => {
            if let Some(pending) = daemon.request.pending.get_mut(&request) {
                pending.destination = destination;
            }
            attempt::start(daemon, now, fx, request);
        }
        Err(fault) => outcome::finish(daemon, now, fx, request, Outcome::NotRun(fault)),
    }
}

/// Starts the next attempt of the requests that wait for a primary of a database.
pub fn on_leader_change(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let pending = daemon.request.pending.iter();
    let waiting = pending.filter(|(_, pending)| {
        waits_for_leader(&pending.stage) && pending.destination.database == *database
    });
    let requests: Vec<id::Request> = waiting.map(|(request, _)| *request).collect();
    for request in requests {
        fx.cancel(timer::Key::Retry(request));
        on_retry(daemon, now, fx, request);
    }
}

fn waits_for_leader(stage: &Stage) -> bool {
    matches!(stage, Stage::Waiting(Outcome::NotRun(fault)) if fault.code == Code::NoPrimary)
}
