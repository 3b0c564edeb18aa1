//! Who follows the store and who passes the configuration on to whom.
//!
//! The live daemons of a failure domain are ranked by rendezvous. The first few are its relays and
//! watch the store; each other daemon has a parent among those of higher rank, so that no daemon
//! serves more than a bounded number of children. Daemons whose views differ choose different
//! parents, which is harmless: any daemon answers any other.

use crate::{id, rendezvous, state::State as Daemon};
use indexmap::IndexMap;
use std::cmp::Reverse;

/// Daemons of a domain that watch the store.
pub const RELAYS_PER_DOMAIN: usize = 3;
/// Children of one daemon.
const FANOUT: usize = 16;
/// The rendezvous key of the ranking.
const RANKING_KEY: &str = "config";

/// The place of this daemon in the spread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Role {
    /// Whether it follows the store itself.
    pub relay: bool,
    /// Whom it asks otherwise.
    pub parent: Option<id::Daemon>,
}

/// The role of this daemon among the members that it knows to live.
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

/// The relays of a domain, as this daemon sees them, itself included.
#[must_use]
pub fn relays(daemon: &Daemon, domain: &str) -> Vec<id::Daemon> {
    let mut ranked = ranked_daemons(daemon, domain);
    ranked.truncate(RELAYS_PER_DOMAIN);
    ranked
}

/// The relays of every domain that the configuration or the members name.
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
