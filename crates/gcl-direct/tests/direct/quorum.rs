//! Databases with a synchronous replica: no server is promoted that may lack an acknowledged commit.
//! The simulation fails a test in which one is.

use super::{
    home,
    world::{DATABASE, Session, World},
};
use gcl_core::{mark::Mark, random::Random};
use gcl_direct::quorum::{Reports, record, size};
use std::ops::Range;
use test_case::test_case;

/// Start times of a server that comes back: the one that it had, and another.
const SAME_START: u64 = 1;
const NEW_START: u64 = 2;
/// Time that a test allows for a promotion. A daemon's own timeouts lie below it.
const PATIENCE_MS: u64 = 30_000;
/// Random orders of failures that are played unless `GCL_SEEDS` says `FROM-TO`.
const SEEDS: Range<u64> = 0..40;
/// Time until the database serves again after an order of failures.
const RECOVERY_MS: u64 = 45_000;

/// Daemons that have used the primary, which has one synchronous replica at least.
fn world(daemons: usize) -> (World, Vec<Session>) {
    let mut world = World::new(daemons);
    world.synchronous = true;
    world.configure(|config| config.databases[DATABASE].synchronous_replicas = 1);
    let sessions = (0..daemons).map(|daemon| world.login(daemon, "latest", "key"));
    let sessions: Vec<_> = sessions.collect();
    write(&mut world, &sessions, 20);
    world.run(1500);
    (world, sessions)
}

fn write(world: &mut World, sessions: &[Session], rounds: usize) {
    for _ in 0..rounds {
        for session in sessions {
            let _ = world.try_query(*session, "WRITE 1 x");
        }
        world.run(20);
    }
}

/// Writes for a while.
fn write_for(world: &mut World, sessions: &[Session], ms: u64) {
    let until = world.now_ms + ms;
    while world.now_ms < until {
        write(world, sessions, 1);
    }
}

/// Writes until one is acknowledged, and returns the elapsed time.
fn write_until_acknowledged(world: &mut World, session: Session) -> u64 {
    let began = world.now_ms;
    while world.try_query(session, "WRITE 1 x").is_none_or(|outcome| outcome.is_err()) {
        assert!(world.now_ms < began + PATIENCE_MS, "no primary: {:?}", world.promotions);
        world.run(50);
    }
    world.now_ms - began
}

/// A replica receives nothing, and then the primary and the replica that holds its commits lose power.
fn lose_both_holders(world: &mut World, sessions: &[Session]) {
    world.server("c").replication_paused = true;
    write(world, sessions, 20);
    world.darken("a");
    world.darken("b");
}

#[test_case(3, 1 => 2; "one of two replicas may lack a commit")]
#[test_case(3, 2 => 1; "no replica may lack a commit")]
#[test_case(5, 1 => 4; "one of four replicas has a commit")]
#[test_case(1, 1 => 1; "a server must report at least its own position")]
fn positions_of_all_but_the_synchronous_replicas_are_needed(
    members: usize,
    replicas: usize,
) -> usize {
    size(members, replicas)
}

#[test_case(7, &[7, 7], &[], &[] => true; "all reported positions are equal")]
#[test_case(7, &[7, 3], &[], &[] => true; "it is the newest")]
#[test_case(3, &[7, 3], &[], &[] => false; "another one is newer")]
#[test_case(7, &[7, 3, 9], &[], &[] => true; "enough others are not newer")]
#[test_case(7, &[7], &[], &[] => false; "too few servers report")]
#[test_case(7, &[7], &[], &[0] => false; "one that may be empty does not count")]
#[test_case(7, &[7], &[], &[0, 6] => true; "all servers report and none is newer")]
#[test_case(7, &[7], &[], &[0, 8] => false; "all servers report and one without its log is newer")]
#[test_case(7, &[], &[7, 7], &[] => false; "servers that join may lack earlier commits")]
#[test_case(7, &[5], &[7], &[] => true; "earlier commits are with an established one, later with both")]
fn the_newest_of_enough_servers_has_all_commits(
    own: u64,
    established: &[u64],
    joining: &[u64],
    without_log: &[u64],
) -> bool {
    let marks =
        |positions: &[u64]| -> Vec<_> { positions.iter().map(|it| Mark::new(1, *it)).collect() };
    let reports = Reports {
        established: marks(established),
        joining: marks(joining),
        without_log: marks(without_log),
        established_members: 3 - joining.len(),
        members: 3,
    };
    reports.prove(Mark::new(1, own), 1)
}

/// The review's case: acknowledged commits were missing in the promoted server, since the position of
/// the primary was forgotten when its entry lapsed.
#[test_case(SAME_START; "with the same start time")]
#[test_case(NEW_START; "with a new start time")]
fn commits_survive_that_both_holders_lose_power_and_come_back(started_ms: u64) {
    let (mut world, sessions) = world(3);
    lose_both_holders(&mut world, &sessions);
    write_for(&mut world, &sessions, 8000);
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
    world.server("c").replication_paused = false;
    world.brighten("a", started_ms);
    world.brighten("b", started_ms);
    let took = write_until_acknowledged(&mut world, sessions[0]);
    assert!(took < 1500, "the returned primary serves at once, not after {took} ms");
}

/// The replica that received the commits comes back alone: it is the one to promote.
#[test_case(SAME_START; "with the same start time")]
#[test_case(NEW_START; "with a new start time")]
fn the_holder_that_comes_back_is_promoted(started_ms: u64) {
    let (mut world, sessions) = world(3);
    lose_both_holders(&mut world, &sessions);
    write_for(&mut world, &sessions, 6000);
    world.server("c").replication_paused = false;
    world.brighten("b", started_ms);
    write_until_acknowledged(&mut world, sessions[0]);
    assert!(world.promotions.iter().all(|(server, _)| server == "b"), "{:?}", world.promotions);
}

/// A daemon that starts while the holders are away has neither seen their entries nor the position.
#[test_case(0; "one daemon started anew")]
#[test_case(2; "all daemons started anew")]
fn a_daemon_that_starts_while_the_holders_are_away_promotes_nothing(last: usize) {
    let (mut world, sessions) = world(3);
    lose_both_holders(&mut world, &sessions);
    world.run(5000);
    for daemon in 0..=last {
        world.kill(daemon);
    }
    world.run(500);
    for daemon in 0..=last {
        world.boot(daemon);
        world.nodes[daemon].unreachable.extend(["a".into(), "b".into()]);
    }
    world.run(12_000);
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
    world.server("c").replication_paused = false;
    world.brighten("a", SAME_START);
    let session = world.login(0, "latest", "key");
    world.brighten("b", SAME_START);
    write_until_acknowledged(&mut world, session);
}

/// A daemon acknowledged commits that no other knows of, and is gone with the primary.
#[test]
fn commits_that_only_a_lost_daemon_knew_survive() {
    let (mut world, sessions) = world(3);
    world.server("c").replication_paused = true;
    write(&mut world, &sessions[..1], 20);
    world.darken("a");
    world.kill(0);
    wait_for_promotion(&mut world, "b");
}

/// The synchronous replica starts again empty, then the primary fails: the other replica, which received
/// nothing, must not count as up to date.
#[test_case(true; "its entry is written")]
#[test_case(false; "its entry is not written")]
fn an_empty_restarted_holder_proves_nothing(registers: bool) {
    let (mut world, sessions) = world(3);
    world.server("c").replication_paused = true;
    write(&mut world, &sessions, 20);
    world.crash("b");
    world.restart_empty("b", registers);
    world.run(300);
    world.darken("a");
    write_for(&mut world, &sessions, 8000);
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
    world.server("b").replication_paused = false;
    world.server("c").replication_paused = false;
    world.brighten("a", SAME_START);
    write_until_acknowledged(&mut world, sessions[0]);
}

/// Once the others have received what the primary reported after a server was gone, its log does not
/// matter any more, and the loss of the primary is as with two servers.
#[test]
fn a_server_that_is_gone_for_good_does_not_block_later_moves() {
    let (mut world, sessions) = world(3);
    world.darken("b");
    write_for(&mut world, &sessions, 6000);
    let record = world.item(&record::key(DATABASE)).expect("the members are recorded");
    let value = record.value.clone().expect("the key has a value");
    let record: record::Record = serde_json::from_slice(&value).expect("it is readable");
    assert_eq!(record.servers.keys().collect::<Vec<_>>(), ["a", "c"]);
    world.darken("a");
    wait_for_promotion(&mut world, "c");
}

/// Waits for the promotion of a server.
fn wait_for_promotion(world: &mut World, server: &str) {
    let until = world.now_ms + PATIENCE_MS;
    let daemon = world.nodes.iter().position(|node| node.up).expect("a daemon runs");
    let session = world.login(daemon, "latest", "key");
    while world.promotions.is_empty() && world.now_ms < until {
        let _ = world.try_query(session, "READ 1");
        world.run(50);
    }
    assert!(world.promotions.iter().all(|(it, _)| it == server), "{:?}", world.promotions);
    assert!(!world.promotions.is_empty(), "nothing was promoted");
}

/// A planned move waits as well: the successor must have been reported by enough servers.
#[test]
fn a_draining_primary_is_replaced_by_a_server_that_has_all_commits() {
    let (mut world, sessions) = world(3);
    world.server("c").replication_paused = true;
    write(&mut world, &sessions, 20);
    world.update_entry("a", |entry| entry.draining = true);
    write_for(&mut world, &sessions, 9000);
    assert_eq!(world.promotions.first().map(|(server, _)| server.as_str()), Some("b"));
}

/// Moves the servers `a` and `b` to one failure domain, and evacuates it.
fn evacuate_both_holders(world: &mut World) {
    world.update_entry("b", |entry| entry.domain = "alpha".into());
    world.run(300);
    world.evacuate("alpha", true);
}

/// The servers of an evacuated failure domain report until it is closed.
#[test]
fn an_evacuated_failure_domain_with_both_holders_is_left() {
    let (mut world, sessions) = world(3);
    evacuate_both_holders(&mut world);
    write_for(&mut world, &sessions, 2500);
    assert_eq!(world.promotions.first().map(|(server, _)| server.as_str()), Some("c"));
    assert!(world.late_commands.is_empty(), "{:?}", world.late_commands);
}

/// What only servers of an evacuated failure domain hold is not given up.
#[test]
fn an_evacuation_promotes_no_server_that_lacks_commits() {
    let (mut world, sessions) = world(3);
    world.server("c").replication_paused = true;
    write(&mut world, &sessions, 20);
    evacuate_both_holders(&mut world);
    write_for(&mut world, &sessions, 8000);
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
    assert!(world.late_commands.is_empty(), "{:?}", world.late_commands);
    world.server("c").replication_paused = false;
    world.evacuate("alpha", false);
    world.replicate();
    write_until_acknowledged(&mut world, sessions[0]);
}

/// A fleet with entries, whose homes move primaries.
#[test]
fn commits_survive_in_a_fleet_with_entries() {
    let mut world = home::fleet();
    world.synchronous = true;
    world.configure(|config| config.databases[DATABASE].synchronous_replicas = 1);
    let entry = home::entry(&world, "alpha");
    let sessions = [world.login(entry, "latest", "key")];
    write(&mut world, &sessions, 20);
    world.run(1500);
    lose_both_holders(&mut world, &sessions);
    write_for(&mut world, &sessions, 9000);
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
    world.server("c").replication_paused = false;
    world.brighten("b", NEW_START);
    write_until_acknowledged(&mut world, sessions[0]);
    assert!(world.promotions.iter().all(|(server, _)| server == "b"), "{:?}", world.promotions);
}

/// A drained server leaves, and its successor registers at its address.
#[test]
fn servers_can_be_replaced_one_after_the_other() {
    let (mut world, sessions) = world(3);
    for (old, new) in [("b", "d"), ("c", "e"), ("a", "f")] {
        let domain = world.servers[old].entry.domain.clone();
        world.update_entry(old, |entry| entry.draining = true);
        write_for(&mut world, &sessions, 7000);
        world.add_server(new, &domain, false);
        let (term, log) = (world.servers[old].term, world.servers[old].log);
        (world.server(new).term, world.server(new).log) = (term, log);
        world.darken(old);
        write_for(&mut world, &sessions, 6000);
    }
    write_until_acknowledged(&mut world, sessions[0]);
    assert!(!world.promotions.is_empty(), "the primary was replaced");
}

/// The operators give up commits that only lost servers hold.
#[test]
fn without_synchronous_replicas_the_remaining_server_is_promoted() {
    let (mut world, sessions) = world(3);
    lose_both_holders(&mut world, &sessions);
    write_for(&mut world, &sessions, 8000);
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
    world.give_up_commits();
    world.configure(|config| config.databases[DATABASE].synchronous_replicas = 0);
    wait_for_promotion(&mut world, "c");
}

/// A primary that crashes alone is replaced as fast as one without synchronous replicas.
#[test]
fn a_crashed_primary_is_replaced_at_once() {
    let (mut world, sessions) = world(3);
    world.server("c").replication_paused = true;
    write(&mut world, &sessions, 20);
    world.crash("a");
    let began = world.now_ms;
    wait_for_promotion(&mut world, "b");
    assert!(world.now_ms - began < 3000, "{} ms", world.now_ms - began);
}

/// A record that cannot be read, or that an older or another daemon wrote, is replaced.
#[test_case("nonsense"; "unreadable")]
#[test_case(r#"{"servers":{"a":1},"more":[1]}"#; "incomplete and with an unknown field")]
fn a_record_that_does_not_fit_is_replaced(value: &str) {
    let (mut world, sessions) = world(3);
    world.put_item(&record::key(DATABASE), value);
    write_for(&mut world, &sessions, 2000);
    let record = world.item(&record::key(DATABASE)).expect("the members are recorded");
    let value = record.value.clone().expect("the key has a value");
    let record: record::Record = serde_json::from_slice(&value).expect("it is readable");
    assert_eq!(record.servers.len(), 3, "{record:?}");
}

/// A database without synchronous replicas has no record, and costs no calls.
#[test]
fn databases_without_synchronous_replicas_have_no_members() {
    let mut world = World::new(3);
    world.run(5000);
    assert!(world.item(&record::key(DATABASE)).is_none());
}

/// One random change: a server or daemon fails or returns, replication stops or goes on, or the store
/// fails or returns.
fn disrupt(world: &mut World, random: &mut Random) {
    let name = ["a", "b", "c"][(random.next() % 3) as usize];
    let daemon = (random.next() % 3) as usize;
    match random.next() % 10 {
        0..3 if !world.servers[name].dark => world.darken(name),
        0..4 if world.servers[name].dark => {
            let started_ms = world.servers[name].entry.started_ms + random.next() % 2;
            world.brighten(name, started_ms);
        }
        4..6 => {
            let server = world.server(name);
            server.replication_paused = !server.replication_paused;
        }
        6 if world.nodes[daemon].up => world.kill(daemon),
        6 | 7 if !world.nodes[daemon].up => boot(world, daemon),
        8 => {
            let down = world.store_down;
            world.outage(None, !down);
        }
        9 => {
            let draining = world.servers[name].entry.draining;
            world.update_entry(name, |entry| entry.draining = !draining);
        }
        _ => {}
    }
}

/// Starts a daemon, which cannot reach servers without power.
fn boot(world: &mut World, daemon: usize) {
    world.boot(daemon);
    let dark = world.servers.iter().filter(|(_, server)| server.dark);
    let dark: Vec<_> = dark.map(|(name, _)| name.clone()).collect();
    world.nodes[daemon].unreachable.extend(dark);
}

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var("GCL_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = range.split_once('-').expect("GCL_SEEDS is FROM-TO");
    let parse = |seed: &str| seed.parse().expect("GCL_SEEDS holds numbers");
    parse(from)..parse(to)
}

/// Random orders of failures: the simulation fails on a lost commit, and the database serves again at
/// the end.
#[test]
fn no_order_of_failures_loses_an_acknowledged_commit() {
    for seed in seeds() {
        let (mut world, _) = world(3);
        let mut random = Random::new(seed);
        for _ in 0..24 {
            disrupt(&mut world, &mut random);
            for daemon in (0..3).filter(|daemon| world.nodes[*daemon].up).collect::<Vec<_>>() {
                let session = world.login(daemon, "latest", "key");
                world.send(session, "WRITE 1 x");
                world.send(session, "WRITE 2 x");
            }
            world.run(random.next() % 3000);
        }
        world.outage(None, false);
        for daemon in (0..3).filter(|daemon| !world.nodes[*daemon].up).collect::<Vec<_>>() {
            boot(&mut world, daemon);
        }
        for name in ["a", "b", "c"] {
            world.server(name).replication_paused = false;
            let started_ms = world.servers[name].entry.started_ms;
            world.brighten(name, started_ms);
            world.update_entry(name, |entry| entry.draining = false);
        }
        let session = world.login(0, "latest", "key");
        let until = world.now_ms + RECOVERY_MS;
        loop {
            world.replicate();
            if world.try_query(session, "WRITE 3 x").is_some_and(|outcome| outcome.is_ok()) {
                break;
            }
            assert!(world.now_ms < until, "seed {seed}: not served, {:?}", world.promotions);
            world.run(100);
        }
    }
}
