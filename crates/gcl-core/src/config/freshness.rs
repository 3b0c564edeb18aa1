//! Since when no change can have escaped this daemon.
//!
//! A time counts by this daemon's monotonic clock at the moment when it *asked*: whatever answers
//! was true after that moment. Daemons tell each other how old their proof is, never when it was.
//!
//! While nobody reaches the store, a survey takes its place: when the relays of every failure domain
//! answer that they cannot reach it either, hold no newer change and know of none under way, then no
//! change was in force anywhere when they were asked.

use super::tree;
use crate::{effect::Effects, id, member, peer, state::State as Daemon, time::Now};
use indexmap::IndexSet;
use std::time::Duration;

/// Age of a relay's own contact with the store from which it counts as cut off.
const DOWN: Duration = Duration::from_secs(2);
/// Time for which an announced change may still reach the store.
const INTENT: Duration = Duration::from_secs(4);
/// Most proofs that wait for their revision.
const WAITING: usize = 16;

/// A proof that holds once a revision is reached.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Duration,
    revision: id::Revision,
    direct: bool,
}

#[derive(Clone, Debug)]
struct Survey {
    number: u64,
    asked: Duration,
    open: IndexSet<id::Daemon>,
}

/// Proofs on their way.
#[derive(Clone, Debug, Default)]
pub struct State {
    waiting: Vec<Waiting>,
    survey: Option<Survey>,
    intent: Option<Duration>,
    /// Since when this daemon has been a relay, to which changes are announced.
    relay: Option<Duration>,
}

/// Notes whether this daemon is a relay.
pub fn serve(daemon: &mut Daemon, now: Now) {
    let proof = &mut daemon.config.proof;
    proof.relay = daemon.config.role.relay.then(|| proof.relay.unwrap_or(now.mono));
}

/// Notes that the store, asked at `since`, was at a revision.
pub fn on_direct(daemon: &mut Daemon, since: Duration, revision: id::Revision) {
    wait(daemon, Waiting { since, revision, direct: true });
}

/// Notes that another daemon, asked by now, had a proof for a revision that dates from `since`.
pub fn on_told(daemon: &mut Daemon, since: Duration, revision: id::Revision) {
    wait(daemon, Waiting { since, revision, direct: false });
}

fn wait(daemon: &mut Daemon, waiting: Waiting) {
    let list = &mut daemon.config.proof.waiting;
    if list.len() == WAITING {
        list.remove(0);
    }
    list.push(waiting);
    settle(daemon);
}

/// Takes the proofs whose revision is reached.
pub fn settle(daemon: &mut Daemon) {
    let config = &mut daemon.config;
    let revision = config.snapshot.revision;
    let reached = config.proof.waiting.extract_if(.., |waiting| waiting.revision <= revision);
    let reached: Vec<Waiting> = reached.collect();
    for proof in reached {
        config.confirmed = config.confirmed.max(Some(proof.since));
        if proof.direct {
            config.direct = config.direct.max(Some(proof.since));
            let intent = config.proof.intent;
            let over = intent.is_some_and(|intent| proof.since > intent + INTENT);
            config.proof.intent = intent.filter(|_| !over);
        }
    }
}

/// Whether the watch has not reached what the store confirmed `limit` ago.
#[must_use]
pub fn stalled(daemon: &Daemon, now: Now, limit: Duration) -> bool {
    let mut waiting = daemon.config.proof.waiting.iter();
    waiting.any(|waiting| waiting.direct && now.since(waiting.since) > limit)
}

/// Forgets the proofs that wait for this daemon's own watch.
pub fn forget(daemon: &mut Daemon) {
    daemon.config.proof.waiting.retain(|waiting| !waiting.direct);
}

/// Whether this daemon can say that the store took no change that it knows of or expects.
#[must_use]
pub fn quiet(daemon: &Daemon, now: Now) -> bool {
    let config = &daemon.config;
    let cut_off = config.direct.is_none_or(|direct| now.since(direct) > DOWN);
    let settled = config.proof.relay.is_some_and(|since| now.since(since) > INTENT);
    cut_off && settled && config.proof.intent.is_none()
}

/// Notes that a change is about to be sent to the store.
pub fn intend(daemon: &mut Daemon, now: Now) {
    daemon.config.proof.intent = Some(now.mono);
}

/// Asks the relays of every domain, if this relay has lost the store; gives whom to ask.
pub fn survey(daemon: &mut Daemon, now: Now, number: u64) -> Vec<id::Daemon> {
    let direct = daemon.config.direct;
    if direct.is_some_and(|direct| now.since(direct) <= DOWN) {
        daemon.config.proof.survey = None;
        return Vec::new();
    }
    let domains = tree::all_relays(daemon);
    let complete = domains.values().all(|relays| !relays.is_empty());
    let all: IndexSet<id::Daemon> = domains.into_values().flatten().collect();
    let asked: Vec<id::Daemon> =
        all.iter().filter(|relay| **relay != daemon.settings.daemon).cloned().collect();
    let survey = Survey { number, asked: now.mono, open: all };
    daemon.config.proof.survey = complete.then_some(survey);
    let me = daemon.settings.daemon.clone();
    let applied = daemon.config.applied;
    let quiet = quiet(daemon, now);
    on_survey(daemon, &me, number, applied, quiet);
    asked
}

/// Takes one relay's word.
pub fn on_survey(
    daemon: &mut Daemon,
    from: &id::Daemon,
    number: u64,
    applied: id::Revision,
    quiet: bool,
) {
    let config = &mut daemon.config;
    let Some(survey) = config.proof.survey.as_mut().filter(|survey| survey.number == number) else {
        return;
    };
    if !quiet || applied > config.applied {
        config.proof.survey = None;
        return;
    }
    survey.open.swap_remove(from);
    if survey.open.is_empty() {
        config.confirmed = config.confirmed.max(Some(survey.asked));
        config.proof.survey = None;
    }
}

/// Announces a change to the relays of this domain before it is sent to the store.
pub fn announce(daemon: &Daemon, fx: &mut Effects, operation: id::Operation) {
    for relay in tree::relays(daemon, &daemon.settings.domain) {
        let message = peer::Message::Config(super::Message::Intend(operation));
        member::send(daemon, fx, &relay, message);
    }
}
