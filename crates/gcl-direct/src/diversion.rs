//! Reads that an entry sends to the home of another region, since the one in its own has a queue.
//!
//! This concerns reads outside transactions that any server with recent data can run, on their
//! first attempt; [`crate::balance`] decides how many of them. Retries, statements for the primary
//! and transactions stay with [`crate::forward`].

use crate::{
    balance::{self, Report, Target},
    config::Freshness,
    effect::Effects,
    forward::Choice,
    home::{self, Location},
    line::Line,
    load,
    placement::PRIMARY_PENALTY,
    region,
    request::{Request, Stage},
    session::{Session, Transaction},
    state::State as Daemon,
    statement::Access,
};
use gcl_core::{id, time::Now};
use indexmap::IndexSet;
use std::time::Duration;

/// Way to a home in the own region and back.
const NEAR_PATH: Duration = Duration::from_millis(3);
/// The same to another region, with 20 ms for what the bytes cost, as in [`crate::placement`].
const FAR_PATH: Duration = Duration::from_millis(36);
/// Assumed time of a read in a slot, for those sent since the last report.
const SERVICE: Duration = Duration::from_millis(25);
/// Assumed slots of a home's servers.
const SLOTS: usize = 4;

/// A home with what is known of its load.
struct Home {
    name: id::Daemon,
    target: Target,
}

/// Sends a read elsewhere than to `choice`, if that has a queue and the home of another region
/// would serve it sooner.
pub fn divert(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    choice: Choice,
) -> Choice {
    let Some((state, request)) = eligible(daemon, session) else {
        return choice;
    };
    let database = request.route.database.clone();
    let Some(near) = nearest(daemon, now, &database, &choice) else {
        return choice;
    };
    if let Some(report) = near.target.report {
        fx.observe("gcl_load_report_age_seconds", "own region", report.age);
    }
    if near.target.cost() <= FAR_PATH {
        return choice;
    }
    let line = Line::routine("sent to another region").with("request", &request.query.id);
    let Some(far) = cheapest_beyond(daemon, now, (state, request)) else {
        return choice;
    };
    if let Some(report) = far.target.report {
        fx.observe("gcl_load_report_age_seconds", "other region", report.age);
    }
    let diverting = daemon.balance.is_diverting(now.mono, &database);
    let share = balance::diverted_share(&near.target, &far.target, diverting);
    if share <= 0.0 || !balance::is_within(share, daemon.random.next()) {
        return choice;
    }
    let line = line.with("from", &near.name).with("host", &far.name);
    let line = explain(line, ["from_wait", "from_age", "from_sent"], &near.target);
    let line = explain(line, ["wait", "age", "sent"], &far.target);
    fx.log(line.with("share", format_args!("{share:.2}")));
    fx.count("gcl_reads_diverted", &database);
    daemon.balance.on_diverted(now.mono, &database);
    Choice::Host(far.name)
}

/// Adds what is known of a home's load to a log line.
fn explain(line: Line, [wait, age, sent]: [&'static str; 3], target: &Target) -> Line {
    let line = line.with(sent, target.own);
    match target.report {
        Some(report) => line.millis(wait, report.wait).millis(age, report.age),
        None => line,
    }
}

/// A session and its statement, if that may leave its region.
fn eligible(daemon: &Daemon, session: id::Session) -> Option<(&Session, &Request)> {
    let state = daemon.sessions.get(&session)?;
    let request = state.request.as_ref()?;
    let reads = request.access == Access::Read
        && request.route.freshness != Freshness::Latest
        && !state.writes(request)
        && matches!(state.transaction, Transaction::None);
    let first = request.attempts <= 1 && request.excluded_hosts.is_empty();
    let forwards = state.origin.is_none() && home::is_enabled(daemon);
    (reads && first && forwards).then_some((state, request))
}

/// The home in this daemon's region, if that is where a statement is to run.
fn nearest(daemon: &Daemon, now: Now, database: &id::Database, choice: &Choice) -> Option<Home> {
    match choice {
        Choice::Host(name) => {
            let domain = &daemon.members.get(name)?.record.domain;
            let target = target(daemon, now, name, database, NEAR_PATH);
            (daemon.settings.distance(domain) < 2).then(|| Home { name: name.clone(), target })
        }
        Choice::Local => {
            let load = load::of_database(daemon, now, database)?;
            let wait = Duration::from_millis(load.wait_ms.into());
            let report = Some(Report { wait, age: Duration::ZERO, sent: 0 });
            let target =
                Target { path: Duration::ZERO, service: SERVICE, slots: SLOTS, own: 0, report };
            Some(Home { name: daemon.settings.daemon.clone(), target })
        }
        Choice::Unavailable | Choice::NotAllowed => None,
    }
}

/// What is known of the load of another daemon as a home.
fn target(
    daemon: &Daemon,
    now: Now,
    host: &id::Daemon,
    database: &id::Database,
    path: Duration,
) -> Target {
    let serials = daemon.link.unanswered(host).filter_map(|session| {
        let request = daemon.sessions.get(&session)?.request.as_ref()?;
        match request.stage {
            Stage::Away(_, serial) if request.route.database == *database => Some(serial),
            _ => None,
        }
    });
    let serials: Vec<_> = serials.collect();
    let last = daemon.balance.last(now.mono, host, database);
    let report = last.map(|(load, age, serial)| Report {
        wait: Duration::from_millis(load.wait_ms.into()),
        age,
        sent: serials.iter().filter(|sent| **sent > serial).count(),
    });
    Target { path, service: SERVICE, slots: SLOTS, own: serials.len(), report }
}

/// The home of another region with the lowest cost, among the regions that a read may visit and
/// that have servers of its database that are not evacuated.
fn cheapest_beyond(
    daemon: &Daemon,
    now: Now,
    (state, request): (&Session, &Request),
) -> Option<Home> {
    let location = home::location(daemon, &request.route.database);
    let own = daemon.settings.region(&daemon.settings.domain);
    let domains = location.domains.iter().filter(|domain| !location.evacuated.contains(domain));
    let regions: IndexSet<_> = domains
        .filter_map(|domain| daemon.settings.region(domain))
        .filter(|region| Some(*region) != own)
        .filter(|region| region::allows(daemon, &request.route, &state.workspace, Some(*region)))
        .collect();
    let homes = regions.into_iter().filter_map(|region| {
        let homes = home::homes(daemon, now, &location, region);
        let name = homes.into_iter().find(|name| daemon.link.is_usable(name))?;
        let last = daemon.balance.last(now.mono, name, &location.database);
        let on_primary = last.map_or_else(
            || has_only_primary(daemon, &location, region),
            |(load, ..)| load.on_primary,
        );
        let path = FAR_PATH + if on_primary { PRIMARY_PENALTY } else { Duration::ZERO };
        let target = target(daemon, now, name, &location.database, path);
        Some(Home { name: name.clone(), target })
    });
    homes.min_by_key(|home| home.target.cost())
}

/// Whether a region has no other server of a database than the primary.
fn has_only_primary(daemon: &Daemon, location: &Location, region: &id::Region) -> bool {
    let there = location.domains.iter().filter(|it| daemon.settings.region(it) == Some(region));
    let there: Vec<_> = there.collect();
    there.len() == 1 && location.primary.as_ref() == there.first().copied()
}
