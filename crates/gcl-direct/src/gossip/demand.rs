//! Demand on a workspace's rate over all daemons.

use super::{BASE_FLEET_SIZE, REMOTE_ROUNDS, period};
use crate::{limit, state::State as Daemon};
use gcl_core::{id, time::Now};
use std::time::Duration;

/// Rounds of digests after which the demand that a daemon reported expires. A daemon that is silent
/// for longer may be cut off and alive, and then counts on its equal part of each quota; while the
/// demand that it reported last counted for 8 rounds, both sides of a partition granted a whole rate.
const DEMAND_EXPIRY_ROUNDS: u32 = 2;
/// Time by which digests may be late.
const LATENESS: Duration = Duration::from_millis(150);

/// Adds a workspace's reported demand, extrapolated by its rate over the age of the report. That
/// operations leave the window meanwhile is not counted, as a margin for daemons that restart.
fn add(
    sum: &mut limit::Demand,
    reported: &[(id::Workspace, f32, f32)],
    workspace: &id::Workspace,
    age: Duration,
) {
    if let Some((_, requested, rate)) = reported.iter().find(|(name, ..)| name == workspace) {
        sum.requested += f64::from(*rate).mul_add(age.as_secs_f64(), f64::from(*requested));
        sum.rate += f64::from(*rate);
    }
}

/// The members, reachable daemons and demand elsewhere that bound this daemon's share of a
/// workspace's rate.
#[must_use]
pub fn fleet(daemon: &Daemon, now: Now, workspace: &id::Workspace) -> limit::Fleet {
    let (mut others, mut oldest_report) = (limit::Demand::default(), Duration::ZERO);
    let (mut members, mut reachable) = (daemon.members.len().max(1), 1);
    let remote_rounds = if daemon.members.len() > BASE_FLEET_SIZE { REMOTE_ROUNDS } else { 1 };
    let expiry = period(daemon) * remote_rounds * DEMAND_EXPIRY_ROUNDS + LATENESS;
    for (name, peer) in &daemon.gossip.peers {
        let age = now.since(peer.received_at);
        if age >= expiry || !daemon.gossip.in_cell(name) {
            continue;
        }
        reachable += 1;
        // A daemon that cannot reach the store still serves on a loan, though its listing expired.
        members += usize::from(!daemon.members.contains_key(name));
        oldest_report = oldest_report.max(age);
        add(&mut others, &peer.digest.demands, workspace, age);
    }
    for cell in daemon.gossip.reachable_cells(now) {
        reachable += usize::try_from(cell.summary.reachable).unwrap_or(usize::MAX);
        let age = now.since(cell.aggregated_at);
        oldest_report = oldest_report.max(age);
        add(&mut others, &cell.summary.demands, workspace, age);
    }
    limit::Fleet { members, reachable, others, oldest_report }
}
