//! Messages between daemons on the wire.
//!
//! Requests and answers, which are most of the traffic, have protobuf messages of their own. The
//! rest travels as JSON within the envelope, so that daemons of neighbouring releases understand
//! each other.

pub mod convert;
#[expect(
    missing_docs,
    clippy::allow_attributes,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::empty_structs_with_brackets,
    clippy::pedantic,
    reason = "the module is generated from proto/peer.proto"
)]
#[rustfmt::skip]
pub mod generated {
    include!("generated/goldcrest.peer.rs");
}

pub use convert::{Error, Result, decode, encode};
