//! Positions in a database's log.

use crate::id;
use serde::{Deserialize, Serialize};

/// A log position and the term in which it was written; ordered by term first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Mark {
    /// The term of the primary that wrote the entry.
    pub term: id::Term,
    /// The position in the log.
    pub position: id::Position,
}

impl Mark {
    /// The mark at `position` of `term`.
    #[must_use]
    pub const fn new(term: id::Term, position: id::Position) -> Self {
        Self { term, position }
    }
}
