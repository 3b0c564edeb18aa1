//! Tests of `gcl_core::config`.

mod file;
mod fleet;
mod propagation;
mod selector;
mod snapshot;
mod validate;
mod watch;
pub mod world;
