//! The fate of requests whose answer was lost.
//!
//! A request that may safely run twice is sent again. For any other, the entry queries the home,
//! which either has the answer or ensures that the request can no longer start. If the home is
//! dead, the outcome is unknown.

use super::{Message, Stage, outcome, retry, send_message};
use crate::{
    code::{Code, Fault},
    effect::Effects,
    id, member,
    run::{Access, Outcome},
    state::State as Daemon,
    time::Now,
    timer,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Wait before a home is queried again.
const FATE_QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Fate of a request that its home has no answer for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It is queued or running; its answer will follow.
    Running,
    /// The home never started it, and will refuse the attempts that the question covers.
    NeverSeen,
    /// The home's history does not reach back that far, or the answer has been discarded: it may
    /// have run.
    Forgotten,
}

/// Handles the loss of the stream to a daemon: resolves the requests that were sent to it.
pub fn on_lost(daemon: &mut Daemon, now: Now, fx: &mut Effects, lost: &id::Daemon) {
    let pending = daemon.request.pending.iter();
    let sent = pending.filter(|(_, pending)| {
        pending.home == *lost && matches!(pending.stage, Stage::Sent | Stage::QueryingFate)
    });
    let requests: Vec<id::Request> = sent.map(|(request, _)| *request).collect();
    for request in requests {
        resolve_unanswered(daemon, now, fx, request);
    }
}

/// Resends a request whose answer may be lost, or queries its fate.
fn resolve_unanswered(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let Some(pending) = daemon.request.pending.get_mut(&request) else { return };
    let in_transaction = daemon.request.open_transactions.contains_key(&pending.submission.session);
    let fault = Fault::new(Code::OutcomeUnknown, "the home was lost while the request ran");
    if pending.is_repeatable() && !in_transaction {
        return retry_later(daemon, now, fx, request, fault);
    }
    pending.stage = Stage::QueryingFate;
    let home = pending.home.clone();
    let (attempt, age) = (pending.attempt, now.since(pending.submitted));
    if member::is_alive(daemon, &home) {
        fx.arm(timer::Key::Retry(request), now.mono + FATE_QUERY_INTERVAL);
        send_message(daemon, fx, &home, Message::AskFate { request, attempt, age });
    } else {
        outcome::finish(daemon, now, fx, request, Outcome::Unknown(fault));
    }
}

/// Handles the timer of a fate query: sends it again.
pub(super) fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    resolve_unanswered(daemon, now, fx, request);
}

/// Handles a home's report of a request's fate.
pub(super) fn on_fate(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    request: id::Request,
    fate: Fate,
) {
    let Some(pending) = daemon.request.pending.get_mut(&request) else { return };
    if pending.home != *from || pending.stage != Stage::QueryingFate {
        return;
    }
    fx.cancel(timer::Key::Retry(request));
    match fate {
        Fate::Running => pending.stage = Stage::Sent,
        Fate::NeverSeen => {
            let fault = Fault::new(Code::HomeLost, "the request never reached its home");
            retry::after_refusal(daemon, now, fx, request, fault);
        }
        Fate::Forgotten => {
            let fault = Fault::new(Code::OutcomeUnknown, "the home no longer knows the request");
            after_unknown(daemon, now, fx, request, fault);
        }
    }
}

/// Resends a request of unknown outcome if that is safe, else reports the outcome as unknown.
pub(super) fn after_unknown(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    fault: Fault,
) {
    let Some(pending) = daemon.request.pending.get_mut(&request) else { return };
    if matches!(pending.access, Some(Access::Replica { .. })) {
        pending.excluded_servers.push(pending.server.clone());
    }
    let in_transaction = daemon.request.open_transactions.contains_key(&pending.submission.session);
    let ran = fault.code == Code::AnswerTooLarge;
    if pending.is_repeatable() && !in_transaction && !ran {
        retry_later(daemon, now, fx, request, fault);
    } else {
        outcome::finish(daemon, now, fx, request, Outcome::Unknown(fault));
    }
}

fn retry_later(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    fault: Fault,
) {
    if let Some(pending) = daemon.request.pending.get_mut(&request) {
        pending.unknown_fault = Some(fault.clone());
    }
    retry::schedule(daemon, now, fx, request, Outcome::Unknown(fault));
}
