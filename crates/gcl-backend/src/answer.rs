//! What a server answers, checked against what it was asked.

use crate::{
    cache::Cache,
    plan::{Expect, Group},
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
/// Bytes of a message's type and length.
const HEADER: usize = 5;

/// A message that does not belong where it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unexpected;

/// What the answers return.
pub type Result<T> = std::result::Result<T, Unexpected>;

/// The answer to one group of messages, up to its `ReadyForQuery`.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// The messages to pass on, none once the answer is too large.
    pub frames: Vec<Frame>,
    /// Whether the answer passed the size limit.
    pub too_large: bool,
    /// The transaction status after it.
    pub status: Status,
    /// SQLSTATE of the first error.
    pub error: Option<CompactString>,
    /// The tags of the statements that ran.
    pub tags: Vec<CompactString>,
    /// Bytes of the messages.
    pub size: usize,
}

impl Part {
    /// Drops the messages: the answer passed the size limit.
    pub fn overflow(&mut self) {
        self.too_large = true;
        self.frames = Vec::new();
    }

    fn push(&mut self, frame: Frame, most: usize) {
        self.size += HEADER + frame.body.len();
        if self.size > most {
            self.overflow();
        } else if !self.too_large {
            self.frames.push(frame);
        }
    }

    /// The first error message.
    pub fn error_frame(&self) -> Option<&Frame> {
        self.frames.iter().find(|frame| frame.tag == ERROR)
    }
}

/// Takes the next message of a group's answer; true at its end.
pub fn accept(
    part: &mut Part,
    group: &mut Group,
    frame: Frame,
    cache: &mut Cache,
    most: usize,
) -> Result<bool> {
    match frame.tag {
        b'N' | b'S' => part.push(frame, most),
        b'A' => {}
        b'Z' => {
            let ready = matches!(group.expects.front(), Some(Expect::Ready | Expect::Query));
            let status = frame.body.first().copied().and_then(Status::from_byte);
            part.status = status.filter(|_| ready).ok_or(Unexpected)?;
            return Ok(true);
        }
        ERROR => {
            let code = sqlstate(&frame).ok_or(Unexpected)?;
            part.error.get_or_insert(code);
            part.push(frame, most);
            group.expects.retain(|expect| matches!(expect, Expect::Ready | Expect::Query));
        }
        _ => on_reply(part, group, frame, cache, most)?,
    }
    release(part, group, most);
    Ok(false)
}

fn on_reply(
    part: &mut Part,
    group: &mut Group,
    frame: Frame,
    cache: &mut Cache,
    most: usize,
) -> Result<()> {
    let done = match (group.expects.front(), frame.tag) {
        (Some(Expect::Parse { .. }), b'1')
        | (Some(Expect::Bind), b'2')
        | (Some(Expect::Close { .. }), b'3')
        | (Some(Expect::Describe), b'T' | b'n')
        | (Some(Expect::Execute), COMPLETE | b'I' | b's') => true,
        (Some(Expect::Describe), b't')
        | (Some(Expect::Execute), ROW)
        | (Some(Expect::Query), b'T' | ROW | COMPLETE | b'I') => false,
        _ => return Err(Unexpected),
    };
    if frame.tag == COMPLETE {
        part.tags.push(tag(&frame).ok_or(Unexpected)?);
    }
    let expect = if done { group.expects.pop_front() } else { None };
    let shown = match expect {
        Some(Expect::Parse { prepared, name, shown }) => {
            cache.insert(prepared, name);
            shown
        }
        Some(Expect::Close { shown }) => shown,
        _ => true,
    };
    if shown {
        part.push(frame, most);
    }
    Ok(())
}

/// Passes on the messages that stand in for answers that the server is not asked for.
pub fn release(part: &mut Part, group: &mut Group, most: usize) {
    while let Some(Expect::Given(frame)) = group.expects.front() {
        if frame.tag == COMPLETE {
            part.tags.extend(tag(frame));
        }
        part.push(frame.clone(), most);
        group.expects.pop_front();
    }
}

/// The mark that a `ParameterStatus` message reports; `Err` with the frame if it is another one.
pub fn mark(frame: Frame) -> std::result::Result<Mark, Frame> {
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
    let found = body.fields().find(|part| Ok(part.type_() == field)).ok()??;
    Some(String::from_utf8_lossy(found.value_bytes()).to_compact_string())
}

/// The tag of a `CommandComplete`.
pub fn tag(frame: &Frame) -> Option<CompactString> {
    match wire::decode(frame) {
        Ok(Message::CommandComplete(body)) => body.tag().ok().map(CompactString::from),
        _ => None,
    }
}

/// The columns of a `DataRow` as text, `None` for null.
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
