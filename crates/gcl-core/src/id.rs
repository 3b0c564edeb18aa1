//! Names of the things that goldcrestlead handles.
//!
//! All are aliases: a name is text that an operator chose or a number that a daemon counted. Text
//! ids are inline up to 24 bytes, so that a clone does not allocate.

use compact_str::CompactString;

/// A daemon, by the name of its VM.
pub type Daemon = CompactString;
/// One life of a daemon, drawn at random at its start.
pub type Incarnation = u64;
/// A failure domain.
pub type Domain = CompactString;
/// A region, made of failure domains.
pub type Region = CompactString;
/// A database service, which callers name at connect.
pub type Service = CompactString;
/// A database: one replicated group of servers.
pub type Database = CompactString;
/// A backend server.
pub type Server = CompactString;
/// A workspace, whose keys open requests.
pub type Workspace = CompactString;
/// The public half of a key.
pub type Key = CompactString;
/// A routing rule.
pub type Rule = CompactString;
/// A caller's connection at one daemon.
pub type Session = u64;
/// A request, unique over the fleet: the incarnation of its entry and a counter.
pub type Request = u128;
/// A transaction held open at a home: the id of the request that began it.
pub type Transaction = u128;
/// A connection to a backend server, counted by its daemon.
pub type Connection = u64;
/// A call to the platform store, counted by its daemon.
pub type Call = u64;
/// A control question to a backend server, counted by its daemon.
pub type Question = u64;
/// An operator's HTTP request, counted by its daemon.
pub type Operation = u64;
/// A term of a database: it grows with each change of primary.
pub type Term = u64;
/// A log position within a database.
pub type Position = u64;
/// A revision of the platform store.
pub type Revision = u64;
/// A caller's own id of a write, used to make it idempotent.
pub type Idempotency = u128;
