//! The choice of a server for a statement that starts an operation.
//!
//! The load it answers: few slots a server, and reads that replicas can serve crowding out what only
//! the primary can. A replica is chosen by the time that it is expected to take: what statements
//! took there of late, what this daemon has waiting there, and a new connection where none is ready.
//! The primary serves such reads only where no replica can.

use gcl_core::id;
use std::time::Duration;

/// Time that opening a connection takes, beside the way there.
const HANDSHAKE: Duration = Duration::from_millis(15);
/// What the primary's slots are worth to statements that only it can run.
const PRIMARY_PENALTY: Duration = Duration::from_millis(120);
/// What a byte to another failure domain costs, as time for a usual answer.
const DISTANCE_PENALTY: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(2), Duration::from_millis(20)];

/// What a statement needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The primary.
    Primary,
    /// Any server that is recent enough.
    Recent,
}

/// A server as this daemon sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a id::Server,
    /// Whether it is the primary.
    pub leads: bool,
    /// How far it is; see [`crate::settings::Settings::distance`].
    pub distance: u8,
    /// Statements of this daemon that run or wait there.
    pub load: usize,
    /// Whether a connection for the workspace is ready there.
    pub warm: bool,
    /// What statements took there of late.
    pub latency: Duration,
}

impl Candidate<'_> {
    /// The time that a read is expected to take there.
    #[must_use]
    pub fn cost(&self) -> Duration {
        let turns = u32::try_from(self.load).unwrap_or(u32::MAX).saturating_add(1);
        let distance = DISTANCE_PENALTY[usize::from(self.distance).min(2)];
        let handshake = if self.warm { Duration::ZERO } else { HANDSHAKE };
        let primary = if self.leads { PRIMARY_PENALTY } else { Duration::ZERO };
        self.latency.saturating_mul(turns) + distance + handshake + primary
    }
}

/// Chooses among servers that can serve the statement.
#[must_use]
pub fn choose<'a>(need: Need, candidates: &[Candidate<'a>]) -> Option<&'a id::Server> {
    let best = match need {
        Need::Primary => candidates.iter().find(|candidate| candidate.leads),
        Need::Recent => candidates.iter().min_by_key(|candidate| candidate.cost()),
    };
    best.map(|candidate| candidate.server)
}
