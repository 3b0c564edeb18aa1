//! The log: JSON lines on standard output, rate-limited, and never blocking traffic.
//!
//! Lines are collected in memory and passed in batches to a writer thread. The number of lines a
//! second is limited by priority, and a batch is dropped when the thread's queue is full. Dropped
//! lines are counted, and the count is logged as the next line.

use compact_str::CompactString;
use gcl_core::{id, time::Now};
use gcl_direct::line::{Line, Priority};
use serde::ser::{SerializeMap, Serializer};
use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, sync_channel},
    thread,
    time::Duration,
};

/// Size at which a batch is flushed, in bytes.
const BATCH_BYTES: usize = 16 << 10;
/// Longest time that a line waits in a batch.
pub const FLUSH_DELAY: Duration = Duration::from_millis(250);
/// Capacity of the writer thread's queue in batches.
const QUEUE_BATCHES: usize = 32;
/// Lines a second about steps of requests that have not failed.
const ROUTINE_LINES: u32 = 60;
/// Lines a second about failed requests.
const FAILURE_LINES: u32 = 150;
/// Lines a second about changes of the daemon's view of the system.
const STATE_CHANGE_LINES: u32 = 300;

/// Lines that are written at once.
#[derive(Debug, Default)]
struct Batch {
    bytes: Vec<u8>,
    lines: u64,
}

/// Writes the log of one daemon.
#[derive(Debug)]
pub struct Journal {
    daemon: id::Daemon,
    batch: Batch,
    batches: SyncSender<Batch>,
    second: u64,
    written: [u32; 3],
    dropped: u64,
}

impl Journal {
    /// Starts the writer thread.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(daemon: id::Daemon) -> io::Result<Self> {
        let (batches, receiver) = sync_channel(QUEUE_BATCHES);
        thread::Builder::new().name("log".into()).spawn(move || write_all(&receiver))?;
        Ok(Self {
            daemon,
            batch: Batch::default(),
            batches,
            second: 0,
            written: [0; 3],
            dropped: 0,
        })
    }

    /// Writes the first line of a process.
    pub fn start_line(&mut self, who: &str) {
        let line = Line::state_change("process started").with("daemon_at", who);
        self.log(Now::default(), &line.with("version", env!("CARGO_PKG_VERSION")));
        // No flush is scheduled yet, and only the first line of a batch schedules one.
        self.flush();
    }

    /// Appends a line unless its limit is reached; returns whether the batch was empty before, in
    /// which case the caller must schedule a flush.
    pub fn log(&mut self, now: Now, line: &Line) -> bool {
        let second = now.mono.as_secs();
        if second != self.second {
            self.second = second;
            self.written = [0; 3];
        }
        let (slot, max) = match line.priority {
            Priority::Routine => (0, ROUTINE_LINES),
            Priority::Failure => (1, FAILURE_LINES),
            Priority::StateChange => (2, STATE_CHANGE_LINES),
        };
        if self.written[slot] >= max {
            self.dropped += 1;
            return false;
        }
        self.written[slot] += 1;
        let first = self.batch.bytes.is_empty();
        if self.dropped > 0 {
            let count = std::mem::take(&mut self.dropped);
            self.append(now, &Line::state_change("lines left out").with("count", count));
        }
        self.append(now, line);
        if self.batch.bytes.len() >= BATCH_BYTES {
            self.flush();
        }
        first
    }

    fn append(&mut self, now: Now, line: &Line) {
        let before = self.batch.bytes.len();
        if serialize(&self.daemon, now, line, &mut self.batch.bytes).is_ok() {
            self.batch.lines += 1;
        } else {
            // Encoding of text should not fail, but a partial line would corrupt the next one.
            self.batch.bytes.truncate(before);
            self.dropped += 1;
        }
    }

    /// Passes the batch to the writer thread, or drops it when the thread's queue is full.
    pub fn flush(&mut self) {
        let batch = std::mem::take(&mut self.batch);
        if let Err(rejected) = self.batches.try_send(batch) {
            let (std::sync::mpsc::TrySendError::Full(batch)
            | std::sync::mpsc::TrySendError::Disconnected(batch)) = rejected;
            self.dropped += batch.lines;
        }
    }
}

fn serialize(
    daemon: &id::Daemon,
    now: Now,
    line: &Line,
    batch: &mut Vec<u8>,
) -> serde_json::Result<()> {
    let mut serializer = serde_json::Serializer::new(&mut *batch);
    let mut map = serializer.serialize_map(None)?;
    map.serialize_entry("at_ms", &millis(now.wall))?;
    map.serialize_entry("up_ms", &millis(now.mono))?;
    map.serialize_entry("daemon", daemon)?;
    map.serialize_entry("event", line.event)?;
    for (name, value) in &line.fields {
        serialize_field(&mut map, name, value)?;
    }
    map.end()?;
    batch.push(b'\n');
    Ok(())
}

/// Writes a field, as a number if its text is one.
fn serialize_field<M: SerializeMap>(
    map: &mut M,
    name: &str,
    value: &CompactString,
) -> std::result::Result<(), M::Error> {
    match value.parse::<u64>() {
        Ok(number) if !value.starts_with(['0', '+']) || value == "0" => {
            map.serialize_entry(name, &number)
        }
        _ => map.serialize_entry(name, value),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn write_all(batches: &Receiver<Batch>) {
    let mut output = io::stdout().lock();
    while let Ok(batch) = batches.recv() {
        if output.write_all(&batch.bytes).and_then(|()| output.flush()).is_err() {
            // Standard output is closed; the daemon continues without a log.
            return;
        }
    }
}
