//! Claims of seats: which seats a daemon reads from the store, claims and starts to use.

use super::{
    bucket::{Amount, SEATS, SHARES_PER_SEAT},
    lease::{self, Holder},
    lend,
    seat::{CALL_DELAY, Claim, Holding, Owner, Phase, Record, Seat, Step, call, key, owner},
};
use crate::{
    effect::Effects,
    id, member,
    record::{Kind, Line},
    state::State as Daemon,
    store,
    time::Now,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Minimum and maximum backoff before the seats of a workspace are read again while tokens are
/// short.
const RELIST_BACKOFF: (Duration, Duration) = (Duration::from_secs(5), Duration::from_mins(10));
/// How long a seat that another daemon should claim may stay without a holder before this daemon
/// claims it.
const UNHELD_WAIT: Duration = Duration::from_secs(5);
/// How long a daemon must be gone from the fleet before others claim its reserves.
const GONE_AFTER: Duration = Duration::from_mins(10);
/// Wait before the seat of a former holder is used. Longer than [`lend::LOAN_TTL`], so that its
/// loans have expired.
const QUARANTINE: Duration = Duration::from_secs(3);
/// Maximum number of flexible shares rewritten in one round of upkeep after a new lease.
const MAX_REWRITES: usize = 2;

type Answer = Result<store::Reply, store::Failure>;

/// Handles the list of a workspace's seats in the store.
pub(super) fn on_list(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    result: &Answer,
) {
    let jitter = daemon.random.jitter(CALL_DELAY);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    let seats = &mut account.seats;
    seats.list_pending = false;
    seats.list_backoff = (seats.list_backoff * 2).clamp(RELIST_BACKOFF.0, RELIST_BACKOFF.1);
    seats.next_list_at = now.mono + seats.list_backoff + jitter;
    let Ok(store::Reply::List(entries, _)) = result else {
        seats.phase = Phase::Ready;
        account.short_of_tokens = true;
        return;
    };
    account.short_of_tokens = false;
    let mut listed = parse(entries);
    let free = |number: &u32| listed.get(number).is_none_or(|seat| seat.record.reserve.is_none());
    seats.unclaimed = (0..SEATS).filter(free).count();
    let preferred = preferred_seats(daemon, workspace);
    for number in 0..SEATS {
        let absent = Seat { number, record: Record::default(), revision: 0 };
        let seat = listed.swap_remove(&number).unwrap_or(absent);
        evaluate(daemon, now, fx, workspace, seat, preferred.contains(&number));
    }
    if let Some(account) = daemon.limit.accounts.get_mut(workspace)
        && account.seats.pending_claims == 0
    {
        account.seats.phase = Phase::Ready;
    }
}

fn parse(entries: &[store::Entry]) -> IndexMap<u32, Seat> {
    let seats = entries.iter().filter_map(|entry| {
        let number = entry.key.rsplit('/').next()?.parse().ok()?;
        let record = serde_json::from_slice(&entry.value).ok()?;
        Some((number, Seat { number, record, revision: entry.revision }))
    });
    seats.collect()
}

/// The seats that this daemon should claim first. Seats are assigned round-robin to the failure
/// domains, and within a domain round-robin to its holders.
fn preferred_seats(daemon: &Daemon, workspace: &str) -> Vec<u32> {
    let holders = lend::seat_holders(daemon, workspace);
    let domains: Vec<_> = holders.chunk_by(|left, right| left.1 == right.1).collect();
    let is_own = |number: &u32| {
        let number = *number as usize;
        let domain = domains[number % domains.len()];
        domain[number / domains.len() % domain.len()].0 == daemon.settings.daemon
    };
    (0..SEATS).filter(is_own).collect()
}

/// Decides by a seat's record in the store whether to use the seat, to claim it or to leave it.
fn evaluate(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    seat: Seat,
    preferred: bool,
) {
    let Some(account) = daemon.limit.accounts.get(workspace) else {
        return;
    };
    if account.seats.held.contains_key(&seat.number) {
        return;
    }
    let initial_tokens =
        if seat.revision == 0 { account.rate.capacity(SHARES_PER_SEAT) } else { 0 };
    let released = account.seats.pending_releases.get(&seat.number);
    let release_superseded = released.is_none_or(|released| seat.revision > *released);
    match seat.record.reserve.clone() {
        None if preferred || is_unheld_for(daemon, now, workspace, seat.number, UNHELD_WAIT) => {
            claim(daemon, now, fx, workspace, &seat, initial_tokens, false);
        }
        Some(reserve) if reserve.daemon == daemon.settings.daemon => {
            let same_incarnation = reserve.incarnation == daemon.incarnation;
            if same_incarnation && release_superseded {
                apply(daemon, now, workspace, Claim { seat, initial_tokens, quarantine: false });
            } else {
                claim(daemon, now, fx, workspace, &seat, initial_tokens, !same_incarnation);
            }
        }
        Some(reserve) if !member::is_alive(daemon, &reserve.daemon) => {
            check_dead_holder(daemon, now, fx, workspace, seat);
        }
        _ => {}
    }
}

/// Records that a seat appears to have no holder, and has the seats read again. Returns whether it
/// has appeared so for at least `wait`.
fn is_unheld_for(
    daemon: &mut Daemon,
    now: Now,
    workspace: &id::Workspace,
    number: u32,
    wait: Duration,
) -> bool {
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return false;
    };
    account.short_of_tokens = true;
    let since = *account.seats.unheld_since.entry(number).or_insert(now.mono);
    now.mono >= since + wait
}

/// Reads the holder key of a seat whose holder appears dead: its lease must have lapsed before any
/// share moves.
fn check_dead_holder(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    seat: Seat,
) {
    if !is_unheld_for(daemon, now, workspace, seat.number, UNHELD_WAIT) {
        return;
    }
    if let Some(reserve) = &seat.record.reserve {
        let op = store::Op::Get(lease::key(&reserve.daemon));
        call(daemon, fx, workspace, op, Step::ReadHolder(seat));
    }
}

/// Handles the holder key of a daemon that appears dead. If the key is missing, this daemon claims
/// the flexible share, unless a third daemon holds that. It claims the reserve only if the dead
/// daemon has also been gone from the fleet for [`GONE_AFTER`].
pub(super) fn on_holder(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    seat: Seat,
    entry: Option<&store::Entry>,
) {
    let holder = entry.and_then(|entry| serde_json::from_slice::<Holder>(&entry.value).ok());
    let Some(reserve) = seat.record.reserve.clone().filter(|_| holder.is_none()) else {
        return;
    };
    let is_member = daemon.member.members.contains_key(&reserve.daemon);
    let same_daemon = |owner: &Owner| owner.daemon == reserve.daemon;
    if !is_member && is_unheld_for(daemon, now, workspace, seat.number, GONE_AFTER) {
        claim(daemon, now, fx, workspace, &seat, 0, true);
    } else if seat.record.flexible.as_ref().is_none_or(same_daemon)
        && let Some(lease) = lease::current(daemon, now)
    {
        let flexible = Some(owner(daemon, lease));
        let seat = Seat { record: Record { flexible, ..seat.record }, ..seat };
        write(daemon, fx, workspace, Claim { seat, initial_tokens: 0, quarantine: false });
    }
}

/// Claims a seat: its reserve, and its flexible share unless a third daemon holds that.
fn claim(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    seat: &Seat,
    initial_tokens: Amount,
    quarantine: bool,
) {
    let former = seat.record.reserve.as_ref().map(|reserve| &reserve.daemon);
    let third = seat
        .record
        .flexible
        .clone()
        .filter(|held| held.daemon != daemon.settings.daemon && Some(&held.daemon) != former);
    let own = lease::current(daemon, now).map(|lease| owner(daemon, lease));
    let reserve = Some(owner(daemon, 0));
    let record = Record { reserve, flexible: third.or(own), debt: seat.record.debt };
    let seat = Seat { record, ..*seat };
    write(daemon, fx, workspace, Claim { seat, initial_tokens, quarantine });
}

fn write(daemon: &mut Daemon, fx: &mut Effects, workspace: &id::Workspace, claim: Claim) {
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.seats.pending_claims += 1;
    }
    let value = serde_json::to_vec(&claim.seat.record).unwrap_or_default().into();
    let (key, expected) = (key(workspace, claim.seat.number), claim.seat.revision);
    let op = store::Op::Put { key, expected, value, lease: 0 };
    call(daemon, fx, workspace, op, Step::Claim(claim));
}

/// Handles the store's answer to a claim.
pub(super) fn on_claim(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    claim: Claim,
    result: &Answer,
) {
    let number = claim.seat.number;
    match result {
        Ok(store::Reply::Changed(revision)) => {
            let seat = Seat { revision: *revision, ..claim.seat };
            apply(daemon, now, workspace, Claim { seat, ..claim });
            let workspace = workspace.clone();
            let reason = "seat claimed".into();
            fx.record(Line { workspace, reason, ..Line::new(Kind::Seat) });
        }
        Ok(store::Reply::Conflict(entry, _)) => {
            on_conflict(daemon, now, workspace, number, entry.as_ref());
        }
        Ok(_) => {}
        Err(_) => relist_soon(daemon, now, workspace),
    }
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.seats.finish_claim();
    }
}

/// Handles a claim that failed because the record had changed. If this daemon held the seat, it
/// keeps the shares that the new record still grants to it.
fn on_conflict(
    daemon: &mut Daemon,
    now: Now,
    workspace: &id::Workspace,
    number: u32,
    entry: Option<&store::Entry>,
) {
    let held = daemon.limit.accounts.get(workspace).map(|account| &account.seats.held);
    if held.is_none_or(|held| !held.contains_key(&number)) {
        return relist_soon(daemon, now, workspace);
    }
    let record = entry.and_then(|entry| serde_json::from_slice(&entry.value).ok());
    let record = record.unwrap_or_default();
    let revision = entry.map_or(0, |entry| entry.revision);
    let seat = Seat { number, record, revision };
    apply(daemon, now, workspace, Claim { seat, initial_tokens: 0, quarantine: false });
}

/// Reads the seats again soon, as the outcome of a claim is unknown or the record had changed.
fn relist_soon(daemon: &mut Daemon, now: Now, workspace: &id::Workspace) {
    let wait = daemon.random.jitter(RELIST_BACKOFF.0 / 5);
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.short_of_tokens = true;
        account.seats.next_list_at = account.seats.next_list_at.min(now.mono + wait);
    }
}

/// Starts to use the shares of a seat that its record in the store grants to this incarnation.
fn apply(daemon: &mut Daemon, now: Now, workspace: &id::Workspace, claim: Claim) {
    let active = lease::active(daemon, now);
    let lease = lease::current(daemon, now);
    let Claim { seat, initial_tokens, quarantine } = claim;
    let is_own = |holder: &Option<Owner>| {
        let own = owner(daemon, 0);
        holder
            .as_ref()
            .is_some_and(|owner| owner.daemon == own.daemon && owner.incarnation == own.incarnation)
    };
    let reserve = is_own(&seat.record.reserve);
    let current = seat.record.flexible.as_ref().is_some_and(|owner| Some(owner.lease) == lease);
    let flexible = current && is_own(&seat.record.flexible);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    account.refill(now, active);
    let seats = &mut account.seats;
    seats.unheld_since.swap_remove(&seat.number);
    seats.pending_releases.swap_remove(&seat.number);
    if !reserve && !flexible {
        seats.held.swap_remove(&seat.number);
        return;
    }
    let Seat { number, record, revision } = seat;
    let previous = seats.held.get(&number);
    let usable_at = match previous {
        Some(previous) => previous.usable_at,
        None => quarantine.then_some(now.mono + QUARANTINE),
    };
    let gained = previous.is_none() && reserve;
    if gained {
        seats.unclaimed = seats.unclaimed.saturating_sub(1);
        account.bucket.level = account.bucket.level.saturating_add(initial_tokens);
        account.add_inherited_debt(now, record.debt);
    }
    account.seats.held.insert(number, Holding { record, revision, reserve, flexible, usable_at });
}

/// Attaches flexible shares of held seats to the current lease, a few in each round.
pub(super) fn attach_flexible(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
) {
    let Some(lease) = lease::current(daemon, now) else {
        return;
    };
    let Some(account) = daemon.limit.accounts.get(workspace) else {
        return;
    };
    if account.seats.pending_claims > 0 {
        return;
    }
    let detached = account.seats.held.iter().filter(|(_, held)| held.can_attach_flexible());
    let detached = detached.take(MAX_REWRITES).map(|(number, held)| {
        let flexible = Some(owner(daemon, lease));
        let record = Record { flexible, debt: 0, ..held.record.clone() };
        Seat { number: *number, record, revision: held.revision }
    });
    let detached: Vec<_> = detached.collect();
    for seat in detached {
        write(daemon, fx, workspace, Claim { seat, initial_tokens: 0, quarantine: false });
    }
}
