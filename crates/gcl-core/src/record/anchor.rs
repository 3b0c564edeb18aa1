//! Anchors: one hash in the store over the heads of all record chains of a failure domain.
//!
//! At a low rate, each daemon sends the head of its chain to one daemon of its failure domain, the
//! collector. The collector writes the list of heads as a line of its own record. Into the store it
//! writes only the hash over this list and the previous anchor, under one key for the domain. So
//! the store holds a fixed amount of data and takes one write per domain and interval, whatever the
//! number of daemons, and no anchored line can be altered or removed without a mismatch against
//! that value.

use super::{
    Kind, Line,
    chain::{Head, digest},
};
use crate::{
    effect::{Effect, Effects},
    id, member, peer, rendezvous,
    state::State as Daemon,
    store,
    time::Now,
    timer,
};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefix of the anchors' keys in the store.
pub const PREFIX: &str = "gcl/anchor/";
/// Time between two anchors of a failure domain, before jitter.
const INTERVAL: Duration = Duration::from_mins(1);
/// Maximum wait for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// The anchor of a failure domain, as it is kept in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Anchor {
    /// The number of anchors of the domain so far.
    pub count: u64,
    /// The hash over the previous anchor and the list of heads, in hexadecimal.
    pub root: CompactString,
}

/// The content of the record line that belongs to an anchor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The failure domain.
    pub domain: id::Domain,
    /// The previous anchor.
    pub before: Anchor,
    /// The heads that the anchor covers.
    pub heads: Vec<Head>,
}

impl Statement {
    /// The anchor that results from the statement.
    #[must_use]
    pub fn anchor(&self) -> Anchor {
        let mut parts = vec![self.before.root.clone()];
        for head in &self.heads {
            parts.push(head.daemon.clone());
            parts.push(format_compact!("{} {}", head.incarnation, head.sequence));
            parts.push(head.hash.clone());
        }
        let parts: Vec<&str> = parts.iter().map(CompactString::as_str).collect();
        Anchor { count: self.before.count + 1, root: digest(&parts) }
    }
}

/// Messages to the collector of a failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The head of the sender's chain.
    Head(Head),
}

/// Heads that wait to be anchored, and the pending store calls.
#[derive(Clone, Debug, Default)]
pub struct State {
    heads: IndexMap<(id::Daemon, id::Incarnation), Head>,
    reading: Option<id::Call>,
    writing: Option<(id::Call, Vec<Head>)>,
}

/// Arms the timer for the first anchor.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    arm(daemon, now, fx);
}

fn arm(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let wait = daemon.random.jitter(INTERVAL);
    fx.arm(timer::Key::Anchor, now.mono + wait);
}

/// Handles the anchor timer: requests the head of this daemon's chain, and starts to anchor the
/// heads that were collected.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    arm(daemon, now, fx);
    fx.push(Effect::ReadHead);
    if !daemon.anchor.heads.is_empty() {
        let call = daemon.counters.call();
        daemon.anchor.reading = Some(call);
        fx.store(store::Call { call, op: store::Op::Get(key(daemon)), timeout: STORE_TIMEOUT });
    }
}

fn key(daemon: &Daemon) -> CompactString {
    format_compact!("{PREFIX}{}", daemon.settings.domain)
}

/// Sends the head of this daemon's chain to the collector of the failure domain.
pub fn on_head(daemon: &mut Daemon, fx: &mut Effects, head: Head) {
    if let Some(collector) = collector(daemon) {
        member::send(daemon, fx, &collector, peer::Message::Anchor(Message::Head(head)));
    }
}

fn collector(daemon: &Daemon) -> Option<id::Daemon> {
    let me = &daemon.settings;
    let members = daemon.member.members.values();
    let local = members.filter(|member| member.alive && member.domain == me.domain);
    let names: Vec<&id::Daemon> =
        local.map(|member| &member.daemon).chain(std::iter::once(&me.daemon)).collect();
    rendezvous::owner(&key(daemon), names.iter(), |name| name.as_str()).map(|name| (*name).clone())
}

/// Handles a head of a chain: keeps it for the next anchor, unless a newer one is known.
pub fn on_message(daemon: &mut Daemon, message: Message) {
    let Message::Head(head) = message;
    let chain = (head.daemon.clone(), head.incarnation);
    let outdated =
        daemon.anchor.heads.get(&chain).is_some_and(|known| known.sequence > head.sequence);
    if !outdated {
        daemon.anchor.heads.insert(chain, head);
    }
}

/// Handles an event of the store. Returns whether it was for this module.
pub fn on_store(daemon: &mut Daemon, fx: &mut Effects, event: &store::Event) -> bool {
    let store::Event::Answered { call, result } = event else { return false };
    if daemon.anchor.reading == Some(*call) {
        daemon.anchor.reading = None;
        if let Ok(store::Reply::Value(entry, _)) = result {
            write(daemon, fx, entry.as_ref());
        }
        return true;
    }
    let Some((_, heads)) = daemon.anchor.writing.take_if(|(writing, _)| writing == call) else {
        return false;
    };
    if !matches!(result, Ok(store::Reply::Changed(_))) {
        // The heads are kept for the next anchor, which first reads which anchor took effect.
        for head in heads {
            on_message(daemon, Message::Head(head));
        }
    }
    true
}

fn write(daemon: &mut Daemon, fx: &mut Effects, entry: Option<&store::Entry>) {
    let previous = entry.and_then(|entry| serde_json::from_slice::<Anchor>(&entry.value).ok());
    let heads: Vec<Head> = daemon.anchor.heads.drain(..).map(|(_, head)| head).collect();
    let domain = daemon.settings.domain.clone();
    let statement = Statement { domain, before: previous.unwrap_or_default(), heads };
    let encoded = (serde_json::to_string(&statement), serde_json::to_vec(&statement.anchor()));
    let (Ok(reason), Ok(value)) = encoded else { return };
    fx.record(Line { reason: reason.into(), ..Line::new(Kind::Anchor) });
    let call = daemon.counters.call();
    let expected = entry.map_or(0, |entry| entry.revision);
    let op = store::Op::Put { key: key(daemon), expected, value: Bytes::from(value), lease: 0 };
    fx.store(store::Call { call, op, timeout: STORE_TIMEOUT });
    daemon.anchor.writing = Some((call, statement.heads));
}
