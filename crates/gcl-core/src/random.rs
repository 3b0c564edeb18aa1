//! A seeded random number generator, so that replaying a recorded trace makes the same choices.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Weyl constant of the `SplitMix64` generator.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// A `SplitMix64` generator.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Random {
    state: u64,
}

impl Random {
    /// A generator whose sequence is determined by `seed`.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next 64 random bits.
    pub const fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(GOLDEN_GAMMA);
        mix(self.state)
    }

    /// A random number below `bound`, or zero when `bound` is zero.
    pub const fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.next() % bound }
    }

    /// A random duration between 0.5 and 1.5 times `base`.
    pub fn jitter(&mut self, base: Duration) -> Duration {
        let micros = u64::try_from(base.as_micros()).unwrap_or(u64::MAX / 2);
        Duration::from_micros(micros / 2 + self.below(micros.max(1)))
    }
}

/// Mixes the bits of a number, so that similar inputs give unrelated outputs.
#[must_use]
pub const fn mix(value: u64) -> u64 {
    let mut z = value;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
