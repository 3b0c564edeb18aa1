//! Propagation of changes between daemons: each daemon polls periodically, and changes are pushed
//! to the daemons that polled recently.
//!
//! A poll carries the sender's revision, so its response makes up for lost pushes. If the changes
//! since that revision are no longer in the log, the whole configuration is sent in pages.

use super::{apply, freshness, tree};
use crate::{
    effect::Effects, id, member, operation, peer, state::State as Daemon, store, time::Now,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Size of the values in bytes above which a page is full.
const PAGE_BYTES: usize = 256 * 1024;
/// Time for which a poll subscribes its sender to pushes.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(4);
/// Time after which sent polls and the state of another daemon are discarded.
const RETENTION: Duration = Duration::from_mins(1);
/// Longest wait for the next page, during which no other pages are requested.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Polls without a response after which a random relay is polled too.
const MAX_UNANSWERED: u64 = 2;

/// Messages that propagate the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Polls for changes that the sender is missing; subscribes it to pushes for a while.
    Ask {
        /// Number of the poll, counted by the sender.
        number: u64,
        /// The revision up to which the sender has every change.
        revision: id::Revision,
        /// Whether the whole configuration may be sent in pages.
        whole: bool,
    },
    /// Responds to [`Message::Ask`].
    Tell(Box<Response>),
    /// Forwards changes to a subscriber.
    Push {
        /// The revision that the receiver must have reached to apply the changes.
        from: id::Revision,
        /// The revision up to which it then has every change.
        revision: id::Revision,
        /// Changes in order.
        changes: Vec<store::Change>,
    },
    /// A page of the whole configuration.
    Page {
        /// The revision of the configuration.
        revision: id::Revision,
        /// Index of the page, from zero.
        index: u32,
        /// Whether it is the last page.
        last: bool,
        /// The objects.
        entries: Vec<store::Entry>,
    },
    /// Announces that an operator's change is about to be sent to the store.
    Intend(id::Operation),
    /// Acknowledges [`Message::Intend`].
    Intended(id::Operation),
}

/// Response to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The number of the poll.
    pub number: u64,
    /// The revision that the receiver must have reached to apply the changes.
    pub from: id::Revision,
    /// The revision up to which it then has every change.
    pub revision: id::Revision,
    /// Changes in order.
    pub changes: Vec<store::Change>,
    /// The revision of the last change to the configuration.
    pub applied: id::Revision,
    /// Time since the sender's configuration was last confirmed to be current.
    pub age: Option<Duration>,
    /// Whether the sender cannot reach the store and expects no change.
    pub quiet: bool,
}

/// Last known state of another daemon.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    polled_at: Option<Duration>,
    seen_at: Duration,
    revision: id::Revision,
}

/// A whole configuration of which some pages have been received.
#[derive(Clone, Debug)]
struct Transfer {
    from: id::Daemon,
    revision: id::Revision,
    next_index: u32,
    entries: Vec<store::Entry>,
    last_page_at: Duration,
}

/// Sent polls, known peers and the transfer of pages in progress.
#[derive(Clone, Debug, Default)]
pub struct State {
    last_poll: u64,
    last_response: u64,
    sent_polls: IndexMap<u64, Duration>,
    peers: IndexMap<id::Daemon, PeerState>,
    transfer: Option<Transfer>,
}

/// Polls the parent, and a random relay if responses are missing. A relay that is cut off from the
/// store surveys the other relays instead.
pub fn tick(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    daemon.config.propagation.peers.retain(|_, state| now.since(state.seen_at) < RETENTION);
    daemon.config.propagation.sent_polls.retain(|_, sent| now.since(*sent) < RETENTION);
    daemon.config.propagation.last_poll += 1;
    let number = daemon.config.propagation.last_poll;
    daemon.config.propagation.sent_polls.insert(number, now.mono);
    let mut recipients = Vec::new();
    if daemon.config.role.relay {
        recipients = freshness::start_survey(daemon, now, number);
    } else {
        recipients.extend(daemon.config.role.parent.clone());
        if number > daemon.config.propagation.last_response + MAX_UNANSWERED {
            recipients.extend(random_relay(daemon));
        }
    }
    for recipient in recipients {
        send_poll(daemon, now, fx, &recipient, number);
    }
}

/// A relay of any domain, drawn at random.
fn random_relay(daemon: &mut Daemon) -> Option<id::Daemon> {
    let relays: Vec<id::Daemon> = tree::all_relays(daemon).into_values().flatten().collect();
    let index = daemon.random.below(relays.len() as u64);
    relays.into_iter().nth(usize::try_from(index).ok()?)
}

fn send_poll(daemon: &Daemon, now: Now, fx: &mut Effects, to: &id::Daemon, number: u64) {
    let transfer = daemon.config.propagation.transfer.as_ref();
    let whole = transfer.is_none_or(|transfer| now.since(transfer.last_page_at) > PAGE_TIMEOUT);
    let revision = daemon.config.snapshot.revision;
    send(daemon, fx, to, Message::Ask { number, revision, whole });
}

/// Polls a daemon for its revision, which [`revision_of`] returns after the response.
pub fn poll(daemon: &mut Daemon, now: Now, fx: &mut Effects, to: &id::Daemon) {
    daemon.config.propagation.last_poll += 1;
    let number = daemon.config.propagation.last_poll;
    daemon.config.propagation.sent_polls.insert(number, now.mono);
    send_poll(daemon, now, fx, to, number);
}

/// The last known revision of another daemon.
#[must_use]
pub fn revision_of(daemon: &Daemon, other: &str) -> Option<id::Revision> {
    daemon.config.propagation.peers.get(other).map(|state| state.revision)
}

fn send(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon, message: Message) {
    member::send(daemon, fx, to, peer::Message::Config(message));
}

/// Handles a message from another daemon.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: Message,
) {
    match message {
        Message::Ask { number, revision, whole } => {
            record_peer(daemon, now, from, revision, true);
            respond(daemon, now, fx, from, number, revision, whole);
        }
        Message::Tell(response) => on_response(daemon, now, fx, from, *response),
        Message::Push { from: base, revision, changes } => {
            record_peer(daemon, now, from, revision, false);
            apply_from(daemon, now, fx, base, revision, changes);
        }
        Message::Page { revision, index, last, entries } => {
            if add_page(daemon, now, from, revision, index, entries) && last {
                complete_transfer(daemon, now, fx);
            }
        }
        Message::Intend(operation) => {
            freshness::expect_change(daemon, now);
            send(daemon, fx, from, Message::Intended(operation));
        }
        Message::Intended(operation) => operation::on_announced(daemon, now, fx, operation),
    }
}

fn record_peer(
    daemon: &mut Daemon,
    now: Now,
    peer: &id::Daemon,
    revision: id::Revision,
    polled: bool,
) {
    let state = daemon.config.propagation.peers.entry(peer.clone()).or_insert(PeerState {
        polled_at: None,
        seen_at: now.mono,
        revision: 0,
    });
    state.seen_at = now.mono;
    state.revision = state.revision.max(revision);
    if polled {
        state.polled_at = Some(now.mono);
    }
}

fn respond(
    daemon: &Daemon,
    now: Now,
    fx: &mut Effects,
    to: &id::Daemon,
    number: u64,
    revision: id::Revision,
    whole: bool,
) {
    let config = &daemon.config;
    let held = revision > 0 && revision >= config.log_start;
    if !held && whole {
        send_pages(daemon, fx, to);
    }
    let changes = config.log.iter().filter(|change| held && change.revision() > revision);
    let response = Response {
        number,
        from: if held { revision } else { config.snapshot.revision },
        revision: config.snapshot.revision,
        changes: changes.cloned().collect(),
        applied: config.applied,
        age: super::age(daemon, now),
        quiet: freshness::is_quiet(daemon, now),
    };
    send(daemon, fx, to, Message::Tell(Box::new(response)));
}

fn send_pages(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon) {
    let revision = daemon.config.snapshot.revision;
    let mut pages: Vec<Vec<store::Entry>> = vec![Vec::new()];
    let mut bytes = 0;
    for entry in daemon.config.snapshot.entries() {
        if bytes > PAGE_BYTES {
            pages.push(Vec::new());
            bytes = 0;
        }
        bytes += entry.value.len();
        pages.last_mut().expect("there is a first page").push(entry);
    }
    let count = pages.len();
    for (position, entries) in pages.into_iter().enumerate() {
        let index = u32::try_from(position).unwrap_or(u32::MAX);
        let last = position + 1 == count;
        send(daemon, fx, to, Message::Page { revision, index, last, entries });
    }
}

fn on_response(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    response: Response,
) {
    record_peer(daemon, now, from, response.revision, false);
    let Some(sent_at) = daemon.config.propagation.sent_polls.get(&response.number).copied() else {
        return;
    };
    daemon.config.propagation.last_response =
        daemon.config.propagation.last_response.max(response.number);
    apply_from(daemon, now, fx, response.from, response.revision, response.changes);
    if let Some(since) = response.age.and_then(|age| sent_at.checked_sub(age)) {
        freshness::on_peer_report(daemon, since, response.revision);
    }
    freshness::on_survey_answer(daemon, from, response.number, response.applied, response.quiet);
}

/// Applies changes that follow revision `base`, unless this daemon has not reached it.
fn apply_from(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    base: id::Revision,
    revision: id::Revision,
    changes: Vec<store::Change>,
) {
    let current = daemon.config.snapshot.revision;
    if current >= base && revision > current {
        apply(daemon, now, fx, changes, revision);
    }
}

fn add_page(
    daemon: &mut Daemon,
    now: Now,
    from: &id::Daemon,
    revision: id::Revision,
    index: u32,
    entries: Vec<store::Entry>,
) -> bool {
    if revision <= daemon.config.snapshot.revision {
        return false;
    }
    let transfer = &mut daemon.config.propagation.transfer;
    if index == 0 {
        let from = from.clone();
        *transfer = Some(Transfer {
            from,
            revision,
            next_index: 0,
            entries: Vec::new(),
            last_page_at: now.mono,
        });
    }
    let wanted = transfer.as_mut().filter(|transfer| {
        transfer.from == *from && transfer.revision == revision && transfer.next_index == index
    });
    let Some(transfer) = wanted else {
        return false;
    };
    transfer.next_index += 1;
    transfer.last_page_at = now.mono;
    transfer.entries.extend(entries);
    true
}

fn complete_transfer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let Some(transfer) = daemon.config.propagation.transfer.take() else {
        return;
    };
    let changes = daemon.config.snapshot.diff(transfer.entries, transfer.revision);
    apply(daemon, now, fx, changes, transfer.revision);
}

/// Pushes changes to the subscribers that are behind.
pub fn push(
    daemon: &Daemon,
    now: Now,
    fx: &mut Effects,
    from: id::Revision,
    changes: &[store::Change],
) {
    let revision = daemon.config.snapshot.revision;
    let peers = daemon.config.propagation.peers.iter();
    let behind = peers.filter(|(_, state)| {
        state.revision < revision
            && state.polled_at.is_some_and(|at| now.since(at) < SUBSCRIPTION_TTL)
    });
    for (peer, _) in behind {
        let message = Message::Push { from, revision, changes: changes.to_vec() };
        send(daemon, fx, peer, message);
    }
}
