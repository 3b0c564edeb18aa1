//! Compact encoding of the demands in a digest.
//!
//! Demands are the largest part of a digest, and most of that are the names of workspaces, which
//! every daemon knows from the configuration. To a receiver with the same version of the
//! configuration, a workspace is named by its position there. An older release does not announce
//! that it reads this encoding, and gets the names.

use super::digest::Digest;
use crate::config::Config;
use gcl_core::id;

/// The newest encoding that this release reads.
pub const VERSION: u8 = 1;
/// Units of a rate, in operations a second.
const RATE_UNIT: f32 = 0.1;

/// The demand on one workspace's rate: the workspace's position in the configuration, operations
/// within the window, and recent rate in units of [`RATE_UNIT`].
pub type Entry = (u32, u32, u32);

/// Demand by workspace name: operations within the window, and operations a second.
pub type Demands = Vec<(id::Workspace, f32, f32)>;

/// Replaces the names of workspaces by their positions, if the receiver can read them. `receiver`
/// is the last digest from the receiver.
pub fn compact(digest: &mut Digest, config: Option<&Config>, receiver: &Digest) {
    let Some(config) = config else {
        return;
    };
    if receiver.encoding < VERSION || receiver.config != config.version {
        return;
    }
    let position = |name: &str| u32::try_from(config.workspaces.get_index_of(name)?).ok();
    let entries = digest.demands.iter().map(|(name, requested, rate)| {
        // Rounded up, so that shares computed from them are never too large.
        Some((position(name)?, round_up(*requested), round_up(rate / RATE_UNIT)))
    });
    if let Some(entries) = entries.collect() {
        digest.compact_demands = entries;
        digest.demands.clear();
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a conversion from floating point saturates, and demand is not negative"
)]
const fn round_up(value: f32) -> u32 {
    value.ceil() as u32
}

/// Restores the names of workspaces in a received digest. Positions in another version of the
/// configuration cannot be read; the demands that the sender reported `before` count again.
#[expect(clippy::cast_precision_loss, reason = "counts within a window are far below 2^24")]
pub fn expand(digest: &mut Digest, config: Option<&Config>, before: &Demands) {
    if digest.compact_demands.is_empty() {
        return;
    }
    let entries = std::mem::take(&mut digest.compact_demands);
    let config = config.filter(|config| config.version == digest.config);
    let named = |(position, requested, rate): Entry| {
        let (name, _) = config?.workspaces.get_index(usize::try_from(position).ok()?)?;
        Some((name.clone(), requested as f32, rate as f32 * RATE_UNIT))
    };
    let named: Option<Demands> = entries.into_iter().map(named).collect();
    digest.demands = named.unwrap_or_else(|| before.clone());
}
