//! The trace of a daemon: every event with its effects, one JSON object a line.
//!
//! A trace replays to the same decisions in any daemon, so it serves as bug report, as test and as
//! evidence.

use gcl_core::{effect::Effect, event::Event, time::Now};
use serde::Serialize;
use std::{
    fs::File,
    io::{self, BufWriter, Write},
    sync::mpsc::{Sender, channel},
};

/// Writes a trace.
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
    /// Opens a trace at a path, or at standard output for `-`, and writes its head.
    ///
    /// # Errors
    /// The file cannot be created, or the thread not started.
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
            // A trace that can no longer be written ends; the daemon goes on.
            Ok(line) => drop(self.lines.send(line)),
            Err(error) => tracing::error!(%error, "a step of the trace cannot be written"),
        }
    }
}
