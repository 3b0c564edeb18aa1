//! Which daemons live, and which of them is the home of a backend server.

use crate::{effect::Effects, id, peer, rendezvous, state::State as Daemon, store, time::Now};
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Messages of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A probe, answered by [`Message::Ack`].
    Ping(u64),
    /// The answer to a probe.
    Ack(u64),
}

/// A daemon as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub daemon: id::Daemon,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Its peer port as `ip:port`.
    pub address: CompactString,
    /// Its life; zero while unknown.
    pub incarnation: id::Incarnation,
    /// Whether it takes part in homes.
    pub alive: bool,
}

/// The daemons that this one knows.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// All daemons but this one, by name.
    pub members: IndexMap<id::Daemon, Member>,
}

/// Meets the seeds of the settings.
pub fn start(daemon: &mut Daemon, _now: Now, _fx: &mut Effects) {
    let seeds = daemon.settings.seeds.clone();
    for seed in seeds.into_iter().filter(|seed| seed.daemon != daemon.settings.daemon) {
        let member = Member {
            daemon: seed.daemon.clone(),
            domain: seed.domain,
            address: seed.address,
            incarnation: 0,
            alive: true,
        };
        daemon.member.members.insert(seed.daemon, member);
    }
}

/// The home of a server: the rendezvous owner among live daemons of its failure domain, or of all
/// when none lives there.
#[must_use]
pub fn home(daemon: &Daemon, server: &id::Server) -> Option<id::Daemon> {
    let domain = &daemon.config.snapshot.server(server)?.domain;
    let me = &daemon.settings;
    let all = || {
        let others = daemon.member.members.values().filter(|member| member.alive);
        let others = others.map(|member| (&member.daemon, &member.domain));
        std::iter::once((&me.daemon, &me.domain)).chain(others)
    };
    let local: Vec<_> = all().filter(|(_, place)| *place == domain).collect();
    let candidates = if local.is_empty() { all().collect() } else { local };
    rendezvous::owner(server, candidates.iter(), |(name, _)| name.as_str())
        .map(|(name, _)| (*name).clone())
}

/// Whether a daemon is not known to be dead.
#[must_use]
pub fn lives(daemon: &Daemon, name: &id::Daemon) -> bool {
    let member = daemon.member.members.get(name);
    *name == daemon.settings.daemon || member.is_some_and(|member| member.alive)
}

/// Sends a message to a daemon, itself included.
pub fn send(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon, message: peer::Message) {
    let address = daemon.member.members.get(to).map(|member| member.address.clone());
    let address = address.unwrap_or_default();
    fx.push(crate::effect::Effect::Peer { to: to.clone(), address, message });
}

/// Acts on the probe timer.
pub fn on_timer(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects) {}

/// Notes that a message of a daemon arrived.
pub fn on_contact(
    _daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _from: &id::Daemon,
    _incarnation: id::Incarnation,
) {
}

/// Notes that the stream to a daemon broke.
pub fn on_lost(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects, _lost: &id::Daemon) {}

/// Acts on a message of another daemon.
pub fn on_message(
    _daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _from: &id::Daemon,
    _message: Message,
) {
}

/// Acts on an event of the store; tells whether it was this module's.
pub fn on_store(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects, _event: &store::Event) -> bool {
    false
}

/// Tells the others that this daemon is leaving.
pub fn drain(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects) {}
