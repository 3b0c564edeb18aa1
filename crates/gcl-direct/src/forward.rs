//! Forwarding of statements to hosts ([`crate::role`]): the choice of the host, retries at other
//! hosts, and failures.
//!
//! A statement goes to the home of its database: in the primary's region if only the primary can
//! run it, else in this daemon's region. It is retried at another host only where it cannot run
//! twice: when the host reports that nothing ran, or for a read outside a transaction. Statements
//! at a host that is lost end as on a lost connection to a server: the outcome of a write or commit
//! is unknown; a transaction before its commit is certainly rolled back, since the host's
//! connections end with it.
//!
//! This covers homes that crash, stop responding, drain or lose their servers, and homes with a
//! longer queue than others.

use crate::{
    caller::Reply,
    config::Freshness,
    effect::Effects,
    home,
    line::Line,
    link::{self, Answer, Begin, Request as Message, Run},
    region,
    request::{self, Request, Stage},
    role::Role,
    session::{self, Session, Transaction},
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

/// Maximum number of hosts that one statement is sent to.
const MAX_HOSTS: usize = 4;
/// How long after a statement's deadline its answer may arrive, for the transit between daemons.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(80);
/// Retry-after while no host is available.
const NO_HOST_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Where a statement runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// On this daemon's own connections.
    Local,
    /// At another host.
    Host(id::Daemon),
    /// No host is available.
    Unavailable,
    /// The servers that could run it are in regions that it may not visit.
    NotAllowed,
}

/// Interleaves the ranked hosts of several regions: the first of each region, then the second of
/// each, and so on.
#[must_use]
pub fn interleave<'a>(regions: &[Vec<&'a id::Daemon>]) -> IndexSet<&'a id::Daemon> {
    let longest = regions.iter().map(Vec::len).max().unwrap_or(0);
    let ranks = (0..longest).flat_map(|rank| regions.iter().filter_map(move |it| it.get(rank)));
    ranks.copied().collect()
}

/// Chooses where a session's statement runs.
#[must_use]
pub fn choose(daemon: &Daemon, now: Now, session: id::Session) -> Choice {
    let state = daemon.sessions.get(&session);
    let Some((state, request)) = state.and_then(|state| Some((state, state.request.as_ref()?)))
    else {
        return Choice::Unavailable;
    };
    let latest = request.route.freshness == Freshness::Latest || state.writes(request);
    let database = &request.route.database;
    let has_home = home::is_enabled(daemon) || (latest && home::has_primary(daemon, database));
    if state.origin.is_some() || !has_home {
        return Choice::Local;
    }
    if daemon.role.current == Role::Entry && !daemon.discovery.is_fresh(now) {
        return Choice::Unavailable;
    }
    home_for(daemon, now, (state, request), latest)
}

/// The home that a statement for `server` is forwarded to, if this daemon should not send it
/// itself. Such a statement is a read that only the primary can serve, in a fleet without homes for
/// replicas.
#[must_use]
pub fn home_for_server(
    daemon: &Daemon,
    now: Now,
    session: id::Session,
    server: &id::Server,
) -> Option<id::Daemon> {
    let state = daemon.sessions.get(&session).filter(|state| state.origin.is_none())?;
    let request = state.request.as_ref()?;
    if home::is_enabled(daemon)
        || !home::routes_to_home(daemon, server)
        || home::is_home_for(daemon, server)
    {
        return None;
    }
    match home_for(daemon, now, (state, request), true) {
        Choice::Host(host) => Some(host),
        Choice::Local | Choice::Unavailable | Choice::NotAllowed => None,
    }
}

/// Chooses among the homes for a request in regions that it may visit; only those in the primary's
/// region if it needs the latest data.
fn home_for(
    daemon: &Daemon,
    now: Now,
    (state, request): (&Session, &Request),
    latest: bool,
) -> Choice {
    let location = home::location(daemon, &request.route.database);
    let own = daemon.settings.region(&daemon.settings.domain);
    let primary = location.primary.as_ref().and_then(|domain| daemon.settings.region(domain));
    let regions = if latest { [primary.or(own), None] } else { [own, primary] };
    let has_servers = |region: &id::Region| {
        let mut domains =
            location.domains.iter().filter(|domain| !location.evacuated.contains(domain));
        location.domains.is_empty()
            || domains.any(|domain| daemon.settings.region(domain) == Some(region))
    };
    let regions: IndexSet<_> = regions
        .into_iter()
        .flatten()
        .filter(|region| region::allows(daemon, &request.route, &state.workspace, Some(*region)))
        .filter(|region| latest || has_servers(region))
        .collect();
    if regions.is_empty() && !location.domains.is_empty() {
        return Choice::NotAllowed;
    }
    let homes: Vec<_> =
        regions.iter().map(|region| home::homes(daemon, now, &location, region)).collect();
    let is_host = daemon.role.current == Role::Host;
    let mut candidates = interleave(&homes).into_iter().filter(|name| {
        let is_self = **name == daemon.settings.daemon && is_host;
        !request.excluded_hosts.contains(*name) && (is_self || daemon.link.is_usable(name))
    });
    match candidates.next() {
        Some(name) if *name == daemon.settings.daemon => Choice::Local,
        Some(name) if request.excluded_hosts.len() < MAX_HOSTS => Choice::Host(name.clone()),
        // A host that reaches no other host uses its own connections.
        _ if is_host && !request.excluded_hosts.contains(&daemon.settings.daemon) => Choice::Local,
        _ => Choice::Unavailable,
    }
}

/// The error for a statement for which no host is available.
#[must_use]
pub fn unavailable() -> Fault {
    Fault::new(Code::HomeLost, "no host is reached that could run it")
        .retry_after(NO_HOST_RETRY_AFTER)
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
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = state.request.as_mut() else {
        return;
    };
    request.stage = Stage::Away(host.clone(), serial);
    let mut begin = Some(Begin {
        workspace: state.workspace.clone(),
        route: Arc::clone(&request.route),
        floor: state.floors.get(&request.route.database).copied(),
        transaction: None,
    });
    if let Transaction::Open(open) = &mut state.transaction {
        if open.host.is_some() {
            begin = None;
        } else if let Some(begin) = &mut begin {
            begin.transaction = Some((open.read_only, now.since(open.began)));
        }
        open.wrote |= request.access == Access::Write;
    }
    let prepared = match &request.query.statement {
        Statement::Execute { name, .. } => state.prepared.get(name).map(|it| (name.clone(), it)),
        _ => None,
    };
    let run = Run {
        session,
        serial,
        begin,
        values: state.values.clone(),
        prepared: prepared.map(|(name, it)| (name, it.clone())),
        query: request.query.clone(),
        remaining: request.deadline.saturating_sub(now.mono),
        urgency: Some(request.urgency),
    };
    let line = Line::routine("sent to a host").with("request", &run.query.id);
    fx.log(line.with("host", host).with("try", request.attempts));
    let due = request.deadline + TRANSIT_ALLOWANCE;
    request::set_deadline(daemon, session, due);
    link::run(daemon, now, fx, host, run);
}

/// Whether a session's statement is at `host`, in the attempt `serial` if one is given.
fn is_running_at(daemon: &Daemon, session: id::Session, host: &str, serial: Option<u64>) -> bool {
    let request = daemon.sessions.get(&session).and_then(|state| state.request.as_ref());
    match request.map(|request| &request.stage) {
        Some(Stage::Away(name, own)) => name == host && serial.is_none_or(|serial| serial == *own),
        _ => false,
    }
}

/// Handles a host's answer to a statement.
pub fn on_answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    host: &id::Daemon,
    answer: Answer,
) {
    let session = answer.session;
    if !is_running_at(daemon, session, host, Some(answer.serial)) {
        // The session no longer waits for this answer; a transaction that it left open is ended.
        if answer.status == Status::Open {
            link::send(daemon, fx, host, Message::Abort(session));
        }
        return;
    }
    daemon.link.clear_unanswered(host, session);
    record_load(daemon, now, host, &answer);
    let fault = answer.replies.iter().find_map(|reply| match reply {
        Reply::Error(fault) => Some(fault.clone()),
        _ => None,
    });
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = state.request.as_mut() else {
        return;
    };
    let continues = matches!(&state.transaction, Transaction::Open(open) if open.host.is_some());
    if let Some(fault) = &fault
        && !continues
        && may_retry_elsewhere(fault, request.access)
        && now.mono < request.queue_deadline
    {
        let line = Line::routine("passed on").with("request", &request.query.id);
        fx.log(line.with("host", host).with("fault", fault));
        return retry_elsewhere(daemon, now, fx, session, host);
    }
    let commits = request.query.statement == Statement::Commit;
    state.mark = answer.mark.or(state.mark);
    if let Some(floor) = answer.floor {
        let known = state.floors.entry(request.route.database.clone()).or_default();
        *known = floor.max(*known);
    }
    match (&mut state.transaction, answer.status) {
        (Transaction::Open(open), Status::Open) => open.host = Some(host.clone()),
        (Transaction::Open(_), status) if status == Status::Failed || !commits => {
            state.transaction = Transaction::Failed;
        }
        _ => state.transaction = Transaction::None,
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

/// Keeps the load that a home reported with its answer.
fn record_load(daemon: &mut Daemon, now: Now, host: &id::Daemon, answer: &Answer) {
    let state = daemon.sessions.get(&answer.session);
    let request = state.and_then(|state| state.request.as_ref());
    if let (Some(request), Some(load)) = (request, answer.load) {
        let key = (host, &request.route.database);
        daemon.balance.record(now.mono, key, load, daemon.last_id);
    }
}

/// Whether a statement that a host refused may be retried at another host.
const fn may_retry_elsewhere(fault: &Fault, access: Access) -> bool {
    match fault.code {
        Code::Draining | Code::HomeLost | Code::ServerLost | Code::NoPrimary => true,
        Code::NoReplica | Code::QueueFull => matches!(access, Access::Read),
        _ => false,
    }
}

/// Retries a statement that `host` has not run at another host.
fn retry_elsewhere(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    host: &id::Daemon,
) {
    let Some(request) = request::current(daemon, session) else {
        return;
    };
    request.excluded_hosts.push(host.clone());
    request::retry_forwarded(daemon, now, fx, session);
}

/// Retries a read that was sent to a host that has become unreachable. A read outside a transaction
/// may run twice.
pub fn on_unreachable(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    host: &id::Daemon,
) {
    if is_running_at(daemon, session, host, None) && is_standalone_read(daemon, session) {
        daemon.link.clear_unanswered(host, session);
        link::send(daemon, fx, host, Message::Abort(session));
        retry_elsewhere(daemon, now, fx, session, host);
    }
}

/// Whether a session's statement is a read outside a transaction.
fn is_standalone_read(daemon: &Daemon, session: id::Session) -> bool {
    daemon.sessions.get(&session).is_some_and(|state| {
        let reads = state.request.as_ref().is_some_and(|it| it.access == Access::Read);
        reads && matches!(state.transaction, Transaction::None)
    })
}

/// Handles the loss of the stream to a host that had a session's statement.
pub fn on_disconnect(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    host: &id::Daemon,
    was_open: bool,
) {
    if !is_running_at(daemon, session, host, None) {
        return;
    }
    let begun = daemon.sessions.get(&session).is_some_and(
        |state| matches!(&state.transaction, Transaction::Open(open) if open.host.is_some()),
    );
    if is_standalone_read(daemon, session) || (!was_open && !begun) {
        return retry_elsewhere(daemon, now, fx, session, host);
    }
    fail(daemon, now, fx, session, "the host was lost");
}

/// Ends a statement that its host has not answered in time.
pub fn on_timeout(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    host: &id::Daemon,
) {
    daemon.link.clear_unanswered(host, session);
    link::send(daemon, fx, host, Message::Abort(session));
    if is_standalone_read(daemon, session) {
        request::finish(daemon, now, fx, session, "timeout");
        let fault = Fault::new(Code::Timeout, "the host did not answer in time");
        return session::answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
    }
    fail(daemon, now, fx, session, "the host did not answer in time");
}

/// Fails a statement that a host may have run.
fn fail(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    reason: &'static str,
) {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = state.request.as_ref() else {
        return;
    };
    let commit = request.query.statement == Statement::Commit;
    let line = Line::failure("host lost").with("request", &request.query.id);
    fx.log(line.with("stage", format_args!("{:?}", request.stage)).with("reason", reason));
    let in_doubt = match &state.transaction {
        Transaction::Open(open) => commit && open.wrote,
        _ => request.access == Access::Write,
    };
    let fault = if in_doubt {
        Fault::new(Code::OutcomeUnknown, reason)
    } else {
        Fault::new(Code::TransactionLost, reason).retry_after(NO_HOST_RETRY_AFTER)
    };
    if matches!(state.transaction, Transaction::Open(_)) {
        state.transaction = if commit { Transaction::None } else { Transaction::Failed };
    }
    request::finish(daemon, now, fx, session, if in_doubt { "in doubt" } else { "lost" });
    session::answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
}

/// Fails the transactions that were open and idle at a host whose stream was lost.
pub fn on_transactions_lost(daemon: &mut Daemon, now: Now, fx: &mut Effects, host: &id::Daemon) {
    let open = daemon.sessions.iter().filter(|(_, state)| {
        let there = matches!(&state.transaction, Transaction::Open(open)
            if open.host.as_ref() == Some(host));
        there && state.request.is_none()
    });
    let open: Vec<_> = open.map(|(session, _)| *session).collect();
    for session in open {
        session::fail_transaction(daemon, now, fx, session, "the host was lost");
    }
}

/// Ends a session's statement and transaction at a host.
pub fn abort(daemon: &mut Daemon, fx: &mut Effects, session: id::Session, host: &id::Daemon) {
    daemon.link.clear_unanswered(host, session);
    link::send(daemon, fx, host, Message::Abort(session));
}
