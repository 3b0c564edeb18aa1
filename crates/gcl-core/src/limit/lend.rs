//! Lending of tokens between daemons.
//!
//! A lender debits its bucket before it answers, so a lost answer loses tokens and never creates
//! any. A borrower numbers its requests to a lender and accepts only the answer to the latest one.
//! Each request states how much of earlier loans is still unspent, so the lender knows all that it
//! has outstanding, whatever was lost, duplicated or delayed in between. It refills its bucket only
//! as far as the bucket and the outstanding loans together stay within its part of the burst.
//! Borrowed tokens expire, and a lender writes off the loans of a silent borrower well after that.

use super::{
    Message,
    account::{self, Account},
    bucket::{Amount, RESERVE_SHARES, TOKEN},
    lease, send,
};
use crate::{effect::Effects, id, rendezvous, state::State as Daemon, time::Now};
use std::{collections::VecDeque, time::Duration};

/// How long a borrowed token may be kept, counted from the request for it.
pub const LOAN_TTL: Duration = Duration::from_secs(2);
/// Time after a borrower's latest request after which the lender writes off its loan.
pub const WRITE_OFF_AFTER: Duration = Duration::from_secs(10);
/// Maximum wait for a lender's answer.
const LEND_TIMEOUT: Duration = Duration::from_millis(100);
/// Minimum and maximum backoff before a lender that lent too little or did not answer is asked
/// again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(500));
/// Minimum and maximum time for whose expected demand tokens are borrowed ahead.
const LOOKAHEAD_RANGE: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(500));
/// Divisor of the time in which the rate fills the burst; the result is the time to borrow ahead
/// for.
const LOOKAHEAD_DIVISOR: u32 = 4;
/// Divisor of the requested amount. A lender that lends less than the result is not asked again
/// until a backoff has passed.
const LOW_LOAN_DIVISOR: Amount = 4;
/// Time after which borrowed tokens that are not needed are returned.
const RETURN_AFTER: Duration = Duration::from_millis(900);
/// Minimum amount that is held ahead of demand.
const MIN_WANTED: Amount = 2 * TOKEN;
/// Maximum number of lenders with a request in flight for one workspace.
const MAX_LENDERS_ASKED: usize = 3;
/// Maximum number of daemons of one failure domain that hold seats of a workspace.
pub const HOLDERS_PER_DOMAIN: usize = 4;
/// How long a list of lenders is used.
const LENDERS_TTL: Duration = Duration::from_secs(5);

/// A borrower: one incarnation of a daemon.
pub type Borrower = (id::Daemon, id::Incarnation);

/// The loan to one borrower.
#[derive(Clone, Debug, Default)]
pub struct Loan {
    /// The number of the borrower's latest request.
    pub number: u64,
    /// The amount that it may still spend.
    pub outstanding: Amount,
    /// When its latest request arrived.
    pub requested_at: Duration,
}

/// Tokens borrowed from one lender, and the state of the requests to it.
#[derive(Clone, Debug, Default)]
pub struct Borrowing {
    /// When the request was sent whose answer is awaited.
    pub requested_at: Option<Duration>,
    wanted: Amount,
    /// Unspent amounts, oldest first, each with the time when it was requested.
    unspent: VecDeque<(Duration, Amount)>,
    number: u64,
    backoff: Duration,
    next_allowed: Duration,
}

impl Borrowing {
    /// Tokens that this daemon keeps for itself when it releases its seats.
    #[must_use]
    pub fn kept(now: Now, amount: Amount) -> Self {
        Self { unspent: VecDeque::from([(now.mono, amount)]), ..Self::default() }
    }

    /// The amount that is neither spent nor expired.
    #[must_use]
    pub fn held(&self, now: Now) -> Amount {
        let valid = self.unspent.iter().filter(|(sent, _)| now.mono < *sent + LOAN_TTL);
        valid.map(|(_, amount)| amount).sum()
    }

    /// Spends up to `missing`, oldest tokens first, and returns the amount spent.
    pub fn spend(&mut self, now: Now, missing: Amount) -> Amount {
        self.expire(now);
        let mut remaining = missing;
        while let Some((_, amount)) = self.unspent.front_mut().filter(|_| remaining > 0) {
            let part = remaining.min(*amount);
            *amount -= part;
            remaining -= part;
            if *amount == 0 {
                self.unspent.pop_front();
            }
        }
        missing - remaining
    }

    /// Removes up to `max` of the tokens that were borrowed at least [`RETURN_AFTER`] ago, and
    /// returns the amount.
    fn take_unused(&mut self, now: Now, max: Amount) -> Amount {
        self.expire(now);
        let old = |tokens: &(Duration, Amount)| now.mono >= tokens.0 + RETURN_AFTER;
        let old: Amount =
            self.unspent.iter().filter(|tokens| old(tokens)).map(|tokens| tokens.1).sum();
        self.spend(now, old.min(max).max(0))
    }

    /// Discards all tokens.
    pub fn clear(&mut self) {
        self.unspent.clear();
    }

    fn expire(&mut self, now: Now) {
        while self.unspent.front().is_some_and(|(sent, _)| now.mono >= *sent + LOAN_TTL) {
            self.unspent.pop_front();
        }
    }

    /// Whether the lender may be asked now.
    #[must_use]
    pub fn can_request(&self, now: Now) -> bool {
        self.requested_at.is_none() && now.mono >= self.next_allowed
    }

    /// When the lender may next be asked, if that is in the future.
    #[must_use]
    pub fn next_request(&self, now: Now) -> Option<Duration> {
        let at = self.requested_at.map_or(self.next_allowed, |sent| sent + LEND_TIMEOUT);
        (at > now.mono).then_some(at)
    }

    fn back_off(&mut self, now: Now) {
        self.requested_at = None;
        self.backoff = (self.backoff * 2).clamp(BACKOFF.0, BACKOFF.1);
        self.next_allowed = now.mono + self.backoff;
    }

    fn refresh(&mut self, now: Now) {
        self.expire(now);
        if self.requested_at.is_some_and(|sent| now.mono >= sent + LEND_TIMEOUT) {
            self.back_off(now);
        }
    }
}

/// The time for whose expected demand an account borrows ahead.
fn lookahead(account: &Account) -> Duration {
    let fill = f64::from(account.rate.burst) / f64::from(account.rate.rate.max(1));
    let lookahead = Duration::from_secs_f64(fill) / LOOKAHEAD_DIVISOR;
    lookahead.clamp(LOOKAHEAD_RANGE.0, LOOKAHEAD_RANGE.1)
}

/// Requests tokens from lenders if the expected demand needs more than is held.
pub fn borrow_ahead(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    let active = lease::active(daemon, now);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    let waiting = Amount::try_from(account.waiters.len()).unwrap_or(Amount::MAX);
    let lookahead = lookahead(account);
    let wanted = account
        .expected_need(now, lookahead)
        .saturating_add(waiting.saturating_mul(TOKEN))
        .max(MIN_WANTED);
    let refilled = account.rate.refill_amount(account.active_shares(active), lookahead);
    let shortfall = wanted - account.available(now) - refilled / 2;
    let tolerated = if waiting > 0 { 0 } else { wanted / 2 };
    if !active.reserve || account.rate.rate == 0 || shortfall <= tolerated {
        return;
    }
    account.borrowings.values_mut().for_each(|borrowing| borrowing.refresh(now));
    let in_flight =
        account.borrowings.values().filter(|borrowing| borrowing.requested_at.is_some()).count();
    if account.lenders.1.is_empty() || now.mono >= account.lenders.0 + LENDERS_TTL {
        refresh_lenders(daemon, now, workspace);
    }
    for _ in in_flight..MAX_LENDERS_ASKED {
        if !request_next(daemon, now, fx, workspace, shortfall / 2 + 1) {
            break;
        }
    }
}

/// Requests tokens from the nearest lender that may be asked. Returns whether there was one.
fn request_next(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    wanted: Amount,
) -> bool {
    let number = daemon.counters.call();
    let life = daemon.incarnation;
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return false;
    };
    let available = |name: &&id::Daemon| {
        account.borrowings.get(*name).is_none_or(|borrowing| borrowing.can_request(now))
    };
    let Some(lender) = account.lenders.1.iter().find(available).cloned() else {
        return false;
    };
    let borrowing = account.borrowings.entry(lender.clone()).or_default();
    borrowing.number = number;
    borrowing.requested_at = Some(now.mono);
    borrowing.wanted = wanted;
    let (held, returned) = (borrowing.held(now), 0);
    let workspace = workspace.clone();
    let message = Message::Borrow { workspace, life, number, held, returned, wanted };
    send(daemon, fx, &lender, message);
    true
}

/// Updates the list of lenders: the other daemons that should hold seats of the workspace, those
/// of this failure domain first, then those of this region.
fn refresh_lenders(daemon: &mut Daemon, now: Now, workspace: &id::Workspace) {
    let me = daemon.settings.daemon.clone();
    let own = daemon.settings.domain.clone();
    let mut holders = seat_holders(daemon, workspace);
    holders.retain(|(name, _)| *name != me);
    let same_region =
        |domain: &str| daemon.config.snapshot.region(domain) == daemon.settings.region;
    holders.sort_by_key(|(name, domain)| {
        let weight = rendezvous::weight(&me, name);
        (*domain != own, !same_region(domain), weight)
    });
    let names: Vec<_> = holders.into_iter().map(|(name, _)| name).collect();
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account
            .borrowings
            .retain(|name, borrowing| borrowing.held(now) > 0 || names.contains(name));
        for name in &names {
            account.borrowings.entry(name.clone()).or_default();
        }
        account.lenders = (now.mono, names);
    }
}

/// The daemons that should hold seats of a workspace: up to [`HOLDERS_PER_DOMAIN`] in each failure
/// domain, by rendezvous hashing.
#[must_use]
pub fn seat_holders(daemon: &Daemon, workspace: &str) -> Vec<(id::Daemon, id::Domain)> {
    let me = &daemon.settings;
    let others = daemon.member.members.values().filter(|member| member.alive);
    let others = others.map(|member| (&member.daemon, &member.domain));
    let mut all: Vec<_> = std::iter::once((&me.daemon, &me.domain)).chain(others).collect();
    all.sort_by_cached_key(|(name, domain)| {
        (*domain, std::cmp::Reverse(rendezvous::weight(workspace, name)))
    });
    let domains = all.chunk_by(|left, right| left.1 == right.1);
    let holders = domains.flat_map(|domain| domain.iter().take(HOLDERS_PER_DOMAIN));
    holders.map(|(name, domain)| ((*name).clone(), (*domain).clone())).collect()
}

/// A borrower's request for tokens.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The borrower's incarnation.
    pub life: id::Incarnation,
    /// The number of the request, which increases with each request of the borrower.
    pub number: u64,
    /// The amount that is unspent of earlier loans.
    pub held: Amount,
    /// The amount returned of earlier loans.
    pub returned: Amount,
    /// The amount requested.
    pub wanted: Amount,
}

/// Handles a borrower's request: lends what this daemon does not need itself.
pub fn on_borrow(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    workspace: &id::Workspace,
    request: Request,
) {
    let Request { life, number, held, returned, wanted } = request;
    let borrower = (from.clone(), life);
    if !account::open(daemon, now, workspace) {
        return;
    }
    super::seat::activate(daemon, now, fx, workspace);
    let active = lease::active(daemon, now);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    let loan = account.loans.entry(borrower.clone()).or_default();
    if number <= loan.number {
        return;
    }
    loan.number = number;
    loan.requested_at = now.mono;
    let before = loan.outstanding;
    loan.outstanding = held.clamp(0, before);
    let credited = returned.clamp(0, before - loan.outstanding);
    account.bucket.level = account.bucket.level.saturating_add(credited);
    account.refill(now, active);
    if wanted <= 0 {
        return;
    }
    let amount = lendable(account, now).min(wanted).max(0);
    account.last_lent = now.mono;
    account.bucket.level -= amount;
    if let Some(loan) = account.loans.get_mut(&borrower) {
        loan.outstanding += amount;
    }
    let workspace = workspace.clone();
    send(daemon, fx, from, Message::Lend { workspace, number, amount });
}

/// The amount that may be lent: what is not needed here, limited so that all loans together stay
/// within the part of the burst that belongs to the reserves.
fn lendable(account: &Account, now: Now) -> Amount {
    let waiting = Amount::try_from(account.waiters.len()).unwrap_or(Amount::MAX);
    let own = account.expected_need(now, lookahead(account) / 2) + waiting.saturating_mul(TOKEN);
    let reserve = account.rate.capacity(account.seats.reserves() * RESERVE_SHARES);
    (account.bucket.level - own).min(reserve - account.outstanding())
}

/// Handles a lender's answer. Accepts the tokens if it answers the latest request and they have not
/// expired.
pub fn on_lend(
    daemon: &mut Daemon,
    now: Now,
    from: &id::Daemon,
    workspace: &id::Workspace,
    number: u64,
    amount: Amount,
) {
    let account = daemon.limit.accounts.get_mut(workspace);
    let Some(borrowing) = account.and_then(|account| account.borrowings.get_mut(from)) else {
        return;
    };
    let Some(requested_at) = borrowing.requested_at.filter(|_| borrowing.number == number) else {
        return;
    };
    if now.mono >= requested_at + LOAN_TTL {
        return borrowing.back_off(now);
    }
    if amount > 0 {
        borrowing.unspent.push_back((requested_at, amount));
    }
    if amount.saturating_mul(LOW_LOAN_DIVISOR) >= borrowing.wanted {
        borrowing.requested_at = None;
        borrowing.backoff = Duration::ZERO;
    } else {
        borrowing.back_off(now);
    }
}

/// Returns borrowed tokens that have not been needed for a while to their lenders.
pub fn return_unused(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    let life = daemon.incarnation;
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    let mut spare =
        account.available(now) - account.expected_need(now, lookahead(account)).max(TOKEN);
    let mut returns = Vec::new();
    for (lender, borrowing) in
        account.borrowings.iter_mut().filter(|(_, borrowing)| borrowing.requested_at.is_none())
    {
        let returned = borrowing.take_unused(now, spare);
        if returned > 0 {
            spare -= returned;
            returns.push((lender.clone(), borrowing.held(now), returned));
        }
    }
    for (lender, held, returned) in returns {
        let number = daemon.counters.call();
        let workspace = workspace.clone();
        let message = Message::Borrow { workspace, life, number, held, returned, wanted: 0 };
        send(daemon, fx, &lender, message);
    }
}

/// Writes off the loans of silent borrowers and discards expired tokens.
pub fn upkeep(account: &mut Account, now: Now) {
    account.loans.retain(|_, loan| {
        if now.mono >= loan.requested_at + WRITE_OFF_AFTER {
            loan.outstanding = 0;
        }
        loan.outstanding > 0 || now.mono < loan.requested_at + WRITE_OFF_AFTER * 6
    });
    account.borrowings.values_mut().for_each(|borrowing| borrowing.refresh(now));
}
