//! Writes the record, the daemon's hash-chained audit log: lines go to standard output through the
//! log, from a thread of their own, so that a slow reader of the log never blocks requests.
//!
//! The queue to the thread is bounded. When it is full, lines are dropped and counted; a gap line
//! with their number is queued before the next line that fits. The hash chain is computed by the
//! writer thread, behind the queue, so a dropped line does not break the chain and cannot be
//! mistaken for a line that was removed later.

use gcl_core::{
    id,
    record::{Kind, Line, chain::Head},
    time::Now,
};
use std::{
    io,
    sync::mpsc::{Receiver, SyncSender, sync_channel},
    thread,
};
use tokio::sync::mpsc::UnboundedSender;

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_LINES: usize = 1 << 16;
/// `tracing` target of the record's lines.
pub const TARGET: &str = "record";

/// A message to the writer thread.
#[derive(Debug)]
enum Item {
    Line(Now, Box<Line>),
    Head,
}

/// Queues lines of the record for the writer thread.
#[derive(Debug)]
pub struct Writer {
    items: SyncSender<Item>,
    dropped: u64,
}

impl Writer {
    /// Starts the writer thread; requested heads of the chain are sent to `events`.
    ///
    /// # Errors
    /// The writer thread cannot be started.
    pub fn start(
        daemon: id::Daemon,
        incarnation: id::Incarnation,
        events: UnboundedSender<Head>,
    ) -> io::Result<Self> {
        let (items, receiver) = sync_channel(QUEUE_LINES);
        let head = Head::new(daemon, incarnation);
        let thread = thread::Builder::new().name("record".into());
        thread.spawn(move || run_writer(head, &receiver, &events))?;
        Ok(Self { items, dropped: 0 })
    }

    /// Queues a line; if the queue is full, drops and counts it.
    pub fn write(&mut self, now: Now, line: Line) {
        if self.dropped > 0 && !self.queue_gap(now) {
            self.dropped += 1;
            return;
        }
        if self.items.try_send(Item::Line(now, Box::new(line))).is_err() {
            self.dropped += 1;
        }
    }

    /// Requests the head of the hash chain; the request is dropped if the queue is full.
    pub fn read_head(&self) {
        let _ = self.items.try_send(Item::Head);
    }

    fn queue_gap(&mut self, now: Now) -> bool {
        let reason = compact_str::format_compact!("{} lines are missing", self.dropped);
        let gap = Line { reason, ..Line::new(Kind::Gap) };
        let queued = self.items.try_send(Item::Line(now, Box::new(gap))).is_ok();
        if queued {
            self.dropped = 0;
        }
        queued
    }
}

fn run_writer(mut head: Head, items: &Receiver<Item>, events: &UnboundedSender<Head>) {
    while let Ok(item) = items.recv() {
        match item {
            Item::Line(now, line) => write(&mut head, now, &line),
            // Sending fails once the reducer has stopped; queued lines are still written.
            Item::Head => drop(events.send(head.clone())),
        }
    }
}

fn write(head: &mut Head, now: Now, line: &Line) {
    let wall_ms = u64::try_from(now.wall.as_millis()).unwrap_or(u64::MAX);
    match serde_json::to_string(line) {
        Ok(line) => {
            let sealed = head.seal(wall_ms, line);
            tracing::info!(
                target: TARGET,
                daemon = %sealed.daemon,
                incarnation = sealed.incarnation,
                sequence = sealed.sequence,
                wall_ms = sealed.wall_ms,
                line = sealed.line,
                hash = %sealed.hash,
            );
        }
        Err(error) => tracing::error!(%error, "cannot serialize a line of the record"),
    }
}
