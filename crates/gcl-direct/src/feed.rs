//! Positions of primaries that another host uses.
//!
//! A replica may serve a read only from a position that is known to be recent enough. The home of a
//! database in one region learns it from the home in the region of its primary, while callers ask for
//! such reads. A position holds from the time at which its primary was asked; the time that the answer
//! took to come is counted as its age, so that no clocks are compared.

use crate::{
    authority,
    effect::Effects,
    group::Leader,
    home,
    link::{self, Ask, Call, Position, Tell},
    pool,
    state::State as Daemon,
    timer,
};
use gcl_core::{id, time::Now};
use indexmap::IndexMap;
use std::time::Duration;

/// Time between questions for a database's position.
const PERIOD: Duration = Duration::from_millis(200);
/// How long positions are asked for after the last read that needed one.
const WANTED: Duration = Duration::from_secs(3);
/// Age of the newest position beyond which the primary is asked for another.
const STALE: Duration = Duration::from_millis(200);

/// Until when positions of each database are asked for.
pub type State = IndexMap<id::Database, Duration>;

/// Has positions of a database asked for; at once if none was wanted lately.
pub fn want(daemon: &mut Daemon, now: Now, database: &id::Database) {
    let until = daemon.feed.entry(database.clone()).or_default();
    let idle = *until <= now.mono;
    *until = now.mono + WANTED;
    if idle {
        daemon.timers.arm_by(timer::Key::Feed(database.clone()), now.mono);
    }
}

/// Asks for a position.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    if daemon.feed.get(database).is_none_or(|until| now.mono >= *until) {
        daemon.feed.swap_remove(database);
        return;
    }
    daemon.timers.arm(timer::Key::Feed(database.clone()), now.mono + PERIOD);
    let site = home::site(daemon, database);
    let region = site.primary.as_ref().and_then(|domain| daemon.settings.region(domain));
    let Some(region) = region else {
        return;
    };
    let homes = home::homes(daemon, now, &site, region);
    let home = homes.into_iter().find(|name| daemon.link.is_usable(name)).cloned();
    match home {
        Some(home) if home != daemon.settings.daemon => {
            link::ask(daemon, fx, &home, Ask::Position(database.clone(), now.mono));
        }
        _ => refresh(daemon, now, fx, database),
    }
}

/// Asks the primary for its position unless a recent one is known.
fn refresh(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let newest = daemon.groups.get(database).and_then(|group| group.history.newest());
    if newest.is_some_and(|(at, _)| now.since(at) < STALE) {
        return;
    }
    if let Leader::Known(primary) = authority::leader(daemon, database) {
        pool::ask(daemon, now, fx, &primary);
    }
}

/// Tells another host the newest position.
pub fn on_asked(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    link: link::Id,
    database: id::Database,
    asked: Duration,
) {
    refresh(daemon, now, fx, &database);
    let newest = daemon.groups.get(&database).and_then(|group| group.history.newest());
    let newest = newest.map(|(at, mark)| (mark, now.since(at)));
    fx.link(Call::Tell(link, Tell::Position(Position { database, asked, newest })));
}

/// Takes a position that another host tells.
pub fn on_position(daemon: &mut Daemon, now: Now, fx: &mut Effects, position: &Position) {
    let Some((mark, age)) = position.newest.filter(|_| position.asked <= now.mono) else {
        return;
    };
    // The answer was written after the question, so the position is at most this old.
    let at = position.asked.saturating_sub(age);
    fx.observe("gcl_position_age_seconds", &position.database, now.since(at));
    let group = daemon.groups.entry(position.database.clone()).or_default();
    group.history.observe(at, mark);
}
