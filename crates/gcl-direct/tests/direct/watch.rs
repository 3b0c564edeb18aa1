//! What daemons know of the store's contents while it is silent, and afterwards.

use super::world::World;
use test_case::test_case;

/// Calls to the store that a calm fleet makes in a number of minutes: renewals, and all others.
fn calm_calls(daemons: usize, minutes: u64) -> (usize, usize) {
    let mut world = World::with_domains(daemons, 6);
    world.watches_end = true;
    // Watches from the start do not end by themselves; a new configuration ends them.
    world.configure(|_config| {});
    world.update_entry("a", |_entry| {});
    world.put_item("goldcrest/test", "");
    world.run(40_000);
    world.store_calls.clear();
    world.run(minutes * 60_000);
    let renewals = world.store_calls.swap_remove("renew").unwrap_or_default();
    (renewals, world.store_calls.values().sum())
}

/// Following the store again after an outage must add no calls in normal operation: the store charges
/// for each. The numbers were measured on commit d7699b8, before the change.
#[test_case(3, (1497, 186))]
#[test_case(12, (5988, 744))]
fn a_calm_fleet_makes_no_more_calls(daemons: usize, before: (usize, usize)) {
    assert_eq!(calm_calls(daemons, 10), before);
}

/// Milliseconds until a condition holds.
fn time_until(world: &mut World, limit_ms: u64, holds: impl Fn(&World) -> bool) -> u64 {
    let began = world.now_ms;
    while !holds(world) {
        world.run(10);
        assert!(world.now_ms - began < limit_ms, "not within {limit_ms} ms");
    }
    world.now_ms - began
}

/// Changes every topic while the store is about to fall silent, so that each daemon's next watches
/// begin in the outage, and ends the outage.
fn survive_silence(world: &mut World, silence_ms: u64) {
    world.configure(|_config| {});
    world.update_entry("b", |_entry| {});
    world.put_item("goldcrest/test", "");
    world.run(1);
    world.silence_store(true);
    world.run(silence_ms);
    world.silence_store(false);
}

/// Watches that began in a silent outage reported nothing for 30 s. A key that was withdrawn after it
/// went on working, and new servers were unknown.
#[test_case(2000)]
#[test_case(4500)]
#[test_case(6000)]
fn all_topics_are_followed_again_within_two_seconds_of_a_silent_outage(silence_ms: u64) {
    for offset_ms in [0, 300, 600, 900, 1200, 1500] {
        let mut world = World::new(3);
        world.run(offset_ms);
        survive_silence(&mut world, silence_ms);
        world.configure(|config| config.keys.clear());
        world.update_entry("c", |entry| entry.draining = true);
        world.put_item(
            "goldcrest/daemon/d9",
            r#"{"incarnation":9,"address":"127.0.0.1:9","domain":"alpha","acknowledged":{}}"#,
        );
        let took = time_until(&mut world, 30_000, |world| {
            world.nodes.iter().all(|node| {
                let state = &node.state;
                state.config.as_ref().is_some_and(|config| config.keys.is_empty())
                    && state.directory["c"].draining
                    && state.members.contains_key("d9")
            })
        });
        assert!(took <= 2000, "{took} ms after {silence_ms} ms, offset {offset_ms} ms");
    }
}

/// A watch that is begun again replaces the earlier one: further outages add no calls.
#[test]
fn a_watch_that_is_begun_again_replaces_the_earlier_one() {
    let mut world = World::new(3);
    for _ in 0..3 {
        survive_silence(&mut world, 4500);
        world.run(10_000);
    }
    world.watches_end = true;
    survive_silence(&mut world, 4500);
    world.run(60_000);
    world.store_calls.clear();
    world.run(10 * 60_000);
    let renewals = world.store_calls.swap_remove("renew").unwrap_or_default();
    let others: usize = world.store_calls.values().sum();
    assert_eq!(others, calm_calls(3, 10).1, "{renewals} renewals");
}

/// One daemon has not heard of a server to which another moves the primary. It took the server as
/// gone and replaced the move after 0.8 s, and the other replaced its move in turn.
#[test]
fn an_unknown_target_is_not_taken_as_gone() {
    let mut world = World::new(3);
    let sessions: Vec<_> = (0..3).map(|it| world.login(it, "latest", "key")).collect();
    for session in &sessions {
        world.query(*session, "WRITE 1 x").expect("the write succeeds");
    }
    world.replicate();
    for daemon in [1, 2] {
        world.nodes[daemon].watches_hung = true;
    }
    for name in ["b", "c"] {
        world.update_entry(name, |entry| entry.draining = true);
    }
    world.add_server("d", "alpha", false);
    let log = world.servers["a"].log;
    world.server("d").log = log;
    world.run(1000);
    world.update_entry("a", |entry| entry.draining = true);
    for _ in 0..200 {
        let _ = world.try_query(sessions[0], "WRITE 1 x");
        world.replicate();
        world.run(20);
    }
    let targets: Vec<_> = world.promotions.iter().map(|(server, _)| server.as_str()).collect();
    assert!(targets.iter().all(|target| *target == "d"), "{targets:?}");
    assert!(!targets.is_empty(), "the primary is moved");
}

fn lines(world: &World, event: &str) -> usize {
    world.log.iter().filter(|(_, line)| line.event == event).count()
}

/// While updates may have been missing for a while, a daemon may not know of the servers and moves
/// of others. It decides no move with such a view, and decides it once it follows the store again.
#[test]
fn a_daemon_with_an_old_view_decides_no_move() {
    let mut world = World::new(3);
    let sessions: Vec<_> = (0..3).map(|it| world.login(it, "latest", "key")).collect();
    for session in &sessions {
        world.query(*session, "WRITE 1 x").expect("the write succeeds");
    }
    world.replicate();
    survive_silence(&mut world, 0);
    world.silence_store(true);
    world.run(3000);
    world.crash("a");
    for _ in 0..60 {
        let _ = world.try_query(sessions[0], "WRITE 1 x");
        world.run(20);
    }
    assert_eq!(lines(&world, "moving the primary"), 0, "the view is old");
    assert!(lines(&world, "move deferred") > 0);
    world.silence_store(false);
    let took = time_until(&mut world, 6000, |world| !world.promotions.is_empty());
    assert!(lines(&world, "moving the primary") <= 2, "moves replace each other");
    assert!(took < 4000, "{took} ms");
}

/// A later release may write coordination keys that this one does not know.
#[test]
fn an_unknown_coordination_key_is_left_aside() {
    let mut world = World::new(3);
    world.put_item("goldcrest/later/orders", "{");
    world.run(1000);
    assert!(world.nodes.iter().all(|node| node.ready));
    let session = world.login(0, "latest", "key");
    world.query(session, "WRITE 1 x").expect("the write is served");
}
