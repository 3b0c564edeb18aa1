//! Tests of `gcl_core::key`.
