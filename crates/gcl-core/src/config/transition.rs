//! Checks which changes of the routing may be made, and when, so that no route key is ever writable
//! in two databases.
//!
//! For a service and a workspace, a configuration is open on a set of databases, or closing (writes
//! to keys that move from one set to the next are rejected), or admits no requests. A daemon may
//! use an older configuration for a bounded time, the *settling time*. A step is allowed
//! immediately if no key becomes writable in another database than the one where it was last
//! writable. A step that opens keys in another database is allowed only after the configuration
//! that closed them has been in force for the settling time.

use super::{
    State,
    object::Labels,
    placement::{Placement, Route, Set},
    snapshot::{PREFIX, Snapshot},
};
use crate::{
    code::{Code, Fault, Result},
    id,
    state::State as Daemon,
    store,
    time::Now,
};
use compact_str::format_compact;
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Allowance in the settling time for requests in flight and for answers of the store.
const MARGIN: Duration = Duration::from_secs(3);

/// When the placement of services and workspaces last changed.
#[derive(Clone, Debug, Default)]
pub struct History {
    services: IndexMap<id::Service, Duration>,
    workspaces: IndexMap<id::Workspace, Duration>,
    /// The longest offline time of a workspace seen so far, in milliseconds.
    offline_ms: u64,
}

/// Records which services and workspaces a series of changes affected.
pub(crate) fn record_changes(
    config: &mut State,
    old: &IndexMap<id::Service, Placement>,
    changes: &[store::Change],
    now: Now,
) {
    for (service, placement) in &config.snapshot.placements {
        let unchanged = old.get(service).is_some_and(|old| old.routes == placement.routes);
        if !unchanged {
            config.history.services.insert(service.clone(), now.mono);
        }
    }
    let workspaces = config.snapshot.workspaces.values();
    let offline_ms = workspaces.map(|workspace| workspace.value.offline_ms).max();
    config.history.offline_ms = config.history.offline_ms.max(offline_ms.unwrap_or_default());
    let prefix = format_compact!("{PREFIX}workspace/");
    let keys = changes.iter().map(store::Change::key);
    for workspace in keys.filter_map(|key| key.strip_prefix(prefix.as_str())) {
        config.history.workspaces.insert(workspace.into(), now.mono);
    }
}

/// The time for which the placement of a service and workspace still has to stay unchanged before
/// keys may be opened in other databases; zero for a service that has never existed.
fn time_left(
    daemon: &Daemon,
    now: Now,
    series: &Series,
    service: &str,
    workspace: &str,
) -> Duration {
    let snapshot = &daemon.config.snapshot;
    let removed = snapshot.removed_at("service", service) > 0;
    let known = removed || snapshot.services.contains_key(service);
    if !known {
        return Duration::ZERO;
    }
    if series.services.contains(service) || series.workspaces.contains(workspace) {
        return settling_time(daemon);
    }
    let history = &daemon.config.history;
    let service_changed = history.services.get(service).copied().unwrap_or_default();
    let workspace_changed = history.workspaces.get(workspace).copied().unwrap_or_default();
    settling_time(daemon).saturating_sub(now.since(service_changed.max(workspace_changed)))
}

/// The time after which no daemon uses a configuration that was replaced.
#[must_use]
pub fn settling_time(daemon: &Daemon) -> Duration {
    let bounds = &daemon.settings.bounds;
    let own = bounds.freshness_ms + bounds.request_ms + daemon.config.history.offline_ms;
    Duration::from_millis(own) + MARGIN
}

/// The services and workspaces that a series of steps has affected so far.
#[derive(Clone, Debug, Default)]
pub struct Series {
    services: IndexSet<id::Service>,
    workspaces: IndexSet<id::Workspace>,
}

/// Checks a step from one configuration to another, after the earlier steps of a series that starts
/// from the configuration in force.
///
/// # Errors
/// [`Code::RouteClosed`] with the time to wait, or with what has to be done first.
pub fn check(
    daemon: &Daemon,
    now: Now,
    series: &mut Series,
    from: &Snapshot,
    to: &Snapshot,
) -> Result<()> {
    let relabelled = relabelled(from, to);
    for (service, new) in &to.placements {
        let none = Placement::default();
        let old = from.placements.get(service).unwrap_or(&none);
        let same = old.routes == new.routes;
        for case in cases(from, to, &relabelled, same) {
            let time_left = time_left(daemon, now, series, service, case.workspace);
            let is_new = is_new(&daemon.config.snapshot, case.workspace);
            check_step(service, old, new, &case, is_new, time_left)?;
        }
        if !same {
            series.services.insert(service.clone());
        }
    }
    series.workspaces.extend(relabelled.into_iter().cloned());
    Ok(())
}

/// The labels of a workspace before and after a step.
struct Case<'a> {
    workspace: &'a str,
    before: Option<&'a Labels>,
    after: Option<&'a Labels>,
}

/// Whether a workspace has never existed; false for the empty name, which stands for all workspaces
/// that do not exist.
fn is_new(snapshot: &Snapshot, name: &str) -> bool {
    let known =
        snapshot.workspaces.contains_key(name) || snapshot.removed_at("workspace", name) > 0;
    !name.is_empty() && !known
}

fn labels<'a>(snapshot: &'a Snapshot, name: &str) -> Option<&'a Labels> {
    snapshot.workspaces.get(name).map(|workspace| &workspace.value.labels)
}

/// The workspaces whose labels differ, or that are in one of the configurations only.
fn relabelled<'a>(from: &'a Snapshot, to: &'a Snapshot) -> Vec<&'a id::Workspace> {
    let names = from.workspaces.keys();
    let added = to.workspaces.keys().filter(|name| !from.workspaces.contains_key(*name));
    names.chain(added).filter(|name| labels(from, name) != labels(to, name)).collect()
}

/// The workspaces whose requests may be placed differently: if the routes differ, all of them and
/// one that does not exist.
fn cases<'a>(
    from: &'a Snapshot,
    to: &'a Snapshot,
    relabelled: &[&'a id::Workspace],
    same: bool,
) -> Vec<Case<'a>> {
    let case = |name: &'a id::Workspace| Case {
        workspace: name,
        before: labels(from, name),
        after: labels(to, name),
    };
    if same {
        return relabelled.iter().copied().map(case).collect();
    }
    let added = to.workspaces.keys().filter(|name| !from.workspaces.contains_key(*name));
    let unknown = Case { workspace: "", before: None, after: None };
    from.workspaces.keys().chain(added).map(case).chain([unknown]).collect()
}

fn check_step(
    service: &str,
    old: &Placement,
    new: &Placement,
    case: &Case<'_>,
    is_new: bool,
    time_left: Duration,
) -> Result<()> {
    let old = old.route(case.before);
    let new = new.route(case.after);
    match verdict(old, new) {
        Verdict::Immediate => Ok(()),
        Verdict::AfterSettling if is_new && old.is_none() => Ok(()),
        Verdict::AfterSettling if time_left.is_zero() => Ok(()),
        Verdict::AfterSettling => {
            let detail = format_compact!(
                "service {service}: the configuration before has to stand for {} ms more",
                time_left.as_millis()
            );
            Err(Fault::new(Code::RouteClosed, detail).retry_after(time_left))
        }
        Verdict::Forbidden => {
            let detail = format_compact!(
                "service {service}: route keys would move while they are written; set the rule's \
                 phase to closing with the new databases as next, then open it there"
            );
            Err(Fault::new(Code::RouteClosed, detail))
        }
    }
}

enum Verdict {
    Immediate,
    AfterSettling,
    Forbidden,
}

fn verdict(old: Option<&Route>, new: Option<&Route>) -> Verdict {
    let Some(new) = new.filter(|route| !route.current.is_empty()) else {
        return Verdict::Immediate;
    };
    let Some(old) = old.filter(|route| !route.current.is_empty()) else {
        return Verdict::AfterSettling;
    };
    if old.current == new.current {
        // Keys are opened where they were last written, or closed; none moves.
        return Verdict::Immediate;
    }
    let closed_for = |set: &Set| old.next.as_ref() == Some(set) || fully_closed(old);
    if closed_for(&new.current) { Verdict::AfterSettling } else { Verdict::Forbidden }
}

/// Whether the route rejects writes to every key.
fn fully_closed(route: &Route) -> bool {
    route.next.as_ref().is_some_and(Set::is_empty)
}
