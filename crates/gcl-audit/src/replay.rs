//! Replays a recorded trace through the reducer and compares the effects.
//!
//! The first line of a trace holds the settings and the seed of the daemon. Each further line holds an
//! event, the clocks at its arrival, and the effects that the reducer returned.

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
struct Header {
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
    /// Reading fails.
    Read(io::Error),
    /// A line cannot be parsed.
    Line {
        /// The line number, starting at one.
        line: u64,
        /// The parser's error.
        error: serde_json::Error,
    },
    /// The trace has no first line.
    Empty,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "{error}"),
            Self::Line { line, error } => write!(f, "line {line}: {error}"),
            Self::Empty => f.write_str("the trace is empty"),
        }
    }
}

impl std::error::Error for Error {}

/// The result of a replay.
pub type Result<T> = std::result::Result<T, Error>;

/// An event for which the effects differ.
#[derive(Debug)]
pub struct Difference {
    /// Its line number in the trace, starting at one.
    pub line: u64,
    /// The event.
    pub event: Event,
    /// The recorded effects.
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

/// The outcome of a replay.
#[derive(Debug)]
pub struct Outcome {
    /// The number of events that were replayed.
    pub steps: u64,
    /// The first difference, if any.
    pub difference: Option<Difference>,
}

/// Replays a trace up to its end or its first difference.
///
/// A truncated last line ends the trace.
///
/// # Errors
/// The trace cannot be read or parsed.
pub fn replay(trace: impl BufRead) -> Result<Outcome> {
    let mut lines = trace.lines();
    let header = lines.next().ok_or(Error::Empty)?.map_err(Error::Read)?;
    let header: Header = parse(1, &header)?;
    let mut state = State::new(header.settings, header.seed);
    let mut steps = 0;
    for text in lines {
        let text = text.map_err(Error::Read)?;
        let line = steps + 2;
        let step: Step = match parse(line, &text) {
            Err(Error::Line { error, .. }) if error.is_eof() => break,
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
    serde_json::from_str(text).map_err(|error| Error::Line { line, error })
}
