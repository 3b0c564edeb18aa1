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
    assert_eq!(history.covering(ms(0)), Some(Mark::new(1, 1)));
    assert_eq!(history.covering(ms(250)), Some(Mark::new(1, 3)));
    assert_eq!(history.covering(ms(500)), Some(Mark::new(1, 5)));
    assert_eq!(history.covering(ms(501)), None);
}

#[test]
fn positions_close_together_are_kept_once() {
    let mut history = History::default();
    history.observe(ms(100), Mark::new(1, 1));
    history.observe(ms(101), Mark::new(1, 2));
    assert_eq!(history.newest(), Some((ms(100), Mark::new(1, 1))));
}

/// A daemon that had just started took a position from before its start for one of its start, and so
/// for recent enough, since its clock has no earlier time.
#[test_case(900, Some(Mark::new(1, 7)); "a position since the start")]
#[test_case(1100, None; "a position from before the start")]
#[test_case(60_000, None; "a position of a minute ago")]
fn a_position_of_another_host_counts_from_the_start_on(age_ms: u64, known: Option<Mark>) {
    let mut world = World::new(1);
    let position = Position {
        database: "stock".into(),
        requested: ms(1000),
        newest: Some((Mark::new(1, 7), ms(age_ms))),
    };
    let response = link::Event::Responded("d1".into(), Response::Position(position));
    world.deliver(0, Event::Link(response));
    let history = |world: &World| {
        let group = world.nodes[0].state.groups.get("stock");
        group.and_then(|group| group.history.covering(Duration::ZERO))
    };
    assert_eq!(history(&world), known);
}
