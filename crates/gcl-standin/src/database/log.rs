//! The log of committed statements of a server.
//!
//! A mark identifies an entry by its position in the log and the term at which it was written.

use super::value::Value;
use gcl_core::{
    id::{Position, Term},
    mark::Mark,
};
use serde::{Deserialize, Serialize};

/// A statement that changed data, with its parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// The SQL text.
    pub sql: String,
    /// The parameters, in order of their numbers.
    pub parameters: Vec<Value>,
}

/// A committed transaction, or the empty entry that starts a term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position in the log and the term at which it was written.
    pub mark: Mark,
    /// Its statements in order.
    pub statements: Vec<Statement>,
}

/// The last position written at a term in a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// The term.
    pub term: Term,
    /// The last position.
    pub last: Position,
}

/// A log of entries at consecutive positions starting at one, with non-decreasing terms.
#[derive(Clone, Debug, Default)]
pub struct Log {
    entries: Vec<Entry>,
}

impl Log {
    /// The mark of the last entry; the default mark if the log is empty.
    #[must_use]
    pub fn last(&self) -> Mark {
        self.entries.last().map(|entry| entry.mark).unwrap_or_default()
    }

    /// The entry at a position.
    #[must_use]
    pub fn get(&self, position: Position) -> Option<&Entry> {
        let index = usize::try_from(position.checked_sub(1)?).ok()?;
        self.entries.get(index)
    }

    /// Whether the log contains the entry of a mark, that is, one at its position and term.
    #[must_use]
    pub fn contains(&self, mark: Mark) -> bool {
        mark == Mark::default() || self.get(mark.position).is_some_and(|entry| entry.mark == mark)
    }

    /// The mark of the entry at a position; the default mark if there is none.
    #[must_use]
    pub fn mark(&self, position: Position) -> Mark {
        self.get(position).map(|entry| entry.mark).unwrap_or_default()
    }

    /// The entries after a position, at most `limit`.
    #[must_use]
    pub fn after(&self, position: Position, limit: usize) -> &[Entry] {
        let start = usize::try_from(position).unwrap_or(usize::MAX).min(self.entries.len());
        let end = start.saturating_add(limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Appends statements at a term and returns their mark.
    pub fn append(&mut self, term: Term, statements: Vec<Statement>) -> Mark {
        let mark = Mark::new(term, self.last().position + 1);
        self.entries.push(Entry { mark, statements });
        mark
    }

    /// Appends an entry of another server. Returns false if it is not the next one.
    pub fn accept(&mut self, entry: Entry) -> bool {
        let last = self.last();
        let next = entry.mark.position == last.position + 1 && entry.mark.term >= last.term;
        if next {
            self.entries.push(entry);
        }
        next
    }

    /// Removes the entries after a position.
    pub fn truncate(&mut self, position: Position) {
        self.entries.truncate(usize::try_from(position).unwrap_or(usize::MAX));
    }

    /// The last position of each term, oldest first.
    #[must_use]
    pub fn spans(&self) -> Vec<Span> {
        let mut spans: Vec<Span> = Vec::new();
        for entry in &self.entries {
            let (term, last) = (entry.mark.term, entry.mark.position);
            match spans.last_mut() {
                Some(span) if span.term == term => span.last = last,
                _ => spans.push(Span { term, last }),
            }
        }
        spans
    }

    /// The last position up to which this log and the log with the spans `theirs` are equal.
    ///
    /// Each term has a single writer, so equal positions and terms imply equal entries up to there.
    #[must_use]
    pub fn common(&self, theirs: &[Span]) -> Position {
        let matching = |mine: &Span| theirs.iter().find(|span| span.term == mine.term).copied();
        self.spans()
            .iter()
            .filter_map(|mine| matching(mine).map(|other| mine.last.min(other.last)))
            .max()
            .unwrap_or_default()
    }
}
