//! Reads the settings file again when it changes or when a signal says so.

use eyre::{Result, WrapErr};
use gcl_direct::event::Event;
use gcl_platform::settings::{self, Process};
use std::{
    fs,
    time::{Duration, SystemTime},
};

/// Time between two looks at the file, which may change without a signal; the platform gives a new
/// configuration three seconds to be in force.
pub const POLL: Duration = Duration::from_secs(2);

/// The settings file and what was last read from it.
#[derive(Debug)]
pub struct Reload {
    path: String,
    process: Process,
    changed: Option<SystemTime>,
}

impl Reload {
    /// Watches the file that a process was started with.
    #[must_use]
    pub fn new(path: String, process: Process) -> Self {
        let changed = changed(&path);
        Self { path, process, changed }
    }

    /// Reads the file if it has changed since it was last read.
    ///
    /// # Errors
    /// It cannot be read, or it has faults; what was in force stays so.
    pub fn poll(&mut self) -> Result<Option<Event>> {
        let changed = changed(&self.path);
        if changed == self.changed {
            return Ok(None);
        }
        self.changed = changed;
        self.read()
    }

    /// Reads the file; gives nothing when it says what it said before.
    ///
    /// # Errors
    /// As [`Self::poll`].
    pub fn read(&mut self) -> Result<Option<Event>> {
        let new = settings::read(&self.path).wrap_err("the settings in force stay")?;
        if new == self.process {
            return Ok(None);
        }
        let kept = kept(&self.process, &new);
        let settings = Box::new(new.settings.clone());
        self.process = new;
        Ok(Some(Event::Settings { settings, kept }))
    }
}

/// When the file last changed. A file that is gone or cannot be asked counts as changed once it can
/// be asked again, and reading it then says what is wrong.
fn changed(path: &str) -> Option<SystemTime> {
    fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

/// Addresses that changed: sockets and clients are opened at the start only.
fn kept(old: &Process, new: &Process) -> Vec<&'static str> {
    let addresses = [
        ("callers' address", old.callers, new.callers),
        ("probe's address", old.probe, new.probe),
        ("peers' address", old.peers, new.peers),
        ("store's address", old.store, new.store),
        ("promotions' address", old.promotion, new.promotion),
    ];
    let changed = addresses.into_iter().filter(|(_, old, new)| old != new);
    changed.map(|(name, _, _)| name).collect()
}
