//! One daemon's part of a workspace's rate: its own bucket, the tokens that it borrowed and lent,
//! and the requests that wait for a token.

use super::{
    Admission,
    bucket::{Amount, Bucket, RESERVE_SHARES, Rate, TOKEN},
    lease::{self, Active},
    lend::{Borrower, Borrowing, LOAN_TTL, Loan},
    seat::Seats,
};
use crate::{
    code::{Code, Fault},
    id,
    state::State as Daemon,
    time::Now,
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// Maximum wait for a refill or for a borrowed token.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(100);
/// Maximum wait after a workspace came into use, while its seats are being claimed.
const MAX_CLAIM_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of requests of one workspace that wait for tokens.
const MAX_WAITERS: usize = 256;
/// Minimum and maximum retry delay that a refusal suggests.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(5));
/// Averaging window of the demand, in seconds.
const DEMAND_WINDOW: f64 = 0.5;
/// Minimum delay of the timer.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

/// The state of one workspace's rate limit at one daemon.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// The rate that this daemon applies.
    pub rate: Rate,
    /// A higher rate and the time from which it applies.
    pub pending_raise: Option<(Duration, Rate)>,
    /// Tokens of the seats that this daemon holds.
    pub bucket: Bucket,
    /// The workspace's seats.
    pub seats: Seats,
    /// Outstanding loans by borrower.
    pub loans: IndexMap<Borrower, Loan>,
    /// Borrowed tokens by lender.
    pub borrowings: IndexMap<id::Daemon, Borrowing>,
    /// Amounts that former holders of the seats may still spend, each with its expiry.
    pub inherited_debt: VecDeque<(Duration, Amount)>,
    /// Daemons to borrow from, nearest first, and the time when the list was made.
    pub lenders: (Duration, Vec<id::Daemon>),
    /// Requests that wait for a token, each with its deadline.
    pub waiters: VecDeque<(id::Request, Duration)>,
    /// When the workspace came into use here.
    pub opened_at: Duration,
    /// When the last request arrived.
    pub last_used: Duration,
    /// When tokens were last lent.
    pub last_lent: Duration,
    /// Whether tokens ran short since the seats were last read.
    pub short_of_tokens: bool,
    demand: f64,
}

/// Creates the account of a workspace, or applies the configured rate to it. Returns whether the
/// workspace exists.
pub fn open(daemon: &mut Daemon, now: Now, workspace: &id::Workspace) -> bool {
    let Some(config) = daemon.config.snapshot.workspaces.get(workspace) else {
        return false;
    };
    let rate = Rate { rate: config.value.rate, burst: config.value.burst };
    let raise_delay = Duration::from_millis(daemon.settings.bounds.freshness_ms);
    let active = lease::active(daemon, now);
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        if account.rate != rate {
            account.update_rate(now, active, rate, raise_delay);
        }
        return true;
    }
    let account = Account {
        rate,
        bucket: Bucket { level: 0, refilled_at: now.mono },
        opened_at: now.mono,
        last_used: now.mono,
        ..Account::default()
    };
    daemon.limit.accounts.insert(workspace.clone(), account);
    true
}

impl Account {
    /// Lowers a rate at once. A raise applies after `raise_delay`, when every daemon has applied
    /// any earlier lowering.
    fn update_rate(&mut self, now: Now, active: Active, rate: Rate, raise_delay: Duration) {
        let lower =
            Rate { rate: rate.rate.min(self.rate.rate), burst: rate.burst.min(self.rate.burst) };
        let lowered = lower != self.rate;
        self.rate = lower;
        self.refill(now, active);
        match self.pending_raise {
            Some((at, raised)) if raised == rate && !lowered => {
                if now.mono >= at {
                    self.rate = rate;
                }
            }
            _ => self.pending_raise = Some((now.mono + raise_delay, rate)),
        }
    }

    /// Adds a request to the demand.
    pub fn record_request(&mut self, now: Now) {
        let elapsed = now.since(self.last_used).as_secs_f64();
        self.demand = self.demand * (1.0 - elapsed / DEMAND_WINDOW).max(0.0) + 1.0 / DEMAND_WINDOW;
        self.last_used = now.mono;
    }

    /// The recent rate of requests, per second.
    #[must_use]
    pub fn demand(&self, now: Now) -> f64 {
        self.demand * (1.0 - now.since(self.last_used).as_secs_f64() / DEMAND_WINDOW).max(0.0)
    }

    /// The amount that the demand is expected to need within `time`.
    #[must_use]
    pub fn expected_need(&self, now: Now, time: Duration) -> Amount {
        let tokens = self.demand(now) * time.as_secs_f64();
        #[expect(clippy::cast_possible_truncation, reason = "demand is far below the range")]
        let thousandths = (tokens * 1_000.0) as i64;
        thousandths.saturating_mul(TOKEN / 1_000)
    }

    /// Shares of the rate that refill the bucket now.
    #[must_use]
    pub fn active_shares(&self, active: Active) -> i64 {
        let reserve = if active.reserve { self.seats.reserves() * RESERVE_SHARES } else { 0 };
        let flexible = if active.reserve && active.flexible { self.seats.flexibles() } else { 0 };
        reserve + flexible
    }

    /// The amount that was lent and not yet reported spent.
    #[must_use]
    pub fn outstanding(&self) -> Amount {
        self.loans.values().map(|loan| loan.outstanding).sum()
    }

    /// Reserves room for what the former holder of a seat may spend until its tokens expire.
    pub fn add_inherited_debt(&mut self, now: Now, debt: Amount) {
        if debt > 0 {
            self.inherited_debt.push_back((now.mono + LOAN_TTL, debt));
        }
    }

    /// Refills the bucket up to now, within the part of the burst that no other daemon can spend.
    pub fn refill(&mut self, now: Now, active: Active) {
        while self.inherited_debt.front().is_some_and(|(until, _)| now.mono >= *until) {
            self.inherited_debt.pop_front();
        }
        let inherited: Amount = self.inherited_debt.iter().map(|(_, debt)| debt).sum();
        let shares = self.active_shares(active);
        let room = (self.rate.capacity(shares) - self.outstanding() - inherited).max(0);
        self.bucket.refill(now.mono, self.rate, shares, room);
    }

    /// The amount that can be spent now.
    #[must_use]
    pub fn available(&self, now: Now) -> Amount {
        let borrowed =
            self.borrowings.values().map(|borrowing| borrowing.held(now)).sum::<Amount>();
        self.bucket.level.max(0) + borrowed
    }

    /// Takes a token, from borrowed ones first. Returns whether one was available.
    pub fn take(&mut self, now: Now, active: Active) -> bool {
        self.refill(now, active);
        if !active.reserve || self.available(now) < TOKEN {
            return false;
        }
        let mut missing = TOKEN;
        for borrowing in self.borrowings.values_mut() {
            missing -= borrowing.spend(now, missing);
        }
        self.bucket.level -= missing;
        true
    }

    /// Whether an answer of a lender is awaited.
    #[must_use]
    pub fn awaits_lender(&self) -> bool {
        self.borrowings.values().any(|borrowing| borrowing.requested_at.is_some())
    }

    /// Whether every seat had a holder when the seats were last read.
    #[must_use]
    pub fn all_seats_held(&self) -> bool {
        self.seats.unclaimed() == 0
    }

    /// Queues a request if a token can be expected soon, and refuses it otherwise.
    pub fn enqueue(&mut self, now: Now, active: Active, request: id::Request) -> Admission {
        self.short_of_tokens = true;
        let claiming = !self.seats.is_ready() || now.since(self.opened_at) < MAX_CLAIM_WAIT;
        let max_wait = if claiming { MAX_CLAIM_WAIT } else { MAX_TOKEN_WAIT };
        let ahead = Amount::try_from(self.waiters.len()).unwrap_or(Amount::MAX);
        let missing = ahead.saturating_add(1).saturating_mul(TOKEN) - self.available(now);
        let refill_time = self.rate.refill_time(self.active_shares(active), missing);
        let refills_soon = refill_time.is_some_and(|time| time <= max_wait);
        let expected = refills_soon || self.can_borrow(now) || claiming || !active.reserve;
        if self.rate.rate == 0 || !expected || self.waiters.len() >= MAX_WAITERS {
            return Admission::Refused(self.refusal(now, active));
        }
        self.waiters.push_back((request, now.mono + max_wait));
        Admission::Waiting
    }

    /// Whether a lender's answer is awaited, or a lender may be asked now.
    fn can_borrow(&self, now: Now) -> bool {
        self.awaits_lender() || self.borrowings.values().any(|borrowing| borrowing.can_request(now))
    }

    /// The fault of a request over the rate, with the delay after which to retry.
    #[must_use]
    pub fn refusal(&self, now: Now, active: Active) -> Fault {
        let ahead = Amount::try_from(self.waiters.len()).unwrap_or(Amount::MAX);
        let missing = ahead.saturating_add(1).saturating_mul(TOKEN) - self.available(now);
        let refill_time = self.rate.refill_time(self.active_shares(active), missing);
        let wait = refill_time
            .unwrap_or(RETRY_AFTER_RANGE.1)
            .clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        Fault::new(Code::RateLimited, "the workspace is over its rate").retry_after(wait)
    }

    /// When the first waiting request may get its token or reaches its deadline.
    #[must_use]
    pub fn next_wakeup(&self, now: Now, active: Active) -> Option<Duration> {
        let (_, deadline) = self.waiters.front()?;
        let missing = TOKEN - self.available(now);
        let refill_time = self.rate.refill_time(self.active_shares(active), missing);
        let refilled_at = refill_time.map(|time| now.mono + time);
        let requests = self.borrowings.values().filter_map(|borrowing| borrowing.next_request(now));
        let wakeup = requests.chain(refilled_at).fold(*deadline, Duration::min);
        Some(wakeup.max(now.mono + MIN_TIMER_DELAY))
    }
}
