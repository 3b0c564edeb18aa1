//! Verifies and searches the audit records and logs of daemons.
//!
//! A record is read from the standard output of daemons, in one file or several. Files are read as
//! streams: other log lines are skipped, and memory holds only one chain head for each incarnation of
//! a daemon.

pub mod explain;
pub mod read;
pub mod replay;
pub mod report;
pub mod timeline;
pub mod verify;
