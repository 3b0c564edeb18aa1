//! A relay's view of the store: one listing, one watch, and periodic confirmations.
//!
//! A broken watch is resumed after the last revision seen; the store is listed again only if that
//! revision was compacted or the watch stalled. An answer with a lower revision than the one held
//! is a stale read: it is discarded, and further calls wait for the backoff.

use super::{apply, freshness, snapshot::PREFIX};
use crate::{
    effect::Effects,
    id,
    state::State as Daemon,
    store::{self, Failure, Op, Reply},
    time::Now,
};
use std::time::Duration;

/// Longest wait for an answer from the store.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Backoff after the first failure.
const BACKOFF: Duration = Duration::from_millis(500);
/// Longest backoff after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Most doublings of the backoff.
const MAX_DOUBLINGS: u32 = 4;
/// Longest time for which the watch may be behind a revision that the store confirmed.
const MAX_WATCH_LAG: Duration = Duration::from_secs(3);

/// Calls in flight and the state of the backoff.
#[derive(Clone, Debug, Default)]
pub struct State {
    list_call: Option<(id::Call, Duration)>,
    watch_call: Option<id::Call>,
    confirm_call: Option<(id::Call, Duration)>,
    /// Whether the store has to be listed before the watch is opened again.
    relist: bool,
    failures: u32,
    retry_at: Duration,
}

/// Opens and confirms the watch if this daemon is a relay, and stops it otherwise.
pub fn tick(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if !daemon.config.role.relay {
        stop(daemon, fx);
        return;
    }
    if freshness::is_watch_stalled(daemon, now, MAX_WATCH_LAG) {
        stop(daemon, fx);
        daemon.config.watch.relist = true;
    }
    let watch = &daemon.config.watch;
    if now.mono < watch.retry_at {
        return;
    }
    if watch.watch_call.is_some() {
        confirm(daemon, now, fx);
    } else if watch.list_call.is_none() {
        resume(daemon, now, fx);
    }
}

fn stop(daemon: &mut Daemon, fx: &mut Effects) {
    if let Some(watch) = daemon.config.watch.watch_call.take() {
        call(daemon, fx, Op::Unwatch(watch));
    }
    freshness::discard_store_confirmations(daemon);
}

fn resume(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let revision = daemon.config.snapshot.revision;
    if revision == 0 || daemon.config.watch.relist {
        let call = call(daemon, fx, Op::List(PREFIX.into()));
        daemon.config.watch.list_call = Some((call, now.mono));
    } else {
        start_watch(daemon, now, fx);
    }
}

fn start_watch(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let from = daemon.config.snapshot.revision + 1;
    let call = call(daemon, fx, Op::Watch { prefix: PREFIX.into(), from });
    daemon.config.watch.watch_call = Some(call);
    confirm(daemon, now, fx);
}

/// Reads the store's revision, which the watch then has to reach.
fn confirm(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.config.watch.confirm_call.is_none() {
        let call = call(daemon, fx, Op::Get(PREFIX.into()));
        daemon.config.watch.confirm_call = Some((call, now.mono));
    }
}

fn call(daemon: &mut Daemon, fx: &mut Effects, op: Op) -> id::Call {
    let call = daemon.counters.call();
    fx.count("gcl_config_store_calls_total", "", 1);
    fx.store(store::Call { call, op, timeout: TIMEOUT });
    call
}

/// Handles an event of the store; returns whether it belonged to this module.
pub fn on_store(daemon: &mut Daemon, now: Now, fx: &mut Effects, event: &store::Event) -> bool {
    let watch = &mut daemon.config.watch;
    match event {
        store::Event::Watched { call, changes, revision } => {
            let handled = watch.watch_call == Some(*call);
            if handled {
                watch.failures = 0;
                apply(daemon, now, fx, changes.clone(), *revision);
            }
            handled
        }
        store::Event::Answered { call, result } => on_answer(daemon, now, fx, *call, result),
    }
}

fn on_answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    call: id::Call,
    result: &Result<Reply, Failure>,
) -> bool {
    let watch = &mut daemon.config.watch;
    if let Some((_, sent)) = watch.list_call.take_if(|(sent, _)| *sent == call) {
        on_list(daemon, now, fx, sent, result);
    } else if let Some((_, sent)) = watch.confirm_call.take_if(|(sent, _)| *sent == call) {
        on_confirm(daemon, now, sent, result);
    } else if watch.watch_call.take_if(|open| *open == call).is_some() {
        watch.relist = *result == Err(Failure::Compacted);
        back_off(daemon, now);
    } else {
        return false;
    }
    true
}

fn on_list(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    sent: Duration,
    result: &Result<Reply, Failure>,
) {
    match result {
        Ok(Reply::List(entries, revision)) if *revision >= daemon.config.snapshot.revision => {
            let changes = daemon.config.snapshot.diff(entries.clone(), *revision);
            daemon.config.watch.relist = false;
            daemon.config.watch.failures = 0;
            freshness::on_store_read(daemon, sent, *revision);
            apply(daemon, now, fx, changes, *revision);
            start_watch(daemon, now, fx);
        }
        _ => back_off(daemon, now),
    }
}

fn on_confirm(daemon: &mut Daemon, now: Now, sent: Duration, result: &Result<Reply, Failure>) {
    match result {
        Ok(Reply::Value(_, revision)) if *revision >= daemon.config.applied => {
            freshness::on_store_read(daemon, sent, *revision);
        }
        _ => back_off(daemon, now),
    }
}

/// Schedules the next attempt with exponential backoff, jittered so that relays do not return at
/// the same time.
fn back_off(daemon: &mut Daemon, now: Now) {
    let watch = &mut daemon.config.watch;
    let wait = BACKOFF * 2_u32.pow(watch.failures.min(MAX_DOUBLINGS));
    watch.failures += 1;
    let wait = daemon.random.jitter(wait.min(MAX_BACKOFF));
    daemon.config.watch.retry_at = now.mono + wait;
}
