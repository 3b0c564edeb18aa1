//! Executes a plan: announces it to the relays, then compares and swaps object by object.
//!
//! A lost answer is resolved by reading the object back: if it has the value that was written, the
//! change was made; if it still has the expected revision, the change is sent again. A conflict
//! ends the execution and reports both versions.

use super::{
    api::{Outcome, Report, Status},
    plan::{Plan, Step},
};
use crate::{
    code::Code,
    config::{
        document::Document,
        freshness,
        snapshot::{GUARD, store_key},
        watch::TIMEOUT,
    },
    effect::Effects,
    id,
    operator::Response,
    state::State as Daemon,
    store::{self, Entry, Failure, Op, Reply},
    time::Now,
    timer,
};
use bytes::Bytes;
use compact_str::CompactString;
use std::time::Duration;

/// Longest wait for a relay to acknowledge an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for a whole plan.
const EXECUTION_TIMEOUT: Duration = Duration::from_secs(25);
/// Most attempts to write one object.
const MAX_ATTEMPTS: u32 = 4;
/// Most reads of an object whose change is uncertain, after which it is reported as unknown.
const MAX_READS: u32 = 8;
/// Age of an announcement above which it is repeated.
const MAX_ANNOUNCEMENT_AGE: Duration = Duration::from_secs(1);
/// Wait after a failed read of an object.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// What an execution waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A relay's acknowledgement of the announcement.
    Announce,
    /// The answer to a swap.
    Swap(id::Call),
    /// The answer to a read.
    Read(id::Call),
    /// The time of the next read.
    Pause,
}

/// A plan that is being executed.
#[derive(Clone, Debug)]
pub struct Execution {
    plan: Plan,
    operator: CompactString,
    next: usize,
    results: Vec<Outcome>,
    stage: Stage,
    attempts: u32,
    reads: u32,
    /// Whether an attempt to write the current object may have taken effect.
    uncertain: bool,
    announced_at: Duration,
    deadline: Duration,
    guard: id::Revision,
}

/// Starts to execute a plan.
pub fn start(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    operator: CompactString,
    plan: Plan,
) {
    let revision = |key: &CompactString| daemon.config.snapshot.revision_of(key);
    let unchanged = plan.unchanged.iter();
    let results = unchanged.map(|key| outcome(key.clone(), Status::Unchanged, revision(key)));
    let execution = Execution {
        results: results.collect(),
        plan,
        operator,
        next: 0,
        stage: Stage::Announce,
        attempts: 0,
        reads: 0,
        uncertain: false,
        announced_at: now.mono,
        deadline: now.mono + EXECUTION_TIMEOUT,
        guard: daemon.config.snapshot.guard,
    };
    daemon.operation.executions.insert(operation, execution);
    announce(daemon, now, fx, operation);
}

fn outcome(key: CompactString, status: Status, revision: id::Revision) -> Outcome {
    Outcome { key, status, revision, code: None, ours: None, theirs: None }
}

/// Announces the change to the relays before the next object is written, or completes the execution
/// if none is left.
fn announce(daemon: &mut Daemon, now: Now, fx: &mut Effects, operation: id::Operation) {
    let Some(execution) = daemon.operation.executions.get_mut(&operation) else {
        return;
    };
    if execution.next == execution.plan.steps.len() {
        return complete(daemon, fx, operation);
    }
    execution.stage = Stage::Announce;
    execution.announced_at = now.mono;
    freshness::announce(daemon, fx, operation);
    fx.arm(timer::Key::Operation(operation), now.mono + ANNOUNCE_TIMEOUT);
}

/// Handles a relay's acknowledgement of an announcement.
pub fn on_announced(daemon: &mut Daemon, now: Now, fx: &mut Effects, operation: id::Operation) {
    let execution = daemon.operation.executions.get(&operation);
    if let Some(execution) = execution.filter(|execution| execution.stage == Stage::Announce) {
        fx.arm(timer::Key::Operation(operation), execution.deadline);
        swap(daemon, now, fx, operation);
    }
}

fn swap(daemon: &mut Daemon, now: Now, fx: &mut Effects, operation: id::Operation) {
    let call = daemon.counters.call();
    let Some(execution) = daemon.operation.executions.get_mut(&operation) else {
        return;
    };
    if now.since(execution.announced_at) > MAX_ANNOUNCEMENT_AGE {
        return announce(daemon, now, fx, operation);
    }
    execution.stage = Stage::Swap(call);
    execution.attempts += 1;
    let op = swap_op(execution, &execution.plan.steps[execution.next]);
    fx.store(store::Call { call, op, timeout: TIMEOUT });
}

fn swap_op(execution: &Execution, step: &Step) -> Op {
    let (key, expected) = (store_key(&step.object), step.expected);
    let value = document_value(execution, step);
    if step.guarded() {
        Op::Swap { guard: GUARD.into(), held: execution.guard, key, expected, value }
    } else {
        Op::Put { key, expected, value, lease: 0 }
    }
}

fn document_value(execution: &Execution, step: &Step) -> Bytes {
    let document = Document {
        change: execution.plan.change.clone(),
        operator: execution.operator.clone(),
        removed: step.removed,
        object: step.object.clone(),
    };
    document.encode()
}

/// Handles an event of the store; returns whether it belonged to this module.
pub fn on_store(daemon: &mut Daemon, now: Now, fx: &mut Effects, event: &store::Event) -> bool {
    let store::Event::Answered { call, result } = event else {
        return false;
    };
    let mut executions = daemon.operation.executions.iter();
    let owner = executions.find_map(|(operation, execution)| match execution.stage {
        Stage::Swap(swap) if swap == *call => Some((*operation, true)),
        Stage::Read(read) if read == *call => Some((*operation, false)),
        _ => None,
    });
    match owner {
        Some((operation, true)) => on_swap(daemon, now, fx, operation, result),
        Some((operation, false)) => on_read(daemon, now, fx, operation, result),
        None => return false,
    }
    true
}

fn on_swap(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    result: &Result<Reply, Failure>,
) {
    match result {
        Ok(Reply::Changed(revision)) => on_changed(daemon, now, fx, operation, *revision),
        Ok(Reply::Conflict(entry, _)) => resolve(daemon, now, fx, operation, entry.as_ref(), true),
        Err(Failure::Unreached | Failure::Refused) => fail(daemon, fx, operation),
        Ok(_) | Err(_) => {
            if let Some(execution) = daemon.operation.executions.get_mut(&operation) {
                execution.uncertain = true;
            }
            read(daemon, fx, operation);
        }
    }
}

fn read(daemon: &mut Daemon, fx: &mut Effects, operation: id::Operation) {
    let call = daemon.counters.call();
    let Some(execution) = daemon.operation.executions.get_mut(&operation) else {
        return;
    };
    execution.stage = Stage::Read(call);
    execution.reads += 1;
    let key = store_key(&execution.plan.steps[execution.next].object);
    fx.store(store::Call { call, op: Op::Get(key), timeout: TIMEOUT });
}

fn on_read(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    result: &Result<Reply, Failure>,
) {
    if let Ok(Reply::Value(entry, _)) = result {
        return resolve(daemon, now, fx, operation, entry.as_ref(), false);
    }
    if let Some(execution) = daemon.operation.executions.get_mut(&operation) {
        execution.stage = Stage::Pause;
        let at = (now.mono + READ_INTERVAL).min(execution.deadline);
        fx.arm(timer::Key::Operation(operation), at);
    }
}

/// Decides by what the store holds now, as shown by a read or a rejected swap.
fn resolve(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    entry: Option<&Entry>,
    swap_rejected: bool,
) {
    let Some(execution) = daemon.operation.executions.get(&operation) else {
        return;
    };
    let step = &execution.plan.steps[execution.next];
    let held = entry.map_or(0, |entry| entry.revision);
    let written = entry.is_some_and(|entry| entry.value == document_value(execution, step));
    if written && held != step.expected {
        return on_changed(daemon, now, fx, operation, held);
    }
    if held == step.expected && !swap_rejected && execution.attempts < MAX_ATTEMPTS {
        return swap(daemon, now, fx, operation);
    }
    let (status, code) = if execution.uncertain && held != step.expected {
        (Status::Unknown, Code::ChangeUnknown)
    } else {
        (Status::Conflict, Code::Conflict)
    };
    let theirs = entry.and_then(|entry| Document::decode(&entry.value));
    let result = Outcome {
        code: Some(code.number()),
        ours: (!step.removed).then(|| step.object.clone()),
        theirs: theirs.filter(|theirs| !theirs.removed).map(|theirs| theirs.object),
        ..outcome(store_key(&step.object), status, held)
    };
    abort(daemon, fx, operation, result);
}

fn fail(daemon: &mut Daemon, fx: &mut Effects, operation: id::Operation) {
    let Some(execution) = daemon.operation.executions.get(&operation) else {
        return;
    };
    let (status, code) = if execution.uncertain {
        (Status::Unknown, Code::ChangeUnknown)
    } else {
        (Status::Failed, Code::StoreUnavailable)
    };
    let step = &execution.plan.steps[execution.next];
    let result = Outcome {
        code: Some(code.number()),
        ours: Some(step.object.clone()),
        ..outcome(store_key(&step.object), status, step.expected)
    };
    abort(daemon, fx, operation, result);
}

fn on_changed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    revision: id::Revision,
) {
    let Some(execution) = daemon.operation.executions.get_mut(&operation) else {
        return;
    };
    let step = &execution.plan.steps[execution.next];
    if step.guarded() {
        execution.guard = revision;
    }
    execution.results.push(outcome(store_key(&step.object), Status::Changed, revision));
    execution.next += 1;
    execution.attempts = 0;
    execution.reads = 0;
    execution.uncertain = false;
    if execution.next == execution.plan.steps.len() {
        complete(daemon, fx, operation);
    } else {
        swap(daemon, now, fx, operation);
    }
}

fn abort(daemon: &mut Daemon, fx: &mut Effects, operation: id::Operation, result: Outcome) {
    if let Some(execution) = daemon.operation.executions.get_mut(&operation) {
        execution.results.push(result);
        let later = execution.plan.steps.iter().skip(execution.next + 1);
        let skipped =
            later.map(|step| outcome(store_key(&step.object), Status::Skipped, step.expected));
        execution.results.extend(skipped);
    }
    complete(daemon, fx, operation);
}

fn complete(daemon: &mut Daemon, fx: &mut Effects, operation: id::Operation) {
    if let Some(execution) = daemon.operation.executions.swap_remove(&operation) {
        fx.cancel(timer::Key::Operation(operation));
        answer(fx, operation, execution);
    }
}

fn answer(fx: &mut Effects, operation: id::Operation, execution: Execution) {
    let report =
        Report { change: execution.plan.change, results: execution.results, ..Report::default() };
    super::record_outcomes(fx, &execution.operator, &report);
    fx.answer(operation, Response::Json(super::json(&report)));
}

/// Continues after a pause, or ends an execution that timed out.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, operation: id::Operation) {
    let Some(execution) = daemon.operation.executions.get_mut(&operation) else {
        return;
    };
    let over = now.mono >= execution.deadline;
    execution.uncertain |= matches!(execution.stage, Stage::Swap(_));
    match execution.stage {
        Stage::Pause if !over && execution.reads < MAX_READS => {
            fx.arm(timer::Key::Operation(operation), execution.deadline);
            read(daemon, fx, operation);
        }
        _ => fail(daemon, fx, operation),
    }
}
