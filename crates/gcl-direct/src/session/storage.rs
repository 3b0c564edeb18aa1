//! Memory for the values and prepared statements that sessions keep, and for statements of other
//! daemons.
//!
//! A session keeps them until it ends, so they are limited for each session and for all together.
//! A small part is guaranteed to each session, so that ordinary sessions can set theirs while others
//! have used up the rest.

use super::Session;
use crate::{connection::Values, statement::Prepared};
use compact_str::CompactString;
use gcl_core::code::{Code, Fault, Result};
use std::time::Duration;

/// Limit of a session in bytes; a message of the largest size fits.
const MAX_SESSION_BYTES: usize = (1 << 20) + GUARANTEED_BYTES;
/// Bytes of a session that do not count towards the limit of all.
const GUARANTEED_BYTES: usize = 4 << 10;
/// Memory for an entry beside its texts.
const ENTRY_BYTES: usize = 64;
/// Limit of all sessions unless the shell states one, in bytes.
const DEFAULT_LIMIT: usize = 16 << 20;
/// Retry-after while other sessions have used up the limit.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The memory of all sessions beyond their guaranteed parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Storage {
    limit: usize,
    used: usize,
}

impl Default for Storage {
    fn default() -> Self {
        Self { limit: DEFAULT_LIMIT, used: 0 }
    }
}

impl Storage {
    /// Limits the memory of all sessions in bytes.
    pub const fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Memory in use in bytes.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Sets a value of a session.
    ///
    /// # Errors
    /// The session or all sessions together would keep too much.
    pub fn set(
        &mut self,
        session: &mut Session,
        name: CompactString,
        value: CompactString,
    ) -> Result<()> {
        let before = session.values.get(&name).map_or(0, |value| size(&name, value));
        self.resize(session, session.stored - before + size(&name, &value))?;
        session.values.insert(name, value);
        Ok(())
    }

    /// Prepares a statement of a session.
    ///
    /// # Errors
    /// As [`Self::set`].
    pub fn prepare(
        &mut self,
        session: &mut Session,
        name: CompactString,
        prepared: Prepared,
    ) -> Result<()> {
        let before = session.prepared.get(&name).map_or(0, |it| size(&name, &it.template));
        self.resize(session, session.stored - before + size(&name, &prepared.template))?;
        session.prepared.insert(name, prepared);
        Ok(())
    }

    /// Removes a prepared statement of a session; returns whether it existed.
    pub fn deallocate(&mut self, session: &mut Session, name: &str) -> bool {
        let Some(removed) = session.prepared.swap_remove(name) else {
            return false;
        };
        self.replace(session, session.stored - size(name, &removed.template));
        true
    }

    /// Takes over what an entry sent with a statement of `text` bytes; it replaces the session's
    /// values.
    ///
    /// # Errors
    /// All sessions together would keep too much.
    pub fn receive(
        &mut self,
        session: &mut Session,
        values: Values,
        prepared: Option<(CompactString, Prepared)>,
        text: usize,
    ) -> Result<()> {
        let values_size: usize = values.iter().map(|(name, value)| size(name, value)).sum();
        let others = session.prepared.iter().chain(prepared.as_ref().map(|(name, it)| (name, it)));
        let prepared_size: usize = others.map(|(name, it)| size(name, &it.template)).sum();
        let stored = values_size + prepared_size + text;
        self.check(session.stored, stored)?;
        self.replace(session, stored);
        session.values = values;
        session.prepared.extend(prepared);
        Ok(())
    }

    /// Returns the memory of a session that has ended.
    pub const fn release(&mut self, stored: usize) {
        self.used -= shared(stored);
    }

    fn resize(&mut self, session: &mut Session, stored: usize) -> Result<()> {
        if stored > MAX_SESSION_BYTES && stored > session.stored {
            let text = "the session keeps too many values and prepared statements";
            return Err(Fault::new(Code::TooLarge, text));
        }
        self.check(session.stored, stored)?;
        self.replace(session, stored);
        Ok(())
    }

    fn check(&self, before: usize, after: usize) -> Result<()> {
        if after > before && self.used - shared(before) + shared(after) > self.limit {
            let text = "sessions keep too many values and prepared statements";
            return Err(Fault::new(Code::QueueFull, text).retry_after(FULL_RETRY_AFTER));
        }
        Ok(())
    }

    const fn replace(&mut self, session: &mut Session, stored: usize) {
        self.used = self.used - shared(session.stored) + shared(stored);
        session.stored = stored;
    }
}

const fn size(name: &str, text: &str) -> usize {
    name.len() + text.len() + ENTRY_BYTES
}

const fn shared(stored: usize) -> usize {
    stored.saturating_sub(GUARANTEED_BYTES)
}
