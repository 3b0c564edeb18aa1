//! Whether a record is whole: each chain unbroken from its first line, and each anchor met.
//!
//! A chain whose last lines are missing is still unbroken. It is told apart from a chain that is
//! merely not collected to its end by the anchors: a head that was anchored beyond the last line
//! found proves that lines were cut off.

use crate::read::{Entry, Place};
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

/// Something that is wrong with a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// A line cannot be read.
    Damaged {
        /// Where.
        place: String,
        /// What the parser reported.
        why: String,
    },
    /// A line was altered.
    Altered {
        /// Where.
        place: String,
        /// The daemon.
        daemon: id::Daemon,
        /// The line's place in its chain.
        sequence: u64,
    },
    /// Lines are missing before this one.
    Missing {
        /// Where.
        place: String,
        /// The daemon.
        daemon: id::Daemon,
        /// The first missing place in the chain.
        from: u64,
        /// The last missing place in the chain.
        to: u64,
    },
    /// A line stands behind a later one, or twice.
    Reordered {
        /// Where.
        place: String,
        /// The daemon.
        daemon: id::Daemon,
        /// The line's place in its chain.
        sequence: u64,
    },
    /// An anchored line is missing from the end of a chain.
    Cut {
        /// The daemon.
        daemon: id::Daemon,
        /// Its life.
        incarnation: id::Incarnation,
        /// The last line found.
        last: u64,
        /// The line that was anchored.
        anchored: u64,
    },
    /// An anchored hash differs from the chain's.
    Forged {
        /// The daemon.
        daemon: id::Daemon,
        /// Its life.
        incarnation: id::Incarnation,
        /// The line whose hash differs.
        sequence: u64,
    },
    /// The store's anchor follows from no statement in the record.
    Unanchored {
        /// The failure domain.
        domain: id::Domain,
        /// Anchors whose statement is missing.
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

/// What is known of a record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Lines checked.
    pub lines: u64,
    /// Lives of daemons.
    pub chains: usize,
    /// Lines that daemons stated as not written.
    pub gaps: u64,
    /// Lines at the ends of chains that no anchor covers yet.
    pub open: u64,
    /// What is wrong.
    pub faults: Vec<Fault>,
}

/// Statements that the store's anchors vouch for, and the anchors without one.
///
/// Every anchor back from the store's value must follow from a statement in the record; statements
/// that never took effect in the store are left out.
#[must_use]
pub fn vouched(
    statements: &[Statement],
    anchors: &IndexMap<id::Domain, Anchor>,
) -> (Vec<Statement>, Vec<Fault>) {
    let (mut good, mut faults) = (Vec::new(), Vec::new());
    for (domain, anchor) in anchors {
        let mut anchor = anchor.clone();
        while anchor.count > 0 {
            let leads = |statement: &&Statement| {
                statement.domain == *domain && statement.anchor() == anchor
            };
            let Some(statement) = statements.iter().find(leads) else {
                faults.push(Fault::Unanchored { domain: domain.clone(), count: anchor.count });
                break;
            };
            good.push(statement.clone());
            anchor = statement.before.clone();
        }
    }
    (good, faults)
}

/// A life of a daemon.
type Life = (id::Daemon, id::Incarnation);

/// Checks lines as they are read.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    heads: IndexMap<Life, Head>,
    statements: Vec<Statement>,
    /// Hashes at anchored places; anchors are few beside lines.
    anchored: IndexMap<Life, IndexMap<u64, compact_str::CompactString>>,
    hashes: IndexMap<Life, IndexMap<u64, compact_str::CompactString>>,
    outcome: Outcome,
}

impl Checker {
    /// Takes the anchors that a first reading found, so that chains are compared with them.
    pub fn expect(&mut self, statements: &[Statement]) {
        for head in statements.iter().flat_map(|statement| &statement.heads) {
            let life = (head.daemon.clone(), head.incarnation);
            self.anchored.entry(life).or_default().insert(head.sequence, head.hash.clone());
        }
    }

    /// Checks one line.
    pub fn line(&mut self, place: &Place, entry: &Entry) {
        match entry {
            Entry::Damaged(why) => {
                let fault = Fault::Damaged { place: place.to_string(), why: why.clone() };
                self.outcome.faults.push(fault);
            }
            Entry::Record(sealed) => self.sealed(place, sealed),
        }
    }

    fn sealed(&mut self, place: &Place, sealed: &Sealed) {
        self.outcome.lines += 1;
        let life = (sealed.daemon.clone(), sealed.incarnation);
        let fresh = || Head::new(sealed.daemon.clone(), sealed.incarnation);
        let head = self.heads.entry(life.clone()).or_insert_with(fresh);
        if !head.accept(sealed) {
            self.outcome.faults.push(fault(place, head, sealed));
            if sealed.sequence > head.sequence {
                // The chain goes on from the line as it stands.
                head.sequence = sealed.sequence;
                head.hash.clone_from(&sealed.hash);
            }
        }
        if self.anchored.get(&life).is_some_and(|places| places.contains_key(&sealed.sequence)) {
            let hashes = self.hashes.entry(life).or_default();
            hashes.insert(sealed.sequence, sealed.hash.clone());
        }
        self.content(sealed);
    }

    fn content(&mut self, sealed: &Sealed) {
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

    /// The anchors' statements that were read.
    #[must_use]
    pub fn statements(&self) -> &[Statement] {
        &self.statements
    }

    /// Ends the check.
    #[must_use]
    pub fn finish(mut self) -> Outcome {
        let anchored = std::mem::take(&mut self.anchored);
        for (life, places) in &anchored {
            for (sequence, hash) in places {
                self.compare(life, *sequence, hash);
            }
        }
        self.outcome.chains = self.heads.len();
        self.outcome.open = self.open(&anchored);
        self.outcome
    }

    fn compare(&mut self, life: &Life, sequence: u64, hash: &str) {
        let (daemon, incarnation) = life.clone();
        let last = self.heads.get(life).map_or(0, |head| head.sequence);
        let found = self.hashes.get(life).and_then(|hashes| hashes.get(&sequence));
        if sequence > last {
            let fault = Fault::Cut { daemon, incarnation, last, anchored: sequence };
            self.outcome.faults.push(fault);
        } else if sequence > 0 && found.is_some_and(|found| found != hash) {
            self.outcome.faults.push(Fault::Forged { daemon, incarnation, sequence });
        }
    }

    fn open(&self, anchored: &IndexMap<Life, IndexMap<u64, compact_str::CompactString>>) -> u64 {
        let covered = |life: &Life| {
            anchored.get(life).and_then(|places| places.keys().max().copied()).unwrap_or(0)
        };
        let ends = self.heads.iter();
        ends.map(|(life, head)| head.sequence.saturating_sub(covered(life))).sum()
    }
}

fn fault(place: &Place, head: &Head, sealed: &Sealed) -> Fault {
    let (place, daemon) = (place.to_string(), sealed.daemon.clone());
    let (expected, sequence) = (head.sequence + 1, sealed.sequence);
    match sequence.cmp(&expected) {
        Ordering::Greater => Fault::Missing { place, daemon, from: expected, to: sequence - 1 },
        Ordering::Less => Fault::Reordered { place, daemon, sequence },
        Ordering::Equal => Fault::Altered { place, daemon, sequence },
    }
}
