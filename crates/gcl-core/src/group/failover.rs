//! Replacement of a primary that is gone.
//!
//! Any home of a group may doubt the primary after missed reports. It asks the other homes, and
//! asks all servers at the same time; it goes on only when most of the homes that answer cannot see
//! the primary and a majority of the servers can be reached, so that neither a one-sided cut nor a
//! minority fences anything. Then it fences at a term above all it has seen. A server takes a
//! strictly higher fence once, so two promoters never hold a majority at one term. Of a fenced
//! majority the most advanced by (term, position) of its log is promoted; every acknowledged commit
//! is held by a majority, the two majorities meet, and so the promoted log holds it. A promotion is
//! asked once per term: a lost answer leads to a higher term, never to a second primary at the same.
//!
//! A promoter that dies leaves servers at a term without a primary; other homes see that and take
//! over with a higher term. A group that never had a primary gets one in the same way. Loops between
//! rivals end by ranks among the homes and a seeded jitter.

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

/// Unanswered questions after which a primary is in doubt.
const MAX_UNANSWERED: u32 = 2;
/// Least silence after which a primary is in doubt.
const SUSPICION_DELAY: Duration = Duration::from_millis(150);
/// Longest wait for the opinions of the other homes.
const OPINION_TIMEOUT: Duration = Duration::from_millis(350);
/// Time between the ranks of homes that doubt the same primary.
const RANK_STEP: Duration = Duration::from_millis(80);
/// Time after which other homes take over a term that got no primary.
const TAKEOVER_DELAY: Duration = Duration::from_millis(400);
/// Wait for primaries to show before a group without any gets one.
const BOOTSTRAP_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for a majority to be fenced, and for a promotion.
const STEP_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the rest of the group in a planned change.
const PLANNED_STEP_TIMEOUT: Duration = Duration::from_millis(60);
/// Mean wait after a failed try.
const BACKOFF: Duration = Duration::from_millis(150);

/// Why a group needs a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The primary does not answer.
    Unresponsive,
    /// Servers are at a term that has no primary.
    Leaderless,
    /// No server was ever primary.
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

/// A doubt that is being checked.
#[derive(Clone, Debug)]
struct Suspicion {
    number: u64,
    cause: Cause,
    /// Answers to questions above this id tell which servers can be reached.
    after: id::Question,
    until: Duration,
    asked: usize,
    opinions: IndexMap<id::Daemon, bool>,
}

/// A promotion under way.
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

/// Another home that waits for this one's opinion.
#[derive(Clone, Debug)]
struct OpinionRequest {
    daemon: id::Daemon,
    number: u64,
    at: Duration,
}

/// What a home keeps to replace the primary of a group.
#[derive(Clone, Debug, Default)]
pub(super) struct Failover {
    last_number: u64,
    ongoing: Option<(Cause, Duration)>,
    suspicion: Option<Suspicion>,
    attempt: Option<Attempt>,
    opinion_requests: Vec<OpinionRequest>,
    backoff_until: Duration,
}

impl Failover {
    /// Whether the primary is in doubt or being replaced.
    pub(super) const fn is_active(&self) -> bool {
        self.ongoing.is_some() || self.attempt.is_some()
    }

    /// Whether a promotion is under way.
    pub(super) const fn is_attempting(&self) -> bool {
        self.attempt.is_some()
    }
}

/// Ends a doubt or a promotion that a leader's appearance decides.
pub(super) fn on_leader(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.group.groups.get_mut(database) else {
        return;
    };
    let Some(leader) = group.leader.clone() else {
        return;
    };
    group.failover.suspicion = None;
    group.failover.ongoing = None;
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

/// Ends a step that took too long.
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
