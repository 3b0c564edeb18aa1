//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes `record.txt`; clones share the file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    /// Begins each line; tells the deployments of a case apart.
    tag: String,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { start: Instant::now(), tag: String::new(), file })
    }

    /// The same record for one of several deployments, with its own start.
    pub fn of(&self, deployment: &str) -> Self {
        let tag = format!("{deployment}: ");
        Self { start: Instant::now(), tag, file: Arc::clone(&self.file) }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(|broken| broken.into_inner());
        let _ = writeln!(file, "{}{:>7} ms  {text}", self.tag, self.now());
    }
}
