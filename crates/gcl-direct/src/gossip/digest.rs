//! What daemons tell each other, as it travels.

use crate::{cell, group::Intention, lease::Acknowledgement};
use compact_str::CompactString;
use gcl_core::{id, mark::Mark};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An intention that a daemon knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The database.
    pub database: id::Database,
    /// The intention's revision.
    pub revision: id::Revision,
    /// The intention.
    pub intention: Intention,
    /// Whether its target leads.
    pub done: bool,
}

/// Whether a daemon reaches a primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// The primary.
    pub server: id::Server,
    /// Whether it answers.
    pub answers: bool,
    /// The newest log position that it answered with.
    pub mark: Option<Mark>,
}

/// What the daemons of one cell believe together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The cell.
    pub cell: cell::Number,
    /// How long ago it was summed up.
    pub age: Duration,
    /// Daemons in it that hear each other.
    pub heard: u32,
    /// Sums of what they are asked for, as in [`Digest::demands`].
    pub demands: Vec<(id::Workspace, f32, f32)>,
    /// Primaries in doubt.
    pub opinions: Vec<Opinion>,
}

/// What the daemons of one cell say of a primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opinion {
    /// The primary.
    pub server: id::Server,
    /// Daemons that it answers.
    pub answering: u32,
    /// Daemons that it does not answer.
    pub silent: u32,
    /// The newest log position that it answered with.
    pub mark: Option<Mark>,
}

/// The last digest that the sender had from the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// When it was sent, on the receiver's clock.
    pub sent: Duration,
    /// How long the sender has held it.
    pub held: Duration,
}

/// What a daemon believes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: id::Daemon,
    /// Where the sender hears, `ip:port`.
    pub address: CompactString,
    /// The sender's life.
    pub incarnation: id::Incarnation,
    /// When it was sent, on the sender's clock.
    pub sent: Duration,
    /// The last digest that the sender had from the receiver.
    pub echo: Option<Echo>,
    /// A loan of the right to use primaries, from [`Echo::sent`] on.
    pub loan: Option<Duration>,
    /// Whether the sender serves callers.
    pub ready: bool,
    /// Whether the sender asks for a loan.
    pub needs_loan: bool,
    /// What the sender is asked for, by workspace: operations within the window, and a second.
    pub demands: Vec<(id::Workspace, f32, f32)>,
    /// Intentions that the sender has acknowledged.
    pub acknowledged: Vec<(id::Database, Acknowledgement)>,
    /// Intentions that the sender knows.
    pub intentions: Vec<Known>,
    /// Whether the sender knows of a primary in doubt.
    pub alarm: bool,
    /// Primaries that the sender uses, while one is in doubt.
    pub reaches: Vec<Reach>,
    /// The version of the configuration that the sender has in force.
    pub config: u64,
    /// To a delegate, the sender's cell; to the sender's cell, those it is the delegate to.
    pub summaries: Vec<Summary>,
}
