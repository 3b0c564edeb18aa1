//! Tests of the auditor's tools.

mod explain;
mod fixture;
mod read;
mod report;
mod verify;
