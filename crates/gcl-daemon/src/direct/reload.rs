//! Reloads the settings file when it changes or on a signal.

use eyre::{Result, WrapErr};
use gcl_direct::event::Event;
use gcl_platform::settings::{self, Process};
use std::{
    fs,
    time::{Duration, SystemTime},
};

/// Interval of checks of the file, which may change without a signal. The platform requires a new
/// configuration to be in force within three seconds.
pub const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The settings file and what was last read from it.
#[derive(Debug)]
pub struct Reload {
    path: String,
    process: Process,
    changed: Option<SystemTime>,
}

impl Reload {
    /// Tracks the settings file that the process was started with.
    #[must_use]
    pub fn new(path: String, process: Process) -> Self {
        let changed = changed(&path);
        Self { path, process, changed }
    }

    /// Reads the file if it has changed since it was last read.
    ///
    /// # Errors
    /// The file cannot be read or is invalid; the previous settings stay in force.
    pub fn poll(&mut self) -> Result<Option<Event>> {
        let changed = changed(&self.path);
        if changed == self.changed {
            return Ok(None);
        }
        self.changed = changed;
        self.read()
    }

    /// Reads the file; returns nothing when the settings are unchanged.
    ///
    /// # Errors
    /// As [`Self::poll`].
    pub fn read(&mut self) -> Result<Option<Event>> {
        let new = settings::read(&self.path).wrap_err("the previous settings stay in force")?;
        if new == self.process {
            return Ok(None);
        }
        let kept = kept(&self.process, &new);
        let settings = Box::new(new.settings.clone());
        self.process = new;
        Ok(Some(Event::Settings { settings, kept }))
    }
}

/// The file's modification time, or none if it is missing or inaccessible. Either transition counts
/// as a change, and reading the file then reports what is wrong.
fn changed(path: &str) -> Option<SystemTime> {
    fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

/// Addresses and limits that changed but stay as they were, as sockets, clients and budgets are only
/// set up at the start.
fn kept(old: &Process, new: &Process) -> Vec<&'static str> {
    let addresses = [
        ("callers' address", old.caller_address, new.caller_address),
        ("probe's address", old.probe_address, new.probe_address),
        ("peers' address", old.peer_address, new.peer_address),
        ("store's address", old.store_address, new.store_address),
        ("promotions' address", old.promotion_address, new.promotion_address),
    ];
    let changed = addresses.into_iter().filter(|(_, old, new)| old != new);
    let limits = [
        ("memory", old.memory_bytes, new.memory_bytes),
        ("descriptors", old.descriptors, new.descriptors),
    ];
    let limits = limits.into_iter().filter(|(_, old, new)| old != new);
    changed.map(|(name, _, _)| name).chain(limits.map(|(name, _, _)| name)).collect()
}
