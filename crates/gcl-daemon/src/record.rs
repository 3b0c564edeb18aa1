//! The record's way out: lines go to standard output through the log, and a slow reader never
//! blocks traffic.
//!
//! The queue is bounded. When it is full, lines are counted and not written, and the next line
//! that finds room is preceded by one that states how many are missing. Lines are chained after
//! the queue, so that a missing line never looks like a removed one.

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

/// Lines that wait to be written.
const QUEUE_LINES: usize = 1 << 16;
/// Target of the record's lines in the log.
pub const TARGET: &str = "record";

/// What the writing thread is asked for.
#[derive(Debug)]
enum Item {
    Line(Now, Box<Line>),
    Head,
}

/// Writes lines of the record.
#[derive(Debug)]
pub struct Writer {
    items: SyncSender<Item>,
    missing: u64,
}

impl Writer {
    /// Starts the thread that writes; heads that are asked for go to `events`.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(
        daemon: id::Daemon,
        incarnation: id::Incarnation,
        events: UnboundedSender<Head>,
    ) -> io::Result<Self> {
        let (items, receiver) = sync_channel(QUEUE_LINES);
        let head = Head::new(daemon, incarnation);
        let thread = thread::Builder::new().name("record".into());
        thread.spawn(move || drain(head, &receiver, &events))?;
        Ok(Self { items, missing: 0 })
    }

    /// Queues a line.
    pub fn write(&mut self, now: Now, line: Line) {
        if self.missing > 0 && !self.state_gap(now) {
            self.missing += 1;
            return;
        }
        if self.items.try_send(Item::Line(now, Box::new(line))).is_err() {
            self.missing += 1;
        }
    }

    /// Asks for the head of the chain; a full queue leaves it for the next time.
    pub fn read_head(&self) {
        let _ = self.items.try_send(Item::Head);
    }

    fn state_gap(&mut self, now: Now) -> bool {
        let reason = compact_str::format_compact!("{} lines are missing", self.missing);
        let gap = Line { reason, ..Line::new(Kind::Gap) };
        let stated = self.items.try_send(Item::Line(now, Box::new(gap))).is_ok();
        if stated {
            self.missing = 0;
        }
        stated
    }
}

fn drain(mut head: Head, items: &Receiver<Item>, events: &UnboundedSender<Head>) {
    while let Ok(item) = items.recv() {
        match item {
            Item::Line(now, line) => write(&mut head, now, &line),
            // The reducer has stopped; the lines that are left are still written.
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
        Err(error) => tracing::error!(%error, "a line of the record cannot be written"),
    }
}
