//! Silent outages of the store, and the age of this daemon's view of it.
//!
//! A call that is made while the store is silent is never answered, although its connection stays
//! open, so a watch that begins then reports nothing for half a minute. Other calls end sooner. Once
//! one of them was lost, updates may be missing from the time of the last answer on. With the next
//! answer to any call, every topic is watched again, from the revision that is known. In normal
//! operation this costs no call to the store.

use super::on_timer;
use crate::{
    effect::Effects,
    line::Line,
    role::Role,
    state::State as Daemon,
    store::{Answer, Call, Event, Failure, Topic},
    timer,
};
use gcl_core::time::Now;
use std::time::Duration;

/// Age of the view beyond which this daemon decides no move of a primary. One lost renewal and its
/// repetition take 2 s.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2500);
/// Time within which a new watch reports the changes that were missed. The store answers within some
/// hundred milliseconds when it is slow.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);
/// Minimum interval between extra reads of a topic.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// What is known about the store's availability.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct State {
    /// When the store last answered a call.
    last_answer: Duration,
    /// Since when updates may be missing.
    missing_since: Option<Duration>,
    /// When the topics were watched again after that.
    resumed_at: Option<Duration>,
    /// When a topic was last read to learn whether a server is gone.
    refreshed_at: Option<Duration>,
}

/// Whether a call had a response, and if not, whether it may have been lost in a silent outage.
const fn outcome(event: &Event) -> Result<(), Failure> {
    match event {
        Event::Read(_, Err(failure))
        | Event::Watched(_, _, Err(failure))
        | Event::Written(_, Err(failure))
        | Event::Granted(Err(failure))
        | Event::Renewed(_, Err(failure))
        | Event::Revoked(_, Err(failure)) => Err(*failure),
        _ => Ok(()),
    }
}

/// Handles the outcome of a call, before the response itself is handled.
pub(super) fn on_answer(daemon: &mut Daemon, now: Now, fx: &mut Effects, answer: &Answer) {
    let age = view_age(daemon, now);
    let silence = &mut daemon.watch.silence;
    match outcome(&answer.event) {
        // The store answered that it makes no call or lacks the history.
        Err(Failure::Refused | Failure::Compacted) => {}
        Err(Failure::Lost | Failure::Unreached) => {
            let since = silence.missing_since.filter(|_| !age.is_zero());
            silence.missing_since = since.or(Some(silence.last_answer));
            silence.resumed_at = None;
        }
        Ok(()) => {
            silence.last_answer = now.mono;
            if silence.missing_since.is_some() && silence.resumed_at.is_none() {
                resume(daemon, now, fx);
            }
        }
    }
}

/// Watches every topic again after calls were lost.
fn resume(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    daemon.watch.silence.resumed_at = Some(now.mono);
    if daemon.role.current != Role::Host {
        return;
    }
    let age = view_age(daemon, now);
    for topic in Topic::ALL {
        let Some(progress) = daemon.watch.topics.get_mut(&topic).filter(|it| it.read) else {
            continue;
        };
        if let Some(after) = progress.watched_from {
            let line = Line::state_change("topic watched again").with("topic", topic.name());
            fx.log(line.with("after", after).millis("view_age", age));
            fx.count("gcl_store_watches_renewed", topic.name());
            fx.store(Call::Watch(topic, after));
        } else if progress.failing_since.is_some() {
            daemon.timers.cancel(&timer::Key::Store(topic));
            on_timer(daemon, fx, topic);
        }
    }
    fx.observe("gcl_store_view_age_seconds", "", age);
}

/// For how long updates of the store's contents may have been missing; zero if none are.
#[must_use]
pub fn view_age(daemon: &Daemon, now: Now) -> Duration {
    let silence = &daemon.watch.silence;
    let Some(since) = silence.missing_since else {
        return Duration::ZERO;
    };
    let caught_up = silence.resumed_at.is_some_and(|at| now.since(at) >= CATCH_UP_TIME);
    if caught_up { Duration::ZERO } else { now.since(since) }
}

/// Whether this daemon's view of the store is recent enough to decide a move of a primary.
#[must_use]
pub fn is_current(daemon: &Daemon, now: Now) -> bool {
    view_age(daemon, now) < MAX_VIEW_AGE
}

/// Reads the servers again, to learn whether one that is unknown here is gone.
pub fn refresh_servers(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let silence = &mut daemon.watch.silence;
    if silence.refreshed_at.is_none_or(|at| now.since(at) >= REFRESH_INTERVAL) {
        silence.refreshed_at = Some(now.mono);
        fx.store(Call::Read(Topic::Servers));
    }
}
