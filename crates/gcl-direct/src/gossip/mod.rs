//! What daemons tell each other directly, by datagrams that may be lost.
//!
//! A digest holds what its sender believes now, so that a lost one is made up by the next:
//!
//! - what its callers ask of each workspace's rate, for [`crate::limit`];
//! - the intentions to move primaries it knows, and those it has acknowledged, so that a move need
//!   not wait for the store to carry acknowledgements, nor for daemons that the store turns away;
//! - whether it reaches the primaries, so that one daemon that is cut off replaces none;
//! - a loan of its right to use primaries, for a daemon that cannot renew its own lease. A lender
//!   acknowledges an intention only once its borrowers have, or their loans have run out.
//!
//! In a fleet too large for that, digests go to the daemons of the own cell, and [`Summary`]s of
//! whole cells between delegates ([`crate::cell`]).
//!
//! No clocks are compared: a digest carries the time of the last one that its sender had from the
//! receiver, and for how long it has held it. A loan runs from that time.

mod demand;
mod digest;
mod loan;

pub use self::{
    demand::spread,
    digest::{Digest, Echo, Known, Opinion, Reach, Summary},
    loan::loans_ended,
};

use self::loan::{borrow, lend, needs_loan};

use crate::{
    authority,
    cell::{self, Layout},
    drain,
    effect::{Effect, Effects},
    failover, group, home,
    lease::Acknowledgement,
    news, pool,
    state::State as Daemon,
    timer,
    watch::DEPARTED_RETENTION,
};
use gcl_core::{id, mark::Mark, time::Now};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Time between digests to each daemon of the own region, in a fleet of up to [`FLEET`].
const PERIOD: Duration = Duration::from_millis(700);
/// Daemons beyond which the time between digests grows with the fleet, and other regions are told
/// less often.
const FLEET: usize = 40;
/// Rounds of digests of which one goes to other regions, whose links are narrow and dear.
const FAR_ROUNDS: u32 = 2;
/// Time between digests to all daemons while a primary is in doubt, or this daemon needs a loan.
const URGENT_PERIOD: Duration = Duration::from_millis(300);
/// How long a doubt counts after it was last heard of.
const ALARM: Duration = Duration::from_secs(2);
/// Shortest time between digests that tell of growing demand.
const HURRY: Duration = Duration::from_millis(120);
/// Silence after which a daemon counts as out of reach. What depends on that asks for digests
/// first: a primary in doubt, an overdue lease.
const SILENCE: Duration = Duration::from_millis(2500);
/// Longest loan of the right to use primaries.
const LOAN: Duration = Duration::from_millis(1500);
/// Age beyond which a cell counts as out of reach: its sums come by two steps, each a round late.
const CELL_SILENCE: Duration = Duration::from_secs(5);
/// Rounds that news from another cell may take more than news of the own.
const DETOUR_ROUNDS: u32 = 3;
/// What a loan ends before it is due, for the way of an answer through the daemon.
const MARGIN: Duration = Duration::from_millis(100);
/// How recent a success at a primary is that counts as reaching it.
const REACHED: Duration = Duration::from_secs(1);

/// What is known of another daemon from its digests.
#[derive(Clone, Debug, Default)]
struct Peer {
    digest: Digest,
    heard: Duration,
    lent_until: Duration,
    /// When a digest of it was last answered at once.
    answered: Duration,
}

/// Another cell, as it was last heard of.
#[derive(Clone, Debug)]
struct Cell {
    summary: Summary,
    summed: Duration,
    /// Whether its own delegate told.
    direct: bool,
}

/// What daemons have told this one.
#[derive(Clone, Debug, Default)]
pub struct State {
    layout: Layout,
    cells: IndexMap<cell::Number, Cell>,
    peers: IndexMap<id::Daemon, Peer>,
    loan_until: Duration,
    told: Duration,
    alarm_until: Duration,
    round: u32,
    to_all: bool,
}

impl State {
    /// When the loan of a peer's right ends.
    #[must_use]
    pub const fn loan_until(&self) -> Duration {
        self.loan_until
    }

    /// Whom this daemon tells.
    #[must_use]
    pub const fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Other cells that are heard of; none in a mesh.
    fn cells(&self, now: Now) -> impl Iterator<Item = &Cell> {
        let known = self.cells.iter().filter(|(number, _)| **number < self.layout.cells);
        known.map(|(_, cell)| cell).filter(move |cell| now.since(cell.summed) < CELL_SILENCE)
    }

    /// Whether a daemon tells this one of itself alone: one in another cell counts in its sum.
    fn counts(&self, name: &str) -> bool {
        self.layout.cells <= 1 || self.layout.mates.contains(name)
    }

    /// The digests of daemons that are heard.
    fn heard(&self, now: Now) -> impl Iterator<Item = (&id::Daemon, &Digest)> {
        let heard = self.peers.iter().filter(move |(_, peer)| now.since(peer.heard) < SILENCE);
        heard.map(|(name, peer)| (name, &peer.digest))
    }

    /// The last intention for a database that a life of a daemon has acknowledged.
    #[must_use]
    pub fn acknowledged(
        &self,
        daemon: &str,
        incarnation: id::Incarnation,
        database: &str,
    ) -> Acknowledgement {
        let peer = self.peers.get(daemon).filter(|it| it.digest.incarnation == incarnation);
        let mut known = peer.into_iter().flat_map(|peer| &peer.digest.acknowledged);
        known.find(|(name, _)| name == database).map(|(_, release)| *release).unwrap_or_default()
    }

    /// The newest log position that other daemons saw at a server.
    #[must_use]
    pub fn mark(&self, server: &str) -> Option<Mark> {
        let reaches = self.peers.values().flat_map(|peer| &peer.digest.reaches);
        let told = reaches.filter(|reach| reach.server == *server).filter_map(|reach| reach.mark);
        let summed = self.cells.values().flat_map(|cell| &cell.summary.opinions);
        let summed = summed.filter(|it| it.server == *server).filter_map(|it| it.mark);
        told.chain(summed).max()
    }
}

/// The daemons that were listed or heard of late, this one not counted, and how many of them are
/// heard.
#[must_use]
pub fn company(daemon: &Daemon, now: Now) -> (usize, usize) {
    let told =
        daemon.gossip.peers.iter().filter(|(_, peer)| now.since(peer.heard) < DEPARTED_RETENTION);
    let mut known: IndexSet<_> = daemon.watch.recent_members(now).collect();
    known.extend(told.map(|(name, _)| name));
    known.swap_remove(&daemon.settings.daemon);
    let counts = |name: &id::Daemon| known.contains(name) && daemon.gossip.counts(name);
    let heard = daemon.gossip.heard(now).filter(|(name, _)| counts(name)).count();
    let cells = daemon.gossip.cells(now);
    let cells = cells.map(|cell| usize::try_from(cell.summary.heard).unwrap_or(usize::MAX));
    (known.len(), heard + cells.sum::<usize>())
}

/// Whether another daemon is heard that serves callers.
#[must_use]
pub fn others_serve(daemon: &Daemon, now: Now) -> bool {
    daemon.gossip.heard(now).any(|(_, digest)| digest.ready)
}

/// Whether a host takes statements; one in another cell is taken at its listing.
#[must_use]
pub fn serves(daemon: &Daemon, now: Now, name: &id::Daemon) -> bool {
    let heard = daemon.gossip.peers.get(name).filter(|peer| now.since(peer.heard) < SILENCE);
    heard.map_or_else(|| !daemon.gossip.counts(name), |peer| peer.digest.ready)
}

/// Whether most of the daemons that were listed of late are heard.
#[must_use]
pub fn in_majority(daemon: &Daemon, now: Now) -> bool {
    let (known, heard) = company(daemon, now);
    (heard + 1) * 2 > known + 1
}

/// How many daemons that are heard reach a primary, and how many do not.
#[must_use]
pub fn opinions(daemon: &Daemon, now: Now, server: &id::Server) -> (usize, usize) {
    let digests = daemon.gossip.heard(now).filter(|(name, _)| daemon.gossip.counts(name));
    let reaches = digests.flat_map(|(_, digest)| &digest.reaches);
    let (answering, silent): (Vec<_>, Vec<_>) =
        reaches.filter(|reach| reach.server == *server).partition(|reach| reach.answers);
    let cells = daemon.gossip.cells(now).flat_map(|cell| &cell.summary.opinions);
    let cells = cells.filter(|opinion| opinion.server == *server);
    let count = |number: u32| usize::try_from(number).unwrap_or(usize::MAX);
    cells.fold((answering.len(), silent.len()), |(answering, silent), opinion| {
        (answering + count(opinion.answering), silent + count(opinion.silent))
    })
}

/// What daemons of other cells need to say whether they reach a primary, beyond those of the own.
#[must_use]
pub fn detour(daemon: &Daemon) -> Duration {
    if daemon.gossip.layout.cells > 1 { URGENT_PERIOD * DETOUR_ROUNDS } else { Duration::ZERO }
}

/// Begins to tell other daemons.
pub fn start(daemon: &mut Daemon, now: Now) {
    daemon.timers.arm(timer::Key::Gossip, now.mono + HURRY);
}

/// Tells other daemons soon, since callers ask for much more than before.
pub fn hurry(daemon: &mut Daemon, now: Now) {
    let due = (daemon.gossip.told + HURRY).max(now.mono);
    daemon.gossip.to_all = true;
    daemon.timers.arm_by(timer::Key::Gossip, due);
}

/// Tells other daemons at once, since something changed that they wait for.
pub fn nudge(daemon: &mut Daemon, now: Now) {
    daemon.gossip.to_all = true;
    daemon.timers.arm_by(timer::Key::Gossip, now.mono);
}

/// The time between rounds of digests.
fn period(daemon: &Daemon) -> Duration {
    let told = match daemon.gossip.layout.cells {
        0 | 1 => daemon.members.len(),
        _ => daemon.gossip.layout.mates.len(),
    };
    let fleet = u32::try_from(told.max(FLEET)).unwrap_or(u32::MAX);
    PERIOD * fleet / u32::try_from(FLEET).unwrap_or(u32::MAX)
}

/// Takes note that a primary is in doubt, here or elsewhere, and has the daemons tell each other at
/// once whether they reach it.
pub fn alarm(daemon: &mut Daemon, now: Now) {
    if daemon.gossip.alarm_until <= now.mono {
        nudge(daemon, now);
    }
    daemon.gossip.alarm_until = now.mono + ALARM;
}

/// Tells other daemons.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let urgent = needs_loan(daemon, now) || now.mono < daemon.gossip.alarm_until;
    let period = if urgent { URGENT_PERIOD } else { period(daemon) };
    daemon.timers.arm(timer::Key::Gossip, now.mono + period);
    daemon.gossip.told = now.mono;
    home::refresh(daemon, now);
    daemon.gossip.round = daemon.gossip.round.wrapping_add(1);
    let to_all = std::mem::take(&mut daemon.gossip.to_all) || urgent;
    daemon.gossip.layout = cell::layout(daemon.members.keys(), &daemon.settings.daemon);
    if daemon.gossip.layout.cells > 1 {
        return tell_cells(daemon, now, fx);
    }
    let to_all =
        to_all || daemon.members.len() <= FLEET || daemon.gossip.round.is_multiple_of(FAR_ROUNDS);
    let others = daemon.members.iter().filter(|(name, member)| {
        let near = daemon.settings.distance(&member.record.domain) < 2;
        **name != daemon.settings.daemon && (near || to_all)
    });
    let others: Vec<_> = others.map(|(name, _)| name.clone()).collect();
    let digest = digest(daemon, now);
    for name in &others {
        tell(daemon, now, fx, name, digest.clone());
    }
}

/// Tells the own cell, the delegates of others, and those who move a primary and wait for the word
/// of every daemon.
fn tell_cells(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let Layout { cell, mates, delegates, .. } = daemon.gossip.layout.clone();
    let mut digest = digest(daemon, now);
    let direct = daemon.gossip.cells(now).filter(|cell| cell.direct);
    let relayed =
        direct.map(|cell| Summary { age: now.since(cell.summed), ..cell.summary.clone() });
    digest.summaries = relayed.collect();
    let open = digest.intentions.iter().filter(|known| !known.done);
    let movers: IndexSet<_> = open.map(|known| known.intention.by.clone()).collect();
    for name in mates.iter().chain(movers.difference(&mates)) {
        tell(daemon, now, fx, name, digest.clone());
    }
    digest.summaries = vec![sum_up(daemon, now, cell, &digest)];
    for name in &delegates {
        tell(daemon, now, fx, name, digest.clone());
    }
}

/// What the own cell believes: the digests of its members that are heard, and this daemon's.
fn sum_up(daemon: &Daemon, now: Now, cell: cell::Number, own: &Digest) -> Summary {
    let mut demands: IndexMap<id::Workspace, (f32, f32)> = IndexMap::new();
    let mut opinions: IndexMap<id::Server, Opinion> = IndexMap::new();
    let heard = daemon.gossip.heard(now).filter(|(name, _)| daemon.gossip.counts(name));
    let digests: Vec<_> = heard.map(|(_, digest)| digest).chain([own]).collect();
    for digest in &digests {
        for (workspace, asked, pace) in &digest.demands {
            let sum = demands.entry(workspace.clone()).or_default();
            *sum = (sum.0 + asked, sum.1 + pace);
        }
        for reach in &digest.reaches {
            let server = reach.server.clone();
            let none = Opinion { server: server.clone(), answering: 0, silent: 0, mark: None };
            let opinion = opinions.entry(server).or_insert(none);
            opinion.answering += u32::from(reach.answers);
            opinion.silent += u32::from(!reach.answers);
            opinion.mark = opinion.mark.max(reach.mark);
        }
    }
    let demands = demands.into_iter().map(|(workspace, (asked, pace))| (workspace, asked, pace));
    Summary {
        cell,
        age: Duration::ZERO,
        heard: u32::try_from(digests.len()).unwrap_or(u32::MAX),
        demands: demands.collect(),
        opinions: opinions.into_values().collect(),
    }
}

/// What this daemon believes, for any receiver.
fn digest(daemon: &mut Daemon, now: Now) -> Digest {
    let demands = daemon.limit.demands(now.mono, &daemon.settings.bounds);
    #[expect(clippy::cast_possible_truncation, reason = "a rate needs no more digits")]
    let demands = demands.map(|(name, it)| (name.clone(), it.asked as f32, it.pace as f32));
    let demands = demands.collect();
    let acknowledged = &daemon.lease.record.acknowledged;
    let intentions = daemon.groups.iter().filter_map(|(database, group)| {
        let moved = group.latest_move.as_ref()?;
        Some(Known {
            database: database.clone(),
            revision: moved.revision,
            intention: moved.intention.clone(),
            done: failover::has_primary(daemon, database),
        })
    });
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
        alarm: daemon.gossip.alarm_until > now.mono,
        reaches: if daemon.gossip.alarm_until > now.mono {
            reaches(daemon, now)
        } else {
            Vec::new()
        },
        config: daemon.config.as_ref().map_or(0, |config| config.version),
        summaries: Vec::new(),
    }
}

fn reaches(daemon: &Daemon, now: Now) -> Vec<Reach> {
    let primaries = daemon.groups.keys().filter_map(|database| {
        let group::Leader::Known(server) = authority::leader(daemon, database) else {
            return None;
        };
        let pool = daemon.pools.get(&server)?;
        let health = pool.health;
        let answers = health.failing.is_none() && now.since(health.succeeded) < REACHED;
        let used = health.failing.is_some() || answers;
        used.then(|| Reach { answers, mark: pool.mark, server })
    });
    primaries.collect()
}

/// Sends a digest to a daemon, with what concerns only that one.
fn tell(daemon: &mut Daemon, now: Now, fx: &mut Effects, name: &id::Daemon, mut digest: Digest) {
    let listed = daemon.members.get(name).map(|member| member.record.address.clone());
    let told = daemon.gossip.peers.get(name).map(|peer| peer.digest.address.clone());
    let Some(address) = listed.or(told) else {
        return;
    };
    let left = daemon.lease.expires_at().saturating_sub(now.mono);
    let peer = daemon.gossip.peers.entry(name.clone()).or_default();
    if peer.heard > Duration::ZERO {
        digest.echo = Some(Echo { sent: peer.digest.sent, held: now.since(peer.heard) });
        let fresh = !daemon.lease.is_overdue(now.mono);
        if peer.digest.needs_loan && fresh && left > MARGIN && daemon.drain == drain::State::Serving
        {
            let loan = left.min(LOAN);
            digest.loan = Some(loan);
            peer.lent_until = now.mono + loan;
        }
    }
    fx.push(Effect::Peer { address, digest: Box::new(digest) });
}

/// Takes a digest of another daemon.
pub fn on_digest(daemon: &mut Daemon, now: Now, fx: &mut Effects, digest: &Digest) {
    let from = digest.from.clone();
    let known = daemon.members.get(&from);
    let same = known.is_none_or(|member| member.record.incarnation == digest.incarnation);
    if from == daemon.settings.daemon || !same {
        return;
    }
    let peer = daemon.gossip.peers.entry(from.clone()).or_default();
    let reborn = peer.digest.incarnation != digest.incarnation;
    if !reborn && digest.sent < peer.digest.sent {
        return;
    }
    if reborn {
        peer.lent_until = Duration::ZERO;
        if daemon.gossip.counts(&from) {
            hurry(daemon, now);
        }
    }
    let peer = daemon.gossip.peers.entry(from.clone()).or_default();
    (peer.heard, peer.digest) = (now.mono, digest.clone());
    if digest.alarm && !digest.reaches.is_empty() {
        on_alarm(daemon, now, fx, digest);
    }
    news::on_version(daemon, now, fx, &from, digest.config);
    for summary in &digest.summaries {
        on_summary(daemon, now, &from, summary);
    }
    for known in &digest.intentions {
        failover::on_announcement(daemon, now, fx, known);
    }
    if let (Some(loan), Some(echo)) = (digest.loan, digest.echo) {
        borrow(daemon, now, fx, &from, loan, echo);
    }
    let listed = daemon.members.get(&from).map(|member| &member.record.domain);
    let near = listed.is_none_or(|domain| daemon.settings.distance(domain) < 2);
    if digest.needs_loan && near {
        lend(daemon, now, fx, &from);
    }
    // In a large fleet most digests bring nothing that concerns a primary.
    let concerned = digest.alarm || now.mono < daemon.gossip.alarm_until;
    if daemon.gossip.layout.cells <= 1 || concerned {
        failover::review_all(daemon, now, fx);
    } else {
        failover::review_moves(daemon, now, fx);
    }
}

/// Takes the sum of another cell, from its delegate or passed on by a daemon of the own cell.
fn on_summary(daemon: &mut Daemon, now: Now, from: &id::Daemon, summary: &Summary) {
    let summed = now.mono.saturating_sub(summary.age);
    let known = daemon.gossip.cells.get(&summary.cell);
    if summary.cell == daemon.gossip.layout.cell
        || known.is_some_and(|known| known.summed >= summed)
    {
        return;
    }
    let direct = !daemon.gossip.layout.mates.contains(from);
    let summary = summary.clone();
    if summary.opinions.iter().any(|opinion| opinion.silent > 0) {
        alarm(daemon, now);
    }
    daemon.gossip.cells.insert(summary.cell, Cell { summary, summed, direct });
}

/// Joins in when another daemon does not reach a primary.
fn on_alarm(daemon: &mut Daemon, now: Now, fx: &mut Effects, digest: &Digest) {
    let silent = digest.reaches.iter().filter(|reach| !reach.answers);
    for reach in silent {
        alarm(daemon, now);
        if home::in_use(daemon) && daemon.directory.contains_key(&reach.server) {
            // Only its home uses it, whose word alone does not tell a cut from a crash.
            pool::ask(daemon, now, fx, &reach.server);
        }
    }
}
