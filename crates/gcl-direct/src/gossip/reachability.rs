//! Which daemons are reachable, and which primaries they can reach.

use super::PEER_TIMEOUT;
use crate::{restart, state::State as Daemon, watch::DEPARTED_RETENTION};
use gcl_core::{id, time::Now};
use indexmap::IndexSet;
use std::time::Duration;

/// The numbers of other daemons that were recently listed or sent a digest, and of those among them
/// that are reachable.
#[must_use]
pub fn peer_counts(daemon: &Daemon, now: Now) -> (usize, usize) {
    let recent = daemon
        .gossip
        .peers
        .iter()
        .filter(|(_, peer)| now.since(peer.received_at) < DEPARTED_RETENTION);
    let mut known: IndexSet<_> = daemon.watch.recent_members(now).collect();
    known.extend(recent.map(|(name, _)| name));
    known.swap_remove(&daemon.settings.daemon);
    (known.len(), count_reachable(daemon, now, |name| known.contains(name)))
}

/// The number of reachable daemons: those of this cell that are counted, and all of other cells.
fn count_reachable(daemon: &Daemon, now: Now, counted: impl Fn(&id::Daemon) -> bool) -> usize {
    let peers = daemon.gossip.reachable_peers(now);
    let peers = peers.filter(|(name, _)| counted(name) && daemon.gossip.in_cell(name));
    let cells = daemon.gossip.reachable_cells(now);
    let cells = cells.map(|cell| usize::try_from(cell.summary.reachable).unwrap_or(usize::MAX));
    peers.count() + cells.sum::<usize>()
}

/// Whether an incarnation of a daemon served callers at a time, by its digests of about then.
#[must_use]
pub fn served_at(daemon: &Daemon, name: &str, incarnation: id::Incarnation, at: Duration) -> bool {
    daemon.gossip.peers.get(name).is_some_and(|peer| {
        let digest = &peer.digest;
        digest.incarnation == incarnation && digest.ready && peer.received_at + PEER_TIMEOUT > at
    })
}

/// Whether all other listed daemons are reachable. Those that are no longer listed have lost their
/// leases.
#[must_use]
pub fn reaches_all_listed(daemon: &Daemon, now: Now) -> bool {
    let others = daemon.members.len().saturating_sub(1);
    count_reachable(daemon, now, |name| daemon.members.contains_key(name)) >= others
}

/// Whether most hosts of this daemon's region are reachable. Hosts of other cells that send it no
/// digests are assumed to be.
#[must_use]
pub fn reaches_most_in_region(daemon: &Daemon, now: Now) -> bool {
    let region = daemon.settings.region(&daemon.settings.domain);
    let others = daemon.members.iter().filter(|(name, member)| {
        **name != daemon.settings.daemon && daemon.settings.region(&member.record.domain) == region
    });
    let (mut listed, mut reachable) = (1, 1);
    for (name, _) in others {
        let peer = daemon.gossip.peers.get(name);
        let heard = peer.map_or_else(
            || !daemon.gossip.in_cell(name),
            |peer| now.since(peer.received_at) < PEER_TIMEOUT,
        );
        listed += 1;
        reachable += u32::from(heard);
    }
    reachable * 2 > listed
}

/// Whether another reachable daemon serves callers.
#[must_use]
pub fn has_serving_peer(daemon: &Daemon, now: Now) -> bool {
    daemon.gossip.reachable_peers(now).any(|(_, digest)| digest.ready)
}

/// Whether a host accepts statements. A host of another cell that sends this daemon no digests is
/// assumed to accept them.
#[must_use]
pub fn serves(daemon: &Daemon, now: Now, name: &id::Daemon) -> bool {
    let reachable =
        daemon.gossip.peers.get(name).filter(|peer| now.since(peer.received_at) < PEER_TIMEOUT);
    reachable.map_or_else(|| !daemon.gossip.in_cell(name), |peer| peer.digest.ready)
}

/// Whether this daemon and the reachable ones are a majority of the recently known daemons.
#[must_use]
pub fn in_majority(daemon: &Daemon, now: Now) -> bool {
    let (known, reachable) = peer_counts(daemon, now);
    (reachable + 1) * 2 > known + 1
}

/// The numbers of reachable daemons that can reach a primary, and that cannot.
#[must_use]
pub fn reachability(daemon: &Daemon, now: Now, server: &id::Server) -> (usize, usize) {
    let digests =
        daemon.gossip.reachable_peers(now).filter(|(name, _)| daemon.gossip.in_cell(name));
    let reports =
        digests.filter(|(_, digest)| !restart::is_outdated(daemon, &digest.started, server));
    let reports = reports.flat_map(|(_, digest)| &digest.primaries);
    let (reachable, unreachable): (Vec<_>, Vec<_>) =
        reports.filter(|report| report.server == *server).partition(|report| report.reachable);
    let cells = daemon.gossip.reachable_cells(now).flat_map(|cell| &cell.summary.primaries);
    let cells = cells.filter(|tally| tally.server == *server);
    let count = |number: u32| usize::try_from(number).unwrap_or(usize::MAX);
    cells.fold((reachable.len(), unreachable.len()), |(reachable, unreachable), tally| {
        (reachable + count(tally.reachable), unreachable + count(tally.unreachable))
    })
}
