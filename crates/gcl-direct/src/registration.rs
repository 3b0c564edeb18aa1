//! This daemon's registration in the store: keeps its lease alive, and writes its acknowledgements.
//!
//! The registration is a key that is attached to the daemon's lease ([`crate::lease`]). It lists
//! the daemon as a host, and disappears with the lease.

use crate::{
    authority,
    effect::Effects,
    era, gossip,
    group::Leader,
    lease::{self, Acknowledgement, RENEWAL_INTERVAL, RETRY_INTERVAL, Stage},
    line::Line,
    role::Role,
    state::State as Daemon,
    store::{Call, Failure, Result, Topic, Written},
    timer,
};
use bytes::Bytes;
use gcl_core::{id, store::Lease, time::Now};
use std::time::Duration;

/// Requests a lease, as soon as the store's era allows it.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let due = era::lease_due_at(daemon, now);
    if now.mono < due {
        return daemon.timers.arm(timer::Key::Lease, due);
    }
    daemon.lease.record.incarnation = daemon.incarnation;
    daemon.lease.record.address = daemon.settings.peer_address.clone();
    daemon.lease.record.domain = daemon.settings.domain.clone();
    daemon.lease.record.millicores = daemon.settings.millicores;
    daemon.lease.stage = Stage::Requested;
    daemon.lease.last_sent = now.mono;
    fx.store(Call::Grant(lease::duration(&daemon.settings.bounds)));
}

/// Runs the next step for the lease.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let unwritten = daemon.lease.dirty && daemon.lease.write.is_none();
    match daemon.lease.stage {
        Stage::None => start(daemon, now, fx),
        Stage::Requested => {}
        Stage::Writing if !unwritten => {}
        // A failed write is repeated once the key has been read.
        Stage::Writing | Stage::Reading => fx.store(Call::Read(Topic::Coordination)),
        Stage::Held => {
            if unwritten {
                fx.store(Call::Read(Topic::Coordination));
            }
            // The answer to one of two renewals would not tell which of them was made.
            if !std::mem::replace(&mut daemon.lease.renewing, true) {
                daemon.lease.last_sent = now.mono;
                fx.store(Call::Renew(daemon.lease.lease));
            }
        }
    }
}

fn arm(daemon: &mut Daemon, now: Now, after: Duration) {
    daemon.timers.arm(timer::Key::Lease, now.mono + after);
}

/// Handles the response to a lease request.
pub fn on_granted(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    result: Result<(Lease, Duration)>,
) {
    match result {
        Ok((lease, ttl)) => {
            daemon.lease.lease = lease;
            daemon.lease.ttl = ttl;
            daemon.lease.granted_at = daemon.lease.last_sent;
            daemon.lease.stage = Stage::Writing;
            write(daemon, fx);
        }
        Err(failure) => {
            daemon.lease.clear();
            let line = Line::state_change("lease refused");
            fx.log(line.with("failure", format_args!("{failure:?}")));
            arm(daemon, now, RETRY_INTERVAL);
        }
    }
}

/// Writes the registration, unless a write is already in flight.
pub fn write(daemon: &mut Daemon, fx: &mut Effects) {
    if daemon.lease.write.is_some() || daemon.lease.lease == 0 {
        daemon.lease.dirty = true;
        return;
    }
    let value = match serde_json::to_vec(&daemon.lease.record) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            return fx
                .log(Line::state_change("registration cannot be encoded").with("error", error));
        }
    };
    let call = daemon.next_id();
    daemon.lease.write = Some(call);
    daemon.lease.dirty = false;
    fx.store(Call::Write {
        call,
        key: lease::key(&daemon.settings.daemon),
        expected: daemon.lease.revision,
        value,
        lease: daemon.lease.lease,
    });
}

/// Handles the outcome of a write of the registration. Returns whether the call was one.
pub fn on_written(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    call: id::Call,
    result: Result<Written>,
) -> bool {
    if daemon.lease.write != Some(call) {
        return false;
    }
    let succeeded = match result {
        Ok(written) => daemon.lease.on_written(written),
        Err(failure) => {
            daemon.lease.write = None;
            let line = Line::state_change("registration not written");
            fx.log(line.with("failure", format_args!("{failure:?}")));
            false
        }
    };
    if succeeded && daemon.lease.stage == Stage::Writing {
        daemon.lease.stage = Stage::Reading;
        fx.store(Call::Read(Topic::Coordination));
    } else if succeeded && daemon.lease.dirty {
        write(daemon, fx);
    } else if !succeeded {
        // Its revision is unknown, so the key is read first.
        daemon.lease.dirty = true;
        fx.store(Call::Read(Topic::Coordination));
        arm(daemon, now, RETRY_INTERVAL);
    }
    true
}

/// Continues once the coordination keys were read at a revision.
///
/// Only then are all intentions known that were written before this daemon's registration.
pub fn on_read(daemon: &mut Daemon, now: Now, fx: &mut Effects, result: Result<id::Revision>) {
    // Other roles read the list of hosts and have no registration.
    if daemon.role.current != Role::Host {
        return;
    }
    let Ok(revision) = result else {
        return arm(daemon, now, RETRY_INTERVAL);
    };
    match daemon.lease.stage {
        Stage::Reading if revision < daemon.lease.revision => {
            fx.store(Call::Read(Topic::Coordination));
        }
        Stage::Reading => {
            daemon.lease.stage = Stage::Held;
            let left = daemon.lease.expires_at().saturating_sub(now.mono);
            let line = Line::state_change("right gained").with("lease", daemon.lease.lease);
            fx.log(line.with("revision", revision).millis("left", left));
            gossip::send_now(daemon, now);
            arm(daemon, now, RENEWAL_INTERVAL);
        }
        Stage::Writing => write(daemon, fx),
        _ => {}
    }
    if daemon.lease.dirty {
        write(daemon, fx);
    }
}

/// Handles the outcome of a renewal.
pub fn on_renewed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    lease: Lease,
    result: Result<bool>,
) {
    if lease != daemon.lease.lease {
        return;
    }
    daemon.lease.renewing = false;
    match result {
        Ok(true) => {
            daemon.lease.granted_at = daemon.lease.last_sent;
            arm(daemon, now, RENEWAL_INTERVAL);
        }
        Ok(false) => give_up(daemon, now, fx, "the lease has ended"),
        Err(failure) => on_renewal_failed(daemon, now, fx, failure),
    }
}

/// Gives up the lease and its authority, and requests another lease.
pub fn give_up(daemon: &mut Daemon, now: Now, fx: &mut Effects, reason: &'static str) {
    let line = Line::state_change("right lost").with("lease", daemon.lease.lease);
    fx.log(line.with("reason", reason));
    daemon.lease.give_up();
    arm(daemon, now, Duration::ZERO);
}

fn on_renewal_failed(daemon: &mut Daemon, now: Now, fx: &mut Effects, failure: Failure) {
    let left = daemon.lease.expires_at().saturating_sub(now.mono);
    let line = Line::state_change("lease not renewed").with("failure", format_args!("{failure:?}"));
    fx.log(line.millis("left", left));
    fx.count("gcl_lease_not_renewed", "");
    arm(daemon, now, RETRY_INTERVAL);
}

/// Publishes the acknowledgement that this daemon no longer uses an old primary, in its
/// registration and at once in digests.
pub fn acknowledge(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    acknowledgement: Acknowledgement,
) {
    let known = daemon.lease.record.acknowledged.get(database).map(|known| known.revision);
    if known != Some(acknowledgement.revision) {
        daemon.lease.record.acknowledged.insert(database.clone(), acknowledgement);
        gossip::send_now(daemon, now);
        write(daemon, fx);
    }
}

/// Whether the daemon can serve callers: a host may use primaries and knows one or its move, an
/// entry has a configuration and recent data from the hosts.
#[must_use]
pub fn can_serve(daemon: &Daemon, now: Now) -> bool {
    if daemon.role.current != Role::Host {
        return daemon.config.is_some() && daemon.discovery.is_fresh(now);
    }
    // While a primary is moved, its database still serves reads, and all daemons are affected alike.
    let knows_primary = daemon.config.as_ref().is_some_and(|config| {
        let mut leaders = config.databases.keys().map(|name| authority::leader(daemon, name));
        leaders.any(|leader| leader != Leader::Unknown)
    });
    knows_primary && authority::is_held(daemon, now)
}
