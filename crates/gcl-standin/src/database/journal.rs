//! The durable state of a server as a file of JSON lines, for servers that are killed and
//! restarted.
//!
//! Lines are written on each change of state but not synced to disk: they survive the process, but
//! not the VM.

use super::{log::Entry, node::Leader};
use gcl_core::id::{Position, Term};
use serde::{Deserialize, Serialize};
use std::{
    fs::{File, OpenOptions},
    io::{self, BufRead, BufReader, Write},
    path::Path,
};

/// A change of durable state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line {
    /// The term was increased.
    Term(Term),
    /// The server follows a primary.
    Follow(Leader),
    /// An entry was added to the log.
    Entry(Entry),
    /// The log was truncated after a position.
    Truncate(Position),
}

/// An open journal file, or none.
#[derive(Debug, Default)]
pub struct Journal(Option<File>);

impl Journal {
    /// Opens a journal and reads its lines. An incomplete last line is discarded.
    ///
    /// # Errors
    /// An I/O error.
    pub fn open(path: &Path) -> io::Result<(Self, Vec<Line>)> {
        let file = OpenOptions::new().create(true).append(true).read(true).open(path)?;
        let mut lines = Vec::new();
        let mut valid_bytes = 0;
        let mut reader = BufReader::new(&file);
        let mut text = String::new();
        while reader.read_line(&mut text)? > 0 {
            let Ok(line) = serde_json::from_str(&text) else { break };
            lines.push(line);
            valid_bytes += text.len() as u64;
            text.clear();
        }
        file.set_len(valid_bytes)?;
        Ok((Self(Some(file)), lines))
    }

    /// Writes a line.
    ///
    /// # Panics
    /// If the line cannot be written, as the server could not keep its guarantees then.
    pub fn write(&mut self, line: &Line) {
        if let Some(file) = &mut self.0 {
            let mut text = serde_json::to_vec(line).expect("a line can be serialised");
            text.push(b'\n');
            file.write_all(&text).expect("the journal can be written");
        }
    }
}
