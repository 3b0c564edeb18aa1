//! What a daemon is told at its start.

use compact_str::CompactString;
use gcl_core::id;
use indexmap::IndexMap;
use std::time::Duration;

/// Bounds that the deployment promises its users.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the order to stop until the process is killed.
    pub grace: Duration,
    /// The window over which a workspace's operations are counted.
    pub rate_window: Duration,
    /// Part of a workspace's limit that may be exceeded within the window.
    pub rate_excess: f64,
    /// Operations beyond that part that may be exceeded within the window.
    pub rate_slack: f64,
    /// Shortest lease that the store grants.
    pub lease_min: Duration,
}

/// Who a daemon is.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name.
    pub daemon: id::Daemon,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The region of each failure domain.
    pub regions: IndexMap<id::Domain, id::Region>,
    /// Where it hears other daemons, `ip:port`.
    pub peer_address: CompactString,
    /// What its VM can carry, in thousandths of a core.
    pub millicores: u32,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}

/// What became of new settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Settings that changed and are in force.
    pub applied: Vec<&'static str>,
    /// Settings that changed in the file and are in force from the next start on.
    pub kept: Vec<&'static str>,
}

impl Settings {
    /// Takes over what may change while the daemon runs: the map of failure domains and the bounds.
    /// Who the daemon is and where it listens stay as they were at its start.
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

    /// How far a failure domain is: zero for the daemon's own, one for its region, two beyond.
    #[must_use]
    pub fn distance(&self, domain: &str) -> u8 {
        if self.domain == domain {
            return 0;
        }
        let own = self.regions.get(&self.domain);
        if own.is_some() && own == self.regions.get(domain) { 1 } else { 2 }
    }
}
