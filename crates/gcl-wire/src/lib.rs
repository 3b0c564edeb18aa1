//! Wire format of the messages between daemons.
//!
//! Requests and answers, which are most of the traffic, are encoded as protobuf messages. All other
//! messages are sent as JSON within the envelope, so that daemons of adjacent releases remain
//! compatible.

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
