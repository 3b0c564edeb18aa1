//! Carries out a plan: announces it to the relays, then swaps object by object.
//!
//! A lost answer is resolved by reading the object back: if it holds what was written, the change
//! was made; if it is still the one expected, the change is sent again. A conflict ends the work and
//! shows both versions.

use super::{
    api::{Done, Report, Status},
    plan::{Plan, Step},
};
use crate::{
    code::Code,
    config::{
        document::Document,
        follow::TIMEOUT,
        proof,
        snapshot::{GUARD, key_of},
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

/// Longest wait for a relay to take note of a change.
const ANNOUNCE: Duration = Duration::from_secs(2);
/// Longest time for all of a plan.
const DEADLINE: Duration = Duration::from_secs(25);
/// Tries of one object.
const TRIES: u32 = 4;
/// Reads of an object in doubt, after which it stays in doubt.
const READS: u32 = 8;
/// Age of an announcement from which it is made again.
const RECENT: Duration = Duration::from_secs(1);
/// Wait between two reads of an object in doubt.
const PAUSE: Duration = Duration::from_millis(500);

/// What the work waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A relay's word that it took note.
    Announce,
    /// The answer to a swap.
    Swap(id::Call),
    /// The answer to a read.
    Read(id::Call),
    /// The time for another read.
    Pause,
}

/// A plan that is being carried out.
#[derive(Clone, Debug)]
pub struct Work {
    plan: Plan,
    operator: CompactString,
    next: usize,
    results: Vec<Done>,
    stage: Stage,
    tries: u32,
    reads: u32,
    /// Whether a try of the present object may have taken effect.
    doubt: bool,
    announced: Duration,
    deadline: Duration,
    guard: id::Revision,
}

/// Starts to carry out a plan.
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
    let results = unchanged.map(|key| done(key.clone(), Status::Unchanged, revision(key)));
    let work = Work {
        results: results.collect(),
        plan,
        operator,
        next: 0,
        stage: Stage::Announce,
        tries: 0,
        reads: 0,
        doubt: false,
        announced: now.mono,
        deadline: now.mono + DEADLINE,
        guard: daemon.config.snapshot.guard,
    };
    daemon.operation.work.insert(operation, work);
    announce(daemon, now, fx, operation);
}

fn done(key: CompactString, status: Status, revision: id::Revision) -> Done {
    Done { key, status, revision, code: None, ours: None, theirs: None }
}

/// Goes on with the next object, with an announcement that is recent.
fn announce(daemon: &mut Daemon, now: Now, fx: &mut Effects, operation: id::Operation) {
    let Some(work) = daemon.operation.work.get_mut(&operation) else {
        return;
    };
    if work.next == work.plan.steps.len() {
        return finish(daemon, fx, operation);
    }
    work.stage = Stage::Announce;
    work.announced = now.mono;
    proof::announce(daemon, fx, operation);
    fx.arm(timer::Key::Operation(operation), now.mono + ANNOUNCE);
}

/// A relay took note of the change.
pub fn on_announced(daemon: &mut Daemon, now: Now, fx: &mut Effects, operation: id::Operation) {
    let work = daemon.operation.work.get(&operation);
    if let Some(work) = work.filter(|work| work.stage == Stage::Announce) {
        fx.arm(timer::Key::Operation(operation), work.deadline);
        swap(daemon, now, fx, operation);
    }
}

fn swap(daemon: &mut Daemon, now: Now, fx: &mut Effects, operation: id::Operation) {
    let call = daemon.counters.call();
    let Some(work) = daemon.operation.work.get_mut(&operation) else {
        return;
    };
    if now.since(work.announced) > RECENT {
        return announce(daemon, now, fx, operation);
    }
    work.stage = Stage::Swap(call);
    work.tries += 1;
    let op = write(work, &work.plan.steps[work.next]);
    fx.store(store::Call { call, op, timeout: TIMEOUT });
}

fn write(work: &Work, step: &Step) -> Op {
    let (key, expected) = (key_of(&step.object), step.expected);
    let value = value(work, step);
    if step.guarded() {
        Op::Swap { guard: GUARD.into(), held: work.guard, key, expected, value }
    } else {
        Op::Put { key, expected, value, lease: 0 }
    }
}

fn value(work: &Work, step: &Step) -> Bytes {
    let document = Document {
        change: work.plan.change.clone(),
        operator: work.operator.clone(),
        removed: step.removed,
        object: step.object.clone(),
    };
    document.write()
}

/// Acts on an event of the store; tells whether it was this module's.
pub fn on_store(daemon: &mut Daemon, now: Now, fx: &mut Effects, event: &store::Event) -> bool {
    let store::Event::Answered { call, result } = event else {
        return false;
    };
    let mut works = daemon.operation.work.iter();
    let mine = works.find_map(|(operation, work)| match work.stage {
        Stage::Swap(swap) if swap == *call => Some((*operation, true)),
        Stage::Read(read) if read == *call => Some((*operation, false)),
        _ => None,
    });
    match mine {
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
        Ok(Reply::Changed(revision)) => made(daemon, now, fx, operation, *revision),
        Ok(Reply::Conflict(entry, _)) => compare(daemon, now, fx, operation, entry.as_ref(), true),
        Err(Failure::Unreached | Failure::Refused) => fail(daemon, fx, operation),
        Ok(_) | Err(_) => {
            if let Some(work) = daemon.operation.work.get_mut(&operation) {
                work.doubt = true;
            }
            read(daemon, fx, operation);
        }
    }
}

fn read(daemon: &mut Daemon, fx: &mut Effects, operation: id::Operation) {
    let call = daemon.counters.call();
    let Some(work) = daemon.operation.work.get_mut(&operation) else {
        return;
    };
    work.stage = Stage::Read(call);
    work.reads += 1;
    let key = key_of(&work.plan.steps[work.next].object);
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
        return compare(daemon, now, fx, operation, entry.as_ref(), false);
    }
    if let Some(work) = daemon.operation.work.get_mut(&operation) {
        work.stage = Stage::Pause;
        let at = (now.mono + PAUSE).min(work.deadline);
        fx.arm(timer::Key::Operation(operation), at);
    }
}

/// Judges by what the store holds now, as a swap that was refused or a read shows it.
fn compare(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    entry: Option<&Entry>,
    refused: bool,
) {
    let Some(work) = daemon.operation.work.get(&operation) else {
        return;
    };
    let step = &work.plan.steps[work.next];
    let held = entry.map_or(0, |entry| entry.revision);
    let written = entry.is_some_and(|entry| entry.value == value(work, step));
    if written && held != step.expected {
        return made(daemon, now, fx, operation, held);
    }
    if held == step.expected && !refused && work.tries < TRIES {
        return swap(daemon, now, fx, operation);
    }
    let (status, code) = if work.doubt && held != step.expected {
        (Status::Unknown, Code::ChangeUnknown)
    } else {
        (Status::Conflict, Code::Conflict)
    };
    let theirs = entry.and_then(|entry| Document::read(&entry.value));
    let result = Done {
        code: Some(code.number()),
        ours: (!step.removed).then(|| step.object.clone()),
        theirs: theirs.filter(|theirs| !theirs.removed).map(|theirs| theirs.object),
        ..done(key_of(&step.object), status, held)
    };
    give_up(daemon, fx, operation, result);
}

fn fail(daemon: &mut Daemon, fx: &mut Effects, operation: id::Operation) {
    let Some(work) = daemon.operation.work.get(&operation) else {
        return;
    };
    let (status, code) = if work.doubt {
        (Status::Unknown, Code::ChangeUnknown)
    } else {
        (Status::Failed, Code::StoreUnavailable)
    };
    let step = &work.plan.steps[work.next];
    let result = Done {
        code: Some(code.number()),
        ours: Some(step.object.clone()),
        ..done(key_of(&step.object), status, step.expected)
    };
    give_up(daemon, fx, operation, result);
}

fn made(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    revision: id::Revision,
) {
    let Some(work) = daemon.operation.work.get_mut(&operation) else {
        return;
    };
    let step = &work.plan.steps[work.next];
    if step.guarded() {
        work.guard = revision;
    }
    work.results.push(done(key_of(&step.object), Status::Changed, revision));
    work.next += 1;
    work.tries = 0;
    work.reads = 0;
    work.doubt = false;
    if work.next == work.plan.steps.len() {
        finish(daemon, fx, operation);
    } else {
        swap(daemon, now, fx, operation);
    }
}

fn give_up(daemon: &mut Daemon, fx: &mut Effects, operation: id::Operation, result: Done) {
    if let Some(work) = daemon.operation.work.get_mut(&operation) {
        work.results.push(result);
        let later = work.plan.steps.iter().skip(work.next + 1);
        let skipped = later.map(|step| done(key_of(&step.object), Status::Skipped, step.expected));
        work.results.extend(skipped);
    }
    finish(daemon, fx, operation);
}

fn finish(daemon: &mut Daemon, fx: &mut Effects, operation: id::Operation) {
    if let Some(work) = daemon.operation.work.swap_remove(&operation) {
        fx.cancel(timer::Key::Operation(operation));
        answer(fx, operation, work);
    }
}

fn answer(fx: &mut Effects, operation: id::Operation, work: Work) {
    let report = Report { change: work.plan.change, results: work.results, ..Report::default() };
    super::record(fx, &work.operator, &report);
    fx.answer(operation, Response::Json(super::json(&report)));
}

/// Goes on after a pause, or ends work that took too long.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, operation: id::Operation) {
    let Some(work) = daemon.operation.work.get_mut(&operation) else {
        return;
    };
    let over = now.mono >= work.deadline;
    work.doubt |= matches!(work.stage, Stage::Swap(_));
    match work.stage {
        Stage::Pause if !over && work.reads < READS => {
            fx.arm(timer::Key::Operation(operation), work.deadline);
            read(daemon, fx, operation);
        }
        _ => fail(daemon, fx, operation),
    }
}
