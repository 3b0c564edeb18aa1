//! Servers that are slower than the others of their database, or fail more of their statements,
//! although their health is good.
//!
//! A busy server is no outlier. Its queue is left out by counting only the times of statements that
//! found a free slot, and the times are compared for each kind of statement with the fastest other
//! server of the database. Failures are compared in the same way, so that a statement that fails
//! everywhere is no sign.
//!
//! An outlier gets a small share of the reads, which shows when it has recovered. It then gets more
//! step by step, since a server that has just recovered may have empty caches.

use compact_str::CompactString;
use gcl_core::id;
use indexmap::IndexMap;
use std::time::Duration;

/// Times of a kind of statement that a server must have before they are compared.
const MIN_SAMPLES: u32 = 8;
/// Statements that a server must have answered before its failures are compared.
const MIN_ANSWERS: u32 = 16;
/// Smoothing of times and failures: a new one has the weight of one part in this many.
const DIVISOR: f64 = 8.0;
/// Ratio to the fastest other server from which a server is slow. Times of single statements vary
/// by a factor of two in the simulation.
const SLOW_RATIO: f64 = 3.0;
/// Ratio of a single time up to which it counts as normal.
const NORMAL_RATIO: f64 = 2.0;
/// Least difference of times that counts; smaller ones are the network and the scheduler.
const MIN_DIFFERENCE_MS: f64 = 5.0;
/// Excess of the failed share from which a server is failing.
const FAILING_EXCESS: f64 = 0.25;
/// Successive normal statements after which a slow server has recovered.
const NORMAL_TIMES: u32 = 4;
/// The same for a failing one, most of whose statements may succeed.
const NORMAL_ANSWERS: u32 = 8;
/// Share of its part of the reads that a slow server gets.
const SLOW_SHARE: f64 = 1.0 / 16.0;
/// The same for a failing one: a read that fails is run again elsewhere, and so costs less.
const FAILING_SHARE: f64 = 1.0 / 8.0;
/// Time in which the share of a server that has recovered doubles.
const DOUBLING: Duration = Duration::from_secs(2);
/// Age from which a server's measurements are not compared any more.
const MAX_AGE: Duration = Duration::from_secs(10);
/// Denominator of random numbers that are compared with a share.
const RANDOM_STEPS: u32 = 1 << 16;

/// Why a server is an outlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its statements take longer.
    Slow,
    /// More of its statements fail.
    Failing,
}

/// A statement that a server ran, or that was lost there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The kind of the statement.
    pub kind: CompactString,
    /// How long it took, if it found a free slot and succeeded.
    pub took: Option<Duration>,
    /// The part of that time which may be the way to the server and back. It counts in favor of
    /// this server, and never against another.
    pub path: Duration,
    /// Whether it failed.
    pub failed: bool,
}

/// How a server compares with the others of its database.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Its times in relation to those of the fastest other server; one without common kinds.
    pub ratio: f64,
    /// The part of its statements that failed beyond that of the other server with the fewest.
    pub excess: f64,
    /// Age of the measurements of the others.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    #[default]
    Normal,
    Outlier(Cause),
    /// Recovered, since when.
    Returning(Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    millis: f64,
    count: u32,
}

/// Measurements of one server.
#[derive(Clone, Debug, Default)]
struct Track {
    times: IndexMap<CompactString, Average>,
    path: Duration,
    failures: f64,
    answers: u32,
    /// Successive normal statements.
    normal: u32,
    updated: Duration,
    phase: Phase,
}

/// A change of a server's standing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It is an outlier now.
    Found(Cause, Comparison),
    /// It has recovered, and gets more step by step.
    Recovered(Comparison),
}

/// Measurements of all servers by database.
#[derive(Clone, Debug, Default)]
pub struct State {
    databases: IndexMap<id::Database, IndexMap<id::Server, Track>>,
}

impl Track {
    fn add(&mut self, now: Duration, sample: &Sample) {
        self.updated = now;
        self.answers = self.answers.saturating_add(1);
        let failed = if sample.failed { 1.0 } else { 0.0 };
        self.failures += (failed - self.failures) / DIVISOR;
        if let Some(took) = sample.took {
            let average = self.times.entry(sample.kind.clone()).or_default();
            average.count = average.count.saturating_add(1);
            // The mean of the first ones, so that none of them has too much weight.
            let divisor = f64::from(average.count).min(DIVISOR);
            average.millis += (took.as_secs_f64() * 1000.0 - average.millis) / divisor;
            self.path = sample.path;
        }
    }

    /// The ratio of its times to another server's, over the kinds that both have run.
    fn ratio_to(&self, other: &Self) -> Option<f64> {
        let pairs = self.times.iter().filter_map(|(kind, own)| {
            let other = other.times.get(kind)?;
            let millis = (own.millis - self.path.as_secs_f64() * 1000.0).max(0.0);
            (own.count.min(other.count) >= MIN_SAMPLES).then_some((millis, other.millis))
        });
        let (own, other) = pairs.fold((0.0, 0.0), |sum, pair| (sum.0 + pair.0, sum.1 + pair.1));
        match other > 0.0 {
            true if own - other < MIN_DIFFERENCE_MS => Some((own / other).min(1.0)),
            true => Some(own / other),
            false => None,
        }
    }
}

impl State {
    /// Records a statement at a server, and tells whether that changes its standing.
    pub fn record(
        &mut self,
        now: Duration,
        (database, server): (&id::Database, &id::Server),
        sample: &Sample,
    ) -> Option<Change> {
        let servers = self.databases.entry(database.clone()).or_default();
        servers.entry(server.clone()).or_default().add(now, sample);
        let comparison = compare(now, servers, server)?;
        let normal = is_normal(servers, server, sample);
        let track = servers.get_mut(server)?;
        let cause = if comparison.excess >= FAILING_EXCESS {
            Some(Cause::Failing)
        } else {
            (comparison.ratio >= SLOW_RATIO).then_some(Cause::Slow)
        };
        if let Phase::Outlier(cause) = track.phase {
            track.normal = if normal { track.normal + 1 } else { 0 };
            let least = if cause == Cause::Slow { NORMAL_TIMES } else { NORMAL_ANSWERS };
            if track.normal < least {
                return None;
            }
            // The averages of the time before would make it an outlier again.
            *track = Track { phase: Phase::Returning(now), updated: now, ..Track::default() };
            return Some(Change::Recovered(comparison));
        }
        track.phase = Phase::Outlier(cause?);
        track.normal = 0;
        Some(Change::Found(cause?, comparison))
    }

    /// The share of its usual part of the reads that a server gets, one unless it is an outlier or
    /// was one recently.
    #[must_use]
    pub fn share(&self, now: Duration, database: &str, server: &str) -> f64 {
        let track = self.databases.get(database).and_then(|servers| servers.get(server));
        match track.map(|track| (track.phase, track.updated)) {
            // Without statements nothing shows that it is still one.
            Some((Phase::Outlier(cause), updated)) => {
                let share = if cause == Cause::Slow { SLOW_SHARE } else { FAILING_SHARE };
                returning(now.saturating_sub(updated + MAX_AGE)).max(share)
            }
            Some((Phase::Returning(since), _)) => returning(now.saturating_sub(since)),
            _ => 1.0,
        }
    }

    /// Why a server is an outlier, how it compares, and the age of its last measurement.
    #[must_use]
    pub fn explain(
        &self,
        now: Duration,
        database: &str,
        server: &id::Server,
    ) -> Option<(Option<Cause>, Comparison, Duration)> {
        let servers = self.databases.get(database)?;
        let track = servers.get(server)?;
        let cause = match track.phase {
            Phase::Outlier(cause) => Some(cause),
            _ => None,
        };
        let comparison = compare(now, servers, server)?;
        Some((cause, comparison, now.saturating_sub(track.updated)))
    }

    /// Discards the measurements of a server that is gone or was restarted.
    pub fn forget(&mut self, server: &str) {
        for servers in self.databases.values_mut() {
            servers.swap_remove(server);
        }
    }
}

/// The share of a server some time after it has recovered.
fn returning(time: Duration) -> f64 {
    (SLOW_SHARE * (time.as_secs_f64() / DOUBLING.as_secs_f64()).exp2()).min(1.0)
}

/// Whether a statement took about as long as at the fastest other server; one whose time is not
/// known only needs to succeed.
fn is_normal(servers: &IndexMap<id::Server, Track>, server: &id::Server, sample: &Sample) -> bool {
    let others = servers.iter().filter(|(name, _)| *name != server);
    let times = others.filter_map(|(_, other)| other.times.get(&sample.kind));
    let fastest = times.map(|time| time.millis).reduce(f64::min);
    let bound = fastest.map(|it| (it * NORMAL_RATIO).max(it + MIN_DIFFERENCE_MS));
    let took = sample.took.map(|it| it.saturating_sub(sample.path).as_secs_f64() * 1000.0);
    let slow = took.zip(bound).is_some_and(|(took, bound)| took > bound);
    !sample.failed && !slow
}

/// Compares a server with the best of the others that have recent measurements.
fn compare(
    now: Duration,
    servers: &IndexMap<id::Server, Track>,
    server: &id::Server,
) -> Option<Comparison> {
    let own = servers.get(server)?;
    let others = servers
        .iter()
        .filter(|(name, other)| *name != server && now.saturating_sub(other.updated) < MAX_AGE);
    let others: Vec<_> = others.map(|(_, other)| other).collect();
    let age = others.iter().map(|other| now.saturating_sub(other.updated)).min()?;
    let ratios = others.iter().filter_map(|other| own.ratio_to(other));
    let answered = others.iter().filter(|other| other.answers >= MIN_ANSWERS);
    let least = answered.map(|other| other.failures).reduce(f64::min);
    let excess = least.filter(|_| own.answers >= MIN_ANSWERS).map(|least| own.failures - least);
    Some(Comparison {
        ratio: ratios.reduce(f64::max).unwrap_or(1.0),
        excess: excess.unwrap_or(0.0),
        age,
    })
}

/// Which candidates a read may go to, by the share of each: all but the outliers, or now and then
/// one outlier only, so that it gets its share whatever its costs.
#[must_use]
pub fn admitted(shares: &[f64], random: u64) -> Vec<bool> {
    let count = f64::from(u32::try_from(shares.len().max(1)).unwrap_or(u32::MAX));
    let drawn = u32::try_from(random % u64::from(RANDOM_STEPS)).unwrap_or(0);
    let mut drawn = f64::from(drawn) / f64::from(RANDOM_STEPS);
    for (index, share) in shares.iter().enumerate().filter(|(_, share)| **share < 1.0) {
        if drawn < share / count {
            return (0..shares.len()).map(|other| other == index).collect();
        }
        drawn -= share / count;
    }
    shares.iter().map(|share| *share >= 1.0).collect()
}
