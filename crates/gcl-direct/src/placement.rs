//! Choice of a server for a statement that starts an operation.
//!
//! Servers have few slots, and reads that replicas can serve must not crowd out statements that
//! only the primary can run. The server with the lowest expected time is chosen: from the recent
//! latency of its statements, this daemon's load there, its distance, and the cost of a new
//! connection if none is idle. A penalty keeps such reads off the primary unless all replicas are
//! overloaded.
//!
//! Among servers with similar costs at the same distance a random number decides, because other
//! daemons choose at the same moment and would all take the first one.

use gcl_core::id;
use std::time::Duration;

/// Time to open a connection, without the network latency.
const HANDSHAKE: Duration = Duration::from_millis(15);
/// Penalty of reads on the primary: what its slots are worth to statements that only it can run.
pub const PRIMARY_PENALTY: Duration = Duration::from_millis(120);
/// Penalty of a cold server: it is slow, and few statements a second may go there.
const COLD_PENALTY: Duration = Duration::from_millis(250);
/// Cost of traffic between failure domains, expressed as time for an answer of usual size; indexed
/// by [`Candidate::distance`].
const DISTANCE_PENALTY: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(2), Duration::from_millis(20)];

/// Excess over the lowest cost, in percent, up to which a server at the same distance counts as
/// equally good. Less than one more statement there costs.
const SIMILAR_PERCENT: u32 = 25;

/// Age at which a measured latency no longer counts. Without it a server that was slow once gets no
/// read that would show that it has recovered.
const MAX_LATENCY_AGE: Duration = Duration::from_secs(10);
/// Least and greatest weight of a new measurement in the average. A single one never replaces the
/// average, since queues are judged by it.
const NEW_WEIGHT: [f64; 2] = [0.125, 0.5];

/// Way to a server in another region and back.
pub const REMOTE_PATH: Duration = Duration::from_millis(16);

/// Which servers can run a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Only the primary.
    Primary,
    /// Any server whose data is recent enough.
    Recent,
}

/// A server that may run a statement, with this daemon's measurements of it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the server.
    pub server: &'a id::Server,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Its distance; see [`crate::settings::Settings::distance`].
    pub distance: u8,
    /// This daemon's statements that run or wait there.
    pub load: usize,
    /// Maximum number of statements that it runs concurrently.
    pub slots: usize,
    /// Whether it has an idle connection for the workspace.
    pub warm: bool,
    /// Whether it is cold and limits the requests that it gets.
    pub is_cold: bool,
    /// Moving average of its statements' latency.
    pub latency: Duration,
    /// Time since it was last measured.
    pub age: Duration,
}

impl Candidate<'_> {
    /// The part of the latency that is the way to the server and back.
    const fn path(&self) -> Duration {
        if self.distance > 1 { REMOTE_PATH } else { Duration::ZERO }
    }

    /// The expected time of a read, including penalties. The load counts in relation to the slots:
    /// `mean_slots` is the mean of all candidates.
    #[must_use]
    pub fn cost(&self, mean_slots: f64) -> Duration {
        let load = f64::from(u32::try_from(self.load).unwrap_or(u32::MAX));
        let statements = load.mul_add(mean_slots / ratio_slots(self.slots), 1.0);
        let distance = DISTANCE_PENALTY[usize::from(self.distance).min(2)];
        let handshake = if self.warm { Duration::ZERO } else { HANDSHAKE };
        let cold = if self.is_cold { COLD_PENALTY } else { Duration::ZERO };
        let primary = if self.is_primary { PRIMARY_PENALTY } else { Duration::ZERO };
        self.latency.mul_f64(statements) + distance + handshake + primary + cold
    }
}

/// Slots as a number for ratios; an entry may state any number.
fn ratio_slots(slots: usize) -> f64 {
    f64::from(u32::try_from(slots.max(1)).unwrap_or(u32::MAX))
}

/// The mean number of slots of some servers.
fn mean_slots(candidates: &[Candidate<'_>]) -> f64 {
    let slots: f64 = candidates.iter().map(|candidate| ratio_slots(candidate.slots)).sum();
    slots / ratio_slots(candidates.len())
}

/// Confidence in a latency, from one to zero, by its age.
fn confidence(age: Duration) -> f64 {
    (1.0 - age.as_secs_f64() / MAX_LATENCY_AGE.as_secs_f64()).max(0.0)
}

/// The moving average of a latency after a new measurement, which counts more the older the last
/// one is.
#[must_use]
pub fn updated_latency(average: Duration, age: Duration, measured: Duration) -> Duration {
    let [least, greatest] = NEW_WEIGHT;
    let weight = (1.0 - confidence(age)).clamp(least, greatest);
    average.mul_f64(1.0 - weight) + measured.mul_f64(weight)
}

/// Candidates whose latencies approach the lowest one as they age.
fn discounted<'a>(candidates: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let local = |it: &Candidate<'a>| it.latency.saturating_sub(it.path());
    let lowest = candidates.iter().map(local).min().unwrap_or_default();
    let discount = |it: &Candidate<'a>| {
        let floor = it.latency.min(lowest + it.path());
        let latency = floor + it.latency.saturating_sub(floor).mul_f64(confidence(it.age));
        Candidate { latency, ..*it }
    };
    candidates.iter().map(discount).collect()
}

/// Chooses a server: the primary if that is needed, otherwise one with the lowest cost, by a random
/// number among similar ones.
#[must_use]
pub fn choose<'a>(need: Need, candidates: &[Candidate<'a>], random: u64) -> Option<&'a id::Server> {
    if need == Need::Primary {
        return candidates.iter().find(|it| it.is_primary).map(|it| it.server);
    }
    let candidates = discounted(candidates);
    let slots = mean_slots(&candidates);
    let best = candidates.iter().min_by_key(|candidate| candidate.cost(slots))?;
    let bound = best.cost(slots) * (100 + SIMILAR_PERCENT) / 100;
    let kind = |it: &Candidate<'_>| (it.distance, it.is_primary, it.is_cold, it.warm);
    let similar = candidates.iter().filter(|it| kind(it) == kind(best) && it.cost(slots) <= bound);
    let similar: Vec<_> = similar.map(|candidate| candidate.server).collect();
    let index = random % u64::try_from(similar.len().max(1)).unwrap_or(1);
    similar.get(usize::try_from(index).unwrap_or(0)).copied()
}
