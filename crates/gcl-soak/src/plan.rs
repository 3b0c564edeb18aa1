//! Which faults come when: drawn from a seed, in series and overlapping.

use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{ops::Range, time::Duration};

/// Time between the beginnings of two faults in milliseconds.
const GAP_MS: Range<u64> = 50..900;
/// How long a fault lasts in milliseconds; the longest outlast a lease.
const LENGTH_MS: Range<u64> = 100..3_000;
/// How long one fault in eight lasts in milliseconds.
const LONG_MS: Range<u64> = 3_000..9_000;
/// What an isolation lasts at least, so that another server takes over in its first half.
const ISOLATED: Duration = Duration::from_secs(4);
/// Time between two returns of the store, in which everything is written again.
const RETURN_PAUSE: Duration = Duration::from_millis(2_500);
/// Delay of a slow connection in milliseconds.
const DELAY_MS: Range<u64> = 5..150;

/// Connections that a proxy carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// From callers to a daemon.
    Callers(usize),
    /// From a daemon to the platform.
    Platform(usize),
    /// From all daemons to a server.
    Server(usize),
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Connections are slow.
    Delay(Path, Duration),
    /// Open connections are reset.
    Reset(Path),
    /// Nothing passes from those who connect.
    CutForward(Path),
    /// Nothing passes to those who connect.
    CutBackward(Path),
    /// Nothing passes either way.
    Silence(Path),
    /// A daemon's process stands still.
    Pause(usize),
    /// A daemon's process is killed, and started again at the end.
    Kill(usize),
    /// A daemon is told to stop, and started again once it has.
    Stop(usize),
    /// A daemon is told to read its settings again.
    Reload(usize),
    /// The platform's store answers nobody.
    StoreAway,
    /// The platform's store comes back from a copy, as old as the fault lasts.
    StoreReturns,
    /// A server crashes.
    Crash(usize),
    /// The primary is separated from the other servers and the platform, and for the first half of
    /// the time from the daemons too; it goes on as if it led.
    Isolate,
    /// A server shows commits late while it is a replica.
    Lag(usize, Duration),
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins, from the start of the soak.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What goes wrong.
    pub fault: Fault,
}

/// Sizes of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Daemons.
    pub daemons: usize,
    /// Servers.
    pub servers: usize,
    /// Faults.
    pub faults: usize,
    /// Times that the store comes back from a copy, beside the faults.
    pub returns: usize,
}

/// Draws the faults of a seed.
///
/// At most one server is crashed or isolated at a time, as the group promises nothing beyond that.
#[must_use]
pub fn draw(seed: u64, size: Size) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut at, mut server_well) = (Duration::ZERO, Duration::ZERO);
    let mut steps = Vec::new();
    while steps.len() < size.faults {
        at += Duration::from_millis(random.random_range(GAP_MS));
        let long = random.random_ratio(1, 8);
        let length = random.random_range(if long { LONG_MS } else { LENGTH_MS });
        let fault = fault(&mut random, size);
        let more = if fault == Fault::Isolate { ISOLATED } else { Duration::ZERO };
        let length = Duration::from_millis(length) + more;
        if matches!(fault, Fault::Crash(_) | Fault::Isolate) {
            if at < server_well {
                continue;
            }
            server_well = at + length + Duration::from_secs(1);
        }
        steps.push(Step { at, length, fault });
    }
    returns(&mut steps, seed, size, at);
    steps
}

/// Adds returns of the store at any moment of the soak, one after the other. They are drawn apart, so
/// that the other faults of a seed stay as they were before there were any.
fn returns(steps: &mut Vec<Step>, seed: u64, size: Size, end: Duration) {
    let mut random = StdRng::seed_from_u64(!seed);
    let mut after = Duration::ZERO;
    for _ in 0..size.returns {
        let at = after + end.mul_f64(random.random_range(0.0..1.0) / count(size.returns));
        let length = Duration::from_millis(random.random_range(LENGTH_MS));
        steps.push(Step { at, length, fault: Fault::StoreReturns });
        after = at + length + RETURN_PAUSE;
    }
    steps.sort_by_key(|step| step.at);
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

fn fault(random: &mut StdRng, size: Size) -> Fault {
    let daemon = random.random_range(0..size.daemons);
    let server = random.random_range(0..size.servers);
    let path = match random.random_range(0..3) {
        0 => Path::Callers(daemon),
        1 => Path::Platform(daemon),
        _ => Path::Server(server),
    };
    let delay = Duration::from_millis(random.random_range(DELAY_MS));
    match random.random_range(0..14) {
        0 => Fault::Delay(path, delay),
        1 => Fault::Reset(path),
        2 => Fault::CutForward(path),
        3 => Fault::CutBackward(path),
        4 => Fault::Silence(path),
        5 | 6 => Fault::Pause(daemon),
        7 => Fault::Kill(daemon),
        8 => Fault::Stop(daemon),
        9 => Fault::Reload(daemon),
        10 => Fault::StoreAway,
        11 => Fault::Crash(server),
        12 => Fault::Isolate,
        _ => Fault::Lag(server, delay * 4),
    }
}
