//! Tests of `gcl_core::group`: three homes with a group of fake servers, under faults.

mod history;
mod hold;
mod server;
mod world;

use self::world::{Fault, World};
use test_case::test_case;

/// Time in milliseconds until a new group has a primary and accepts writes.
const STARTUP_MS: u64 = 3_000;

#[test]
fn a_new_group_gets_one_primary_and_takes_writes() {
    let mut world = World::new(1);
    world.run(STARTUP_MS);
    world.heal_and_check();
    assert!(world.acknowledged.len() > 100, "{} writes", world.acknowledged.len());
    assert!(world.reads.0 > 100, "{:?} replica reads", world.reads);
    assert_eq!(world.violations, Vec::<String>::new());
}

fn fault(name: &str, primary: usize) -> Fault {
    match name {
        "kill" => Fault::KillServer(primary),
        "isolate" => Fault::Isolate(primary),
        "freeze" => Fault::FreezeServer(primary, 20_000),
        "move" => Fault::Switch((primary + 1) % 3),
        _ => Fault::Heal,
    }
}

#[test_case("kill", 2_000; "killed")]
#[test_case("isolate", 2_000; "isolated with its home")]
#[test_case("freeze", 2_000; "frozen")]
#[test_case("move", 200; "moved by an operator")]
fn writes_resume_within_the_bound(name: &str, bound_ms: u64) {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.run(STARTUP_MS + seed * 37);
        let primary = world.primary().expect("the group has a primary");
        let from = world.clock;
        world.schedule_fault(0, fault(name, primary));
        world.run(5_000);
        let gap = world.longest_gap(from) / 1000;
        assert!(gap <= bound_ms, "seed {seed}: no write for {gap} ms");
        assert_ne!(world.primary(), Some(primary), "seed {seed}: the primary has not changed");
        world.heal_and_check();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_one_sided_cut_moves_no_primary() {
    let mut world = World::new(3);
    world.run(STARTUP_MS);
    let primary = world.primary().expect("the group has a primary");
    let other = (primary + 1) % 3;
    world.schedule_fault(0, Fault::Cut(3 + primary, other));
    world.run(4_000);
    assert_eq!(world.primary(), Some(primary), "one home's suspicion must not move the primary");
    world.heal_and_check();
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn an_isolated_primary_acknowledges_nothing_and_proves_nothing() {
    let mut world = World::new(5);
    world.run(STARTUP_MS);
    let primary = world.primary().expect("the group has a primary");
    world.schedule_fault(0, Fault::Isolate(primary));
    world.run(6_000);
    let old = world.servers[primary].clone();
    world.heal_and_check();
    let lost: Vec<_> =
        old.log.iter().filter(|entry| !world.servers[primary].log.contains(entry)).collect();
    let acknowledged = |value: u64| world.acknowledged.iter().any(|write| write.value == value);
    assert!(lost.iter().all(|entry| !acknowledged(entry.1)), "an acknowledged write was rewound");
    assert_eq!(world.violations, Vec::<String>::new());
}
