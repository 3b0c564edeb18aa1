//! Membership: which daemons are alive, and which of them is the home of a backend server, the
//! daemon that holds the connections to it.
//!
//! The protocol is similar to SWIM. Each daemon probes a few neighbours of its failure domain in
//! turn. An unanswered probe is repeated through other daemons; if that fails too, the neighbour is
//! suspected, and declared dead unless it refutes the suspicion in time. Rumors, each of which
//! states what is known about one daemon, are piggybacked on probes and their answers, with a
//! digest (hash) of the sender's whole list; a daemon whose digest remains different requests the
//! list. Between failure domains only a few delegates of each, drawn by rendezvous hashing, probe
//! one another, so that connections and cross-region traffic do not grow with the fleet.
//!
//! The platform's list of VMs lags behind the fleet. It is used only to discover daemons and to
//! remove dead ones, never as evidence that a daemon is alive or dead. Only a few delegates read
//! it, at a low rate.
//!
//! Cost: a daemon sends about three probes and three answers a second, of about 100 bytes each
//! without rumors; a message carries at most six rumors. The list takes a few hundred bytes for
//! each member.

mod gossip;
mod list;
mod owner;
mod probe;

pub use self::{
    list::{Rumor, Status},
    owner::home,
};
use crate::{
    effect::Effects,
    id, peer,
    state::State as Daemon,
    store::{self, Op, Reply},
    time::Now,
    timer,
};
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Interval of the protocol's periodic work.
const TICK: Duration = Duration::from_millis(100);
/// Mean time between two reads of the platform's list by one delegate.
const VMS_INTERVAL: Duration = Duration::from_mins(2);
/// Maximum wait for the platform's list.
const VMS_TIMEOUT: Duration = Duration::from_secs(5);

/// Messages of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A probe, answered by [`Message::Ack`].
    Ping {
        /// Repeated in the answer.
        number: u64,
        /// Piggybacked gossip.
        news: gossip::Payload,
    },
    /// The answer to a probe.
    Ack {
        /// The number of the probe.
        number: u64,
        /// Piggybacked gossip.
        news: gossip::Payload,
    },
    /// Asks the receiver to probe another daemon for the sender.
    Relay {
        /// Repeated in the answer.
        number: u64,
        /// The daemon to probe.
        target: id::Daemon,
    },
    /// The target of the [`Message::Relay`] with this number answered.
    Relayed(u64),
    /// Requests the whole list.
    Pull {
        /// The sender's own entry, since it may not be known to the receiver.
        own: Rumor,
    },
    /// The whole list.
    List(Vec<Rumor>),
    /// The sender is leaving.
    Leave(Rumor),
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The daemon's name.
    pub daemon: id::Daemon,
    /// The daemon's failure domain.
    pub domain: id::Domain,
    /// Address of the daemon's peer port as `ip:port`.
    pub address: CompactString,
    /// The daemon's incarnation, zero if unknown.
    pub incarnation: id::Incarnation,
    /// Whether the daemon is alive, and so can be the home of servers.
    pub alive: bool,
}

/// The membership state of a daemon.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// All known daemons except this one, by name.
    pub members: IndexMap<id::Daemon, Member>,
    list: list::List,
    gossip: gossip::Queue,
    probe: probe::Probes,
    owner: owner::Cache,
    vms_call: Option<id::Call>,
    vms_due: Duration,
}

/// Adds the seeds from the settings and starts the protocol.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    list::start(daemon, now);
    for seed in daemon.settings.seeds.clone() {
        let rumor = Rumor {
            daemon: seed.daemon,
            domain: seed.domain,
            address: seed.address,
            ..Rumor::default()
        };
        list::introduce(daemon, now, rumor);
    }
    list::notify_changes(daemon, now, fx);
    let names: Vec<_> = daemon.member.members.keys().cloned().collect();
    let seeds = daemon.settings.seeds.iter().map(|seed| &seed.daemon);
    let seeds: Vec<_> = seeds.filter(|seed| names.contains(seed)).cloned().collect();
    for seed in seeds {
        gossip::request_list(daemon, fx, &seed);
    }
    daemon.member.vms_due = now.mono;
    fx.arm(timer::Key::Probe, now.mono + TICK);
}

/// Whether a daemon is alive; this one always is.
#[must_use]
pub fn is_alive(daemon: &Daemon, name: &id::Daemon) -> bool {
    let member = daemon.member.members.get(name);
    *name == daemon.settings.daemon || member.is_some_and(|member| member.alive)
}

/// Sends a message to a daemon, which may be this one.
pub fn send(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon, message: peer::Message) {
    let address = daemon.member.members.get(to).map(|member| member.address.clone());
    let address = address.unwrap_or_default();
    fx.push(crate::effect::Effect::Peer { to: to.clone(), address, message });
}

fn send_message(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon, message: Message) {
    send(daemon, fx, to, peer::Message::Member(message));
}

/// Handles the probe timer.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    fx.arm(timer::Key::Probe, now.mono + TICK);
    probe::tick(daemon, now, fx);
    list::expire_suspects(daemon, now);
    list::notify_changes(daemon, now, fx);
    request_vms(daemon, now, fx);
}

/// Handles contact with a daemon, that is, the arrival of any message from it.
pub fn on_contact(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    incarnation: id::Incarnation,
) {
    if list::record_contact(daemon, now, from, incarnation) {
        probe::ping(daemon, now, fx, from);
    }
}

/// Handles the loss of the stream to a daemon: probes it at once.
pub fn on_lost(daemon: &mut Daemon, now: Now, fx: &mut Effects, lost: &id::Daemon) {
    if is_alive(daemon, lost) && *lost != daemon.settings.daemon {
        probe::ping(daemon, now, fx, lost);
    }
}

/// Handles a membership message from another daemon.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: Message,
) {
    match message {
        Message::Ping { number, news } => {
            gossip::receive(daemon, now, fx, from, news);
            let news = gossip::payload(daemon, from);
            send_message(daemon, fx, from, Message::Ack { number, news });
        }
        Message::Ack { number, news } => {
            gossip::receive(daemon, now, fx, from, news);
            probe::on_ack(daemon, fx, from, number);
        }
        Message::Relay { number, target } => {
            probe::on_relay(daemon, now, fx, from, number, &target);
        }
        Message::Relayed(number) => probe::on_relayed(daemon, number),
        Message::Pull { own } => {
            list::merge_and_spread(daemon, now, own);
            send_message(daemon, fx, from, Message::List(list::all(daemon)));
        }
        Message::List(rumors) => {
            for rumor in rumors {
                list::merge(daemon, now, rumor);
            }
        }
        Message::Leave(rumor) => {
            list::merge_and_spread(daemon, now, rumor);
        }
    }
    list::notify_changes(daemon, now, fx);
}

/// Reads the platform's list when due, if this daemon is a delegate or knows no other daemon.
fn request_vms(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.member.vms_due > now.mono || daemon.member.vms_call.is_some() {
        return;
    }
    daemon.member.vms_due = now.mono + daemon.random.jitter(VMS_INTERVAL);
    let me = daemon.settings.daemon.clone();
    if !daemon.member.members.is_empty() && !probe::delegates(daemon).contains(&me) {
        return;
    }
    let call = daemon.counters.call();
    daemon.member.vms_call = Some(call);
    fx.store(store::Call { call, op: Op::Vms, timeout: VMS_TIMEOUT });
}

/// Handles an event of the store. Returns whether it was for this module.
pub fn on_store(daemon: &mut Daemon, now: Now, fx: &mut Effects, event: &store::Event) -> bool {
    let store::Event::Answered { call, result } = event else {
        return false;
    };
    if daemon.member.vms_call != Some(*call) {
        return false;
    }
    daemon.member.vms_call = None;
    if let Ok(Reply::Vms(vms)) = result {
        list::on_vms(daemon, now, vms);
        list::notify_changes(daemon, now, fx);
    }
    true
}

/// Announces to other daemons that this one is leaving.
pub fn drain(daemon: &mut Daemon, _now: Now, fx: &mut Effects) {
    let rumor = list::mark_left(daemon);
    for name in probe::targets(daemon) {
        send_message(daemon, fx, &name, Message::Leave(rumor.clone()));
    }
}
