//! Log positions of primaries that another host uses.
//!
//! A replica may serve a read only once it has reached a position that is known to be recent
//! enough. While callers send such reads, a daemon that does not use the primary itself polls the
//! home in the primary's region for its position: in a large fleet the homes in other regions do
//! so, in a small fleet every daemon but the primary's home. A position is valid from the time at
//! which the primary was queried. The round trip of the poll counts towards its age, so that no
//! clocks are compared.

use crate::{
    authority,
    effect::Effects,
    group::Leader,
    home,
    link::{self, Call, Position, Request, Response},
    pool,
    state::State as Daemon,
    timer,
};
use gcl_core::{id, time::Now};
use indexmap::IndexMap;
use std::time::Duration;

/// Interval between polls for a database's position.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long polling goes on after the last read that needed a position.
const POLL_FOR: Duration = Duration::from_secs(3);
/// Age of the newest position beyond which the primary is queried again.
const MAX_AGE: Duration = Duration::from_millis(200);

/// Until when positions of each database are polled.
pub type State = IndexMap<id::Database, Duration>;

/// Starts or prolongs the polling of a database's position.
pub fn subscribe(daemon: &mut Daemon, now: Now, database: &id::Database) {
    let until = daemon.positions.entry(database.clone()).or_default();
    let idle = *until <= now.mono;
    *until = now.mono + POLL_FOR;
    if idle {
        daemon.timers.arm_by(timer::Key::Position(database.clone()), now.mono);
    }
}

/// Polls a database's position.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    if daemon.positions.get(database).is_none_or(|until| now.mono >= *until) {
        daemon.positions.swap_remove(database);
        return;
    }
    daemon.timers.arm(timer::Key::Position(database.clone()), now.mono + POLL_INTERVAL);
    let location = home::location(daemon, database);
    let region = location.primary.as_ref().and_then(|domain| daemon.settings.region(domain));
    let Some(region) = region else {
        return;
    };
    let homes = home::homes(daemon, now, &location, region);
    let home = homes.into_iter().find(|name| daemon.link.is_usable(name)).cloned();
    match home {
        Some(home) if home != daemon.settings.daemon => {
            link::send(daemon, fx, &home, Request::Position(database.clone(), now.mono));
        }
        _ => refresh(daemon, now, fx, database),
    }
}

/// Queries the primary for its position unless a recent one is known.
fn refresh(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let newest = daemon.groups.get(database).and_then(|group| group.history.newest(now.mono));
    if newest.is_some_and(|(_, age)| age < MAX_AGE) {
        return;
    }
    if let Leader::Known(primary) = authority::leader(daemon, database) {
        pool::poll_position(daemon, now, fx, &primary);
    }
}

/// Handles a request for a database's newest known position.
pub fn on_request(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    link: link::Id,
    database: id::Database,
    requested: Duration,
) {
    refresh(daemon, now, fx, &database);
    let newest = daemon.groups.get(&database).and_then(|group| group.history.newest(now.mono));
    fx.link(Call::Respond(link, Response::Position(Position { database, requested, newest })));
}

/// Handles a position from another host.
pub fn on_position(daemon: &mut Daemon, now: Now, fx: &mut Effects, position: &Position) {
    let Some((mark, age)) = position.newest.filter(|_| position.requested <= now.mono) else {
        return;
    };
    // The response was sent after the request, so the position is at most this old at the request.
    let at_most = now.since(position.requested).saturating_add(age);
    fx.observe("gcl_position_age_seconds", &position.database, at_most);
    let group = daemon.groups.entry(position.database.clone()).or_default();
    group.history.observe_aged(position.requested, age, mark);
}
