//! The list of members and the precedence of rumors about them.
//!
//! Incarnations of a daemon are ordered by the wall-clock time of their start, rumors about one
//! incarnation by a version that only that incarnation raises. A daemon that receives a rumor of
//! its own suspicion refutes it by raising its version. Wall clocks decide only which incarnation
//! of a name is the latest.

use super::{Member, gossip};
use crate::{
    effect::Effects,
    group, home, id, random,
    record::{Kind, Line},
    rendezvous,
    state::State as Daemon,
    store::Vm,
    time::Now,
};
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time that a suspected daemon has to refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a dead daemon that the platform no longer lists is removed.
const DEAD_RETENTION: Duration = Duration::from_mins(10);

/// The status of a daemon; of rumors with the same version, the later variant takes precedence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Status {
    /// It answers probes.
    #[default]
    Alive,
    /// It did not answer a probe and may refute the suspicion.
    Suspect,
    /// It has failed or is leaving.
    Dead,
}

/// A rumor: what is known about one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The daemon's name.
    pub daemon: id::Daemon,
    /// The daemon's failure domain.
    pub domain: id::Domain,
    /// Address of the daemon's peer port as `ip:port`.
    pub address: CompactString,
    /// The daemon's incarnation, zero if unknown.
    pub incarnation: id::Incarnation,
    /// Wall-clock time of the daemon's start in milliseconds, zero if it is only known from a list.
    pub born: u64,
    /// The number of refutations by this incarnation.
    pub version: u64,
    /// The daemon's status.
    pub status: Status,
}

impl Rumor {
    const fn precedence(&self) -> (u64, u64, Status) {
        (self.born, self.version, self.status)
    }

    fn hash(&self) -> u64 {
        let state = random::mix(self.born ^ random::mix(self.version ^ (self.status as u64) << 56));
        random::mix(rendezvous::hash(&self.daemon) ^ state)
    }
}

/// The protocol state of a member.
#[derive(Clone, Debug)]
struct Entry {
    rumor: Rumor,
    updated_at: Duration,
    last_contact: Duration,
}

/// The list of members.
#[derive(Clone, Debug, Default)]
pub(super) struct List {
    own: Rumor,
    entries: IndexMap<id::Daemon, Entry>,
    digest: u64,
    changed: bool,
    /// Increases with each change of the live members.
    pub epoch: u64,
}

/// Initializes the entry of this daemon itself.
pub(super) fn start(daemon: &mut Daemon, now: Now) {
    let own = Rumor {
        daemon: daemon.settings.daemon.clone(),
        domain: daemon.settings.domain.clone(),
        address: daemon.settings.peer_address(),
        incarnation: daemon.incarnation,
        born: u64::try_from(now.wall.as_millis()).unwrap_or(u64::MAX).max(1),
        version: 0,
        status: Status::Alive,
    };
    daemon.member.list.own = own;
}

/// The rumor about this daemon itself.
pub(super) fn own(daemon: &Daemon) -> Rumor {
    daemon.member.list.own.clone()
}

/// The rumor about a member.
pub(super) fn rumor(daemon: &Daemon, name: &id::Daemon) -> Option<Rumor> {
    daemon.member.list.entries.get(name).map(|entry| entry.rumor.clone())
}

/// Whether a member is suspected or dead.
pub(super) fn is_suspected_or_dead(daemon: &Daemon, name: &id::Daemon) -> bool {
    let entry = daemon.member.list.entries.get(name);
    entry.is_some_and(|entry| entry.rumor.status != Status::Alive)
}

/// The whole list, including this daemon.
pub(super) fn all(daemon: &Daemon) -> Vec<Rumor> {
    let list = &daemon.member.list;
    let others = list.entries.values().map(|entry| entry.rumor.clone());
    std::iter::once(list.own.clone()).chain(others).collect()
}

/// A hash of the whole list, including this daemon; the same for equal lists in any order.
pub(super) fn digest(daemon: &Daemon) -> u64 {
    daemon.member.list.digest ^ daemon.member.list.own.hash()
}

/// Adds a daemon that is only known from the settings or the platform's list, if it is new.
pub(super) fn introduce(daemon: &mut Daemon, now: Now, rumor: Rumor) {
    if !daemon.member.list.entries.contains_key(&rumor.daemon) {
        merge_and_spread(daemon, now, rumor);
    }
}

/// Merges a rumor and spreads it if it was new.
pub(super) fn merge_and_spread(daemon: &mut Daemon, now: Now, rumor: Rumor) {
    let name = rumor.daemon.clone();
    if merge(daemon, now, rumor) {
        gossip::enqueue(daemon, &name);
    }
}

/// Merges a rumor into the list; returns whether it was new.
pub(super) fn merge(daemon: &mut Daemon, now: Now, rumor: Rumor) -> bool {
    if rumor.daemon == daemon.settings.daemon {
        return refute(daemon, &rumor);
    }
    let list = &mut daemon.member.list;
    let old = list.entries.get(&rumor.daemon);
    if old.is_some_and(|old| old.rumor.precedence() >= rumor.precedence()) {
        return false;
    }
    list.digest ^= old.map_or(0, |old| old.rumor.hash()) ^ rumor.hash();
    let last_contact = old.map_or(now.mono, |old| old.last_contact);
    let entry = Entry { rumor: rumor.clone(), updated_at: now.mono, last_contact };
    list.entries.insert(rumor.daemon.clone(), entry);
    let alive = rumor.status != Status::Dead;
    let members = &mut daemon.member.members;
    let relevant = members.get(&rumor.daemon).is_none_or(|old| {
        old.alive != alive || old.domain != rumor.domain || old.incarnation != rumor.incarnation
    });
    daemon.member.list.changed |= relevant;
    let Rumor { daemon: name, domain, address, incarnation, .. } = rumor;
    let member = Member { daemon: name.clone(), domain, address, incarnation, alive };
    members.insert(name, member);
    true
}

/// Refutes a rumor about this daemon that would override its own entry; returns whether it did.
fn refute(daemon: &mut Daemon, rumor: &Rumor) -> bool {
    let draining = daemon.draining;
    let own = &mut daemon.member.list.own;
    if rumor.precedence() <= own.precedence() || draining {
        return false;
    }
    own.born = own.born.max(rumor.born);
    own.version = own.version.max(rumor.version) + 1;
    true
}

/// Marks this daemon as dead because it is leaving, and returns the rumor.
pub(super) fn mark_left(daemon: &mut Daemon) -> Rumor {
    let own = &mut daemon.member.list.own;
    own.version += 1;
    own.status = Status::Dead;
    let rumor = own.clone();
    gossip::enqueue(daemon, &rumor.daemon);
    rumor
}

/// Records contact with a daemon; returns whether to probe it, so that it learns of a rumor about
/// itself that is wrong.
pub(super) fn record_contact(
    daemon: &mut Daemon,
    now: Now,
    from: &id::Daemon,
    incarnation: id::Incarnation,
) -> bool {
    let Some(entry) = daemon.member.list.entries.get_mut(from) else {
        return false;
    };
    let silent = now.since(entry.last_contact) >= SUSPICION_TIMEOUT;
    entry.last_contact = now.mono;
    let same = entry.rumor.incarnation == incarnation;
    silent && (!same || entry.rumor.status != Status::Alive)
}

/// Suspects a member from which nothing has arrived since the probe sent at `sent`.
pub(super) fn suspect(daemon: &mut Daemon, now: Now, name: &id::Daemon, sent: Duration) {
    let Some(entry) = daemon.member.list.entries.get(name) else {
        return;
    };
    if entry.rumor.status == Status::Alive && entry.last_contact <= sent {
        let rumor = Rumor { status: Status::Suspect, ..entry.rumor.clone() };
        merge_and_spread(daemon, now, rumor);
    }
}

/// Declares suspects dead that did not refute the suspicion in time.
pub(super) fn expire_suspects(daemon: &mut Daemon, now: Now) {
    let entries = daemon.member.list.entries.values();
    let expired = entries.filter(|entry| {
        let silent = entry.last_contact <= entry.updated_at;
        entry.rumor.status == Status::Suspect
            && silent
            && now.since(entry.updated_at) >= SUSPICION_TIMEOUT
    });
    let expired: Vec<_> = expired.map(|entry| entry.rumor.clone()).collect();
    for rumor in expired {
        merge_and_spread(daemon, now, Rumor { status: Status::Dead, ..rumor });
    }
}

/// Handles the platform's list: adds new daemons, and removes those that have been dead for
/// [`DEAD_RETENTION`] and are not listed.
pub(super) fn on_vms(daemon: &mut Daemon, now: Now, vms: &[Vm]) {
    for vm in vms.iter().filter(|vm| !vm.leaving) {
        let rumor = Rumor {
            daemon: vm.daemon.clone(),
            domain: vm.domain.clone(),
            address: vm.address.clone(),
            ..Rumor::default()
        };
        introduce(daemon, now, rumor);
    }
    let listed = |name: &id::Daemon| vms.iter().any(|vm| vm.daemon == *name);
    let entries = daemon.member.list.entries.iter();
    let expired = entries.filter(|(name, entry)| {
        let old = now.since(entry.updated_at) >= DEAD_RETENTION;
        entry.rumor.status == Status::Dead && old && !listed(name)
    });
    let expired: Vec<_> = expired.map(|(name, _)| name.clone()).collect();
    for name in expired {
        if let Some(entry) = daemon.member.list.entries.swap_remove(&name) {
            daemon.member.list.digest ^= entry.rumor.hash();
        }
        daemon.member.members.swap_remove(&name);
    }
}

/// Notifies the other modules if the live members have changed.
pub(super) fn notify_changes(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if !std::mem::take(&mut daemon.member.list.changed) {
        return;
    }
    daemon.member.list.epoch += 1;
    let live = daemon.member.members.values().filter(|member| member.alive).count();
    fx.gauge("gcl_members", "", u32::try_from(live).map_or(f64::MAX, f64::from));
    let reason = compact_str::format_compact!("{live} other daemons live");
    fx.record(Line { reason, ..Line::new(Kind::Member) });
    home::on_members(daemon, now, fx);
    group::on_members(daemon, now, fx);
}
