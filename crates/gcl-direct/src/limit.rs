//! Distributed rate limits of workspaces: operations within a sliding window, over all daemons.
//!
//! A workspace's quota for a window is its rate over the window plus its burst. Each daemon grants
//! a share of the quota, and the shares add up to the quota. A daemon's share follows the demand of
//! its callers within the window: the share covers that demand plus an equal part of the unused
//! quota; when total demand exceeds the quota, all shares are scaled down alike. Requests leave one
//! daemon's window at the rate at which they enter another's, so the sum also holds while callers
//! move. Daemons exchange their demand by gossip ([`crate::gossip`]). An equal share is reserved
//! for each listed daemon that is unreachable, since a daemon without reachable peers grants that
//! share.
//!
//! Designed for callers spread unevenly over daemons, for a workspace that sends many times its
//! rate, and for a limit that is set far below what a workspace sends.

use crate::{
    config::{Config, Rate},
    settings::Bounds,
};
use gcl_core::id;
use indexmap::IndexMap;
use std::time::Duration;

/// Fraction of the tolerated excess that is granted; the rest covers the delay until daemons
/// receive each other's demand.
const GRANTED_EXCESS: f64 = 0.45;
/// Slices of the window. One more is kept, so that a request counts for at least the window.
const SLICES: usize = 25;
/// Slices over which the rate of operations is measured and bounded.
const RATE_SLICES: u64 = 5;
/// How many times they fit into the window.
const RATES_PER_WINDOW: u32 = 5;
/// Time that those slices usually cover.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Shortest time over which a rate is measured, just after a daemon has started.
const MIN_RATE_TIME: Duration = Duration::from_millis(300);
/// Fraction of a daemon's share that it may grant within those slices: little more than an even
/// rate. It applies only to workspaces above their rate: they are served evenly, and a restarted
/// fleet, which has lost its counts, cannot grant the whole quota twice.
const EVEN_SHARE: f64 = 0.21;
/// Standard deviations of a count by which the rate of operations must exceed what the quota allows
/// before they are served evenly: a small workspace has bursts by chance.
const CERTAINTY: f64 = 2.0;
/// Classes of urgency within a workspace's rate, by the priority of the route; the last one is that
/// of all lower priorities.
const CLASSES: usize = 3;
/// Part of what a class would get by its demand alone that it always gets, so that it is not starved
/// by more urgent ones.
const GUARANTEED: f64 = 0.5;
/// Shortest retry-after of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Growth of demand, as a fraction of the quota, that is gossiped at once.
const GOSSIPED_GROWTH: f64 = 0.02;
/// Demand, as a fraction of the quota, above which growth is gossiped at once; a daemon that has
/// just started always does so.
const GOSSIPED_LEVEL: f64 = 0.5;

/// Ring buffer of counts per slice of the window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Ring {
    slices: [u32; SLICES + 1],
    slice: u64,
    sum: u32,
}

impl Ring {
    /// Moves on to `slice` and drops the counts that have left the window.
    fn advance(&mut self, slice: u64) {
        let passed = slice.saturating_sub(self.slice).min(SLICES as u64 + 1);
        for step in 1..=passed {
            let oldest = self.index(slice - passed + step);
            self.sum -= std::mem::take(&mut self.slices[oldest]);
        }
        self.slice = self.slice.max(slice);
    }

    fn add(&mut self) {
        let index = self.index(self.slice);
        self.slices[index] += 1;
        self.sum += 1;
    }

    /// The count of the last `slices` slices, the current one included.
    fn recent(&self, slices: u64) -> u32 {
        let first = self.slice.saturating_sub(slices.saturating_sub(1));
        (first..=self.slice).map(|slice| self.slices[self.index(slice)]).sum()
    }

    /// Operations a second within the last slices.
    fn rate(&self, now: Duration) -> f64 {
        let over = now.as_secs_f64().clamp(MIN_RATE_TIME.as_secs_f64(), RATE_TIME.as_secs_f64());
        f64::from(self.recent(RATE_SLICES)) / over
    }

    fn index(&self, slice: u64) -> usize {
        usize::try_from(slice % self.slices.len() as u64).unwrap_or(0)
    }
}

/// Requests and grants of one workspace at this daemon.
#[derive(Clone, Debug, Default, PartialEq)]
struct Account {
    requested: Ring,
    granted: Ring,
    /// Requests and grants by class of urgency.
    classes: [(Ring, Ring); CLASSES],
    /// Until when refused callers have been told to return.
    told: Duration,
    /// Requests within the window when the demand was last gossiped.
    reported: u32,
}

/// The accounts of a daemon, by workspace.
#[derive(Clone, Debug, Default)]
pub struct State {
    accounts: IndexMap<id::Workspace, Account>,
}

/// Demand of callers on a workspace's rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requested operations within the window.
    pub requested: f64,
    /// Recently requested operations per second.
    pub rate: f64,
}

/// The daemons that share a workspace's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fleet {
    /// Number of listed daemons, this one included.
    pub members: usize,
    /// Number of reachable daemons among them, this one included.
    pub reachable: usize,
    /// Demand at the other reachable daemons.
    pub others: Demand,
    /// Age of the oldest report in that demand.
    pub oldest_report: Duration,
}

/// The inputs of a decision on one operation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inputs {
    /// The workspace's rate limit.
    pub limit: Rate,
    /// Operations that all daemons together may grant within a window.
    pub quota: f64,
    /// Operations that this daemon may grant within a window.
    pub share: f64,
    /// Operations requested here within the window, this one included.
    pub own: u32,
    /// Operations granted here within the window.
    pub granted: u32,
    /// The daemons that share the rate.
    pub fleet: Fleet,
}

/// The refusal of an operation over its workspace's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Time until the caller may retry.
    pub retry_after: Duration,
    /// What the decision was based on.
    pub inputs: Inputs,
}

/// Operations that a workspace may use within a window, over all daemons.
#[must_use]
pub fn quota(limit: Rate, bounds: &Bounds) -> f64 {
    let base = limit.rate.mul_add(bounds.rate_window.as_secs_f64(), limit.burst);
    base.mul_add(1.0 + bounds.rate_excess * GRANTED_EXCESS, bounds.rate_slack * GRANTED_EXCESS)
}

/// Operations that this daemon may grant within a window, at a demand of `own` from its callers.
#[must_use]
pub fn share(quota: f64, fleet: Fleet, own: f64) -> f64 {
    let (members, reachable) = (count(fleet.members), count(fleet.reachable.min(fleet.members)));
    let reachable_quota = quota * reachable / members;
    let requested = own + fleet.others.requested;
    if requested <= reachable_quota {
        return own + (reachable_quota - requested) / reachable;
    }
    reachable_quota * own / requested
}

#[expect(clippy::cast_precision_loss, reason = "a fleet has far fewer daemons than 2^52")]
fn count(daemons: usize) -> f64 {
    daemons.max(1) as f64
}

/// Whether an operation is within its workspace's rate.
pub type Result = std::result::Result<(), Box<Refusal>>;

/// The class of urgency of a route's priority.
fn class(priority: u32) -> usize {
    usize::try_from(priority).unwrap_or(usize::MAX).min(CLASSES - 1)
}

impl Account {
    fn advance(&mut self, slice: u64) {
        let classes = self.classes.iter_mut().flat_map(|(requested, granted)| [requested, granted]);
        let rings = [&mut self.requested, &mut self.granted].into_iter().chain(classes);
        rings.for_each(|ring| ring.advance(slice));
    }

    /// Whether another grant stays within an even rate. The grants of an earlier incarnation are
    /// unknown, so just after a start the share opens in proportion to the time that has passed.
    fn is_even(&self, now: Duration, bounds: &Bounds, share: f64) -> bool {
        let window = bounds.rate_window.as_secs_f64().max(f64::MIN_POSITIVE);
        let opened = (now.as_secs_f64() / window).min(1.0);
        let recent = f64::from(self.granted.recent(RATE_SLICES));
        f64::from(self.granted.sum) < share * opened && recent < (share * EVEN_SHARE).max(1.0)
    }

    /// Whether a class may use more of a `share` that does not suffice for all. What more urgent
    /// classes have requested of late is kept for them, in the window and within the last slices,
    /// except for the guaranteed part of this class.
    fn leaves_room(&self, class: usize, share: f64) -> bool {
        let urgent = &self.classes[..class];
        let (_, granted) = &self.classes[class];
        // The current slice is incomplete, so one more counts. Demand that has just begun is expected
        // to last for the window.
        let requested_recently = |ring: &Ring| ring.recent(RATE_SLICES + 1);
        let demand = |ring: &Ring| ring.sum.max(requested_recently(ring) * RATES_PER_WINDOW);
        let kept: u32 = urgent.iter().map(|(requested, _)| demand(requested)).sum();
        let kept_recent: u32 =
            urgent.iter().map(|(requested, _)| requested_recently(requested)).sum();
        let part = f64::from(self.classes[class].0.sum) / f64::from(self.requested.sum.max(1));
        let guaranteed = share * part * GUARANTEED;
        let fits = |used: u32, kept: u32, share: f64, guaranteed: f64| {
            f64::from(used) < guaranteed || f64::from(used + kept) < share
        };
        let recent_share = (share * EVEN_SHARE).max(1.0);
        let recent = granted.recent(RATE_SLICES);
        class == 0
            || fits(granted.sum, kept, share, guaranteed)
                && fits(recent, kept_recent, recent_share, guaranteed * EVEN_SHARE)
    }

    /// Time until a caller may retry, if a share is renewed at `rate` operations a second. Callers
    /// that were told a time before are counted, so that they do not return together.
    fn tell(&mut self, now: Duration, bounds: &Bounds, rate: f64) -> Duration {
        let spacing = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(bounds.rate_window);
        self.told = (self.told.max(now) + spacing).min(now + RATE_TIME);
        self.told.saturating_sub(now).max(MIN_RETRY_AFTER)
    }
}

impl State {
    /// The accounts of workspaces that a new configuration still contains.
    #[must_use]
    pub fn retain_configured(&self, config: &Config) -> Self {
        let is_configured = |name: &id::Workspace| {
            config.workspaces.get(name).is_some_and(|workspace| workspace.limit.is_some())
        };
        let accounts = self.accounts.iter().filter(|(name, _)| is_configured(name));
        Self { accounts: accounts.map(|(name, account)| (name.clone(), account.clone())).collect() }
    }

    /// Demand by workspace, where there is any. What it returns counts as gossiped.
    pub fn demands(
        &mut self,
        now: Duration,
        bounds: &Bounds,
    ) -> impl Iterator<Item = (&id::Workspace, Demand)> {
        let slice = slice(now, bounds);
        self.accounts.iter_mut().filter_map(move |(name, account)| {
            account.requested.advance(slice);
            account.reported = account.requested.sum;
            let requested = f64::from(account.requested.sum);
            let demand = Demand { requested, rate: account.requested.rate(now) };
            (requested > 0.0).then_some((name, demand))
        })
    }

    /// Counts one operation of a workspace and grants it if the rate allows. The second value says
    /// whether the grown demand should be gossiped at once.
    ///
    /// # Errors
    /// This daemon's share is used up.
    pub fn try_acquire(
        &mut self,
        now: Duration,
        bounds: &Bounds,
        (workspace, priority): (&id::Workspace, u32),
        limit: Rate,
        fleet: Fleet,
    ) -> (Result, bool) {
        let (slice, quota) = (slice(now, bounds), quota(limit, bounds));
        let account = self.accounts.entry(workspace.clone()).or_default();
        account.advance(slice);
        account.requested.add();
        account.classes[class(priority)].0.add();
        let own = f64::from(account.requested.sum);
        let growth = f64::from(account.requested.sum.saturating_sub(account.reported));
        let relevant =
            own + fleet.others.requested > quota * GOSSIPED_LEVEL || now < bounds.rate_window;
        let gossip_now = relevant && growth > quota * GOSSIPED_GROWTH;
        let share = share(quota, fleet, own);
        let within = f64::from(account.granted.sum) < share;
        let over_rate =
            is_over(account.requested.rate(now) + fleet.others.rate, now, bounds, quota);
        let even = || {
            let class = class(priority);
            account.is_even(now, bounds, share) && account.leaves_room(class, share)
        };
        if within && (!over_rate || even()) {
            account.granted.add();
            account.classes[class(priority)].1.add();
            return (Ok(()), gossip_now);
        }
        // Grants leave the window at the rate at which this share is used.
        let rate = share.max(1.0) / bounds.rate_window.as_secs_f64().max(f64::MIN_POSITIVE);
        let retry_after = account.tell(now, bounds, rate);
        let (own, granted) = (account.requested.sum, account.granted.sum);
        let inputs = Inputs { limit, quota, share, own, granted, fleet };
        (Err(Box::new(Refusal { retry_after, inputs })), gossip_now)
    }
}

/// Whether operations at a `rate` a second certainly exceed a quota in the long run. After a start,
/// when the grants of an earlier incarnation are unknown, chance is not allowed for.
fn is_over(rate: f64, now: Duration, bounds: &Bounds, quota: f64) -> bool {
    let chance = if now < bounds.rate_window { 0.0 } else { CERTAINTY * rate.sqrt() };
    (rate - chance) * bounds.rate_window.as_secs_f64() > quota
}

fn slice(now: Duration, bounds: &Bounds) -> u64 {
    let width = (bounds.rate_window.as_millis() / SLICES as u128).max(1);
    u64::try_from(now.as_millis() / width).unwrap_or(u64::MAX)
}
