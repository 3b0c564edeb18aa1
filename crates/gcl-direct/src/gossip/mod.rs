//! Gossip between daemons, over datagrams that may be lost.
//!
//! Each digest holds the sender's full current state, so the next one makes up for a lost one:
//!
//! - the demand on each workspace's rate, for [`crate::limit`];
//! - the intentions to move primaries, and those that the sender has acknowledged, so that a move
//!   need not wait for the store to carry acknowledgements, nor for daemons cut off from the store;
//! - whether the sender can reach the primaries, so that a single partitioned daemon replaces none;
//! - a loan of the authority to use primaries, for a daemon that cannot renew its own lease. A
//!   lender acknowledges an intention only after its borrowers have, or after their loans have
//!   expired.
//!
//! In a fleet too large for a full mesh, digests go to the daemons of the sender's cell, and
//! delegates exchange a [`Summary`] of each cell ([`crate::cell`]).
//!
//! Clocks of different daemons are never compared: a digest echoes the send time of the last digest
//! from its receiver, and the time since it arrived. A loan starts at that send time.

mod demand;
mod digest;
pub mod encoding;
mod loan;
mod reachability;

pub use self::{
    demand::fleet,
    digest::{Announcement, Digest, Echo, Reachability, Summary, Tally},
    loan::loans_ended,
    reachability::{
        has_serving_peer, in_majority, peer_counts, reachability, reaches_all_listed,
        reaches_most_in_region, served_at, serves,
    },
};

use self::loan::{borrow, lend, needs_loan};

use crate::{
    authority,
    cell::{self, Layout},
    discovery, drain,
    effect::{Effect, Effects},
    evacuation, failover, group, home,
    lease::Acknowledgement,
    pool, restart,
    state::State as Daemon,
    timer,
};
use gcl_core::{id, mark::Mark, time::Now};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Interval of digests to each daemon of the same region, in a fleet of up to [`BASE_FLEET_SIZE`].
const PERIOD: Duration = Duration::from_millis(700);
/// Fleet size above which the interval grows with the fleet, and other regions get fewer digests.
const BASE_FLEET_SIZE: usize = 40;
/// Rounds per digest to other regions, since links between regions are narrow and expensive.
const REMOTE_ROUNDS: u32 = 2;
/// Interval of digests to all daemons while a primary is suspected or this daemon needs a loan.
const URGENT_PERIOD: Duration = Duration::from_millis(300);
/// Time after the last report of a suspected primary until the suspicion ends.
const SUSPICION_DURATION: Duration = Duration::from_secs(2);
/// Shortest interval of rounds triggered by growing demand, and of answers to loan requests.
const MIN_PERIOD: Duration = Duration::from_millis(120);
/// Time without a digest after which a peer is unreachable. Decisions that depend on it, about a
/// suspected primary or an overdue lease, first raise the frequency of digests.
const PEER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest loan of the authority to use primaries.
const MAX_LOAN: Duration = Duration::from_millis(1500);
/// Age above which a cell is unreachable: its summary takes two hops, each up to a round late.
const CELL_TIMEOUT: Duration = Duration::from_secs(5);
/// Extra rounds that a report from another cell may take.
const RELAY_ROUNDS: u32 = 3;
/// Time by which a loan ends early, to allow for the processing of an answer by the daemon.
const LOAN_MARGIN: Duration = Duration::from_millis(100);
/// Age of the last success below which a primary is reachable.
const MAX_SUCCESS_AGE: Duration = Duration::from_secs(1);

/// Another daemon, by its digests.
#[derive(Clone, Debug, Default)]
struct Peer {
    digest: Digest,
    received_at: Duration,
    lent_until: Duration,
    /// When one of its loan requests was last answered at once.
    loan_answered_at: Duration,
}

/// Another cell, by its newest summary.
#[derive(Clone, Debug)]
struct Cell {
    summary: Summary,
    aggregated_at: Duration,
    /// Whether it was received from the cell's own delegate.
    direct: bool,
}

/// State of the gossip with other daemons.
#[derive(Clone, Debug, Default)]
pub struct State {
    layout: Layout,
    cells: IndexMap<cell::Number, Cell>,
    peers: IndexMap<id::Daemon, Peer>,
    loan_until: Duration,
    last_round: Duration,
    suspicion_until: Duration,
    round: u32,
    to_all: bool,
}

impl State {
    /// When the loan of a peer's authority expires.
    #[must_use]
    pub const fn loan_until(&self) -> Duration {
        self.loan_until
    }

    /// The daemons that this one sends digests to.
    #[must_use]
    pub const fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Reachable other cells; none in a mesh.
    fn reachable_cells(&self, now: Now) -> impl Iterator<Item = &Cell> {
        let current = self.cells.iter().filter(|(number, _)| **number < self.layout.cells);
        current
            .map(|(_, cell)| cell)
            .filter(move |cell| now.since(cell.aggregated_at) < CELL_TIMEOUT)
    }

    /// Whether a daemon is in the same cell as this one; a mesh is a single cell. Daemons of other
    /// cells are counted in summaries.
    fn in_cell(&self, name: &str) -> bool {
        self.layout.cells <= 1 || self.layout.peers.contains(name)
    }

    /// The newest digests of reachable peers.
    fn reachable_peers(&self, now: Now) -> impl Iterator<Item = (&id::Daemon, &Digest)> {
        let reachable =
            self.peers.iter().filter(move |(_, peer)| now.since(peer.received_at) < PEER_TIMEOUT);
        reachable.map(|(name, peer)| (name, &peer.digest))
    }

    /// The last intention for a database that an incarnation of a daemon has acknowledged.
    #[must_use]
    pub fn acknowledged(
        &self,
        daemon: &str,
        incarnation: id::Incarnation,
        database: &str,
    ) -> Acknowledgement {
        let peer = self.peers.get(daemon).filter(|it| it.digest.incarnation == incarnation);
        let mut acknowledged = peer.into_iter().flat_map(|peer| &peer.digest.acknowledged);
        acknowledged
            .find(|(name, _)| name == database)
            .map(|(_, release)| *release)
            .unwrap_or_default()
    }

    /// The newest log position of an old primary that peers reported when they acknowledged the
    /// intention with this revision.
    #[must_use]
    pub fn acknowledged_mark(&self, database: &str, revision: id::Revision) -> Option<Mark> {
        let acknowledged = self.peers.values().flat_map(|peer| &peer.digest.acknowledged);
        let matching =
            acknowledged.filter(|(name, it)| name == database && it.revision == revision);
        matching.filter_map(|(_, it)| it.mark).max()
    }

    /// The newest log position of a server that peers have reported.
    #[must_use]
    pub fn mark(&self, server: &str) -> Option<Mark> {
        let reports = self.peers.values().flat_map(|peer| &peer.digest.primaries);
        let reported =
            reports.filter(|report| report.server == *server).filter_map(|report| report.mark);
        let summarized = self.cells.values().flat_map(|cell| &cell.summary.primaries);
        let summarized = summarized.filter(|it| it.server == *server).filter_map(|it| it.mark);
        reported.chain(summarized).max()
    }
}

/// Extra time until daemons of other cells have reported whether they can reach a primary.
#[must_use]
pub fn relay_delay(daemon: &Daemon) -> Duration {
    if daemon.gossip.layout.cells > 1 { URGENT_PERIOD * RELAY_ROUNDS } else { Duration::ZERO }
}

/// Starts to send digests.
pub fn start(daemon: &mut Daemon, now: Now) {
    daemon.timers.arm(timer::Key::Gossip, now.mono + MIN_PERIOD);
}

/// Schedules an early round of digests to all after demand has grown, at the earliest `MIN_PERIOD`
/// after the last round.
pub fn send_soon(daemon: &mut Daemon, now: Now) {
    let due = (daemon.gossip.last_round + MIN_PERIOD).max(now.mono);
    daemon.gossip.to_all = true;
    daemon.timers.arm_by(timer::Key::Gossip, due);
}

/// Schedules an immediate round of digests to all, after a change that other daemons wait for.
pub fn send_now(daemon: &mut Daemon, now: Now) {
    daemon.gossip.to_all = true;
    daemon.timers.arm_by(timer::Key::Gossip, now.mono);
}

/// The interval of rounds.
fn period(daemon: &Daemon) -> Duration {
    let receivers = match daemon.gossip.layout.cells {
        0 | 1 => daemon.members.len(),
        _ => daemon.gossip.layout.peers.len(),
    };
    let fleet = u32::try_from(receivers.max(BASE_FLEET_SIZE)).unwrap_or(u32::MAX);
    PERIOD * fleet / u32::try_from(BASE_FLEET_SIZE).unwrap_or(u32::MAX)
}

/// Records that this daemon or another suspects a primary, and makes the daemons report at once
/// whether they can reach it.
pub fn raise_suspicion(daemon: &mut Daemon, now: Now) {
    if daemon.gossip.suspicion_until <= now.mono {
        send_now(daemon, now);
    }
    daemon.gossip.suspicion_until = now.mono + SUSPICION_DURATION;
}

/// Sends a round of digests.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let urgent = needs_loan(daemon, now) || now.mono < daemon.gossip.suspicion_until;
    let period = if urgent { URGENT_PERIOD } else { period(daemon) };
    daemon.timers.arm(timer::Key::Gossip, now.mono + period);
    daemon.gossip.last_round = now.mono;
    home::refresh(daemon, now);
    evacuation::observe(daemon, fx);
    daemon.gossip.round = daemon.gossip.round.wrapping_add(1);
    let to_all = std::mem::take(&mut daemon.gossip.to_all) || urgent;
    daemon.gossip.layout = cell::layout(daemon.members.keys(), &daemon.settings.daemon);
    if daemon.gossip.layout.cells > 1 {
        return send_to_cells(daemon, now, fx);
    }
    let to_all = to_all
        || daemon.members.len() <= BASE_FLEET_SIZE
        || daemon.gossip.round.is_multiple_of(REMOTE_ROUNDS);
    let others = daemon.members.iter().filter(|(name, member)| {
        let same_region = daemon.settings.distance(&member.record.domain) < 2;
        **name != daemon.settings.daemon && (same_region || to_all)
    });
    let others: Vec<_> = others.map(|(name, _)| name.clone()).collect();
    let digest = digest(daemon, now);
    for name in &others {
        send(daemon, now, fx, name, digest.clone());
    }
}

/// Sends digests to the daemons of this cell, to the delegates of other cells, and to the daemons
/// that run the open moves, since these wait for the acknowledgement of every daemon.
fn send_to_cells(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let Layout { cell, peers, delegates, .. } = daemon.gossip.layout.clone();
    let mut digest = digest(daemon, now);
    let direct = daemon.gossip.reachable_cells(now).filter(|cell| cell.direct);
    let relayed =
        direct.map(|cell| Summary { age: now.since(cell.aggregated_at), ..cell.summary.clone() });
    digest.summaries = relayed.collect();
    let open = digest.intentions.iter().filter(|announced| !announced.done);
    let moving_daemons: IndexSet<_> =
        open.map(|announced| announced.intention.by.clone()).collect();
    for name in peers.iter().chain(moving_daemons.difference(&peers)) {
        send(daemon, now, fx, name, digest.clone());
    }
    digest.summaries = vec![summarize(daemon, now, cell, &digest)];
    for name in &delegates {
        send(daemon, now, fx, name, digest.clone());
    }
}

/// Aggregates this daemon's digest and those of the reachable members of its cell.
fn summarize(daemon: &Daemon, now: Now, cell: cell::Number, own: &Digest) -> Summary {
    let mut demands: IndexMap<id::Workspace, (f32, f32)> = IndexMap::new();
    let mut tallies: IndexMap<id::Server, Tally> = IndexMap::new();
    let members =
        daemon.gossip.reachable_peers(now).filter(|(name, _)| daemon.gossip.in_cell(name));
    let digests: Vec<_> = members.map(|(_, digest)| digest).chain([own]).collect();
    for digest in &digests {
        for (workspace, requested, rate) in &digest.demands {
            let sum = demands.entry(workspace.clone()).or_default();
            *sum = (sum.0 + requested, sum.1 + rate);
        }
        let outdated =
            |it: &&Reachability| restart::is_outdated(daemon, &digest.started, &it.server);
        for report in digest.primaries.iter().filter(|it| !outdated(it)) {
            let server = report.server.clone();
            let none = Tally { server: server.clone(), reachable: 0, unreachable: 0, mark: None };
            let tally = tallies.entry(server).or_insert(none);
            tally.reachable += u32::from(report.reachable);
            tally.unreachable += u32::from(!report.reachable);
            tally.mark = tally.mark.max(report.mark);
        }
    }
    let demands =
        demands.into_iter().map(|(workspace, (requested, rate))| (workspace, requested, rate));
    Summary {
        cell,
        age: Duration::ZERO,
        reachable: u32::try_from(digests.len()).unwrap_or(u32::MAX),
        demands: demands.collect(),
        primaries: tallies.into_values().collect(),
    }
}

/// A digest without the fields that depend on the receiver.
fn digest(daemon: &mut Daemon, now: Now) -> Digest {
    let demands = daemon.limit.demands(now.mono, &daemon.settings.bounds);
    #[expect(clippy::cast_possible_truncation, reason = "a rate needs no more digits")]
    let demands = demands.map(|(name, it)| (name.clone(), it.requested as f32, it.rate as f32));
    let demands = demands.collect();
    let acknowledged = &daemon.lease.record.acknowledged;
    let intentions = daemon.groups.iter().filter_map(|(database, group)| {
        let moved = group.latest_move.as_ref()?;
        Some(Announcement {
            database: database.clone(),
            revision: moved.revision,
            intention: moved.intention.clone(),
            done: failover::has_primary(daemon, database),
        })
    });
    let primaries = if daemon.gossip.suspicion_until > now.mono {
        own_reachability(daemon, now)
    } else {
        Vec::new()
    };
    Digest {
        from: daemon.settings.daemon.clone(),
        address: daemon.settings.peer_address.clone(),
        incarnation: daemon.incarnation,
        sent: now.mono,
        echo: None,
        loan: None,
        ready: daemon.ready,
        needs_loan: needs_loan(daemon, now),
        demands,
        acknowledged: acknowledged.iter().map(|(name, at)| (name.clone(), *at)).collect(),
        intentions: intentions.collect(),
        suspects_primary: daemon.gossip.suspicion_until > now.mono,
        started: restart::report(daemon, now, &primaries),
        primaries,
        config: daemon.config.as_ref().map_or(0, |config| config.version),
        summaries: Vec::new(),
        evacuations: daemon.evacuation.notice(),
        encoding: encoding::VERSION,
        compact_demands: Vec::new(),
    }
}

fn own_reachability(daemon: &Daemon, now: Now) -> Vec<Reachability> {
    let primaries = daemon.groups.keys().filter_map(|database| {
        let group::Leader::Known(server) = authority::leader(daemon, database) else {
            return None;
        };
        let pool = daemon.pools.get(&server)?;
        let health = pool.health;
        let reachable =
            health.failing_since.is_none() && now.since(health.last_success) < MAX_SUCCESS_AGE;
        let used = health.failing_since.is_some() || reachable;
        used.then(|| Reachability { reachable, mark: pool.mark, server })
    });
    primaries.collect()
}

/// Sends a digest to a daemon, with the fields for that receiver added.
fn send(daemon: &mut Daemon, now: Now, fx: &mut Effects, name: &id::Daemon, mut digest: Digest) {
    let listed = daemon.members.get(name).map(|member| member.record.address.clone());
    let reported = daemon.gossip.peers.get(name).map(|peer| peer.digest.address.clone());
    let Some(address) = listed.or(reported) else {
        return;
    };
    let left = daemon.lease.expires_at().saturating_sub(now.mono);
    let peer = daemon.gossip.peers.entry(name.clone()).or_default();
    if peer.received_at > Duration::ZERO {
        encoding::compact(&mut digest, daemon.config.as_deref(), &peer.digest);
        digest.echo = Some(Echo { sent: peer.digest.sent, held: now.since(peer.received_at) });
        let fresh = !daemon.lease.is_overdue(now.mono);
        if peer.digest.needs_loan
            && fresh
            && left > LOAN_MARGIN
            && daemon.drain == drain::State::Serving
        {
            let loan = left.min(MAX_LOAN);
            digest.loan = Some(loan);
            peer.lent_until = now.mono + loan;
        }
    }
    fx.push(Effect::Peer { address, digest: Box::new(digest) });
}

/// Handles a digest from another daemon.
pub fn on_digest(daemon: &mut Daemon, now: Now, fx: &mut Effects, digest: &Digest) {
    let from = digest.from.clone();
    let listed = daemon.members.get(&from);
    let same_incarnation =
        listed.is_none_or(|member| member.record.incarnation == digest.incarnation);
    if from == daemon.settings.daemon || !same_incarnation {
        return;
    }
    let peer = daemon.gossip.peers.entry(from.clone()).or_default();
    let restarted = peer.digest.incarnation != digest.incarnation;
    if !restarted && digest.sent < peer.digest.sent {
        return;
    }
    if restarted {
        peer.lent_until = Duration::ZERO;
        if daemon.gossip.in_cell(&from) {
            send_soon(daemon, now);
        }
    }
    let peer = daemon.gossip.peers.entry(from.clone()).or_default();
    let turned = peer.digest.ready != digest.ready;
    let mut received = digest.clone();
    encoding::expand(&mut received, daemon.config.as_deref(), &peer.digest.demands);
    (peer.received_at, peer.digest) = (now.mono, received);
    if turned {
        home::refresh(daemon, now);
    }
    restart::on_report(daemon, now, fx, &digest.started);
    if digest.suspects_primary && !digest.primaries.is_empty() {
        on_suspicion(daemon, now, fx, digest);
    }
    discovery::on_version(daemon, now, fx, &from, digest.config);
    if let Some(notice) = &digest.evacuations {
        evacuation::on_notice(daemon, now, fx, notice);
    }
    for summary in &digest.summaries {
        on_summary(daemon, now, &from, summary);
    }
    for announced in &digest.intentions {
        failover::on_announcement(daemon, now, fx, announced);
    }
    if let (Some(loan), Some(echo)) = (digest.loan, digest.echo) {
        borrow(daemon, now, fx, &from, loan, echo);
    }
    let listed = daemon.members.get(&from).map(|member| &member.record.domain);
    let same_region = listed.is_none_or(|domain| daemon.settings.distance(domain) < 2);
    if digest.needs_loan && same_region {
        lend(daemon, now, fx, &from);
    }
    // In a large fleet most digests carry nothing new about a primary, so only open moves are
    // checked.
    let suspected = digest.suspects_primary || now.mono < daemon.gossip.suspicion_until;
    if daemon.gossip.layout.cells <= 1 || suspected {
        failover::review_all(daemon, now, fx);
    } else {
        failover::review_moves(daemon, now, fx);
    }
}

/// Handles the summary of another cell, from its delegate or relayed within this cell.
fn on_summary(daemon: &mut Daemon, now: Now, from: &id::Daemon, summary: &Summary) {
    let aggregated_at = now.mono.saturating_sub(summary.age);
    let previous = daemon.gossip.cells.get(&summary.cell);
    if summary.cell == daemon.gossip.layout.cell
        || previous.is_some_and(|previous| previous.aggregated_at >= aggregated_at)
    {
        return;
    }
    let direct = !daemon.gossip.layout.peers.contains(from);
    let summary = summary.clone();
    if summary.primaries.iter().any(|tally| tally.unreachable > 0) {
        raise_suspicion(daemon, now);
    }
    daemon.gossip.cells.insert(summary.cell, Cell { summary, aggregated_at, direct });
}

/// Handles a digest that reports an unreachable primary.
fn on_suspicion(daemon: &mut Daemon, now: Now, fx: &mut Effects, digest: &Digest) {
    let unreachable = digest.primaries.iter().filter(|report| !report.reachable);
    for report in unreachable {
        raise_suspicion(daemon, now);
        let entry = daemon.directory.get(&report.server);
        let checks = entry.is_some_and(|entry| failover::is_checker(daemon, &entry.database));
        if home::is_enabled(daemon) && checks {
            // Only the server's home uses it, and its report alone cannot distinguish a partition
            // from a crash, so a few other daemons check the server as well.
            pool::poll_position(daemon, now, fx, &report.server);
        }
    }
}
