//! Messages of the gossip protocol.

use super::encoding;
use crate::{cell, evacuation, group::Intention, lease::Acknowledgement, trailing};
use compact_str::CompactString;
use gcl_core::{id, mark::Mark};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An intention to move a primary, as announced in a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The database.
    pub database: id::Database,
    /// The intention's revision.
    pub revision: id::Revision,
    /// The intention.
    pub intention: Intention,
    /// Whether its target has become the primary.
    pub done: bool,
}

/// Whether one daemon can reach a primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reachability {
    /// The primary.
    pub server: id::Server,
    /// Whether it answers.
    pub reachable: bool,
    /// The newest log position that it reported.
    pub mark: Option<Mark>,
}

/// The digests of one cell, aggregated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The cell.
    pub cell: cell::Number,
    /// Time since it was aggregated.
    pub age: Duration,
    /// Number of reachable daemons in the cell, the sender included.
    pub reachable: u32,
    /// Sums of their [`Digest::demands`].
    pub demands: Vec<(id::Workspace, f32, f32)>,
    /// Reachability of primaries, while one is suspected.
    pub primaries: Vec<Tally>,
}

/// How many daemons of one cell can reach a primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The primary.
    pub server: id::Server,
    /// Number of daemons that it answers.
    pub reachable: u32,
    /// Number of daemons that it does not answer.
    pub unreachable: u32,
    /// The newest log position that it reported.
    pub mark: Option<Mark>,
}

/// Identifies the last digest that the sender received from the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// When it was sent, on the receiver's clock.
    pub sent: Duration,
    /// Time since the sender received it.
    pub held: Duration,
}

/// A daemon's state as gossiped to its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: id::Daemon,
    /// The sender's address for peers, `ip:port`.
    pub address: CompactString,
    /// The sender's incarnation.
    pub incarnation: id::Incarnation,
    /// When it was sent, on the sender's clock.
    pub sent: Duration,
    /// The last digest that the sender received from the receiver.
    pub echo: Option<Echo>,
    /// Duration of a loan of the authority to use primaries, starting at [`Echo::sent`].
    pub loan: Option<Duration>,
    /// Whether the sender serves callers.
    pub ready: bool,
    /// Whether the sender requests a loan.
    pub needs_loan: bool,
    /// Demand at the sender by workspace: operations within the window, and operations a second.
    pub demands: Vec<(id::Workspace, f32, f32)>,
    /// The last intention per database that the sender has acknowledged.
    pub acknowledged: Vec<(id::Database, Acknowledgement)>,
    /// Intentions to move primaries, whether or not the sender has acknowledged them.
    pub intentions: Vec<Announcement>,
    /// Whether a primary is suspected to have failed, by the sender or by a peer.
    pub suspects_primary: bool,
    /// Reachability of the primaries that the sender uses, while one is suspected.
    pub primaries: Vec<Reachability>,
    /// The sender's configuration version.
    pub config: u64,
    /// To a delegate: the summary of the sender's cell. To a member of the sender's cell: the
    /// summaries that the sender received as a delegate.
    pub summaries: Vec<Summary>,
    /// The evacuated failure domains that the sender knows, `None` if there were none.
    pub evacuations: Option<evacuation::Notice>,
    /// The newest encoding of demands that the sender reads; zero from an older release.
    #[serde(default, deserialize_with = "trailing::or_default")]
    pub encoding: u8,
    /// Demands in place of [`Digest::demands`], for a receiver with the same configuration.
    #[serde(default, deserialize_with = "trailing::or_default")]
    pub compact_demands: Vec<encoding::Entry>,
    /// Start times, in Unix milliseconds, of the servers in [`Self::primaries`] and of those that
    /// restarted recently; an older release sends none.
    #[serde(default, deserialize_with = "trailing::or_default")]
    pub started: Vec<(id::Server, u64)>,
}
