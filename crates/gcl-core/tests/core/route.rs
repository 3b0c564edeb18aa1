//! Tests of `gcl_core::route`.

use crate::fixture::{at, daemon, objects};
use gcl_core::{
    batch::Batch,
    code::{Code, Result},
    config::{
        Message,
        document::Document,
        object::Object,
        snapshot::{GUARD, Snapshot, store_key},
        transition,
    },
    event::Event,
    operation::{
        api::{Apply, Delete, Item},
        plan::{self, Plan},
    },
    peer,
    reduce::reduce,
    route,
    run::{Access, Run, Scope},
    state::State,
    store::{Change, Entry},
};
use proptest::{
    prelude::{Just, ProptestConfig, Strategy, prop_assert, prop_assert_eq, prop_oneof, proptest},
    test_runner::RngSeed,
};
use std::{collections::BTreeSet, time::Duration};
use test_case::test_case;

fn object(text: &str) -> Object {
    serde_json::from_str(text).expect("the object has the right fields")
}

fn snapshot(extra: &[&str]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let all = objects().into_iter().chain(extra.iter().map(|text| object(text)));
    for (revision, object) in (1..).zip(all) {
        snapshot.put(revision, object);
    }
    snapshot.revision = 100;
    snapshot.rebuild_indexes();
    snapshot
}

const SECOND: &str = r#"{"kind":"database","name":"orders-2","service":"orders-db"}"#;

#[test_case("altyn", "orders-db", None)]
#[test_case("altyn", "nothing", Some(Code::UnknownService))]
#[test_case("nobody", "orders-db", Some(Code::NoRule); "a closed rule needs a workspace")]
fn resolves_destinations(workspace: &str, service: &str, code: Option<Code>) {
    let result = route::resolve(&snapshot(&[]), workspace, service, "k");
    assert_eq!(result.err().map(|fault| fault.code), code);
}

#[test]
fn an_open_rule_admits_anybody() {
    let rule = r#"{"kind":"rule","name":"stock","service":"orders-db","open":true,"priority":-1}"#;
    let snapshot = snapshot(&[rule]);
    assert!(
        route::resolve(&snapshot, "", "orders-db", "k").is_ok_and(|destination| destination.open)
    );
    assert!(route::admits_without_key(&snapshot, "", "orders-db"));
    assert!(
        !route::admits_without_key(&snapshot, "altyn", "orders-db"),
        "a closed rule goes first"
    );
}

#[test]
fn rules_are_tried_by_priority_and_labels() {
    let snapshot = snapshot(&[
        r#"{"kind":"database","name":"orders-2","service":"orders-db","labels":{"desk":"dala"}}"#,
        r#"{"kind":"workspace","name":"dala","rate":1,"burst":1,"labels":{"desk":"dala"}}"#,
        r#"{"kind":"rule","name":"dala","service":"orders-db","priority":5,
            "workspaces":"desk=dala","databases":"desk=dala"}"#,
    ]);
    for key in 0..50 {
        let destination = route::resolve(&snapshot, "dala", "orders-db", &key.to_string());
        assert_eq!(destination.map(|destination| destination.database), Ok("orders-2".into()));
    }
    let destination =
        route::resolve(&snapshot, "altyn", "orders-db", "k").expect("the other rule admits");
    assert_eq!(destination.rule, "orders");
}

#[test]
fn a_closing_rule_accepts_writes_of_keys_that_stay() {
    let closing = r#"{"kind":"rule","name":"orders","service":"orders-db","databases":"",
        "phase":"closing","next":"!gone"}"#;
    let snapshot = snapshot(&[
        r#"{"kind":"database","name":"orders-2","service":"orders-db","labels":{"gone":"yes"}}"#,
        closing,
    ]);
    let destinations = (0..100).map(|key| {
        route::resolve(&snapshot, "altyn", "orders-db", &key.to_string())
            .expect("a rule admits the request")
    });
    let (stay, move_away): (Vec<_>, Vec<_>) =
        destinations.partition(|destination| destination.writable);
    assert!(stay.iter().all(|destination| destination.database == "orders-1") && !stay.is_empty());
    assert!(
        move_away.iter().all(|destination| destination.database == "orders-2")
            && !move_away.is_empty()
    );
    let refused = route::check_writable(&move_away[0]).map_err(|fault| fault.code);
    assert_eq!(refused, Err(Code::RouteClosed));
}

fn run(database: &str, revision: u64) -> Run {
    Run {
        request: 1,
        attempt: 1,
        workspace: "altyn".into(),
        database: database.into(),
        server: "s".into(),
        revision,
        access: Access::Write,
        scope: Scope::Single,
        ends: false,
        variables: Vec::new(),
        batch: Batch::Simple(String::new()),
        idempotency: None,
        repeatable: false,
        budget: Duration::from_secs(1),
    }
}

#[test]
fn a_home_runs_only_requests_routed_at_its_own_revision() {
    let snapshot = snapshot(&[SECOND]);
    let destination =
        route::resolve(&snapshot, "altyn", "orders-db", "k").expect("a rule admits the request");
    let check = |run: &Run| route::check_placement(&snapshot, run).map_err(|fault| fault.code);
    assert_eq!(check(&run(&destination.database, destination.revision)), Ok(()));
    assert_eq!(
        check(&run(&destination.database, destination.revision - 1)),
        Err(Code::RevisionMismatch)
    );
    assert_eq!(
        check(&run(&destination.database, destination.revision + 1)),
        Err(Code::RevisionMismatch)
    );
    assert_eq!(check(&run("unknown", destination.revision)), Err(Code::RevisionMismatch));
}

/// The daemon at which an operator's changes are planned, with the history of its configuration.
struct Planner {
    state: State,
    /// All accepted configurations, with the time at which each was accepted.
    list: Vec<(u64, Snapshot)>,
    log: Vec<Change>,
    now_ms: u64,
}

impl Planner {
    fn new() -> Self {
        let mut planner =
            Self { state: daemon("d1"), list: Vec::new(), log: Vec::new(), now_ms: 1000 };
        let names = ["a", "b", "c"];
        let databases = names.map(|name| {
            object(&format!(
                r#"{{"kind":"database","name":"{name}","service":"s","labels":{{"n":"{name}"}}}}"#
            ))
        });
        let others = [
            r#"{"kind":"service","name":"s"}"#,
            r#"{"kind":"workspace","name":"w","rate":1,"burst":1,"offline_ms":2000}"#,
            r#"{"kind":"rule","name":"r1","service":"s","databases":"n=a"}"#,
        ];
        let all = others.into_iter().map(object).chain(databases);
        let steps = all.map(|object| plan::Step { object, removed: false, expected: 0 });
        planner.accept(steps.collect());
        planner
    }

    /// Puts the steps into effect, each at a revision of its own.
    fn accept(&mut self, steps: Vec<plan::Step>) {
        for step in steps {
            let from = self.state.config.snapshot.revision;
            let revision = from + 1;
            let document = Document { removed: step.removed, ..Document::new(step.object) };
            let key = store_key(&document.object);
            let put = |key, value| Change::Put(Entry { key, value, revision, lease: 0 });
            let changes = vec![put(GUARD.into(), "".into()), put(key, document.encode())];
            self.log.extend(changes.clone());
            self.receive(from, revision, changes);
            self.list.push((self.now_ms, self.state.config.snapshot.clone()));
        }
    }

    fn receive(&mut self, from: u64, revision: u64, changes: Vec<Change>) {
        let message = peer::Message::Config(Message::Push { from, revision, changes });
        let event = peer::Event::Received { from: "d2".into(), incarnation: 1, message };
        reduce(&mut self.state, at(self.now_ms), Event::Peer(event));
        assert_eq!(self.state.config.snapshot.revision, revision);
    }

    /// Replaces the daemon by a new one that receives all changes at once.
    fn restart(&mut self) {
        let revision = self.state.config.snapshot.revision;
        self.state = daemon("d1");
        self.receive(0, revision, self.log.clone());
    }

    fn attempt(&mut self, plan: Result<Plan>) -> Result<()> {
        let plan = plan?;
        plan::check(&self.state, at(self.now_ms), &plan)?;
        self.accept(plan.steps);
        Ok(())
    }

    fn apply(&mut self, texts: &[String]) -> Result<()> {
        let objects = texts.iter().map(|text| Item { object: object(text), revision: None });
        let body = Apply { change: "c".into(), objects: objects.collect() };
        let plan = plan::apply(&self.state.config.snapshot, body);
        self.attempt(plan)
    }

    fn delete(&mut self, selector: &str) -> Result<()> {
        let body = Delete { change: "c".into(), kind: "rule".into(), selector: selector.into() };
        let plan = plan::delete(&self.state.config.snapshot, body);
        self.attempt(plan)
    }

    /// The configurations that some daemon may still be using to run a write.
    fn snapshots_in_use(&self) -> Vec<&Snapshot> {
        let bounds = &self.state.settings.bounds;
        let window = bounds.freshness_ms + bounds.request_ms + 2000;
        let replaced = self.list.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
        let pairs = self.list.iter().zip(replaced);
        let snapshots_in_use =
            pairs.filter(|(_, replaced)| replaced.saturating_add(window) > self.now_ms);
        snapshots_in_use.map(|((_, snapshot), _)| snapshot).collect()
    }

    /// Checks that under any mix of the configurations in use a key is written to at most one
    /// database.
    fn check(&self) {
        for key in 0..20 {
            let key = key.to_string();
            let destinations = self.snapshots_in_use().into_iter().filter_map(|snapshot| {
                let destination = route::resolve(snapshot, "w", "s", &key).ok()?;
                destination.writable.then_some(destination.database)
            });
            let destinations: BTreeSet<_> = destinations.collect();
            assert!(destinations.len() <= 1, "key {key} at {} in {destinations:?}", self.now_ms);
        }
    }
}

fn rule(name: &str, databases: &str, next: Option<&str>, priority: i32) -> String {
    let phase = next.map_or(String::new(), |next| format!(r#","phase":"closing","next":"{next}""#));
    let workspaces = if name == "r3" { "shut=yes" } else { "!shut" };
    format!(
        r#"{{"kind":"rule","name":"{name}","service":"s","databases":"{databases}",
        "workspaces":"{workspaces}","priority":{priority},"labels":{{"name":"{name}"}}{phase}}}"#
    )
}

#[test]
fn a_move_takes_two_steps_and_the_settling_time() {
    let mut planner = Planner::new();
    let code = |result: Result<()>| result.map_err(|fault| (fault.code, fault.retry_after));
    let open = [rule("r1", "n=b", None, 0)];
    assert_eq!(code(planner.apply(&open)), Err((Code::RouteClosed, None)));
    planner.apply(&[rule("r1", "n=a", Some("n=b"), 0)]).expect("closing moves no key");
    let bound = transition::settling_time(&planner.state);
    assert_eq!(code(planner.apply(&open)), Err((Code::RouteClosed, Some(bound))));
    planner.now_ms += 1000;
    let left = bound.saturating_sub(Duration::from_secs(1));
    assert_eq!(code(planner.apply(&open)), Err((Code::RouteClosed, Some(left))));
    let other = [rule("r1", "n=c", None, 0)];
    assert_eq!(code(planner.apply(&other)), Err((Code::RouteClosed, None)));
    planner.now_ms += u64::try_from(left.as_millis()).expect("the time is short");
    planner.apply(&open).expect("the old database has been closed for long enough");
    planner.check();
}

#[test]
fn a_move_in_one_request_is_refused() {
    let mut planner = Planner::new();
    planner.apply(&[rule("r1", "n=a", None, 0)]).expect("the change of labels moves no key");
    planner.now_ms += 100_000;
    let code = |result: Result<()>| result.map_err(|fault| fault.code);
    let both = [rule("r1", "n=a", Some("n=b"), 0), rule("r1", "n=b", None, 0)];
    assert_eq!(code(planner.apply(&both)), Err(Code::BadObject), "the rule occurs twice");
    let both = [rule("r1", "n=a", Some(""), 0), rule("r2", "n=b", None, 1)];
    assert_eq!(code(planner.apply(&both)), Err(Code::RouteClosed));
    let both = [workspace("yes"), rule("r3", "n=b", None, 0)];
    assert_eq!(code(planner.apply(&both)), Err(Code::RouteClosed));
}

fn workspace(shut: &str) -> String {
    let labels = if shut.is_empty() { String::new() } else { format!(r#""shut":"{shut}""#) };
    format!(
        r#"{{"kind":"workspace","name":"w","rate":1,"burst":1,"offline_ms":2000,
        "labels":{{{labels}}}}}"#
    )
}

#[test]
fn a_relabelled_workspace_waits_before_it_is_written_to_another_database() {
    let mut planner = Planner::new();
    planner.apply(&[rule("r1", "n=a", None, 0)]).expect("the change of labels moves no key");
    planner.apply(&[rule("r3", "n=b", None, 0)]).expect("no workspace matches it yet");
    planner.now_ms += 100_000;
    let code = |result: Result<()>| result.map_err(|fault| fault.code);
    assert_eq!(code(planner.apply(&[workspace("yes")])), Err(Code::RouteClosed));
    planner.apply(&[workspace("no")]).expect("no rule admits the workspace any more");
    planner.now_ms += 5000;
    assert_eq!(code(planner.apply(&[workspace("yes")])), Err(Code::RouteClosed));
    planner.now_ms += 100_000;
    planner.apply(&[workspace("yes")]).expect("the workspace had no rule for long enough");
    planner.check();
}

/// A step of a generated history.
#[derive(Clone, Debug)]
enum Action {
    Wait(u64),
    Put(Vec<String>),
    Delete(&'static str),
    Restart,
}

fn action() -> impl Strategy<Value = Action> {
    let set = || prop_oneof![Just("n=a"), Just("n=b"), Just("n in (a,b)"), Just("n"), Just("")];
    let next = proptest::option::of(set());
    let rules = (prop_oneof![Just("r1"), Just("r2"), Just("r3")], set(), next, 0..2_i32)
        .prop_map(|(name, databases, next, priority)| rule(name, databases, next, priority));
    let labels = prop_oneof![Just(""), Just("yes"), Just("no")].prop_map(workspace);
    let database = (prop_oneof![Just("c"), Just("d")], prop_oneof![Just("a"), Just("c")]).prop_map(
        |(name, label)| {
            format!(
                r#"{{"kind":"database","name":"{name}","service":"s","labels":{{"n":"{label}"}}}}"#
            )
        },
    );
    let object = prop_oneof![6 => rules, 2 => labels, 1 => database];
    prop_oneof![
        3 => prop_oneof![0..3000_u64, 15_000..25_000_u64].prop_map(Action::Wait),
        6 => proptest::collection::vec(object, 1..3).prop_map(Action::Put),
        1 => prop_oneof![Just("name=r1"), Just("name=r2")].prop_map(Action::Delete),
        1 => Just(Action::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 250, rng_seed: RngSeed::Fixed(11), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_key_is_written_in_two_databases(
        actions in proptest::collection::vec(action(), 1..60),
    ) {
        let mut planner = Planner::new();
        for action in actions {
            match action {
                Action::Wait(ms) => planner.now_ms += ms,
                Action::Put(texts) => drop(planner.apply(&texts)),
                Action::Delete(selector) => drop(planner.delete(selector)),
                Action::Restart => planner.restart(),
            }
            planner.check();
        }
        // A home that accepts a request routes it to the same destination as its entry did,
        // whatever revision either of them holds.
        for (_, entry) in &planner.list {
            let Ok(destination) = route::resolve(entry, "w", "s", "k") else { continue };
            let request =
                Run { workspace: "w".into(), ..run(&destination.database, destination.revision) };
            for (_, home) in &planner.list {
                if route::check_placement(home, &request).is_ok() {
                    let here =
                        route::resolve(home, "w", "s", "k").expect("a rule admits the request");
                    prop_assert_eq!(
                        (here.database, here.writable),
                        (destination.database.clone(), destination.writable)
                    );
                }
            }
        }
        prop_assert!(!planner.list.is_empty());
    }
}
