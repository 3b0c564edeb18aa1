//! Measures failover in simulated time.
//!
//! `failover histories N` runs N generated histories of faults over three homes and prints how many
//! violated a guarantee. `failover gap N` prints the time without acknowledged writes after a
//! primary was killed, isolated, frozen or moved, compared with a baseline that promotes after a
//! fixed timeout without fencing.

#[path = "../tests/core/group/server.rs"]
mod server;
#[path = "../tests/core/group/world.rs"]
mod world;

use gcl_core::{random::Random, server::Ask};
use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
};
use world::{Fault, World};

/// Threads that run histories in parallel.
const THREADS: u64 = 4;
/// Time until a new group accepts writes, in milliseconds.
const STARTUP_MS: u64 = 3_000;
/// The baseline's timeout, in milliseconds.
const BASELINE_TIMEOUT_MS: u64 = 2_000;
/// The baseline's time between health checks, in milliseconds.
const BASELINE_POLL_INTERVAL_MS: u64 = 500;
/// The baseline's time between writes, in milliseconds.
const BASELINE_WRITE_INTERVAL_MS: u64 = 6;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mode = arguments.next().unwrap_or_default();
    let count = arguments.next().and_then(|count| count.parse().ok()).unwrap_or(1_000);
    match mode.as_str() {
        "histories" => run_histories(count),
        "gap" => measure_gaps(count),
        "one" => {
            println!("{:?}", run_history(count).violations);
        }
        _ => println!("usage: failover histories|gap N"),
    }
}

fn run_histories(count: u64) {
    let next = AtomicU64::new(0);
    let (unsafe_count, writes) = (AtomicU64::new(0), AtomicU64::new(0));
    let (served, refused) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= count {
                        return;
                    }
                    let world = run_history(seed);
                    let acknowledged = u64::try_from(world.acknowledged.len()).unwrap_or(0);
                    writes.fetch_add(acknowledged, Ordering::Relaxed);
                    served.fetch_add(world.reads.0, Ordering::Relaxed);
                    refused.fetch_add(world.reads.1, Ordering::Relaxed);
                    if !world.violations.is_empty() {
                        unsafe_count.fetch_add(1, Ordering::Relaxed);
                        println!("seed {seed}: {}", world.violations[0]);
                    }
                }
            });
        }
    });
    println!(
        "histories {count}, unsafe {}, acknowledged writes {}, replica reads {} served {} refused",
        unsafe_count.into_inner(),
        writes.into_inner(),
        served.into_inner(),
        refused.into_inner()
    );
}

fn run_history(seed: u64) -> World {
    let mut random = Random::new(seed ^ 0x5eed);
    let mut world = World::new(seed);
    for _ in 0..=random.below(8) {
        let at = 1_000 + random.below(3_000);
        let fault = random_fault(&mut random);
        world.schedule_fault(at, fault);
    }
    world.run(5_000);
    world.heal_and_check();
    world
}

fn random_fault(random: &mut Random) -> Fault {
    let mut below = |bound: u64| usize::try_from(random.below(bound)).unwrap_or(0);
    let (target, from, to, kind) = (below(3), below(6), below(6), below(12));
    let ms = 50 + random.below(2_500);
    match kind {
        0 => Fault::Cut(from, to),
        1 => Fault::Isolate(target),
        2 => Fault::Heal,
        3 => Fault::KillServer(target),
        4 => Fault::StartServer(target),
        5 => Fault::FreezeServer(target, ms),
        6 => Fault::FreezeDaemon(target, ms),
        7 => Fault::KillDaemon(target),
        8 => Fault::StartDaemon(target),
        9 => Fault::Lag(target, ms / 3),
        10 => Fault::Switch(target),
        _ => Fault::Noise(ms % 20),
    }
}

fn measure_gaps(count: u64) {
    println!("case, p50 ms, p99 ms, most ms, runs, unsafe");
    for name in ["kill", "isolate", "freeze", "move"] {
        let mut gaps = Vec::new();
        let mut unsafe_runs = 0;
        for seed in 0..count {
            let (gap, safe) = measure_gap(name, seed);
            gaps.push(gap);
            unsafe_runs += u64::from(!safe);
        }
        print(name, &mut gaps, unsafe_runs);
    }
    for name in ["kill", "isolate"] {
        let mut gaps = Vec::new();
        let mut runs_with_loss = 0;
        for seed in 0..count {
            let (gap, missing) = run_baseline(name == "kill", seed);
            gaps.push(gap);
            runs_with_loss += u64::from(missing > 0);
        }
        print(&format!("baseline {name}"), &mut gaps, runs_with_loss);
    }
}

fn print(name: &str, gaps: &mut [u64], unsafe_runs: u64) {
    gaps.sort_unstable();
    let at = |share: usize| gaps[(gaps.len() * share / 100).min(gaps.len() - 1)] / 1000;
    println!("{name}, {}, {}, {}, {}, {unsafe_runs}", at(50), at(99), at(100), gaps.len());
}

fn measure_gap(name: &str, seed: u64) -> (u64, bool) {
    let mut world = World::new(seed);
    let extra = world.random.below(1_000);
    world.run(STARTUP_MS + extra);
    let Some(primary) = world.primary() else {
        return (u64::MAX, false);
    };
    let from = world.clock;
    let fault = match name {
        "kill" => Fault::KillServer(primary),
        "isolate" => Fault::Isolate(primary),
        "freeze" => Fault::FreezeServer(primary, 60_000),
        _ => Fault::Switch((primary + 1) % 3),
    };
    world.schedule_fault(0, fault);
    world.run(8_000);
    let gap = world.longest_gap(from);
    world.heal_and_check();
    (gap, world.violations.is_empty())
}

/// Simulates promotion after a fixed timeout, without fencing and without a majority. Returns the
/// gap in microseconds and the number of acknowledged writes that the new primary is missing.
fn run_baseline(killed: bool, seed: u64) -> (u64, usize) {
    let mut random = Random::new(seed);
    let mut old = server::Server::default();
    let mut replica = server::Server::default();
    let _ = (old.answer(&Ask::Fence(1)), old.answer(&Ask::Promote(1)));
    let follow = Ask::Follow {
        term: 1,
        server: "old".into(),
        address: "127.0.0.1:1".parse().expect("the address is well formed"),
    };
    let _ = replica.answer(&follow);
    let failed = 1_000 + random.below(1_000);
    let detected = failed + random.below(BASELINE_POLL_INTERVAL_MS);
    let promoted = detected + BASELINE_TIMEOUT_MS;
    let mut acknowledged = Vec::new();
    for ms in (0..promoted).step_by(usize::try_from(BASELINE_WRITE_INTERVAL_MS).unwrap_or(1)) {
        if ms < failed {
            replica.pull(&old.clone());
        }
        if ms < failed || !killed {
            acknowledged.push((old.write(ms + 1), ms + 1));
        }
    }
    let missing = acknowledged.iter().filter(|(mark, value)| !replica.sees(*mark, *value));
    let first = promoted + 16 + random.below(BASELINE_WRITE_INTERVAL_MS);
    ((first - failed) * 1000, missing.count())
}
