//! A server's durable state as a file of JSON lines, for a server that is killed and started again.
//!
//! Lines are written as the state changes and not forced to disk: they outlive the process, not the
//! machine.

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
    /// The term was raised.
    Term(Term),
    /// A primary is followed.
    Follow(Leader),
    /// An entry was added to the log.
    Entry(Entry),
    /// The log was cut after a position.
    Truncate(Position),
}

/// An open journal, or none.
#[derive(Debug, Default)]
pub struct Journal(Option<File>);

impl Journal {
    /// Opens a journal and reads its lines; a last line that was cut short is left out.
    ///
    /// # Errors
    /// What the file system reports.
    pub fn open(path: &Path) -> io::Result<(Self, Vec<Line>)> {
        let file = OpenOptions::new().create(true).append(true).read(true).open(path)?;
        let mut lines = Vec::new();
        let mut kept = 0;
        let mut reader = BufReader::new(&file);
        let mut text = String::new();
        while reader.read_line(&mut text)? > 0 {
            let Ok(line) = serde_json::from_str(&text) else { break };
            lines.push(line);
            kept += text.len() as u64;
            text.clear();
        }
        file.set_len(kept)?;
        Ok((Self(Some(file)), lines))
    }

    /// Writes a line. A server that cannot keep its promises ends.
    ///
    /// # Panics
    /// If the line cannot be written.
    pub fn write(&mut self, line: &Line) {
        if let Some(file) = &mut self.0 {
            let mut text = serde_json::to_vec(line).expect("a line has no map with other keys");
            text.push(b'\n');
            file.write_all(&text).expect("the journal can be written");
        }
    }
}
