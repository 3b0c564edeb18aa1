//! Urgency of statements: which of several waiting statements is served first, and which is refused
//! first, when there is not enough room for all.

use serde::{Deserialize, Serialize};

/// Urgency of a statement, in order: the most urgent first. The priority of its route counts before
/// that of its workspace.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Urgency {
    /// Priority of the route, zero for the highest.
    pub route: u32,
    /// Priority of the workspace, zero for the highest.
    pub workspace: u32,
}
