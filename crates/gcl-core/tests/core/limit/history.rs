//! Generated histories of faults: a fleet never exceeds a workspace's rate and burst, and grants
//! close to what is due when there are no faults.

use super::fleet::{Faults, Fleet};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::time::Duration;
use test_case::test_case;

const LOCATIONS: [(&str, &str); 8] = [
    ("a", "north"),
    ("b", "north"),
    ("c", "south"),
    ("a", "north"),
    ("b", "north"),
    ("c", "south"),
    ("a", "north"),
    ("b", "north"),
];
/// Tolerance for the rounding of the oracle's floating-point numbers.
const ROUNDING: f64 = 1e-6;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Checks that the fleet has not granted, and could not grant now, more than the global bucket
/// allows.
fn check(fleet: &mut Fleet) -> Result<(), TestCaseError> {
    let now = fleet.now;
    for workspace in fleet.tallies.keys().cloned().collect::<Vec<_>>() {
        let spendable = fleet.spendable(&workspace);
        let tally = &mut fleet.tallies[&workspace];
        prop_assert!(
            tally.lowest >= -ROUNDING,
            "{workspace} exceeded its burst by {}",
            -tally.lowest
        );
        let level = tally.oracle.refill(now);
        #[expect(clippy::cast_precision_loss, reason = "bursts are small")]
        let excess = spendable as f64 - level;
        prop_assert!(
            excess <= ROUNDING,
            "{workspace} could exceed its burst by {excess} at {now:?}"
        );
    }
    Ok(())
}

/// Runs until `end`, with a check after each step.
fn run_checked(fleet: &mut Fleet, end: Duration) -> Result<(), TestCaseError> {
    while fleet.now < end {
        let step = (fleet.now + ms(250)).min(end);
        fleet.run_until(step);
        check(fleet)?;
    }
    Ok(())
}

/// A fault, or a restart or drain of a daemon.
#[derive(Clone, Debug)]
enum Fault {
    Network { loss: u64, repeat: u64, delay: u64 },
    LostAnswers(u64),
    Outage(bool),
    Pause { node: usize, ms: u64, frozen: bool },
    Kill(usize),
    Restart(usize),
    Drain(usize),
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..LOCATIONS.len();
    prop_oneof![
        (0_u64..300, 0_u64..300, 0_u64..300).prop_map(|(loss, repeat, delay)| Fault::Network {
            loss,
            repeat,
            delay
        }),
        (0_u64..500).prop_map(Fault::LostAnswers),
        any::<bool>().prop_map(Fault::Outage),
        (node.clone(), 50_u64..20_000, any::<bool>()).prop_map(|(node, ms, frozen)| Fault::Pause {
            node,
            ms,
            frozen
        }),
        node.clone().prop_map(Fault::Kill),
        node.clone().prop_map(Fault::Restart),
        node.prop_map(Fault::Drain),
    ]
}

fn apply(fleet: &mut Fleet, fault: &Fault) {
    match *fault {
        Fault::Network { loss, repeat, delay } => {
            fleet.faults = Faults { loss, repeat, delay, ..fleet.faults };
        }
        Fault::LostAnswers(lost_answers) => fleet.faults.lost_answers = lost_answers,
        Fault::Outage(outage) => fleet.faults.outage = outage,
        Fault::Pause { node, ms: time, frozen } => fleet.pause(node, ms(time), frozen),
        Fault::Kill(node) => fleet.kill(node),
        Fault::Restart(node) => fleet.restart(node),
        Fault::Drain(node) => fleet.drain(node),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 40,
        rng_seed: RngSeed::Fixed(0x11417),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn never_above_rate_and_burst(
        seed in any::<u64>(),
        rate in 20_u32..120,
        burst in 1_u32..150,
        load in 0.1_f64..2.0,
        spikes in prop::collection::vec((0_u64..30_000, 1_u64..4), 0..8),
        weights in prop::collection::vec(1_u64..50, LOCATIONS.len()),
        faults in prop::collection::vec((0_u64..3_000, fault()), 0..12),
    ) {
        let mut fleet = Fleet::new(&LOCATIONS, &[("ws", rate, burst)], seed);
        fleet.traffic("ws", f64::from(rate) * load, &weights, 20);
        for (at, times) in &spikes {
            fleet.spike(ms(*at), "ws", u64::from(burst) * times, &weights);
        }
        for (wait, fault) in &faults {
            let at = fleet.now + ms(*wait);
            run_checked(&mut fleet, at)?;
            apply(&mut fleet, fault);
        }
        run_checked(&mut fleet, Duration::from_secs(40))?;
    }
}

/// Runs a fleet with `inject` applied after 8 s. Returns the ratio of granted requests to those that
/// one global bucket would have granted, and the ratio of wrongful refusals to all requests.
fn measure(load: f64, weights: &[u64], inject: impl Fn(&mut Fleet)) -> (f64, f64) {
    let mut fleet = Fleet::new(&LOCATIONS, &[("ws", 200, 200)], 11);
    fleet.traffic("ws", 200.0 * load, weights, 30);
    fleet.run_until(Duration::from_secs(8));
    inject(&mut fleet);
    fleet.run_until(Duration::from_secs(32));
    let tally = &fleet.tallies["ws"];
    assert!(tally.lowest >= -ROUNDING, "exceeded the burst by {}", -tally.lowest);
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    let ratio = |part: u64, whole: u64| part as f64 / whole as f64;
    (ratio(tally.granted, tally.entitled), ratio(tally.wrongful, tally.requested))
}

#[test_case(&[1, 1, 1, 1, 1, 1, 1, 1]; "even")]
#[test_case(&[40, 1, 1, 1, 1, 1, 1, 1]; "one busy daemon")]
#[test_case(&[0, 0, 9, 0, 0, 1, 0, 0]; "one busy region")]
fn traffic_within_the_rate_is_hardly_refused(weights: &[u64]) {
    let (granted, wrongful) = measure(0.7, weights, |_| {});
    assert!(granted >= 0.97, "only {granted} of the requests due were granted");
    assert!(wrongful < 0.005, "{wrongful} of the requests were refused wrongly");
}

#[test]
fn a_store_outage_costs_a_small_part_of_the_rate() {
    let (granted, wrongful) = measure(0.7, &[8, 4, 2, 1, 1, 1, 1, 1], |fleet| {
        fleet.faults.outage = true;
    });
    assert!(granted >= 0.95, "only {granted} of the requests due were granted");
    assert!(wrongful < 0.05, "{wrongful} of the requests were refused wrongly");
}

#[test]
fn a_raise_is_delayed_and_a_lowering_is_not() {
    let all: Vec<_> = (0..LOCATIONS.len()).collect();
    let mut fleet = Fleet::new(&LOCATIONS, &[("ws", 100, 20)], 3);
    fleet.traffic("ws", 400.0, &[1; 8], 30);
    fleet.run_until(ms(5_000));
    fleet.change("ws", 40, 8, &all);
    fleet.tallies["ws"].oracle.change(ms(5_000), 40, 20);
    fleet.run_until(ms(10_000));
    fleet.change("ws", 100, 20, &all);
    let before = fleet.tallies["ws"].granted;
    fleet.run_until(ms(14_000));
    let at_old_rate = fleet.tallies["ws"].granted - before;
    assert!(
        at_old_rate <= 4 * 40 + 20,
        "{at_old_rate} requests granted before all daemons have the raised rate"
    );
    fleet.run_until(ms(15_000));
    fleet.tallies["ws"].oracle.change(ms(15_000), 100, 20);
    fleet.run_until(ms(30_000));
    assert!(fleet.tallies["ws"].lowest >= -ROUNDING);
}

/// The other daemons claim the reserves of a daemon ten minutes after it left the fleet.
#[test]
fn seats_of_a_departed_daemon_are_claimed_by_others() {
    let mut fleet = Fleet::new(&LOCATIONS[..3], &[("ws", 30, 30)], 5);
    fleet.traffic("ws", 50.0, &[1, 1, 1], 900);
    fleet.run_until(Duration::from_secs(20));
    fleet.kill(2);
    for node in 0..2 {
        fleet.nodes[node].state.member.members.swap_remove("d2");
    }
    let granted = |fleet: &Fleet| fleet.tallies["ws"].granted;
    fleet.run_until(Duration::from_mins(5));
    let before = granted(&fleet);
    fleet.run_until(Duration::from_mins(6));
    let without = granted(&fleet) - before;
    fleet.run_until(Duration::from_mins(14));
    let before = granted(&fleet);
    fleet.run_until(Duration::from_mins(15));
    let after = granted(&fleet) - before;
    assert!(
        without < 60 * 27,
        "{without} requests granted while the reserves have no usable holder"
    );
    assert!(after > 60 * 29, "{after} requests granted after the reserves were claimed");
    assert!(fleet.tallies["ws"].lowest >= -ROUNDING);
}
