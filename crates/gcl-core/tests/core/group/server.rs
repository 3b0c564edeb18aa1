//! A fake database server that implements the control questions and replication.

use gcl_core::{
    mark::Mark,
    server::{Ask, Failure, Report, Role},
};
use std::time::Duration;

/// Maximum number of entries that a replica copies from its primary at once.
const MAX_PULL: usize = 64;

/// A log entry: the term in which it was written and a value, zero for the first entry of a term.
pub type Entry = (u64, u64);

/// A question that is answered once the server holds a mark.
#[derive(Clone, Debug)]
pub struct Waiting {
    pub from: usize,
    pub question: u64,
    pub mark: Mark,
    pub until: u64,
}

/// A server; its log survives crashes.
#[derive(Clone, Debug, Default)]
pub struct Server {
    pub term: u64,
    pub role: Role,
    pub log: Vec<Entry>,
    pub applied: usize,
    pub follows: Option<String>,
    pub waiting: Vec<Waiting>,
    promoted: u64,
}

impl Server {
    /// The mark of the entry at a position.
    pub fn mark(&self, position: usize) -> Mark {
        let term = position.checked_sub(1).and_then(|index| self.log.get(index));
        Mark::new(term.map_or(0, |entry| entry.0), position as u64)
    }

    /// The server's report about itself.
    pub fn report(&self) -> Report {
        let (received, applied) = (self.mark(self.log.len()), self.mark(self.applied));
        Report { term: self.term, role: self.role, received, applied }
    }

    /// Whether the log holds a mark.
    pub fn holds(&self, mark: Mark) -> bool {
        let position = usize::try_from(mark.position).unwrap_or(usize::MAX);
        position <= self.log.len() && self.mark(position).term == mark.term
    }

    /// Answers a question that requires no waiting.
    pub fn answer(&mut self, ask: &Ask) -> Result<Report, Failure> {
        let agreed = match ask {
            Ask::Status | Ask::Await { .. } => true,
            Ask::Fence(term) => self.fence(*term),
            Ask::Promote(term) => self.promote(*term),
            Ask::Follow { term, server, .. } => self.follow(*term, server),
        };
        if agreed { Ok(self.report()) } else { Err(Failure::Refused(self.report())) }
    }

    fn fence(&mut self, term: u64) -> bool {
        let higher = term > self.term;
        if higher {
            self.term = term;
            self.role = Role::Replica;
            self.follows = None;
        }
        higher
    }

    fn promote(&mut self, term: u64) -> bool {
        let fits = term == self.term && self.promoted < term && self.follows.is_none();
        if fits {
            self.promoted = term;
            self.role = Role::Primary;
            self.write(0);
        }
        fits
    }

    fn follow(&mut self, term: u64, server: &str) -> bool {
        let fits = term > self.term || (term == self.term && self.role == Role::Replica);
        if fits {
            self.term = term;
            self.role = Role::Replica;
            self.follows = Some(server.to_owned());
        }
        fits
    }

    /// Commits a value on a primary and returns its mark.
    pub fn write(&mut self, value: u64) -> Mark {
        self.log.push((self.term, value));
        self.applied = self.log.len();
        self.mark(self.applied)
    }

    /// Replicates from a primary: removes entries that differ, appends missing ones, and applies
    /// those that were there before.
    pub fn pull(&mut self, primary: &Self) {
        if primary.role != Role::Primary || primary.term != self.term {
            return;
        }
        self.applied = self.log.len();
        let mut common = self.log.len().min(primary.log.len());
        while common > 0 && self.log[common - 1] != primary.log[common - 1] {
            common -= 1;
        }
        self.log.truncate(common);
        self.applied = self.applied.min(common);
        let missing = primary.log[common..].iter().take(MAX_PULL);
        self.log.extend(missing);
    }

    /// Whether a read on this server sees a value that was committed at a mark.
    pub fn sees(&self, mark: Mark, value: u64) -> bool {
        let position = usize::try_from(mark.position).unwrap_or(usize::MAX);
        position <= self.applied && self.log.get(position - 1) == Some(&(mark.term, value))
    }
}

/// Microseconds of a duration.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
