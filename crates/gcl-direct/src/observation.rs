//! Observed log positions of a primary, by the time of the request that returned them.
//!
//! A position that a primary reports includes every commit that was acknowledged before the request
//! was sent. A replica that has reached the position can therefore serve any read that accepts data
//! as old as the request, without synchronized clocks. The oldest position within the accepted age
//! is the one that a replica is most likely to have reached.

use gcl_core::mark::Mark;
use std::{collections::VecDeque, time::Duration};

/// Shortest time between kept positions; closer ones would make no difference to a replica.
const MIN_INTERVAL: Duration = Duration::from_millis(40);
/// Age above which positions are dropped; longer than any age that reads accept.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Time of the daemon's start among the times of positions. Another daemon may know a position from
/// before it.
const START: Duration = MAX_AGE;

/// Positions of one database's primary, oldest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Positions with their times, which begin [`START`] before the daemon's clock.
    positions: VecDeque<(Duration, Mark)>,
}

impl History {
    /// Records a position from the primary's response to a request sent at `requested`.
    pub fn observe(&mut self, requested: Duration, mark: Mark) {
        self.record(requested + START, mark);
    }

    /// Records a position from another daemon that was at most `age` old at `requested`.
    pub fn observe_aged(&mut self, requested: Duration, age: Duration, mark: Mark) {
        if let Some(at) = (requested + START).checked_sub(age) {
            self.record(at, mark);
        }
    }

    fn record(&mut self, requested: Duration, mark: Mark) {
        while self.positions.front().is_some_and(|(at, _)| *at + MAX_AGE < requested) {
            self.positions.pop_front();
        }
        match self.positions.back() {
            Some((at, _)) if *at + MIN_INTERVAL > requested => {}
            _ => self.positions.push_back((requested, mark)),
        }
    }

    /// The oldest position that includes every commit acknowledged longer than `age` before `time`.
    #[must_use]
    pub fn covering(&self, time: Duration, age: Duration) -> Option<Mark> {
        let since = (time + START).saturating_sub(age);
        let first = self.positions.partition_point(|(at, _)| *at < since);
        self.positions.get(first).map(|(_, mark)| *mark)
    }

    /// The newest position, and its age at a time.
    #[must_use]
    pub fn newest(&self, now: Duration) -> Option<(Mark, Duration)> {
        let newest = self.positions.back();
        newest.map(|(at, mark)| (*mark, (now + START).saturating_sub(*at)))
    }
}
