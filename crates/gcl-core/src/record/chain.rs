//! The hash chain over the record lines of one incarnation of a daemon.
//!
//! The hash of each line covers the hash of the line before it, its sequence number, its time and
//! its text, so that a line that was removed, altered or moved breaks the chain at that point.

use crate::id;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Write as _;

/// A line as it is written, with its position in the chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// The daemon that wrote the line.
    pub daemon: id::Daemon,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// The sequence number of the line in the chain, starting at one.
    pub sequence: u64,
    /// Wall-clock milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The line as JSON text.
    pub line: String,
    /// The hash of the chain up to this line, in hexadecimal.
    pub hash: CompactString,
}

/// The head of a chain: its last line and the hash up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The daemon that writes the chain.
    pub daemon: id::Daemon,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// The sequence number of the last line, zero before the first.
    pub sequence: u64,
    /// The hash of the chain up to that line, in hexadecimal.
    pub hash: CompactString,
}

impl Head {
    /// The head of a chain without lines.
    #[must_use]
    pub fn new(daemon: id::Daemon, incarnation: id::Incarnation) -> Self {
        let hash = digest(&["goldcrest record", &daemon, &incarnation.to_string()]);
        Self { daemon, incarnation, sequence: 0, hash }
    }

    /// Appends a line to the chain and returns it with its position and hash.
    pub fn seal(&mut self, wall_ms: u64, line: String) -> Sealed {
        self.sequence += 1;
        self.hash = self.next_hash(self.sequence, wall_ms, &line);
        Sealed {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            wall_ms,
            line,
            hash: self.hash.clone(),
        }
    }

    /// Whether a line is the next of the chain. If so, the head advances to it.
    pub fn accept(&mut self, sealed: &Sealed) -> bool {
        let follows = sealed.daemon == self.daemon
            && sealed.incarnation == self.incarnation
            && sealed.sequence == self.sequence + 1
            && sealed.hash == self.next_hash(sealed.sequence, sealed.wall_ms, &sealed.line);
        if follows {
            self.sequence = sealed.sequence;
            self.hash.clone_from(&sealed.hash);
        }
        follows
    }

    fn next_hash(&self, sequence: u64, wall_ms: u64, line: &str) -> CompactString {
        digest(&[&self.hash, &sequence.to_string(), &wall_ms.to_string(), line])
    }
}

/// The SHA-256 of several texts, each preceded by its length, in hexadecimal.
#[must_use]
pub fn digest(parts: &[&str]) -> CompactString {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.len().to_be_bytes());
        hasher.update(part.as_bytes());
    }
    let bytes = hasher.finalize();
    bytes.iter().fold(CompactString::with_capacity(64), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
