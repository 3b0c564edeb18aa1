//! Compares the token bucket with exact arithmetic.

use gcl_core::limit::bucket::{Bucket, Rate, SHARES, TOKEN};
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

    /// Many small refills yield the same amount as one large refill, and never more than the rate.
    #[test]
    fn small_refills_equal_one_large_refill(
        rate in 1_u32..1_000_000,
        shares in 1_i64..SHARES,
        steps in prop::collection::vec(0_u64..5_000, 1..200),
    ) {
        let rate = Rate { rate, burst: 1 };
        let (mut small, mut large) = (Bucket::default(), Bucket::default());
        let mut now = Duration::ZERO;
        for step in steps {
            now += Duration::from_micros(step);
            small.refill(now, rate, shares, i64::MAX);
        }
        large.refill(now, rate, shares, i64::MAX);
        prop_assert_eq!(small.level, large.level);
        let micros = i128::try_from(now.as_micros()).expect("a short time");
        let exact = i128::from(rate.rate) * micros * i128::from(TOKEN) * i128::from(shares);
        prop_assert!(i128::from(large.level) * i128::from(SHARES) * 1_000_000 <= exact);
    }

    #[test]
    fn the_refill_time_is_long_enough(rate in 1_u32..100_000, shares in 1_i64..SHARES) {
        let rate = Rate { rate, burst: 1 };
        let time = rate.refill_time(shares, TOKEN).expect("the rate is above zero");
        prop_assert!(rate.refill_amount(shares, time) >= TOKEN || time > Duration::from_mins(10));
    }
}

#[test]
fn shares_of_the_burst_add_up() {
    let rate = Rate { rate: 1, burst: 7 };
    assert_eq!(rate.capacity(SHARES), 7 * TOKEN);
    assert_eq!(rate.capacity(1) * SHARES, 7 * TOKEN);
}
