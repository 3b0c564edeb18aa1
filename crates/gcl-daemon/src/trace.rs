//! The trace of a daemon: every event with its effects, one JSON object per line.
//!
//! The reducer is deterministic, so replaying a trace gives the same decisions in any daemon. A
//! trace can be attached to a bug report, used as a test, or audited.

use gcl_core::{effect::Effect, event::Event, time::Now};
use serde::Serialize;
use std::{
    fs::File,
    io::{self, BufWriter, Write},
    sync::mpsc::{Sender, channel},
};

/// Queues lines for the thread that writes the trace.
#[derive(Debug)]
pub struct Writer {
    lines: Sender<String>,
}

#[derive(Serialize)]
struct Step<'a> {
    now: Now,
    event: &'a Event,
    effects: &'a [Effect],
}

impl Writer {
    /// Creates the trace file, or uses standard output for `-`, and writes the first line.
    ///
    /// # Errors
    /// The file cannot be created, or the writer thread cannot be started.
    pub fn start(path: &str, head: &impl Serialize) -> io::Result<Self> {
        let mut output: Box<dyn Write + Send> = match path {
            "-" => Box::new(io::stdout()),
            path => Box::new(BufWriter::new(File::create(path)?)),
        };
        let (lines, receiver) = channel::<String>();
        let head = serde_json::to_string(head)?;
        std::thread::Builder::new().name("trace".into()).spawn(move || {
            if writeln!(output, "{head}").is_err() {
                return;
            }
            while let Ok(line) = receiver.recv() {
                if writeln!(output, "{line}").and_then(|()| output.flush()).is_err() {
                    return;
                }
            }
        })?;
        Ok(Self { lines })
    }

    /// Writes one event and its effects.
    pub fn write(&self, now: Now, event: &Event, effects: &[Effect]) {
        match serde_json::to_string(&Step { now, event, effects }) {
            // The writer thread ends on an I/O error; the daemon continues without a trace.
            Ok(line) => drop(self.lines.send(line)),
            Err(error) => tracing::error!(%error, "cannot serialize a step of the trace"),
        }
    }
}
