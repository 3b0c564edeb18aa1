//! Rates of workspaces: operations within a sliding window, over all daemons.
//!
//! A workspace may use its rate over the whole window and its burst besides. Each daemon grants a
//! part of that, and the parts add up to the whole. A part follows what the daemon's callers asked
//! for within the window: each daemon gets what it is asked, and an equal part of what nobody asks
//! for; when more is asked than there is, all are cut alike. As asks leave the window of one daemon
//! at the pace at which they enter that of another, the sum also holds while callers move. Daemons
//! tell each other what they are asked ([`crate::gossip`]). An equal part is set aside for each
//! daemon that is listed and not heard, since that is what a daemon grants that hears nobody.
//!
//! The load it answers: callers spread unevenly over daemons, a workspace that sends many times its
//! rate, and a limit that is put far below what a workspace sends.

use crate::{
    config::{Config, Workspace},
    settings::Bounds,
};
use gcl_core::id;
use indexmap::IndexMap;
use std::time::Duration;

/// Part of the tolerated excess that is given out; the rest covers the time until daemons hear of
/// each other's callers.
const EXCESS_USED: f64 = 0.45;
/// Parts into which the window is divided. One more is kept, so that an ask never counts for less
/// than the window.
const SLICES: usize = 25;
/// Slices over which the pace of operations is measured and bounded.
const PACE_SLICES: u64 = 5;
/// The time that those slices usually cover.
const PACE_TIME: Duration = Duration::from_secs(1);
/// Shortest time over which a pace is measured, in the first moments of a daemon.
const PACE_LEAST: Duration = Duration::from_millis(300);
/// Part of what a daemon may grant within the window that it may grant within those slices: little
/// more than an even pace. Only a workspace that asks for more than its rate is held to it:
/// it is served evenly, and a fleet that starts again and has forgotten what it granted cannot grant
/// it all twice.
const PACE: f64 = 0.21;
/// Shortest time after which a refused caller is told to come back.
const RETRY_LEAST: Duration = Duration::from_millis(20);
/// Growth of what is asked, as part of the whole, that other daemons are told at once.
const GROWTH_TOLD: f64 = 0.02;
/// Part of the whole above which they are; daemons that have just started always are.
const GROWTH_MATTERS: f64 = 0.5;

/// Counts of the last slices of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Ring {
    slices: [u32; SLICES + 1],
    slice: u64,
    sum: u32,
}

impl Ring {
    /// Drops what has left the window by `slice`.
    fn advance(&mut self, slice: u64) {
        let passed = slice.saturating_sub(self.slice).min(SLICES as u64 + 1);
        for step in 1..=passed {
            let oldest = self.slot(slice - passed + step);
            self.sum -= std::mem::take(&mut self.slices[oldest]);
        }
        self.slice = self.slice.max(slice);
    }

    fn add(&mut self) {
        let slot = self.slot(self.slice);
        self.slices[slot] += 1;
        self.sum += 1;
    }

    /// What the current slice and those before it hold.
    fn recent(&self, slices: u64) -> u32 {
        let first = self.slice.saturating_sub(slices.saturating_sub(1));
        (first..=self.slice).map(|slice| self.slices[self.slot(slice)]).sum()
    }

    /// Operations a second within the last slices.
    fn rate(&self, now: Duration) -> f64 {
        let over = now.as_secs_f64().clamp(PACE_LEAST.as_secs_f64(), PACE_TIME.as_secs_f64());
        f64::from(self.recent(PACE_SLICES)) / over
    }

    /// Whether another grant keeps to an even pace. What an earlier life granted is not known: for
    /// a daemon that has just started the window opens as time passes.
    fn is_even(&self, now: Duration, bounds: &Bounds, share: f64) -> bool {
        let window = bounds.rate_window.as_secs_f64().max(f64::MIN_POSITIVE);
        let opened = (now.as_secs_f64() / window).min(1.0);
        let recent = f64::from(self.recent(PACE_SLICES));
        f64::from(self.sum) < share * opened && recent < (share * PACE).max(1.0)
    }

    fn slot(&self, slice: u64) -> usize {
        usize::try_from(slice % self.slices.len() as u64).unwrap_or(0)
    }
}

/// What one daemon was asked and has granted of one workspace's rate.
#[derive(Clone, Debug, Default, PartialEq)]
struct Account {
    requested: Ring,
    granted: Ring,
    told: u32,
}

/// The accounts of a daemon.
#[derive(Clone, Debug, Default)]
pub struct State {
    accounts: IndexMap<id::Workspace, Account>,
}

/// What callers ask a daemon for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Operations within the window.
    pub requested: f64,
    /// Operations a second of late.
    pub rate: f64,
}

/// How the daemons share a workspace's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fleet {
    /// Daemons that are listed, this one included.
    pub members: usize,
    /// Those of them that are heard, this one included.
    pub reachable: usize,
    /// What the others are asked for that are heard.
    pub others: Demand,
}

/// Operations within the window that a workspace may use over all daemons.
#[must_use]
pub fn quota(workspace: Workspace, bounds: &Bounds) -> f64 {
    let plain = workspace.rate.mul_add(bounds.rate_window.as_secs_f64(), workspace.burst);
    plain.mul_add(1.0 + bounds.rate_excess * EXCESS_USED, bounds.rate_slack * EXCESS_USED)
}

/// Operations within the window that this daemon may grant, when it is asked for `own`.
#[must_use]
pub fn share(quota: f64, fleet: Fleet, own: f64) -> f64 {
    let (members, reachable) = (count(fleet.members), count(fleet.reachable.min(fleet.members)));
    let heard_whole = quota * reachable / members;
    let requested = own + fleet.others.requested;
    if requested <= heard_whole {
        return own + (heard_whole - requested) / reachable;
    }
    heard_whole * own / requested
}

#[expect(clippy::cast_precision_loss, reason = "a fleet has far fewer daemons than 2^52")]
fn count(daemons: usize) -> f64 {
    daemons.max(1) as f64
}

/// The outcome of an operation that may be over its workspace's rate; the time to come back.
pub type Result = std::result::Result<(), Duration>;

impl State {
    /// The accounts that are left under a new configuration.
    #[must_use]
    pub fn retain_configured(&self, config: &Config) -> Self {
        let known = |name: &id::Workspace| config.workspaces.contains_key(name);
        let accounts = self.accounts.iter().filter(|(name, _)| known(name));
        Self { accounts: accounts.map(|(name, account)| (name.clone(), account.clone())).collect() }
    }

    /// What callers ask for, by workspace, where they ask for anything.
    pub fn demands(
        &mut self,
        now: Duration,
        bounds: &Bounds,
    ) -> impl Iterator<Item = (&id::Workspace, Demand)> {
        let slice = slice(now, bounds);
        self.accounts.iter_mut().filter_map(move |(name, account)| {
            account.requested.advance(slice);
            account.told = account.requested.sum;
            let requested = f64::from(account.requested.sum);
            let demand = Demand { requested, rate: account.requested.rate(now) };
            (requested > 0.0).then_some((name, demand))
        })
    }

    /// Takes one operation of a workspace; the second value tells whether other daemons should hear
    /// of what is asked at once.
    ///
    /// # Errors
    /// The time after which there may be one, when this daemon's part is used up.
    pub fn try_acquire(
        &mut self,
        now: Duration,
        bounds: &Bounds,
        workspace: &id::Workspace,
        quota: f64,
        fleet: Fleet,
    ) -> (Result, bool) {
        let slice = slice(now, bounds);
        let account = self.accounts.entry(workspace.clone()).or_default();
        account.requested.advance(slice);
        account.granted.advance(slice);
        account.requested.add();
        let own = f64::from(account.requested.sum);
        let grown = f64::from(account.requested.sum.saturating_sub(account.told));
        let matters =
            own + fleet.others.requested > quota * GROWTH_MATTERS || now < bounds.rate_window;
        let tell = matters && grown > quota * GROWTH_TOLD;
        let share = share(quota, fleet, own);
        let within = f64::from(account.granted.sum) < share;
        let rate = account.requested.rate(now) + fleet.others.rate;
        let hot = rate * bounds.rate_window.as_secs_f64() > quota;
        if within && (!hot || account.granted.is_even(now, bounds, share)) {
            account.granted.add();
            return (Ok(()), tell);
        }
        // Grants leave the window at the pace at which this part is used.
        let rate = share.max(1.0) / bounds.rate_window.as_secs_f64().max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(bounds.rate_window);
        (Err(wait.clamp(RETRY_LEAST, bounds.rate_window)), tell)
    }
}

fn slice(now: Duration, bounds: &Bounds) -> u64 {
    let width = (bounds.rate_window.as_millis() / SLICES as u128).max(1);
    u64::try_from(now.as_millis() / width).unwrap_or(u64::MAX)
}
