//! What one daemon holds of one workspace's rate: its own bucket, what it borrowed, what it lent,
//! and the requests that wait for a token.

use super::{
    Admission,
    bucket::{Amount, Bucket, RESERVE_QUARTERS, Rate, TOKEN},
    lease::{self, Active},
    lend::{Borrower, LOAN_LIFE, Loan, Purse},
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

/// Longest wait for a token that is being minted or borrowed.
const TOKEN_WAIT: Duration = Duration::from_millis(100);
/// Longest wait while a workspace comes into use and its seats are being claimed.
const CLAIM_WAIT: Duration = Duration::from_secs(1);
/// Most requests that wait for tokens of one workspace.
const MOST_WAITERS: usize = 256;
/// The range of waits that a refusal suggests.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(5));
/// Time over which demand is averaged, in seconds.
const DEMAND_WINDOW: f64 = 0.5;
/// Shortest time that the timer is armed for.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// One workspace's account at one daemon.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// The rate in force here.
    pub rate: Rate,
    /// A higher rate, and when it comes into force.
    pub raise: Option<(Duration, Rate)>,
    /// Tokens minted here.
    pub bucket: Bucket,
    /// The seats.
    pub seats: Seats,
    /// What was lent, by borrower.
    pub loans: IndexMap<Borrower, Loan>,
    /// What was borrowed, by lender.
    pub purses: IndexMap<id::Daemon, Purse>,
    /// What former holders of the seats may still spend, and until when.
    pub inherited: VecDeque<(Duration, Amount)>,
    /// Daemons to borrow from, nearest first, and when the list was made.
    pub lenders: (Duration, Vec<id::Daemon>),
    /// Requests that wait for a token, and until when.
    pub waiters: VecDeque<(id::Request, Duration)>,
    /// When the account was opened.
    pub opened: Duration,
    /// When the last request came.
    pub used: Duration,
    /// When tokens were last lent.
    pub lent_at: Duration,
    /// Whether tokens were short since the seats were last read.
    pub short: bool,
    demand: f64,
}

/// Opens the account of a workspace, and follows its rate; tells whether the workspace exists.
pub fn open(daemon: &mut Daemon, now: Now, workspace: &id::Workspace) -> bool {
    let Some(config) = daemon.config.snapshot.workspaces.get(workspace) else {
        return false;
    };
    let rate = Rate { rate: config.value.rate, burst: config.value.burst };
    let bound = Duration::from_millis(daemon.settings.bounds.freshness_ms);
    let active = lease::active(daemon, now);
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        if account.rate != rate {
            account.follow(now, active, rate, bound);
        }
        return true;
    }
    let account = Account {
        rate,
        bucket: Bucket { level: 0, earned_at: now.mono },
        opened: now.mono,
        used: now.mono,
        ..Account::default()
    };
    daemon.limit.accounts.insert(workspace.clone(), account);
    true
}

impl Account {
    /// Lowers a rate at once; raises it when every daemon knows of an earlier lowering.
    fn follow(&mut self, now: Now, active: Active, rate: Rate, bound: Duration) {
        let lower =
            Rate { rate: rate.rate.min(self.rate.rate), burst: rate.burst.min(self.rate.burst) };
        let lowered = lower != self.rate;
        self.rate = lower;
        self.earn(now, active);
        match self.raise {
            Some((at, raised)) if raised == rate && !lowered => {
                if now.mono >= at {
                    self.rate = rate;
                }
            }
            _ => self.raise = Some((now.mono + bound, rate)),
        }
    }

    /// Counts a request for the prediction of demand.
    pub fn arrive(&mut self, now: Now) {
        let passed = now.since(self.used).as_secs_f64();
        self.demand = self.demand * (1.0 - passed / DEMAND_WINDOW).max(0.0) + 1.0 / DEMAND_WINDOW;
        self.used = now.mono;
    }

    /// Requests a second that have come of late.
    #[must_use]
    pub fn demand(&self, now: Now) -> f64 {
        self.demand * (1.0 - now.since(self.used).as_secs_f64() / DEMAND_WINDOW).max(0.0)
    }

    /// What the demand of a time ahead needs.
    #[must_use]
    pub fn needed(&self, now: Now, ahead: Duration) -> Amount {
        let tokens = self.demand(now) * ahead.as_secs_f64();
        #[expect(clippy::cast_possible_truncation, reason = "demand is far below the range")]
        let whole = (tokens * 1_000.0) as i64;
        whole.saturating_mul(TOKEN / 1_000)
    }

    /// Parts of the rate that may be minted now.
    #[must_use]
    pub fn quarters(&self, active: Active) -> i64 {
        let reserve = if active.reserve { self.seats.reserves() * RESERVE_QUARTERS } else { 0 };
        let flexible = if active.reserve && active.flexible { self.seats.flexibles() } else { 0 };
        reserve + flexible
    }

    /// What was lent and not reported spent.
    #[must_use]
    pub fn lent(&self) -> Amount {
        self.loans.values().map(|loan| loan.outstanding).sum()
    }

    /// Counts what the former holder of a seat may spend until its tokens expire.
    pub fn inherit(&mut self, now: Now, debt: Amount) {
        if debt > 0 {
            self.inherited.push_back((now.mono + LOAN_LIFE, debt));
        }
    }

    /// Mints up to now, within the share of the burst that nobody else can spend.
    pub fn earn(&mut self, now: Now, active: Active) {
        while self.inherited.front().is_some_and(|(until, _)| now.mono >= *until) {
            self.inherited.pop_front();
        }
        let inherited: Amount = self.inherited.iter().map(|(_, debt)| debt).sum();
        let quarters = self.quarters(active);
        let room = (self.rate.capacity(quarters) - self.lent() - inherited).max(0);
        self.bucket.earn(now.mono, self.rate, quarters, room);
    }

    /// What can be spent now.
    #[must_use]
    pub fn available(&self, now: Now) -> Amount {
        let borrowed = self.purses.values().map(|purse| purse.held(now)).sum::<Amount>();
        self.bucket.level.max(0) + borrowed
    }

    /// Takes a token, borrowed parts first; tells whether there was one.
    pub fn take(&mut self, now: Now, active: Active) -> bool {
        self.earn(now, active);
        if !active.reserve || self.available(now) < TOKEN {
            return false;
        }
        let mut missing = TOKEN;
        for purse in self.purses.values_mut() {
            missing -= purse.spend(now, missing);
        }
        self.bucket.level -= missing;
        true
    }

    /// Whether tokens are on their way from a lender.
    #[must_use]
    pub fn borrowing(&self) -> bool {
        self.purses.values().any(|purse| purse.asked.is_some())
    }

    /// Whether no seat is known to be without a holder.
    #[must_use]
    pub fn all_seats_held(&self) -> bool {
        self.seats.unclaimed() == 0
    }

    /// Lets a request wait when a token can be expected soon, and refuses it otherwise.
    pub fn wait(&mut self, now: Now, active: Active, request: id::Request) -> Admission {
        self.short = true;
        let young = !self.seats.settled() || now.since(self.opened) < CLAIM_WAIT;
        let bound = if young { CLAIM_WAIT } else { TOKEN_WAIT };
        let ahead = Amount::try_from(self.waiters.len()).unwrap_or(Amount::MAX);
        let missing = ahead.saturating_add(1).saturating_mul(TOKEN) - self.available(now);
        let minted = self.rate.time_to_earn(self.quarters(active), missing);
        let soon = minted.is_some_and(|time| time <= bound);
        let hope = soon || self.may_borrow(now) || young || !active.reserve;
        if self.rate.rate == 0 || !hope || self.waiters.len() >= MOST_WAITERS {
            return Admission::Refused(self.refusal(now, active));
        }
        self.waiters.push_back((request, now.mono + bound));
        Admission::Waiting
    }

    /// Whether a lender is being asked, or may be.
    fn may_borrow(&self, now: Now) -> bool {
        self.borrowing() || self.purses.values().any(|purse| purse.may_ask(now))
    }

    /// The refusal of a request over the rate.
    #[must_use]
    pub fn refusal(&self, now: Now, active: Active) -> Fault {
        let ahead = Amount::try_from(self.waiters.len()).unwrap_or(Amount::MAX);
        let missing = ahead.saturating_add(1).saturating_mul(TOKEN) - self.available(now);
        let own = self.rate.time_to_earn(self.quarters(active), missing);
        let wait = own.unwrap_or(RETRY_RANGE.1).clamp(RETRY_RANGE.0, RETRY_RANGE.1);
        Fault::new(Code::RateLimited, "the workspace is over its rate").retry_after(wait)
    }

    /// When the first waiting request may get its token, or is to be refused.
    #[must_use]
    pub fn next_turn(&self, now: Now, active: Active) -> Option<Duration> {
        let (_, deadline) = self.waiters.front()?;
        let missing = TOKEN - self.available(now);
        let minted = self.rate.time_to_earn(self.quarters(active), missing);
        let minted = minted.map(|time| now.mono + time);
        let asked = self.purses.values().filter_map(|purse| purse.next_ask(now));
        let turn = asked.chain(minted).fold(*deadline, Duration::min);
        Some(turn.max(now.mono + SHORTEST_WAIT))
    }
}
