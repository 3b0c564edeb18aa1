//! Cold servers: one that has just started is slow for a while, and bears only a limited number of
//! requests a second from all daemons together.
//!
//! In a fleet with homes only the home of a cold server sends it requests. It takes half of the
//! limit, because during a change of home two daemons may act as the home. Where a server has no
//! home, each daemon takes an equal part.

use crate::{directory::Entry, home, state::State as Daemon};
use gcl_core::{id, time::Now};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// The span over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Daemons that may act as the home of a server at the same time.
const MAX_HOMES: f64 = 2.0;

/// The requests that this daemon recently sent to a cold server.
#[derive(Clone, Debug, Default)]
struct Meter {
    /// The revision of the entry that said how long the server stays cold.
    revision: id::Revision,
    until: Duration,
    sent: VecDeque<Duration>,
}

/// Cold servers.
#[derive(Clone, Debug, Default)]
pub struct State {
    meters: IndexMap<id::Server, Meter>,
}

/// Handles a server's entry, which says how long the server stays cold.
pub fn on_entry(daemon: &mut Daemon, now: Now, server: &id::Server, entry: &Entry) {
    daemon.cold.meters.retain(|_, meter| now.mono < meter.until);
    if entry.cold_left.is_zero() {
        daemon.cold.meters.swap_remove(server);
        return;
    }
    let meter = daemon.cold.meters.entry(server.clone()).or_default();
    // Reading the same entry again does not prolong the time.
    if meter.revision != entry.revision {
        meter.revision = entry.revision;
        meter.until = now.mono + entry.cold_left;
    }
}

/// Whether a server is cold and limits the requests that it gets.
#[must_use]
pub fn is_limited(daemon: &Daemon, now: Now, server: &str) -> bool {
    let meter = daemon.cold.meters.get(server);
    meter.is_some_and(|meter| now.mono < meter.until) && limit(daemon, server) > 0.0
}

/// Requests a second that all daemons together may send to a server while it is cold, zero for no
/// limit.
fn limit(daemon: &Daemon, server: &str) -> f64 {
    let database = daemon.directory.get(server).map(|entry| &entry.database);
    let config = daemon.config.as_ref();
    let limits = database.and_then(|database| config?.databases.get(database));
    let bounds = &daemon.settings.bounds;
    match limits {
        Some(limits) if limits.cold_rate > 0.0 => {
            limits.cold_rate.mul_add(bounds.cold_excess, bounds.cold_slack)
        }
        _ => 0.0,
    }
}

/// Requests that this daemon may send to a cold server within [`WINDOW`].
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the limit is positive, and both it and the fleet are far below 2^52"
)]
fn allowance(daemon: &Daemon, now: Now, server: &str) -> usize {
    let limit = limit(daemon, server);
    if home::routes_to_home(daemon, server) {
        return if home::is_home_for(daemon, server) { (limit / MAX_HOMES) as usize } else { 0 };
    }
    (limit / daemon.watch.recent_members(now).count().max(1) as f64) as usize
}

/// Requests that may be sent to a server now; no limit unless it is cold.
#[must_use]
pub fn room(daemon: &Daemon, now: Now, server: &str) -> usize {
    if !is_limited(daemon, now, server) {
        return usize::MAX;
    }
    let sent = daemon
        .cold
        .meters
        .get(server)
        .map_or(0, |meter| meter.sent.iter().filter(|at| now.since(**at) < WINDOW).count());
    allowance(daemon, now, server).saturating_sub(sent)
}

/// When a server may get another request, if it has no room now.
#[must_use]
pub fn next_room(daemon: &Daemon, now: Now, server: &str) -> Option<Duration> {
    if room(daemon, now, server) > 0 {
        return None;
    }
    let meter = daemon.cold.meters.get(server)?;
    let oldest = meter.sent.iter().find(|at| now.since(**at) < WINDOW);
    Some(oldest.map_or(meter.until, |at| *at + WINDOW).min(meter.until))
}

/// Records a request to a server.
pub fn record(daemon: &mut Daemon, now: Now, server: &str) {
    if let Some(meter) = daemon.cold.meters.get_mut(server) {
        while meter.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            meter.sent.pop_front();
        }
        meter.sent.push_back(now.mono);
    }
}
