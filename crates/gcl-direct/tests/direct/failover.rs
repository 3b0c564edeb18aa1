//! Primaries that crash, drain or are partitioned, and daemons that race, fail or lose the store.

use super::world::{Session, World};
use test_case::test_case;

/// Writes at every daemon until each succeeds, and returns the elapsed time.
fn write_until_acknowledged(world: &mut World, sessions: &[Session]) -> u64 {
    let began = world.now_ms;
    for session in sessions {
        let mut attempts = 0;
        while world.query(*session, "WRITE 1 x").is_err() {
            attempts += 1;
            assert!(attempts < 200, "no primary after {} ms", world.now_ms - began);
            world.run(50);
        }
    }
    world.now_ms - began
}

fn sessions(world: &mut World) -> Vec<Session> {
    let count = world.nodes.len();
    (0..count).map(|daemon| world.login(daemon, "latest", "key")).collect()
}

/// Makes every daemon use the primary.
fn warm_up(world: &mut World) -> Vec<Session> {
    let sessions = sessions(world);
    write_until_acknowledged(world, &sessions);
    world.replicate();
    world.run(800);
    sessions
}

#[test]
fn a_crashed_primary_is_replaced_by_one_promotion() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    world.crash("a");
    let took = write_until_acknowledged(&mut world, &sessions);
    assert!(took < 3000, "{took} ms");
    let mut fences: Vec<_> = world.promotions.iter().map(|(_, fence)| *fence).collect();
    fences.dedup();
    assert_eq!(fences.len(), 1, "{:?}", world.promotions);
}

#[test]
fn a_draining_primary_is_replaced_without_a_lost_commit() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    world.update_entry("a", |entry| entry.draining = true);
    for _ in 0..20 {
        let _ = world.query(sessions[0], "WRITE 1 x");
        world.replicate();
        world.run(50);
    }
    let took = write_until_acknowledged(&mut world, &sessions);
    assert!(took < 2500, "{took} ms");
    let leader = &world.promotions[0].0.clone();
    let (old, new) = (&world.servers["a"], &world.servers[leader]);
    assert!(new.log > old.log, "the successor has every commit");
}

#[test]
fn an_open_transaction_may_finish_before_a_planned_move() {
    let mut world = World::new(2);
    let sessions = warm_up(&mut world);
    world.query(sessions[0], "BEGIN").expect("BEGIN succeeds");
    world.query(sessions[0], "WRITE 2 y").expect("the write succeeds");
    world.update_entry("a", |entry| entry.draining = true);
    world.run(300);
    assert!(world.promotions.is_empty(), "the move waits for the transaction");
    world.query(sessions[0], "COMMIT").expect("COMMIT succeeds");
    world.replicate();
    write_until_acknowledged(&mut world, &sessions);
}

#[test]
fn one_daemon_that_cannot_reach_the_primary_replaces_nothing() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    world.nodes[0].unreachable.insert("a".into());
    for _ in 0..40 {
        let _ = world.query(sessions[0], "READ 1");
        for session in &sessions[1..] {
            world.query(*session, "READ 1").expect("the others reach it");
        }
        world.run(50);
    }
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
}

#[test]
fn a_daemon_partitioned_with_the_primary_acknowledges_nothing_after_the_move() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    world.nodes[0].peers_cut = true;
    world.outage(Some(0), true);
    for daemon in [1, 2] {
        world.nodes[daemon].unreachable.insert("a".into());
    }
    world.update_entry("a", |entry| entry.draining = true);
    // The simulation fails the test if a superseded commit is acknowledged.
    for _ in 0..150 {
        for session in &sessions {
            let _ = world.query(*session, "WRITE 1 x");
        }
        world.run(40);
    }
    assert!(!world.promotions.is_empty(), "the other daemons continue without it");
}

#[test]
fn a_primary_that_may_have_acknowledged_more_is_not_replaced_at_once() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    world.outage(Some(0), true);
    world.nodes[0].peers_cut = true;
    for daemon in [1, 2] {
        world.nodes[daemon].unreachable.insert("a".into());
    }
    let began = world.now_ms;
    while world.now_ms < began + 7000 {
        for session in &sessions[1..] {
            let _ = world.query(*session, "WRITE 1 x");
        }
        world.run(20);
    }
    assert!(world.promotions.is_empty(), "a partition of some seconds heals");
}

#[test]
fn a_moving_daemon_that_fails_is_replaced_with_a_higher_fencing_token() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    // Its acknowledgement never arrives, so the move waits for the expiry of this daemon's lease.
    world.nodes[2].peers_cut = true;
    world.outage(Some(2), true);
    world.crash("a");
    let mut first_move = None;
    for _ in 0..100 {
        let _ = world.query(sessions[0], "READ 1");
        let _ = world.query(sessions[1], "READ 1");
        first_move = world.nodes[0].state.groups["orders"].latest_move.clone();
        if first_move.is_some() {
            break;
        }
        world.run(20);
    }
    let first_move = first_move.expect("a daemon moves the primary");
    let name = first_move.intention.by.clone();
    let failed = (0..3).find(|it| world.nodes[*it].state.settings.daemon == name);
    let failed = failed.expect("the moving daemon is one of them");
    world.kill(failed);
    let left: Vec<_> =
        sessions.iter().filter(|(daemon, _)| *daemon != failed && *daemon != 2).copied().collect();
    write_until_acknowledged(&mut world, &left);
    let (_, fence) = world.promotions[0];
    assert!(fence > first_move.revision, "{fence} after {}", first_move.revision);
}

#[test]
fn fencing_tokens_never_decrease() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    world.crash("a");
    write_until_acknowledged(&mut world, &sessions);
    world.replicate();
    let second = world.promotions[0].0.clone();
    world.crash(&second);
    write_until_acknowledged(&mut world, &sessions);
    let fences: Vec<_> = world.promotions.iter().map(|(_, fence)| *fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
}

#[test]
fn single_statements_continue_while_transactions_finish_before_a_planned_move() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    world.query(sessions[0], "BEGIN").expect("BEGIN succeeds");
    world.query(sessions[0], "WRITE 2 y").expect("the write succeeds");
    world.update_entry("a", |entry| entry.draining = true);
    world.run(200);
    assert!(world.nodes[1].state.groups["orders"].latest_move.is_some(), "the move has begun");
    for session in &sessions[1..] {
        world.query(*session, "WRITE 3 z").expect("it is served by the old primary");
        world.query(*session, "BEGIN").expect("BEGIN succeeds");
        world.query(*session, "READ 3").expect_err("a transaction would outlive the old primary");
        world.query(*session, "ROLLBACK").expect("ROLLBACK succeeds");
    }
    world.query(sessions[0], "COMMIT").expect("COMMIT succeeds");
    world.replicate();
    write_until_acknowledged(&mut world, &sessions);
}

#[test]
fn a_superseded_primary_takes_over_only_after_it_has_become_a_replica() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    // Commits that no replica received give it the newest position of its term.
    world.query(sessions[0], "WRITE 1 x").expect("the write succeeds");
    world.crash("a");
    for _ in 0..200 {
        if world.promotions.is_empty() {
            let _ = world.query(sessions[0], "READ 1");
            world.run(20);
        }
    }
    let second = world.promotions[0].0.clone();
    world.server("a").up = true;
    world.run(400);
    world.crash(&second);
    write_until_acknowledged(&mut world, &sessions);
    let third = &world.promotions.last().expect("the primary was moved again").0;
    assert!(third != "a" && *third != second, "{:?}", world.promotions);
}

#[test]
fn a_new_primary_is_not_suspected_for_earlier_failures() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    for (server, daemon) in [("b", 0), ("b", 1), ("b", 2), ("c", 0), ("c", 1), ("c", 2)] {
        let pool = world.nodes[daemon].state.pools.entry(server.into()).or_default();
        pool.health.failing_since = Some(std::time::Duration::from_millis(10));
        pool.health.failures = 9;
    }
    world.crash("a");
    write_until_acknowledged(&mut world, &sessions);
    let mut fences: Vec<_> = world.promotions.iter().map(|(_, fence)| *fence).collect();
    fences.dedup();
    assert_eq!(fences.len(), 1, "{:?}", world.promotions);
}

/// A daemon that starts after a planned move finds the intention in the store, but the move does
/// not wait for its acknowledgement. It must not use the old primary.
#[test]
fn a_daemon_that_starts_after_a_planned_move_does_not_use_the_old_primary() {
    let mut world = World::new(2);
    let sessions = warm_up(&mut world);
    world.update_entry("a", |entry| entry.draining = true);
    while world.promotions.is_empty() {
        world.replicate();
        world.run(50);
    }
    write_until_acknowledged(&mut world, &sessions);
    world.kill(1);
    world.boot(1);
    while !world.nodes[1].ready {
        world.run(1);
    }
    let session = world.login(1, "latest", "key");
    for number in 0..20 {
        let read = format!("READ new{number}");
        world.query(session, &read).expect("the new primary serves it");
        assert_eq!(world.ran("a", &read), 0, "read {number} ran at the old primary");
    }
}

/// The failure domain of the primary loses power, and with it daemons that used the primary. Once
/// the store has dropped the server's entry and the leases of those daemons, nobody uses it.
#[test_case(12)]
#[test_case(100)]
#[test_case(300)]
fn a_fleet_serves_again_after_the_loss_of_the_primarys_failure_domain(daemons: usize) {
    let mut world = World::with_domains(daemons, 6);
    world.run(13_000);
    let survivors: Vec<_> = (0..daemons).filter(|daemon| daemon % 6 != 0).collect();
    let writer = world.login(survivors[0], "latest", "key");
    for _ in 0..5 {
        world.query(writer, "WRITE 1 x").expect("write succeeds");
        world.replicate();
        world.run(100);
    }
    for daemon in (0..daemons).step_by(6) {
        world.kill(daemon);
    }
    world.darken("a");
    let began = world.now_ms;
    while world.query(writer, "WRITE 1 x").is_err() {
        world.run(50);
        let took = world.now_ms - began;
        assert!(took < 9500, "no write after {took} ms");
    }
}

/// Connections that a fleet opens in the seconds after a primary fell dark.
fn connections_of_a_failover(daemons: usize) -> usize {
    let mut world = World::with_domains(daemons, 6);
    world.run(13_000);
    let writer = world.login(1, "latest", "key");
    for _ in 0..5 {
        world.query(writer, "WRITE 1 x").expect("write succeeds");
        world.replicate();
        world.run(100);
    }
    let before = world.logins_at_servers;
    world.darken("a");
    for _ in 0..160 {
        let _ = world.query(writer, "WRITE 1 x");
        world.run(50);
    }
    world.logins_at_servers - before
}

/// Checks by every host would keep the servers of many databases busy when they fail together.
#[test_case(30)]
#[test_case(100)]
#[test_case(300)]
#[test_case(1000)]
fn a_failover_opens_few_connections_in_a_fleet_of_any_size(daemons: usize) {
    let opened = connections_of_a_failover(daemons);
    // Five daemons check two candidates, each twice at most.
    assert!(opened <= 20, "{opened} connections");
}

/// Drains the primary while the chosen successor, and perhaps another replica, receives nothing.
/// Returns the successor.
fn drain_with_a_deaf_successor(world: &mut World, writer: Session) -> String {
    world.update_entry("a", |entry| entry.draining = true);
    let mut successor = None;
    for _ in 0..400 {
        let moved = world.nodes[0].state.groups["orders"].latest_move.clone();
        successor = moved.map(|moved| moved.intention.to.to_string());
        if successor.is_some() {
            break;
        }
        world.run(5);
    }
    let successor = successor.expect("the move has begun");
    world.server(&successor).replication_paused = true;
    for _ in 0..4 {
        world.query(writer, "WRITE 1 x").expect("the old primary still serves single statements");
        world.replicate();
        world.run(50);
    }
    successor
}

fn log_of_first_promoted(world: &World) -> u64 {
    world.servers[&world.promotions[0].0].log
}

/// The chosen successor stops receiving before the old primary is released. It was promoted after a
/// while although another replica had received every commit.
#[test]
fn a_successor_that_lacks_commits_is_exchanged_for_a_replica_that_holds_them() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    let successor = drain_with_a_deaf_successor(&mut world, sessions[0]);
    let acknowledged = world.servers["a"].log;
    world.run(1500);
    world.crash("a");
    let took = write_until_acknowledged(&mut world, &sessions[..1]);
    assert_ne!(world.promotions[0].0, successor);
    assert!(log_of_first_promoted(&world) > acknowledged, "every acknowledged commit is kept");
    assert!(took < 1500, "{took} ms");
}

/// The mover fails as well: its successor excludes the first target, whichever position it has, and
/// knew only the positions at that target.
#[test]
fn a_move_that_is_taken_over_keeps_the_commits_at_the_first_primary() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    world.update_entry("a", |entry| entry.draining = true);
    let mut moved = None;
    for _ in 0..400 {
        moved = world.nodes[0].state.groups["orders"].latest_move.clone();
        if moved.is_some() {
            break;
        }
        world.run(5);
    }
    let intention = moved.expect("the move has begun").intention;
    let other = if intention.to == "b" { "c" } else { "b" };
    world.server(other).replication_paused = true;
    let failed = (0..3).find(|it| world.nodes[*it].state.settings.daemon == intention.by);
    let failed = failed.expect("the moving daemon is one of them");
    let writer = *sessions.iter().find(|(daemon, _)| *daemon != failed).expect("another session");
    for _ in 0..4 {
        world.query(writer, "WRITE 1 x").expect("the old primary still serves single statements");
        world.replicate();
        world.run(50);
    }
    let acknowledged = world.servers["a"].log;
    world.kill(failed);
    world.run(1000);
    world.crash("a");
    write_until_acknowledged(&mut world, &[writer]);
    assert!(log_of_first_promoted(&world) > acknowledged, "every acknowledged commit is kept");
}

/// Without a replica that holds every commit, the one with the most is promoted.
#[test]
fn among_replicas_that_lack_commits_the_newest_is_promoted() {
    let mut world = World::new(3);
    let sessions = warm_up(&mut world);
    let successor = drain_with_a_deaf_successor(&mut world, sessions[0]);
    let other = if successor == "b" { "c" } else { "b" };
    let newest = world.servers[other].log;
    world.server(other).replication_paused = true;
    world.query(sessions[0], "WRITE 1 x").expect("the old primary still serves single statements");
    world.run(1000);
    world.crash("a");
    let took = write_until_acknowledged(&mut world, &sessions[..1]);
    // The old primary is known to have failed, so nothing is gained by more time.
    assert!(took < 5000, "{took} ms");
    assert!(log_of_first_promoted(&world) > newest, "it has more than the first choice");
    assert_eq!(world.promotions[0].0, other);
}
