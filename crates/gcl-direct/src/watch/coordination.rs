//! The coordination keys: registrations of daemons, intentions to move primaries, revocations of
//! leases, members of databases, and markers of the settled era and of a fleet with entries.

use crate::{
    authority,
    effect::Effects,
    era, failover, group, lease,
    line::Line,
    quorum, request, revocation, role,
    state::{Member, State as Daemon},
    store::Item,
};
use gcl_core::{id, time::Now};

/// Handles coordination keys, either all of them (`full`) or those that changed.
pub(super) fn on_keys(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    items: Vec<Item>,
    full: bool,
) {
    if full {
        on_unlisted(daemon, now, &items);
    }
    for item in items {
        if let Some(name) = item.key.strip_prefix(lease::PREFIX) {
            on_member(daemon, now, fx, &id::Daemon::from(name), &item);
        } else if item.key == role::ENTRIES_KEY {
            role::on_entries_marker(daemon, now, item.value.is_some());
        } else if item.key == era::SETTLED_KEY {
            era::on_settled_key(daemon, fx, item.value.as_deref(), item.revision);
        } else if item.key == revocation::KEY {
            revocation::on_key(daemon, now, fx, item.value.as_deref(), item.revision);
        } else if let Some(database) = item.key.strip_prefix(quorum::record::PREFIX) {
            quorum::record::on_key(daemon, now, fx, database, &item);
        } else if let Some(database) = item.key.strip_prefix(group::PREFIX) {
            on_intention(daemon, now, fx, &id::Database::from(database), &item);
        }
    }
    revocation::on_members(daemon, now);
    role::on_members(daemon, now, fx, full);
    failover::review_all(daemon, now, fx);
}

/// Handles keys that are missing from a full read. Daemons whose registrations a restore removed
/// have time to write them again.
fn on_unlisted(daemon: &mut Daemon, now: Now, items: &[Item]) {
    let listed = |key: &str| items.iter().any(|item| item.key == key);
    if era::is_restored(daemon, now) {
        let members = daemon.members.keys().filter(|name| !listed(&lease::key(name)));
        let gone: Vec<_> = members.cloned().collect();
        for name in gone {
            daemon.members.swap_remove(&name);
            daemon.watch.unlist(now, &name);
        }
    }
    quorum::record::on_unlisted(daemon, listed);
    if !listed(&lease::key(&daemon.settings.daemon)) {
        daemon.lease.revision = 0;
    }
    for (database, group) in &mut daemon.groups {
        if !listed(&group::key(database)) {
            (group.key_revision, group.key_order) = (0, 0);
        }
    }
}

fn on_member(daemon: &mut Daemon, now: Now, fx: &mut Effects, name: &id::Daemon, item: &Item) {
    if *name == daemon.settings.daemon {
        daemon.lease.revision = item.value.as_ref().map_or(0, |_| item.revision);
    }
    let Some(value) = &item.value else {
        daemon.watch.unlist(now, name);
        if daemon.members.swap_remove(name).is_some() {
            fx.log(Line::state_change("daemon gone").with("member", name));
        }
        return;
    };
    match serde_json::from_slice::<lease::Record>(value) {
        Ok(record) => {
            let before = daemon.members.get(name).map(|known| known.record.incarnation);
            if before != Some(record.incarnation) {
                let line = Line::state_change("daemon seen").with("member", name);
                fx.log(line.with("incarnation", record.incarnation));
            }
            let (lease, revision) = (item.lease, item.revision);
            daemon.watch.list(name, record.incarnation);
            daemon.members.insert(name.clone(), Member { record, lease, revision });
        }
        Err(error) => {
            let line = Line::state_change("daemon registration unreadable").with("member", name);
            fx.log(line.with("error", error));
        }
    }
}

fn on_intention(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    item: &Item,
) {
    let Some(value) = &item.value else {
        return;
    };
    let record: group::Record = match serde_json::from_slice(value) {
        Ok(record) => record,
        Err(error) => {
            let line = Line::state_change("intention unreadable").with("database", database);
            return fx.log(line.with("error", error));
        }
    };
    let ack_awaited = authority::is_held_by_lease(daemon, now);
    let order = record.order(item.revision);
    let group = daemon.groups.entry(database.clone()).or_default();
    if item.revision >= group.key_revision {
        (group.key_revision, group.key_order) = (item.revision, order);
    }
    if group.latest_move.as_ref().is_some_and(|known| known.revision >= order) {
        return;
    }
    let intention = record.intention;
    let line = Line::state_change("primary to be moved").with("database", database);
    let line = line.with("from", &intention.from).with("to", &intention.to);
    let line = line.with("by", &intention.by).with("planned", intention.planned);
    fx.log(line.with("revision", order));
    group.set_move(intention, order, now.mono, ack_awaited);
    failover::on_intention(daemon, now, database);
    if authority::primary(daemon, now, database).is_ok() {
        request::on_primary_found(daemon, now, fx, database);
    }
}
