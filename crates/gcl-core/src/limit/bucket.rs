//! A token bucket in integer arithmetic, so that no sequence of small refills gains or loses a
//! fraction of a token.
//!
//! A workspace's rate and burst are divided into [`SHARES`] equal shares, four for each seat. A
//! bucket covers any number of shares: it refills at that part of the rate and holds at most that
//! part of the burst. Tokens lent to other daemons and not yet reported spent count against its
//! capacity.

use std::time::Duration;

/// An amount of tokens in fixed-point units, of which [`TOKEN`] make one token.
pub type Amount = i64;

/// Number of seats of a workspace over the whole fleet. All daemons must use the same number.
pub const SEATS: u32 = 16;
/// Number of shares of a seat that its holder keeps when its lease cannot be renewed.
pub const RESERVE_SHARES: i64 = 3;
/// Number of shares of a seat.
pub const SHARES_PER_SEAT: i64 = 4;
/// Number of shares of a workspace's rate and burst.
pub const SHARES: i64 = SEATS as i64 * SHARES_PER_SEAT;
/// Units of one token.
pub const TOKEN: Amount = 64_000_000_000;
/// Units refilled in a microsecond at one request per second and one share. One thousandth is left
/// out to allow for clocks that run fast.
const REFILL_PER_MICROSECOND: i128 = 999;
/// Maximum time that one refill covers.
const MAX_REFILL_TIME: Duration = Duration::from_mins(10);
/// Maximum burst, in tokens.
const MAX_BURST: u32 = 10_000_000;

/// A workspace's rate and burst over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rate {
    /// Requests per second.
    pub rate: u32,
    /// Requests that may be admitted at once.
    pub burst: u32,
}

impl Rate {
    /// The part of the burst that belongs to `shares`.
    #[must_use]
    pub fn capacity(self, shares: i64) -> Amount {
        i64::from(self.burst.min(MAX_BURST)) * (TOKEN / SHARES) * shares
    }

    /// The amount that `shares` refill in `time`.
    #[must_use]
    pub fn refill_amount(self, shares: i64, time: Duration) -> Amount {
        let micros = i128::try_from(time.min(MAX_REFILL_TIME).as_micros()).unwrap_or(i128::MAX);
        let amount = i128::from(self.rate) * i128::from(shares) * micros * REFILL_PER_MICROSECOND;
        Amount::try_from(amount).unwrap_or(Amount::MAX)
    }

    /// How long `shares` take to refill `amount`; `None` if they never do.
    #[must_use]
    pub fn refill_time(self, shares: i64, amount: Amount) -> Option<Duration> {
        let per_micro = i128::from(self.rate) * i128::from(shares) * REFILL_PER_MICROSECOND;
        if per_micro <= 0 {
            return None;
        }
        let micros = (i128::from(amount.max(0)) + per_micro - 1) / per_micro;
        u64::try_from(micros).ok().map(Duration::from_micros)
    }
}

/// A token bucket for part of a workspace's rate.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// The amount in the bucket.
    pub level: Amount,
    /// The time up to which it was refilled.
    pub refilled_at: Duration,
}

impl Bucket {
    /// Refills the bucket up to `now`, to a level of at most `room`.
    pub fn refill(&mut self, now: Duration, rate: Rate, shares: i64, room: Amount) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let level = self.level.saturating_add(rate.refill_amount(shares, elapsed));
        self.level = level.min(room);
    }
}
