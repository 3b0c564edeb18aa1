//! Tests of `gcl_core::config`.
