//! Cold servers get no more requests in a second than they bear, from all daemons together.

use super::world::{DATABASE, World};
use gcl_direct::config::Database;
use std::time::Duration;
use test_case::test_case;

/// Requests a second that a cold server bears.
const RATE: f64 = 10.0;
/// The limit for any second: the rate with the deployment's excess and slack.
const LIMIT: usize = 20;

/// The most commands that reached a server within a second.
fn busiest_second(world: &World, server: &str) -> usize {
    let times: Vec<_> =
        world.commands.iter().filter(|(_, _, name)| name == server).map(|(at, ..)| *at).collect();
    let within = |from: &u64| times.iter().filter(|at| (*from..*from + 1000).contains(*at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

fn load(world: &mut World, service: &str, rounds: usize, text: &str) {
    for _ in 0..rounds {
        for daemon in 0..world.nodes.len().min(12) {
            let session = world.login(daemon, service, "key");
            world.send(session, text);
        }
        world.run(20);
        world.replicate();
    }
}

#[test_case("b", "bounded", "READ 1", 8; "a replica in a small fleet")]
#[test_case("b", "bounded", "READ 1", 62; "a replica in a fleet with entries")]
#[test_case("a", "latest", "WRITE 1 x", 8; "a primary in a small fleet")]
#[test_case("a", "latest", "WRITE 1 x", 62; "a primary in a fleet with entries")]
fn a_cold_server_gets_no_more_than_it_bears(
    server: &str,
    service: &str,
    text: &str,
    daemons: usize,
) {
    let mut world = World::new(daemons);
    world.configure(|config| {
        let limits = Database { connections: 46, cold_rate: RATE, synchronous_replicas: 0 };
        config.databases.insert(DATABASE.into(), limits);
    });
    world.run(13_000);
    load(&mut world, service, 5, text);
    world.update_entry(server, |entry| entry.cold_left = Duration::from_secs(6));
    world.run(400);
    world.commands.clear();
    load(&mut world, service, 120, text);
    let most = busiest_second(&world, server);
    assert!(most <= LIMIT, "{most} commands in a second");
    world.run(4000);
    world.commands.clear();
    load(&mut world, service, 60, text);
    let later = busiest_second(&world, server);
    assert!(server != "a" || later > LIMIT, "it is used again once it is warm: {later}");
}
