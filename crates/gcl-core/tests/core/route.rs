//! Tests of `gcl_core::route`.
