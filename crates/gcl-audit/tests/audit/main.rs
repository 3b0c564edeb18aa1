//! Tests of the auditor's tools.

mod explain;
mod fixture;
mod read;
mod replay;
mod report;
mod trail;
mod verify;
