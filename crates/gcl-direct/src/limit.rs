//! Rates of workspaces: operations a second, and how many may come at once, over all daemons.
//!
//! Each daemon grants its part of the rate and of the burst. The parts are equal; the excess that
//! the deployment tolerates is given out as well, since callers are spread unevenly.

use crate::{
    config::{Config, Workspace},
    settings::Bounds,
};
use gcl_core::id;
use indexmap::IndexMap;
use std::time::Duration;

/// Part of the tolerated excess that is given out; the rest covers daemons that join meanwhile.
const EXCESS_USED: f64 = 0.7;
/// Shortest time after which a refused caller is told to come back.
const RETRY_LEAST: Duration = Duration::from_millis(20);

/// What one daemon has granted of one workspace's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Account {
    level: f64,
    earned: Duration,
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

/// The part of each of `members` daemons.
#[must_use]
pub fn part(workspace: Workspace, bounds: &Bounds, members: usize) -> Part {
    #[expect(clippy::cast_precision_loss, reason = "a fleet has far fewer daemons than 2^52")]
    let members = members.max(1) as f64;
    let factor = 1.0 + bounds.rate_excess * EXCESS_USED;
    Part {
        rate: workspace.rate * factor / members,
        burst: (workspace.burst * factor + bounds.rate_slack * EXCESS_USED) / members,
    }
}

impl State {
    /// The accounts that are left under a new configuration.
    #[must_use]
    pub fn follow(&self, config: &Config) -> Self {
        let known = |name: &id::Workspace| config.workspaces.contains_key(name);
        let accounts = self.accounts.iter().filter(|(name, _)| known(name));
        Self { accounts: accounts.map(|(name, account)| (name.clone(), *account)).collect() }
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
        let account = self
            .accounts
            .entry(workspace.clone())
            .or_insert(Account { level: part.burst, earned: now });
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
