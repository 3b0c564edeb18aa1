//! Stand-ins for the platform and the databases, the demo and the benchmarks; never shipped.

pub mod bench;
pub mod database;
pub mod demo;
pub mod deployment;
pub mod platform;
