//! Tests of `gcl_core::session`.
