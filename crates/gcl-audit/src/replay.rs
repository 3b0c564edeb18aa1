//! Runs a recorded trace through the reducer again and compares its decisions.
//!
//! The first line of a trace holds the settings and the seed of the daemon; each further line holds
//! an event, the clocks when it arrived, and the effects that it had.

use gcl_core::{
    effect::Effect, event::Event, reduce::reduce, settings::Settings, state::State, time::Now,
};
use serde::Deserialize;
use std::{
    fmt,
    io::{self, BufRead},
};

/// The first line of a trace.
#[derive(Debug, Deserialize)]
struct Head {
    settings: Settings,
    seed: u64,
}

/// A further line of a trace.
#[derive(Debug, Deserialize)]
struct Step {
    now: Now,
    event: Event,
    effects: Vec<Effect>,
}

/// Why a trace cannot be replayed.
#[derive(Debug)]
pub enum Error {
    /// The trace cannot be read on.
    Read(io::Error),
    /// A line is not part of a trace.
    Line {
        /// The line, from one.
        line: u64,
        /// What the parser reported.
        why: serde_json::Error,
    },
    /// The trace has no first line.
    Empty,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "{error}"),
            Self::Line { line, why } => write!(f, "line {line}: {why}"),
            Self::Empty => f.write_str("the trace is empty"),
        }
    }
}

impl std::error::Error for Error {}

/// The result of a replay.
pub type Result<T> = std::result::Result<T, Error>;

/// The first event whose decisions differ.
#[derive(Debug)]
pub struct Difference {
    /// Its line in the trace, from one.
    pub line: u64,
    /// The event.
    pub event: Event,
    /// The effects that were recorded.
    pub recorded: Vec<Effect>,
    /// The effects of the replay.
    pub replayed: Vec<Effect>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "line {}: {:?}", self.line, self.event)?;
        for effect in &self.recorded {
            writeln!(f, "  recorded {effect:?}")?;
        }
        for effect in &self.replayed {
            writeln!(f, "  replayed {effect:?}")?;
        }
        Ok(())
    }
}

/// What a replay found.
#[derive(Debug)]
pub struct Outcome {
    /// Events that were replayed.
    pub steps: u64,
    /// The first difference, if any.
    pub difference: Option<Difference>,
}

/// Replays a trace up to its end or its first difference.
///
/// # Errors
/// A trace that cannot be read; a last line that was cut off ends the trace.
pub fn replay(trace: impl BufRead) -> Result<Outcome> {
    let mut lines = trace.lines();
    let head = lines.next().ok_or(Error::Empty)?.map_err(Error::Read)?;
    let head: Head = parse(1, &head)?;
    let mut state = State::new(head.settings, head.seed);
    let mut steps = 0;
    for text in lines {
        let text = text.map_err(Error::Read)?;
        let line = steps + 2;
        let step: Step = match parse(line, &text) {
            Err(Error::Line { why, .. }) if why.is_eof() => break,
            parsed => parsed?,
        };
        steps += 1;
        let replayed = reduce(&mut state, step.now, step.event.clone());
        if step.effects != replayed {
            let Step { event, effects: recorded, .. } = step;
            let difference = Some(Difference { line, event, recorded, replayed });
            return Ok(Outcome { steps, difference });
        }
    }
    Ok(Outcome { steps, difference: None })
}

fn parse<T: for<'a> Deserialize<'a>>(line: u64, text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|why| Error::Line { line, why })
}
