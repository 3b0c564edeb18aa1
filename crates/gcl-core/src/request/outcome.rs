//! The end of a request: exactly one outcome is reported to its session.

use super::{Message, Pending, Stage, fate, retry, send_message, transaction};
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

/// Handles an answer from a home.
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
    if pending.attempt != attempt || !matches!(pending.stage, Stage::Sent | Stage::QueryingFate) {
        return discard(daemon, fx, from, request, &outcome);
    }
    let database = pending.destination.database.clone();
    if let Some(leader) = leader {
        group::on_leader(daemon, &database, leader);
    }
    match outcome {
        Outcome::NotRun(fault) => retry::after_refusal(daemon, now, fx, request, fault),
        Outcome::Unknown(fault) => fate::after_unknown(daemon, now, fx, request, fault),
        Outcome::Done { .. } => finish(daemon, now, fx, request, outcome),
    }
}

/// Discards a late or repeated answer, and has the home roll back a transaction that it opened.
fn discard(
    daemon: &Daemon,
    fx: &mut Effects,
    from: &id::Daemon,
    request: id::Request,
    outcome: &Outcome,
) {
    let opened = matches!(outcome, Outcome::Done { status: Status::Open | Status::Failed, .. });
    let open_transactions = daemon.request.open_transactions.values();
    let in_use = open_transactions
        .into_iter()
        .any(|transaction| transaction.id == request && transaction.home == *from);
    if opened && !in_use {
        send_message(daemon, fx, from, Message::Release(request));
    }
}

/// Ends a request and reports its outcome to the session.
pub(super) fn finish(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    outcome: Outcome,
) {
    let Some(pending) = daemon.request.pending.swap_remove(&request) else { return };
    let outcome = account_for_earlier_attempts(&pending, outcome);
    fx.cancel(timer::Key::Deadline(request));
    if matches!(pending.stage, Stage::Waiting(_)) {
        fx.cancel(timer::Key::Retry(request));
    }
    let access = pending.access.unwrap_or(Access::Write);
    transaction::update(daemon, fx, request, &pending, access, &outcome);
    record_outcome(now, fx, request, &pending, &outcome);
    let session = pending.submission.session;
    session::on_outcome(daemon, now, fx, session, &pending.destination.database, outcome);
}

/// Replaces a refusal of the last attempt by an unknown outcome if an earlier attempt may have run.
fn account_for_earlier_attempts(pending: &Pending, outcome: Outcome) -> Outcome {
    match (&pending.unknown_fault, outcome) {
        (Some(unknown_fault), Outcome::NotRun(_)) => Outcome::Unknown(unknown_fault.clone()),
        (_, outcome) => outcome,
    }
}

fn record_outcome(
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    pending: &Pending,
    outcome: &Outcome,
) {
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
        workspace: pending.submission.workspace.clone(),
        key: pending.submission.key.clone(),
        session: Some(pending.submission.session),
        request: record::format_request_id(request),
        rule: pending.destination.rule.clone(),
        revision: Some(pending.destination.revision),
        database: pending.destination.database.clone(),
        server: pending.server.clone(),
        reason: fault.map_or_else(|| label.into(), |fault| fault.detail.clone()),
        ..Line::new(kind)
    });
}

/// Ends a request whose deadline passed. The outcome of one that was sent and not answered is
/// unknown.
pub fn on_deadline(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let Some(pending) = daemon.request.pending.get(&request) else { return };
    let outcome = match &pending.stage {
        Stage::Admission => {
            let detail = "the deadline passed while the rate was checked";
            Outcome::NotRun(Fault::new(Code::Deadline, detail))
        }
        Stage::Waiting(last) => last.clone(),
        Stage::Sent | Stage::QueryingFate => {
            let home = pending.home.clone();
            send_message(daemon, fx, &home, Message::Cancel(request));
            let detail = "no answer came before the deadline";
            Outcome::Unknown(Fault::new(Code::OutcomeUnknown, detail))
        }
    };
    finish(daemon, now, fx, request, outcome);
}

/// Cancels a request, at its home if it was sent there.
pub(super) fn cancel(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let Some(pending) = daemon.request.pending.get(&request) else { return };
    if matches!(pending.stage, Stage::Sent | Stage::QueryingFate) {
        let home = pending.home.clone();
        send_message(daemon, fx, &home, Message::Cancel(request));
    } else {
        let fault = Fault::new(Code::Cancelled, "the caller cancelled the request");
        finish(daemon, now, fx, request, Outcome::NotRun(fault));
    }
}
