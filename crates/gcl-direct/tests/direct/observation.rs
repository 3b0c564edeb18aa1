//! Choice among the observed log positions of a primary.

use gcl_core::mark::Mark;
use gcl_direct::observation::History;
use std::time::Duration;

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
