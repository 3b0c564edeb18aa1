//! Tests of `gcl_core::limit`.

mod bucket;
mod fleet;
mod history;
mod scenarios;
