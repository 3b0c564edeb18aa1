//! The schedule of faults, generated from a seed. Faults may overlap.

use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{ops::Range, time::Duration};

/// Time between the starts of two faults in milliseconds.
const GAP_MS: Range<u64> = 50..900;
/// Duration of a fault in milliseconds; the longest outlast a lease.
const LENGTH_MS: Range<u64> = 100..3_000;
/// Duration of one fault in eight in milliseconds.
const LONG_MS: Range<u64> = 3_000..9_000;
/// Minimum duration of an isolation, so that another server is promoted in its first half.
const MIN_ISOLATION: Duration = Duration::from_secs(4);
/// Time between two restores of the store, during which all keys are rewritten.
const RESTORE_PAUSE: Duration = Duration::from_millis(2_500);
/// Duration of an evacuation in milliseconds; the shortest end while primaries are moved.
const EVACUATION_MS: Range<u64> = 300..12_000;
/// Delay of a slow connection in milliseconds.
const DELAY_MS: Range<u64> = 5..150;

/// The connections that pass through one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// From callers to a daemon.
    Callers(usize),
    /// From a daemon to the platform.
    Platform(usize),
    /// From all daemons to a server.
    Server(usize),
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Connections are delayed.
    Delay(Link, Duration),
    /// Open connections are reset.
    Reset(Link),
    /// No data passes from the connecting side.
    BlockForward(Link),
    /// No data passes to the connecting side.
    BlockBackward(Link),
    /// No data passes in either direction.
    BlockBoth(Link),
    /// A daemon's process is suspended.
    Pause(usize),
    /// A daemon's process is killed and restarted.
    Kill(usize),
    /// A daemon is stopped gracefully, and restarted once it has exited.
    Stop(usize),
    /// A daemon reloads its settings.
    Reload(usize),
    /// The platform's store rejects all requests.
    StoreOutage,
    /// The platform's store is restored from a snapshot as old as the duration of the fault.
    StoreRestore,
    /// A server crashes.
    Crash(usize),
    /// The primary is isolated from the other servers and the platform, and for the first half of
    /// the duration also from the daemons. It continues to act as primary.
    Isolate,
    /// The failure domain of a server is evacuated.
    Evacuate(usize),
    /// Commits become visible on a server with a delay while it is a replica.
    Lag(usize, Duration),
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Its start, relative to the start of the soak test.
    pub at: Duration,
    /// Its duration.
    pub length: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// Dimensions of a soak test.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Daemons.
    pub daemons: usize,
    /// Servers.
    pub servers: usize,
    /// Faults.
    pub faults: usize,
    /// Restores of the store from a snapshot, in addition to the faults.
    pub restores: usize,
    /// Evacuations of a server's failure domain, in addition to the faults.
    pub evacuations: usize,
}

/// Generates the faults of a seed.
///
/// At most one server is crashed or isolated at a time, as the group tolerates no more.
#[must_use]
pub fn generate(seed: u64, size: Size) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut at, mut servers_up_at) = (Duration::ZERO, Duration::ZERO);
    let mut steps = Vec::new();
    while steps.len() < size.faults {
        at += Duration::from_millis(random.random_range(GAP_MS));
        let long = random.random_ratio(1, 8);
        let length = random.random_range(if long { LONG_MS } else { LENGTH_MS });
        let fault = random_fault(&mut random, size);
        let extra = if fault == Fault::Isolate { MIN_ISOLATION } else { Duration::ZERO };
        let length = Duration::from_millis(length) + extra;
        if matches!(fault, Fault::Crash(_) | Fault::Isolate) {
            if at < servers_up_at {
                continue;
            }
            servers_up_at = at + length + Duration::from_secs(1);
        }
        steps.push(Step { at, length, fault });
    }
    add_restores(&mut steps, seed, size, at);
    add_evacuations(&mut steps, seed, size, at);
    steps
}

/// Adds restores of the store at random times that do not overlap. They use a random generator of
/// their own, so that they do not change the other faults of a seed.
fn add_restores(steps: &mut Vec<Step>, seed: u64, size: Size, end: Duration) {
    let mut random = StdRng::seed_from_u64(!seed);
    let mut earliest = Duration::ZERO;
    for _ in 0..size.restores {
        let at = earliest + end.mul_f64(random.random_range(0.0..1.0) / to_f64(size.restores));
        let length = Duration::from_millis(random.random_range(LENGTH_MS));
        steps.push(Step { at, length, fault: Fault::StoreRestore });
        earliest = at + length + RESTORE_PAUSE;
    }
    steps.sort_by_key(|step| step.at);
}

/// Adds evacuations at random times, one after another. They use a random generator of their own,
/// so that they do not change the other faults of a seed.
fn add_evacuations(steps: &mut Vec<Step>, seed: u64, size: Size, end: Duration) {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32) ^ !seed);
    let mut earliest = Duration::ZERO;
    for _ in 0..size.evacuations {
        let span = end.mul_f64(1.0 / to_f64(size.evacuations));
        let at = earliest + span.mul_f64(random.random_range(0.0..1.0));
        let length = Duration::from_millis(random.random_range(EVACUATION_MS));
        let fault = Fault::Evacuate(random.random_range(0..size.servers));
        steps.push(Step { at, length, fault });
        earliest = at + length;
    }
    steps.sort_by_key(|step| step.at);
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

fn random_fault(random: &mut StdRng, size: Size) -> Fault {
    let daemon = random.random_range(0..size.daemons);
    let server = random.random_range(0..size.servers);
    let link = match random.random_range(0..3) {
        0 => Link::Callers(daemon),
        1 => Link::Platform(daemon),
        _ => Link::Server(server),
    };
    let delay = Duration::from_millis(random.random_range(DELAY_MS));
    match random.random_range(0..14) {
        0 => Fault::Delay(link, delay),
        1 => Fault::Reset(link),
        2 => Fault::BlockForward(link),
        3 => Fault::BlockBackward(link),
        4 => Fault::BlockBoth(link),
        5 | 6 => Fault::Pause(daemon),
        7 => Fault::Kill(daemon),
        8 => Fault::Stop(daemon),
        9 => Fault::Reload(daemon),
        10 => Fault::StoreOutage,
        11 => Fault::Crash(server),
        12 => Fault::Isolate,
        _ => Fault::Lag(server, delay * 4),
    }
}
