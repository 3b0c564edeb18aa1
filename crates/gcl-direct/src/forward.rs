//! Statements that another daemon runs: which host is asked, and what its silence means.
//!
//! A statement goes to the home of its database: in the region of the primary where only that can
//! run it, in the own region else. It is asked for elsewhere where that cannot run it twice: the host
//! says that nothing ran, or it only reads outside a transaction. What a host had that is lost ends as
//! on a lost connection to a server: a write or commit in doubt, a transaction before its commit
//! certainly not kept, since the host's connections roll back when it goes.
//!
//! The load it answers: a home that dies, falls silent, stops as planned or is cut off from its
//! servers, and a queue that is longer at one home than at another.

use crate::{
    caller::Reply,
    config::Freshness,
    effect::Effects,
    home,
    line::Line,
    link::{self, Answer, Ask, Begin, Run},
    request::{self, Request, Stage},
    role::Role,
    session::{self, Transaction},
    state::State as Daemon,
    statement::{Access, Statement},
};
use gcl_core::{
    batch::Status,
    code::{Code, Fault},
    id,
    time::Now,
};
use indexmap::IndexSet;
use std::{sync::Arc, time::Duration};

/// Hosts that one statement may be sent to.
const MOST_HOSTS: usize = 4;
/// What a statement's answer may take beyond its time, for the way between daemons.
const WAY: Duration = Duration::from_millis(80);
/// When to come back while no host is reached.
const NO_HOST_RETRY: Duration = Duration::from_millis(500);

/// Where a statement runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// On this daemon's own connections.
    Here,
    /// At a host.
    Host(id::Daemon),
    /// No host is left to ask.
    Nobody,
}

/// Puts the homes of several regions in the order in which they are asked: the first of each region,
/// then the second of each.
#[must_use]
pub fn merge<'a>(regions: &[Vec<&'a id::Daemon>]) -> IndexSet<&'a id::Daemon> {
    let longest = regions.iter().map(Vec::len).max().unwrap_or(0);
    let ranks = (0..longest).flat_map(|rank| regions.iter().filter_map(move |it| it.get(rank)));
    ranks.copied().collect()
}

/// Where a session's statement runs.
#[must_use]
pub fn choose(daemon: &Daemon, now: Now, session: id::Session) -> Choice {
    let entry = daemon.sessions.get(&session);
    let Some((entry, request)) = entry.and_then(|entry| Some((entry, entry.request.as_ref()?)))
    else {
        return Choice::Nobody;
    };
    let latest = request.route.freshness == Freshness::Latest || entry.writes(request);
    let database = &request.route.database;
    let has_home = home::in_use(daemon) || (latest && home::has_primary(daemon, database));
    if entry.guest.is_some() || !has_home {
        return Choice::Here;
    }
    if daemon.role.current == Role::Entry && !daemon.news.is_fresh(now) {
        return Choice::Nobody;
    }
    home_for(daemon, now, request, latest)
}

/// The host that is to be asked to send a statement to a server, where this daemon sends only a few:
/// the home of a primary that a read goes to since no replica can serve it.
#[must_use]
pub fn to_home_of(
    daemon: &Daemon,
    now: Now,
    session: id::Session,
    server: &id::Server,
) -> Option<id::Daemon> {
    let entry = daemon.sessions.get(&session).filter(|entry| entry.guest.is_none())?;
    let request = entry.request.as_ref()?;
    if home::in_use(daemon) || !home::has_home(daemon, server) || home::carries(daemon, server) {
        return None;
    }
    match home_for(daemon, now, request, true) {
        Choice::Host(host) => Some(host),
        Choice::Here | Choice::Nobody => None,
    }
}

/// The home to ask, of the primary's region for what needs the latest data.
fn home_for(daemon: &Daemon, now: Now, request: &Request, latest: bool) -> Choice {
    let site = home::site(daemon, &request.route.database);
    let own = daemon.settings.region(&daemon.settings.domain);
    let primary = site.primary.as_ref().and_then(|domain| daemon.settings.region(domain));
    let regions = if latest { [primary.or(own), None] } else { [own, primary] };
    let regions: IndexSet<_> = regions.into_iter().flatten().collect();
    let homes: Vec<_> =
        regions.iter().map(|region| home::homes(daemon, now, &site, region)).collect();
    let may_run = daemon.role.current == Role::Host;
    let mut asked = merge(&homes).into_iter().filter(|name| {
        let itself = **name == daemon.settings.daemon && may_run;
        !request.excluded_hosts.contains(*name) && (itself || daemon.link.is_usable(name))
    });
    match asked.next() {
        Some(name) if *name == daemon.settings.daemon => Choice::Here,
        Some(name) if request.excluded_hosts.len() < MOST_HOSTS => Choice::Host(name.clone()),
        // A host that reaches no other serves with what connections it has.
        _ if may_run && !request.excluded_hosts.contains(&daemon.settings.daemon) => Choice::Here,
        _ => Choice::Nobody,
    }
}

/// Why no host was asked.
#[must_use]
pub fn nobody() -> Fault {
    Fault::new(Code::HomeLost, "no host is reached that could run it").retry_after(NO_HOST_RETRY)
}

/// Sends a session's statement to a host.
pub fn send(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    host: &id::Daemon,
) {
    let serial = daemon.next_id();
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = entry.request.as_mut() else {
        return;
    };
    request.stage = Stage::Away(host.clone(), serial);
    let mut begin = Some(Begin {
        workspace: entry.workspace.clone(),
        route: Arc::clone(&request.route),
        floor: entry.floors.get(&request.route.database).copied(),
        transaction: None,
    });
    if let Transaction::Open(open) = &mut entry.transaction {
        if open.host.is_some() {
            begin = None;
        } else if let Some(begin) = &mut begin {
            begin.transaction = Some((open.read_only, now.since(open.began)));
        }
        open.wrote |= request.access == Access::Write;
    }
    let prepared = match &request.query.statement {
        Statement::Execute { name, .. } => entry.prepared.get(name).map(|it| (name.clone(), it)),
        _ => None,
    };
    let run = Run {
        session,
        serial,
        begin,
        values: entry.values.clone(),
        prepared: prepared.map(|(name, it)| (name, it.clone())),
        query: request.query.clone(),
        left: request.deadline.saturating_sub(now.mono),
    };
    let line = Line::routine("sent to a host").with("request", &run.query.id);
    fx.log(line.with("host", host).with("try", request.attempts));
    let due = request.deadline + WAY;
    request::set_deadline(daemon, session, due);
    link::run(daemon, now, fx, host, run);
}

/// The statement that a host has of a session, if it is the one meant.
fn is_away(daemon: &Daemon, session: id::Session, host: &str, serial: Option<u64>) -> bool {
    let request = daemon.sessions.get(&session).and_then(|entry| entry.request.as_ref());
    match request.map(|request| &request.stage) {
        Some(Stage::Away(name, own)) => name == host && serial.is_none_or(|serial| serial == *own),
        _ => false,
    }
}

/// Takes a host's answer.
pub fn on_answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    host: &id::Daemon,
    answer: Answer,
) {
    let session = answer.session;
    if !is_away(daemon, session, host, Some(answer.serial)) {
        // Nobody waits for it any more; what it may have left open ends.
        if answer.status == Status::Open {
            link::ask(daemon, fx, host, Ask::Forget(session));
        }
        return;
    }
    daemon.link.settle(host, session);
    let fault = answer.replies.iter().find_map(|reply| match reply {
        Reply::Error(fault) => Some(fault.clone()),
        _ => None,
    });
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = entry.request.as_mut() else {
        return;
    };
    let goes_on = matches!(&entry.transaction, Transaction::Open(open) if open.host.is_some());
    if let Some(fault) = &fault
        && !goes_on
        && may_try_elsewhere(fault, request.access)
        && now.mono < request.queue_deadline
    {
        let line = Line::routine("passed on").with("request", &request.query.id);
        fx.log(line.with("host", host).with("fault", fault));
        return pass(daemon, now, fx, session, host);
    }
    let commits = request.query.statement == Statement::Commit;
    entry.mark = answer.mark.or(entry.mark);
    if let Some(floor) = answer.floor {
        let known = entry.floors.entry(request.route.database.clone()).or_default();
        *known = floor.max(*known);
    }
    match (&mut entry.transaction, answer.status) {
        (Transaction::Open(open), Status::Open) => open.host = Some(host.clone()),
        (Transaction::Open(_), status) if status == Status::Failed || !commits => {
            entry.transaction = Transaction::Failed;
        }
        _ => entry.transaction = Transaction::None,
    }
    let outcome = match (&fault, answer.replies.last()) {
        (Some(fault), _) if fault.code.not_run() => "refused",
        (Some(_), _) => "in doubt",
        (None, Some(Reply::Complete(_))) => request::SERVED,
        _ => "failed",
    };
    request::finish(daemon, now, fx, session, outcome);
    session::answer(daemon, now, fx, session, answer.replies);
}

/// Whether another host may run what one has refused.
const fn may_try_elsewhere(fault: &Fault, access: Access) -> bool {
    match fault.code {
        Code::Draining | Code::HomeLost | Code::ServerLost | Code::NoPrimary => true,
        Code::NoReplica | Code::QueueFull => matches!(access, Access::Read),
        _ => false,
    }
}

/// Asks another host for a statement that one has not run.
fn pass(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session, host: &id::Daemon) {
    let Some(request) = request::current(daemon, session) else {
        return;
    };
    request.excluded_hosts.push(host.clone());
    request::retry_forwarded(daemon, now, fx, session);
}

/// Takes back a read that a silent host has; it does no harm if that runs it after all.
pub fn on_suspect(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    host: &id::Daemon,
) {
    if is_away(daemon, session, host, None) && reads_alone(daemon, session) {
        daemon.link.settle(host, session);
        link::ask(daemon, fx, host, Ask::Forget(session));
        pass(daemon, now, fx, session, host);
    }
}

/// Whether a session's statement reads outside a transaction.
fn reads_alone(daemon: &Daemon, session: id::Session) -> bool {
    daemon.sessions.get(&session).is_some_and(|entry| {
        let reads = entry.request.as_ref().is_some_and(|it| it.access == Access::Read);
        reads && matches!(entry.transaction, Transaction::None)
    })
}

/// Acts on the loss of the stream to a host that had a session's statement.
pub fn on_lost(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    host: &id::Daemon,
    opened: bool,
) {
    if !is_away(daemon, session, host, None) {
        return;
    }
    let begun = daemon.sessions.get(&session).is_some_and(
        |entry| matches!(&entry.transaction, Transaction::Open(open) if open.host.is_some()),
    );
    if reads_alone(daemon, session) || (!opened && !begun) {
        return pass(daemon, now, fx, session, host);
    }
    give_up(daemon, now, fx, session, "the host was lost");
}

/// Ends a statement whose host has not answered in time.
pub fn on_overdue(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    host: &id::Daemon,
) {
    daemon.link.settle(host, session);
    link::ask(daemon, fx, host, Ask::Forget(session));
    if reads_alone(daemon, session) {
        request::finish(daemon, now, fx, session, "timeout");
        let fault = Fault::new(Code::Timeout, "the host did not answer in time");
        return session::answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
    }
    give_up(daemon, now, fx, session, "the host did not answer in time");
}

/// Ends a statement that a host may have run.
fn give_up(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    reason: &'static str,
) {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = entry.request.as_ref() else {
        return;
    };
    let commit = request.query.statement == Statement::Commit;
    let line = Line::failure("host lost").with("request", &request.query.id);
    fx.log(line.with("stage", format_args!("{:?}", request.stage)).with("reason", reason));
    let doubt = match &entry.transaction {
        Transaction::Open(open) => commit && open.wrote,
        _ => request.access == Access::Write,
    };
    let fault = if doubt {
        Fault::new(Code::OutcomeUnknown, reason)
    } else {
        Fault::new(Code::TransactionLost, reason).retry_after(NO_HOST_RETRY)
    };
    if matches!(entry.transaction, Transaction::Open(_)) {
        entry.transaction = if commit { Transaction::None } else { Transaction::Failed };
    }
    request::finish(daemon, now, fx, session, if doubt { "in doubt" } else { "lost" });
    session::answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
}

/// Rolls back the transactions that were open at a host and rest.
pub fn on_transactions_lost(daemon: &mut Daemon, now: Now, fx: &mut Effects, host: &id::Daemon) {
    let open = daemon.sessions.iter().filter(|(_, entry)| {
        let there = matches!(&entry.transaction, Transaction::Open(open)
            if open.host.as_ref() == Some(host));
        there && entry.request.is_none()
    });
    let open: Vec<_> = open.map(|(session, _)| *session).collect();
    for session in open {
        session::fail_transaction(daemon, now, fx, session, "the host was lost");
    }
}

/// Ends what a host has of a session.
pub fn forget(daemon: &mut Daemon, fx: &mut Effects, session: id::Session, host: &id::Daemon) {
    daemon.link.settle(host, session);
    link::ask(daemon, fx, host, Ask::Forget(session));
}
