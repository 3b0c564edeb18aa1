//! News that rides on probes: each item is sent a number of times that grows with the logarithm of
//! the members, the least sent first.

use super::{Message, Rumor, list, send_message};
use crate::{effect::Effects, id, state::State as Daemon, time::Now};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Most items in one message.
const MAX_ITEMS: usize = 6;
/// How often an item is sent for each doubling of the members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Time for which digests must differ before the whole list is asked for.
const DIFFERENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Least time between two requests for the whole list.
const MIN_PULL_INTERVAL: Duration = Duration::from_secs(30);

/// What rides on a probe or its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// The sender itself, left out when the receiver's list was the same.
    pub own: Option<Rumor>,
    /// A hash of the sender's whole list.
    pub digest: u64,
    /// News of others.
    pub rumors: Vec<Rumor>,
}

/// News to pass on, with how often each item was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    sends: IndexMap<id::Daemon, u32>,
    /// Daemons whose list was the same when they last told.
    in_sync: IndexSet<id::Daemon>,
    differs_since: Option<Duration>,
    pulled_at: Option<Duration>,
}

/// Puts the news of a daemon in the queue.
pub(super) fn enqueue(daemon: &mut Daemon, name: &id::Daemon) {
    daemon.member.gossip.sends.insert(name.clone(), 0);
}

/// The news for one message; a receiver that is itself doubted hears of that.
pub(super) fn payload(daemon: &mut Daemon, to: &id::Daemon) -> Payload {
    let members = u32::try_from(daemon.member.members.len() + 1).unwrap_or(u32::MAX);
    let most = SENDS_PER_DOUBLING * (u32::BITS - members.leading_zeros());
    let sends = &mut daemon.member.gossip.sends;
    sends.sort_by(|_, a, _, b| a.cmp(b));
    let mut names: Vec<_> = sends.keys().take(MAX_ITEMS).cloned().collect();
    for count in sends.values_mut().take(MAX_ITEMS) {
        *count += 1;
    }
    sends.retain(|_, count| *count < most);
    let own = (!daemon.member.gossip.in_sync.contains(to)).then(|| list::own(daemon));
    if !names.contains(to) && list::is_suspected(daemon, to) {
        names.push(to.clone());
    }
    let rumors = names.iter().filter_map(|name| list::rumor(daemon, name)).collect();
    Payload { own, digest: list::digest(daemon), rumors }
}

/// Takes the news of a message.
pub(super) fn receive(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    news: Payload,
) {
    for rumor in news.own.into_iter().chain(news.rumors) {
        list::merge_and_spread(daemon, now, rumor);
    }
    compare_digests(daemon, now, fx, from, news.digest);
}

/// Asks for the whole list when digests have differed for long.
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

/// Asks a daemon for its whole list.
pub(super) fn request_list(daemon: &Daemon, fx: &mut Effects, from: &id::Daemon) {
    send_message(daemon, fx, from, Message::Pull { own: list::own(daemon) });
}
