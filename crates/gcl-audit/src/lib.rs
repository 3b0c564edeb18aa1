//! Reads collected records of daemons.
//!
//! A record is the standard output of daemons, in one file or many, read as a stream: lines of
//! other kinds are skipped, and only a head for each life of a daemon is kept in memory.

pub mod explain;
pub mod read;
pub mod replay;
pub mod report;
pub mod trail;
pub mod verify;
