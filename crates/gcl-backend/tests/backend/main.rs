//! Tests of the `PostgreSQL` adapter against the database stand-in.

mod control;
mod data;
mod fake;
mod fixture;
mod idempotent;
