//! Messages of the release before, which lack the fields at the end, and the reverse: a rolling
//! upgrade must not make daemons of two releases deaf to each other.

use compact_str::CompactString;
use gcl_core::{batch::Status, id, mark::Mark};
use gcl_direct::{
    balance::Load,
    caller::Reply,
    config::{Config, Database, Workspace},
    connection::Values,
    discovery::{Host, Update},
    evacuation,
    gossip::{Announcement, Digest, Echo, Reachability, Summary},
    home::Location,
    lease::Acknowledgement,
    link::{Answer, Begin, Run},
    statement::{Access, Prepared, Query, Statement},
    urgency::Urgency,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{sync::Arc, time::Duration};

/// [`Run`] as of commit 60e966c.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldRun {
    session: id::Session,
    serial: u64,
    begin: Option<Begin>,
    values: Values,
    prepared: Option<(CompactString, Prepared)>,
    query: Query,
    remaining: Duration,
}

/// [`Update`] as of commit 60e966c.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldUpdate {
    config: Option<Arc<Config>>,
    locations: Option<Vec<Location>>,
    hosts: Option<Vec<Host>>,
}

/// [`Digest`] as of commit 60e966c.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldDigest {
    from: id::Daemon,
    address: CompactString,
    incarnation: id::Incarnation,
    sent: Duration,
    echo: Option<Echo>,
    loan: Option<Duration>,
    ready: bool,
    needs_loan: bool,
    demands: Vec<(id::Workspace, f32, f32)>,
    acknowledged: Vec<(id::Database, Acknowledgement)>,
    intentions: Vec<Announcement>,
    suspects_primary: bool,
    primaries: Vec<Reachability>,
    config: u64,
    summaries: Vec<Summary>,
    evacuations: Option<evacuation::Notice>,
}

/// [`Answer`] as of commit 60e966c.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldAnswer {
    session: id::Session,
    serial: u64,
    replies: Vec<Reply>,
    status: Status,
    mark: Option<Mark>,
    floor: Option<Mark>,
}

fn recode<T: DeserializeOwned>(message: &impl Serialize) -> T {
    let bytes = postcard::to_allocvec(message).expect("the message can be encoded");
    postcard::from_bytes(&bytes).expect("the other release reads it")
}

fn query() -> Query {
    let statement = Statement::Data(Access::Read);
    Query { id: "q".into(), statement, text: "READ 1".into() }
}

fn run(urgency: Option<Urgency>) -> Run {
    Run {
        session: 4,
        serial: 9,
        begin: None,
        values: Values::new(),
        prepared: None,
        query: query(),
        remaining: Duration::from_millis(900),
        urgency,
    }
}

fn old_run() -> OldRun {
    let Run { session, serial, begin, values, prepared, query, remaining, .. } = run(None);
    OldRun { session, serial, begin, values, prepared, query, remaining }
}

#[test]
fn a_statement_of_the_release_before_has_no_urgency() {
    assert_eq!(recode::<Run>(&old_run()), run(None));
}

#[test]
fn the_release_before_reads_a_statement_with_an_urgency() {
    let run = run(Some(Urgency { route: 1, workspace: 2 }));
    assert_eq!(recode::<OldRun>(&run), old_run());
    assert_eq!(recode::<Run>(&run), run);
}

fn config() -> Config {
    let mut config = Config { version: 3, ..Config::default() };
    config.workspaces.insert("a".into(), Workspace { priority: 2, ..Workspace::default() });
    config.workspaces.insert("b".into(), Workspace::default());
    let database = Database { connections: 20, cold_rate: 0.0, synchronous_replicas: 1 };
    config.databases.insert("orders".into(), database);
    config.databases.insert("hire".into(), Database { synchronous_replicas: 0, ..database });
    config
}

/// [`Update`] as of commit d350943.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct UpdateOfD350943 {
    config: Option<Arc<Config>>,
    locations: Option<Vec<Location>>,
    hosts: Option<Vec<Host>>,
    priorities: Vec<(id::Workspace, u32)>,
}

#[test]
fn synchronous_replicas_travel_beside_the_configuration() {
    let update = Update::with_config(Some(Arc::new(config())));
    assert_eq!(update.synchronous, [("orders".into(), 1)]);
    let old = recode::<UpdateOfD350943>(&update);
    assert_eq!(old.priorities, [("a".into(), 2)]);
    assert_eq!(old.config.as_ref().expect("the configuration is read").databases.len(), 2);
    let mut from_old = recode::<Update>(&old);
    assert_eq!(from_old.priorities, [("a".into(), 2)]);
    let config = from_old.take_config().expect("the configuration is read");
    assert!(config.databases.values().all(|database| database.synchronous_replicas == 0));
}

#[test]
fn priorities_of_workspaces_travel_beside_the_configuration() {
    let update = Update::with_config(Some(Arc::new(config())));
    assert_eq!(update.priorities, [("a".into(), 2)]);
    let old = recode::<OldUpdate>(&update);
    assert_eq!(old.config.expect("the configuration is read").workspaces.len(), 2);
    let mut new = recode::<Update>(&update);
    assert_eq!(new.take_config().as_deref(), Some(&config()));
}

#[test]
fn a_configuration_of_the_release_before_has_equal_priorities() {
    let config = Some(Arc::new(config()));
    let mut update = recode::<Update>(&OldUpdate { config, locations: None, hosts: None });
    let config = update.take_config().expect("the configuration is read");
    assert!(config.workspaces.values().all(|workspace| workspace.priority == 0));
}

#[test]
fn digests_of_both_releases_are_read() {
    let digest = Digest {
        from: "d1".into(),
        config: 3,
        primaries: vec![Reachability { server: "a".into(), reachable: true, mark: None }],
        encoding: 1,
        compact_demands: vec![(4, 30, 75)],
        started: vec![("a".into(), 1_790_000_000_000)],
        ..Digest::default()
    };
    assert_eq!(recode::<Digest>(&digest), digest);
    let old = recode::<OldDigest>(&digest);
    assert_eq!((old.from.as_str(), old.primaries.len()), ("d1", 1));
    let from_old =
        Digest { encoding: 0, compact_demands: Vec::new(), started: Vec::new(), ..digest };
    assert_eq!(recode::<Digest>(&old), from_old);
}

fn answer(load: Option<Load>) -> Answer {
    let floor = Some(Mark { term: 2, position: 7 });
    let replies = vec![Reply::Complete(None)];
    Answer { session: 4, serial: 9, replies, status: Status::Idle, mark: None, floor, load }
}

fn old_answer() -> OldAnswer {
    let Answer { session, serial, replies, status, mark, floor, .. } = answer(None);
    OldAnswer { session, serial, replies, status, mark, floor }
}

#[test]
fn an_answer_of_the_release_before_reports_no_load() {
    assert_eq!(recode::<Answer>(&old_answer()), answer(None));
}

#[test]
fn the_release_before_reads_an_answer_with_a_load() {
    let answer = answer(Some(Load { wait_ms: 300, queued: 12, on_primary: true }));
    assert_eq!(recode::<OldAnswer>(&answer), old_answer());
    assert_eq!(recode::<Answer>(&answer), answer);
}
