//! Backend servers as they are registered in the store.

use compact_str::CompactString;
use gcl_core::id;
use indexmap::IndexMap;
use std::time::Duration;

/// What a server reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The database whose data it holds.
    pub database: id::Database,
    /// Its address, `ip:port`.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Maximum number of statements that it runs concurrently.
    pub slots: usize,
    /// Whether it is about to stop.
    pub draining: bool,
    /// Whether it considers itself the primary.
    pub claims_primary: bool,
    /// How much longer it stays cold, at the time of the entry.
    pub cold_left: Duration,
    /// Start of its process in Unix milliseconds; a restart under the same id has a later one.
    pub started_ms: u64,
    /// The store revision of the entry.
    pub revision: id::Revision,
}

/// All registered servers by id.
pub type Directory = IndexMap<id::Server, Entry>;

/// The servers of a database.
pub fn servers<'a>(
    directory: &'a Directory,
    database: &'a str,
) -> impl Iterator<Item = (&'a id::Server, &'a Entry)> {
    directory.iter().filter(move |(_, entry)| entry.database == database)
}
