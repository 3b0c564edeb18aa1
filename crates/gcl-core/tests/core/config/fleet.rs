//! Differential tests of the propagation of the configuration against a plain list of revisions.

use super::world::{Fault, World, name, same_contents};
use gcl_core::{
    code::Code,
    config::{snapshot::PREFIX, tree::RELAYS_PER_DOMAIN},
    key,
    operation::api::{Report, Status},
    operator::{Method, Response},
    store::Change,
};
use proptest::{
    prelude::{Just, Strategy, any, prop_oneof},
    test_runner::{Config, RngSeed, TestRunner},
};
use std::collections::HashMap;

/// A random step of the simulation.
#[derive(Clone, Debug)]
enum Action {
    Run(u64),
    /// An operator at a daemon sets the rate of one of a few workspaces.
    Change {
        node: usize,
        object: u64,
        rate: u64,
    },
    Outage(bool),
    Cut(Option<&'static str>),
    Restart(usize),
    Faults {
        loss: u64,
        repeat: u64,
        delay_ms: u64,
        lost_answer: u64,
    },
}

const NODES: usize = 7;

fn action() -> impl Strategy<Value = Action> {
    let fault = (0..30_u64, 0..30_u64, 0..800_u64, 0..40_u64);
    prop_oneof![
        4 => (10..2500_u64).prop_map(Action::Run),
        4 => (0..NODES, 0..3_u64, 1..1000_u64)
            .prop_map(|(node, object, rate)| Action::Change { node, object, rate }),
        1 => any::<bool>().prop_map(Action::Outage),
        1 => prop_oneof![Just(None), Just(Some("alpha")), Just(Some("beta"))]
            .prop_map(Action::Cut),
        1 => (0..NODES).prop_map(Action::Restart),
        1 => fault.prop_map(|(loss, repeat, delay_ms, lost_answer)| Action::Faults {
            loss, repeat, delay_ms, lost_answer
        }),
    ]
}

fn runner(cases: u32, seed: u64) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    })
}

fn change(world: &mut World, node: usize, object: u64, rate: u64, changes: &mut u64) -> u64 {
    *changes += 1;
    let body = format!(
        r#"{{"change":"c{changes}","objects":[{{"object":{{"kind":"workspace",
        "name":"w{object}","rate":{rate},"burst":1}}}}]}}"#
    );
    world.operate(node, Method::Post, "apply", body)
}

fn run_action(world: &mut World, action: &Action, changes: &mut u64, sent: &mut HashMap<u64, u64>) {
    match action {
        Action::Run(ms) => {
            for _ in 0..ms.div_ceil(250) {
                world.run(250);
                world.check_all();
            }
        }
        Action::Change { node, object, rate } => {
            let operation = change(world, *node, *object, *rate, changes);
            sent.insert(operation, *changes);
        }
        Action::Outage(down) => world.set_down(*down),
        Action::Cut(cut) => world.set_cut(*cut),
        // The model does not cover a relay that fails with an announced change during an outage.
        Action::Restart(node) if !world.down && world.cut.is_none() => world.restart(*node),
        Action::Restart(_) => {}
        Action::Faults { loss, repeat, delay_ms, lost_answer } => {
            let (loss, repeat, delay_ms) = (*loss, *repeat, *delay_ms);
            world.fault = Fault { loss, repeat, delay_ms, lost_answer: *lost_answer };
        }
    }
    world.check_all();
}

/// Checks that the status reported for each change agrees with the store.
fn check_answers(world: &World, sent: &HashMap<u64, u64>) {
    for (operation, response) in &world.answers {
        let Response::Json(body) = response else { continue };
        let report: Report =
            serde_json::from_str(body).expect("a change is answered with a report");
        let name = format!("\"change\":\"c{}\"", sent[operation]);
        let made = world.log.iter().filter(|(_, change)| match change {
            Change::Put(entry) => String::from_utf8_lossy(&entry.value).contains(&name),
            Change::Deleted { .. } => false,
        });
        let (made, result) = (made.count(), &report.results[0]);
        match result.status {
            Status::Changed => assert_eq!(made, 1, "{result:?}"),
            Status::Unknown => assert!(made <= 1, "{result:?}"),
            _ => assert_eq!(made, 0, "{result:?}"),
        }
    }
}

#[test]
fn the_fleet_follows_the_list_of_revisions() {
    let cases = proptest::collection::vec(action(), 1..40);
    let result = runner(150, 41).run(&(any::<u64>(), cases), |(seed, actions)| {
        let mut world = World::new(NODES, seed);
        let (mut changes, mut sent) = (0, HashMap::new());
        world.run(3000);
        for action in &actions {
            run_action(&mut world, action, &mut changes, &mut sent);
        }
        world.set_down(false);
        world.set_cut(None);
        world.fault = Fault::default();
        world.run(45_000);
        world.check_all();
        check_answers(&world, &sent);
        for node in 0..NODES {
            let config = &world.state(node).config;
            assert!(
                same_contents(&config.snapshot, &world.expected_snapshot(u64::MAX)),
                "daemon {node} is behind"
            );
            assert!(
                key::check_freshness(world.state(node), world.clock(node), "w0").is_ok(),
                "{node}"
            );
        }
        Ok(())
    });
    result.expect("every daemon ends with the configuration of the store");
}

/// A fleet of 60 daemons in three failure domains, so that most are not relays.
fn large_fleet(seed: u64) -> World {
    let mut world = World::new(60, seed);
    world.run(5000);
    world
}

#[test]
fn a_change_is_in_force_everywhere_within_a_second() {
    let mut world = large_fleet(3);
    world.fault.delay_ms = 10;
    change(&mut world, 17, 0, 5, &mut 0);
    world.run(1000);
    assert_eq!(world.log.len(), 2, "the change and its guard are in the store");
    for node in 0..world.count() {
        assert_eq!(world.state(node).config.applied, 2, "daemon {node}");
    }
}

#[test]
fn only_relays_call_the_store() {
    let world = large_fleet(4);
    let relays =
        (0..world.count()).filter(|node| world.state(*node).config.store_confirmed.is_some());
    assert_eq!(relays.count(), 3 * RELAYS_PER_DOMAIN);
}

#[test]
fn a_fresh_daemon_gets_the_configuration_from_others_in_an_outage() {
    let mut world = large_fleet(5);
    change(&mut world, 1, 0, 5, &mut 0);
    world.run(1000);
    world.set_down(true);
    for node in [0, 20] {
        world.restart(node);
    }
    world.run(3000);
    for node in [0, 20] {
        assert_eq!(world.state(node).config.applied, 2, "daemon {node}");
    }
}

#[test]
fn keys_stay_good_while_the_store_is_down_for_all() {
    let mut world = large_fleet(6);
    change(&mut world, 1, 0, 5, &mut 0);
    world.run(8000);
    world.set_down(true);
    for _ in 0..60 {
        world.run(1000);
        for node in 0..world.count() {
            let fresh = key::check_freshness(world.state(node), world.clock(node), "w0");
            assert_eq!(fresh, Ok(()), "daemon {node} at {}", world.now_ms);
        }
    }
}

#[test]
fn keys_stay_good_when_the_store_goes_down_right_after_the_start() {
    for seed in 0..200 {
        let mut world = World::new(2, seed);
        change(&mut world, 1, 0, 5, &mut 0);
        world.run(100);
        world.set_down(true);
        for _ in 0..90 {
            world.run(100);
            for node in 0..world.count() {
                let fresh = key::check_freshness(world.state(node), world.clock(node), "w0");
                assert_eq!(fresh, Ok(()), "seed {seed}, daemon {node} at {}", world.now_ms);
            }
        }
    }
}

#[test]
fn keys_stop_in_a_domain_that_is_cut_off() {
    let mut world = large_fleet(7);
    change(&mut world, 1, 0, 5, &mut 0);
    world.run(8000);
    world.set_cut(Some("beta"));
    world.run(6000);
    for node in 0..world.count() {
        let fresh = key::check_freshness(world.state(node), world.clock(node), "w0");
        let cut = world.state(node).settings.domain == "beta";
        let code = fresh.err().map(|fault| fault.code);
        assert_eq!(code, cut.then_some(Code::StaleConfiguration), "daemon {node}");
    }
}

#[test]
fn a_store_that_only_one_domain_reaches_serves_all() {
    let mut world = large_fleet(8);
    world.set_cut(Some("alpha"));
    world.run(4000);
    world.set_cut(None);
    world.run(3000);
    change(&mut world, 1, 0, 5, &mut 0);
    world.run(1000);
    let behind = (0..world.count()).filter(|node| world.state(*node).config.applied != 2);
    assert_eq!(behind.collect::<Vec<_>>(), Vec::<usize>::new());
}

#[test]
fn few_calls_are_made_when_the_store_returns() {
    let mut world = large_fleet(9);
    world.set_down(true);
    world.run(60_000);
    world.set_down(false);
    let before = world.calls;
    world.run(1000);
    let calls = world.calls - before;
    assert!(calls <= 4 * 3 * RELAYS_PER_DOMAIN as u64, "{calls} calls in the first second");
}

#[test]
fn wait_lists_the_daemons_where_a_change_is_not_in_force() {
    let mut world = large_fleet(10);
    world.set_cut(Some("gamma"));
    change(&mut world, 1, 0, 5, &mut 0);
    let wait = "config/wait?revision=2&timeout_ms=2000";
    world.operate(1, Method::Get, wait, String::new());
    world.run(4000);
    let Some((_, Response::Json(body))) = world.answers.last() else {
        panic!("the request has no JSON answer")
    };
    let wait: gcl_core::operation::api::Wait =
        serde_json::from_str(body).expect("the answer is a `Wait`");
    assert!(!wait.in_force);
    let gamma = |node: &usize| super::world::domain(*node) == "gamma";
    let expected: Vec<_> = (0..60).filter(gamma).map(name).collect();
    let mut behind: Vec<_> = wait.behind.into_iter().map(|behind| behind.daemon).collect();
    behind.sort_by_key(|name| name[1..].parse::<usize>().expect("daemon names end in a number"));
    assert_eq!(behind, expected);
    assert!(world.log.iter().all(|(_, change)| change.key().starts_with(PREFIX)));
}
