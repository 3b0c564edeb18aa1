//! Whether and when a request is tried again.

use super::{Stage, attempt, fate, outcome, place};
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

/// Wait before the first repeat; each further one doubles it.
const BACKOFF: Duration = Duration::from_millis(5);
/// Longest wait between two tries.
const BACKOFF_MAX: Duration = Duration::from_millis(200);
/// Part of a repeat that each new request earns.
const EARNED: f64 = 0.2;
/// Most repeats that can be saved up.
const SAVED: f64 = 100.0;

/// Bounds the repeats that overload causes to a share of the requests.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    repeats: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { repeats: SAVED }
    }
}

impl Budget {
    /// Counts a new request.
    pub fn earn(&mut self) {
        self.repeats = (self.repeats + EARNED).min(SAVED);
    }

    fn spend(&mut self) -> bool {
        let allowed = self.repeats >= 1.0;
        if allowed {
            self.repeats -= 1.0;
        }
        allowed
    }
}

/// What to do about a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// It is final.
    Final,
    /// Another try may go elsewhere or find the cause gone.
    Repeat,
    /// As `Repeat`, but it loads the servers further, so it costs budget.
    Costly,
    /// Another try has to run as a write.
    AsWrite,
    /// Another server has to serve it.
    Elsewhere,
}

const fn policy(code: Code) -> Policy {
    match code {
        Code::NoPrimary
        | Code::HomeLost
        | Code::RevisionMismatch
        | Code::RouteClosed
        | Code::Draining => Policy::Repeat,
        Code::ServerLost => Policy::Costly,
        Code::ReadOnly => Policy::AsWrite,
        Code::NoReplica => Policy::Elsewhere,
        _ => Policy::Final,
    }
}

/// Repeats a request that was not run, or gives its final refusal.
pub(super) fn after_refusal(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    fault: Fault,
) {
    let Some(pending) = daemon.request.pending.get_mut(&request) else { return };
    let within = daemon.request.open.contains_key(&pending.submit.session);
    let policy = if within { Policy::Final } else { policy(fault.code) };
    match policy {
        Policy::Final => outcome::finish(daemon, now, fx, request, Outcome::NotRun(fault)),
        Policy::Costly if !daemon.request.budget.spend() => {
            outcome::finish(daemon, now, fx, request, Outcome::NotRun(fault));
        }
        Policy::AsWrite if pending.writes => {
            outcome::finish(daemon, now, fx, request, Outcome::NotRun(fault));
        }
        Policy::AsWrite => {
            pending.writes = true;
            attempt::start(daemon, now, fx, request);
        }
        Policy::Elsewhere => {
            let (server, database) = (pending.server.clone(), pending.place.database.clone());
            pending.avoided.push(server.clone());
            group::avoid_replica(daemon, now, &database, &server);
            wait(daemon, now, fx, request, Outcome::NotRun(fault));
        }
        Policy::Repeat | Policy::Costly => {
            wait(daemon, now, fx, request, Outcome::NotRun(fault));
        }
    }
}

/// Has a request wait for its next try; one that cannot make its deadline ends at once with the
/// outcome of the last one.
pub(super) fn wait(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    last: Outcome,
) {
    let (Outcome::NotRun(fault) | Outcome::Unknown(fault)) = &last else { return };
    let Some(pending) = daemon.request.pending.get_mut(&request) else { return };
    let backoff = BACKOFF.saturating_mul(1 << pending.tries.min(8)).min(BACKOFF_MAX);
    pending.tries += 1;
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

/// Tries a request again.
pub fn on_retry(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let Some(pending) = daemon.request.pending.get(&request) else { return };
    match pending.stage {
        Stage::Waiting(_) => {}
        Stage::Asking => return fate::on_timer(daemon, now, fx, request),
        Stage::Admission | Stage::Sent => return,
    }
    match place(daemon, &pending.submit) {
        Ok(place) => {
            if let Some(pending) = daemon.request.pending.get_mut(&request) {
                pending.place = place;
            }
            attempt::start(daemon, now, fx, request);
        }
        Err(fault) => outcome::finish(daemon, now, fx, request, Outcome::NotRun(fault)),
    }
}

/// Tries again what waits for a leader of a database.
pub fn on_leader_change(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let pending = daemon.request.pending.iter();
    let waiting = pending.filter(|(_, pending)| {
        waits_for_leader(&pending.stage) && pending.place.database == *database
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
