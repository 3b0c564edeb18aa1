//! `config/wait`: waits until a revision is in force in every known live daemon.

use super::{
    api::{Lagging, Wait},
    json, parameter,
};
use crate::{
    code::{Code, Fault, Result},
    config::propagation,
    effect::Effects,
    id,
    operator::{Request, Response},
    state::State as Daemon,
    time::Now,
    timer,
};
use std::time::Duration;

/// Time between two rounds of polls.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait.
const MAX_WAIT: Duration = Duration::from_secs(25);
/// Wait if the parameter is missing.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// Most requests that wait at once.
const MAX_WAITERS: usize = 64;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    revision: id::Revision,
    until: Duration,
}

/// Starts to wait.
pub fn start(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    request: &Request,
) -> Result<()> {
    let number = |name| {
        let text = parameter(request, name);
        let fault = || Fault::new(Code::BadOption, format!("{name} is not a number"));
        if text.is_empty() { Ok(None) } else { text.parse().map(Some).map_err(|_bad| fault()) }
    };
    let revision = number("revision")?.unwrap_or(daemon.config.applied);
    let wait = number("timeout_ms")?.map_or(DEFAULT_WAIT, Duration::from_millis);
    let until = now.mono + wait.min(MAX_WAIT);
    if daemon.operation.waiters.len() >= MAX_WAITERS {
        return Err(Fault::new(Code::TooManyConnections, "too many operators are waiting"));
    }
    daemon.operation.waiters.insert(operation, Waiter { revision, until });
    on_timer(daemon, now, fx, operation);
    Ok(())
}

/// Polls the daemons that are behind, or answers the request.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, operation: id::Operation) {
    let Some(waiter) = daemon.operation.waiters.get(&operation).cloned() else {
        return;
    };
    let behind = lagging(daemon, waiter.revision);
    if behind.is_empty() || now.mono >= waiter.until {
        daemon.operation.waiters.swap_remove(&operation);
        let in_force = behind.is_empty();
        let answer = Wait { revision: waiter.revision, in_force, behind };
        fx.answer(operation, Response::Json(json(&answer)));
        return;
    }
    for other in behind {
        propagation::poll(daemon, now, fx, &other.daemon);
    }
    fx.arm(timer::Key::Operation(operation), now.mono + POLL_INTERVAL);
}

fn lagging(daemon: &Daemon, revision: id::Revision) -> Vec<Lagging> {
    let me = &daemon.settings.daemon;
    let own = (me.clone(), Some(daemon.config.snapshot.revision));
    let live = daemon.member.members.values().filter(|member| member.alive);
    let others = live
        .map(|member| (member.daemon.clone(), propagation::revision_of(daemon, &member.daemon)));
    let all = std::iter::once(own).chain(others);
    let lagging = all.filter(|(_, held)| held.is_none_or(|held| held < revision));
    lagging.map(|(daemon, revision)| Lagging { daemon, revision }).collect()
}
