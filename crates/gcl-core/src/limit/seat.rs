//! Seats: equal parts of a workspace's rate and burst, each recorded under its own key in the
//! store, `gcl/seat/<workspace>/<number>`.
//!
//! A record names the holder of the reserve, and the holder of the flexible share with its lease.
//! All changes are by compare-and-swap. After a lost answer the record is read again: a record that
//! names this incarnation was written by it. A record that an unanswered release may still
//! overwrite is written again before its seat is used, which makes the release fail.

use super::{
    account::{self, Account},
    bucket::{Amount, RESERVE_SHARES, SHARES, SHARES_PER_SEAT},
    claim,
    lease::{self, Active, STORE_TIMEOUT},
    lend, release,
};
use crate::{effect::Effects, id, state::State as Daemon, store, time::Now};
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefix of the seats' keys.
const PREFIX: &str = "gcl/seat/";
/// Time without requests and loans after which the seats of a workspace are released.
const IDLE_TIMEOUT: Duration = Duration::from_mins(10);

/// Mean random delay of calls that many daemons may make at the same time.
pub(super) const CALL_DELAY: Duration = Duration::from_millis(400);

/// The holder of a seat's reserve or flexible share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The daemon.
    pub daemon: id::Daemon,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Its lease, or zero for a reserve.
    pub lease: store::Lease,
}

/// A seat's record in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The holder of the reserve.
    pub reserve: Option<Owner>,
    /// The holder of the flexible share.
    pub flexible: Option<Owner>,
    /// The amount that the last holder and its borrowers may still spend. It takes up room in the
    /// bucket of the next holder until it expires.
    pub debt: Amount,
}

/// The purpose of a store call.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// Maintains the lease.
    Lease(lease::Step),
    /// Reads or changes the seats of a workspace.
    Seat(id::Workspace, Step),
}

/// A store call for the seats of a workspace.
#[derive(Clone, Debug)]
pub enum Step {
    /// Reads all seats.
    List,
    /// Writes a record that names this incarnation.
    Claim(Claim),
    /// Releases the seat with this number.
    Release(u32),
    /// Reads the holder key of the daemon that holds this seat and appears dead.
    ReadHolder(Seat),
}

/// A seat as last read from the store.
#[derive(Clone, Debug)]
pub struct Seat {
    /// Its number.
    pub number: u32,
    /// Its record, empty if the store has none.
    pub record: Record,
    /// The revision of its last change, zero if the store has no record.
    pub revision: id::Revision,
}

/// A claim whose answer is awaited.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The seat with the record that is written.
    pub seat: Seat,
    /// The amount that a successful claim adds to the bucket.
    pub initial_tokens: Amount,
    /// Whether a former holder's loans may still be spent, so that the seat is not used at once.
    pub quarantine: bool,
}

/// A seat of which this daemon holds the reserve, the flexible share or both.
#[derive(Clone, Debug)]
pub(super) struct Holding {
    pub record: Record,
    pub revision: id::Revision,
    pub reserve: bool,
    pub flexible: bool,
    pub usable_at: Option<Duration>,
}

impl Holding {
    /// Whether this daemon may attach the flexible share to its lease: it holds the reserve but not
    /// the flexible share, and no other daemon does.
    pub fn can_attach_flexible(&self) -> bool {
        let free = |owner: &Owner| {
            self.record.reserve.as_ref().is_some_and(|own| own.daemon == owner.daemon)
        };
        self.reserve && !self.flexible && self.record.flexible.as_ref().is_none_or(free)
    }
}

/// The progress of a workspace's first claims of seats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// The workspace has not been used.
    #[default]
    Unused,
    /// The seats are read once the lease is valid.
    AwaitingLease,
    /// The seats are being read and claimed.
    Claiming,
    /// The first claims have finished or failed, or this daemon is not to hold seats.
    Ready,
}

/// The seats of a workspace, as known to this daemon.
#[derive(Clone, Debug, Default)]
pub struct Seats {
    pub(super) held: IndexMap<u32, Holding>,
    pub(super) phase: Phase,
    pub(super) list_pending: bool,
    pub(super) next_list_at: Duration,
    pub(super) list_backoff: Duration,
    pub(super) pending_claims: usize,
    pub(super) unclaimed: usize,
    /// The revisions that unanswered releases expect, by seat.
    pub(super) pending_releases: IndexMap<u32, id::Revision>,
    /// Seats that appear to have no holder, and since when.
    pub(super) unheld_since: IndexMap<u32, Duration>,
}

impl Seats {
    /// The number of seats whose reserve may be used.
    #[must_use]
    pub fn reserves(&self) -> i64 {
        self.count(|held| held.reserve)
    }

    /// The number of seats whose flexible share may be used while the lease is valid.
    #[must_use]
    pub fn flexibles(&self) -> i64 {
        self.count(|held| held.flexible)
    }

    fn count(&self, predicate: impl Fn(&Holding) -> bool) -> i64 {
        let usable = self.held.values().filter(|held| held.usable_at.is_none());
        i64::try_from(usable.filter(|held| predicate(held)).count()).unwrap_or_default()
    }

    /// Whether the first claims have finished.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// The number of seats without a holder when they were last read.
    #[must_use]
    pub const fn unclaimed(&self) -> usize {
        self.unclaimed
    }

    pub(super) fn finish_claim(&mut self) {
        self.pending_claims = self.pending_claims.saturating_sub(1);
        if self.pending_claims == 0 {
            self.phase = Phase::Ready;
        }
    }
}

pub(super) fn key(workspace: &str, number: u32) -> CompactString {
    format_compact!("{PREFIX}{workspace}/{number}")
}

pub(super) fn owner(daemon: &Daemon, lease: store::Lease) -> Owner {
    let name = daemon.settings.daemon.clone();
    Owner { daemon: name, incarnation: daemon.incarnation, lease }
}

/// Whether this daemon holds any seat.
#[must_use]
pub fn any_held(daemon: &Daemon) -> bool {
    let mut accounts = daemon.limit.accounts.values();
    accounts.any(|account| !account.seats.held.is_empty())
}

/// Refills the buckets of all accounts up to now. To be called before a change of the shares that
/// may be used.
pub fn refill_all(daemon: &mut Daemon, now: Now) {
    let active = lease::active(daemon, now);
    update_rates(daemon, now);
    for account in daemon.limit.accounts.values_mut() {
        account.refill(now, active);
    }
}

/// Applies the configured rates to the workspaces in use.
fn update_rates(daemon: &mut Daemon, now: Now) {
    let workspaces: Vec<_> = daemon.limit.accounts.keys().cloned().collect();
    for workspace in workspaces {
        account::open(daemon, now, &workspace);
    }
}

/// Discards all borrowed tokens.
pub fn discard_borrowed(daemon: &mut Daemon) {
    for account in daemon.limit.accounts.values_mut() {
        account.borrowings.values_mut().for_each(lend::Borrowing::clear);
    }
}

/// Gives up the flexible shares, as the lease has lapsed.
pub fn drop_flexible(daemon: &mut Daemon, now: Now) {
    refill_all(daemon, now);
    for account in daemon.limit.accounts.values_mut() {
        account.seats.held.values_mut().for_each(|held| held.flexible = false);
        account.seats.held.retain(|_, held| held.reserve);
    }
}

/// Gives up all seats, as another incarnation of this daemon has taken over.
pub fn drop_all(daemon: &mut Daemon) {
    for account in daemon.limit.accounts.values_mut() {
        account.seats.held.clear();
        account.bucket.level = 0;
    }
    discard_borrowed(daemon);
}

/// Stops waiting for the first claims, as the store is unavailable.
pub fn on_store_failure(daemon: &mut Daemon) {
    for account in daemon.limit.accounts.values_mut() {
        if account.seats.phase == Phase::AwaitingLease {
            account.seats.phase = Phase::Ready;
            account.short_of_tokens = true;
        }
    }
}

/// Starts to claim seats of a workspace that comes into use, if this daemon should hold some.
pub fn activate(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    let account = daemon.limit.accounts.get(workspace);
    if account.is_none_or(|account| account.seats.phase != Phase::Unused) {
        return;
    }
    let me = &daemon.settings.daemon;
    let holder = lend::seat_holders(daemon, workspace).iter().any(|(name, _)| name == me);
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.seats.phase = if holder { Phase::AwaitingLease } else { Phase::Ready };
    }
    if holder && lease::current(daemon, now).is_some() {
        list(daemon, fx, workspace);
    } else if holder {
        lease::acquire(daemon, now, fx);
    }
}

/// Reads the seats of the workspaces that waited for the lease.
pub fn on_lease(daemon: &mut Daemon, fx: &mut Effects) {
    let accounts = daemon.limit.accounts.iter();
    let waiting = accounts.filter(|(_, account)| account.seats.phase == Phase::AwaitingLease);
    let waiting: Vec<_> = waiting.map(|(workspace, _)| workspace.clone()).collect();
    for workspace in waiting {
        list(daemon, fx, &workspace);
    }
}

fn list(daemon: &mut Daemon, fx: &mut Effects, workspace: &id::Workspace) {
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    if account.seats.phase == Phase::AwaitingLease {
        account.seats.phase = Phase::Claiming;
    }
    if !std::mem::replace(&mut account.seats.list_pending, true) {
        let op = store::Op::List(format_compact!("{PREFIX}{workspace}/"));
        call(daemon, fx, workspace, op, Step::List);
    }
}

pub(super) fn call(
    daemon: &mut Daemon,
    fx: &mut Effects,
    workspace: &id::Workspace,
    op: store::Op,
    step: Step,
) {
    let call = daemon.counters.call();
    daemon.limit.calls.insert(call, Purpose::Seat(workspace.clone(), step));
    fx.store(store::Call { call, op, timeout: STORE_TIMEOUT });
}

/// Handles the store's answer to a call for seats.
pub fn on_answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    step: Step,
    result: &Result<store::Reply, store::Failure>,
) {
    match step {
        Step::List => claim::on_list(daemon, now, fx, workspace, result),
        Step::Claim(claim) => claim::on_claim(daemon, now, fx, workspace, claim, result),
        Step::Release(number) => release::on_answer(daemon, fx, workspace, number, result),
        Step::ReadHolder(seat) => {
            if let Ok(store::Reply::Value(entry, _)) = result {
                claim::on_holder(daemon, now, fx, workspace, seat, entry.as_ref());
            }
        }
    }
}

/// Does the periodic work for all workspaces in use.
pub fn upkeep(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    update_rates(daemon, now);
    let active = lease::active(daemon, now);
    let mut due = Vec::new();
    for (workspace, account) in &mut daemon.limit.accounts {
        maintain(account, now, active);
        let idle = now.mono >= account.last_used.max(account.last_lent) + IDLE_TIMEOUT;
        if idle || account.short_of_tokens || can_attach_flexible(account, active) {
            due.push((workspace.clone(), idle));
        }
        record_metrics(account, now, active, fx, workspace);
    }
    let workspaces: Vec<_> = daemon.limit.accounts.keys().cloned().collect();
    for workspace in workspaces {
        lend::return_unused(daemon, now, fx, &workspace);
    }
    for (workspace, idle) in due {
        if idle {
            release::retire(daemon, now, fx, &workspace);
        } else {
            claim::attach_flexible(daemon, now, fx, &workspace);
            relist_if_due(daemon, now, fx, &workspace);
        }
    }
}

fn maintain(account: &mut Account, now: Now, active: Active) {
    account.refill(now, active);
    lend::upkeep(account, now);
    for held in account.seats.held.values_mut() {
        if held.usable_at.is_some_and(|at| now.mono >= at) {
            held.usable_at = None;
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "there are few shares")]
fn record_metrics(
    account: &Account,
    now: Now,
    active: Active,
    fx: &mut Effects,
    workspace: &id::Workspace,
) {
    let share = account.active_shares(active) as f64 / SHARES as f64;
    fx.gauge("limit_share", workspace.clone(), share);
    fx.gauge("limit_demand", workspace.clone(), account.demand(now));
}

fn can_attach_flexible(account: &Account, active: Active) -> bool {
    active.flexible && account.seats.held.values().any(Holding::can_attach_flexible)
}

/// Reads the seats again when that is due while tokens are short, if this daemon should hold some.
pub(super) fn relist_if_due(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
) {
    let account = daemon.limit.accounts.get(workspace);
    let due = account.is_some_and(|account| {
        account.short_of_tokens
            && !account.seats.list_pending
            && now.mono >= account.seats.next_list_at
    });
    let me = &daemon.settings.daemon;
    if due
        && !daemon.draining
        && lease::current(daemon, now).is_some()
        && lend::seat_holders(daemon, workspace).iter().any(|(name, _)| name == me)
    {
        list(daemon, fx, workspace);
    }
}

const _: () = assert!(RESERVE_SHARES < SHARES_PER_SEAT, "a seat has a flexible share");
