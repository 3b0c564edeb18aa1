//! Plans an operator's request as changes of single objects, checked before any is sent.

use super::api::{Apply, Delete, Issue, Item, Label, Relocation};
use crate::{
    code::{Code, Fault, Result},
    config::{
        object::{Object, Role},
        selector::Selector,
        snapshot::{Snapshot, Versioned, kind_and_name, labels, labels_mut, store_key},
        transition::{self, Series},
        validate,
    },
    id, route,
    state::State as Daemon,
    time::Now,
};
use compact_str::{CompactString, format_compact};
use indexmap::IndexSet;
use std::cmp::Reverse;

/// Most objects of one request.
pub const MAX_OBJECTS: usize = 256;
/// Route keys sampled for each service and workspace.
const SAMPLES_PER_PAIR: u32 = 256;
/// Most pairs of a service and a workspace that are sampled.
const MAX_SAMPLED_PAIRS: usize = 4096;
/// Kinds in the order in which objects are put in force; they are removed in the reverse order.
const KINDS: [&str; 8] =
    ["domain", "service", "database", "server", "workspace", "rule", "key", "token"];

/// The change of one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The new version of the object, or the last one if it is removed.
    pub object: Object,
    /// Whether the object is removed.
    pub removed: bool,
    /// Expected revision of the object's last change, zero for none.
    pub expected: id::Revision,
}

impl Step {
    /// Whether it may move route keys.
    #[must_use]
    pub const fn guarded(&self) -> bool {
        matches!(
            self.object,
            Object::Service(_) | Object::Database(_) | Object::Rule(_) | Object::Workspace(_)
        )
    }
}

/// The changes of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Name of the change.
    pub change: CompactString,
    /// The steps in order.
    pub steps: Vec<Step>,
    /// Store keys of objects that are already as requested.
    pub unchanged: Vec<CompactString>,
}

impl Plan {
    /// The roles of which the operator's token needs one.
    #[must_use]
    pub fn roles(&self) -> &'static [Role] {
        let secret = |step: &Step| matches!(step.object, Object::Key(_) | Object::Token(_));
        if self.steps.iter().any(secret) { &[Role::Keys] } else { &[Role::Change] }
    }
}

/// Parses a request body.
///
/// # Errors
/// [`Code::BadObject`] with the line and column.
pub fn parse_body<T: serde::de::DeserializeOwned>(body: &str) -> Result<T> {
    serde_json::from_str(body)
        .map_err(|error| Fault::new(Code::BadObject, format_compact!("{error}")))
}

/// Parses a selector.
///
/// # Errors
/// [`Code::BadObject`] with the column.
pub fn selector(text: &str) -> Result<Selector> {
    let error = |error| Fault::new(Code::BadObject, format_compact!("selector: {error}"));
    Selector::parse(text).map_err(error)
}

/// The objects of a kind, or of all kinds, that a selector matches.
///
/// # Errors
/// [`Code::BadObject`] for an unknown kind or a selector that cannot be parsed.
pub fn select(snapshot: &Snapshot, kind: &str, text: &str) -> Result<Vec<Versioned<Object>>> {
    if kind != "all" && !KINDS.contains(&kind) {
        return Err(Fault::new(Code::BadObject, format_compact!("no kind is called '{kind}'")));
    }
    let selector = selector(text)?;
    let mut objects = snapshot.objects();
    objects.retain(|object| {
        (kind == "all" || kind_and_name(&object.value).0 == kind)
            && selector.matches(labels(&object.value))
    });
    Ok(objects)
}

/// Plans the changes of an `apply` request.
///
/// # Errors
/// [`Code::BadObject`] when there are too many objects.
pub fn apply(snapshot: &Snapshot, body: Apply) -> Result<Plan> {
    let mut plan = Plan { change: body.change, ..Plan::default() };
    for Item { object, revision } in body.objects {
        put(snapshot, &mut plan, object, revision);
    }
    finish(plan)
}

/// Plans the changes of a `label` request.
///
/// # Errors
/// [`Code::BadObject`] or [`Code::NotFound`].
pub fn label(snapshot: &Snapshot, body: Label) -> Result<Plan> {
    let mut plan = Plan { change: body.change, ..Plan::default() };
    for Versioned { revision, value: mut object } in
        select_nonempty(snapshot, &body.kind, &body.selector)?
    {
        let labels = labels_mut(&mut object);
        for label in &body.unset {
            labels.shift_remove(label);
        }
        labels.extend(body.set.clone());
        put(snapshot, &mut plan, object, Some(revision));
    }
    finish(plan)
}

/// Plans the changes of a `delete` request.
///
/// # Errors
/// [`Code::BadObject`] or [`Code::NotFound`].
pub fn delete(snapshot: &Snapshot, body: Delete) -> Result<Plan> {
    let mut plan = Plan { change: body.change, ..Plan::default() };
    for Versioned { revision, value } in select_nonempty(snapshot, &body.kind, &body.selector)? {
        plan.steps.push(Step { object: value, removed: true, expected: revision });
    }
    finish(plan)
}

/// Plans the changes of a `key/issue` request.
///
/// # Errors
/// [`Code::BadObject`].
pub fn issue(snapshot: &Snapshot, body: Issue) -> Result<Plan> {
    let mut plan = Plan { change: body.change, ..Plan::default() };
    put(snapshot, &mut plan, Object::Key(body.key), Some(0));
    finish(plan)
}

/// Plans the changes of a `key/withdraw` request.
///
/// # Errors
/// [`Code::BadObject`] or [`Code::NotFound`].
pub fn withdraw(snapshot: &Snapshot, body: Delete) -> Result<Plan> {
    let mut plan = Plan { change: body.change, ..Plan::default() };
    for Versioned { revision, value } in select_nonempty(snapshot, "key", &body.selector)? {
        if let Object::Key(mut key) = value {
            key.withdrawn = true;
            put(snapshot, &mut plan, Object::Key(key), Some(revision));
        }
    }
    finish(plan)
}

fn select_nonempty(snapshot: &Snapshot, kind: &str, text: &str) -> Result<Vec<Versioned<Object>>> {
    if text.trim().is_empty() {
        return Err(Fault::new(Code::BadObject, "the selector is empty, which would choose all"));
    }
    let chosen = select(snapshot, kind, text)?;
    if chosen.is_empty() {
        return Err(Fault::new(Code::NotFound, "the selector chooses no object"));
    }
    Ok(chosen)
}

fn put(snapshot: &Snapshot, plan: &mut Plan, object: Object, revision: Option<id::Revision>) {
    let key = store_key(&object);
    let held = snapshot.object(&key);
    if held.is_some_and(|held| held.value == object) {
        plan.unchanged.push(key);
        return;
    }
    let expected = revision.unwrap_or_else(|| snapshot.revision_of(&key));
    plan.steps.push(Step { object, removed: false, expected });
}

fn finish(mut plan: Plan) -> Result<Plan> {
    if plan.steps.len() > MAX_OBJECTS {
        return Err(Fault::new(Code::BadObject, "at most 256 objects in one request"));
    }
    if plan.change.is_empty() {
        return Err(Fault::new(Code::BadObject, "the change has no name"));
    }
    let keys: IndexSet<CompactString> =
        plan.steps.iter().map(|step| store_key(&step.object)).collect();
    if keys.len() < plan.steps.len() {
        return Err(Fault::new(Code::BadObject, "an object occurs twice in one request"));
    }
    plan.steps.sort_by_key(sort_key);
    Ok(plan)
}

/// Position of an object's kind in the order in which objects are put in force.
#[must_use]
pub fn dependency_rank(object: &Object) -> usize {
    let (kind, _) = kind_and_name(object);
    KINDS.iter().position(|known| *known == kind).unwrap_or_default()
}

/// Sort key of the steps: removals first, referring objects before the objects they refer to; then
/// the others in the opposite order. Rules go by descending priority, so that no rule takes over
/// requests that another rule of the same plan already routes.
fn sort_key(step: &Step) -> (bool, usize, Reverse<i32>) {
    let position = dependency_rank(&step.object);
    let priority = match &step.object {
        Object::Rule(rule) => rule.priority,
        _ => 0,
    };
    let position = if step.removed { KINDS.len() - position } else { position };
    (!step.removed, position, Reverse(priority))
}

/// Checks a plan: each object, the resulting references, and the route keys that each step moves.
/// Problems that the configuration has already are not reported. Returns the resulting
/// configuration.
///
/// # Errors
/// [`Code::BadObject`], [`Code::NotFound`] or [`Code::RouteClosed`].
pub fn check(daemon: &Daemon, now: Now, plan: &Plan) -> Result<Snapshot> {
    let before = &daemon.config.snapshot;
    let mut working = before.clone();
    let mut series = Series::default();
    for step in &plan.steps {
        if !step.removed
            && let Some(problem) = validate::object(&step.object).into_iter().next()
        {
            return Err(to_fault(&problem));
        }
        let from = step.guarded().then(|| working.clone());
        apply_step(&mut working, step);
        if let Some(from) = from {
            working.rebuild_indexes();
            transition::check(daemon, now, &mut series, &from, &working)?;
        }
    }
    working.rebuild_indexes();
    let known = validate::snapshot(before);
    let new = validate::snapshot(&working).into_iter().find(|problem| !known.contains(problem));
    new.map_or(Ok(working), |problem| Err(to_fault(&problem)))
}

fn to_fault(problem: &validate::Problem) -> Fault {
    let detail = format_compact!("{}: {}", problem.key, problem.fault.detail);
    Fault { detail, ..problem.fault.clone() }
}

/// Applies a step to a copy of the configuration.
pub fn apply_step(snapshot: &mut Snapshot, step: &Step) {
    let revision = snapshot.revision + 1;
    snapshot.revision = revision;
    if step.removed {
        snapshot.remove(revision, step.object.clone());
    } else {
        snapshot.put(revision, step.object.clone());
    }
}

/// Counts the sampled route keys that a change would move to another database or close.
#[must_use]
pub fn sample_relocations(from: &Snapshot, to: &Snapshot) -> Vec<Relocation> {
    let changed = to.placements.iter().filter(|(service, placement)| {
        from.placements.get(*service).map(|old| &old.routes) != Some(&placement.routes)
    });
    let pairs = changed.flat_map(|(service, _)| {
        to.workspaces.keys().map(move |workspace| sample(from, to, service, workspace))
    });
    pairs.take(MAX_SAMPLED_PAIRS).filter(|moved| moved.moved + moved.closed > 0).collect()
}

fn sample(from: &Snapshot, to: &Snapshot, service: &str, workspace: &str) -> Relocation {
    let mut result = Relocation {
        service: service.into(),
        workspace: workspace.into(),
        sampled: SAMPLES_PER_PAIR,
        moved: 0,
        closed: 0,
    };
    for number in 0..SAMPLES_PER_PAIR {
        let key = format_compact!("{number}");
        let Ok(after) = route::resolve(to, workspace, service, &key) else {
            continue;
        };
        let before = route::resolve(from, workspace, service, &key);
        result.moved += u32::from(before.is_ok_and(|before| before.database != after.database));
        result.closed += u32::from(!after.writable);
    }
    result
}
