//! Tests of the peer protocol.

mod convert;
mod generated;
