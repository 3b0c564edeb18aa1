//! Assignment of backend servers to homes, by rendezvous hashing among the live daemons. The result
//! is cached until the live members or the configuration change.

use crate::{id, random, rendezvous, state::State as Daemon};
use indexmap::IndexMap;
use std::cell::RefCell;

/// A cache of the homes, valid until the live members or the configuration change.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    inner: RefCell<Entries>,
}

#[derive(Clone, Debug, Default)]
struct Entries {
    epoch: u64,
    members: usize,
    revision: id::Revision,
    homes: IndexMap<id::Server, id::Daemon>,
    /// The live daemons of each failure domain, with the rendezvous hash of each name.
    domains: IndexMap<id::Domain, Vec<(u64, id::Daemon)>>,
}

/// The home of a server: its rendezvous owner among the live daemons of its failure domain, else of
/// its region, else of the whole fleet.
#[must_use]
pub fn home(daemon: &Daemon, server: &id::Server) -> Option<id::Daemon> {
    let mut entries = daemon.member.owner.inner.try_borrow_mut().ok()?;
    refresh(&mut entries, daemon);
    let known = entries.homes.get(server);
    if let Some(home) = known.filter(|home| super::is_alive(daemon, home)) {
        return Some(home.clone());
    }
    if known.is_some() {
        entries.domains = alive_by_domain(daemon);
    }
    let home = compute_home(&entries, daemon, server)?;
    entries.homes.insert(server.clone(), home.clone());
    Some(home)
}

fn refresh(entries: &mut Entries, daemon: &Daemon) {
    let epoch = daemon.member.list.epoch;
    let members = daemon.member.members.len();
    let revision = daemon.config.snapshot.revision;
    let same = (entries.epoch, entries.members, entries.revision) == (epoch, members, revision);
    if !same || entries.domains.is_empty() {
        let (homes, domains) = (IndexMap::new(), alive_by_domain(daemon));
        *entries = Entries { epoch, members, revision, homes, domains };
    }
}

fn alive_by_domain(daemon: &Daemon) -> IndexMap<id::Domain, Vec<(u64, id::Daemon)>> {
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

fn compute_home(entries: &Entries, daemon: &Daemon, server: &id::Server) -> Option<id::Daemon> {
    let snapshot = &daemon.config.snapshot;
    let domain = &snapshot.server(server)?.domain;
    if let Some(local) = entries.domains.get(domain) {
        return highest_weight(server, local.iter());
    }
    let region = snapshot.region(domain);
    let near = |place: &id::Domain| !region.is_empty() && snapshot.region(place) == region;
    let all = || entries.domains.iter();
    let regional = all().filter(|(place, _)| near(place)).flat_map(|(_, names)| names);
    highest_weight(server, regional)
        .or_else(|| highest_weight(server, all().flat_map(|(_, names)| names)))
}

fn highest_weight<'a>(
    server: &id::Server,
    names: impl Iterator<Item = &'a (u64, id::Daemon)>,
) -> Option<id::Daemon> {
    let key = rendezvous::hash(server);
    let best = names.max_by_key(|(hash, name)| (random::mix(key ^ hash), name.len()));
    best.map(|(_, name)| name.clone())
}
