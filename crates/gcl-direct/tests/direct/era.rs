//! Restores of the store from a snapshot some seconds old: revisions are reused, leases are lost.

use crate::world::{DATABASE, World};
use gcl_core::{code::Code, id, random::Random};
use gcl_direct::{
    authority, era,
    event::Event,
    failover::has_primary,
    group, lease,
    store::{Answer, Contents, Event as Store, Failure, Topic, Written},
};
use std::{collections::BTreeSet, time::Duration};
use test_case::test_case;

/// Time after which all leases of an earlier era have expired.
const SETTLED_MS: u64 = 6500;

fn assert_fences_rise(world: &World) {
    let orders: Vec<_> = world.promotions.iter().map(|(_, fence)| *fence).collect();
    assert!(orders.is_sorted(), "fencing tokens decreased: {orders:?}");
    let targets: BTreeSet<_> = world.promotions.iter().cloned().collect();
    let fences: BTreeSet<_> = targets.iter().map(|(_, fence)| *fence).collect();
    assert_eq!(targets.len(), fences.len(), "one fencing token for two servers: {targets:?}");
}

/// Runs for `ms` while callers write: a primary that is not used is not suspected.
fn run_busy(world: &mut World, ms: u64) {
    let end = world.now_ms + ms;
    while world.now_ms < end {
        write_everywhere(world);
        world.run(20);
    }
}

/// Runs until the store holds an intention.
fn run_until_intention(world: &mut World) {
    let sessions: Vec<_> =
        (0..world.nodes.len()).map(|daemon| world.login(daemon, "latest", "key")).collect();
    for _ in 0..10_000 {
        if world.item(&group::key(DATABASE)).is_some() {
            return;
        }
        for session in &sessions {
            world.take_replies(*session);
            world.send(*session, "WRITE x 1");
        }
        world.run(1);
    }
    panic!("no intention was written");
}

/// Writes through every running daemon, and returns the number of acknowledged writes.
fn write_everywhere(world: &mut World) -> usize {
    let mut done = 0;
    for daemon in 0..world.nodes.len() {
        if world.nodes[daemon].up {
            let session = world.login(daemon, "latest", "key");
            done += usize::from(world.query(session, "WRITE x 1").is_ok());
            world.disconnect(session);
        }
    }
    done
}

/// Delivers the store's era to every daemon.
fn deliver_era(world: &mut World) {
    for daemon in 0..world.nodes.len() {
        let event = Store::Renewed(0, Err(Failure::Lost));
        world.deliver(daemon, Event::Store(Answer { era: world.era, event }));
    }
}

#[test]
fn an_order_ranks_the_era_before_the_revision() {
    assert!(era::order(2, 3) > era::order(1, 1_000_000));
    assert_eq!(era::order(0, 42), 42, "without eras an order is the revision");
    let order = era::order(7, 99);
    assert_eq!((era::of(order), era::revision(order)), (7, 99));
    assert!(era::order(4096, u64::MAX) < 1 << 53, "every number fits a double");
}

#[test_case(8, 3; "eight daemons")]
#[test_case(100, 6; "a fleet with entries")]
fn a_restore_without_other_faults_does_not_affect_callers(daemons: usize, domains: usize) {
    let mut world = World::with_store_era(1, daemons, domains);
    let snapshot = world.snapshot();
    world.run(3000);
    let sessions: Vec<_> = (0..8).map(|daemon| world.login(daemon, "latest", "key")).collect();
    world.restore_store(snapshot, 800);
    world.store_calls.clear();
    let listed = world.nodes[0].state.members.len();
    for _ in 0..100 {
        for session in &sessions {
            assert_eq!(world.query(*session, "WRITE x 1"), Ok(()));
        }
        world.run(20);
        assert_eq!(world.nodes[0].state.members.len(), listed, "no daemon is removed");
    }
    let hosts = world.nodes.iter().filter(|node| node.state.lease.revision > 0);
    let eras: BTreeSet<_> = hosts.clone().map(|node| node.state.era.current).collect();
    assert_eq!(eras, BTreeSet::from([2]));
    let listed =
        hosts.clone().filter(|node| world.item(&lease::key(&node.state.settings.daemon)).is_some());
    assert_eq!(listed.count(), hosts.clone().count(), "every host is listed again");
    let reads = world.store_calls.get("read").copied().unwrap_or_default();
    assert!(reads <= hosts.count() * 10, "{reads} reads");
}

#[test]
fn an_era_is_settled_and_recorded_once_earlier_leases_have_expired() {
    let mut world = World::with_store_era(1, 5, 3);
    world.run(4000);
    assert_eq!(
        world.item(era::SETTLED_KEY).and_then(|item| item.value.clone()).as_deref(),
        Some(&b"1"[..])
    );
    let snapshot = world.snapshot();
    world.restore_store(snapshot, 100);
    world.run(3000);
    assert!(!era::is_settled(&world.nodes[0].state, world.now(0)));
    world.run(10_000);
    assert_eq!(
        world.item(era::SETTLED_KEY).and_then(|item| item.value.clone()).as_deref(),
        Some(&b"2"[..])
    );
    world.kill(3);
    world.boot(3);
    world.run(300);
    assert!(
        authority::is_held_by_lease(&world.nodes[3].state, world.now(3)),
        "it waits for no earlier lease"
    );
}

#[test]
fn a_daemon_that_saw_no_earlier_era_waits_until_earlier_leases_have_expired() {
    let mut world = World::with_store_era(1, 5, 3);
    let snapshot = world.snapshot();
    world.run(3000);
    world.restore_store(snapshot, 300);
    world.kill(2);
    world.boot(2);
    world.run(3000);
    assert!(!authority::is_held_by_lease(&world.nodes[2].state, world.now(2)));
    world.run(SETTLED_MS);
    assert!(authority::is_held_by_lease(&world.nodes[2].state, world.now(2)));
}

#[test]
fn a_primary_that_crashes_during_a_restore_is_replaced_once_earlier_leases_have_expired() {
    let mut world = World::with_store_era(1, 5, 3);
    let snapshot = world.snapshot();
    world.run(2000);
    world.outage(Some(0), true);
    world.crash("a");
    world.run(100);
    world.restore_store(snapshot, 300);
    run_busy(&mut world, 5000);
    assert!(world.promotions.is_empty(), "a partitioned daemon may still use the old primary");
    world.outage(Some(0), false);
    run_busy(&mut world, 6000);
    assert_eq!(world.promotions.len(), 1);
    assert_eq!(write_everywhere(&mut world), 5);
    assert_fences_rise(&world);
}

#[test]
fn a_move_whose_intention_was_lost_restarts_with_a_higher_fencing_token() {
    let mut world = World::with_store_era(1, 5, 3);
    world.run(2000);
    let snapshot = world.snapshot();
    world.crash("a");
    run_until_intention(&mut world);
    assert!(world.promotions.is_empty());
    world.restore_store(snapshot, 300);
    deliver_era(&mut world);
    run_busy(&mut world, 12_000);
    assert_fences_rise(&world);
    assert!(!world.promotions.is_empty());
    assert!(
        world.promotions.iter().all(|(_, fence)| era::of(*fence) == 2),
        "{:?}",
        world.promotions
    );
    assert_eq!(write_everywhere(&mut world), 5);
}

#[test]
fn a_move_missing_from_the_snapshot_stays_in_force() {
    let mut world = World::with_store_era(1, 5, 3);
    world.run(2000);
    let snapshot = world.snapshot();
    world.crash("a");
    run_busy(&mut world, 4000);
    let (target, fence) = world.promotions.last().cloned().expect("the primary was moved");
    // The old primary runs again, unaware that it was superseded.
    world.server("a").up = true;
    world.restore_store(snapshot, 1500);
    for _ in 0..40 {
        assert_eq!(write_everywhere(&mut world), 5);
        world.run(20);
    }
    world.run(500);
    let item = world.item(&group::key(DATABASE)).and_then(|item| item.value.clone());
    let record: group::Record =
        serde_json::from_slice(&item.expect("it was written again")).expect("JSON");
    assert_eq!((record.order, &record.intention.to), (fence, &target));
    // A daemon that starts reads the move from there.
    world.kill(1);
    world.boot(1);
    run_busy(&mut world, SETTLED_MS + 3000);
    assert_eq!(write_everywhere(&mut world), 5);
    assert_eq!(world.promotions.len(), 1);
}

#[test]
fn a_single_daemon_keeps_a_move_missing_from_the_snapshot() {
    let mut world = World::with_store_era(1, 1, 1);
    world.run(2000);
    let snapshot = world.snapshot();
    world.crash("a");
    run_busy(&mut world, 4000);
    world.server("a").up = true;
    world.restore_store(snapshot, 2000);
    for _ in 0..90 {
        assert_eq!(write_everywhere(&mut world), 1);
        world.run(20);
    }
}

#[test]
fn the_end_of_an_abandoned_watch_starts_no_other() {
    let mut world = World::with_store_era(1, 3, 3);
    world.run(2000);
    let snapshot = world.snapshot();
    world.restore_store(snapshot, 100);
    world.run(20_000);
    world.store_calls.clear();
    for _ in 0..5 {
        let contents = Contents::Servers(Vec::new());
        let event =
            Store::Watched(Topic::Servers, era::order(1, 5), Ok((contents, era::order(2, 9))));
        world.deliver(0, Event::Store(Answer { era: 2, event }));
        world.run(300);
    }
    assert_eq!(world.store_calls.get("watch"), None);
}

#[test]
fn a_move_that_no_daemon_remembers_is_derived_from_the_servers() {
    let mut world = World::with_store_era(1, 3, 3);
    world.run(2000);
    // A first move, so that the snapshot holds an older intention.
    world.crash("a");
    run_busy(&mut world, 4000);
    let snapshot = world.snapshot();
    let first = world.promotions.last().map(|(server, _)| server.clone()).expect("a move");
    world.server("a").up = true;
    world.update_entry("a", |entry| entry.claims_primary = false);
    world.replicate();
    world.crash(&first);
    run_busy(&mut world, 4000);
    let second = world.promotions.last().map(|(server, _)| server.clone()).expect("another");
    assert_ne!(first, second);
    world.update_entry(&first, |entry| entry.claims_primary = false);
    world.restore_store(snapshot, 200);
    for daemon in 0..3 {
        world.kill(daemon);
        world.boot(daemon);
    }
    world.run(300);
    run_busy(&mut world, 16_000);
    assert_eq!(write_everywhere(&mut world), 3);
    let leaders = world.nodes.iter().map(|node| authority::leader(&node.state, DATABASE));
    let leaders: Vec<_> = leaders.collect();
    assert!(leaders.iter().all(|it| *it == group::Leader::Known(second.clone())), "{leaders:?}");
    assert_fences_rise(&world);
}

#[test]
fn a_planned_move_survives_a_restore() {
    let mut world = World::with_store_era(1, 5, 3);
    world.run(2000);
    let snapshot = world.snapshot();
    world.update_entry("a", |entry| entry.draining = true);
    run_until_intention(&mut world);
    world.restore_store(snapshot, 700);
    world.run(12_000);
    assert_eq!(write_everywhere(&mut world), 5);
    assert_ne!(
        authority::leader(&world.nodes[0].state, DATABASE),
        group::Leader::Known("a".into())
    );
    assert_fences_rise(&world);
}

#[test]
fn a_draining_server_stays_out_of_use() {
    let mut world = World::with_store_era(1, 5, 3);
    world.run(2000);
    let snapshot = world.snapshot();
    world.update_entry("c", |entry| entry.draining = true);
    world.run(500);
    world.restore_store(snapshot, 1500);
    for _ in 0..60 {
        world.run(20);
        let uses = |node: &crate::world::Node| !node.state.directory["c"].draining;
        assert!(!world.nodes.iter().any(uses), "the restore put it back in use");
    }
}

#[test]
fn a_withdrawn_key_stays_withdrawn() {
    let mut world = World::with_store_era(1, 5, 3);
    world.run(2000);
    let snapshot = world.snapshot();
    world.configure(|config| {
        config.keys.swap_remove("key");
    });
    world.run(1200);
    let version = world.config.version;
    world.restore_store(snapshot, 1000);
    for _ in 0..100 {
        world.run(20);
        for node in &world.nodes {
            assert_eq!(node.state.config.as_ref().map(|config| config.version), Some(version));
            assert!(!node.state.config.as_ref().is_some_and(|it| it.keys.contains_key("key")));
        }
    }
    // The operator's next change has a lower revision than the last one had.
    world.configure(|config| {
        config.keys.insert("third".into(), "w".into());
    });
    world.run(1500);
    assert!(
        world.nodes.iter().all(|node| node
            .state
            .config
            .as_ref()
            .is_some_and(|it| it.version == version + 1))
    );
}

#[test]
fn daemons_that_see_an_era_late_hold_no_authority_twice() {
    let mut world = World::with_store_era(1, 9, 3);
    world.run(2000);
    let snapshot = world.snapshot();
    world.run(1000);
    for daemon in 0..3 {
        world.outage(Some(daemon), true);
        world.nodes[daemon].peers_cut = true;
    }
    world.restore_store(snapshot, 300);
    world.crash("b");
    world.update_entry("a", |entry| entry.draining = true);
    for _ in 0..200 {
        write_everywhere(&mut world);
        world.run(40);
    }
    for daemon in 0..3 {
        world.outage(Some(daemon), false);
        world.nodes[daemon].peers_cut = false;
    }
    world.run(8000);
    assert_fences_rise(&world);
    assert_eq!(write_everywhere(&mut world), 9);
}

#[test]
fn two_consecutive_restores_are_tolerated() {
    let mut world = World::with_store_era(1, 5, 3);
    world.run(2000);
    let snapshot = world.snapshot();
    world.crash("a");
    run_until_intention(&mut world);
    world.restore_store(snapshot.clone(), 300);
    world.run(1500);
    world.restore_store(snapshot, 300);
    run_busy(&mut world, 14_000);
    assert_eq!(write_everywhere(&mut world), 5);
    assert_fences_rise(&world);
    assert!(world.nodes.iter().all(|node| node.state.era.current == 3));
}

#[test]
fn a_lease_of_another_daemon_in_a_later_era_is_not_mistaken_for_its_own() {
    let mut world = World::with_store_era(1, 3, 3);
    let lease = world.nodes[0].state.lease.lease;
    let event = Store::Renewed(lease, Ok(true));
    let before = world.store_calls.get("grant").copied();
    world.deliver(0, Event::Store(Answer { era: 2, event }));
    world.era = 2;
    world.run(100);
    assert!(
        world.store_calls.get("grant").copied() > before,
        "a lease of the new era is requested"
    );
}

#[test]
fn an_answer_of_an_earlier_era_changes_nothing() {
    let mut world = World::with_store_era(1, 3, 3);
    world.run(2000);
    let snapshot = world.snapshot();
    world.crash("a");
    run_busy(&mut world, 4000);
    world.restore_store(snapshot, 200);
    world.run(3000);
    let (leader, lease) = {
        let state = &world.nodes[0].state;
        (authority::leader(state, DATABASE), state.lease.lease)
    };
    let stale = [
        Store::Read(
            Topic::Coordination,
            Ok((Contents::Coordination(Vec::new()), era::order(1, 900))),
        ),
        Store::Renewed(lease, Ok(false)),
        Store::Granted(Ok((77, Duration::from_mins(1)))),
        Store::Written(5, Ok(Written::NoLease)),
    ];
    for event in stale {
        world.deliver(0, Event::Store(Answer { era: 1, event }));
        assert_ne!(world.nodes[0].state.lease.lease, 77);
    }
    assert_eq!(authority::leader(&world.nodes[0].state, DATABASE), leader);
    assert_eq!(world.nodes[0].state.era.current, 2);
    world.run(2000);
    assert_eq!(write_everywhere(&mut world), 3);
}

#[test]
fn without_a_primary_callers_are_rejected_at_once() {
    let mut world = World::with_store_era(1, 3, 3);
    world.run(2000);
    let snapshot = world.snapshot();
    world.crash("a");
    run_until_intention(&mut world);
    world.restore_store(snapshot, 300);
    deliver_era(&mut world);
    world.run(1000);
    let session = world.login(0, "latest", "key");
    let fault = world.query(session, "WRITE x 1").expect_err("there is no primary");
    assert_eq!(fault.code, Code::NoPrimary);
}

/// Runs restores, crashes, planned moves, partitions and restarts in random order. The simulation
/// fails if a superseded primary acknowledges a write.
#[test]
fn with_random_faults_fences_rise_and_no_configuration_reverts() {
    for seed in 1..=30_u64 {
        let mut random = Random::new(seed);
        let mut world = World::with_store_era(1, 5, 3);
        world.run(1000);
        let mut snapshot = world.snapshot();
        let mut versions = vec![(0_u64, 0_u64); world.nodes.len()];
        for _ in 0..14 {
            match random.next() % 7 {
                0 => snapshot = world.snapshot(),
                1 => world.restore_store(snapshot.clone(), 200 + random.next() % 1500),
                2 => world.configure(|_config| {}),
                3 => {
                    let daemon = usize::try_from(random.next() % 5).expect("small");
                    world.kill(daemon);
                    world.boot(daemon);
                }
                4 => {
                    let daemon = usize::try_from(random.next() % 5).expect("small");
                    let cut = random.next().is_multiple_of(2);
                    world.outage(Some(daemon), cut);
                    world.nodes[daemon].peers_cut = cut;
                }
                5 => crash_one(&mut world, &mut random),
                _ => {}
            }
            for _ in 0..10 {
                world.run(30 + random.next() % 120);
                write_everywhere(&mut world);
            }
            for (node, seen) in world.nodes.iter().zip(&mut versions) {
                let version = node.state.config.as_ref().map_or(0, |config| config.version);
                if seen.0 == node.state.incarnation {
                    assert!(version >= seen.1, "seed {seed}: the configuration reverted");
                }
                *seen = (node.state.incarnation, version);
            }
            assert_fences_rise(&world);
        }
        for daemon in 0..5 {
            world.outage(Some(daemon), false);
            world.nodes[daemon].peers_cut = false;
        }
        run_busy(&mut world, 25_000);
        assert!(world.nodes.iter().all(|node| has_primary(&node.state, DATABASE)), "seed {seed}");
        assert_eq!(write_everywhere(&mut world), 5, "seed {seed}");
    }
}

/// Crashes the primary and restarts every other server.
fn crash_one(world: &mut World, random: &mut Random) {
    let names: Vec<id::Server> = world.servers.keys().cloned().collect();
    let primary = names.iter().find(|name| {
        let server = &world.servers[*name];
        server.entry.claims_primary && !server.superseded
    });
    let Some(primary) = primary.cloned() else {
        return;
    };
    for name in names.iter().filter(|name| **name != primary) {
        world.server(name).up = true;
        if world.servers[name].superseded && world.servers[name].entry.claims_primary {
            world.update_entry(name, |entry| entry.claims_primary = false);
        }
    }
    world.replicate();
    if random.next().is_multiple_of(2) {
        world.crash(&primary);
    }
}
