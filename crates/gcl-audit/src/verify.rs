//! Verifies the integrity of a record: each hash chain is unbroken from its first line and matches all
//! anchors.
//!
//! A chain whose last lines are missing is still unbroken. Anchors distinguish truncation from a
//! chain that has not been collected to its end: an anchored head beyond the last line found proves
//! that lines were removed.

use crate::read::{Entry, Location};
use gcl_core::{
    id,
    record::{
        Kind, Line,
        anchor::{Anchor, Statement},
        chain::{Head, Sealed},
    },
};
use indexmap::IndexMap;
use serde::Serialize;
use std::{cmp::Ordering, fmt};

/// A fault in a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// A line cannot be parsed.
    Damaged {
        /// File and line number.
        place: String,
        /// The parser's error.
        why: String,
    },
    /// A line was altered.
    Altered {
        /// File and line number.
        place: String,
        /// The daemon.
        daemon: id::Daemon,
        /// The line's sequence number in its chain.
        sequence: u64,
    },
    /// Lines are missing before this one.
    Missing {
        /// File and line number.
        place: String,
        /// The daemon.
        daemon: id::Daemon,
        /// The first missing sequence number.
        from: u64,
        /// The last missing sequence number.
        to: u64,
    },
    /// A line occurs after a later one, or twice.
    Reordered {
        /// File and line number.
        place: String,
        /// The daemon.
        daemon: id::Daemon,
        /// The line's sequence number in its chain.
        sequence: u64,
    },
    /// A chain was truncated: it ends before an anchored line.
    Cut {
        /// The daemon.
        daemon: id::Daemon,
        /// The daemon's incarnation.
        incarnation: id::Incarnation,
        /// The sequence number of the last line found.
        last: u64,
        /// The sequence number of the anchored line.
        anchored: u64,
    },
    /// An anchored hash differs from the chain's.
    Forged {
        /// The daemon.
        daemon: id::Daemon,
        /// The daemon's incarnation.
        incarnation: id::Incarnation,
        /// The sequence number of the line whose hash differs.
        sequence: u64,
    },
    /// The statement that results in an anchor of the store is missing or altered.
    Unanchored {
        /// The failure domain.
        domain: id::Domain,
        /// The anchor's number within the domain.
        count: u64,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Damaged { place, why } => write!(f, "{place}: damaged line: {why}"),
            Self::Altered { place, daemon, sequence } => {
                write!(f, "{place}: line {sequence} of {daemon} was altered")
            }
            Self::Missing { place, daemon, from, to } => {
                write!(f, "{place}: lines {from} to {to} of {daemon} are missing")
            }
            Self::Reordered { place, daemon, sequence } => {
                write!(f, "{place}: line {sequence} of {daemon} is out of order")
            }
            Self::Cut { daemon, incarnation, last, anchored } => write!(
                f,
                "the record of {daemon} ({incarnation}) ends at line {last}, \
                 but line {anchored} was anchored"
            ),
            Self::Forged { daemon, incarnation, sequence } => write!(
                f,
                "line {sequence} of {daemon} ({incarnation}) is not the one that was anchored"
            ),
            Self::Unanchored { domain, count } => {
                write!(f, "the statement of anchor {count} of {domain} is missing or altered")
            }
        }
    }
}

/// The outcome of a verification.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The number of lines checked.
    pub lines: u64,
    /// The number of chains, one for each incarnation of a daemon.
    pub chains: usize,
    /// The number of lines that daemons reported as not written.
    pub gaps: u64,
    /// The number of lines at the ends of chains that no anchor covers yet.
    pub open: u64,
    /// The faults found.
    pub faults: Vec<Fault>,
}

/// Returns the statements that the store's anchors confirm, and a fault for each anchor without one.
///
/// Every anchor, from the store's value back to the first, must result from a statement in the record.
/// Statements that never took effect in the store are omitted.
#[must_use]
pub fn confirmed(
    statements: &[Statement],
    anchors: &IndexMap<id::Domain, Anchor>,
) -> (Vec<Statement>, Vec<Fault>) {
    let (mut confirmed, mut faults) = (Vec::new(), Vec::new());
    for (domain, anchor) in anchors {
        let mut anchor = anchor.clone();
        while anchor.count > 0 {
            let results_in_anchor = |statement: &&Statement| {
                statement.domain == *domain && statement.anchor() == anchor
            };
            let Some(statement) = statements.iter().find(results_in_anchor) else {
                faults.push(Fault::Unanchored { domain: domain.clone(), count: anchor.count });
                break;
            };
            confirmed.push(statement.clone());
            anchor = statement.before.clone();
        }
    }
    (confirmed, faults)
}

/// Identifies a chain by its daemon and incarnation.
type Chain = (id::Daemon, id::Incarnation);

/// Verifies a record line by line.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    heads: IndexMap<Chain, Head>,
    statements: Vec<Statement>,
    /// Anchored hashes by sequence number; there are far fewer anchors than lines.
    anchored: IndexMap<Chain, IndexMap<u64, compact_str::CompactString>>,
    /// Hashes found in the record at the anchored sequence numbers.
    hashes: IndexMap<Chain, IndexMap<u64, compact_str::CompactString>>,
    outcome: Outcome,
}

impl Checker {
    /// Adds the anchored heads that a first pass found, for comparison with the chains.
    pub fn expect_heads(&mut self, statements: &[Statement]) {
        for head in statements.iter().flat_map(|statement| &statement.heads) {
            let chain = (head.daemon.clone(), head.incarnation);
            self.anchored.entry(chain).or_default().insert(head.sequence, head.hash.clone());
        }
    }

    /// Checks a line.
    pub fn check(&mut self, location: &Location, entry: &Entry) {
        match entry {
            Entry::Damaged(why) => {
                let fault = Fault::Damaged { place: location.to_string(), why: why.clone() };
                self.outcome.faults.push(fault);
            }
            Entry::Record(sealed) => self.check_sealed(location, sealed),
        }
    }

    fn check_sealed(&mut self, location: &Location, sealed: &Sealed) {
        self.outcome.lines += 1;
        let chain = (sealed.daemon.clone(), sealed.incarnation);
        let fresh = || Head::new(sealed.daemon.clone(), sealed.incarnation);
        let head = self.heads.entry(chain.clone()).or_insert_with(fresh);
        if !head.accept(sealed) {
            self.outcome.faults.push(fault(location, head, sealed));
            if sealed.sequence > head.sequence {
                // Continues from this line as it is, so that one gap gives one fault.
                head.sequence = sealed.sequence;
                head.hash.clone_from(&sealed.hash);
            }
        }
        if self
            .anchored
            .get(&chain)
            .is_some_and(|by_sequence| by_sequence.contains_key(&sealed.sequence))
        {
            let hashes = self.hashes.entry(chain).or_default();
            hashes.insert(sealed.sequence, sealed.hash.clone());
        }
        self.read_content(sealed);
    }

    fn read_content(&mut self, sealed: &Sealed) {
        let Ok(line) = serde_json::from_str::<Line>(&sealed.line) else { return };
        match line.kind {
            Kind::Gap => {
                let count = line.reason.split(' ').next().and_then(|count| count.parse().ok());
                self.outcome.gaps += count.unwrap_or(1);
            }
            Kind::Anchor => self.statements.extend(serde_json::from_str::<Statement>(&line.reason)),
            _ => {}
        }
    }

    /// The statements of anchors found in the record.
    #[must_use]
    pub fn statements(&self) -> &[Statement] {
        &self.statements
    }

    /// Compares the chains with the anchored heads and returns the outcome.
    #[must_use]
    pub fn finish(mut self) -> Outcome {
        let anchored = std::mem::take(&mut self.anchored);
        for (chain, by_sequence) in &anchored {
            for (sequence, hash) in by_sequence {
                self.check_anchored(chain, *sequence, hash);
            }
        }
        self.outcome.chains = self.heads.len();
        self.outcome.open = self.count_unanchored(&anchored);
        self.outcome
    }

    fn check_anchored(&mut self, chain: &Chain, sequence: u64, hash: &str) {
        let (daemon, incarnation) = chain.clone();
        let last = self.heads.get(chain).map_or(0, |head| head.sequence);
        let found = self.hashes.get(chain).and_then(|hashes| hashes.get(&sequence));
        if sequence > last {
            let fault = Fault::Cut { daemon, incarnation, last, anchored: sequence };
            self.outcome.faults.push(fault);
        } else if sequence > 0 && found.is_some_and(|found| found != hash) {
            self.outcome.faults.push(Fault::Forged { daemon, incarnation, sequence });
        }
    }

    fn count_unanchored(
        &self,
        anchored: &IndexMap<Chain, IndexMap<u64, compact_str::CompactString>>,
    ) -> u64 {
        let covered = |chain: &Chain| {
            anchored
                .get(chain)
                .and_then(|by_sequence| by_sequence.keys().max().copied())
                .unwrap_or(0)
        };
        let ends = self.heads.iter();
        ends.map(|(chain, head)| head.sequence.saturating_sub(covered(chain))).sum()
    }
}

fn fault(location: &Location, head: &Head, sealed: &Sealed) -> Fault {
    let (place, daemon) = (location.to_string(), sealed.daemon.clone());
    let (expected, sequence) = (head.sequence + 1, sealed.sequence);
    match sequence.cmp(&expected) {
        Ordering::Greater => Fault::Missing { place, daemon, from: expected, to: sequence - 1 },
        Ordering::Less => Fault::Reordered { place, daemon, sequence },
        Ordering::Equal => Fault::Altered { place, daemon, sequence },
    }
}
