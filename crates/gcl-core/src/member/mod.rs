//! Which daemons live, and which of them is the home of a backend server.
//!
//! Each daemon probes a few neighbours of its failure domain in turn; a probe without an answer is
//! repeated through others, then the neighbour is suspected, and is dead unless it refutes that in
//! time. News rides on probes and their answers. Between failure domains only a few delegates of
//! each, drawn by rendezvous, probe one another, so that connections and cross-region traffic do
//! not grow with the fleet. A digest of the whole list rides along too; a daemon whose digest stays
//! different asks for the list.
//!
//! The platform's list of VMs lags. It names daemons to meet and lets the dead be forgotten, and
//! proves nothing: only a few delegates ask for it, at a slow rate.
//!
//! Cost: a daemon sends about three probes and three answers a second, of about 100 bytes when
//! there is no news; news is bounded to six items a message. The list takes a few hundred bytes for
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

/// Time between two rounds of the protocol's work.
const TICK: Duration = Duration::from_millis(100);
/// Mean time between two readings of the platform's list by one delegate.
const VMS_INTERVAL: Duration = Duration::from_mins(2);
/// Longest wait for the platform's list.
const VMS_TIMEOUT: Duration = Duration::from_secs(5);

/// Messages of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A probe, answered by [`Message::Ack`].
    Ping {
        /// Matched in the answer.
        number: u64,
        /// News.
        news: gossip::Payload,
    },
    /// The answer to a probe.
    Ack {
        /// The number of the probe.
        number: u64,
        /// News.
        news: gossip::Payload,
    },
    /// Asks the receiver to probe another daemon for the sender.
    Relay {
        /// Matched in the answer.
        number: u64,
        /// Whom to probe.
        target: id::Daemon,
    },
    /// The daemon named in [`Message::Relay`] answered.
    Relayed(u64),
    /// Asks for the whole list.
    Pull {
        /// The sender, who may be unknown.
        own: Rumor,
    },
    /// The whole list.
    List(Vec<Rumor>),
    /// The sender is leaving.
    Leave(Rumor),
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
    list: list::List,
    gossip: gossip::Queue,
    probe: probe::Probes,
    owner: owner::Cache,
    vms_call: Option<id::Call>,
    vms_due: Duration,
}

/// Meets the seeds of the settings and starts to probe.
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

/// Whether a daemon is this one or is known to live.
#[must_use]
pub fn is_alive(daemon: &Daemon, name: &id::Daemon) -> bool {
    let member = daemon.member.members.get(name);
    *name == daemon.settings.daemon || member.is_some_and(|member| member.alive)
}

/// Sends a message to a daemon, itself included.
pub fn send(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon, message: peer::Message) {
    let address = daemon.member.members.get(to).map(|member| member.address.clone());
    let address = address.unwrap_or_default();
    fx.push(crate::effect::Effect::Peer { to: to.clone(), address, message });
}

fn send_message(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon, message: Message) {
    send(daemon, fx, to, peer::Message::Member(message));
}

/// Acts on the probe timer.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    fx.arm(timer::Key::Probe, now.mono + TICK);
    probe::tick(daemon, now, fx);
    list::expire_suspects(daemon, now);
    list::notify_changes(daemon, now, fx);
    request_vms(daemon, now, fx);
}

/// Notes that a message of a daemon arrived.
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

/// Notes that the stream to a daemon broke: probes it at once.
pub fn on_lost(daemon: &mut Daemon, now: Now, fx: &mut Effects, lost: &id::Daemon) {
    if is_alive(daemon, lost) && *lost != daemon.settings.daemon {
        probe::ping(daemon, now, fx, lost);
    }
}

/// Acts on a message of another daemon.
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

/// Asks for the platform's list when this daemon is a delegate, or knows nobody.
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

/// Acts on an event of the store; tells whether it was this module's.
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

/// Tells the others that this daemon is leaving.
pub fn drain(daemon: &mut Daemon, _now: Now, fx: &mut Effects) {
    let rumor = list::mark_left(daemon);
    for name in probe::targets(daemon) {
        send_message(daemon, fx, &name, Message::Leave(rumor.clone()));
    }
}
