//! Encoding of messages between daemons: a version byte and the message in a positional format.
//!
//! New fields are only appended, so that adjacent releases with the same version can read each
//! other's messages. Messages of another version are discarded.

use bytes::{BufMut, Bytes, BytesMut};
use compact_str::{CompactString, format_compact};
use serde::{Serialize, de::DeserializeOwned};

/// The format's version.
const VERSION: u8 = 2;

/// An encoded or decoded message, or the reason for the failure.
pub type Result<T> = std::result::Result<T, CompactString>;

/// Encodes a message of at most `max_bytes` bytes.
///
/// # Errors
/// The message is larger.
pub fn encode(message: &impl Serialize, max_bytes: usize) -> Result<Bytes> {
    let body = postcard::to_allocvec(message).map_err(|error| format_compact!("{error}"))?;
    let size = body.len() + 1;
    if size > max_bytes {
        return Err(format_compact!("message of {size} bytes exceeds the limit of {max_bytes}"));
    }
    let mut frame = BytesMut::with_capacity(size);
    frame.put_u8(VERSION);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Decodes a message.
///
/// # Errors
/// The frame is of another version or malformed.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T> {
    match frame.split_first() {
        Some((&VERSION, body)) => {
            postcard::from_bytes(body).map_err(|error| format_compact!("{error}"))
        }
        Some((version, _)) => Err(format_compact!("unknown message version {version}")),
        None => Err("empty message".into()),
    }
}
