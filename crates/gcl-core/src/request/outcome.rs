//! How a request ends: exactly one outcome reaches its session.

use super::{Message, Pending, Stage, fate, retry, tell, transaction};
use crate::{
    batch::Status,
    code::{Code, Fault},
    effect::Effects,
    group, id,
    record::{self, Line},
    run::{Access, Answer, Outcome},
    session,
    state::State as Daemon,
    time::Now,
    timer,
};

/// Takes a home's answer.
pub fn on_answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    answer: Answer,
) {
    let Answer { request, attempt, outcome, leader, .. } = answer;
    let Some(pending) = daemon.request.pending.get_mut(&request) else {
        return discard(daemon, fx, from, request, &outcome);
    };
    if pending.attempt != attempt || !matches!(pending.stage, Stage::Sent | Stage::Asking) {
        return discard(daemon, fx, from, request, &outcome);
    }
    let database = pending.place.database.clone();
    if let Some(leader) = leader {
        group::on_leader(daemon, &database, leader);
    }
    match outcome {
        Outcome::NotRun(fault) => retry::after_refusal(daemon, now, fx, request, fault),
        Outcome::Unknown(fault) => fate::after_unknown(daemon, now, fx, request, fault),
        Outcome::Done { .. } => finish(daemon, now, fx, request, outcome),
    }
}

/// Drops a late or repeated answer; a transaction that it opened is rolled back.
fn discard(
    daemon: &Daemon,
    fx: &mut Effects,
    from: &id::Daemon,
    request: id::Request,
    outcome: &Outcome,
) {
    let opened = matches!(outcome, Outcome::Done { status: Status::Open | Status::Failed, .. });
    let known = daemon.request.open.values();
    let in_use = known.into_iter().any(|open| open.transaction == request && open.home == *from);
    if opened && !in_use {
        tell(daemon, fx, from, Message::Release(request));
    }
}

/// Gives a request its outcome.
pub(super) fn finish(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    outcome: Outcome,
) {
    let Some(pending) = daemon.request.pending.swap_remove(&request) else { return };
    let outcome = truthful(&pending, outcome);
    fx.cancel(timer::Key::Deadline(request));
    if matches!(pending.stage, Stage::Waiting(_)) {
        fx.cancel(timer::Key::Retry(request));
    }
    let access = pending.access.unwrap_or(Access::Write);
    transaction::track(daemon, fx, request, &pending, access, &outcome);
    report(now, fx, request, &pending, &outcome);
    let session = pending.submit.session;
    session::on_outcome(daemon, now, fx, session, &pending.place.database, outcome);
}

/// The refusal of the last try says nothing about an earlier one that may have run.
fn truthful(pending: &Pending, outcome: Outcome) -> Outcome {
    match (&pending.doubt, outcome) {
        (Some(doubt), Outcome::NotRun(_)) => Outcome::Unknown(doubt.clone()),
        (_, outcome) => outcome,
    }
}

fn report(now: Now, fx: &mut Effects, request: id::Request, pending: &Pending, outcome: &Outcome) {
    let (kind, fault, label) = match outcome {
        Outcome::Done { .. } => (record::Kind::Outcome, None, "done"),
        Outcome::NotRun(fault) => (record::Kind::Refusal, Some(fault), "not_run"),
        Outcome::Unknown(fault) => (record::Kind::Outcome, Some(fault), "unknown"),
    };
    let elapsed = now.since(pending.submitted);
    fx.count("goldcrest_requests_total", label, 1);
    fx.observe("goldcrest_request_seconds", label, elapsed);
    fx.record(Line {
        code: fault.map(|fault| fault.code),
        workspace: pending.submit.workspace.clone(),
        key: pending.submit.key.clone(),
        session: Some(pending.submit.session),
        request: record::format_request_id(request),
        rule: pending.place.rule.clone(),
        revision: Some(pending.place.revision),
        database: pending.place.database.clone(),
        server: pending.server.clone(),
        reason: fault.map_or_else(|| label.into(), |fault| fault.detail.clone()),
        ..Line::new(kind)
    });
}

/// Ends a request whose deadline passed: one that was never sent was not run, the fate of the
/// others is unknown.
pub fn on_deadline(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let Some(pending) = daemon.request.pending.get(&request) else { return };
    let outcome = match &pending.stage {
        Stage::Admission => {
            let detail = "the deadline passed while the rate was checked";
            Outcome::NotRun(Fault::new(Code::Deadline, detail))
        }
        Stage::Waiting(last) => last.clone(),
        Stage::Sent | Stage::Asking => {
            let home = pending.home.clone();
            tell(daemon, fx, &home, Message::Cancel(request));
            let detail = "no answer came before the deadline";
            Outcome::Unknown(Fault::new(Code::OutcomeUnknown, detail))
        }
    };
    finish(daemon, now, fx, request, outcome);
}

/// Cancels a request: at its home if it was sent, here if not.
pub(super) fn cancel(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let Some(pending) = daemon.request.pending.get(&request) else { return };
    if matches!(pending.stage, Stage::Sent | Stage::Asking) {
        let home = pending.home.clone();
        tell(daemon, fx, &home, Message::Cancel(request));
    } else {
        let fault = Fault::new(Code::Cancelled, "the caller cancelled the request");
        finish(daemon, now, fx, request, Outcome::NotRun(fault));
    }
}
