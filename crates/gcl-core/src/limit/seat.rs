//! Seats in the store, one key each: `gcl/seat/<workspace>/<number>`.
//!
//! A record names the holder of the reserve and the holder of the flexible part with its lease. All
//! changes are by compare-and-swap. After a lost answer the record is read again: a record that
//! names this life was written by it. A record that an unanswered release may still overwrite is
//! written anew before its seat is used, which makes the release fail.

use super::{
    account::{self, Account},
    bucket::{Amount, QUARTERS, RESERVE_QUARTERS, SEAT_QUARTERS},
    claim,
    lease::{self, Active, STORE_TIMEOUT},
    lend, release,
};
use crate::{effect::Effects, id, state::State as Daemon, store, time::Now};
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefix of the seats.
const PREFIX: &str = "gcl/seat/";
/// Time without requests after which seats are given back.
const IDLE_AFTER: Duration = Duration::from_mins(10);

/// Spread of calls that many daemons may make at once.
pub(super) const SPREAD: Duration = Duration::from_millis(400);

/// A holder of a part of a seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The daemon.
    pub daemon: id::Daemon,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// Its lease, zero on reserves.
    pub lease: store::Lease,
}

/// A seat in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The holder of the reserve.
    pub reserve: Option<Owner>,
    /// The holder of the flexible part.
    pub flexible: Option<Owner>,
    /// Tokens that the last holder and its borrowers may still spend; they take up room in its
    /// successor's bucket until they expire.
    pub debt: Amount,
}

/// What a store call is for.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// The lease.
    Lease(lease::Step),
    /// The seats of a workspace.
    Seat(id::Workspace, Step),
}

/// A call about the seats of a workspace.
#[derive(Clone, Debug)]
pub enum Step {
    /// Reads them all.
    List,
    /// Writes a record that names this life.
    Claim(Claim),
    /// Gives a seat back.
    Release(u32),
    /// Reads the holder key of a daemon that seems dead.
    Holder(Seat),
}

/// A seat as the store showed it; revision zero when it is not there.
#[derive(Clone, Debug)]
pub struct Seat {
    /// Its number.
    pub number: u32,
    /// Its record.
    pub record: Record,
    /// The revision of its last change.
    pub revision: id::Revision,
}

/// A claim under way.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The seat with the record written.
    pub seat: Seat,
    /// What the claim adds to the bucket.
    pub gain: Amount,
    /// Whether a former holder's loans may still be spent.
    pub quarantine: bool,
}

/// A seat of which this daemon holds a part.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub record: Record,
    pub revision: id::Revision,
    pub reserve: bool,
    pub flexible: bool,
    pub usable_at: Option<Duration>,
}

impl Held {
    /// Whether its flexible part may be hung on this daemon's lease.
    pub fn lacks_flexible(&self) -> bool {
        let free = |owner: &Owner| {
            self.record.reserve.as_ref().is_some_and(|own| own.daemon == owner.daemon)
        };
        self.reserve && !self.flexible && self.record.flexible.as_ref().is_none_or(free)
    }
}

/// How far a workspace has come into use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// No request has come.
    #[default]
    Unused,
    /// Its seats are to be read once the lease is good.
    Wanted,
    /// Its seats are being read and claimed.
    Claiming,
    /// The first claims have ended.
    Settled,
}

/// The seats of a workspace as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct Seats {
    pub(super) held: IndexMap<u32, Held>,
    pub(super) phase: Phase,
    pub(super) listing: bool,
    pub(super) next_list: Duration,
    pub(super) wait: Duration,
    pub(super) claiming: usize,
    pub(super) unclaimed: usize,
    /// Revisions that an unanswered release expects.
    pub(super) spoiled: IndexMap<u32, id::Revision>,
    /// Seats that seemed to have no holder, and since when.
    pub(super) orphans: IndexMap<u32, Duration>,
}

impl Seats {
    /// Seats whose reserve may be minted.
    #[must_use]
    pub fn reserves(&self) -> i64 {
        self.count(|held| held.reserve)
    }

    /// Seats whose flexible part may be minted while the lease is good.
    #[must_use]
    pub fn flexibles(&self) -> i64 {
        self.count(|held| held.flexible)
    }

    fn count(&self, part: impl Fn(&Held) -> bool) -> i64 {
        let usable = self.held.values().filter(|held| held.usable_at.is_none());
        i64::try_from(usable.filter(|held| part(held)).count()).unwrap_or_default()
    }

    /// Whether the first claims have ended.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.phase == Phase::Settled
    }

    /// Seats known to have no holder.
    #[must_use]
    pub const fn unclaimed(&self) -> usize {
        self.unclaimed
    }

    pub(super) fn end_claim(&mut self) {
        self.claiming = self.claiming.saturating_sub(1);
        if self.claiming == 0 {
            self.phase = Phase::Settled;
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

/// Mints up to now at every account, before something changes what may be minted.
pub fn earn_all(daemon: &mut Daemon, now: Now) {
    let active = lease::active(daemon, now);
    follow_all(daemon, now);
    for account in daemon.limit.accounts.values_mut() {
        account.earn(now, active);
    }
}

/// Follows the rates of the workspaces in use.
fn follow_all(daemon: &mut Daemon, now: Now) {
    let workspaces: Vec<_> = daemon.limit.accounts.keys().cloned().collect();
    for workspace in workspaces {
        account::open(daemon, now, &workspace);
    }
}

/// Drops everything borrowed.
pub fn forget_borrowed(daemon: &mut Daemon) {
    for account in daemon.limit.accounts.values_mut() {
        account.purses.values_mut().for_each(lend::Purse::clear);
    }
}

/// Loses the flexible parts with the lease.
pub fn lose_flexible(daemon: &mut Daemon, now: Now) {
    earn_all(daemon, now);
    for account in daemon.limit.accounts.values_mut() {
        account.seats.held.values_mut().for_each(|held| held.flexible = false);
        account.seats.held.retain(|_, held| held.reserve);
    }
}

/// Loses all seats to another life of this daemon.
pub fn lose_all(daemon: &mut Daemon) {
    for account in daemon.limit.accounts.values_mut() {
        account.seats.held.clear();
        account.bucket.level = 0;
    }
    forget_borrowed(daemon);
}

/// Stops waiting for first claims that the store does not answer.
pub fn on_store_failure(daemon: &mut Daemon) {
    for account in daemon.limit.accounts.values_mut() {
        if account.seats.phase == Phase::Wanted {
            account.seats.phase = Phase::Settled;
            account.short = true;
        }
    }
}

/// Starts to claim seats for a workspace, if this daemon is to hold some.
pub fn come_into_use(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    let account = daemon.limit.accounts.get(workspace);
    if account.is_none_or(|account| account.seats.phase != Phase::Unused) {
        return;
    }
    let me = &daemon.settings.daemon;
    let holder = lend::holders(daemon, workspace).iter().any(|(name, _)| name == me);
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.seats.phase = if holder { Phase::Wanted } else { Phase::Settled };
    }
    if holder && lease::current(daemon, now).is_some() {
        list(daemon, fx, workspace);
    } else if holder {
        lease::want(daemon, now, fx);
    }
}

/// Reads the seats that waited for the lease.
pub fn on_lease(daemon: &mut Daemon, fx: &mut Effects) {
    let accounts = daemon.limit.accounts.iter();
    let waiting = accounts.filter(|(_, account)| account.seats.phase == Phase::Wanted);
    let waiting: Vec<_> = waiting.map(|(workspace, _)| workspace.clone()).collect();
    for workspace in waiting {
        list(daemon, fx, &workspace);
    }
}

fn list(daemon: &mut Daemon, fx: &mut Effects, workspace: &id::Workspace) {
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    if account.seats.phase == Phase::Wanted {
        account.seats.phase = Phase::Claiming;
    }
    if !std::mem::replace(&mut account.seats.listing, true) {
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

/// Takes the store's answer to a call about seats.
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
        Step::Holder(seat) => {
            if let Ok(store::Reply::Value(entry, _)) = result {
                claim::on_holder(daemon, now, fx, workspace, seat, entry.as_ref());
            }
        }
    }
}

/// Does the regular work for all workspaces in use.
pub fn upkeep(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    follow_all(daemon, now);
    let active = lease::active(daemon, now);
    let mut due = Vec::new();
    for (workspace, account) in &mut daemon.limit.accounts {
        tend(account, now, active);
        let idle = now.mono >= account.used.max(account.lent_at) + IDLE_AFTER;
        if idle || account.short || lacks_flexible(account, active) {
            due.push((workspace.clone(), idle));
        }
        measure(account, now, active, fx, workspace);
    }
    let workspaces: Vec<_> = daemon.limit.accounts.keys().cloned().collect();
    for workspace in workspaces {
        lend::give_back(daemon, now, fx, &workspace);
    }
    for (workspace, idle) in due {
        if idle {
            release::retire(daemon, now, fx, &workspace);
        } else {
            claim::rewrite(daemon, now, fx, &workspace);
            relist(daemon, now, fx, &workspace);
        }
    }
}

fn tend(account: &mut Account, now: Now, active: Active) {
    account.earn(now, active);
    lend::upkeep(account, now);
    for held in account.seats.held.values_mut() {
        if held.usable_at.is_some_and(|at| now.mono >= at) {
            held.usable_at = None;
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "quarters are few")]
fn measure(
    account: &Account,
    now: Now,
    active: Active,
    fx: &mut Effects,
    workspace: &id::Workspace,
) {
    let share = account.quarters(active) as f64 / QUARTERS as f64;
    fx.gauge("limit_share", workspace.clone(), share);
    fx.gauge("limit_demand", workspace.clone(), account.demand(now));
}

fn lacks_flexible(account: &Account, active: Active) -> bool {
    active.flexible && account.seats.held.values().any(Held::lacks_flexible)
}

/// Reads the seats again while tokens are short, if this daemon is to hold some.
pub(super) fn relist(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    let account = daemon.limit.accounts.get(workspace);
    let due = account.is_some_and(|account| {
        account.short && !account.seats.listing && now.mono >= account.seats.next_list
    });
    let me = &daemon.settings.daemon;
    if due
        && !daemon.draining
        && lease::current(daemon, now).is_some()
        && lend::holders(daemon, workspace).iter().any(|(name, _)| name == me)
    {
        list(daemon, fx, workspace);
    }
}

const _: () = assert!(RESERVE_QUARTERS < SEAT_QUARTERS, "a seat has a flexible part");
