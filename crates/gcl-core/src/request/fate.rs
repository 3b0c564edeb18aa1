//! The fate of requests whose answer was lost.
//!
//! A request that does no harm when it runs twice is simply tried again. For any other the entry
//! asks its home, which either knows the answer or makes sure that the request can no longer
//! start. While the home cannot be asked, the outcome stays unknown.

use super::{Message, Stage, outcome, retry, tell};
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

/// Wait before a home is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// What a home knows of a request that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It is queued or running; its answer will come.
    Running,
    /// It was never started here, and the tries asked about can no longer be.
    NeverSeen,
    /// The home does not remember so far back, or no longer has the answer: it may have run.
    Forgotten,
}

/// Resolves what was sent to a daemon whose stream broke.
pub fn on_lost(daemon: &mut Daemon, now: Now, fx: &mut Effects, lost: &id::Daemon) {
    let pending = daemon.request.pending.iter();
    let sent = pending.filter(|(_, pending)| {
        pending.home == *lost && matches!(pending.stage, Stage::Sent | Stage::Asking)
    });
    let requests: Vec<id::Request> = sent.map(|(request, _)| *request).collect();
    for request in requests {
        resolve(daemon, now, fx, request);
    }
}

/// Resolves a request whose answer may be lost.
fn resolve(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let Some(pending) = daemon.request.pending.get_mut(&request) else { return };
    let within = daemon.request.open.contains_key(&pending.submit.session);
    let fault = Fault::new(Code::OutcomeUnknown, "the home was lost while the request ran");
    if pending.harmless_twice() && !within {
        return again(daemon, now, fx, request, fault);
    }
    pending.stage = Stage::Asking;
    let home = pending.home.clone();
    let (attempt, age) = (pending.attempt, now.since(pending.submitted));
    if member::is_alive(daemon, &home) {
        fx.arm(timer::Key::Retry(request), now.mono + ASK_AGAIN);
        tell(daemon, fx, &home, Message::AskFate { request, attempt, age });
    } else {
        outcome::finish(daemon, now, fx, request, Outcome::Unknown(fault));
    }
}

/// Asks again for the fate of a request.
pub(super) fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    resolve(daemon, now, fx, request);
}

/// Takes a home's word on the fate of a request.
pub(super) fn on_fate(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    request: id::Request,
    fate: Fate,
) {
    let Some(pending) = daemon.request.pending.get_mut(&request) else { return };
    if pending.home != *from || pending.stage != Stage::Asking {
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

/// Repeats a request whose outcome its home cannot tell, if that does no harm.
pub(super) fn after_unknown(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    fault: Fault,
) {
    let Some(pending) = daemon.request.pending.get_mut(&request) else { return };
    if matches!(pending.access, Some(Access::Replica { .. })) {
        pending.avoided.push(pending.server.clone());
    }
    let within = daemon.request.open.contains_key(&pending.submit.session);
    let ran = fault.code == Code::AnswerTooLarge;
    if pending.harmless_twice() && !within && !ran {
        again(daemon, now, fx, request, fault);
    } else {
        outcome::finish(daemon, now, fx, request, Outcome::Unknown(fault));
    }
}

fn again(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request, fault: Fault) {
    if let Some(pending) = daemon.request.pending.get_mut(&request) {
        pending.doubt = Some(fault.clone());
    }
    retry::wait(daemon, now, fx, request, Outcome::Unknown(fault));
}
