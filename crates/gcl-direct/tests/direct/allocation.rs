//! Connections to a server from all daemons together, and which are opened and closed for whom.

use super::world::{DATABASE, World};
use gcl_core::{id, random::Random};
use gcl_direct::{
    caller::Reply,
    config::Database,
    pool::allocation::{record, to_close},
    role::Role,
};
use indexmap::IndexMap;
use std::time::Duration;
use test_case::test_case;

/// Daemons, of which 18 are hosts.
const FLEET: usize = 60;
/// Connections that a server accepts.
const LIMIT: usize = 70;
/// Workspaces that share the connections.
const WORKSPACES: usize = 81;
/// How long a server keeps the connections of a lost daemon.
const HELD_MS: u64 = 3000;

fn fleet() -> World {
    let mut world = World::with_domains(FLEET, 6);
    world.configure(|config| {
        let limits = Database { connections: LIMIT, cold_rate: 0.0, synchronous_replicas: 0 };
        config.databases.insert(DATABASE.into(), limits);
        for workspace in 0..WORKSPACES {
            let name = id::Workspace::from(format!("w{workspace}"));
            config.keys.insert(format!("key-{workspace}").into(), name);
        }
    });
    world.run(13_000);
    world
}

fn home(world: &World) -> usize {
    let is_home = |it: &usize| {
        let node = &world.nodes[*it];
        node.up && node.state.home.is_home(DATABASE) && world.region(*it) == "east"
    };
    (0..FLEET).find(is_home).expect("the database has a home")
}

/// Connections to the primary that all daemons hold, and those of the lost ones.
fn held(world: &World, lost: &[(u64, usize)]) -> usize {
    let open = |daemon: usize| {
        let state = &world.nodes[daemon].state;
        state.pools.get("a").map_or(0, |pool| pool.connections.len())
    };
    let live: usize = (0..FLEET).filter(|it| world.nodes[*it].up).map(open).sum();
    let kept = lost.iter().filter(|(at, _)| world.now_ms < at + HELD_MS);
    live + kept.map(|(_, count)| count).sum::<usize>()
}

/// Sends statements of all workspaces from all entries for a while; returns the most connections
/// that the primary had at a time, and the statements that were served.
fn load(world: &mut World, ms: u64, lost: &[(u64, usize)]) -> (usize, usize) {
    let (mut most, mut sent, until) = (0, Vec::new(), world.now_ms + ms);
    let mut next = 0;
    while world.now_ms < until {
        for _ in 0..4 {
            next += 1;
            let daemon = (next * 7) % FLEET;
            if !world.nodes[daemon].up || world.nodes[daemon].state.role.current != Role::Entry {
                continue;
            }
            let session = world.login(daemon, "latest", &format!("key-{}", next % WORKSPACES));
            world.send(session, "READ 1");
            sent.push(session);
        }
        world.run(5);
        most = most.max(held(world, lost));
    }
    world.run(2000);
    let served = sent.into_iter().filter(|session| {
        let replies = world.take_replies(*session);
        replies.iter().any(|it| matches!(it, Reply::Complete(_)))
    });
    (most, served.count())
}

/// Ways in which a home is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    None,
    Killed,
    Stopped,
    Partitioned,
    Fleet,
}

/// Fails if the shares of several daemons that consider themselves responsible for a server add up
/// to more connections than it accepts: it then resets connections in use.
#[test_case(Loss::None)]
#[test_case(Loss::Killed)]
#[test_case(Loss::Stopped)]
#[test_case(Loss::Partitioned)]
#[test_case(Loss::Fleet)]
fn the_sum_of_connections_stays_below_the_limit(failure: Loss) {
    let mut world = fleet();
    let (before, _) = load(&mut world, 2000, &[]);
    let home = home(&world);
    let open = |world: &World, daemon: usize| {
        let state = &world.nodes[daemon].state;
        state.pools.get("a").map_or(0, |pool| pool.connections.len())
    };
    let mut lost = Vec::new();
    match failure {
        Loss::None => {}
        Loss::Killed => {
            lost.push((world.now_ms, open(&world, home)));
            world.kill(home);
        }
        Loss::Stopped => world.stop(home),
        Loss::Partitioned => world.nodes[home].peers_cut = true,
        Loss::Fleet => {
            for daemon in 0..FLEET {
                lost.push((world.now_ms, open(&world, daemon)));
                world.kill(daemon);
            }
            for daemon in 0..FLEET {
                world.boot(daemon);
            }
        }
    }
    let (after, served) = load(&mut world, 9000, &lost);
    assert!(before.max(after) <= LIMIT, "{failure:?}: {before} before, {after} after");
    assert!(served > 4500, "{failure:?}: {served} of about 4900 served");
}

/// A choice of the idle connection to close: its index among those with these workspaces and times
/// of last use.
type Choice<'a> = &'a mut dyn FnMut(&[(id::Workspace, u64)], u64) -> usize;

/// Plays arrivals of [`WORKSPACES`] of different rates for 20 s, with one connection for a few
/// milliseconds each; the home is lost in between and starts with `limits[1]` connections. Returns
/// the statements for each opened connection.
fn statements_per_opening(limits: [usize; 2], seed: u64, choose: Choice<'_>) -> f64 {
    let mut random = Random::new(seed);
    let mut idle: Vec<(id::Workspace, u64)> = Vec::new();
    let (mut statements, mut opened) = (0.0, 0.0);
    for now in 0..20_000 {
        let limit = if (10_000..13_000).contains(&now) { limits[1] } else { limits[0] };
        if now == 10_000 {
            idle.clear();
        }
        if random.below(10) != 0 {
            continue;
        }
        let [a, b, c] = [(); 3].map(|()| random.below(WORKSPACES as u64));
        let workspace = id::Workspace::from(format!("w{}", a.min(b).min(c)));
        statements += 1.0;
        choose(&[(workspace.clone(), now)], now);
        if let Some(known) = idle.iter_mut().find(|(name, _)| *name == workspace) {
            known.1 = now;
            continue;
        }
        while idle.len() >= limit {
            idle.swap_remove(choose(&idle, now));
        }
        opened += 1.0;
        idle.push((workspace, now));
    }
    statements / opened
}

/// Fails if the connection that is closed for another workspace is needed earlier than others, so
/// that more connections are opened than by closing the first of the pool or the one that was idle
/// longest.
#[test_case([30, 30]; "a steady load")]
#[test_case([30, 10]; "a lost home")]
fn the_connection_needed_last_is_closed(limits: [usize; 2]) {
    for seed in 0..4 {
        let mut arrivals = IndexMap::new();
        let mut by_need = |idle: &[(id::Workspace, u64)], now: u64| {
            let now = Duration::from_millis(now);
            if let [(workspace, _)] = idle {
                record(&mut arrivals, workspace, now);
                return 0;
            }
            let idle = idle.iter().enumerate().map(|(at, (name, _))| (at as u64, name));
            to_close(idle, &arrivals, now).map_or(0, |(at, _)| at as usize)
        };
        let need = statements_per_opening(limits, seed, &mut by_need);
        let first = statements_per_opening(limits, seed, &mut |_, _| 0);
        let longest = statements_per_opening(limits, seed, &mut |idle, _| {
            (0..idle.len()).min_by_key(|at| idle[*at].1).unwrap_or(0)
        });
        assert!(need > first && need > longest, "{need}, first {first}, longest idle {longest}");
    }
}
