//! The record of a case: what was sent, answered and run, with seconds from the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with the lock");
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line, and shows it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
