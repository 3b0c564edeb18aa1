//! Gossip piggybacked on probes: each rumor is sent a number of times that grows with the logarithm
//! of the number of members, least sent rumors first.

use super::{Message, Rumor, list, send_message};
use crate::{effect::Effects, id, state::State as Daemon, time::Now};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of rumors in one message.
const MAX_RUMORS: usize = 6;
/// How often a rumor is sent for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Time for which digests must differ before the whole list is requested.
const DIFFERENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time between two requests for the whole list.
const MIN_PULL_INTERVAL: Duration = Duration::from_secs(30);

/// The gossip carried by a probe or its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// The sender's own entry, omitted if the receiver's list was the same.
    pub own: Option<Rumor>,
    /// A hash of the sender's whole list.
    pub digest: u64,
    /// Rumors about other daemons.
    pub rumors: Vec<Rumor>,
}

/// The rumors to spread, and what is known of the other daemons' lists.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// How often the rumor about each daemon has been sent.
    sends: IndexMap<id::Daemon, u32>,
    /// Daemons whose last digest was the same as this daemon's.
    in_sync: IndexSet<id::Daemon>,
    differs_since: Option<Duration>,
    pulled_at: Option<Duration>,
}

/// Queues the rumor about a daemon for sending.
pub(super) fn enqueue(daemon: &mut Daemon, name: &id::Daemon) {
    daemon.member.gossip.sends.insert(name.clone(), 0);
}

/// The gossip for one message. A receiver that is suspected or dead is sent the rumor about itself,
/// so that it can refute it.
pub(super) fn payload(daemon: &mut Daemon, to: &id::Daemon) -> Payload {
    let members = u32::try_from(daemon.member.members.len() + 1).unwrap_or(u32::MAX);
    let max_sends = SENDS_PER_DOUBLING * (u32::BITS - members.leading_zeros());
    let sends = &mut daemon.member.gossip.sends;
    sends.sort_by(|_, a, _, b| a.cmp(b));
    let mut names: Vec<_> = sends.keys().take(MAX_RUMORS).cloned().collect();
    for count in sends.values_mut().take(MAX_RUMORS) {
        *count += 1;
    }
    sends.retain(|_, count| *count < max_sends);
    let own = (!daemon.member.gossip.in_sync.contains(to)).then(|| list::own(daemon));
    if !names.contains(to) && list::is_suspected_or_dead(daemon, to) {
        names.push(to.clone());
    }
    let rumors = names.iter().filter_map(|name| list::rumor(daemon, name)).collect();
    Payload { own, digest: list::digest(daemon), rumors }
}

/// Handles the gossip in a message.
pub(super) fn receive(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    payload: Payload,
) {
    for rumor in payload.own.into_iter().chain(payload.rumors) {
        list::merge_and_spread(daemon, now, rumor);
    }
    compare_digests(daemon, now, fx, from, payload.digest);
}

/// Requests the whole list if the digests have differed for [`DIFFERENCE_TIMEOUT`].
fn compare_digests(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    digest: u64,
) {
    let same = digest == list::digest(daemon);
    let queue = &mut daemon.member.gossip;
    if same {
        queue.in_sync.insert(from.clone());
        queue.differs_since = None;
        return;
    }
    queue.in_sync.swap_remove(from);
    let since = *queue.differs_since.get_or_insert(now.mono);
    let pulled = queue.pulled_at.is_some_and(|pulled_at| now.since(pulled_at) < MIN_PULL_INTERVAL);
    if now.since(since) >= DIFFERENCE_TIMEOUT && !pulled {
        queue.pulled_at = Some(now.mono);
        queue.differs_since = None;
        request_list(daemon, fx, from);
    }
}

/// Requests the whole list of a daemon.
pub(super) fn request_list(daemon: &Daemon, fx: &mut Effects, from: &id::Daemon) {
    send_message(daemon, fx, from, Message::Pull { own: list::own(daemon) });
}
