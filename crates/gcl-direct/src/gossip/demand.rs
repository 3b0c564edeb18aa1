//! What callers ask of a workspace's rate at all daemons together.

use super::period;
use crate::{limit, state::State as Daemon};
use gcl_core::{id, time::Now};
use std::time::Duration;

/// Rounds of digests after which what a daemon was asked for counts no more.
const FORGOTTEN_ROUNDS: u32 = 8;

/// Adds what was told of a workspace some time ago, carried on at its pace.
fn add(
    sum: &mut limit::Demand,
    told: &[(id::Workspace, f32, f32)],
    workspace: &id::Workspace,
    age: Duration,
) {
    if let Some((_, asked, pace)) = told.iter().find(|(name, ..)| name == workspace) {
        sum.asked += f64::from(*pace).mul_add(age.as_secs_f64(), f64::from(*asked));
        sum.pace += f64::from(*pace);
    }
}

/// How the daemons share a workspace's rate.
#[must_use]
pub fn spread(daemon: &Daemon, now: Now, workspace: &id::Workspace) -> limit::Spread {
    let mut others = limit::Demand::default();
    let (mut members, mut heard) = (daemon.members.len().max(1), 1);
    for (name, peer) in &daemon.gossip.peers {
        let age = now.since(peer.heard);
        if age >= period(daemon) * FORGOTTEN_ROUNDS || !daemon.gossip.counts(name) {
            continue;
        }
        heard += 1;
        // A daemon that the store turns away serves on a loan, though it is no longer listed.
        members += usize::from(!daemon.members.contains_key(name));
        add(&mut others, &peer.digest.demands, workspace, age);
    }
    for cell in daemon.gossip.cells(now) {
        heard += usize::try_from(cell.summary.heard).unwrap_or(usize::MAX);
        add(&mut others, &cell.summary.demands, workspace, now.since(cell.summed));
    }
    limit::Spread { members, heard, others }
}
