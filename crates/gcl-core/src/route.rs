//! Routing rules: which database a request belongs to, and whether it may be written there.
//!
//! The rules, databases and workspace labels that place a request have one revision, carried by a
//! forwarded request. A home runs it only at that very revision, so both ends placed it alike; a
//! change that moves route keys closes them first and opens them elsewhere only after every daemon
//! that may still hold the older revision has stopped (see [`crate::config::transition`]).

use crate::{
    code::{Code, Fault, Result},
    config::{placement::Placement, snapshot::Snapshot},
    id, rendezvous,
    run::{Access, Run},
};
use compact_str::format_compact;
use std::time::Duration;

/// Where a request belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The database.
    pub database: id::Database,
    /// The rule that says so.
    pub rule: id::Rule,
    /// The revision of the last change that may place the request elsewhere.
    pub revision: id::Revision,
    /// Greatest age of data for reads that state none.
    pub max_age: Duration,
    /// Whether the rule needs no key.
    pub open: bool,
    /// Whether the place takes writes now.
    pub writable: bool,
}

/// Places a request of a workspace; equal route keys go to the same database.
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

/// Whether some rule of a service needs no key for requests of a workspace.
#[must_use]
pub fn admits_without_key(snapshot: &Snapshot, workspace: &str, service: &str) -> bool {
    let labels = snapshot.workspaces.get(workspace).map(|found| &found.value.labels);
    let placement = snapshot.placements.get(service);
    let route = placement.and_then(|placement| placement.route(labels));
    route.is_some_and(|route| route.open)
}

/// Refuses a write whose route key is being moved.
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

/// When a write of a closed route key is worth another try.
const CLOSED_RETRY: Duration = Duration::from_secs(1);
/// When a request refused for its revision is worth another try.
const MISMATCH_RETRY: Duration = Duration::from_millis(100);

/// Checks at a home that a forwarded request was placed by the rules that the home holds.
///
/// # Errors
/// [`Code::RevisionMismatch`] when one side is behind, or the database is unknown here;
/// [`Code::RouteClosed`] when no rule here lets the workspace write to the database.
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

/// The revision of the last change that may place requests of a workspace elsewhere.
fn revision(snapshot: &Snapshot, placement: &Placement, workspace: &str) -> id::Revision {
    if !placement.labelled {
        return placement.revision;
    }
    let held = snapshot.workspaces.get(workspace).map(|found| found.revision);
    placement.revision.max(held.unwrap_or_else(|| snapshot.removal("workspace", workspace)))
}
