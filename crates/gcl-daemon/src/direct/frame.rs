//! Messages between daemons as bytes: a version, and the message in a positional encoding.
//!
//! Messages grow at their end only, so that neighbouring releases of one version understand each
//! other. What another version sends is left aside.

use bytes::{BufMut, Bytes, BytesMut};
use compact_str::{CompactString, format_compact};
use serde::{Serialize, de::DeserializeOwned};

/// The version of the messages.
const VERSION: u8 = 1;

/// A message that could be read or written, or why not.
pub type Result<T> = std::result::Result<T, CompactString>;

/// Writes a message of `most` bytes at most.
///
/// # Errors
/// The message is larger.
pub fn encode(message: &impl Serialize, most: usize) -> Result<Bytes> {
    let body = postcard::to_allocvec(message).map_err(|error| format_compact!("{error}"))?;
    let size = body.len() + 1;
    if size > most {
        return Err(format_compact!("a message of {size} bytes is larger than {most}"));
    }
    let mut frame = BytesMut::with_capacity(size);
    frame.put_u8(VERSION);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Reads a message.
///
/// # Errors
/// The bytes are of another version, or no such message.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T> {
    match frame.split_first() {
        Some((&VERSION, body)) => {
            postcard::from_bytes(body).map_err(|error| format_compact!("{error}"))
        }
        Some((version, _)) => Err(format_compact!("version {version} is not known")),
        None => Err("a message without bytes".into()),
    }
}
