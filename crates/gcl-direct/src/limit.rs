//! Rates of workspaces: operations a second, and how many may come at once, over all daemons.
//!
//! Each daemon grants a part of the rate and of the burst, and the parts add up to the whole. A part
//! follows what the daemon's callers ask for: each daemon gets what it is asked, and an equal part of
//! what nobody asks for; when more is asked than there is, all are cut alike. Daemons tell each other
//! what they are asked ([`crate::gossip`]). An equal part is set aside for each daemon that is listed
//! and not heard, since that is what a daemon grants that hears nobody.
//!
//! The load it answers: callers spread unevenly over daemons, and a workspace that sends many times
//! its rate.

use crate::{
    config::{Config, Workspace},
    settings::Bounds,
};
use gcl_core::id;
use indexmap::IndexMap;
use std::time::Duration;

/// Part of the tolerated excess that is given out; the rest covers the time until daemons hear of
/// each other's callers.
const EXCESS_USED: f64 = 0.4;
/// Time over which what callers ask for is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(600);
/// Shortest time after which a refused caller is told to come back.
const RETRY_LEAST: Duration = Duration::from_millis(20);

/// What one daemon has granted of one workspace's rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Account {
    level: f64,
    earned: Duration,
    demand: Demand,
}

/// Operations a second that callers ask for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Demand {
    window: Duration,
    count: f64,
    before: f64,
}

impl Demand {
    fn roll(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.window);
        if passed >= DEMAND_WINDOW {
            self.before = if passed < DEMAND_WINDOW * 2 { self.count } else { 0.0 };
            self.count = 0.0;
            self.window = now;
        }
    }

    fn rate(mut self, now: Duration) -> f64 {
        self.roll(now);
        let passed = now.saturating_sub(self.window).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.before.mul_add(1.0 - passed, self.count) / DEMAND_WINDOW.as_secs_f64()
    }
}

/// How the daemons share a workspace's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Daemons that are listed, this one included.
    pub members: usize,
    /// Those of them that are heard, this one included.
    pub heard: usize,
    /// Operations a second that the daemons that are heard are asked for, this one included.
    pub asked: f64,
    /// Operations a second that this daemon is asked for.
    pub own: f64,
}

/// The accounts of a daemon.
#[derive(Clone, Debug, Default)]
pub struct State {
    accounts: IndexMap<id::Workspace, Account>,
}

/// This daemon's part of a workspace's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Operations a second.
    pub rate: f64,
    /// Operations that may come at once.
    pub burst: f64,
}

/// This daemon's part of a workspace's rate.
#[must_use]
pub fn part(workspace: Workspace, bounds: &Bounds, spread: Spread) -> Part {
    let members = count(spread.members);
    let heard = count(spread.heard.min(spread.members));
    let excess = bounds.rate_excess * EXCESS_USED;
    let whole = workspace.rate * (1.0 + excess) * heard / members;
    let idle = (whole - spread.asked).max(0.0);
    let cut = (whole / spread.asked.max(f64::MIN_POSITIVE)).min(1.0);
    let rate = spread.own.mul_add(cut, idle / heard);
    let burst = workspace.burst * (1.0 + excess) + bounds.rate_slack * EXCESS_USED;
    Part { rate, burst: burst * rate / (workspace.rate * (1.0 + excess)).max(f64::MIN_POSITIVE) }
}

#[expect(clippy::cast_precision_loss, reason = "a fleet has far fewer daemons than 2^52")]
fn count(daemons: usize) -> f64 {
    daemons.max(1) as f64
}

impl State {
    /// The accounts that are left under a new configuration.
    #[must_use]
    pub fn follow(&self, config: &Config) -> Self {
        let known = |name: &id::Workspace| config.workspaces.contains_key(name);
        let accounts = self.accounts.iter().filter(|(name, _)| known(name));
        Self { accounts: accounts.map(|(name, account)| (name.clone(), *account)).collect() }
    }

    /// Counts an operation that a caller asks for.
    pub fn ask(&mut self, now: Duration, workspace: &id::Workspace) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.demand.roll(now);
            account.demand.count += 1.0;
        }
    }

    /// Operations a second that callers ask for, by workspace, where there are any.
    pub fn demands(&self, now: Duration) -> impl Iterator<Item = (&id::Workspace, f64)> {
        let demands = self.accounts.iter().map(move |(name, it)| (name, it.demand.rate(now)));
        demands.filter(|(_, rate)| *rate > 0.0)
    }

    /// Operations a second that callers of a workspace ask for.
    #[must_use]
    pub fn demand(&self, now: Duration, workspace: &str) -> f64 {
        self.accounts.get(workspace).map_or(0.0, |account| account.demand.rate(now))
    }

    /// Takes one operation from a workspace's part.
    ///
    /// # Errors
    /// The time after which there is one, when there is none now.
    pub fn take(
        &mut self,
        now: Duration,
        workspace: &id::Workspace,
        part: Part,
    ) -> std::result::Result<(), Duration> {
        let account = self.accounts.entry(workspace.clone()).or_insert(Account {
            level: part.burst,
            earned: now,
            ..Account::default()
        });
        let passed = now.saturating_sub(account.earned).as_secs_f64();
        account.level = (account.level + passed * part.rate).min(part.burst);
        account.earned = now;
        if account.level >= 1.0 {
            account.level -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - account.level) / part.rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX);
        Err(wait.max(RETRY_LEAST))
    }
}
