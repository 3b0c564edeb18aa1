//! Stand-ins for the platform and the databases, the demo and the benchmarks; ships nowhere.

pub mod database;
pub mod platform;
