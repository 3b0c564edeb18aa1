//! Tests of `gcl_core::limit`.
