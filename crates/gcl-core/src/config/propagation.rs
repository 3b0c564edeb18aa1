//! How changes pass between daemons: pushed to whoever asked lately, and asked for regularly.
//!
//! A question names the asker's revision, so its answer repairs whatever push was lost. Where the
//! changes since that revision are no longer held, the whole configuration follows in pages.

use super::{apply, proof, tree};
use crate::{
    effect::Effects, id, member, operation, peer, state::State as Daemon, store, time::Now,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bytes of values from which a page is full.
const PAGE_BYTES: usize = 256 * 1024;
/// Time for which a question subscribes the asker to pushes.
const SUBSCRIPTION: Duration = Duration::from_secs(4);
/// Time after which another daemon's revision is forgotten.
const MEMORY: Duration = Duration::from_mins(1);
/// Time for which pages under way are waited for.
const PAGES: Duration = Duration::from_secs(3);
/// Questions without an answer after which someone else is asked too.
const PATIENCE: u64 = 2;

/// Messages that spread the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for what the asker misses; subscribes it to pushes for a while.
    Ask {
        /// Counts the asker's questions.
        number: u64,
        /// The revision up to which the asker misses nothing.
        revision: id::Revision,
        /// Whether pages may be sent.
        whole: bool,
    },
    /// Answers [`Message::Ask`].
    Tell(Box<Tell>),
    /// Passes changes on.
    Push {
        /// The revision that the receiver must have reached.
        from: id::Revision,
        /// The revision up to which it then misses nothing.
        revision: id::Revision,
        /// Changes in order.
        changes: Vec<store::Change>,
    },
    /// A part of the whole configuration.
    Page {
        /// The revision of the whole.
        revision: id::Revision,
        /// Counts the parts from zero.
        index: u32,
        /// Whether it is the last part.
        last: bool,
        /// The objects.
        entries: Vec<store::Entry>,
    },
    /// Announces that an operator's change is about to be sent to the store.
    Intend(id::Operation),
    /// Answers [`Message::Intend`].
    Intended(id::Operation),
}

/// What a daemon tells another that asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tell {
    /// The question answered.
    pub number: u64,
    /// The revision that the asker must have reached for `changes` to be complete.
    pub from: id::Revision,
    /// The revision up to which it then misses nothing.
    pub revision: id::Revision,
    /// Changes in order.
    pub changes: Vec<store::Change>,
    /// The revision of the last change of the configuration.
    pub applied: id::Revision,
    /// How long ago the teller's configuration was known to be the newest.
    pub age: Option<Duration>,
    /// Whether the teller cannot reach the store and knows of no change under way.
    pub quiet: bool,
}

/// Another daemon, as its last message showed it.
#[derive(Clone, Copy, Debug)]
struct Seen {
    asked: Option<Duration>,
    at: Duration,
    revision: id::Revision,
}

/// Pages that have arrived so far.
#[derive(Clone, Debug)]
struct Gather {
    from: id::Daemon,
    revision: id::Revision,
    next: u32,
    entries: Vec<store::Entry>,
    at: Duration,
}

/// Questions and answers under way.
#[derive(Clone, Debug, Default)]
pub struct State {
    number: u64,
    answered: u64,
    asked: IndexMap<u64, Duration>,
    seen: IndexMap<id::Daemon, Seen>,
    gather: Option<Gather>,
}

/// Asks whom the role says.
pub fn tick(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    daemon.config.spread.seen.retain(|_, seen| now.since(seen.at) < MEMORY);
    daemon.config.spread.asked.retain(|_, sent| now.since(*sent) < MEMORY);
    daemon.config.spread.number += 1;
    let number = daemon.config.spread.number;
    daemon.config.spread.asked.insert(number, now.mono);
    let mut whom = Vec::new();
    if daemon.config.role.relay {
        whom = proof::survey(daemon, now, number);
    } else {
        whom.extend(daemon.config.role.parent.clone());
        if number > daemon.config.spread.answered + PATIENCE {
            whom.extend(stranger(daemon));
        }
    }
    for daemon_asked in whom {
        ask(daemon, now, fx, &daemon_asked, number);
    }
}

/// A relay of any domain, drawn at random.
fn stranger(daemon: &mut Daemon) -> Option<id::Daemon> {
    let relays: Vec<id::Daemon> = tree::all_relays(daemon).into_values().flatten().collect();
    let drawn = daemon.random.below(relays.len() as u64);
    relays.into_iter().nth(usize::try_from(drawn).ok()?)
}

fn ask(daemon: &Daemon, now: Now, fx: &mut Effects, to: &id::Daemon, number: u64) {
    let gather = daemon.config.spread.gather.as_ref();
    let whole = gather.is_none_or(|gather| now.since(gather.at) > PAGES);
    let revision = daemon.config.snapshot.revision;
    send(daemon, fx, to, Message::Ask { number, revision, whole });
}

/// Asks a daemon for its revision; [`revision_of`] shows it later.
pub fn poll(daemon: &mut Daemon, now: Now, fx: &mut Effects, to: &id::Daemon) {
    daemon.config.spread.number += 1;
    let number = daemon.config.spread.number;
    daemon.config.spread.asked.insert(number, now.mono);
    ask(daemon, now, fx, to, number);
}

/// The revision that another daemon last showed.
#[must_use]
pub fn revision_of(daemon: &Daemon, other: &str) -> Option<id::Revision> {
    daemon.config.spread.seen.get(other).map(|seen| seen.revision)
}

fn send(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon, message: Message) {
    member::send(daemon, fx, to, peer::Message::Config(message));
}

/// Acts on a message of another daemon.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: Message,
) {
    match message {
        Message::Ask { number, revision, whole } => {
            see(daemon, now, from, revision, true);
            tell(daemon, now, fx, from, number, revision, whole);
        }
        Message::Tell(tell) => on_tell(daemon, now, fx, from, *tell),
        Message::Push { from: base, revision, changes } => {
            see(daemon, now, from, revision, false);
            advance(daemon, now, fx, base, revision, changes);
        }
        Message::Page { revision, index, last, entries } => {
            if collect(daemon, now, from, revision, index, entries) && last {
                finish(daemon, now, fx);
            }
        }
        Message::Intend(operation) => {
            proof::intend(daemon, now);
            send(daemon, fx, from, Message::Intended(operation));
        }
        Message::Intended(operation) => operation::on_announced(daemon, now, fx, operation),
    }
}

fn see(daemon: &mut Daemon, now: Now, who: &id::Daemon, revision: id::Revision, asks: bool) {
    let seen = daemon.config.spread.seen.entry(who.clone()).or_insert(Seen {
        asked: None,
        at: now.mono,
        revision: 0,
    });
    seen.at = now.mono;
    seen.revision = seen.revision.max(revision);
    if asks {
        seen.asked = Some(now.mono);
    }
}

fn tell(
    daemon: &Daemon,
    now: Now,
    fx: &mut Effects,
    to: &id::Daemon,
    number: u64,
    revision: id::Revision,
    whole: bool,
) {
    let config = &daemon.config;
    let held = revision > 0 && revision >= config.floor;
    if !held && whole {
        pages(daemon, fx, to);
    }
    let changes = config.log.iter().filter(|change| held && change.revision() > revision);
    let tell = Tell {
        number,
        from: if held { revision } else { config.snapshot.revision },
        revision: config.snapshot.revision,
        changes: changes.cloned().collect(),
        applied: config.applied,
        age: super::age(daemon, now),
        quiet: proof::quiet(daemon, now),
    };
    send(daemon, fx, to, Message::Tell(Box::new(tell)));
}

fn pages(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon) {
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
    for (place, entries) in pages.into_iter().enumerate() {
        let index = u32::try_from(place).unwrap_or(u32::MAX);
        let last = place + 1 == count;
        send(daemon, fx, to, Message::Page { revision, index, last, entries });
    }
}

fn on_tell(daemon: &mut Daemon, now: Now, fx: &mut Effects, from: &id::Daemon, tell: Tell) {
    see(daemon, now, from, tell.revision, false);
    let Some(asked) = daemon.config.spread.asked.get(&tell.number).copied() else {
        return;
    };
    daemon.config.spread.answered = daemon.config.spread.answered.max(tell.number);
    advance(daemon, now, fx, tell.from, tell.revision, tell.changes);
    if let Some(since) = tell.age.and_then(|age| asked.checked_sub(age)) {
        proof::on_told(daemon, since, tell.revision);
    }
    proof::on_survey(daemon, from, tell.number, tell.applied, tell.quiet);
}

/// Applies changes that lead on from `base`, unless something before them is missing here.
fn advance(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    base: id::Revision,
    revision: id::Revision,
    changes: Vec<store::Change>,
) {
    let here = daemon.config.snapshot.revision;
    if here >= base && revision > here {
        apply(daemon, now, fx, changes, revision);
    }
}

fn collect(
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
    let gather = &mut daemon.config.spread.gather;
    if index == 0 {
        let from = from.clone();
        *gather = Some(Gather { from, revision, next: 0, entries: Vec::new(), at: now.mono });
    }
    let wanted = gather.as_mut().filter(|gather| {
        gather.from == *from && gather.revision == revision && gather.next == index
    });
    let Some(gather) = wanted else {
        return false;
    };
    gather.next += 1;
    gather.at = now.mono;
    gather.entries.extend(entries);
    true
}

fn finish(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let Some(gather) = daemon.config.spread.gather.take() else {
        return;
    };
    let changes = daemon.config.snapshot.difference(gather.entries, gather.revision);
    apply(daemon, now, fx, changes, gather.revision);
}

/// Passes changes on to whoever asked lately.
pub fn push(
    daemon: &Daemon,
    now: Now,
    fx: &mut Effects,
    from: id::Revision,
    changes: &[store::Change],
) {
    let revision = daemon.config.snapshot.revision;
    let seen = daemon.config.spread.seen.iter();
    let behind = seen.filter(|(_, seen)| {
        seen.revision < revision && seen.asked.is_some_and(|at| now.since(at) < SUBSCRIPTION)
    });
    for (who, _) in behind {
        let message = Message::Push { from, revision, changes: changes.to_vec() };
        send(daemon, fx, who, message);
    }
}
