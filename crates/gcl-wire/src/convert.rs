//! Conversions between the reducer's messages and their wire format.

mod answer;
mod batch;
mod run;

use crate::generated::{Envelope, Mark as WireMark, envelope::Body};
use bytes::Bytes;
use gcl_core::{id, mark::Mark, peer::Message};
use std::fmt;

/// Errors of encoding or decoding an envelope.
#[derive(Debug)]
pub enum Error {
    /// A required field is missing.
    Missing(&'static str),
    /// A field has an invalid value.
    Invalid(&'static str),
    /// A control message cannot be written as JSON, or is not valid JSON of its type.
    Control(serde_json::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(part) => write!(f, "the envelope lacks its {part}"),
            Self::Invalid(part) => write!(f, "the envelope has an invalid {part}"),
            Self::Control(error) => write!(f, "the control message is malformed: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// The result of encoding or decoding.
pub type Result<T> = std::result::Result<T, Error>;

/// Encodes a message from a daemon into an envelope.
///
/// # Errors
/// [`Error::Control`] if the message cannot be written as JSON.
pub fn encode(
    from: &id::Daemon,
    incarnation: id::Incarnation,
    message: Message,
) -> Result<Envelope> {
    let body = match message {
        Message::Run(run) => Body::Run(run::encode(*run)),
        Message::Answer(answer) => Body::Answer(answer::encode(*answer)),
        other => {
            let json = serde_json::to_vec(&other).map_err(Error::Control)?;
            Body::Control(Bytes::from(json))
        }
    };
    Ok(Envelope { from: from.to_string(), incarnation, body: Some(body) })
}

/// Decodes an envelope into its sender, the sender's incarnation and the message.
///
/// # Errors
/// A field is missing or invalid, or the control message is malformed.
pub fn decode(envelope: Envelope) -> Result<(id::Daemon, id::Incarnation, Message)> {
    let message = match envelope.body.ok_or(Error::Missing("body"))? {
        Body::Run(run) => Message::Run(Box::new(run::decode(run)?)),
        Body::Answer(answer) => Message::Answer(Box::new(answer::decode(answer)?)),
        Body::Control(json) => serde_json::from_slice(&json).map_err(Error::Control)?,
    };
    Ok((envelope.from.into(), envelope.incarnation, message))
}

const fn join(high: u64, low: u64) -> u128 {
    ((high as u128) << 64) | low as u128
}

#[expect(clippy::cast_possible_truncation, reason = "each cast keeps one half")]
const fn split(value: u128) -> (u64, u64) {
    ((value >> 64) as u64, value as u64)
}

const fn mark_to_wire(mark: Mark) -> WireMark {
    WireMark { term: mark.term, position: mark.position }
}

const fn mark_from_wire(mark: WireMark) -> Mark {
    Mark::new(mark.term, mark.position)
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
