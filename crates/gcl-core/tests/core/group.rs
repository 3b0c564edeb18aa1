//! Tests of `gcl_core::group`.
