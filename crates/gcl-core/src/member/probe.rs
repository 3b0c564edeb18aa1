//! Probes: direct ones, and indirect ones through other daemons when there is no answer.

use super::{Message, gossip, list, send_message};
use crate::{effect::Effects, id, rendezvous, state::State as Daemon, time::Now};
use indexmap::IndexMap;
use std::time::Duration;

/// Interval of periodic probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which an unanswered probe is repeated through other daemons.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which an unanswered probe has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of other daemons asked to repeat a probe.
const MAX_RELAYS: usize = 3;
/// Maximum number of neighbours in its failure domain that a daemon probes.
const NEIGHBOURS: usize = 8;
/// Number of daemons in each failure domain that probe the other domains.
const DELEGATES: usize = 3;

/// A probe that has not been answered yet.
#[derive(Clone, Debug)]
struct Probe {
    target: id::Daemon,
    sent: Duration,
    relayed: bool,
    /// The daemon that requested a relayed probe, and its number for it.
    requester: Option<(id::Daemon, u64)>,
}

/// The probes in flight and the schedule of further ones.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    last_number: u64,
    open: IndexMap<u64, Probe>,
    /// The targets left in the current pass; the last one is next.
    order: Vec<id::Daemon>,
    due: Duration,
    /// The cached targets, with the epoch and number of the members that they belong to.
    targets: Option<(u64, usize, Vec<id::Daemon>)>,
}

/// Sends a probe, unless one to the same daemon is in flight.
pub(super) fn ping(daemon: &mut Daemon, now: Now, fx: &mut Effects, target: &id::Daemon) {
    if !daemon.member.probe.open.values().any(|probe| probe.target == *target) {
        send_probe(daemon, now, fx, target, None);
    }
}

fn send_probe(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    target: &id::Daemon,
    requester: Option<(id::Daemon, u64)>,
) {
    let news = gossip::payload(daemon, target);
    let probes = &mut daemon.member.probe;
    probes.last_number += 1;
    let number = probes.last_number;
    let probe =
        Probe { target: target.clone(), sent: now.mono, relayed: requester.is_some(), requester };
    probes.open.insert(number, probe);
    send_message(daemon, fx, target, Message::Ping { number, news });
}

/// Follows up unanswered probes, and sends the next periodic one when due.
pub(super) fn tick(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let open = &mut daemon.member.probe.open;
    let mut repeat = Vec::new();
    for (number, probe) in open.iter_mut() {
        if !probe.relayed && now.since(probe.sent) >= DIRECT_TIMEOUT {
            probe.relayed = true;
            repeat.push((*number, probe.target.clone()));
        }
    }
    let failed: Vec<_> =
        open.extract_if(.., |_, probe| now.since(probe.sent) >= PROBE_TIMEOUT).collect();
    for (number, target) in repeat {
        request_relays(daemon, fx, number, &target);
    }
    for (_, probe) in failed.into_iter().filter(|(_, probe)| probe.requester.is_none()) {
        list::suspect(daemon, now, &probe.target, probe.sent);
    }
    if daemon.member.probe.due <= now.mono {
        daemon.member.probe.due = now.mono + PROBE_INTERVAL;
        if let Some(target) = next(daemon) {
            ping(daemon, now, fx, &target);
        }
    }
}

/// Asks a few other daemons to probe a daemon.
fn request_relays(daemon: &mut Daemon, fx: &mut Effects, number: u64, target: &id::Daemon) {
    let mut others = targets(daemon);
    others.retain(|name| name != target);
    for _ in 0..MAX_RELAYS.min(others.len()) {
        let index = daemon.random.below(u64::try_from(others.len()).unwrap_or(0));
        let name = others.swap_remove(usize::try_from(index).unwrap_or(0));
        send_message(daemon, fx, &name, Message::Relay { number, target: target.clone() });
    }
}

/// Handles another daemon's request to probe a third.
pub(super) fn on_relay(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    number: u64,
    target: &id::Daemon,
) {
    if daemon.member.members.contains_key(target) {
        send_probe(daemon, now, fx, target, Some((from.clone(), number)));
    }
}

/// Handles the answer to a probe, and reports it to the daemon that requested the probe.
pub(super) fn on_ack(daemon: &mut Daemon, fx: &mut Effects, from: &id::Daemon, number: u64) {
    let open = &mut daemon.member.probe.open;
    if open.get(&number).is_none_or(|probe| probe.target != *from) {
        return;
    }
    if let Some((requester, number)) = open.swap_remove(&number).and_then(|probe| probe.requester) {
        send_message(daemon, fx, &requester, Message::Relayed(number));
    }
}

/// Handles the report that a relayed probe was answered.
pub(super) fn on_relayed(daemon: &mut Daemon, number: u64) {
    daemon.member.probe.open.swap_remove(&number);
}

/// The next daemon to probe: all targets in turn, in a new random order for each pass.
fn next(daemon: &mut Daemon) -> Option<id::Daemon> {
    if daemon.member.probe.order.is_empty() {
        let mut order = targets(daemon);
        for last in (1..order.len()).rev() {
            let other = daemon.random.below(u64::try_from(last + 1).unwrap_or(1));
            order.swap(last, usize::try_from(other).unwrap_or(0));
        }
        daemon.member.probe.order = order;
    }
    daemon.member.probe.order.pop()
}

/// The daemons that this one probes: its neighbours on the hash ring of its failure domain and, if
/// it is a delegate, the delegates of the other domains.
pub(super) fn targets(daemon: &mut Daemon) -> Vec<id::Daemon> {
    let key = (daemon.member.list.epoch, daemon.member.members.len());
    if let Some((epoch, count, targets)) = &daemon.member.probe.targets
        && (*epoch, *count) == key
    {
        return targets.clone();
    }
    let mut targets = neighbours(daemon);
    let delegates = delegates(daemon);
    if delegates.contains(&daemon.settings.daemon) {
        let domain = &daemon.settings.domain;
        let remote = delegates.into_iter().filter(|name| {
            daemon.member.members.get(name).is_some_and(|member| member.domain != *domain)
        });
        targets.extend(remote);
    }
    daemon.member.probe.targets = Some((key.0, key.1, targets.clone()));
    targets
}

fn neighbours(daemon: &Daemon) -> Vec<id::Daemon> {
    let me = rendezvous::hash(&daemon.settings.daemon);
    let members = daemon.member.members.values();
    let near = members.filter(|it| it.alive && it.domain == daemon.settings.domain);
    let mut ring: Vec<_> =
        near.map(|it| (rendezvous::hash(&it.daemon).wrapping_sub(me), it.daemon.clone())).collect();
    ring.sort_unstable();
    ring.into_iter().take(NEIGHBOURS).map(|(_, name)| name).collect()
}

/// The delegates of all failure domains, drawn by rendezvous hashing among the live daemons.
pub(super) fn delegates(daemon: &Daemon) -> Vec<id::Daemon> {
    let me = &daemon.settings;
    let others = daemon.member.members.values().filter(|member| member.alive);
    let others = others.map(|member| (&member.domain, &member.daemon));
    let mut domains: IndexMap<&id::Domain, Vec<(u64, &id::Daemon)>> = IndexMap::new();
    for (domain, name) in std::iter::once((&me.domain, &me.daemon)).chain(others) {
        let weight = rendezvous::weight("delegate", name);
        domains.entry(domain).or_default().push((weight, name));
    }
    let mut found = Vec::new();
    for names in domains.values_mut() {
        names.sort_unstable_by(|a, b| b.cmp(a));
        found.extend(names.iter().take(DELEGATES).map(|(_, name)| (*name).clone()));
    }
    found
}
