//! The statements prepared on one connection.

use compact_str::{CompactString, format_compact};
use gcl_core::batch::Prepared;
use indexmap::IndexMap;

/// A prepared statement's name and when it was last used.
#[derive(Clone, Debug)]
struct Entry {
    name: CompactString,
    used: u64,
}

/// Names of prepared statements by their text and types.
#[derive(Debug)]
pub struct Cache {
    entries: IndexMap<Prepared, Entry>,
    most: usize,
    names: u64,
    uses: u64,
}

impl Cache {
    /// An empty cache of at most `most` statements.
    pub fn new(most: usize) -> Self {
        Self { entries: IndexMap::new(), most, names: 0, uses: 0 }
    }

    /// The name of a statement that is prepared.
    pub fn find(&mut self, prepared: &Prepared) -> Option<CompactString> {
        self.uses += 1;
        let entry = self.entries.get_mut(prepared)?;
        entry.used = self.uses;
        Some(entry.name.clone())
    }

    /// A name that was never used on this connection.
    pub fn fresh_name(&mut self) -> CompactString {
        self.names += 1;
        format_compact!("g{}", self.names)
    }

    /// Records that a statement is prepared.
    pub fn insert(&mut self, prepared: Prepared, name: CompactString) {
        self.uses += 1;
        self.entries.insert(prepared, Entry { name, used: self.uses });
    }

    /// Removes the statements used longest ago until `room` more fit, sparing those of a batch, and
    /// returns their names.
    pub fn evict(&mut self, room: usize, batch: &[Prepared]) -> Vec<CompactString> {
        let mut names = Vec::new();
        while self.entries.len() + room > self.most {
            let spared = |prepared: &Prepared| batch.contains(prepared);
            let candidates = self.entries.iter().filter(|(prepared, _)| !spared(prepared));
            let oldest = candidates.min_by_key(|(_, entry)| entry.used);
            let Some(oldest) = oldest.map(|(prepared, _)| prepared.clone()) else {
                break;
            };
            names.extend(self.entries.swap_remove(&oldest).map(|entry| entry.name));
        }
        names
    }

    /// Forgets all statements.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
