//! The adapter against the database stand-in.

mod control;
mod data;
mod fixture;
mod idempotent;
