//! Choice between targets whose load is known only from the past: the homes of a database, or its
//! servers.
//!
//! Many daemons choose at the same moment from reports of similar age. If each took the target with
//! the lowest reported wait, all would take the same one, and its queue would grow until the next
//! reports. Therefore a random number decides for each statement, and the part that leaves the
//! nearest target grows with the time that this saves.
//!
//! A report counts less the older it is; without one, a target is judged by its distance and this
//! daemon's own load there.

use gcl_core::id;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Age at which a report no longer counts. Queues of statements with a timeout of a second, of
/// which 45 % may be spent waiting, are served anew several times in it.
pub const MAX_AGE: Duration = Duration::from_millis(1500);
/// Time that a statement must save before the first ones leave the nearest target.
pub const START_GAIN: Duration = Duration::from_millis(10);
/// The same while statements are leaving it already.
pub const STOP_GAIN: Duration = Duration::ZERO;
/// Limit on the part of the statements that go to a target without a report: enough to learn its
/// load, without leaving the nearest target to a queue that may be longer.
const MAX_UNKNOWN_SHARE: f64 = 0.75;
/// Power of the cost whose inverse is the weight of a target. A higher one saves a little time, but
/// daemons whose reports are of the same moment then choose the same target.
const WEIGHT_POWER: i32 = 4;
/// Statements that other daemons are assumed to have sent to a target since its last report, for
/// each of this daemon's. The simulation had lower waits with 3 than with 0 or 1.
const SENT_BY_OTHERS: usize = 3;
/// Added to costs, in seconds, so that weights are finite.
const MIN_COST: f64 = 0.001;
/// Denominator of random numbers that are compared with a share.
const RANDOM_STEPS: u32 = 1 << 16;

/// The load of a home, as it reports it to other daemons at the end of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Expected wait of a read that arrives now, in milliseconds.
    pub wait_ms: u32,
    /// Statements in its queues for the database.
    pub queued: u32,
    /// Whether that read would run on the primary.
    pub on_primary: bool,
}

/// The last load that a target reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Expected wait there at that time.
    pub wait: Duration,
    /// Time since the report.
    pub age: Duration,
    /// Statements that this daemon has sent there since and that are not answered.
    pub sent: usize,
}

/// A target, with what this daemon knows of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Time to the target and back, and the cost of its distance expressed as time.
    pub path: Duration,
    /// How long a statement occupies a slot there.
    pub service: Duration,
    /// Statements that it runs concurrently.
    pub slots: usize,
    /// Statements that this daemon has sent there and that are not answered.
    pub own: usize,
    /// The last report, if there is one.
    pub report: Option<Report>,
}

/// Confidence in a report, from one to zero, by its age.
#[must_use]
pub fn confidence(age: Duration) -> f64 {
    (1.0 - age.as_secs_f64() / MAX_AGE.as_secs_f64()).max(0.0)
}

impl Target {
    /// Expected wait before `statements` are served that occupy the target's slots.
    fn time_for(&self, statements: usize) -> Duration {
        let slots = u32::try_from(self.slots.max(1)).unwrap_or(u32::MAX);
        self.service.saturating_mul(u32::try_from(statements).unwrap_or(u32::MAX)) / slots
    }

    /// Confidence in what is known of the target's load.
    #[must_use]
    pub fn confidence(&self) -> f64 {
        self.report.map_or(0.0, |report| confidence(report.age))
    }

    /// Expected wait of a statement that is sent now: the report and what was sent since, by this
    /// daemon and others, and this daemon's own load to the extent that the report has aged.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let own = self.time_for(self.own);
        let Some(report) = self.report else {
            return own;
        };
        let reported = report.wait + self.time_for(report.sent * (1 + SENT_BY_OTHERS));
        let confidence = self.confidence();
        reported.mul_f64(confidence) + own.mul_f64(1.0 - confidence)
    }

    /// Expected time of a statement that is sent now, without its execution.
    #[must_use]
    pub fn cost(&self) -> Duration {
        self.expected_wait() + self.path
    }
}

/// Part of the statements that go from the nearest target to another one, between zero and one:
/// none unless it saves a certain time, then a share that grows with the ratio of the costs.
/// `diverting` is whether some did so recently, which lowers the threshold.
#[must_use]
pub fn diverted_share(nearest: &Target, other: &Target, diverting: bool) -> f64 {
    let gain = nearest.cost().saturating_sub(other.cost());
    if gain <= if diverting { STOP_GAIN } else { START_GAIN } {
        return 0.0;
    }
    let weight = |target: &Target| (target.cost().as_secs_f64() + MIN_COST).powi(-WEIGHT_POWER);
    let share = weight(other) / (weight(nearest) + weight(other));
    if other.confidence() > 0.0 { share } else { share.min(MAX_UNKNOWN_SHARE) }
}

/// Whether a statement belongs to a `share` of all statements.
#[must_use]
pub fn is_within(share: f64, random: u64) -> bool {
    let step = u32::try_from(random % u64::from(RANDOM_STEPS)).unwrap_or(0);
    f64::from(step) < share * f64::from(RANDOM_STEPS)
}

/// The last reports of homes.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// By host and database: the load, when it arrived, and the last serial assigned then.
    last: IndexMap<(id::Daemon, id::Database), (Load, Duration, u64)>,
    /// When a read of a database last left its nearest home.
    diverted: IndexMap<id::Database, Duration>,
}

impl Reports {
    /// Records a report that arrived at `now`, after the statement `serial` was sent.
    pub fn record(
        &mut self,
        now: Duration,
        (host, database): (&id::Daemon, &id::Database),
        load: Load,
        serial: u64,
    ) {
        self.last.insert((host.clone(), database.clone()), (load, now, serial));
    }

    /// The last load of a home with its age, and the last serial assigned when it arrived.
    #[must_use]
    pub fn last(
        &self,
        now: Duration,
        host: &id::Daemon,
        database: &id::Database,
    ) -> Option<(Load, Duration, u64)> {
        let (load, at, serial) = self.last.get(&(host.clone(), database.clone()))?;
        let age = now.saturating_sub(*at);
        (age < MAX_AGE).then_some((*load, age, *serial))
    }

    /// Discards what a host reported, since it was lost or restarted.
    pub fn forget(&mut self, host: &str) {
        self.last.retain(|(name, _), _| name != host);
    }

    /// Records that a read of a database left its nearest home, and discards old reports.
    pub fn on_diverted(&mut self, now: Duration, database: &id::Database) {
        self.last.retain(|_, (_, at, _)| now.saturating_sub(*at) < MAX_AGE);
        self.diverted.insert(database.clone(), now);
    }

    /// Whether a read of a database recently left its nearest home.
    #[must_use]
    pub fn is_diverting(&self, now: Duration, database: &str) -> bool {
        self.diverted.get(database).is_some_and(|at| now.saturating_sub(*at) < MAX_AGE)
    }
}
