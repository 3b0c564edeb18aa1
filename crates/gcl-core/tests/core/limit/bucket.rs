//! The bucket against exact arithmetic.

use gcl_core::limit::bucket::{Bucket, QUARTERS, Rate, TOKEN};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::time::Duration;

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(0xb0c4),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Many small steps earn what one large step does.
    #[test]
    fn steps_do_not_matter(
        rate in 1_u32..1_000_000,
        quarters in 1_i64..QUARTERS,
        steps in prop::collection::vec(0_u64..5_000, 1..200),
    ) {
        let rate = Rate { rate, burst: 1 };
        let (mut small, mut large) = (Bucket::default(), Bucket::default());
        let mut now = Duration::ZERO;
        for step in steps {
            now += Duration::from_micros(step);
            small.earn(now, rate, quarters, i64::MAX);
        }
        large.earn(now, rate, quarters, i64::MAX);
        prop_assert_eq!(small.level, large.level);
        let micros = i128::try_from(now.as_micros()).expect("a short time");
        let whole = i128::from(rate.rate) * micros * i128::from(TOKEN) * i128::from(quarters);
        prop_assert!(i128::from(large.level) * i128::from(QUARTERS) * 1_000_000 <= whole);
    }

    #[test]
    fn a_time_to_earn_is_long_enough(rate in 1_u32..100_000, quarters in 1_i64..QUARTERS) {
        let rate = Rate { rate, burst: 1 };
        let time = rate.time_to_earn(quarters, TOKEN).expect("the rate is above zero");
        prop_assert!(rate.earned(quarters, time) >= TOKEN || time > Duration::from_mins(10));
    }
}

#[test]
fn shares_of_the_burst_add_up() {
    let rate = Rate { rate: 1, burst: 7 };
    assert_eq!(rate.capacity(QUARTERS), 7 * TOKEN);
    assert_eq!(rate.capacity(1) * QUARTERS, 7 * TOKEN);
}
