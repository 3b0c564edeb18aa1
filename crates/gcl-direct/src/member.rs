//! This daemon's key in the store: the lease is kept alive, and what others wait for is written.

use crate::{
    effect::Effects,
    era, gossip,
    lease::{self, RENEWAL, RETRY, Release, Stage, TIME},
    line::Line,
    right,
    role::Role,
    state::State as Daemon,
    store::{Call, Failure, Result, Topic, Written},
    timer,
};
use bytes::Bytes;
use gcl_core::{id, store::Lease, time::Now};
use std::time::Duration;

/// Asks for a lease, as soon as the store's era allows it.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let due = era::joins_at(daemon, now);
    if now.mono < due {
        return daemon.timers.arm(timer::Key::Lease, due);
    }
    daemon.lease.record.incarnation = daemon.incarnation;
    daemon.lease.record.address = daemon.settings.peer_address.clone();
    daemon.lease.record.domain = daemon.settings.domain.clone();
    daemon.lease.record.millicores = daemon.settings.millicores;
    daemon.lease.stage = Stage::Asked;
    daemon.lease.sent = now.mono;
    fx.store(Call::Grant(TIME.max(daemon.settings.bounds.lease_min)));
}

/// Does what is due for the lease.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let unwritten = daemon.lease.changed && daemon.lease.call.is_none();
    match daemon.lease.stage {
        Stage::None => start(daemon, now, fx),
        Stage::Asked => {}
        Stage::Writing if !unwritten => {}
        // A write that failed is made again once the key has been read.
        Stage::Writing | Stage::Reading => fx.store(Call::Read(Topic::Own)),
        Stage::Held => {
            if unwritten {
                fx.store(Call::Read(Topic::Own));
            }
            daemon.lease.sent = now.mono;
            fx.store(Call::Renew(daemon.lease.lease));
        }
    }
}

fn arm(daemon: &mut Daemon, now: Now, after: Duration) {
    daemon.timers.arm(timer::Key::Lease, now.mono + after);
}

/// Takes the answer to the request for a lease.
pub fn on_granted(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    result: Result<(Lease, Duration)>,
) {
    match result {
        Ok((lease, time)) => {
            daemon.lease.lease = lease;
            daemon.lease.time = time;
            daemon.lease.since = daemon.lease.sent;
            daemon.lease.stage = Stage::Writing;
            write(daemon, fx);
        }
        Err(failure) => {
            daemon.lease.end();
            let line = Line::state_change("lease refused");
            fx.log(line.with("failure", format_args!("{failure:?}")));
            arm(daemon, now, RETRY);
        }
    }
}

/// Writes this daemon's key, unless a write is in flight already.
pub fn write(daemon: &mut Daemon, fx: &mut Effects) {
    if daemon.lease.call.is_some() || daemon.lease.lease == 0 {
        daemon.lease.changed = true;
        return;
    }
    let value = match serde_json::to_vec(&daemon.lease.record) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            return fx.log(Line::state_change("own key cannot be encoded").with("error", error));
        }
    };
    let call = daemon.next_id();
    daemon.lease.call = Some(call);
    daemon.lease.changed = false;
    fx.store(Call::Write {
        call,
        key: lease::key(&daemon.settings.daemon),
        expected: daemon.lease.revision,
        value,
        lease: daemon.lease.lease,
    });
}

/// Takes the end of a write of this daemon's key; true when the call was one.
pub fn on_written(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    call: id::Call,
    result: Result<Written>,
) -> bool {
    if daemon.lease.call != Some(call) {
        return false;
    }
    let made = match result {
        Ok(written) => daemon.lease.on_written(written),
        Err(failure) => {
            daemon.lease.call = None;
            let line = Line::state_change("own key not written");
            fx.log(line.with("failure", format_args!("{failure:?}")));
            false
        }
    };
    if made && daemon.lease.stage == Stage::Writing {
        daemon.lease.stage = Stage::Reading;
        fx.store(Call::Read(Topic::Own));
    } else if made && daemon.lease.changed {
        write(daemon, fx);
    } else if !made {
        // The key is read again first, since its revision is not known.
        daemon.lease.changed = true;
        fx.store(Call::Read(Topic::Own));
        arm(daemon, now, RETRY);
    }
    true
}

/// Goes on once the daemons' keys were read at a revision.
///
/// Intentions that were written before this daemon's key are only then certainly known.
pub fn on_read(daemon: &mut Daemon, now: Now, fx: &mut Effects, result: Result<id::Revision>) {
    // Others read the list of hosts, and have no key.
    if daemon.role.current != Role::Host {
        return;
    }
    let Ok(revision) = result else {
        return arm(daemon, now, RETRY);
    };
    match daemon.lease.stage {
        Stage::Reading if revision < daemon.lease.revision => fx.store(Call::Read(Topic::Own)),
        Stage::Reading => {
            daemon.lease.stage = Stage::Held;
            let left = daemon.lease.until().saturating_sub(now.mono);
            let line = Line::state_change("right gained").with("lease", daemon.lease.lease);
            fx.log(line.with("revision", revision).millis("left", left));
            gossip::send_now(daemon, now);
            arm(daemon, now, RENEWAL);
        }
        Stage::Writing => write(daemon, fx),
        _ => {}
    }
    if daemon.lease.changed {
        write(daemon, fx);
    }
}

/// Takes the end of a renewal.
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
    match result {
        Ok(true) => {
            daemon.lease.since = daemon.lease.sent;
            arm(daemon, now, RENEWAL);
        }
        Ok(false) => {
            let line = Line::state_change("right lost").with("lease", lease);
            fx.log(line.with("reason", "the lease has ended"));
            daemon.lease.end();
            arm(daemon, now, Duration::ZERO);
        }
        Err(failure) => on_not_renewed(daemon, now, fx, failure),
    }
}

fn on_not_renewed(daemon: &mut Daemon, now: Now, fx: &mut Effects, failure: Failure) {
    let left = daemon.lease.until().saturating_sub(now.mono);
    let line = Line::state_change("lease not renewed").with("failure", format_args!("{failure:?}"));
    fx.log(line.millis("left", left));
    fx.count("gcl_lease_not_renewed", "");
    arm(daemon, now, RETRY);
}

/// Tells those who move a primary that this daemon uses the old one no more.
pub fn acknowledge(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    release: Release,
) {
    let known = daemon.lease.record.acknowledged.get(database).map(|known| known.revision);
    if known != Some(release.revision) {
        daemon.lease.record.acknowledged.insert(database.clone(), release);
        gossip::send_now(daemon, now);
        write(daemon, fx);
    }
}

/// Whether the daemon can serve callers: it knows where to send them, and may use primaries.
#[must_use]
pub fn can_serve(daemon: &Daemon, now: Now) -> bool {
    if daemon.role.current != Role::Host {
        return daemon.config.is_some() && daemon.discovery.is_fresh(now);
    }
    let knows = daemon.config.as_ref().is_some_and(|config| {
        config.databases.keys().any(|database| right::primary(daemon, now, database).is_ok())
    });
    knows && right::holds(daemon, now)
}
