//! Conversion of answers.

use super::{Error, Result, join, mark_from_wire, mark_to_wire, millis, split};
use crate::generated::{
    Answer as WireAnswer, Done, Fault as WireFault, Frame as WireFrame, Leader as WireLeader,
    answer::Outcome as WireOutcome,
};
use gcl_core::{
    batch::{Frame, Status},
    code::{Code, Fault},
    run::{Answer, Leader, Outcome},
};
use std::time::Duration;

pub(super) fn encode(answer: Answer) -> WireAnswer {
    let (request_high, request_low) = split(answer.request);
    let outcome = match answer.outcome {
        Outcome::Done { frames, status, mark } => WireOutcome::Done(Done {
            frames: frames.into_iter().map(encode_frame).collect(),
            status: u32::from(status.byte()),
            mark: mark.map(mark_to_wire),
        }),
        Outcome::NotRun(fault) => WireOutcome::NotRun(encode_fault(fault)),
        Outcome::Unknown(fault) => WireOutcome::Unknown(encode_fault(fault)),
    };
    WireAnswer {
        request_high,
        request_low,
        attempt: answer.attempt,
        server: answer.server.into_string(),
        leader: answer.leader.map(encode_leader),
        outcome: Some(outcome),
    }
}

fn encode_frame(frame: Frame) -> WireFrame {
    WireFrame { tag: u32::from(frame.tag), body: frame.body }
}

fn encode_fault(fault: Fault) -> WireFault {
    WireFault {
        code: u32::from(fault.code.number()),
        detail: fault.detail.into_string(),
        retry_after_ms: fault.retry_after.map(millis),
    }
}

fn encode_leader(leader: Leader) -> WireLeader {
    WireLeader { term: leader.term, server: leader.server.into_string() }
}

pub(super) fn decode(answer: WireAnswer) -> Result<Answer> {
    let outcome = match answer.outcome.ok_or(Error::Missing("outcome"))? {
        WireOutcome::Done(done) => decode_done(done)?,
        WireOutcome::NotRun(fault) => Outcome::NotRun(decode_fault(fault, Code::HomeLost)),
        WireOutcome::Unknown(fault) => Outcome::Unknown(decode_fault(fault, Code::OutcomeUnknown)),
    };
    Ok(Answer {
        request: join(answer.request_high, answer.request_low),
        attempt: answer.attempt,
        server: answer.server.into(),
        outcome,
        leader: answer.leader.map(decode_leader),
    })
}

fn decode_leader(leader: WireLeader) -> Leader {
    Leader { term: leader.term, server: leader.server.into() }
}

fn decode_done(done: Done) -> Result<Outcome> {
    let status = u8::try_from(done.status).ok().and_then(Status::from_byte);
    Ok(Outcome::Done {
        frames: done.frames.into_iter().map(decode_frame).collect::<Result<_>>()?,
        status: status.ok_or(Error::Invalid("status"))?,
        mark: done.mark.map(mark_from_wire),
    })
}

fn decode_frame(frame: WireFrame) -> Result<Frame> {
    let tag = u8::try_from(frame.tag).map_err(|_range| Error::Invalid("frame tag"))?;
    Ok(Frame { tag, body: frame.body })
}

/// Decodes a fault. A code of a later release that is unknown here becomes `otherwise`, which must
/// not promise more than the code that it replaces.
fn decode_fault(fault: WireFault, otherwise: Code) -> Fault {
    let code = Code::ALL.iter().find(|code| u32::from(code.number()) == fault.code);
    Fault {
        code: code.copied().unwrap_or(otherwise),
        detail: fault.detail.into(),
        retry_after: fault.retry_after_ms.map(Duration::from_millis),
    }
}
