//! Loans of the right to use primaries, and what daemons without the store do.

use super::world::World;
use gcl_direct::gossip;

#[test]
fn a_daemon_that_the_store_turns_away_serves_on_a_loan() {
    let mut world = World::new(3);
    let session = world.login(0, "latest", "key");
    world.outage(Some(0), true);
    for _ in 0..30 {
        world.run(500);
        world.query(session, "WRITE 1 x").expect("the right is borrowed");
    }
    assert!(!world.nodes[1].state.members.contains_key("d0"), "its own lease has ended");
}

#[test]
fn a_loan_is_called_in_before_the_primary_moves() {
    let mut world = World::new(3);
    let sessions: Vec<_> = (0..3).map(|daemon| world.login(daemon, "latest", "key")).collect();
    world.outage(Some(0), true);
    world.run(9000);
    for session in &sessions {
        world.query(*session, "WRITE 1 x").expect("it is written");
    }
    world.replicate();
    world.update_entry("a", |entry| entry.draining = true);
    // The world fails the test if a superseded commit is acknowledged.
    for _ in 0..60 {
        let _ = world.query(sessions[0], "WRITE 1 x");
        world.replicate();
        world.run(30);
    }
    assert_eq!(world.promotions.len(), 1, "{:?}", world.promotions);
    world.query(sessions[0], "WRITE 1 x").expect("the borrower was told of the new primary");
}

#[test]
fn writes_go_on_through_an_outage_of_the_store_shorter_than_a_lease() {
    let mut world = World::new(3);
    let session = world.login(0, "latest", "key");
    world.outage(None, true);
    for _ in 0..9 {
        world.run(500);
        world.query(session, "WRITE 1 x").expect("the lease holds");
    }
    world.run(4000);
    let fault = world.query(session, "WRITE 1 x").expect_err("the lease has ended");
    assert!(fault.code.not_run());
    assert!(!world.nodes[0].ready);
    world.outage(None, false);
    world.run(2500);
    world.query(session, "WRITE 1 x").expect("the right is back");
}

#[test]
fn a_daemon_that_is_cut_off_from_all_others_stops_before_its_lease_ends() {
    let mut world = World::new(3);
    let session = world.login(0, "latest", "key");
    world.outage(Some(0), true);
    world.nodes[0].peers_cut = true;
    world.run(4500);
    let refused = world.query(session, "WRITE 1 x");
    assert!(refused.is_err(), "its commits may be lost by a move");
}

#[test]
fn the_store_is_called_little_at_rest() {
    let mut world = World::new(5);
    world.run(3000);
    world.store_calls.clear();
    world.run(20_000);
    let priced: usize = ["read", "watch", "write", "grant"]
        .iter()
        .filter_map(|name| world.store_calls.get(name))
        .sum();
    assert_eq!(priced, 0, "{:?}", world.store_calls);
    assert!(world.store_calls["renew"] <= 5 * 18, "{:?}", world.store_calls);
}

/// The store goes away between the grant of a daemon's lease and the write of its key.
#[test]
fn a_daemon_that_starts_as_the_store_goes_away_gains_its_right_afterwards() {
    let mut world = World::new(2);
    world.kill(1);
    world.boot(1);
    world.run(2);
    world.outage(Some(1), true);
    world.run(2500);
    assert_ne!(world.nodes[1].state.lease.lease, 0, "the lease was granted before the outage");
    world.outage(Some(1), false);
    world.run(3000);
    assert!(world.nodes[1].state.lease.is_valid(world.now(1).mono), "the right was gained");
}

/// Beyond the size of a mesh the daemons hear of each other through cells; none is counted twice.
#[test]
fn a_large_fleet_shares_out_a_rate_by_the_sums_of_its_cells() {
    const FLEET: usize = 80;
    let mut world = World::with_domains(FLEET, 27);
    world.run(6_000);
    for daemon in [0, 1, 40, FLEET - 1] {
        let fleet = gossip::fleet(&world.nodes[daemon].state, world.now(daemon), &"altyn".into());
        assert_eq!((fleet.members, fleet.reachable), (FLEET, FLEET), "daemon {daemon}");
    }
    let peers = world.nodes[0].state.gossip.layout().peers.len();
    assert!(peers < 10, "it tells {peers} daemons, not all");
    world.kill(7);
    world.run(9_000);
    let fleet = gossip::fleet(&world.nodes[0].state, world.now(0), &"altyn".into());
    assert_eq!((fleet.members, fleet.reachable), (FLEET - 1, FLEET - 1));
}

/// What each daemon of a large fleet tells, and the calls it makes, do not grow with the fleet.
#[test]
fn a_large_fleet_tells_no_more_for_each_daemon() {
    const FLEET: usize = 100;
    let mut world = World::with_domains(FLEET, 34);
    world.run(3_000);
    let (told, renewals) = (world.digests_sent, world.store_calls["renew"]);
    world.run(7_000);
    let digests = (world.digests_sent - told) / FLEET;
    assert!(digests <= 7 * 20, "{digests} digests in 7 s, where a mesh sends 700 and more");
    assert!(world.store_calls["renew"] - renewals <= 7 * FLEET);
}

/// The load: a store that turns one daemon away for seconds, and counts the calls that it refuses.
#[test]
fn a_daemon_that_the_store_turns_away_asks_it_less_often() {
    let mut world = World::new(3);
    world.outage(Some(0), true);
    world.store_calls.clear();
    world.run(10_000);
    let asked: usize =
        ["read", "watch"].iter().filter_map(|name| world.store_calls.get(*name)).sum();
    assert!(asked <= 45, "{asked} calls");
    world.configure(|_config| {});
    world.outage(Some(0), false);
    world.run(2000);
    let versions = world.nodes.iter().map(|node| node.state.config.as_ref().map(|it| it.version));
    assert!(versions.clone().all(|version| version == Some(world.config.version)));
}
