//! Choice among the observed log positions of a primary.

use super::world::World;
use gcl_core::mark::Mark;
use gcl_direct::{
    event::Event,
    link::{self, Position, Response},
    observation::History,
};
use std::time::Duration;
use test_case::test_case;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn the_oldest_position_within_the_accepted_age_is_chosen() {
    let mut history = History::default();
    for step in 1..=5 {
        history.observe(ms(step * 100), Mark::new(1, step));
    }
    assert_eq!(history.covering(ms(0), ms(0)), Some(Mark::new(1, 1)));
    assert_eq!(history.covering(ms(300), ms(50)), Some(Mark::new(1, 3)));
    assert_eq!(history.covering(ms(500), ms(0)), Some(Mark::new(1, 5)));
    assert_eq!(history.covering(ms(1501), ms(1000)), None);
}

#[test]
fn positions_close_together_are_kept_once() {
    let mut history = History::default();
    history.observe(ms(100), Mark::new(1, 1));
    history.observe(ms(101), Mark::new(1, 2));
    assert_eq!(history.newest(ms(150)), Some((Mark::new(1, 1), ms(50))));
}

/// A daemon that had just started took a position from before its start for one of its start, and so
/// for recent enough, since its clock has no earlier time.
#[test_case(900, 0, true; "a position since the start")]
#[test_case(1100, 0, false; "a position from before the start")]
#[test_case(1100, 99, false; "one that is older than a read accepts")]
#[test_case(1100, 100, true; "one that a read accepts")]
#[test_case(60_000, 1500, false; "a position of a minute ago")]
#[test_case(u64::MAX, 1500, false; "an age beyond all bounds")]
fn a_position_from_before_a_daemons_start_keeps_its_age(age_ms: u64, accepted: u64, used: bool) {
    let mut world = World::new(1);
    let position = Position {
        database: "stock".into(),
        requested: ms(1000),
        newest: Some((Mark::new(1, 7), ms(age_ms))),
    };
    let response = link::Event::Responded("d1".into(), Response::Position(position));
    world.deliver(0, Event::Link(response));
    let history = world.nodes[0].state.groups.get("stock").map(|group| group.history.clone());
    let known = history.and_then(|history| history.covering(ms(0), ms(accepted)));
    assert_eq!(known.is_some(), used);
}

/// What it tells other daemons of such a position is its age, not that of its own start.
#[test]
fn the_age_of_a_position_is_passed_on() {
    let mut history = History::default();
    history.observe_aged(ms(200), ms(5000), Mark::new(1, 7));
    assert_eq!(history.newest(ms(300)), Some((Mark::new(1, 7), ms(5100))));
}
