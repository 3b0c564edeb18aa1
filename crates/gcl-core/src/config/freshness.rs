//! Tracks the time up to which this daemon cannot have missed a change of the configuration.
//!
//! A confirmation is dated by this daemon's monotonic clock at the moment of the *request*: the
//! answer was true at some time after it. Daemons exchange the age of their confirmations, never
//! the time.
//!
//! While no daemon can reach the store, a survey replaces it: if the relays of every failure domain
//! answer that they cannot reach it either, hold no newer change and expect none, then no newer
//! change was in force anywhere at the time of the request.

use super::tree;
use crate::{effect::Effects, id, member, peer, state::State as Daemon, time::Now};
use indexmap::IndexSet;
use std::time::Duration;

/// Time without a confirmation from the store after which a relay counts as cut off from it.
const STORE_CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an announced change may still reach the store.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(4);
/// Most confirmations kept whose revision this daemon has not reached.
const MAX_PENDING: usize = 16;

/// A confirmation, which takes effect once this daemon has reached its revision.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    since: Duration,
    revision: id::Revision,
    from_store: bool,
}

#[derive(Clone, Debug)]
struct Survey {
    number: u64,
    started_at: Duration,
    unanswered: IndexSet<id::Daemon>,
}

/// Pending confirmations and the state of surveys.
#[derive(Clone, Debug, Default)]
pub struct State {
    pending: Vec<Confirmation>,
    survey: Option<Survey>,
    /// When the last change that may still reach the store was announced.
    announced_at: Option<Duration>,
    /// Since when this daemon has been a relay, and so has received announcements of changes.
    relay_since: Option<Duration>,
}

/// Records since when this daemon has been a relay, if it is one.
pub fn update_role(daemon: &mut Daemon, now: Now) {
    let freshness = &mut daemon.config.freshness;
    freshness.relay_since =
        daemon.config.role.relay.then(|| freshness.relay_since.unwrap_or(now.mono));
}

/// Handles a read of the store, requested at `since`, that showed its revision.
pub fn on_store_read(daemon: &mut Daemon, since: Duration, revision: id::Revision) {
    add_confirmation(daemon, Confirmation { since, revision, from_store: true });
}

/// Handles another daemon's report that `revision` was confirmed as current at `since`.
pub fn on_peer_report(daemon: &mut Daemon, since: Duration, revision: id::Revision) {
    add_confirmation(daemon, Confirmation { since, revision, from_store: false });
}

fn add_confirmation(daemon: &mut Daemon, confirmation: Confirmation) {
    let pending = &mut daemon.config.freshness.pending;
    if pending.len() == MAX_PENDING {
        pending.remove(0);
    }
    pending.push(confirmation);
    apply_pending(daemon);
}

/// Applies the confirmations whose revision this daemon has reached.
pub fn apply_pending(daemon: &mut Daemon) {
    let config = &mut daemon.config;
    let revision = config.snapshot.revision;
    let reached =
        config.freshness.pending.extract_if(.., |confirmation| confirmation.revision <= revision);
    let reached: Vec<Confirmation> = reached.collect();
    for confirmation in reached {
        config.confirmed = config.confirmed.max(Some(confirmation.since));
        if confirmation.from_store {
            config.store_confirmed = config.store_confirmed.max(Some(confirmation.since));
            let announced_at = config.freshness.announced_at;
            let over = announced_at.is_some_and(|at| confirmation.since > at + ANNOUNCEMENT_TTL);
            config.freshness.announced_at = announced_at.filter(|_| !over);
        }
    }
}

/// Whether the watch is behind a revision that the store confirmed more than `limit` ago.
#[must_use]
pub fn is_watch_stalled(daemon: &Daemon, now: Now, limit: Duration) -> bool {
    let mut pending = daemon.config.freshness.pending.iter();
    pending.any(|confirmation| confirmation.from_store && now.since(confirmation.since) > limit)
}

/// Discards the confirmations that are pending on this daemon's own watch.
pub fn discard_store_confirmations(daemon: &mut Daemon) {
    daemon.config.freshness.pending.retain(|confirmation| !confirmation.from_store);
}

/// Whether this relay is cut off from the store and no change can still be under way. It must have
/// been a relay for long enough to have received the announcement of any such change.
#[must_use]
pub fn is_quiet(daemon: &Daemon, now: Now) -> bool {
    let config = &daemon.config;
    let cut_off = config.store_confirmed.is_none_or(|then| now.since(then) > STORE_CONTACT_TIMEOUT);
    let settled =
        config.freshness.relay_since.is_some_and(|since| now.since(since) > ANNOUNCEMENT_TTL);
    cut_off && settled && config.freshness.announced_at.is_none()
}

/// Records the announcement of a change that is about to be sent to the store.
pub fn expect_change(daemon: &mut Daemon, now: Now) {
    daemon.config.freshness.announced_at = Some(now.mono);
}

/// Starts a survey of the relays of every domain if this relay is cut off from the store; returns
/// the daemons to ask.
pub fn start_survey(daemon: &mut Daemon, now: Now, number: u64) -> Vec<id::Daemon> {
    let store_confirmed = daemon.config.store_confirmed;
    if store_confirmed.is_some_and(|then| now.since(then) <= STORE_CONTACT_TIMEOUT) {
        daemon.config.freshness.survey = None;
        return Vec::new();
    }
    let domains = tree::all_relays(daemon);
    let complete = domains.values().all(|relays| !relays.is_empty());
    let all: IndexSet<id::Daemon> = domains.into_values().flatten().collect();
    let others: Vec<id::Daemon> =
        all.iter().filter(|relay| **relay != daemon.settings.daemon).cloned().collect();
    let survey = Survey { number, started_at: now.mono, unanswered: all };
    daemon.config.freshness.survey = complete.then_some(survey);
    let me = daemon.settings.daemon.clone();
    let applied = daemon.config.applied;
    let quiet = is_quiet(daemon, now);
    on_survey_answer(daemon, &me, number, applied, quiet);
    others
}

/// Handles one relay's answer to a survey.
pub fn on_survey_answer(
    daemon: &mut Daemon,
    from: &id::Daemon,
    number: u64,
    applied: id::Revision,
    quiet: bool,
) {
    let config = &mut daemon.config;
    let Some(survey) = config.freshness.survey.as_mut().filter(|survey| survey.number == number)
    else {
        return;
    };
    if !quiet || applied > config.applied {
        config.freshness.survey = None;
        return;
    }
    survey.unanswered.swap_remove(from);
    if survey.unanswered.is_empty() {
        config.confirmed = config.confirmed.max(Some(survey.started_at));
        config.freshness.survey = None;
    }
}

/// Announces a change to the relays of this domain before it is sent to the store.
pub fn announce(daemon: &Daemon, fx: &mut Effects, operation: id::Operation) {
    for relay in tree::relays(daemon, &daemon.settings.domain) {
        let message = peer::Message::Config(super::Message::Intend(operation));
        member::send(daemon, fx, &relay, message);
    }
}
