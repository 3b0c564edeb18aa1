//! Log positions that a primary was seen at, by the time of the question.
//!
//! A position that a primary reports is at least as new as every commit that was acknowledged before
//! the question was sent. A replica that has reached it therefore serves any read that accepts the
//! age of the question, and no two clocks have to agree. The oldest position that is still young
//! enough is the easiest for a replica to have reached.

use gcl_core::mark::Mark;
use std::{collections::VecDeque, time::Duration};

/// Time between two positions that are kept; a closer one adds nothing that a replica would notice.
const SPACING: Duration = Duration::from_millis(40);
/// Age beyond which no position is kept; longer than any age that reads accept.
const KEPT: Duration = Duration::from_secs(30);

/// Positions of one database's primary, oldest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    seen: VecDeque<(Duration, Mark)>,
}

impl History {
    /// Takes a position that answered a question sent at `asked`.
    pub fn observe(&mut self, asked: Duration, mark: Mark) {
        while self.seen.front().is_some_and(|(at, _)| *at + KEPT < asked) {
            self.seen.pop_front();
        }
        match self.seen.back() {
            Some((at, _)) if *at + SPACING > asked => {}
            _ => self.seen.push_back((asked, mark)),
        }
    }

    /// The oldest position that includes every commit acknowledged before `since`.
    #[must_use]
    pub fn covering(&self, since: Duration) -> Option<Mark> {
        let first = self.seen.partition_point(|(at, _)| *at < since);
        self.seen.get(first).map(|(_, mark)| *mark)
    }

    /// When the newest position was asked for.
    #[must_use]
    pub fn newest(&self) -> Option<(Duration, Mark)> {
        self.seen.back().copied()
    }
}
