//! Counting of operations against their workspace's rate, and the refusals that follow.

use super::{Request, refuse_with};
use crate::{
    effect::Effects,
    gossip,
    limit::{self, Refusal},
    line::Line,
    session::Transaction,
    state::State as Daemon,
    urgency::Urgency,
};
use gcl_core::{
    code::{Code, Fault},
    id,
    time::Now,
};

/// Labels of the counters, by the priority of the route. The last one is that of all lower
/// priorities, so that the number of time series is bounded.
const LABELS: [&str; 4] = ["0", "1", "2", "3 and lower"];

/// Counts the operation of a session's statement against its workspace's rate, once, and refuses
/// the statement if the rate does not allow it. Returns whether it may run.
pub(super) fn admit(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) -> bool {
    let Err(refusal) = charge_once(daemon, now, fx, session) else {
        return true;
    };
    let fault = Fault::new(Code::RateLimited, "the workspace is over its rate");
    let fault = fault.retry_after(refusal.retry_after);
    refuse_with(daemon, now, fx, session, fault, |line| describe(line, &refusal));
    false
}

/// Adds the inputs of a refusal to its line.
fn describe(line: Line, refusal: &Refusal) -> Line {
    let limit::Inputs { limit, quota, share, own, granted, fleet } = refusal.inputs;
    let line = line.with("rate", limit.rate).with("burst", limit.burst);
    let line = line.with("quota", format_args!("{quota:.1}"));
    let line = line.with("share", format_args!("{share:.1}")).with("own", own);
    let line = line.with("granted", granted);
    let line = line.with("others", format_args!("{:.1}", fleet.others.requested));
    let line = line.millis("others_age", fleet.oldest_report);
    line.with("sharing", fleet.members).with("reachable", fleet.reachable)
}

fn charge_once(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
) -> std::result::Result<(), Box<Refusal>> {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return Ok(());
    };
    let Some(request) = state.request.as_mut().filter(|request| !request.rate_counted) else {
        return Ok(());
    };
    request.rate_counted = true;
    if let Transaction::Open(open) = &mut state.transaction {
        open.rate_counted = true;
    }
    let Request { urgency, route, .. } = request;
    let (public, urgency, name) = (route.public, *urgency, state.workspace.clone());
    let workspace = daemon.config.as_ref().and_then(|config| config.workspaces.get(&name));
    let (false, Some(limit)) = (public, workspace.and_then(|workspace| workspace.limit)) else {
        return Ok(());
    };
    let fleet = gossip::fleet(daemon, now, &name);
    let bounds = &daemon.settings.bounds;
    let (acquired, announce) =
        daemon.limit.try_acquire(now.mono, bounds, (&name, urgency.route), limit, fleet);
    if announce {
        gossip::send_soon(daemon, now);
    }
    let counter = if acquired.is_ok() { "gcl_rate_granted" } else { "gcl_rate_refused" };
    fx.count(counter, label(urgency));
    acquired
}

fn label(urgency: Urgency) -> &'static str {
    let priority = usize::try_from(urgency.route).unwrap_or(usize::MAX);
    LABELS[priority.min(LABELS.len() - 1)]
}
