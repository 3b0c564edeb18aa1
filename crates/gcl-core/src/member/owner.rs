//! The home of a backend server, by rendezvous among the living, remembered until they change.

use crate::{id, random, rendezvous, state::State as Daemon};
use indexmap::IndexMap;
use std::cell::RefCell;

/// Homes found since the members or the configuration last changed.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    inner: RefCell<Found>,
}

#[derive(Clone, Debug, Default)]
struct Found {
    epoch: u64,
    members: usize,
    revision: id::Revision,
    homes: IndexMap<id::Server, id::Daemon>,
    /// The living of each failure domain, with the hash that rendezvous takes of each name.
    domains: IndexMap<id::Domain, Vec<(u64, id::Daemon)>>,
}

/// The home of a server: the rendezvous owner among live daemons of its failure domain, else of the
/// nearest domain that has any: of the same region first.
#[must_use]
pub fn home(daemon: &Daemon, server: &id::Server) -> Option<id::Daemon> {
    let mut found = daemon.member.owner.inner.try_borrow_mut().ok()?;
    refresh(&mut found, daemon);
    let known = found.homes.get(server);
    if let Some(home) = known.filter(|home| super::lives(daemon, home)) {
        return Some(home.clone());
    }
    if known.is_some() {
        found.domains = living(daemon);
    }
    let home = find(&found, daemon, server)?;
    found.homes.insert(server.clone(), home.clone());
    Some(home)
}

fn refresh(found: &mut Found, daemon: &Daemon) {
    let epoch = daemon.member.list.epoch;
    let members = daemon.member.members.len();
    let revision = daemon.config.snapshot.revision;
    let same = (found.epoch, found.members, found.revision) == (epoch, members, revision);
    if !same || found.domains.is_empty() {
        let (homes, domains) = (IndexMap::new(), living(daemon));
        *found = Found { epoch, members, revision, homes, domains };
    }
}

fn living(daemon: &Daemon) -> IndexMap<id::Domain, Vec<(u64, id::Daemon)>> {
    let me = &daemon.settings;
    let others = daemon.member.members.values().filter(|member| member.alive);
    let others = others.map(|member| (&member.daemon, &member.domain));
    let mut domains: IndexMap<_, Vec<_>> = IndexMap::new();
    for (name, domain) in std::iter::once((&me.daemon, &me.domain)).chain(others) {
        let hash = random::mix(rendezvous::hash(name));
        domains.entry(domain.clone()).or_default().push((hash, name.clone()));
    }
    domains
}

fn find(found: &Found, daemon: &Daemon, server: &id::Server) -> Option<id::Daemon> {
    let snapshot = &daemon.config.snapshot;
    let domain = &snapshot.server(server)?.domain;
    if let Some(local) = found.domains.get(domain) {
        return owner(server, local.iter());
    }
    let region = snapshot.region(domain);
    let near = |place: &id::Domain| !region.is_empty() && snapshot.region(place) == region;
    let living = || found.domains.iter();
    let regional = living().filter(|(place, _)| near(place)).flat_map(|(_, names)| names);
    owner(server, regional).or_else(|| owner(server, living().flat_map(|(_, names)| names)))
}

fn owner<'a>(
    server: &id::Server,
    names: impl Iterator<Item = &'a (u64, id::Daemon)>,
) -> Option<id::Daemon> {
    let key = rendezvous::hash(server);
    let best = names.max_by_key(|(hash, name)| (random::mix(key ^ hash), name.len()));
    best.map(|(_, name)| name.clone())
}
