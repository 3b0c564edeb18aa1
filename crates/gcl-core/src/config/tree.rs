//! The distribution tree: which daemons watch the store, and which daemon each other one polls.
//!
//! The live daemons of a failure domain are ranked by rendezvous hashing. The first few are its
//! relays and watch the store; each other daemon has a parent among those of higher rank, so that
//! the number of children of a daemon is bounded. Daemons with different views of the members may
//! choose different parents, which is harmless: any daemon responds to any other.

use crate::{id, rendezvous, state::State as Daemon};
use indexmap::IndexMap;
use std::cmp::Reverse;

/// Daemons that watch the store in each failure domain.
pub const RELAYS_PER_DOMAIN: usize = 3;
/// Most children of one daemon.
const FANOUT: usize = 16;
/// The rendezvous key of the ranking.
const RANKING_KEY: &str = "config";

/// The position of this daemon in the tree.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Role {
    /// Whether it watches the store itself.
    pub relay: bool,
    /// The daemon that it polls otherwise.
    pub parent: Option<id::Daemon>,
}

/// The role of this daemon among the members that it considers alive.
#[must_use]
pub fn role(daemon: &Daemon) -> Role {
    let me = &daemon.settings.daemon;
    let ranked = ranked_daemons(daemon, &daemon.settings.domain);
    let rank = ranked.iter().position(|name| name == me).unwrap_or_default();
    match rank.checked_sub(RELAYS_PER_DOMAIN) {
        None => Role { relay: true, parent: None },
        Some(beyond) => Role { relay: false, parent: ranked.get(beyond / FANOUT).cloned() },
    }
}

/// The relays of a domain in this daemon's view, itself included.
#[must_use]
pub fn relays(daemon: &Daemon, domain: &str) -> Vec<id::Daemon> {
    let mut ranked = ranked_daemons(daemon, domain);
    ranked.truncate(RELAYS_PER_DOMAIN);
    ranked
}

/// The relays of every domain that occurs in the configuration or among the members.
#[must_use]
pub fn all_relays(daemon: &Daemon) -> IndexMap<id::Domain, Vec<id::Daemon>> {
    let me = &daemon.settings;
    let known = daemon.config.snapshot.domains.keys();
    let seen = daemon.member.members.values().map(|member| &member.domain);
    let mut domains: IndexMap<id::Domain, Vec<id::Daemon>> = IndexMap::new();
    for domain in known.chain(seen).chain([&me.domain]) {
        if !domains.contains_key(domain) {
            domains.insert(domain.clone(), relays(daemon, domain));
        }
    }
    domains
}

fn ranked_daemons(daemon: &Daemon, domain: &str) -> Vec<id::Daemon> {
    let me = &daemon.settings;
    let members = daemon.member.members.values();
    let others = members.filter(|member| member.alive && member.domain == domain);
    let mut names: Vec<id::Daemon> = others.map(|member| member.daemon.clone()).collect();
    if me.domain == domain {
        names.push(me.daemon.clone());
    }
    names.sort_by_cached_key(|name| Reverse(rendezvous::weight(RANKING_KEY, name)));
    names
}
