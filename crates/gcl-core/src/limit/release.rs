//! Releases: seats are given back when a workspace is idle here and when the daemon stops.

use super::{
    Message,
    bucket::{Amount, TOKEN},
    lease, lend,
    seat::{self, Phase, Record, SPREAD, Step, call, key},
    tell,
};
use crate::{effect::Effects, id, state::State as Daemon, store, time::Now};
use std::time::Duration;

/// Least that a daemon keeps for its own callers when it gives its seats back.
const LEAST_KEPT: Amount = 2 * TOKEN;

/// Takes the store's answer to a release, and tells those who may claim the seat.
pub(super) fn on_answer(
    daemon: &mut Daemon,
    fx: &mut Effects,
    workspace: &id::Workspace,
    number: u32,
    result: &Result<store::Reply, store::Failure>,
) {
    if result.is_err() {
        return;
    }
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.seats.spoiled.swap_remove(&number);
    }
    let me = daemon.settings.daemon.clone();
    for (name, _) in lend::holders(daemon, workspace) {
        if name != me {
            tell(daemon, fx, &name, Message::Freed(workspace.clone()));
        }
    }
}

/// Reads the seats soon, as some were given back.
pub fn on_freed(daemon: &mut Daemon, now: Now, workspace: &id::Workspace) {
    let wait = daemon.random.jitter(SPREAD);
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.short = true;
        account.seats.wait = Duration::ZERO;
        account.seats.next_list = account.seats.next_list.min(now.mono + wait);
    }
}

/// Gives a seat back; it is not used from here on, whatever becomes of the call.
fn release(
    daemon: &mut Daemon,
    fx: &mut Effects,
    workspace: &id::Workspace,
    number: u32,
    debt: Amount,
) {
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    let Some(held) = account.seats.held.swap_remove(&number) else {
        return;
    };
    account.seats.spoiled.insert(number, held.revision);
    let me = &daemon.settings.daemon;
    let others = |part: Option<seat::Owner>| part.filter(|owner| owner.daemon != *me);
    let record = Record {
        reserve: others(held.record.reserve),
        flexible: others(held.record.flexible),
        debt,
    };
    let value = serde_json::to_vec(&record).unwrap_or_default().into();
    let expected = held.revision;
    let op = store::Op::Put { key: key(workspace, number), expected, value, lease: 0 };
    call(daemon, fx, workspace, op, Step::Release(number));
}

/// Gives all seats of a workspace back; what may still be spent goes on a record as debt. It
/// takes up room in the successor's bucket, so no more is kept than the demand of the time in which
/// it can be spent.
fn release_all(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    let active = lease::active(daemon, now);
    let me = daemon.settings.daemon.clone();
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    account.earn(now, active);
    let demand = account.needed(now, lend::LOAN_LIFE).max(LEAST_KEPT);
    let kept = account.bucket.level.clamp(0, demand);
    account.bucket.level = 0;
    if kept > 0 {
        account.purses.insert(me, lend::Purse::of(now, kept));
    }
    let mut debt = account.lent() + kept;
    account.seats.held.sort_by(|_, left, _, right| right.reserve.cmp(&left.reserve));
    let numbers: Vec<u32> = account.seats.held.keys().copied().collect();
    for number in numbers {
        release(daemon, fx, workspace, number, std::mem::take(&mut debt));
    }
}

/// Gives all seats back before the daemon stops.
pub fn drain(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let workspaces: Vec<_> = daemon.limit.accounts.keys().cloned().collect();
    for workspace in workspaces {
        release_all(daemon, now, fx, &workspace);
        if let Some(account) = daemon.limit.accounts.get_mut(&workspace) {
            account.seats.phase = Phase::Settled;
            account.short = false;
        }
    }
    daemon.limit.lease.stop();
}

/// Gives back the seats of a workspace that nobody uses here, and forgets it.
pub(super) fn retire(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    release_all(daemon, now, fx, workspace);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    if account.seats.spoiled.is_empty() {
        if account.lent() == 0 {
            daemon.limit.accounts.swap_remove(workspace);
        }
    } else {
        account.short = true;
        seat::relist(daemon, now, fx, workspace);
    }
}
