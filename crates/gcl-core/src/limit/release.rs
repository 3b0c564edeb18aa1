//! Release of seats when a workspace has become idle here, and before the daemon stops.

use super::{
    Message,
    bucket::{Amount, TOKEN},
    lease, lend,
    seat::{self, CALL_DELAY, Phase, Record, Step, call, key},
    send,
};
use crate::{effect::Effects, id, state::State as Daemon, store, time::Now};
use std::time::Duration;

/// Minimum amount that a daemon keeps for its own callers when it releases its seats.
const MIN_KEPT: Amount = 2 * TOKEN;

/// Handles the store's answer to a release, and notifies the daemons that may claim the seat.
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
        account.seats.pending_releases.swap_remove(&number);
    }
    let me = daemon.settings.daemon.clone();
    for (name, _) in lend::seat_holders(daemon, workspace) {
        if name != me {
            send(daemon, fx, &name, Message::Freed(workspace.clone()));
        }
    }
}

/// Handles a notice that seats were released: reads the seats again soon.
pub fn on_freed(daemon: &mut Daemon, now: Now, workspace: &id::Workspace) {
    let wait = daemon.random.jitter(CALL_DELAY);
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.short_of_tokens = true;
        account.seats.list_backoff = Duration::ZERO;
        account.seats.next_list_at = account.seats.next_list_at.min(now.mono + wait);
    }
}

/// Releases a seat. It is not used from here on, whatever the outcome of the call.
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
    account.seats.pending_releases.insert(number, held.revision);
    let me = &daemon.settings.daemon;
    let without_self = |holder: Option<seat::Owner>| holder.filter(|owner| owner.daemon != *me);
    let record = Record {
        reserve: without_self(held.record.reserve),
        flexible: without_self(held.record.flexible),
        debt,
    };
    let value = serde_json::to_vec(&record).unwrap_or_default().into();
    let expected = held.revision;
    let op = store::Op::Put { key: key(workspace, number), expected, value, lease: 0 };
    call(daemon, fx, workspace, op, Step::Release(number));
}

/// Releases all seats of a workspace. The amount that this daemon and its borrowers may still spend
/// is written to one of the records as debt. Debt takes up room in the successor's bucket, so this
/// daemon keeps no more than its callers are expected to need before the tokens expire.
fn release_all(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    let active = lease::active(daemon, now);
    let me = daemon.settings.daemon.clone();
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    account.refill(now, active);
    let demand = account.expected_need(now, lend::LOAN_TTL).max(MIN_KEPT);
    let kept = account.bucket.level.clamp(0, demand);
    account.bucket.level = 0;
    if kept > 0 {
        account.borrowings.insert(me, lend::Borrowing::kept(now, kept));
    }
    let mut debt = account.outstanding() + kept;
    account.seats.held.sort_by(|_, left, _, right| right.reserve.cmp(&left.reserve));
    let numbers: Vec<u32> = account.seats.held.keys().copied().collect();
    for number in numbers {
        release(daemon, fx, workspace, number, std::mem::take(&mut debt));
    }
}

/// Releases all seats before the daemon stops.
pub fn drain(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let workspaces: Vec<_> = daemon.limit.accounts.keys().cloned().collect();
    for workspace in workspaces {
        release_all(daemon, now, fx, &workspace);
        if let Some(account) = daemon.limit.accounts.get_mut(&workspace) {
            account.seats.phase = Phase::Ready;
            account.short_of_tokens = false;
        }
    }
    daemon.limit.lease.stop_renewing();
}

/// Releases the seats of a workspace that is not used here any more, and removes its account once
/// all loans are settled and all releases are answered.
pub(super) fn retire(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    release_all(daemon, now, fx, workspace);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    if account.seats.pending_releases.is_empty() {
        if account.outstanding() == 0 {
            daemon.limit.accounts.swap_remove(workspace);
        }
    } else {
        account.short_of_tokens = true;
        seat::relist_if_due(daemon, now, fx, workspace);
    }
}
