//! Backend servers as they register themselves.

use compact_str::CompactString;
use gcl_core::id;
use indexmap::IndexMap;

/// How a server describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The database whose data it holds.
    pub database: id::Database,
    /// Its address, `ip:port`.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Statements that it runs at once.
    pub slots: usize,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether it sees itself as the primary.
    pub leads: bool,
    /// Unix millisecond of its start; a restart under the same id has a later one.
    pub started_ms: u64,
    /// The store's revision of the entry.
    pub revision: id::Revision,
}

/// All servers that are registered, by id.
pub type Directory = IndexMap<id::Server, Entry>;

/// The servers of a database.
pub fn servers<'a>(
    directory: &'a Directory,
    database: &'a str,
) -> impl Iterator<Item = (&'a id::Server, &'a Entry)> {
    directory.iter().filter(move |(_, entry)| entry.database == database)
}
