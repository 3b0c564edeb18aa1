//! Tests of `gcl_core::member`: daemons that exchange only membership messages.

mod world;

use self::world::World;
use gcl_core::{
    config::object::{Object, Server},
    event::Event,
    member::{self, Message},
    peer,
    store::{self, Reply, Vm},
};

/// Maximum time in milliseconds until all daemons have detected a failure.
const DETECTION_MS: u64 = 3_500;

#[test]
fn daemons_that_know_one_seed_discover_all_others() {
    let mut world = World::new(12, 3);
    world.run(4_000);
    for index in 0..12 {
        assert_eq!(world.alive(index).len(), 11, "d{index} knows all others");
    }
}

#[test]
fn a_failure_is_detected_by_all_within_the_bound() {
    let mut world = World::new(12, 3);
    world.run(4_000);
    world.stop(5);
    world.run(DETECTION_MS);
    for index in (0..12).filter(|index| *index != 5) {
        assert!(!world.alive(index).contains(&"d5".to_owned()), "d{index} detects the failure");
        assert_eq!(world.alive(index).len(), 10, "d{index} suspects no other daemon");
    }
}

#[test]
fn a_daemon_cut_from_one_other_stays_alive() {
    let mut world = World::new(6, 1);
    world.run(4_000);
    world.cut(0, 1);
    world.cut(1, 0);
    world.run(20_000);
    for index in 0..6 {
        assert_eq!(world.alive(index).len(), 5, "d{index} keeps all others");
    }
}

#[test]
fn a_paused_daemon_refutes_its_death() {
    let mut world = World::new(6, 2);
    world.run(4_000);
    world.pause(2, 4_000);
    world.run(DETECTION_MS);
    assert!(!world.alive(0).contains(&"d2".to_owned()), "the paused daemon counts as dead");
    world.run(10_000);
    for index in 0..6 {
        assert_eq!(world.alive(index).len(), 5, "d{index} accepts the refutation");
    }
}

#[test]
fn a_leaving_daemon_is_gone_at_once() {
    let mut world = World::new(6, 1);
    world.run(4_000);
    world.reduce(3, Event::Stop);
    world.run(50);
    for index in (0..6).filter(|index| *index != 3) {
        assert!(!world.alive(index).contains(&"d3".to_owned()), "d{index} was notified");
    }
}

#[test]
fn the_platform_list_adds_unknown_daemons_but_revives_no_dead_ones() {
    let mut world = World::new(3, 1);
    world.run(4_000);
    world.stop(2);
    world.run(DETECTION_MS);
    let vm = |name: &str| Vm {
        daemon: name.into(),
        domain: "domain-0".into(),
        address: "10.0.0.9:1".into(),
        leaving: false,
    };
    let call = world.vms(0).expect("a delegate reads the list");
    let result = Ok(Reply::Vms(vec![vm("d2"), vm("d9")]));
    world.reduce(0, Event::Store(store::Event::Answered { call, result }));
    assert!(world.alive(0).contains(&"d9".to_owned()), "the unknown VM is added");
    assert!(!world.alive(0).contains(&"d2".to_owned()), "the dead daemon stays dead");
    world.run(DETECTION_MS + 2_000);
    assert!(!world.alive(0).contains(&"d9".to_owned()), "a VM that never answers is declared dead");
}

#[test]
fn the_home_of_a_server_is_the_same_everywhere_and_moves_only_with_its_daemon() {
    let mut world = World::new(9, 3);
    world.run(4_000);
    for index in 0..9 {
        for server in 0..40 {
            let server = Server {
                name: format!("s{server}").into(),
                database: "db".into(),
                domain: format!("domain-{}", server % 3).into(),
                address: "127.0.0.1:1".parse().expect("the address is well formed"),
                slots: 1,
                connections: 1,
                leaving: false,
                labels: indexmap::IndexMap::new(),
            };
            world.state(index).config.snapshot.put(1, Object::Server(server));
        }
    }
    let homes = |world: &mut World, index: usize| -> Vec<_> {
        (0..40)
            .map(|server| member::home(world.state(index), &format!("s{server}").into()))
            .collect()
    };
    let before = homes(&mut world, 0);
    for index in 1..9 {
        assert_eq!(homes(&mut world, index), before, "d{index} agrees");
    }
    world.stop(4);
    world.run(DETECTION_MS);
    let after = homes(&mut world, 0);
    for (old, new) in before.iter().zip(&after) {
        assert_eq!(old != new, old.as_deref() == Some("d4"), "only the dead daemon's servers move");
    }
}

#[test]
fn idle_traffic_of_a_daemon_is_bounded() {
    let mut world = World::new(40, 4);
    world.run(20_000);
    world.reset_traffic();
    world.run(20_000);
    let most = (0..40).map(|index| world.sent(index)).max().unwrap_or(0);
    assert!(most / 20 < 2_000, "a daemon sends {} bytes a second as JSON", most / 20);
}

#[test]
fn a_ping_is_acknowledged() {
    let mut world = World::new(2, 1);
    world.run(1_000);
    let acks =
        world.messages(|message| matches!(message, peer::Message::Member(Message::Ack { .. })));
    assert!(acks > 0, "probes are answered");
}
