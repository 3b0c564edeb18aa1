//! Which daemons are hosts.
//!
//! Every daemon takes callers. A few in each failure domain are hosts besides: they are listed in the
//! store, hold the right to primaries and the connections to servers, and run the statements of all.
//! The others are entries, which cost the store and the servers nothing. In a failure domain of no
//! more than [`HOSTS`] daemons all are hosts.
//!
//! No host is appointed: a daemon that finds a vacancy in its failure domain waits for a time drawn at
//! random, less on a larger VM, reads the list again, and makes itself a host if there is still one. A
//! few too many do no harm. A daemon that is still listed from an earlier life is a host again at
//! once, and an entry that hears no host makes itself one.

use crate::{
    drain,
    effect::Effects,
    follow, gossip,
    line::Line,
    member, news,
    state::State as Daemon,
    store::{Call, Topic},
    timer,
};
use gcl_core::{id, random::Random, time::Now};
use std::time::Duration;

/// Hosts of a failure domain. Any two may be lost at once.
pub const HOSTS: usize = 3;
/// What a VM carries at least that is made a host before others, in thousandths of a core.
const LARGE_MILLICORES: u32 = 400;
/// Time over which the waits of VMs that have just started are spread. A host is listed within a
/// twentieth of it, so that few make themselves hosts at the same time.
const START_SPREAD: Duration = Duration::from_millis(400);
/// How many times as long entries wait, which serve meanwhile.
const ENTRY_SPREADS: u32 = 4;
/// How many times as long the wait of a smaller VM is, and what it begins with.
const SMALL_SPREADS: u32 = 2;

/// What a daemon is to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It does not know the hosts yet.
    #[default]
    Starting,
    /// It takes callers, and sends their statements to hosts.
    Entry,
    /// It runs statements.
    Host,
}

/// This daemon's role.
#[derive(Clone, Copy, Debug, Default)]
pub struct State {
    /// The role.
    pub current: Role,
    /// Whether the next reading of the list decides.
    confirming: bool,
    /// Whether no host is heard.
    alone: bool,
}

/// How long a daemon waits before it fills a vacancy.
#[must_use]
pub fn wait(role: Role, millicores: u32, random: &mut Random) -> Duration {
    let spread = match role {
        Role::Entry => START_SPREAD * ENTRY_SPREADS,
        Role::Starting | Role::Host => START_SPREAD,
    };
    let large = millicores >= LARGE_MILLICORES;
    let (least, spread) =
        if large { (Duration::ZERO, spread) } else { (spread, spread * SMALL_SPREADS) };
    let spread_ms = u64::try_from(spread.as_millis()).unwrap_or(u64::MAX).max(1);
    least + Duration::from_millis(random.next() % spread_ms)
}

/// Hosts that are lacking among those of a failure domain.
#[must_use]
pub fn vacancies<'a>(listed: impl Iterator<Item = &'a id::Domain>, domain: &id::Domain) -> usize {
    HOSTS.saturating_sub(listed.filter(|other| *other == domain).count())
}

/// Reads the list of hosts; when the system starts for the first time, only once those have had the
/// time to make themselves hosts that wait less.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.settings.bootstrap {
        let wait = wait(Role::Starting, daemon.settings.millicores, &mut daemon.random);
        daemon.timers.arm(timer::Key::Role, now.mono + wait);
    } else {
        fx.store(Call::Read(Topic::Own));
    }
}

/// Acts on the list of hosts; `read` tells whether it was read from the store just now.
pub fn on_members(daemon: &mut Daemon, now: Now, fx: &mut Effects, read: bool) {
    if daemon.role.current == Role::Host || daemon.drain != drain::State::Serving {
        return;
    }
    let listed = daemon.members.values().map(|member| &member.record.domain);
    let vacant = vacancies(listed, &daemon.settings.domain) > 0;
    let returns = daemon.members.contains_key(&daemon.settings.daemon);
    let confirmed = read && daemon.role.confirming && (vacant || daemon.role.alone);
    if read {
        daemon.role.confirming = false;
    }
    if returns || confirmed {
        return become_host(daemon, now, fx, returns);
    }
    if vacant {
        let wait = wait(daemon.role.current, daemon.settings.millicores, &mut daemon.random);
        if !daemon.timers.is_armed(&timer::Key::Role) {
            daemon.timers.arm(timer::Key::Role, now.mono + wait);
        }
    } else {
        daemon.timers.cancel(&timer::Key::Role);
    }
    if daemon.role.current == Role::Starting && !daemon.members.is_empty() {
        daemon.role.current = Role::Entry;
        fx.log(Line::belief("entry").with("hosts", daemon.members.len()));
        news::start(daemon, now);
    }
}

/// Reads the list again to fill a vacancy.
pub fn on_timer(daemon: &mut Daemon, fx: &mut Effects) {
    daemon.role.confirming = true;
    fx.store(Call::Read(Topic::Own));
}

/// Makes an entry that hears no host one itself, as soon as the store answers.
pub fn on_alone(daemon: &mut Daemon, fx: &mut Effects, silent: Duration) {
    if daemon.role.current == Role::Entry && !daemon.role.confirming {
        fx.log(Line::belief("no host is heard").millis("silent", silent));
        daemon.role.alone = true;
        on_timer(daemon, fx);
    }
}

/// Takes note that a host is heard.
pub const fn on_company(daemon: &mut Daemon) {
    daemon.role.alone = false;
}

fn become_host(daemon: &mut Daemon, now: Now, fx: &mut Effects, returns: bool) {
    daemon.role = State { current: Role::Host, confirming: false, alone: false };
    daemon.timers.cancel(&timer::Key::Role);
    daemon.timers.cancel(&timer::Key::News);
    let line = Line::belief("host").with("listed", daemon.members.len());
    fx.log(line.with("returns", returns));
    follow::start(daemon, fx);
    member::start(daemon, now, fx);
    gossip::start(daemon, now);
}

/// Whether a host takes statements, as far as this daemon knows.
#[must_use]
pub fn serves(daemon: &Daemon, now: Now, name: &id::Daemon) -> bool {
    if *name == daemon.settings.daemon {
        return daemon.ready;
    }
    match daemon.role.current {
        Role::Host => gossip::serves(daemon, now, name),
        _ => daemon.news.serves(name),
    }
}
