//! Tests of `gcl_core::member`.
