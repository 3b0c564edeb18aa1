//! Random sequences of faults: no acknowledged write is lost or duplicated, and no read returns
//! older data than it may.

use super::world::{Fault, World};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// Generates any kind of fault.
fn any_fault() -> impl Strategy<Value = Fault> {
    let one = || 0_usize..3;
    prop_oneof![
        (0_usize..6, 0_usize..6).prop_map(|(from, to)| Fault::Cut(from, to)),
        one().prop_map(Fault::Isolate),
        Just(Fault::Heal),
        one().prop_map(Fault::KillServer),
        one().prop_map(Fault::StartServer),
        (one(), 50_u64..3_000).prop_map(|(index, ms)| Fault::FreezeServer(index, ms)),
        (one(), 50_u64..3_000).prop_map(|(index, ms)| Fault::FreezeDaemon(index, ms)),
        one().prop_map(Fault::KillDaemon),
        one().prop_map(Fault::StartDaemon),
        (one(), 4_u64..900).prop_map(|(index, ms)| Fault::Lag(index, ms)),
        one().prop_map(Fault::Switch),
        (0_u64..20).prop_map(Fault::Noise),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 24,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..Config::default()
    })]

    #[test]
    fn no_history_breaks_a_promise(
        seed in any::<u64>(),
        faults in prop::collection::vec((0_u64..6_000, any_fault()), 1..12),
    ) {
        let mut world = World::new(seed);
        for (at, fault) in faults {
            world.schedule_fault(1_500 + at, fault);
        }
        world.run(8_000);
        world.heal_and_check();
        prop_assert_eq!(&world.violations, &Vec::<String>::new());
    }
}
