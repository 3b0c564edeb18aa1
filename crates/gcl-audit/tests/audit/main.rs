//! Tests of `gcl_audit`.

mod explain;
mod fixture;
mod read;
mod replay;
mod report;
mod timeline;
mod verify;
