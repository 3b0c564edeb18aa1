//! Routing rules: which database a request belongs to.

use crate::{
    code::{Code, Fault, Result},
    config::{object::Rule, snapshot::Snapshot},
    id, rendezvous,
};
use std::time::Duration;

/// Where a request belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The database.
    pub database: id::Database,
    /// The rule that says so.
    pub rule: id::Rule,
    /// The revision of the rule's last change.
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
pub fn place(
    snapshot: &Snapshot,
    workspace: &str,
    service: &str,
    route_key: &str,
) -> Result<Place> {
    if !snapshot.services.contains_key(service) {
        return Err(Fault::new(Code::UnknownService, "no such database service"));
    }
    let _ = workspace;
    let rules = snapshot.rules.values().filter(|rule| rule.value.service == service);
    let rule = rules
        .max_by_key(|rule| rule.value.priority)
        .ok_or_else(|| Fault::new(Code::NoRule, "no routing rule admits the request"))?;
    let database = owner(snapshot, &rule.value, route_key)
        .ok_or_else(|| Fault::new(Code::NoRule, "the rule selects no database"))?;
    Ok(Place {
        database,
        rule: rule.value.name.clone(),
        revision: rule.revision,
        max_age: Duration::from_millis(rule.value.max_age_ms),
        open: rule.value.open,
        writable: true,
    })
}

fn owner(snapshot: &Snapshot, rule: &Rule, route_key: &str) -> Option<id::Database> {
    let databases =
        snapshot.databases.values().filter(|database| database.value.service == rule.service);
    let names: Vec<&id::Database> = databases.map(|database| &database.value.name).collect();
    rendezvous::owner(route_key, names.iter(), |name| name.as_str()).map(|name| (*name).clone())
}
