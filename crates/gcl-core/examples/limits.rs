//! Measures the rate limits of a fleet of eight daemons: the ratio of granted to entitled requests,
//! and wrongful refusals, compared with a static split and a central counter.
//!
//! `cargo run --release -p gcl-core --example limits`

#[path = "../tests/core/fixture.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod fixture;
#[path = "../tests/core/limit/fleet.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod fleet;
#[path = "../tests/core/platform.rs"]
mod platform;

use fleet::{Fleet, Global};
use gcl_core::random::Random;
use std::{ops::Range, time::Duration};

/// Failure domains and regions of the daemons.
const LOCATIONS: [(&str, &str); 8] = [
    ("almaty-a", "almaty"),
    ("almaty-b", "almaty"),
    ("astana-a", "astana"),
    ("almaty-a", "almaty"),
    ("almaty-b", "almaty"),
    ("astana-a", "astana"),
    ("almaty-a", "almaty"),
    ("almaty-b", "almaty"),
];
/// Workspaces with rate and burst.
const WORKSPACES: [(&str, u32, u32); 3] =
    [("large", 2_000, 2_000), ("middle", 200, 200), ("small", 20, 20)];
/// Simulated time of a run.
const RUN_TIME: Duration = Duration::from_mins(1);
/// Time when the fault begins.
const FAULT_AT: Duration = Duration::from_secs(20);
/// Seeds of the runs that one figure summarizes.
const SEEDS: Range<u64> = 40..50;
/// Demand of a calm workspace relative to its rate.
const CALM_LOAD: f64 = 0.7;
/// Demand of a noisy workspace relative to its rate.
const NOISY_LOAD: f64 = 5.0;
/// One-way latency to a central counter in another region.
const CENTRAL_LATENCY: Duration = Duration::from_millis(8);

/// A load with a fault.
struct Case {
    name: &'static str,
    weights: [u64; 8],
    noisy: bool,
    fault: fn(&mut Fleet),
    store_outage: bool,
    lost_daemon: Option<usize>,
}

const fn no_fault(_fleet: &mut Fleet) {}

const fn outage(fleet: &mut Fleet) {
    fleet.faults.outage = true;
}

fn kill_daemon(fleet: &mut Fleet) {
    fleet.kill(3);
}

fn cases() -> Vec<Case> {
    let even = [1; 8];
    let skewed = [40, 20, 10, 5, 4, 3, 2, 1];
    let (fault, lost_daemon) = (no_fault as fn(&mut Fleet), None);
    let calm = Case {
        name: "calm, even",
        weights: even,
        noisy: false,
        fault,
        store_outage: false,
        lost_daemon,
    };
    vec![
        Case { name: "calm, skewed", weights: skewed, ..calm },
        Case { name: "one workspace at 5x", weights: skewed, noisy: true, ..calm },
        Case { name: "store outage", weights: skewed, fault: outage, store_outage: true, ..calm },
        Case {
            name: "a daemon lost",
            weights: skewed,
            fault: kill_daemon,
            lost_daemon: Some(3),
            ..calm
        },
        calm,
    ]
}

fn demand(case: &Case, workspace: &str, rate: u32) -> f64 {
    let load = if case.noisy && workspace == "middle" { NOISY_LOAD } else { CALM_LOAD };
    f64::from(rate) * load
}

fn main() {
    println!("situation | workspace | limiter | granted/entitled | wrongful | peak over burst");
    println!("--- | --- | --- | --- | --- | ---");
    for case in cases() {
        measure_fleet(&case);
        for (workspace, rate, burst) in WORKSPACES {
            measure_static_split(&case, workspace, rate, burst);
            measure_central_counter(&case, workspace, rate, burst);
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn report(case: &Case, workspace: &str, limiter: &str, counts: [u64; 4], over: f64) {
    let [requested, granted, entitled, wrongful] = counts;
    let share = granted as f64 / entitled as f64;
    let wrongful_percent = 100.0 * wrongful as f64 / requested as f64;
    println!(
        "{} | {workspace} | {limiter} | {share:.4} | {wrongful_percent:.3} % | {over:.2}",
        case.name
    );
}

fn measure_fleet(case: &Case) {
    let mut counts = [[0; 4]; WORKSPACES.len()];
    let mut lowest = [f64::MAX; WORKSPACES.len()];
    let (mut writes, mut reads, mut messages) = (0, 0, 0);
    for seed in SEEDS {
        let fleet = run(case, seed);
        for (number, tally) in fleet.tallies.values().enumerate() {
            let values = [tally.requested, tally.granted, tally.entitled, tally.wrongful];
            counts[number].iter_mut().zip(values).for_each(|(sum, value)| *sum += value);
            lowest[number] = lowest[number].min(tally.lowest);
        }
        writes += fleet.platform.writes;
        reads += fleet.platform.reads;
        messages += fleet.messages;
    }
    for (number, (workspace, ..)) in WORKSPACES.iter().enumerate() {
        report(case, workspace, "borrowing seats", counts[number], (-lowest[number]).max(0.0));
    }
    let runs = SEEDS.end - SEEDS.start;
    let (writes, reads) = (writes / runs, reads / runs);
    let messages = messages / runs / RUN_TIME.as_secs() / LOCATIONS.len() as u64;
    let name = case.name;
    println!(
        "{name} | all | calls | {writes} writes, {reads} reads | {messages} messages/s a daemon |"
    );
}

fn run(case: &Case, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(&LOCATIONS, &WORKSPACES, seed);
    for (workspace, rate, _) in WORKSPACES {
        fleet.traffic(workspace, demand(case, workspace, rate), &case.weights, RUN_TIME.as_secs());
    }
    fleet.run_until(FAULT_AT);
    (case.fault)(&mut fleet);
    fleet.run_until(RUN_TIME + Duration::from_secs(2));
    fleet
}

/// The arrivals of a workspace's requests, as time and daemon.
fn arrivals(case: &Case, workspace: &str, rate: u32) -> Vec<(Duration, usize)> {
    let mut random = Random::new(43);
    let (mut at, mut list) = (Duration::ZERO, Vec::new());
    let total: u64 = case.weights.iter().sum();
    while at < RUN_TIME {
        #[expect(clippy::cast_precision_loss, reason = "a fraction of 53 bits")]
        let uniform = (random.next() >> 11) as f64 / (1_u64 << 53) as f64;
        at += Duration::from_secs_f64(-(1.0 - uniform).ln() / demand(case, workspace, rate));
        let mut draw = random.below(total);
        let node = case.weights.iter().position(|weight| {
            let here = draw < *weight;
            draw = draw.saturating_sub(*weight);
            here
        });
        let node = node.unwrap_or(0);
        let unavailable = case.lost_daemon == Some(node) && at >= FAULT_AT;
        list.push((at, if unavailable { node + 1 } else { node }));
    }
    list
}

/// Replays arrivals against a limiter, whose decisions `take` returns.
fn replay(
    case: &Case,
    (workspace, rate, burst): (&str, u32, u32),
    limiter: &str,
    mut take: impl FnMut(Duration, usize) -> bool,
) {
    let (mut ideal, mut oracle) = (Global::new(rate, burst), Global::new(rate, burst));
    let (mut counts, mut lowest) = ([0; 4], f64::MAX);
    for (at, node) in arrivals(case, workspace, rate) {
        counts[0] += 1;
        counts[2] += u64::from(ideal.take(at));
        let level = oracle.refill(at);
        if take(at, node) {
            counts[1] += 1;
            oracle.level -= 1.0;
            lowest = lowest.min(oracle.level);
        } else {
            counts[3] += u64::from(level >= 1.0);
        }
    }
    report(case, workspace, limiter, counts, (-lowest).max(0.0));
}

/// Measures a limiter in which each daemon has a fixed eighth of the rate and of the burst.
fn measure_static_split(case: &Case, workspace: &str, rate: u32, burst: u32) {
    let daemons = 8.0;
    let bucket = Global {
        rate: f64::from(rate) / daemons,
        burst: f64::from(burst) / daemons,
        level: f64::from(burst) / daemons,
        updated_at: Duration::ZERO,
    };
    let mut buckets = vec![bucket; LOCATIONS.len()];
    replay(case, (workspace, rate, burst), "static split", |at, node| buckets[node].take(at));
}

/// Measures a limiter in which every request is decided by one counter in the store. It refuses all
/// requests while the store is down.
fn measure_central_counter(case: &Case, workspace: &str, rate: u32, burst: u32) {
    let mut bucket = Global::new(rate, burst);
    replay(case, (workspace, rate, burst), "central counter", |at, _| {
        let down = case.store_outage && at >= FAULT_AT;
        !down && bucket.take(at + CENTRAL_LATENCY)
    });
}
