//! News that rides on probes: each item is sent a number of times that grows with the logarithm of
//! the members, the least sent first.

use super::{Message, Rumor, list, tell};
use crate::{effect::Effects, id, state::State as Daemon, time::Now};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Most items in one message.
const ITEMS: usize = 6;
/// How often an item is sent for each doubling of the members.
const SENDS: u32 = 3;
/// Time for which digests must differ before the whole list is asked for.
const DIFFER: Duration = Duration::from_secs(10);
/// Least time between two requests for the whole list.
const PULL: Duration = Duration::from_secs(30);

/// What rides on a probe or its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
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
    agreed: IndexSet<id::Daemon>,
    differs: Option<Duration>,
    pulled: Option<Duration>,
}

/// Puts the news of a daemon in the queue.
pub(super) fn spread(daemon: &mut Daemon, name: &id::Daemon) {
    daemon.member.gossip.sends.insert(name.clone(), 0);
}

/// The news for one message; a receiver that is itself doubted hears of that.
pub(super) fn news(daemon: &mut Daemon, to: &id::Daemon) -> News {
    let members = u32::try_from(daemon.member.members.len() + 1).unwrap_or(u32::MAX);
    let most = SENDS * (u32::BITS - members.leading_zeros());
    let sends = &mut daemon.member.gossip.sends;
    sends.sort_by(|_, a, _, b| a.cmp(b));
    let mut names: Vec<_> = sends.keys().take(ITEMS).cloned().collect();
    for count in sends.values_mut().take(ITEMS) {
        *count += 1;
    }
    sends.retain(|_, count| *count < most);
    let own = (!daemon.member.gossip.agreed.contains(to)).then(|| list::own(daemon));
    if !names.contains(to) && list::doubted(daemon, to) {
        names.push(to.clone());
    }
    let rumors = names.iter().filter_map(|name| list::rumor(daemon, name)).collect();
    News { own, digest: list::digest(daemon), rumors }
}

/// Takes the news of a message.
pub(super) fn take(daemon: &mut Daemon, now: Now, fx: &mut Effects, from: &id::Daemon, news: News) {
    for rumor in news.own.into_iter().chain(news.rumors) {
        list::apply(daemon, now, rumor);
    }
    compare(daemon, now, fx, from, news.digest);
}

/// Asks for the whole list when digests have differed for long.
fn compare(daemon: &mut Daemon, now: Now, fx: &mut Effects, from: &id::Daemon, digest: u64) {
    let same = digest == list::digest(daemon);
    let queue = &mut daemon.member.gossip;
    if same {
        queue.agreed.insert(from.clone());
        queue.differs = None;
        return;
    }
    queue.agreed.swap_remove(from);
    let since = *queue.differs.get_or_insert(now.mono);
    let pulled = queue.pulled.is_some_and(|pulled| now.since(pulled) < PULL);
    if now.since(since) >= DIFFER && !pulled {
        queue.pulled = Some(now.mono);
        queue.differs = None;
        pull(daemon, fx, from);
    }
}

/// Asks a daemon for its whole list.
pub(super) fn pull(daemon: &Daemon, fx: &mut Effects, from: &id::Daemon) {
    tell(daemon, fx, from, Message::Pull { own: list::own(daemon) });
}
