//! A token bucket in integers, so that no history of small steps gains or loses a part of a token.
//!
//! A workspace's rate and burst are divided into [`QUARTERS`] equal parts, four for each seat. A
//! bucket holds any number of them: it earns that share of the rate and holds at most that share of
//! the burst. Tokens lent to others and not yet reported spent count against what it may hold.

use std::time::Duration;

/// Amounts of tokens, in parts of [`TOKEN`].
pub type Amount = i64;

/// Seats of a workspace over the whole fleet; all daemons must agree on it.
pub const SEATS: u32 = 16;
/// Parts of a seat that its holder keeps when its lease cannot be renewed.
pub const RESERVE_QUARTERS: i64 = 3;
/// Parts of a seat.
pub const SEAT_QUARTERS: i64 = 4;
/// Parts of a workspace's rate and burst.
pub const QUARTERS: i64 = SEATS as i64 * SEAT_QUARTERS;
/// One token.
pub const TOKEN: Amount = 64_000_000_000;
/// Parts of [`TOKEN`] earned in a microsecond at one request a second and one quarter; a thousandth
/// is left out for clocks that run fast.
const EARNED: i128 = 999;
/// Longest time that is earned for at once.
const LONGEST: Duration = Duration::from_mins(10);
/// Largest burst in tokens.
const MOST_BURST: u32 = 10_000_000;

/// A workspace's rate and burst over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rate {
    /// Requests a second.
    pub rate: u32,
    /// Requests at once.
    pub burst: u32,
}

impl Rate {
    /// The share of the burst that some quarters hold.
    #[must_use]
    pub fn capacity(self, quarters: i64) -> Amount {
        i64::from(self.burst.min(MOST_BURST)) * (TOKEN / QUARTERS) * quarters
    }

    /// What some quarters earn in a time.
    #[must_use]
    pub fn earned(self, quarters: i64, time: Duration) -> Amount {
        let micros = i128::try_from(time.min(LONGEST).as_micros()).unwrap_or(i128::MAX);
        let earned = i128::from(self.rate) * i128::from(quarters) * micros * EARNED;
        Amount::try_from(earned).unwrap_or(Amount::MAX)
    }

    /// How long some quarters take to earn an amount.
    #[must_use]
    pub fn time_to_earn(self, quarters: i64, amount: Amount) -> Option<Duration> {
        let per_micro = i128::from(self.rate) * i128::from(quarters) * EARNED;
        if per_micro <= 0 {
            return None;
        }
        let micros = (i128::from(amount.max(0)) + per_micro - 1) / per_micro;
        u64::try_from(micros).ok().map(Duration::from_micros)
    }
}

/// A bucket that holds a share of a workspace's rate.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// What it holds.
    pub level: Amount,
    /// Up to when it has earned.
    pub earned_at: Duration,
}

impl Bucket {
    /// Earns up to `now`, holding at most `room`.
    pub fn earn(&mut self, now: Duration, rate: Rate, quarters: i64, room: Amount) {
        let time = now.saturating_sub(self.earned_at);
        self.earned_at = self.earned_at.max(now);
        let level = self.level.saturating_add(rate.earned(quarters, time));
        self.level = level.min(room);
    }
}
