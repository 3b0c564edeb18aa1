//! Election of hosts.
//!
//! Every daemon accepts callers. A few in each failure domain are also hosts: they are listed in
//! the store, hold the authority to use primaries and the connections to servers, and run the
//! statements of all. The others are entries, which put no load on the store or the servers. In a
//! fleet of at most [`MIN_HOSTS`] daemons all are hosts.
//!
//! Hosts elect themselves: a daemon that finds a vacancy in its failure domain waits for a random
//! delay, shorter on a larger VM, reads the list again, and becomes a host if the vacancy is still
//! there. A few hosts too many do no harm. The delay is skipped in fleets without entries, where
//! there is no competition: hosts that entries have polled for longer than a lease write a marker
//! to the store, and without that marker a daemon fills a vacancy at once. A daemon that is still
//! listed from an earlier incarnation becomes a host at once, and so does an entry that reaches no
//! host.

use crate::{
    discovery, drain,
    effect::Effects,
    gossip, home,
    line::Line,
    registration,
    state::State as Daemon,
    store::{Call, Topic},
    timer, watch,
};
use bytes::Bytes;
use gcl_core::{id, random::Random, time::Now};
use std::time::Duration;

/// Hosts in a failure domain, so that any two may be lost at once.
pub const HOSTS_PER_DOMAIN: usize = 3;
/// Minimum number of hosts in a fleet, in whichever failure domains. Up to this number, daemons of
/// a fleet without entries keep connections to all servers; a server does not accept enough for
/// more.
pub const MIN_HOSTS: usize = 12;
/// CPU capacity from which a VM is preferred as a host, in thousandths of a core.
const LARGE_VM_MILLICORES: u32 = 400;
/// Range of the random delay of large VMs at start. A new host is listed within a twentieth of it,
/// so that few daemons become hosts at the same time.
const START_SPREAD: Duration = Duration::from_millis(400);
/// Factor of this range for entries, which serve callers meanwhile.
const ENTRY_SPREAD_FACTOR: u32 = 4;
/// Factor of this range for smaller VMs, whose delay begins where that of large ones ends.
const SMALL_VM_SPREAD_FACTOR: u32 = 2;

/// Store key that marks a fleet with entries.
pub const ENTRIES_KEY: &str = "goldcrest/entries";
/// How long entries must poll a host before it writes the marker: longer than a VM that was
/// replaced stays listed.
const MARKER_AFTER: Duration = Duration::from_secs(8);
/// Gap between polls of entries after which that time starts again, and interval between attempts
/// to write the marker.
const MARKER_RETRY: Duration = Duration::from_secs(3);

/// The role of a daemon in the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// The daemon has not read the list of hosts yet.
    #[default]
    Starting,
    /// The daemon accepts callers and forwards their statements to hosts.
    Entry,
    /// The daemon accepts callers and runs statements.
    Host,
}

/// The role of this daemon, and the state of the election.
#[derive(Clone, Copy, Debug, Default)]
pub struct State {
    /// The role.
    pub current: Role,
    /// Whether the next read of the list decides on a vacancy.
    confirming: bool,
    /// Whether this entry reaches no host.
    isolated: bool,
    /// Whether the store holds the marker of a fleet with entries.
    pub has_entries: bool,
    /// When the current series of polls by entries began, and when the last poll arrived.
    polled: Option<(Duration, Duration)>,
    /// When this host last wrote the marker.
    marker_written: Option<Duration>,
}

/// The delay before a daemon fills a vacancy.
#[must_use]
pub fn vacancy_delay(role: Role, millicores: u32, random: &mut Random) -> Duration {
    let spread = match role {
        Role::Entry => START_SPREAD * ENTRY_SPREAD_FACTOR,
        Role::Starting | Role::Host => START_SPREAD,
    };
    let large = millicores >= LARGE_VM_MILLICORES;
    let (least, spread) =
        if large { (Duration::ZERO, spread) } else { (spread, spread * SMALL_VM_SPREAD_FACTOR) };
    let spread_ms = u64::try_from(spread.as_millis()).unwrap_or(u64::MAX).max(1);
    least + Duration::from_millis(random.next() % spread_ms)
}

/// The number of missing hosts, in a failure domain or in the whole fleet.
#[must_use]
pub fn vacancies<'a>(listed: impl Iterator<Item = &'a id::Domain>, domain: &id::Domain) -> usize {
    let (near, far): (Vec<_>, Vec<_>) = listed.partition(|other| *other == domain);
    HOSTS_PER_DOMAIN
        .saturating_sub(near.len())
        .max(MIN_HOSTS.saturating_sub(near.len() + far.len()))
}

/// Reads the list of hosts. When the whole system starts for the first time, this is delayed to let
/// daemons with a shorter delay become hosts first.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.settings.bootstrap {
        let delay = vacancy_delay(Role::Starting, daemon.settings.millicores, &mut daemon.random);
        daemon.timers.arm(timer::Key::Role, now.mono + delay);
    } else {
        fx.store(Call::Read(Topic::Coordination));
    }
}

/// Handles a change of the list of hosts; `read` is true if it was just read from the store.
pub fn on_members(daemon: &mut Daemon, now: Now, fx: &mut Effects, read: bool) {
    if daemon.role.current == Role::Host || daemon.drain != drain::State::Serving {
        return;
    }
    let listed = daemon.members.values().map(|member| &member.record.domain);
    let vacant = vacancies(listed, &daemon.settings.domain) > 0;
    let returns = daemon.members.contains_key(&daemon.settings.daemon);
    let confirmed = read && daemon.role.confirming && (vacant || daemon.role.isolated);
    if read {
        daemon.role.confirming = false;
    }
    if returns || confirmed {
        return become_host(daemon, now, fx, returns);
    }
    if vacant {
        // An entry may have read the store before the marker was written.
        let has_competitors = daemon.role.has_entries || daemon.role.current == Role::Entry;
        let delay =
            vacancy_delay(daemon.role.current, daemon.settings.millicores, &mut daemon.random);
        let delay = if has_competitors { delay } else { Duration::ZERO };
        if !daemon.timers.is_armed(&timer::Key::Role) {
            daemon.timers.arm(timer::Key::Role, now.mono + delay);
        }
    } else {
        daemon.timers.cancel(&timer::Key::Role);
    }
    if daemon.role.current == Role::Starting && !daemon.members.is_empty() {
        daemon.role.current = Role::Entry;
        fx.log(Line::state_change("entry").with("hosts", daemon.members.len()));
        discovery::start(daemon, now);
    }
}

/// Reads the list again to confirm a vacancy.
pub fn on_timer(daemon: &mut Daemon, fx: &mut Effects) {
    daemon.role.confirming = true;
    fx.store(Call::Read(Topic::Coordination));
}

/// Makes an entry that reaches no host a host itself, as soon as the store answers.
pub fn on_isolated(daemon: &mut Daemon, fx: &mut Effects, silent: Duration) {
    if daemon.role.current == Role::Entry && !daemon.role.confirming {
        fx.log(Line::state_change("no host is heard").millis("silent", silent));
        daemon.role.isolated = true;
        on_timer(daemon, fx);
    }
}

/// Handles a response of a host to this entry.
pub const fn on_host_reachable(daemon: &mut Daemon) {
    daemon.role.isolated = false;
}

fn become_host(daemon: &mut Daemon, now: Now, fx: &mut Effects, returns: bool) {
    daemon.role = State { current: Role::Host, confirming: false, isolated: false, ..daemon.role };
    daemon.timers.cancel(&timer::Key::Role);
    daemon.timers.cancel(&timer::Key::Discovery);
    let line = Line::state_change("host").with("listed", daemon.members.len());
    fx.log(line.with("returns", returns));
    watch::start(daemon, fx);
    registration::start(daemon, now, fx);
    gossip::start(daemon, now);
}

/// Handles a poll of an entry; writes the marker once entries have polled for long enough.
pub fn on_entry_request(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let since = match daemon.role.polled {
        Some((since, last)) if now.since(last) < MARKER_RETRY => since,
        _ => now.mono,
    };
    daemon.role.polled = Some((since, now.mono));
    let tried = daemon.role.marker_written.is_some_and(|at| now.since(at) < MARKER_RETRY);
    let due = now.since(since) >= MARKER_AFTER && daemon.role.current == Role::Host;
    if due && !daemon.role.has_entries && !tried {
        daemon.role.marker_written = Some(now.mono);
        let call = daemon.next_id();
        let value = Bytes::from_static(b"1");
        fx.store(Call::Write { call, key: ENTRIES_KEY.into(), expected: 0, value, lease: 0 });
    }
}

/// Resets the marker of a fleet with entries, which may be missing in a restored store; it is read
/// again.
pub const fn on_era(daemon: &mut Daemon) {
    (daemon.role.has_entries, daemon.role.marker_written) = (false, None);
}

/// Handles the presence or absence of the marker of a fleet with entries in the store.
pub fn on_entries_marker(daemon: &mut Daemon, now: Now, present: bool) {
    daemon.role.has_entries = present;
    home::refresh(daemon, now);
}

/// Whether a host accepts statements, as far as this daemon knows.
#[must_use]
pub fn serves(daemon: &Daemon, now: Now, name: &id::Daemon) -> bool {
    if *name == daemon.settings.daemon {
        return daemon.ready;
    }
    match daemon.role.current {
        Role::Host => gossip::serves(daemon, now, name),
        _ => daemon.discovery.serves(name),
    }
}
