//! Lending between daemons.
//!
//! The lender debits first, so a lost answer loses tokens and makes none. A borrower numbers its
//! questions to a lender and takes only the answer to the last one; each question states how much of
//! earlier loans it still holds. So a lender knows, at each question, all that it has outstanding,
//! whatever was lost, repeated or late in between, and mints no more than leaves that sum within its
//! share of the burst. Borrowed tokens expire, and a lender writes off a silent borrower's loans
//! well after that.

use super::{
    Message,
    account::{self, Account},
    bucket::{Amount, RESERVE_QUARTERS, TOKEN},
    lease, tell,
};
use crate::{effect::Effects, id, rendezvous, state::State as Daemon, time::Now};
use std::{collections::VecDeque, time::Duration};

/// How long a borrowed token may be kept, from the question on.
pub const LOAN_LIFE: Duration = Duration::from_secs(2);
/// When a lender writes off what a silent borrower holds.
pub const WRITE_OFF: Duration = Duration::from_secs(10);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// First and last wait before a lender is asked again that had nothing to lend.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(500));
/// Shortest and longest time for whose demand is borrowed ahead.
const AHEAD: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// The time ahead is the time that fills the burst, divided by this.
const AHEAD_PART: u32 = 4;
/// A lender that lends less than this part of what was asked is left alone for a while.
const DRY_PART: Amount = 4;
/// Borrowed tokens that are not needed go back after this time.
const RETURN_AFTER: Duration = Duration::from_millis(900);
/// Least that is kept ahead of demand.
const LEAST_AHEAD: Amount = 2 * TOKEN;
/// Most lenders asked at once.
const MOST_ASKED: usize = 3;
/// Daemons of one failure domain that hold seats of a workspace.
pub const HOLDERS_PER_DOMAIN: usize = 4;
/// How long a list of lenders is used.
const LENDERS_LIFE: Duration = Duration::from_secs(5);

/// A borrower: a daemon in one of its lives.
pub type Borrower = (id::Daemon, id::Incarnation);

/// What one borrower was lent.
#[derive(Clone, Debug, Default)]
pub struct Loan {
    /// The number of its last question.
    pub number: u64,
    /// What it may still spend.
    pub outstanding: Amount,
    /// When it last asked.
    pub asked: Duration,
}

/// What was borrowed of one lender.
#[derive(Clone, Debug, Default)]
pub struct Purse {
    /// When the question was sent whose answer is awaited.
    pub asked: Option<Duration>,
    wanted: Amount,
    /// Unspent loans, with the times at which they were asked for.
    lots: VecDeque<(Duration, Amount)>,
    number: u64,
    wait: Duration,
    not_before: Duration,
}

impl Purse {
    /// A purse that holds tokens of this daemon itself.
    #[must_use]
    pub fn of(now: Now, amount: Amount) -> Self {
        Self { lots: VecDeque::from([(now.mono, amount)]), ..Self::default() }
    }

    /// What is unspent and not expired.
    #[must_use]
    pub fn held(&self, now: Now) -> Amount {
        let good = self.lots.iter().filter(|(asked, _)| now.mono < *asked + LOAN_LIFE);
        good.map(|(_, amount)| amount).sum()
    }

    /// Spends up to `missing`, oldest first, and gives what was spent.
    pub fn spend(&mut self, now: Now, missing: Amount) -> Amount {
        self.expire(now);
        let mut left = missing;
        while let Some((_, amount)) = self.lots.front_mut().filter(|_| left > 0) {
            let part = left.min(*amount);
            *amount -= part;
            left -= part;
            if *amount == 0 {
                self.lots.pop_front();
            }
        }
        missing - left
    }

    /// Takes up to `most` out that has been held for a while.
    fn take_old(&mut self, now: Now, most: Amount) -> Amount {
        self.expire(now);
        let old = |lot: &(Duration, Amount)| now.mono >= lot.0 + RETURN_AFTER;
        let old: Amount = self.lots.iter().filter(|lot| old(lot)).map(|lot| lot.1).sum();
        self.spend(now, old.min(most).max(0))
    }

    /// Drops everything held.
    pub fn clear(&mut self) {
        self.lots.clear();
    }

    fn expire(&mut self, now: Now) {
        while self.lots.front().is_some_and(|(asked, _)| now.mono >= *asked + LOAN_LIFE) {
            self.lots.pop_front();
        }
    }

    /// Whether its lender may be asked now.
    #[must_use]
    pub fn may_ask(&self, now: Now) -> bool {
        self.asked.is_none() && now.mono >= self.not_before
    }

    /// When its lender may next be asked, if that is ahead.
    #[must_use]
    pub fn next_ask(&self, now: Now) -> Option<Duration> {
        let at = self.asked.map_or(self.not_before, |asked| asked + ANSWER_TIMEOUT);
        (at > now.mono).then_some(at)
    }

    fn back_off(&mut self, now: Now) {
        self.asked = None;
        self.wait = (self.wait * 2).clamp(BACKOFF.0, BACKOFF.1);
        self.not_before = now.mono + self.wait;
    }

    fn refresh(&mut self, now: Now) {
        self.expire(now);
        if self.asked.is_some_and(|asked| now.mono >= asked + ANSWER_TIMEOUT) {
            self.back_off(now);
        }
    }
}

/// The time for whose demand an account borrows ahead.
fn ahead(account: &Account) -> Duration {
    let fill = f64::from(account.rate.burst) / f64::from(account.rate.rate.max(1));
    let part = Duration::from_secs_f64(fill) / AHEAD_PART;
    part.clamp(AHEAD.0, AHEAD.1)
}

/// Asks lenders for what the demand ahead needs beyond what is held.
pub fn borrow_ahead(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    let active = lease::active(daemon, now);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    let waiting = Amount::try_from(account.waiters.len()).unwrap_or(Amount::MAX);
    let span = ahead(account);
    let wanted =
        account.needed(now, span).saturating_add(waiting.saturating_mul(TOKEN)).max(LEAST_AHEAD);
    let coming = account.rate.earned(account.quarters(active), span);
    let lacking = wanted - account.available(now) - coming / 2;
    let enough = if waiting > 0 { 0 } else { wanted / 2 };
    if !active.reserve || account.rate.rate == 0 || lacking <= enough {
        return;
    }
    account.purses.values_mut().for_each(|purse| purse.refresh(now));
    let asked = account.purses.values().filter(|purse| purse.asked.is_some()).count();
    if account.lenders.1.is_empty() || now.mono >= account.lenders.0 + LENDERS_LIFE {
        list_lenders(daemon, now, workspace);
    }
    for _ in asked..MOST_ASKED {
        if !ask_next(daemon, now, fx, workspace, lacking / 2 + 1) {
            break;
        }
    }
}

fn ask_next(
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
    let may = |name: &&id::Daemon| account.purses.get(*name).is_none_or(|purse| purse.may_ask(now));
    let Some(lender) = account.lenders.1.iter().find(may).cloned() else {
        return false;
    };
    let purse = account.purses.entry(lender.clone()).or_default();
    purse.number = number;
    purse.asked = Some(now.mono);
    purse.wanted = wanted;
    let (held, returned) = (purse.held(now), 0);
    let workspace = workspace.clone();
    let message = Message::Borrow { workspace, life, number, held, returned, wanted };
    tell(daemon, fx, &lender, message);
    true
}

/// Lists the daemons that hold seats of a workspace, those of this failure domain first.
fn list_lenders(daemon: &mut Daemon, now: Now, workspace: &id::Workspace) {
    let me = daemon.settings.daemon.clone();
    let own = daemon.settings.domain.clone();
    let mut holders = holders(daemon, workspace);
    holders.retain(|(name, _)| *name != me);
    let region = |domain: &str| daemon.config.snapshot.region(domain) == daemon.settings.region;
    holders.sort_by_key(|(name, domain)| {
        let turn = rendezvous::weight(&me, name);
        (*domain != own, !region(domain), turn)
    });
    let names: Vec<_> = holders.into_iter().map(|(name, _)| name).collect();
    if let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        account.purses.retain(|name, purse| purse.held(now) > 0 || names.contains(name));
        for name in &names {
            account.purses.entry(name.clone()).or_default();
        }
        account.lenders = (now.mono, names);
    }
}

/// The daemons that are to hold seats of a workspace: a few of each failure domain.
#[must_use]
pub fn holders(daemon: &Daemon, workspace: &str) -> Vec<(id::Daemon, id::Domain)> {
    let me = &daemon.settings;
    let others = daemon.member.members.values().filter(|member| member.alive);
    let others = others.map(|member| (&member.daemon, &member.domain));
    let mut all: Vec<_> = std::iter::once((&me.daemon, &me.domain)).chain(others).collect();
    all.sort_by_cached_key(|(name, domain)| {
        (*domain, std::cmp::Reverse(rendezvous::weight(workspace, name)))
    });
    let domains = all.chunk_by(|left, right| left.1 == right.1);
    let few = domains.flat_map(|domain| domain.iter().take(HOLDERS_PER_DOMAIN));
    few.map(|(name, domain)| ((*name).clone(), (*domain).clone())).collect()
}

/// A borrower's question.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// The borrower's life.
    pub life: id::Incarnation,
    /// Counts the borrower's questions.
    pub number: u64,
    /// What it holds of earlier loans.
    pub held: Amount,
    /// What it gives back of them.
    pub returned: Amount,
    /// What it asks for.
    pub wanted: Amount,
}

/// Lends what this daemon does not need itself.
pub fn on_borrow(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    workspace: &id::Workspace,
    question: Question,
) {
    let Question { life, number, held, returned, wanted } = question;
    let borrower = (from.clone(), life);
    if !account::open(daemon, now, workspace) {
        return;
    }
    super::seat::come_into_use(daemon, now, fx, workspace);
    let active = lease::active(daemon, now);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    let loan = account.loans.entry(borrower.clone()).or_default();
    if number <= loan.number {
        return;
    }
    loan.number = number;
    loan.asked = now.mono;
    let before = loan.outstanding;
    loan.outstanding = held.clamp(0, before);
    let back = returned.clamp(0, before - loan.outstanding);
    account.bucket.level = account.bucket.level.saturating_add(back);
    account.earn(now, active);
    if wanted <= 0 {
        return;
    }
    let amount = lendable(account, now).min(wanted).max(0);
    account.lent_at = now.mono;
    account.bucket.level -= amount;
    if let Some(loan) = account.loans.get_mut(&borrower) {
        loan.outstanding += amount;
    }
    let workspace = workspace.clone();
    tell(daemon, fx, from, Message::Lend { workspace, number, amount });
}

/// What may be lent: not what is needed here, and never more than the reserve holds in all.
fn lendable(account: &Account, now: Now) -> Amount {
    let waiting = Amount::try_from(account.waiters.len()).unwrap_or(Amount::MAX);
    let own = account.needed(now, ahead(account) / 2) + waiting.saturating_mul(TOKEN);
    let reserve = account.rate.capacity(account.seats.reserves() * RESERVE_QUARTERS);
    (account.bucket.level - own).min(reserve - account.lent())
}

/// Takes what a lender lends, if it answers the last question.
pub fn on_lend(
    daemon: &mut Daemon,
    now: Now,
    from: &id::Daemon,
    workspace: &id::Workspace,
    number: u64,
    amount: Amount,
) {
    let account = daemon.limit.accounts.get_mut(workspace);
    let Some(purse) = account.and_then(|account| account.purses.get_mut(from)) else {
        return;
    };
    let Some(asked) = purse.asked.filter(|_| purse.number == number) else {
        return;
    };
    if now.mono >= asked + LOAN_LIFE {
        return purse.back_off(now);
    }
    if amount > 0 {
        purse.lots.push_back((asked, amount));
    }
    if amount.saturating_mul(DRY_PART) >= purse.wanted {
        purse.asked = None;
        purse.wait = Duration::ZERO;
    } else {
        purse.back_off(now);
    }
}

/// Gives borrowed tokens back that have lain unneeded for a while.
pub fn give_back(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    let life = daemon.incarnation;
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return;
    };
    let mut spare = account.available(now) - account.needed(now, ahead(account)).max(TOKEN);
    let mut returns = Vec::new();
    for (lender, purse) in account.purses.iter_mut().filter(|(_, purse)| purse.asked.is_none()) {
        let returned = purse.take_old(now, spare);
        if returned > 0 {
            spare -= returned;
            returns.push((lender.clone(), purse.held(now), returned));
        }
    }
    for (lender, held, returned) in returns {
        let number = daemon.counters.call();
        let workspace = workspace.clone();
        let message = Message::Borrow { workspace, life, number, held, returned, wanted: 0 };
        tell(daemon, fx, &lender, message);
    }
}

/// Writes off loans of borrowers that have been silent for long, and drops expired tokens.
pub fn upkeep(account: &mut Account, now: Now) {
    account.loans.retain(|_, loan| {
        if now.mono >= loan.asked + WRITE_OFF {
            loan.outstanding = 0;
        }
        loan.outstanding > 0 || now.mono < loan.asked + WRITE_OFF * 6
    });
    account.purses.values_mut().for_each(|purse| purse.refresh(now));
}
