//! Failover: replacement of a failed primary.
//!
//! Any home of a group may suspect the primary after missed reports. It then asks the other homes
//! for their opinions and queries all servers. It proceeds only if most of the homes that answer
//! cannot reach the primary and a majority of the servers can be reached, so that neither a
//! one-sided partition nor a minority fences anything.
//!
//! It then fences the servers at a term above every term it has seen. A server accepts a term only
//! if it is strictly higher than its own, so two promoters never fence a majority at the same term.
//! The server of the fenced majority with the most advanced log, by (term, position), is promoted.
//! Every acknowledged commit is held by a majority; any two majorities overlap, so the promoted log
//! contains it. A promotion is requested once per term: after a lost answer the next attempt uses a
//! higher term, so there are never two primaries at one term.
//!
//! If a promoter fails, servers remain at a term without a primary; other homes detect this and
//! take over with a higher term. A group that never had a primary gets its first one in the same
//! way. Ranks among the homes and seeded jitter keep competing promoters from blocking each other.

mod promotion;
mod suspicion;

pub(super) use self::{
    promotion::{on_fence, on_promote, start_attempt},
    suspicion::{evaluate, on_opinion, on_status, on_suspect},
};

use self::{
    promotion::{back_off, promote},
    suspicion::resolve_suspicion,
};
use crate::{
    effect::Effects,
    group::{
        is_home, is_majority, record_failover,
        report::{self},
        servers,
    },
    id,
    mark::Mark,
    run::Leader,
    state::State as Daemon,
    time::Now,
    timer,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Consecutive unanswered questions after which a primary may be suspected.
const UNANSWERED_THRESHOLD: u32 = 2;
/// Time for which the cause must persist before an unresponsive primary is suspected.
const SUSPICION_DELAY: Duration = Duration::from_millis(150);
/// Maximum wait for the opinions of the other homes.
const OPINION_TIMEOUT: Duration = Duration::from_millis(350);
/// Additional delay for each rank among the homes that suspect the same primary.
const RANK_STEP: Duration = Duration::from_millis(80);
/// Time after which other homes take over a term that has no primary.
const TAKEOVER_DELAY: Duration = Duration::from_millis(400);
/// Time to wait for an existing primary to report before a group without a leader gets one.
const BOOTSTRAP_DELAY: Duration = Duration::from_millis(300);
/// Maximum wait for a majority to be fenced, and for a promotion.
const STEP_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum wait for all servers to be fenced in a switchover.
const PLANNED_STEP_TIMEOUT: Duration = Duration::from_millis(60);
/// Mean wait after a failed attempt.
const BACKOFF: Duration = Duration::from_millis(150);

/// Why a group needs a new primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The primary does not answer.
    Unresponsive,
    /// Servers are at a term without a primary.
    Leaderless,
    /// No primary is known; the group may never have had one.
    Bootstrap,
}

impl Cause {
    const fn text(self) -> &'static str {
        match self {
            Self::Unresponsive => "the primary does not answer",
            Self::Leaderless => "a term has no primary",
            Self::Bootstrap => "the group has no primary",
        }
    }
}

/// A suspicion that is being verified.
#[derive(Clone, Debug)]
struct Suspicion {
    number: u64,
    cause: Cause,
    /// A server counts as reachable if it answered a question above this id.
    after: id::Question,
    until: Duration,
    requested: usize,
    opinions: IndexMap<id::Daemon, bool>,
}

/// An attempt to promote a primary.
#[derive(Clone, Debug)]
struct Attempt {
    term: id::Term,
    started_at: Duration,
    old_leader: Option<Leader>,
    preferred: Option<id::Server>,
    fenced: IndexMap<id::Server, Mark>,
    pending: usize,
    promoted: Option<id::Server>,
}

/// Another home's pending request for this home's opinion.
#[derive(Clone, Debug)]
struct OpinionRequest {
    daemon: id::Daemon,
    number: u64,
    at: Duration,
}

/// The failover state of a group at one of its homes.
#[derive(Clone, Debug, Default)]
pub(super) struct Failover {
    last_number: u64,
    cause_since: Option<(Cause, Duration)>,
    suspicion: Option<Suspicion>,
    attempt: Option<Attempt>,
    opinion_requests: Vec<OpinionRequest>,
    backoff_until: Duration,
}

impl Failover {
    /// Whether there is cause to replace the primary, or it is being replaced.
    pub(super) const fn is_active(&self) -> bool {
        self.cause_since.is_some() || self.attempt.is_some()
    }

    /// Whether an attempt to promote a primary is in progress.
    pub(super) const fn is_attempting(&self) -> bool {
        self.attempt.is_some()
    }
}

/// Ends the suspicion and any attempt that a new leader makes obsolete.
pub(super) fn on_leader(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let Some(leader) = group.leader.clone() else {
        return;
    };
    group.failover.suspicion = None;
    group.failover.cause_since = None;
    let attempt = group.failover.attempt.take_if(|attempt| attempt.term <= leader.term);
    let own = attempt.filter(|attempt| attempt.term == leader.term);
    let reason = if own.is_some() { "promoted" } else { "learned the primary" };
    record_failover(daemon, fx, database, &leader.server, Some(leader.term), reason);
    if let Some(attempt) = own {
        fx.observe("gcl_failover_seconds", database.clone(), now.since(attempt.started_at));
        for server in servers(daemon, database) {
            if server != leader.server {
                report::send_follow(daemon, now, fx, database, &server);
            }
        }
    }
    let leads = is_home(daemon, &leader.server);
    fx.gauge("gcl_primary_here", database.clone(), if leads { 1.0 } else { 0.0 });
}

/// Handles the time limit of the current step.
pub(super) fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let size = servers(daemon, database).len();
    let Some(group) = daemon.group.groups.get(database) else {
        return;
    };
    let Some(attempt) = &group.failover.attempt else {
        return resolve_suspicion(daemon, now, fx, database);
    };
    let fenced_majority = is_majority(attempt.fenced.len(), size);
    if attempt.promoted.is_some() {
        back_off(daemon, now, fx, database, "the promotion took too long");
    } else if fenced_majority {
        promote(daemon, now, fx, database);
    } else if attempt.preferred.is_some() && now.since(attempt.started_at) < STEP_TIMEOUT {
        fx.arm(timer::Key::Failover(database.clone()), attempt.started_at + STEP_TIMEOUT);
    } else {
        back_off(daemon, now, fx, database, "fencing took too long");
    }
}
