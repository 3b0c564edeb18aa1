//! Tests of `gcl_core::request`.
