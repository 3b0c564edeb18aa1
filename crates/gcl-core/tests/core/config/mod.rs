//! Tests of `gcl_core::config`.

mod file;
mod fleet;
mod follow;
mod selector;
mod snapshot;
mod spread;
mod validate;
pub mod world;
