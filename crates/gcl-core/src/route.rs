//! Routing: selects the database for a request and decides whether it may be written there.
//!
//! The rules, databases and workspace labels that determine a request's destination have a common
//! revision, which a forwarded request carries. A home runs the request only if its own revision is
//! the same, so that both ends have chosen the same destination. A change that moves route keys
//! first closes them and reopens them elsewhere only after every daemon that may still use the
//! older revision has stopped doing so (see [`crate::config::transition`]).

use crate::{
    code::{Code, Fault, Result},
    config::{placement::Placement, snapshot::Snapshot},
    id, rendezvous,
    run::{Access, Run},
};
use compact_str::format_compact;
use std::time::Duration;

/// The database selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The database.
    pub database: id::Database,
    /// The rule that selected it.
    pub rule: id::Rule,
    /// The revision of the last change that may have changed the destination.
    pub revision: id::Revision,
    /// The maximum age of data for reads that do not specify one.
    pub max_age: Duration,
    /// Whether the rule admits requests without a key.
    pub open: bool,
    /// Whether writes are accepted, that is, whether the route key is not being moved.
    pub writable: bool,
}

/// Selects the destination of a workspace's request; equal route keys go to the same database.
///
/// # Errors
/// [`Code::UnknownService`] or [`Code::NoRule`].
pub fn resolve(
    snapshot: &Snapshot,
    workspace: &str,
    service: &str,
    route_key: &str,
) -> Result<Destination> {
    let placement = snapshot
        .placements
        .get(service)
        .ok_or_else(|| Fault::new(Code::UnknownService, "no such database service"))?;
    let labels = snapshot.workspaces.get(workspace).map(|found| &found.value.labels);
    let route = placement.route(labels);
    let route =
        route.ok_or_else(|| Fault::new(Code::NoRule, "no routing rule admits the request"))?;
    let hash = rendezvous::hash(route_key);
    let database = route.current.owner(hash);
    let database =
        database.ok_or_else(|| Fault::new(Code::NoRule, "the rule selects no database"))?;
    Ok(Destination {
        database: database.clone(),
        rule: route.rule.clone(),
        revision: revision(snapshot, placement, workspace),
        max_age: route.max_age,
        open: route.open,
        writable: route.writable(hash),
    })
}

/// Whether the rule that applies to a workspace's requests to a service admits them without a key.
#[must_use]
pub fn admits_without_key(snapshot: &Snapshot, workspace: &str, service: &str) -> bool {
    let labels = snapshot.workspaces.get(workspace).map(|found| &found.value.labels);
    let placement = snapshot.placements.get(service);
    let route = placement.and_then(|placement| placement.route(labels));
    route.is_some_and(|route| route.open)
}

/// Checks that the destination accepts writes, that is, that its route key is not being moved.
///
/// # Errors
/// [`Code::RouteClosed`].
pub fn check_writable(destination: &Destination) -> Result<()> {
    if destination.writable {
        return Ok(());
    }
    let detail = "the route key is being moved to another database; its writes wait";
    Err(Fault::new(Code::RouteClosed, detail).retry_after(CLOSED_RETRY))
}

/// Retry hint for a write to a closed route key.
const CLOSED_RETRY: Duration = Duration::from_secs(1);
/// Retry hint for a request that was refused because of its revision.
const MISMATCH_RETRY: Duration = Duration::from_millis(100);

/// Checks at a home that a forwarded request was routed by the same rules that the home has.
///
/// # Errors
/// [`Code::RevisionMismatch`] when the revisions differ or the home does not know the database;
/// [`Code::RouteClosed`] when no rule allows the workspace to write to the database.
pub fn check_placement(snapshot: &Snapshot, run: &Run) -> Result<()> {
    let database = snapshot.databases.get(&run.database);
    let placement = database
        .and_then(|database| snapshot.placements.get(&database.value.service))
        .ok_or_else(|| mismatch(run.revision, snapshot.revision))?;
    let here = revision(snapshot, placement, &run.workspace);
    if run.revision != here {
        return Err(mismatch(run.revision, here));
    }
    let labels = snapshot.workspaces.get(&run.workspace).map(|found| &found.value.labels);
    let route = placement.route(labels);
    let placed = route.is_some_and(|route| route.current.contains(&run.database));
    if placed || run.access != Access::Write {
        return Ok(());
    }
    Err(Fault::new(Code::RouteClosed, "no rule lets the workspace write to the database"))
}

fn mismatch(theirs: id::Revision, here: id::Revision) -> Fault {
    let side = if theirs < here { "entry" } else { "home" };
    let detail = format_compact!("the {side} is behind: placed at {theirs}, held {here}");
    Fault::new(Code::RevisionMismatch, detail).retry_after(MISMATCH_RETRY)
}

/// The revision of the last change that may have changed the destination of a workspace's requests.
fn revision(snapshot: &Snapshot, placement: &Placement, workspace: &str) -> id::Revision {
    if !placement.selects_by_label {
        return placement.revision;
    }
    let held = snapshot.workspaces.get(workspace).map(|found| found.revision);
    placement.revision.max(held.unwrap_or_else(|| snapshot.removed_at("workspace", workspace)))
}
