//! Regions that a statement may visit: those that its route and its workspace both allow.
//!
//! A statement reaches servers of such regions only, and its text goes to daemons of such regions
//! only. The daemon that the caller is connected to is always allowed to have it.

use crate::{
    config::{Regions, Route},
    state::State as Daemon,
};
use gcl_core::{
    code::{Code, Fault},
    id,
};

/// Whether a route or a workspace restricts the regions that a statement may visit.
#[must_use]
pub fn is_restricted(daemon: &Daemon, route: &Route, workspace: &str) -> bool {
    let config = daemon.config.as_ref();
    let workspace = config.and_then(|config| config.workspaces.get(workspace));
    !route.regions.is_empty() || workspace.is_some_and(|workspace| !workspace.regions.is_empty())
}

/// Whether a route and a workspace both allow a region; an unknown region is only allowed without
/// any restriction.
#[must_use]
pub fn allows(
    daemon: &Daemon,
    route: &Route,
    workspace: &str,
    region: Option<&id::Region>,
) -> bool {
    let within = |regions: &Regions| {
        regions.is_empty() || region.is_some_and(|region| regions.contains(region))
    };
    let config = daemon.config.as_ref();
    let workspace = config.and_then(|config| config.workspaces.get(workspace));
    within(&route.regions) && workspace.is_none_or(|workspace| within(&workspace.regions))
}

/// Like [`allows`], for the region of a failure domain.
#[must_use]
pub fn allows_domain(daemon: &Daemon, route: &Route, workspace: &str, domain: &str) -> bool {
    allows(daemon, route, workspace, daemon.settings.region(domain))
}

/// The error for a statement that only a server of a region that is not allowed could run.
#[must_use]
pub fn refusal() -> Fault {
    Fault::new(Code::RegionNotAllowed, "its server is in a region that is not allowed")
}
