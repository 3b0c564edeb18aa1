//! Server answers, checked against the answers that the plan expects.

use crate::{
    cache::Cache,
    plan::{Expected, Group},
    wire,
};
use compact_str::{CompactString, ToCompactString};
use fallible_iterator::FallibleIterator;
use gcl_core::{
    batch::{Frame, Status},
    mark::Mark,
};
use postgres_protocol::message::backend::Message;

/// Type byte of `CommandComplete`.
pub const COMPLETE: u8 = b'C';
/// Type byte of `ErrorResponse`.
pub const ERROR: u8 = b'E';
/// Type byte of `DataRow`.
pub const ROW: u8 = b'D';
/// Name of the parameter that reports a connection's mark.
const MARK: &str = "goldcrest.mark";
/// Size of a message's type byte and length field.
const HEADER_BYTES: usize = 5;

/// A message that the protocol does not allow at this point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unexpected;

/// The result of processing a message.
pub type Result<T> = std::result::Result<T, Unexpected>;

/// The answer to one group of messages, up to its `ReadyForQuery`.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The messages to forward; empty if the answer exceeds the size limit.
    pub frames: Vec<Frame>,
    /// Whether the answer exceeds the size limit.
    pub too_large: bool,
    /// The transaction status after the group.
    pub status: Status,
    /// SQLSTATE of the first error.
    pub error: Option<CompactString>,
    /// The command tags of the statements that ran.
    pub tags: Vec<CompactString>,
    /// Size of the messages in bytes.
    pub size: usize,
}

impl Answer {
    /// Marks the answer as too large and discards its messages.
    pub fn overflow(&mut self) {
        self.too_large = true;
        self.frames = Vec::new();
    }

    fn push(&mut self, frame: Frame, max_bytes: usize) {
        self.size += HEADER_BYTES + frame.body.len();
        if self.size > max_bytes {
            self.overflow();
        } else if !self.too_large {
            self.frames.push(frame);
        }
    }

    /// The first `ErrorResponse`.
    pub fn error_frame(&self) -> Option<&Frame> {
        self.frames.iter().find(|frame| frame.tag == ERROR)
    }
}

/// Processes the next message of a group's answer; returns true at `ReadyForQuery`.
///
/// # Errors
/// The message is malformed or not among those expected next.
pub fn accept(
    answer: &mut Answer,
    group: &mut Group,
    frame: Frame,
    cache: &mut Cache,
    max_bytes: usize,
) -> Result<bool> {
    match frame.tag {
        b'N' | b'S' => answer.push(frame, max_bytes),
        b'A' => {}
        b'Z' => {
            let ready = matches!(group.expected.front(), Some(Expected::Ready | Expected::Query));
            let status = frame.body.first().copied().and_then(Status::from_byte);
            answer.status = status.filter(|_| ready).ok_or(Unexpected)?;
            return Ok(true);
        }
        ERROR => {
            let code = sqlstate(&frame).ok_or(Unexpected)?;
            answer.error.get_or_insert(code);
            answer.push(frame, max_bytes);
            group.expected.retain(|expect| matches!(expect, Expected::Ready | Expected::Query));
        }
        _ => on_reply(answer, group, frame, cache, max_bytes)?,
    }
    push_synthetic(answer, group, max_bytes);
    Ok(false)
}

fn on_reply(
    answer: &mut Answer,
    group: &mut Group,
    frame: Frame,
    cache: &mut Cache,
    max_bytes: usize,
) -> Result<()> {
    let done = match (group.expected.front(), frame.tag) {
        (Some(Expected::Parse { .. }), b'1')
        | (Some(Expected::Bind), b'2')
        | (Some(Expected::Close { .. }), b'3')
        | (Some(Expected::Describe), b'T' | b'n')
        | (Some(Expected::Execute), COMPLETE | b'I' | b's') => true,
        (Some(Expected::Describe), b't')
        | (Some(Expected::Execute), ROW)
        | (Some(Expected::Query), b'T' | ROW | COMPLETE | b'I') => false,
        _ => return Err(Unexpected),
    };
    if frame.tag == COMPLETE {
        answer.tags.push(tag(&frame).ok_or(Unexpected)?);
    }
    let expect = if done { group.expected.pop_front() } else { None };
    let forward = match expect {
        Some(Expected::Parse { prepared, name, forward }) => {
            cache.insert(prepared, name);
            forward
        }
        Some(Expected::Close { forward }) => forward,
        _ => true,
    };
    if forward {
        answer.push(frame, max_bytes);
    }
    Ok(())
}

/// Adds the synthetic messages that are due next to the answer.
pub fn push_synthetic(answer: &mut Answer, group: &mut Group, max_bytes: usize) {
    while let Some(Expected::Synthetic(frame)) = group.expected.front() {
        if frame.tag == COMPLETE {
            answer.tags.extend(tag(frame));
        }
        answer.push(frame.clone(), max_bytes);
        group.expected.pop_front();
    }
}

/// Decodes the mark of a `ParameterStatus` message.
///
/// # Errors
/// Returns the frame if it reports no mark.
pub fn decode_mark(frame: Frame) -> std::result::Result<Mark, Frame> {
    if frame.tag != b'S' || !frame.body.starts_with(MARK.as_bytes()) {
        return Err(frame);
    }
    let Ok(Message::ParameterStatus(status)) = wire::decode(&frame) else {
        return Err(frame);
    };
    let parsed = match (status.name(), status.value()) {
        (Ok(MARK), Ok(value)) => parse_mark(value),
        _ => None,
    };
    parsed.ok_or(frame)
}

fn parse_mark(text: &str) -> Option<Mark> {
    let (term, position) = text.split_once('/')?;
    Some(Mark::new(term.parse().ok()?, position.parse().ok()?))
}

/// The SQLSTATE of an `ErrorResponse`.
pub fn sqlstate(frame: &Frame) -> Option<CompactString> {
    error_field(frame, b'C')
}

/// A field of an `ErrorResponse`.
pub fn error_field(frame: &Frame, field: u8) -> Option<CompactString> {
    let Ok(Message::ErrorResponse(body)) = wire::decode(frame) else {
        return None;
    };
    let found = body.fields().find(|item| Ok(item.type_() == field)).ok()??;
    Some(String::from_utf8_lossy(found.value_bytes()).to_compact_string())
}

/// The tag of a `CommandComplete`.
pub fn tag(frame: &Frame) -> Option<CompactString> {
    match wire::decode(frame) {
        Ok(Message::CommandComplete(body)) => body.tag().ok().map(CompactString::from),
        _ => None,
    }
}

/// The columns of a `DataRow` as text; `None` for null.
pub fn row(frame: &Frame) -> Option<Vec<Option<CompactString>>> {
    let Ok(Message::DataRow(body)) = wire::decode(frame) else {
        return None;
    };
    let text = |range: Option<std::ops::Range<usize>>| {
        let bytes = range.and_then(|range| body.buffer().get(range));
        Ok(bytes.map(|bytes| String::from_utf8_lossy(bytes).to_compact_string()))
    };
    body.ranges().map(text).collect().ok()
}
