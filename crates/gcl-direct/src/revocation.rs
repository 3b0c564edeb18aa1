//! Revocation of the leases of daemons that do not acknowledge a move.
//!
//! A registration usually disappears when its lease expires, which its daemon knows by its own
//! clock. A revoked lease ends earlier than its daemon knows: until the next renewal it goes on to
//! use primaries, of all databases. So each revocation is recorded in the store before the lease is
//! ended, and every daemon that moves a primary waits for the authority of a revoked daemon to end
//! as if it had renewed its lease just before.
//!
//! All revocations are in one key, of which each write drops those that are over.

use crate::{
    effect::Effects,
    gossip, lease,
    line::Line,
    registration,
    state::State as Daemon,
    store::{Call, Result, Topic, Written},
};
use bytes::Bytes;
use gcl_core::{id, store::Lease, time::Now};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Key of the recorded revocations.
pub const KEY: &str = "goldcrest/revoked";
/// Time after which a revocation that has not taken effect is requested again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A revoked lease, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The daemon that held the lease.
    pub daemon: id::Daemon,
    /// That daemon's incarnation.
    pub incarnation: id::Incarnation,
    /// The lease.
    pub lease: Lease,
    /// The daemon that revoked it.
    pub by: id::Daemon,
}

/// A recorded revocation.
#[derive(Clone, Debug)]
struct Revocation {
    record: Record,
    /// When this daemon last requested the end of the lease.
    requested_at: Option<Duration>,
    /// When this daemon first saw that the lease has ended.
    ended_at: Option<Duration>,
}

/// Recorded revocations.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The revision of the key, zero for absent.
    key_revision: id::Revision,
    known: IndexMap<Lease, Revocation>,
    /// The write of the key in flight.
    call: Option<id::Call>,
    /// When the key was last written.
    written_at: Option<Duration>,
}

/// Whether a daemon whose lease ended at `ended_at` may still hold its authority.
fn may_hold(daemon: &Daemon, now: Now, ended_at: Duration) -> bool {
    now.since(ended_at) < lease::duration(&daemon.settings.bounds)
}

/// Revocations of leases that may not have ended by the clocks of their daemons.
fn unexpired(daemon: &Daemon, now: Now) -> impl Iterator<Item = &Record> {
    let known = daemon.revocation.known.values();
    known
        .filter(move |it| it.ended_at.is_none_or(|at| may_hold(daemon, now, at)))
        .map(|it| &it.record)
}

/// Daemons that are not listed although they may use primaries by their own clocks: those whose
/// leases were revoked, and those that served callers when they ceased to be listed.
pub fn unlisted_holders(
    daemon: &Daemon,
    now: Now,
) -> impl Iterator<Item = (&id::Daemon, id::Incarnation)> {
    // An earlier release records no revocation. A daemon that serves on a loan after its lease has
    // expired acknowledges moves in its digests.
    let departed = daemon.watch.departed_members().filter(move |(name, incarnation, at)| {
        may_hold(daemon, now, *at) && gossip::served_at(daemon, name, *incarnation, *at)
    });
    let departed = departed.map(|(name, incarnation, _)| (name, incarnation));
    let revoked = unexpired(daemon, now).map(|record| (&record.daemon, record.incarnation));
    // A listed daemon has given up its earlier leases.
    revoked.chain(departed).filter(|(name, _)| !daemon.members.contains_key(*name))
}

/// Whether a daemon's lease was revoked, but may not have ended by its own clock.
#[must_use]
pub fn may_be_unaware(daemon: &Daemon, now: Now, name: &id::Daemon) -> bool {
    unexpired(daemon, now).any(|record| record.daemon == *name)
}

/// Revokes leases of listed daemons: records them, and once that is done ends those that have not
/// ended yet.
pub fn revoke(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    leases: &IndexMap<Lease, id::Daemon>,
) {
    let listed = leases.iter().filter_map(|(lease, name)| {
        let member = daemon.members.get(name).filter(|member| member.lease == *lease)?;
        Some(Record {
            daemon: name.clone(),
            incarnation: member.record.incarnation,
            lease: *lease,
            by: daemon.settings.daemon.clone(),
        })
    });
    let known = &daemon.revocation.known;
    let (recorded, unrecorded): (Vec<_>, Vec<_>) =
        listed.partition(|record| known.contains_key(&record.lease));
    if !unrecorded.is_empty() {
        write(daemon, now, fx, unrecorded);
    }
    for record in recorded {
        let Some(revocation) = daemon.revocation.known.get_mut(&record.lease) else {
            continue;
        };
        if revocation.requested_at.is_none_or(|at| now.since(at) >= RETRY_INTERVAL) {
            revocation.requested_at = Some(now.mono);
            let line = Line::state_change("lease of an unresponsive daemon revoked");
            fx.log(line.with("member", &record.daemon).with("lease", record.lease));
            fx.count("gcl_leases_revoked", "");
            fx.store(Call::Revoke(record.lease));
        }
    }
}

/// Writes the key with further revocations, without those that are over.
fn write(daemon: &mut Daemon, now: Now, fx: &mut Effects, added: Vec<Record>) {
    let state = &daemon.revocation;
    let recently = state.written_at.is_some_and(|at| now.since(at) < lease::RETRY_INTERVAL);
    if state.call.is_some() || recently {
        return;
    }
    let records: Vec<_> = unexpired(daemon, now).cloned().chain(added).collect();
    let value = match serde_json::to_vec(&records) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            let line = Line::state_change("revocations cannot be encoded");
            return fx.log(line.with("error", error));
        }
    };
    let expected = state.key_revision;
    let call = daemon.next_id();
    (daemon.revocation.call, daemon.revocation.written_at) = (Some(call), Some(now.mono));
    fx.store(Call::Write { call, key: KEY.into(), expected, value, lease: 0 });
}

/// Handles the outcome of a write of the key. Returns whether the call was one.
pub fn on_written(
    daemon: &mut Daemon,
    fx: &mut Effects,
    call: id::Call,
    result: &Result<Written>,
) -> bool {
    if daemon.revocation.call.take_if(|it| *it == call).is_none() {
        return false;
    }
    let line = Line::state_change("revocations recorded");
    fx.log(line.with("result", format_args!("{result:?}")));
    // Reading the key tells whether a write without a response was made.
    fx.store(Call::Read(Topic::Coordination));
    true
}

/// Handles the response to the end of a lease: reading the registrations tells whether it ended.
pub fn on_revoked(fx: &mut Effects, lease: Lease, result: Result<()>) {
    if let Err(failure) = result {
        let line = Line::state_change("lease not revoked").with("lease", lease);
        fx.log(line.with("failure", format_args!("{failure:?}")));
    }
    fx.store(Call::Read(Topic::Coordination));
}

/// Handles the key as it was read.
pub fn on_key(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    value: Option<&[u8]>,
    revision: id::Revision,
) {
    daemon.revocation.key_revision = value.map_or(0, |_| revision);
    let records: Vec<Record> = match value.map(serde_json::from_slice).transpose() {
        Ok(records) => records.unwrap_or_default(),
        Err(error) => {
            return fx.log(Line::state_change("revocations unreadable").with("error", error));
        }
    };
    let mut before = std::mem::take(&mut daemon.revocation.known);
    for record in records {
        let (lease, own) = (record.lease, record.incarnation == daemon.incarnation);
        let known = before.swap_remove(&lease);
        if known.is_none() {
            let line = Line::state_change("lease is revoked").with("member", &record.daemon);
            fx.log(line.with("lease", lease).with("by", &record.by));
        }
        let new = || Revocation { record, requested_at: None, ended_at: None };
        daemon.revocation.known.insert(lease, known.unwrap_or_else(new));
        if own && lease == daemon.lease.lease {
            registration::give_up(daemon, now, fx, "the lease is revoked");
        }
    }
}

/// Handles a change of the registrations: a revoked lease that no registration is attached to any
/// more has ended.
pub fn on_members(daemon: &mut Daemon, now: Now) {
    let members = &daemon.members;
    for (lease, revocation) in &mut daemon.revocation.known {
        let member = members.get(&revocation.record.daemon);
        if member.is_none_or(|member| member.lease != *lease) {
            revocation.ended_at.get_or_insert(now.mono);
        }
    }
}

/// Forgets the revocations of an earlier era of the store, whose leases have all ended with it: no
/// primary is moved until the authority of their daemons has ended ([`era::is_settled`]).
pub fn on_era(daemon: &mut Daemon) {
    daemon.revocation = State::default();
}
