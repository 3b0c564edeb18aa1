//! Which daemons are hosts.
//!
//! Every daemon takes callers. A few in each failure domain are hosts besides: they are listed in the
//! store, hold the right to primaries and the connections to servers, and run the statements of all.
//! The others are entries, which cost the store and the servers nothing. In a fleet of no more than
//! [`FEW`] daemons all are hosts.
//!
//! No host is appointed: a daemon that finds a vacancy in its failure domain waits for a time drawn at
//! random, less on a larger VM, reads the list again, and makes itself a host if there is still one. A
//! few too many do no harm. Where nobody competes, the wait is spared: hosts that entries have asked for
//! longer than a lease leave a mark in the store, and without it a daemon fills a vacancy at once.
//! A daemon that is still listed from an earlier life is a host again at
//! once, and an entry that hears no host makes itself one.

use crate::{
    drain,
    effect::Effects,
    gossip, home,
    line::Line,
    news, registration,
    state::State as Daemon,
    store::{Call, Topic},
    timer, watch,
};
use bytes::Bytes;
use gcl_core::{id, random::Random, time::Now};
use std::time::Duration;

/// Hosts of a failure domain. Any two may be lost at once.
pub const HOSTS: usize = 3;
/// Hosts that a fleet has at least, wherever they are. So many keep connections to all servers where
/// there are no entries; more do not find enough at a server.
pub const FEW: usize = 12;
/// What a VM carries at least that is made a host before others, in thousandths of a core.
const LARGE_MILLICORES: u32 = 400;
/// Time over which the waits of VMs that have just started are spread. A host is listed within a
/// twentieth of it, so that few make themselves hosts at the same time.
const START_SPREAD: Duration = Duration::from_millis(400);
/// How many times as long entries wait, which serve meanwhile.
const ENTRY_SPREADS: u32 = 4;
/// How many times as long the wait of a smaller VM is, and what it begins with.
const SMALL_SPREADS: u32 = 2;

/// Key of the mark of a fleet with entries.
pub const MARK: &str = "goldcrest/entries";
/// How long entries ask before the mark is left: longer than a VM that was replaced stays listed.
const MARK_AFTER: Duration = Duration::from_secs(8);
/// Pause of the entries after which that time begins anew, and between two tries to leave the mark.
const MARK_PAUSE: Duration = Duration::from_secs(3);

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
    /// Whether the store holds the mark of a fleet with entries.
    pub entries: bool,
    /// Since when entries ask this host, and when one last did.
    asked: Option<(Duration, Duration)>,
    /// When this host last wrote the mark.
    marked: Option<Duration>,
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

/// Hosts that are lacking, in a failure domain or in the whole fleet.
#[must_use]
pub fn vacancies<'a>(listed: impl Iterator<Item = &'a id::Domain>, domain: &id::Domain) -> usize {
    let (near, far): (Vec<_>, Vec<_>) = listed.partition(|other| *other == domain);
    HOSTS.saturating_sub(near.len()).max(FEW.saturating_sub(near.len() + far.len()))
}

/// Reads the list of hosts; when the system starts for the first time, only once those have had the
/// time to make themselves hosts that wait less.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.settings.bootstrap {
        let wait = wait(Role::Starting, daemon.settings.millicores, &mut daemon.random);
        daemon.timers.arm(timer::Key::Role, now.mono + wait);
    } else {
        fx.store(Call::Read(Topic::Coordination));
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
        // An entry that started before the mark was left does not know it.
        let competes = daemon.role.entries || daemon.role.current == Role::Entry;
        let wait = wait(daemon.role.current, daemon.settings.millicores, &mut daemon.random);
        let wait = if competes { wait } else { Duration::ZERO };
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
    fx.store(Call::Read(Topic::Coordination));
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
    daemon.role = State { current: Role::Host, confirming: false, alone: false, ..daemon.role };
    daemon.timers.cancel(&timer::Key::Role);
    daemon.timers.cancel(&timer::Key::News);
    let line = Line::belief("host").with("listed", daemon.members.len());
    fx.log(line.with("returns", returns));
    watch::start(daemon, fx);
    registration::start(daemon, now, fx);
    gossip::start(daemon, now);
}

/// Takes note that an entry asks this host.
pub fn on_entry(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let since = match daemon.role.asked {
        Some((since, last)) if now.since(last) < MARK_PAUSE => since,
        _ => now.mono,
    };
    daemon.role.asked = Some((since, now.mono));
    let tried = daemon.role.marked.is_some_and(|at| now.since(at) < MARK_PAUSE);
    let due = now.since(since) >= MARK_AFTER && daemon.role.current == Role::Host;
    if due && !daemon.role.entries && !tried {
        daemon.role.marked = Some(now.mono);
        let call = daemon.next_id();
        let value = Bytes::from_static(b"1");
        fx.store(Call::Write { call, key: MARK.into(), expected: 0, value, lease: 0 });
    }
}

/// Forgets the mark of a fleet with entries, which a copy of the store may lack; it is read again.
pub const fn on_era(daemon: &mut Daemon) {
    (daemon.role.entries, daemon.role.marked) = (false, None);
}

/// Takes the mark of a fleet with entries as it was read.
pub fn on_mark(daemon: &mut Daemon, now: Now, present: bool) {
    daemon.role.entries = present;
    home::refresh(daemon, now);
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
