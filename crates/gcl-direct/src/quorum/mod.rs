//! Commits that were acknowledged under synchronous replication, and which server certainly has all
//! of them.
//!
//! With `n` synchronous replicas a commit is acknowledged once the primary and `n` replicas hold it.
//! Of the servers that may hold commits, the members, any but `n` include a holder of each commit.
//! The server with the newest position among so many members therefore has all commits, whoever was
//! told of them: positions that daemons remember are not needed, and die with daemons. Positions
//! count that servers report after the last daemon has released the old primary.
//!
//! Members come and go, and each commit must keep `n + 1` holders among them, or all of them:
//!
//! - A new server may be a holder at once, but lacks earlier commits. While it joins, that is until it
//!   has received what the primary reported after it was listed, a proof is needed among the
//!   established members and among all.
//! - A member whose entry lapses stays one: its log may hold commits that no listed server has, and
//!   comes back with it. It is dropped once the listed servers, `n + 1` of them or all that are left,
//!   have received what the primary reported since.
//! - The log of a member that starts again under its id counts as lost until it reports at least the
//!   position that it had, or what the primary reported since.
//!
//! If all members report, the newest has whatever still exists, lost logs or not.
//!
//! The members are recorded in the store ([`record`]) for daemons that start while one is missing.
//! Databases without synchronous replicas have no members.

pub mod record;

use crate::{
    authority, directory, effect::Effects, failover, group::Leader, line::Line, pool,
    state::State as Daemon, timer,
};
use gcl_core::{id, mark::Mark, time::Now};
use indexmap::IndexMap;
use std::time::Duration;

/// Age up to which a server's report shows that it responds.
const RESPONSE_WINDOW: Duration = Duration::from_millis(1500);
/// Interval between reports of servers while a log is missing.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// The same while none is missing. A server that starts again empty is recognized by a position below
/// an earlier one.
const CALM_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// What a server must have received before its log is complete again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CatchUp {
    since: Duration,
    /// The position that the primary reported first after that time.
    target: Option<Mark>,
}

impl CatchUp {
    const fn new(now: Now) -> Self {
        Self { since: now.mono, target: None }
    }

    /// Records the primary's last report.
    fn observe(&mut self, primary: Option<Report>) {
        let later = primary.filter(|(sent, _)| *sent > self.since);
        self.target = self.target.or_else(|| later.map(|(_, mark)| mark));
    }

    /// Whether a server with this report has all commits up to the target.
    fn is_done(&self, report: Option<Report>) -> bool {
        let reached = |(sent, mark)| sent > self.since && self.target.is_some_and(|it| mark >= it);
        report.is_some_and(reached)
    }
}

/// The log of an earlier incarnation of a server, or of one that is not listed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LostLog {
    /// The newest position that it is known to have had.
    position: Option<Mark>,
    /// When the loss became known, and what makes up for it.
    catch_up: CatchUp,
    /// Whether a server that is listed with the same start time has it. It has not if a server was
    /// found to have started again although its start time is the same.
    may_return: bool,
}

impl LostLog {
    const fn new(now: Now, position: Option<Mark>, may_return: bool) -> Self {
        Self { position, catch_up: CatchUp::new(now), may_return }
    }

    /// Whether a report shows that the server has the log again.
    fn is_back(&self, (sent, mark): Report) -> bool {
        sent > self.catch_up.since && self.position.is_some_and(|position| mark >= position)
    }
}

/// When a server's last report was requested, and the position that it had received by then.
type Report = (Duration, Mark);

/// A server that may hold commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Member {
    /// The start time of the incarnation that has its log.
    started_ms: u64,
    /// Set until it has the commits from before it was listed.
    joining: Option<CatchUp>,
    /// Set while it is unknown whether its listed incarnation has that log.
    lost: Option<LostLog>,
}

/// The members of one database.
#[derive(Clone, Debug, Default)]
pub struct Members {
    servers: IndexMap<id::Server, Member>,
    record: record::State,
    /// When the positions of the servers were last requested.
    polled: Option<Duration>,
}

impl Members {
    /// Whether a member lacks commits or its log.
    fn is_incomplete(&self) -> bool {
        self.servers.values().any(|member| member.lost.is_some() || member.joining.is_some())
    }
}

/// The number of members whose positions prove that the newest of them has all commits.
#[must_use]
pub const fn size(members: usize, synchronous_replicas: usize) -> usize {
    match members.saturating_sub(synchronous_replicas) {
        0 => 1,
        size => size,
    }
}

/// The positions that the members of a database have reported.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reports {
    /// Those of established members that certainly have their log.
    pub established: Vec<Mark>,
    /// Those of members that are joining.
    pub joining: Vec<Mark>,
    /// Those of members that may have started again without their log.
    pub without_log: Vec<Mark>,
    /// The number of established members, listed or not.
    pub established_members: usize,
    /// The number of all members.
    pub members: usize,
}

impl Reports {
    /// Whether a server at `position`, whose report is among these, has all commits. Members with newer
    /// positions do not count, since they may be the only holders of a commit.
    #[must_use]
    pub fn prove(&self, position: Mark, synchronous_replicas: usize) -> bool {
        let not_newer = |marks: &[Mark]| marks.iter().filter(|mark| **mark <= position).count();
        let established = not_newer(&self.established);
        let known = established + not_newer(&self.joining);
        let earlier = established >= size(self.established_members, synchronous_replicas);
        let later = known >= size(self.members, synchronous_replicas);
        (earlier && later) || known + not_newer(&self.without_log) >= self.members
    }

    /// Whether the newest of these servers has all commits.
    fn suffice(&self, synchronous_replicas: usize) -> bool {
        let known = self.established.iter().chain(&self.joining);
        let newest = known.chain(&self.without_log).max();
        newest.is_some_and(|newest| self.prove(*newest, synchronous_replicas))
    }
}

/// The number of synchronous replicas of a database.
fn synchronous_replicas(daemon: &Daemon, database: &str) -> usize {
    let database = daemon.config.as_ref().and_then(|config| config.databases.get(database));
    database.map_or(0, |database| database.synchronous_replicas)
}

/// Whether the servers of a database acknowledge commits only after replicas have received them.
#[must_use]
pub fn is_synchronous(daemon: &Daemon, database: &str) -> bool {
    synchronous_replicas(daemon, database) > 0
}

/// The positions that members reported to requests sent since a time.
fn reports(daemon: &Daemon, database: &str, since: Duration) -> Reports {
    let Some(group) = daemon.groups.get(database) else {
        return Reports::default();
    };
    let servers = &group.members.servers;
    let established = servers.values().filter(|member| member.joining.is_none());
    let mut reports = Reports {
        members: servers.len(),
        established_members: established.count(),
        ..Reports::default()
    };
    for (server, member) in servers {
        let report = report(daemon, database, server).filter(|(sent, _)| *sent >= since);
        let Some(report) = report else {
            continue;
        };
        let marks = match (member.lost, member.joining) {
            (Some(lost), _) if !lost.is_back(report) => &mut reports.without_log,
            (_, Some(_)) => &mut reports.joining,
            (_, None) => &mut reports.established,
        };
        marks.push(report.1);
    }
    reports
}

/// The last report of a listed server.
fn report(daemon: &Daemon, database: &str, server: &str) -> Option<Report> {
    daemon.directory.get(server).filter(|entry| entry.database == database)?;
    daemon.pools.get(server)?.reported
}

/// Whether enough servers respond to find a successor that has all commits.
#[must_use]
pub fn responds(daemon: &Daemon, now: Now, database: &str) -> bool {
    let since = now.mono.saturating_sub(RESPONSE_WINDOW);
    match synchronous_replicas(daemon, database) {
        0 => true,
        replicas => reports(daemon, database, since).suffice(replicas),
    }
}

/// Whether a server certainly has all commits that were acknowledged, by reports requested after all
/// daemons have released the old primary at `released_at`.
#[must_use]
pub fn has_all_commits(
    daemon: &Daemon,
    database: &str,
    server: &str,
    released_at: Option<Duration>,
) -> bool {
    let replicas = synchronous_replicas(daemon, database);
    let Some(released_at) = released_at.filter(|_| replicas > 0) else {
        return replicas == 0;
    };
    let own = report(daemon, database, server).filter(|(sent, _)| *sent >= released_at);
    let reports = reports(daemon, database, released_at);
    own.is_some_and(|(_, mark)| reports.prove(mark, replicas))
}

/// Requests the positions of all servers of a synchronous database.
pub fn poll(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    if !is_synchronous(daemon, database) {
        return;
    }
    let servers = directory::servers(&daemon.directory, database);
    let servers: Vec<_> = servers.map(|(server, _)| server.clone()).collect();
    for server in servers {
        pool::poll_position(daemon, now, fx, &server);
    }
}

/// Logs that a successor cannot be determined.
pub fn log_undetermined(daemon: &Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let since = now.mono.saturating_sub(RESPONSE_WINDOW);
    let reports = reports(daemon, database, since);
    let line = Line::state_change("successor undetermined").with("database", database);
    let line = line.with("members", reports.members);
    let line = line.with("established", reports.established_members);
    let line = line.with("synchronous_replicas", synchronous_replicas(daemon, database));
    let line = line.with("responding", reports.established.len());
    let line = line.with("joining", reports.joining.len());
    fx.log(line.with("without_log", reports.without_log.len()));
    fx.count("gcl_successors_undetermined", database);
}

/// Records that a server ceased to be listed, with its newest position.
pub fn on_gone(daemon: &mut Daemon, now: Now, server: &id::Server) {
    on_lost_log(daemon, now, server, true);
}

/// Records that a server started again, before what is known of its earlier incarnation is
/// discarded.
pub fn on_restarted(daemon: &mut Daemon, now: Now, server: &id::Server) {
    on_lost_log(daemon, now, server, false);
}

fn on_lost_log(daemon: &mut Daemon, now: Now, server: &id::Server, may_return: bool) {
    let mark = |server: &str| daemon.pools.get(server).and_then(|it| it.received.max(it.mark));
    for group in daemon.groups.values_mut() {
        let Some(member) = group.members.servers.get_mut(server) else {
            continue;
        };
        // A server whose position is not known has its log if it has all that is known of the primary's.
        let of_primary =
            || group.last_primary.as_ref().and_then(|it| mark(it)).max(group.acknowledged);
        let position = mark(server).or_else(of_primary);
        let before = member.lost;
        let known = before.and_then(|lost| lost.position);
        let may_return = before.map_or(may_return, |lost| lost.may_return && may_return);
        member.lost = Some(LostLog::new(now, known.max(position), may_return));
    }
}

/// Records that a server is listed again. With the start time that it had, it has its log.
pub fn on_listed(daemon: &mut Daemon, server: &id::Server, started_ms: u64) {
    for group in daemon.groups.values_mut() {
        if let Some(member) = group.members.servers.get_mut(server) {
            // Without a start time, incarnations cannot be told apart.
            let same = member.started_ms == started_ms && started_ms != 0;
            member.lost = member.lost.filter(|lost| !(same && lost.may_return));
        }
    }
}

/// Updates the members of a database, and their record in the store.
pub fn review(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    if !daemon.watch.is_complete() {
        return;
    }
    if !is_synchronous(daemon, database) {
        if let Some(group) = daemon.groups.get_mut(database) {
            group.members.servers.clear();
        }
        return;
    }
    add_listed(daemon, now, database);
    // No primary is superseded unknown to a daemon that holds a lease.
    if daemon.lease.is_valid(now.mono) {
        complete(daemon, database);
        drop_superseded(daemon, fx, database);
    }
    record::write(daemon, now, fx, database);
    if failover::is_checker(daemon, database) {
        poll_regularly(daemon, now, fx, database);
    }
}

/// Requests the positions of the servers when the last ones are old enough.
fn poll_regularly(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.groups.get_mut(database) else {
        return;
    };
    let members = &mut group.members;
    let interval = if members.is_incomplete() { POLL_INTERVAL } else { CALM_POLL_INTERVAL };
    let due = members.polled.map_or(Duration::ZERO, |at| at + interval);
    if now.mono < due {
        return daemon.timers.arm_by(timer::Key::Failover(database.clone()), due);
    }
    members.polled = Some(now.mono);
    poll(daemon, now, fx, database);
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + interval);
}

/// Adds listed servers, and notices those that have another start time than the log's incarnation. The
/// servers that are listed when the members are first recorded are established.
fn add_listed(daemon: &mut Daemon, now: Now, database: &id::Database) {
    let Some(group) = daemon.groups.get_mut(database) else {
        return;
    };
    let Members { servers, record, .. } = &mut group.members;
    let is_first = servers.is_empty() && !record.exists();
    for (server, entry) in directory::servers(&daemon.directory, database) {
        let joining = (!is_first).then(|| CatchUp::new(now));
        let new = Member { started_ms: entry.started_ms, joining, lost: None };
        let member = servers.entry(server.clone()).or_insert(new);
        if member.started_ms != entry.started_ms {
            member.lost.get_or_insert(LostLog::new(now, None, false));
        }
    }
}

/// The last report of a database's primary, if it certainly has its log.
fn primary_report(daemon: &Daemon, database: &id::Database) -> Option<Report> {
    let Leader::Known(primary) = authority::leader(daemon, database) else {
        return None;
    };
    let group = daemon.groups.get(database)?;
    let member = group.members.servers.get(&primary)?;
    report(daemon, database, &primary).filter(|_| member.lost.is_none())
}

/// Updates members by the last reports: logs that are back, and servers that have caught up.
fn complete(daemon: &mut Daemon, database: &id::Database) {
    let Some(group) = daemon.groups.get(database) else {
        return;
    };
    let mut servers = group.members.servers.clone();
    let primary = primary_report(daemon, database);
    for (server, member) in &mut servers {
        let own = report(daemon, database, server);
        let lost = member.lost.iter_mut().map(|lost| &mut lost.catch_up);
        for catch_up in lost.chain(&mut member.joining) {
            catch_up.observe(primary);
        }
        let is_back = |lost: &LostLog| {
            own.is_some_and(|report| lost.is_back(report)) || lost.catch_up.is_done(own)
        };
        member.lost = member.lost.filter(|lost| !is_back(lost));
        if member.lost.is_none() {
            let entry = daemon.directory.get(server);
            member.started_ms = entry.map_or(member.started_ms, |entry| entry.started_ms);
            member.joining = member.joining.filter(|joining| !joining.is_done(own));
        }
    }
    if let Some(group) = daemon.groups.get_mut(database) {
        group.members.servers = servers;
    }
}

/// Drops members that are not listed any more and whose logs the listed servers make up for.
fn drop_superseded(daemon: &mut Daemon, fx: &mut Effects, database: &id::Database) {
    let replicas = synchronous_replicas(daemon, database);
    let listed = directory::servers(&daemon.directory, database);
    let listed: Vec<_> = listed.map(|(server, _)| report(daemon, database, server)).collect();
    let is_listed = |server: &id::Server| {
        daemon.directory.get(server).is_some_and(|entry| entry.database == *database)
    };
    let Some(group) = daemon.groups.get_mut(database) else {
        return;
    };
    let servers = &mut group.members.servers;
    let is_superseded = |server: &id::Server, member: &Member| {
        let has_all = |lost: LostLog| listed.iter().all(|report| lost.catch_up.is_done(*report));
        !is_listed(server) && !listed.is_empty() && member.lost.is_some_and(has_all)
    };
    let superseded = servers.iter().filter(|(server, member)| is_superseded(server, member));
    let superseded: Vec<_> = superseded.map(|(server, _)| server.clone()).collect();
    let left = servers.len() - superseded.len();
    if listed.len() < left.min(replicas + 1) {
        return;
    }
    for server in superseded {
        let lost = servers.swap_remove(&server).and_then(|member| member.lost);
        let line = Line::state_change("lost log superseded").with("server", &server);
        let line = line.mark("position", lost.and_then(|lost| lost.position));
        fx.log(line.mark("primary", lost.and_then(|lost| lost.catch_up.target)));
    }
}
