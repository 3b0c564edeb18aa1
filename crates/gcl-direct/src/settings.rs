//! Settings of a daemon, as given by its deployment.

use compact_str::CompactString;
use gcl_core::id;
use indexmap::IndexMap;
use std::time::Duration;

/// Bounds that the deployment guarantees or requires.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Grace period from the request to stop until the process is killed.
    pub grace: Duration,
    /// The window over which a workspace's operations are counted.
    pub rate_window: Duration,
    /// Fraction of a workspace's limit by which its operations in the window may exceed it.
    pub rate_excess: f64,
    /// Number of operations, on top of that fraction, that may exceed the limit in the window.
    pub rate_slack: f64,
    /// Shortest lease that the store grants.
    pub lease_min: Duration,
    /// Time after an operator's request by which an evacuated failure domain gets no more requests.
    pub evacuation: Duration,
    /// Factor by which requests to a cold server may exceed its rate.
    pub cold_excess: f64,
    /// Number of requests a second, on top of that, that may exceed the rate.
    pub cold_slack: f64,
}

/// Identity, environment and bounds of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name.
    pub daemon: id::Daemon,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The region of each failure domain.
    pub regions: IndexMap<id::Domain, id::Region>,
    /// Its listen address for other daemons, `ip:port`.
    pub peer_address: CompactString,
    /// The CPU capacity of its VM, in thousandths of a core.
    pub millicores: u32,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}

/// The outcome of a reload.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Changed settings that are in force.
    pub applied: Vec<&'static str>,
    /// Changed settings that take effect only at the next start.
    pub kept: Vec<&'static str>,
}

impl Settings {
    /// Applies the settings that may change while the daemon runs: the regions of failure domains
    /// and the bounds. Its identity, address and capacity stay as they were at its start.
    pub fn reload(&mut self, new: Self) -> Outcome {
        let mut outcome = Outcome::default();
        for (name, same) in [
            ("daemon", self.daemon == new.daemon),
            ("domain", self.domain == new.domain),
            ("peer address", self.peer_address == new.peer_address),
            ("millicores", self.millicores == new.millicores),
        ] {
            if !same {
                outcome.kept.push(name);
            }
        }
        if self.regions != new.regions {
            self.regions = new.regions;
            outcome.applied.push("regions");
        }
        if self.bounds != new.bounds {
            self.bounds = new.bounds;
            outcome.applied.push("bounds");
        }
        outcome
    }

    /// The region of a failure domain, if it is known.
    #[must_use]
    pub fn region(&self, domain: &str) -> Option<&id::Region> {
        self.regions.get(domain)
    }

    /// The distance of a failure domain: 0 for the daemon's own, 1 within its region, 2 beyond.
    #[must_use]
    pub fn distance(&self, domain: &str) -> u8 {
        if self.domain == domain {
            return 0;
        }
        let own = self.regions.get(&self.domain);
        if own.is_some() && own == self.regions.get(domain) { 1 } else { 2 }
    }
}
