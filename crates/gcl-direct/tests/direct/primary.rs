//! Statements for primaries in a fleet of hosts only: they are routed to the primary's home.

use super::world::{DATABASE, World, bounds};
use gcl_core::{code::Code, id};
use gcl_direct::pool;

/// Number of daemons; callers of all of them write.
const DAEMONS: usize = 8;

fn fleet() -> World {
    let mut world = World::new(DAEMONS);
    world.run(2000);
    world
}

fn sessions(world: &mut World) -> Vec<(usize, id::Session)> {
    (0..DAEMONS).map(|daemon| world.login(daemon, "latest", "key")).collect()
}

fn home(world: &World) -> usize {
    let is_home = |it: &usize| world.nodes[*it].up && world.nodes[*it].state.home.is_home(DATABASE);
    (0..DAEMONS).find(is_home).expect("the primary has a home")
}

fn connections(world: &World, server: &str) -> usize {
    let pools = world.nodes.iter().filter_map(|node| node.state.pools.get(server));
    pools.map(|pool| pool.connections.len()).sum()
}

/// Callers of every daemon write a little. Without homes, each daemon held its own connections to
/// the primary, most of which were opened for a single statement.
#[test]
fn writes_of_all_daemons_share_the_connections_of_one() {
    let mut world = fleet();
    let sessions = sessions(&mut world);
    for _ in 0..5 {
        for session in &sessions {
            world.query(*session, "WRITE 1 x").expect("the write succeeds");
        }
    }
    assert!(connections(&world, "a") <= 2, "{} connections", connections(&world, "a"));
    assert_eq!(world.ran("a", "WRITE 1 x"), 5 * DAEMONS);
}

#[test]
fn a_transaction_stays_at_the_home() {
    let mut world = fleet();
    let sessions = sessions(&mut world);
    for session in &sessions {
        world.query(*session, "BEGIN").expect("BEGIN succeeds");
        world.query(*session, "WRITE 1 x").expect("the write succeeds");
    }
    let pool = &world.nodes[home(&world)].state.pools["a"];
    assert_eq!(pool.connections.len(), DAEMONS, "one for each transaction");
    for session in &sessions {
        world.query(*session, "COMMIT").expect("COMMIT succeeds");
    }
}

#[test]
fn a_home_that_fails_is_replaced_and_nothing_is_written_twice() {
    let mut world = fleet();
    let sessions = sessions(&mut world);
    for session in &sessions {
        world.query(*session, "WRITE 1 x").expect("the write succeeds");
    }
    let failed = home(&world);
    world.kill(failed);
    world.run(50);
    for session in sessions.iter().filter(|(daemon, _)| *daemon != failed) {
        world.query(*session, "WRITE 2 x").expect("another home serves it");
    }
    assert_eq!(world.ran("a", "WRITE 2 x"), DAEMONS - 1);
}

#[test]
fn a_home_that_cannot_reach_the_primary_is_bypassed() {
    let mut world = fleet();
    let sessions = sessions(&mut world);
    for session in &sessions {
        world.query(*session, "WRITE 1 x").expect("the write succeeds");
    }
    let home = home(&world);
    world.nodes[home].unreachable.insert("a".into());
    world.run(200);
    let others: Vec<_> = sessions.iter().filter(|(daemon, _)| *daemon != home).copied().collect();
    let mut served = 0;
    for round in 0..6 {
        for session in &others {
            served += usize::from(world.query(*session, "READ 1").is_ok());
        }
        assert!(round < 3 || served > 0, "no caller was served");
    }
    for session in &others {
        world.query(*session, "WRITE 2 x").expect("another daemon reaches the primary");
    }
    assert!(world.promotions.is_empty(), "a partition of one daemon does not move the primary");
}

/// The home counts operations forwarded by others, both hosts and entries that it has not seen yet.
#[test]
fn an_operation_counts_once_in_its_workspaces_rate() {
    let mut world = fleet();
    let home = home(&world);
    let session = world.login((home + 1) % DAEMONS, "latest", "key");
    for _ in 0..10 {
        world.query(session, "WRITE 1 x").expect("the write succeeds");
    }
    let (bounds, mut requested) = (bounds(), 0.0);
    for daemon in 0..DAEMONS {
        let now = world.now(daemon);
        let demands = world.nodes[daemon].state.limit.demands(now.mono, &bounds);
        let counted = demands.map(|(_, demand)| demand.requested).sum::<f64>();
        assert!(daemon == home || counted == 0.0, "d{daemon} counted {counted}");
        requested += counted;
    }
    assert!((requested - 10.0).abs() < 0.01, "{requested} operations were counted");
}

#[test]
fn a_primary_that_is_moved_has_no_home() {
    let mut world = fleet();
    let sessions = sessions(&mut world);
    for session in &sessions {
        world.query(*session, "WRITE 1 x").expect("the write succeeds");
    }
    world.crash("a");
    let fault = world.query(sessions[0], "WRITE 2 x").expect_err("the primary is gone");
    assert!(fault.code.not_run() || fault.code == Code::OutcomeUnknown, "{fault}");
    for _ in 0..20 {
        for session in &sessions {
            let _ = world.query(*session, "READ 1");
        }
    }
    for session in &sessions {
        world.query(*session, "WRITE 3 x").expect("the next primary has a home");
    }
}

#[test]
fn a_primarys_home_leaves_half_of_the_connections_free() {
    let shares = [true, false].map(|is_home| pool::share_for_primary(21, DAEMONS, is_home));
    assert_eq!((shares[0].retained, shares[1].retained), (10, 0));
    assert!(shares[1].max >= 1, "a daemon that does not know the home can open a connection");
    let all = shares[0].max + (DAEMONS - 1) * shares[1].max;
    assert!(all <= 21 + DAEMONS, "{all} connections");
}
