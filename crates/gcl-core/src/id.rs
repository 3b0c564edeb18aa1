//! Identifiers.
//!
//! All are aliases, either of text chosen by an operator or of a number allocated by a daemon. Text
//! ids of up to 24 bytes are stored inline, so that a clone does not allocate.

use compact_str::CompactString;

/// A daemon, identified by the name of its VM.
pub type Daemon = CompactString;
/// One run of a daemon, a random number drawn when it starts.
pub type Incarnation = u64;
/// A failure domain.
pub type Domain = CompactString;
/// A region, a set of failure domains.
pub type Region = CompactString;
/// A database service, which callers name when they connect.
pub type Service = CompactString;
/// A database: one replicated group of servers.
pub type Database = CompactString;
/// A backend server.
pub type Server = CompactString;
/// A workspace, whose keys authenticate callers.
pub type Workspace = CompactString;
/// The public half of a key.
pub type Key = CompactString;
/// A routing rule.
pub type Rule = CompactString;
/// A caller's connection at one daemon.
pub type Session = u64;
/// A request, unique across the fleet: the incarnation of its entry and a counter.
pub type Request = u128;
/// A transaction that is open at a home: the id of the request that began it.
pub type Transaction = u128;
/// A connection to a backend server, unique within its daemon.
pub type Connection = u64;
/// A call to the platform store, unique within its daemon.
pub type Call = u64;
/// A control question to a backend server, increasing within its daemon.
pub type Question = u64;
/// An operator's HTTP request, unique within its daemon.
pub type Operation = u64;
/// A term of a database, raised by each change of primary.
pub type Term = u64;
/// A log position within a database.
pub type Position = u64;
/// A revision of the platform store.
pub type Revision = u64;
/// The caller's id of a write, which makes retries idempotent.
pub type Idempotency = u128;
