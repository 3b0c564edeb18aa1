//! Claims: which seats a daemon reads, claims and takes up.

use super::{
    bucket::{Amount, SEAT_QUARTERS, SEATS},
    lease::{self, Holder},
    lend,
    seat::{Claim, Held, Owner, Phase, Record, SPREAD, Seat, Step, call, key, owner},
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

/// First and last wait before the seats of a workspace are read again while tokens are short.
const RELIST: (Duration, Duration) = (Duration::from_secs(5), Duration::from_mins(10));
/// How long a seat that another daemon should claim stays free before this one does.
const ORPHAN_WAIT: Duration = Duration::from_secs(5);
/// How long a daemon must be gone from the fleet before its reserves move.
const GONE_AFTER: Duration = Duration::from_mins(10);
/// Wait before a seat of a former holder is used, longer than its loans live.
const QUARANTINE: Duration = Duration::from_secs(3);
/// Most flexible parts rewritten in one round after a new lease.
const REWRITES: usize = 2;

type Answer = Result<store::Reply, store::Failure>;

/// Takes the seats of a workspace as the store shows them.
pub(super) fn on_list(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    result: &Answer,
) {
    let jitter = daemon.random.jitter(SPREAD);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    let seats = &mut account.seats;
    seats.listing = false;
    seats.wait = (seats.wait * 2).clamp(RELIST.0, RELIST.1);
    seats.next_list = now.mono + seats.wait + jitter;
    let Ok(store::Reply::List(entries, _)) = result else {
        seats.phase = Phase::Settled;
        account.short = true;
        return;
    };
    account.short = false;
    let mut known = read(entries);
    let free = |number: &u32| known.get(number).is_none_or(|seat| seat.record.reserve.is_none());
    seats.unclaimed = (0..SEATS).filter(free).count();
    let mine = preferred(daemon, workspace);
    for number in 0..SEATS {
        let absent = Seat { number, record: Record::default(), revision: 0 };
        let seat = known.swap_remove(&number).unwrap_or(absent);
        consider(daemon, now, fx, workspace, seat, mine.contains(&number));
    }
    if let Some(account) = daemon.limit.accounts.get_mut(workspace)
        && account.seats.claiming == 0
    {
        account.seats.phase = Phase::Settled;
    }
}

fn read(entries: &[store::Entry]) -> IndexMap<u32, Seat> {
    let seats = entries.iter().filter_map(|entry| {
        let number = entry.key.rsplit('/').next()?.parse().ok()?;
        let record = serde_json::from_slice(&entry.value).ok()?;
        Some((number, Seat { number, record, revision: entry.revision }))
    });
    seats.collect()
}

/// The seats that this daemon should claim first: they go round the failure domains, and in each
/// round its holders.
fn preferred(daemon: &Daemon, workspace: &str) -> Vec<u32> {
    let holders = lend::holders(daemon, workspace);
    let domains: Vec<_> = holders.chunk_by(|left, right| left.1 == right.1).collect();
    let mine = |number: &u32| {
        let number = *number as usize;
        let domain = domains[number % domains.len()];
        domain[number / domains.len() % domain.len()].0 == daemon.settings.daemon
    };
    (0..SEATS).filter(mine).collect()
}

/// Decides what to do about one seat as the store shows it.
fn consider(
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
    let gain = if seat.revision == 0 { account.rate.capacity(SEAT_QUARTERS) } else { 0 };
    let spoiled = account.seats.spoiled.get(&seat.number);
    let sure = spoiled.is_none_or(|spoiled| seat.revision > *spoiled);
    match seat.record.reserve.clone() {
        None if preferred || orphaned(daemon, now, workspace, seat.number, ORPHAN_WAIT) => {
            claim(daemon, now, fx, workspace, &seat, gain, false);
        }
        Some(reserve) if reserve.daemon == daemon.settings.daemon => {
            let same = reserve.incarnation == daemon.incarnation;
            if same && sure {
                take_up(daemon, now, workspace, Claim { seat, gain, quarantine: false });
            } else {
                claim(daemon, now, fx, workspace, &seat, gain, !same);
            }
        }
        Some(reserve) if !member::is_alive(daemon, &reserve.daemon) => {
            consider_dead(daemon, now, fx, workspace, seat);
        }
        _ => {}
    }
}

/// Whether a seat has seemed to have no holder for some time.
fn orphaned(
    daemon: &mut Daemon,
    now: Now,
    workspace: &id::Workspace,
    number: u32,
    wait: Duration,
) -> bool {
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return false;
    };
    account.short = true;
    let since = *account.seats.orphans.entry(number).or_insert(now.mono);
    now.mono >= since + wait
}

/// Looks into a seat whose holder seems dead: its lease must be gone before any part moves.
fn consider_dead(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    seat: Seat,
) {
    if !orphaned(daemon, now, workspace, seat.number, ORPHAN_WAIT) {
        return;
    }
    if let Some(reserve) = &seat.record.reserve {
        let op = store::Op::Get(lease::key(&reserve.daemon));
        call(daemon, fx, workspace, op, Step::Holder(seat));
    }
}

/// Takes the holder key of a daemon that seems dead. Without it, the flexible part may move; the
/// reserve moves only when the daemon has long been gone from the fleet as well.
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
    let known = daemon.member.members.contains_key(&reserve.daemon);
    let own = |held: &Owner| held.daemon == reserve.daemon;
    if !known && orphaned(daemon, now, workspace, seat.number, GONE_AFTER) {
        claim(daemon, now, fx, workspace, &seat, 0, true);
    } else if seat.record.flexible.as_ref().is_none_or(own)
        && let Some(lease) = lease::current(daemon, now)
    {
        let flexible = Some(owner(daemon, lease));
        let seat = Seat { record: Record { flexible, ..seat.record }, ..seat };
        write(daemon, fx, workspace, Claim { seat, gain: 0, quarantine: false });
    }
}

/// Claims a seat: its reserve, and its flexible part unless a third daemon holds it.
fn claim(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    seat: &Seat,
    gain: Amount,
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
    write(daemon, fx, workspace, Claim { seat, gain, quarantine });
}

fn write(daemon: &mut Daemon, fx: &mut Effects, workspace: &id::Workspace, claim: Claim) {
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.seats.claiming += 1;
    }
    let value = serde_json::to_vec(&claim.seat.record).unwrap_or_default().into();
    let (key, expected) = (key(workspace, claim.seat.number), claim.seat.revision);
    let op = store::Op::Put { key, expected, value, lease: 0 };
    call(daemon, fx, workspace, op, Step::Claim(claim));
}

/// Takes the store's answer to a claim.
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
            take_up(daemon, now, workspace, Claim { seat, ..claim });
            let workspace = workspace.clone();
            let reason = "seat claimed".into();
            fx.record(Line { workspace, reason, ..Line::new(Kind::Seat) });
        }
        Ok(store::Reply::Conflict(entry, _)) => {
            on_conflict(daemon, now, workspace, number, entry.as_ref());
        }
        Ok(_) => {}
        Err(_) => read_soon(daemon, now, workspace),
    }
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.seats.end_claim();
    }
}

/// A seat that was thought held has changed: keeps what the record still grants.
fn on_conflict(
    daemon: &mut Daemon,
    now: Now,
    workspace: &id::Workspace,
    number: u32,
    entry: Option<&store::Entry>,
) {
    let held = daemon.limit.accounts.get(workspace).map(|account| &account.seats.held);
    if held.is_none_or(|held| !held.contains_key(&number)) {
        return read_soon(daemon, now, workspace);
    }
    let record = entry.and_then(|entry| serde_json::from_slice(&entry.value).ok());
    let record = record.unwrap_or_default();
    let revision = entry.map_or(0, |entry| entry.revision);
    let seat = Seat { number, record, revision };
    take_up(daemon, now, workspace, Claim { seat, gain: 0, quarantine: false });
}

/// Reads the seats again soon, as the answer to a claim was lost.
fn read_soon(daemon: &mut Daemon, now: Now, workspace: &id::Workspace) {
    let wait = daemon.random.jitter(RELIST.0 / 5);
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.short = true;
        account.seats.next_list = account.seats.next_list.min(now.mono + wait);
    }
}

/// Uses from now on the parts of a seat that its record in the store grants to this life.
fn take_up(daemon: &mut Daemon, now: Now, workspace: &id::Workspace, claim: Claim) {
    let active = lease::active(daemon, now);
    let lease = lease::current(daemon, now);
    let Claim { seat, gain, quarantine } = claim;
    let mine = |part: &Option<Owner>| {
        let own = owner(daemon, 0);
        part.as_ref()
            .is_some_and(|owner| owner.daemon == own.daemon && owner.incarnation == own.incarnation)
    };
    let reserve = mine(&seat.record.reserve);
    let current = seat.record.flexible.as_ref().is_some_and(|owner| Some(owner.lease) == lease);
    let flexible = current && mine(&seat.record.flexible);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    account.earn(now, active);
    let seats = &mut account.seats;
    seats.orphans.swap_remove(&seat.number);
    seats.spoiled.swap_remove(&seat.number);
    if !reserve && !flexible {
        seats.held.swap_remove(&seat.number);
        return;
    }
    let Seat { number, record, revision } = seat;
    let known = seats.held.get(&number);
    let usable_at = match known {
        Some(known) => known.usable_at,
        None => quarantine.then_some(now.mono + QUARANTINE),
    };
    let gained = known.is_none() && reserve;
    if gained {
        seats.unclaimed = seats.unclaimed.saturating_sub(1);
        account.bucket.level = account.bucket.level.saturating_add(gain);
        account.inherit(now, record.debt);
    }
    account.seats.held.insert(number, Held { record, revision, reserve, flexible, usable_at });
}

/// Hangs flexible parts on the present lease, a few in each round.
pub(super) fn rewrite(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    let Some(lease) = lease::current(daemon, now) else {
        return;
    };
    let Some(account) = daemon.limit.accounts.get(workspace) else {
        return;
    };
    if account.seats.claiming > 0 {
        return;
    }
    let lacking = account.seats.held.iter().filter(|(_, held)| held.lacks_flexible());
    let lacking = lacking.take(REWRITES).map(|(number, held)| {
        let flexible = Some(owner(daemon, lease));
        let record = Record { flexible, debt: 0, ..held.record.clone() };
        Seat { number: *number, record, revision: held.revision }
    });
    let lacking: Vec<_> = lacking.collect();
    for seat in lacking {
        write(daemon, fx, workspace, Claim { seat, gain: 0, quarantine: false });
    }
}
