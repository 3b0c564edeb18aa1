//! Tests of `gcl_core::home`.
