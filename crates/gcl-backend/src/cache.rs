//! Cache of the statements prepared on one connection, with eviction of the least recently used.

use compact_str::{CompactString, format_compact};
use gcl_core::batch::Prepared;
use indexmap::IndexMap;

/// A prepared statement's name and the use count at its last use.
#[derive(Clone, Debug)]
struct Entry {
    name: CompactString,
    last_used: u64,
}

/// Names of prepared statements by SQL text and parameter types.
#[derive(Debug)]
pub struct Cache {
    entries: IndexMap<Prepared, Entry>,
    capacity: usize,
    name_count: u64,
    use_count: u64,
}

impl Cache {
    /// Creates an empty cache of at most `capacity` statements.
    pub fn new(capacity: usize) -> Self {
        Self { entries: IndexMap::new(), capacity, name_count: 0, use_count: 0 }
    }

    /// The name of a statement if it is prepared.
    pub fn find(&mut self, prepared: &Prepared) -> Option<CompactString> {
        self.use_count += 1;
        let entry = self.entries.get_mut(prepared)?;
        entry.last_used = self.use_count;
        Some(entry.name.clone())
    }

    /// Generates a name that has not been used on this connection.
    pub fn unused_name(&mut self) -> CompactString {
        self.name_count += 1;
        format_compact!("g{}", self.name_count)
    }

    /// Adds a statement that has been prepared.
    pub fn insert(&mut self, prepared: Prepared, name: CompactString) {
        self.use_count += 1;
        self.entries.insert(prepared, Entry { name, last_used: self.use_count });
    }

    /// Evicts the least recently used statements, except those of a batch, until `room` more
    /// statements fit. Returns their names.
    pub fn evict(&mut self, room: usize, batch: &[Prepared]) -> Vec<CompactString> {
        let mut names = Vec::new();
        while self.entries.len() + room > self.capacity {
            let is_used_by_batch = |prepared: &Prepared| batch.contains(prepared);
            let candidates =
                self.entries.iter().filter(|(prepared, _)| !is_used_by_batch(prepared));
            let oldest = candidates.min_by_key(|(_, entry)| entry.last_used);
            let Some(oldest) = oldest.map(|(prepared, _)| prepared.clone()) else {
                break;
            };
            names.extend(self.entries.swap_remove(&oldest).map(|entry| entry.name));
        }
        names
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
