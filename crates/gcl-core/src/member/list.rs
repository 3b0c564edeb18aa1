//! The list of members: what is known of each, and how news about one is ordered.
//!
//! Lives of a daemon are ordered by the wall clock of their starts, news of one life by a version
//! that only that life raises. A daemon that hears of its own suspicion raises its version and so
//! refutes it. Wall clocks decide only which life of a name is the later one.

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

/// Time that a suspected daemon has to refute it.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a dead daemon that is on no list is forgotten.
const DEAD_RETENTION: Duration = Duration::from_mins(10);

/// How a daemon stands; of news of one version the later of these counts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Status {
    /// It answers.
    #[default]
    Alive,
    /// It did not answer and may refute that.
    Suspect,
    /// It is gone or leaving.
    Dead,
}

/// News of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// Its name.
    pub daemon: id::Daemon,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Its peer port as `ip:port`.
    pub address: CompactString,
    /// Its life; zero while unknown.
    pub incarnation: id::Incarnation,
    /// Wall-clock time of its start in milliseconds, zero for a hint.
    pub born: u64,
    /// Counts the refutations of this life.
    pub version: u64,
    /// How it stands.
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

/// What is known of a member beside its public facts.
#[derive(Clone, Debug)]
struct Entry {
    rumor: Rumor,
    since: Duration,
    last_contact: Duration,
}

/// The list of members.
#[derive(Clone, Debug, Default)]
pub(super) struct List {
    own: Rumor,
    entries: IndexMap<id::Daemon, Entry>,
    digest: u64,
    changed: bool,
    /// Grows with each change of the live members.
    pub epoch: u64,
}

/// Draws up the news of this daemon itself.
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

/// The news of this daemon itself.
pub(super) fn own(daemon: &Daemon) -> Rumor {
    daemon.member.list.own.clone()
}

/// The news of a member.
pub(super) fn rumor(daemon: &Daemon, name: &id::Daemon) -> Option<Rumor> {
    daemon.member.list.entries.get(name).map(|entry| entry.rumor.clone())
}

/// Whether a member is said to be other than alive.
pub(super) fn is_suspected(daemon: &Daemon, name: &id::Daemon) -> bool {
    let entry = daemon.member.list.entries.get(name);
    entry.is_some_and(|entry| entry.rumor.status != Status::Alive)
}

/// The whole list, this daemon included.
pub(super) fn all(daemon: &Daemon) -> Vec<Rumor> {
    let list = &daemon.member.list;
    let others = list.entries.values().map(|entry| entry.rumor.clone());
    std::iter::once(list.own.clone()).chain(others).collect()
}

/// A hash of the whole list, equal for equal lists.
pub(super) fn digest(daemon: &Daemon) -> u64 {
    daemon.member.list.digest ^ daemon.member.list.own.hash()
}

/// Takes a daemon in that is only said to exist, unless it is known.
pub(super) fn introduce(daemon: &mut Daemon, now: Now, rumor: Rumor) {
    if !daemon.member.list.entries.contains_key(&rumor.daemon) {
        merge_and_spread(daemon, now, rumor);
    }
}

/// Takes news in and passes it on if it was new.
pub(super) fn merge_and_spread(daemon: &mut Daemon, now: Now, rumor: Rumor) {
    let name = rumor.daemon.clone();
    if merge(daemon, now, rumor) {
        gossip::enqueue(daemon, &name);
    }
}

/// Takes news in; tells whether it was new.
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
    let entry = Entry { rumor: rumor.clone(), since: now.mono, last_contact };
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

/// Answers news of this daemon that is wrong.
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

/// Declares this daemon gone, and gives the news of it.
pub(super) fn mark_left(daemon: &mut Daemon) -> Rumor {
    let own = &mut daemon.member.list.own;
    own.version += 1;
    own.status = Status::Dead;
    let rumor = own.clone();
    gossip::enqueue(daemon, &rumor.daemon);
    rumor
}

/// Notes a sign of life; tells whether the daemon ought to hear what is said of it.
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

/// Suspects a member that answered no probe sent at `sent`.
pub(super) fn suspect(daemon: &mut Daemon, now: Now, name: &id::Daemon, sent: Duration) {
    let Some(entry) = daemon.member.list.entries.get(name) else {
        return;
    };
    if entry.rumor.status == Status::Alive && entry.last_contact <= sent {
        let rumor = Rumor { status: Status::Suspect, ..entry.rumor.clone() };
        merge_and_spread(daemon, now, rumor);
    }
}

/// Declares suspects dead whose time is over, and forgets the long dead.
pub(super) fn expire_suspects(daemon: &mut Daemon, now: Now) {
    let entries = daemon.member.list.entries.values();
    let expired = entries.filter(|entry| {
        let silent = entry.last_contact <= entry.since;
        entry.rumor.status == Status::Suspect
            && silent
            && now.since(entry.since) >= SUSPICION_TIMEOUT
    });
    let expired: Vec<_> = expired.map(|entry| entry.rumor.clone()).collect();
    for rumor in expired {
        merge_and_spread(daemon, now, Rumor { status: Status::Dead, ..rumor });
    }
}

/// Takes the platform's list: meets the unknown, and forgets the long dead that it lacks.
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
    let gone = entries.filter(|(name, entry)| {
        let old = now.since(entry.since) >= DEAD_RETENTION;
        entry.rumor.status == Status::Dead && old && !listed(name)
    });
    let gone: Vec<_> = gone.map(|(name, _)| name.clone()).collect();
    for name in gone {
        if let Some(entry) = daemon.member.list.entries.swap_remove(&name) {
            daemon.member.list.digest ^= entry.rumor.hash();
        }
        daemon.member.members.swap_remove(&name);
    }
}

/// Tells the other parts when the live members changed.
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
