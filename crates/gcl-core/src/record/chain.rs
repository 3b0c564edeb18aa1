//! The hash chain over the lines of one life of a daemon.
//!
//! Each line carries the hash of the line before it, its own place and its own text, so that a
//! line that was removed, altered or moved breaks the chain at that place.

use crate::id;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Write as _;

/// A line with its place in the chain, as it is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// The daemon.
    pub daemon: id::Daemon,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// The line's place, from one.
    pub sequence: u64,
    /// Wall-clock milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The line as JSON text.
    pub line: String,
    /// The hash of the chain up to this line, hexadecimal.
    pub hash: CompactString,
}

/// The newest place of a chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The daemon.
    pub daemon: id::Daemon,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// The place of the last line, zero before the first.
    pub sequence: u64,
    /// The hash up to it.
    pub hash: CompactString,
}

impl Head {
    /// The head of a chain without lines.
    #[must_use]
    pub fn new(daemon: id::Daemon, incarnation: id::Incarnation) -> Self {
        let hash = digest(&["goldcrest record", &daemon, &incarnation.to_string()]);
        Self { daemon, incarnation, sequence: 0, hash }
    }

    /// Adds a line and gives it with its place.
    pub fn seal(&mut self, wall_ms: u64, line: String) -> Sealed {
        self.sequence += 1;
        self.hash = self.next(self.sequence, wall_ms, &line);
        Sealed {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            wall_ms,
            line,
            hash: self.hash.clone(),
        }
    }

    /// Whether a line follows this head; if so, the head moves on to it.
    pub fn accept(&mut self, sealed: &Sealed) -> bool {
        let follows = sealed.daemon == self.daemon
            && sealed.incarnation == self.incarnation
            && sealed.sequence == self.sequence + 1
            && sealed.hash == self.next(sealed.sequence, sealed.wall_ms, &sealed.line);
        if follows {
            self.sequence = sealed.sequence;
            self.hash.clone_from(&sealed.hash);
        }
        follows
    }

    fn next(&self, sequence: u64, wall_ms: u64, line: &str) -> CompactString {
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
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
