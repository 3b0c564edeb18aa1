//! Measurements of reads for the detection of outliers ([`crate::outlier`]), and reads that are
//! placed on other servers.

use crate::{
    effect::Effects,
    line::Line,
    outlier::{self, Change, Comparison, Sample},
    placement::{self, Candidate, Need, REMOTE_PATH},
    pool,
    session::Transaction,
    state::State as Daemon,
    statement::Access,
};
use gcl_core::{id, time::Now};
use std::time::Duration;

/// Records how long a session's read took that was sent to a server at `sent`, or that it failed
/// there. Statements for the primary and in transactions are not compared.
pub fn observe(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    (server, sent): (&id::Server, Duration),
    failed: bool,
) {
    let state = daemon.sessions.get(&session);
    let request = state.and_then(|state| Some((state, state.request.as_ref()?)));
    let Some((state, request)) = request else {
        return;
    };
    let Some(entry) = daemon.directory.get(server) else {
        return;
    };
    let alone = matches!(state.transaction, Transaction::None);
    if request.need != Need::Recent || request.access != Access::Read || !alone {
        return;
    }
    let is_remote = daemon.settings.distance(&entry.domain) > 1;
    let path = if is_remote { REMOTE_PATH } else { Duration::ZERO };
    // With more statements than slots the time includes the server's queue.
    let waited = pool::running_count(daemon, server) >= entry.slots.max(1);
    let took = (!failed && !waited).then(|| now.since(sent));
    let sample = Sample { kind: request.route.rule.clone(), took, path, failed };
    let database = request.route.database.clone();
    let change = daemon.outlier.record(now.mono, (&database, server), &sample);
    let (line, comparison) = match change {
        Some(Change::Found(cause, comparison)) => {
            fx.count("gcl_outliers", server);
            let line = Line::state_change("server is an outlier");
            (line.with("cause", format_args!("{cause:?}")), comparison)
        }
        Some(Change::Recovered(comparison)) => {
            (Line::state_change("server is no outlier any more"), comparison)
        }
        None => return,
    };
    fx.log(explain(line.with("server", server).with("database", &database), &comparison));
}

fn explain(line: Line, comparison: &Comparison) -> Line {
    let line = line.with("ratio", format_args!("{:.1}", comparison.ratio));
    let line = line.with("excess", format_args!("{:.2}", comparison.excess));
    line.millis("others_age", comparison.age)
}

/// Chooses a server for a read, mostly without outliers. The primary does not stand in for an
/// outlier without another replica: its reads would take the slots of statements that only the
/// primary can run.
#[must_use]
pub fn choose<'a>(
    daemon: &Daemon,
    now: Now,
    fx: &mut Effects,
    (database, request): (&id::Database, &str),
    candidates: &[Candidate<'a>],
    [random, drawn]: [u64; 2],
) -> Option<&'a id::Server> {
    let usual = placement::choose(Need::Recent, candidates, random);
    let share = |it: &Candidate<'_>| daemon.outlier.share(now.mono, database, it.server);
    let (primaries, replicas): (Vec<_>, Vec<_>) =
        candidates.iter().copied().partition(|it| it.is_primary);
    let shares: Vec<_> = replicas.iter().map(share).collect();
    if shares.iter().all(|share| *share >= 1.0) {
        return usual;
    }
    let admitted = outlier::admitted(&shares, drawn);
    let admitted = replicas.iter().zip(admitted).filter_map(|(it, yes)| yes.then_some(*it));
    let mut admitted: Vec<_> = admitted.collect();
    if admitted.iter().any(|it| share(it) >= 1.0) {
        admitted.extend(primaries);
    }
    let chosen = placement::choose(Need::Recent, &admitted, random);
    let is_outlier = |server: &id::Server| daemon.outlier.share(now.mono, database, server) < 1.0;
    let avoided = usual.filter(|it| chosen != Some(*it) && is_outlier(it));
    let (Some(avoided), Some(server)) = (avoided, chosen) else {
        return chosen.or(usual);
    };
    if let Some((cause, comparison, age)) = daemon.outlier.explain(now.mono, database, avoided) {
        let line = Line::routine("steered away from a server").with("request", request);
        let line = line.with("avoided", avoided).with("server", server);
        let line = line.with("cause", format_args!("{cause:?}")).millis("age", age);
        fx.log(explain(line, &comparison));
        fx.count("gcl_reads_steered", avoided);
    }
    Some(server)
}
