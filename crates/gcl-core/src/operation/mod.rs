//! Operators' requests: they read and change the configuration, and read the daemon's state.

pub mod access;
pub mod api;
mod execution;
pub mod plan;
mod primary;
mod view;
mod wait;

pub use execution::on_announced;

use self::{
    api::{Apply, Delete, Issue, Label, Outcome, Report, Status},
    execution::Execution,
    plan::Plan,
    wait::Waiter,
};
use crate::{
    code::{Code, Fault, Result},
    config::object::Role,
    effect::Effects,
    id,
    operator::{Method, Request, Response},
    record::{self, Line},
    state::State as Daemon,
    store,
    time::Now,
};
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use serde::Serialize;

/// Most operations under way at once.
const MAX_OPERATIONS: usize = 64;
/// Roles that may read: all of them.
const READERS: &[Role] = &[Role::Read, Role::Change, Role::Keys];

/// Operations that are waiting for the store or for other daemons.
#[derive(Clone, Debug, Default)]
pub struct State {
    executions: IndexMap<id::Operation, Execution>,
    waiters: IndexMap<id::Operation, Waiter>,
}

/// Handles an operator's request; the answer is sent by [`Effects::answer`].
pub fn on_request(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    request: &Request,
) {
    let result = match request.method {
        Method::Get => on_get(daemon, now, fx, operation, request),
        Method::Post => on_post(daemon, now, fx, operation, request),
    };
    match result {
        Ok(Some(body)) => fx.answer(operation, Response::Json(body)),
        Ok(None) => {}
        Err(fault) => {
            record_refusal(fx, request, &fault);
            fx.answer(operation, Response::Error(fault));
        }
    }
}

fn on_get(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    request: &Request,
) -> Result<Option<String>> {
    access::authorize(daemon, &request.token, READERS)?;
    let selector = parameter(request, "selector");
    match request.path.as_str() {
        "status" => view::status(daemon, now, selector).map(|body| Some(json(&body))),
        "history" => Ok(Some(json(&view::history(daemon)))),
        "config/wait" => wait::start(daemon, now, fx, operation, request).map(|()| None),
        path => match path.strip_prefix("get/") {
            Some(kind) => view::list(daemon, kind, selector).map(|body| Some(json(&body))),
            None => Err(unknown_path(path)),
        },
    }
}

fn on_post(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    request: &Request,
) -> Result<Option<String>> {
    // Rejects unauthorized requests before the body is parsed.
    access::authorize(daemon, &request.token, READERS)?;
    if request.path == "primary/move" {
        return primary::start(daemon, now, fx, request).map(|moves| Some(json(&moves)));
    }
    let snapshot = &daemon.config.snapshot;
    let body = &request.body;
    let plan = match request.path.as_str() {
        "apply" | "diff" => plan::apply(snapshot, plan::parse_body::<Apply>(body)?)?,
        "label" => plan::label(snapshot, plan::parse_body::<Label>(body)?)?,
        "delete" => plan::delete(snapshot, plan::parse_body::<Delete>(body)?)?,
        "key/issue" => plan::issue(snapshot, plan::parse_body::<Issue>(body)?)?,
        "key/withdraw" => plan::withdraw(snapshot, plan::parse_body::<Delete>(body)?)?,
        path => return Err(unknown_path(path)),
    };
    let dry = request.path == "diff" || parameter(request, "dry_run") == "true";
    if dry {
        return Ok(Some(json(&preview(daemon, now, plan))));
    }
    let operator = access::authorize(daemon, &request.token, plan.roles())?;
    if daemon.operation.executions.len() >= MAX_OPERATIONS {
        return Err(Fault::new(Code::TooManyConnections, "too many operations are under way"));
    }
    plan::check(daemon, now, &plan)?;
    execution::start(daemon, now, fx, operation, operator, plan);
    Ok(None)
}

fn preview(daemon: &Daemon, now: Now, plan: Plan) -> Report {
    let before = &daemon.config.snapshot;
    let mut after = before.clone();
    plan.steps.iter().for_each(|step| plan::apply_step(&mut after, step));
    after.rebuild_indexes();
    let refusal = plan::check(daemon, now, &plan).err();
    let results = plan.steps.into_iter().map(|step| {
        let key = crate::config::snapshot::store_key(&step.object);
        let theirs = before.object(&key).map(|held| held.value);
        let ours = (!step.removed).then_some(step.object);
        Outcome { key, status: Status::Planned, revision: step.expected, code: None, ours, theirs }
    });
    Report {
        change: plan.change,
        results: results.collect(),
        moved: plan::sample_relocations(before, &after),
        refusal,
    }
}

fn unknown_path(path: &str) -> Fault {
    Fault::new(Code::NotFound, format_compact!("no operation is called '{path}'"))
}

/// The value of a query parameter, empty if it is missing.
fn parameter<'a>(request: &'a Request, name: &str) -> &'a str {
    let found = request.query.iter().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value.as_str())
}

fn json(body: &impl Serialize) -> String {
    serde_json::to_string(body).expect("answers are plain data with text keys")
}

fn record_refusal(fx: &mut Effects, request: &Request, fault: &Fault) {
    fx.record(Line {
        code: Some(fault.code),
        reason: format_compact!("{}: {}", request.path, fault.detail),
        ..Line::new(record::Kind::Operation)
    });
}

/// Records the outcome of each object's change.
fn record_outcomes(fx: &mut Effects, operator: &CompactString, report: &Report) {
    for done in &report.results {
        let reason = format_compact!(
            "{operator} change '{}': {} {:?}",
            report.change,
            done.key,
            done.status
        );
        let revision = Some(done.revision);
        fx.record(Line { revision, reason, ..Line::new(record::Kind::Operation) });
    }
}

/// Handles an event of the store; returns whether it belonged to this module.
pub fn on_store(daemon: &mut Daemon, now: Now, fx: &mut Effects, event: &store::Event) -> bool {
    execution::on_store(daemon, now, fx, event)
}

/// Handles the timer of a pending operation.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, operation: id::Operation) {
    execution::on_timer(daemon, now, fx, operation);
    wait::on_timer(daemon, now, fx, operation);
}
