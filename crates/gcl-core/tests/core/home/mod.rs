//! Tests of `gcl_core::home`.

mod answer;
mod fate;
mod handover;
mod host;
mod pool;
mod queue;
