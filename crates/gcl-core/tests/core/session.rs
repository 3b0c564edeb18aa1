//! Tests of `gcl_core::session`: one caller at one entry, with the home simulated by the test.

use crate::fixture::{at, configured};
use gcl_core::{
    batch::{Batch, Frame, Status, Step},
    caller::{self, Credential, Event as CallerEvent, Kind, Reply},
    code::{Code, Fault},
    config::object::{Key, Object, Rule},
    effect::Effect,
    event::Event,
    key,
    mark::Mark,
    peer,
    record::{Kind as RecordKind, Line},
    reduce::reduce,
    run::{Access, Answer, Leader, Outcome, Run},
    state::State,
    timer,
    token::Floor,
};
use test_case::test_case;

const SESSION: u64 = 5;
const HOME: &str = "d2";
const SECRET: &str = "correct-horse";

/// A caller's connection and the entry behind it.
struct Caller {
    state: State,
    ms: u64,
    effects: Vec<Effect>,
}

impl Caller {
    /// A connection that has sent its startup packet.
    fn starting(parameters: &[(&str, &str)]) -> Self {
        let mut state = configured("d1");
        state.settings.domain = "elsewhere".into();
        let leader = Leader { term: 1, server: "orders-1-a".into() };
        gcl_core::group::on_leader(&mut state, &"orders-1".into(), leader);
        put(&mut state, Object::Key(key(false)));
        let mut caller = Self { state, ms: 1_000, effects: Vec::new() };
        let address = "192.0.2.1:9".parse().expect("the address is well formed");
        caller.send(CallerEvent::Opened { address, encrypted: true });
        let mut all =
            vec![("user".into(), "altyn".into()), ("database".into(), "orders-db".into())];
        all.extend(parameters.iter().map(|(name, value)| ((*name).into(), (*value).into())));
        caller.send(CallerEvent::Startup(all));
        caller
    }

    /// A connection that has logged in.
    fn open() -> Self {
        Self::open_with(&[])
    }

    fn open_with(parameters: &[(&str, &str)]) -> Self {
        let mut caller = Self::starting(parameters);
        caller.send(CallerEvent::Password(Credential::new(&format!("k1.{SECRET}"))));
        assert!(caller.replies().contains(&Reply::Welcome), "{:?}", caller.effects);
        caller
    }

    fn handle(&mut self, event: Event) {
        self.ms += 1;
        self.effects = reduce(&mut self.state, at(self.ms), event);
    }

    fn send(&mut self, event: CallerEvent) {
        self.handle(Event::Caller(SESSION, event));
    }

    fn query(&mut self, sql: &str) {
        self.send(CallerEvent::Query(sql.to_owned()));
    }

    fn replies(&self) -> Vec<Reply> {
        let sent = self.effects.iter().filter_map(|effect| match effect {
            Effect::Caller(SESSION, caller::Effect::Send(replies)) => Some(replies.clone()),
            _ => None,
        });
        sent.flatten().collect()
    }

    /// The code of the error sent to the caller, and whether it was fatal.
    fn refusal(&self) -> Option<(Code, bool)> {
        self.replies().iter().find_map(|reply| match reply {
            Reply::Error { fault, fatal } => Some((fault.code, *fatal)),
            _ => None,
        })
    }

    fn run(&self) -> Option<Run> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Peer { message: peer::Message::Run(run), .. } => Some((**run).clone()),
            _ => None,
        })
    }

    fn recorded(&self, kind: RecordKind) -> Option<&Line> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Record(line) if line.kind == kind => Some(line),
            _ => None,
        })
    }

    fn complete(&mut self, run: &Run, outcome: Outcome) {
        let answer = Answer {
            request: run.request,
            attempt: run.attempt,
            server: run.server.clone(),
            outcome,
            leader: None,
        };
        let message = peer::Message::Answer(Box::new(answer));
        let received = peer::Event::Received { from: HOME.into(), incarnation: 1, message };
        self.handle(Event::Peer(received));
    }

    fn token(&self) -> Option<String> {
        self.replies().iter().rev().find_map(|reply| match reply {
            Reply::Parameter(name, value) if name == "goldcrest.session" => Some(value.to_string()),
            _ => None,
        })
    }

    fn extended(&mut self, sql: &str) {
        self.send(CallerEvent::Parse { name: "".into(), sql: sql.to_owned(), types: Vec::new() });
        self.bind("");
        self.send(CallerEvent::Execute { portal: "".into(), max_rows: 0 });
    }

    fn bind(&mut self, statement: &str) {
        self.send(CallerEvent::Bind {
            portal: "".into(),
            statement: statement.into(),
            formats: Vec::new(),
            parameters: Vec::new(),
            results: Vec::new(),
        });
    }
}

fn key(withdrawn: bool) -> Key {
    Key {
        name: "k1".into(),
        workspace: "altyn".into(),
        hash: key::hash(SECRET).into(),
        withdrawn,
        labels: gcl_core::config::object::Labels::default(),
    }
}

fn put(state: &mut State, object: Object) {
    state.config.snapshot.put(200, object);
    state.config.snapshot.rebuild_indexes();
}

fn completed(tag: u8, status: Status, mark: Option<Mark>) -> Outcome {
    let body = bytes::Bytes::from_static(b"x");
    Outcome::Done { frames: vec![Frame { tag, body }], status, mark }
}

fn ready(caller: &Caller) -> Option<Status> {
    caller.replies().last().and_then(|reply| match reply {
        Reply::Ready(status) => Some(*status),
        _ => None,
    })
}

#[test]
fn a_login_is_recorded_without_the_secret() {
    let caller = Caller::open();
    let line = caller.recorded(RecordKind::Login).expect("the login is recorded");
    assert_eq!((line.workspace.as_str(), line.key.as_str()), ("altyn", "k1"));
    assert!(!format!("{:?}", caller.effects).contains(SECRET));
    assert_eq!(ready(&caller), Some(Status::Idle));
}

#[test_case("k1.wrong", Code::WrongKey; "a wrong secret")]
#[test_case("k2.correct-horse", Code::WrongKey; "an unknown key")]
#[test_case("", Code::WrongKey; "no key")]
fn a_wrong_key_is_refused_and_ends_the_session(password: &str, code: Code) {
    let mut caller = Caller::starting(&[]);
    caller.send(CallerEvent::Password(Credential::new(password)));
    assert_eq!(caller.refusal(), Some((code, true)));
    assert_eq!(caller.recorded(RecordKind::Login).and_then(|line| line.code), Some(code));
    assert!(caller.state.session.sessions.is_empty());
    caller.query("select 1");
    assert_eq!(caller.run(), None);
}

#[test]
fn a_query_before_the_key_runs_nothing() {
    let mut caller = Caller::starting(&[]);
    caller.query("select 1");
    assert_eq!(caller.refusal(), Some((Code::Protocol, true)));
    assert_eq!(caller.run(), None);
}

#[test]
fn an_open_route_requires_no_key_while_it_is_open() {
    let open = |open| {
        let text = format!(r#"{{"name": "orders", "service": "orders-db", "open": {open}}}"#);
        Object::Rule(serde_json::from_str::<Rule>(&text).expect("the rule is well formed"))
    };
    let mut caller = Caller::starting(&[]);
    put(&mut caller.state, open(true));
    caller.send(CallerEvent::Closed);
    let address = "192.0.2.1:9".parse().expect("the address is well formed");
    caller.send(CallerEvent::Opened { address, encrypted: true });
    let parameters = vec![("user".into(), "altyn".into()), ("database".into(), "orders-db".into())];
    caller.send(CallerEvent::Startup(parameters));
    assert!(caller.replies().contains(&Reply::Welcome));
    put(&mut caller.state, open(false));
    caller.query("select 1");
    assert_eq!(caller.refusal(), Some((Code::WrongKey, false)));
    assert_eq!(caller.run(), None);
}

#[test]
fn a_stale_configuration_admits_no_key() {
    let mut caller = Caller::open();
    caller.ms += caller.state.settings.bounds.freshness_ms + 1;
    caller.query("select 1");
    assert_eq!(caller.refusal(), Some((Code::StaleConfiguration, false)));
    assert_eq!(caller.run(), None);
}

#[test]
fn a_withdrawn_key_ends_the_session_and_its_answer_is_not_delivered() {
    let mut caller = Caller::open();
    caller.query("update stock set n = 1");
    let run = caller.run().expect("the write is sent");
    put(&mut caller.state, Object::Key(key(true)));
    let mut fx = gcl_core::effect::Effects::default();
    gcl_core::session::on_config(&mut caller.state, at(caller.ms), &mut fx);
    caller.effects = fx.take();
    assert_eq!(caller.refusal(), Some((Code::KeyWithdrawn, true)));
    caller.complete(&run, completed(b'C', Status::Idle, None));
    assert_eq!(caller.replies(), Vec::new());
}

#[test]
fn batches_run_one_at_a_time_and_in_order() {
    let mut caller = Caller::open();
    caller.query("select 1");
    let first = caller.run().expect("the first query is sent");
    caller.query("select 2");
    assert_eq!(caller.run(), None, "the second query waits for the first");
    caller.complete(&first, completed(b'1', Status::Idle, None));
    let second = caller.run().expect("the second query follows");
    assert_eq!(second.batch, Batch::Simple("select 2".to_owned()));
    caller.complete(&first, completed(b'1', Status::Idle, None));
    assert_eq!(caller.replies(), Vec::new(), "a duplicate answer is not matched to a later batch");
    caller.complete(&second, completed(b'2', Status::Idle, None));
    assert_eq!(ready(&caller), Some(Status::Idle));
}

#[test_case("copy t from stdin"; "copy")]
#[test_case("listen news"; "listen")]
#[test_case("create temp table t (a int)"; "a temporary table")]
#[test_case("select pg_advisory_lock(1)"; "an advisory lock")]
#[test_case("prepare p as select 1"; "prepare in sql")]
#[test_case("declare c cursor with hold for select 1"; "a cursor with hold")]
#[test_case("select 1; begin"; "a transaction after a statement")]
#[test_case("set work_mem = 1; select 1"; "a session command among statements")]
fn unsupported_sql_is_not_run_and_the_session_stays_usable(sql: &str) {
    let mut caller = Caller::open();
    caller.query(sql);
    assert_eq!(caller.refusal(), Some((Code::NotSupported, false)));
    assert_eq!(
        caller.recorded(RecordKind::Refusal).and_then(|line| line.code),
        Some(Code::NotSupported)
    );
    assert_eq!((caller.run(), ready(&caller)), (None, Some(Status::Idle)));
    caller.query("select 1");
    assert!(caller.run().is_some());
}

#[test]
fn an_extended_batch_skips_to_its_sync_after_an_error() {
    let mut caller = Caller::open();
    caller.extended("copy t to stdout");
    caller.extended("insert into t values (1)");
    assert_eq!(caller.replies(), Vec::new());
    caller.send(CallerEvent::Sync);
    assert_eq!(caller.refusal(), Some((Code::NotSupported, false)));
    assert_eq!((caller.run(), ready(&caller)), (None, Some(Status::Idle)));
    caller.bind("missing");
    caller.send(CallerEvent::Sync);
    assert_eq!(caller.refusal(), Some((Code::UnknownStatement, false)));
}

#[test]
fn a_batch_contains_the_text_of_a_statement_prepared_earlier() {
    let mut caller = Caller::open();
    let sql = "select a from t where b = $1";
    caller.send(CallerEvent::Parse { name: "s".into(), sql: sql.to_owned(), types: vec![23] });
    caller.send(CallerEvent::Describe(Kind::Statement, "s".into()));
    caller.send(CallerEvent::Sync);
    let described = caller.run().expect("the description is requested");
    caller.complete(&described, completed(b'1', Status::Idle, None));
    caller.bind("s");
    caller.send(CallerEvent::Execute { portal: "".into(), max_rows: 0 });
    caller.send(CallerEvent::Sync);
    let run = caller.run().expect("the statement is sent");
    let Batch::Extended { statements, steps } = run.batch else { panic!("an extended batch") };
    assert_eq!(statements[0].sql, sql);
    assert!(matches!(steps[0], Step::Bind { statement: 0, .. }));
    assert_eq!(run.access, Access::Strong);
}

#[test_case(&["select 1", "update t set a = 1"], Access::Write; "with a write")]
#[test_case(&["select 1", "select 2"], Access::Strong; "reads only")]
fn the_strongest_statement_determines_the_access_of_a_batch(sqls: &[&str], access: Access) {
    let mut caller = Caller::open();
    for sql in sqls {
        caller.extended(sql);
    }
    caller.send(CallerEvent::Sync);
    assert_eq!(caller.run().map(|run| run.access), Some(access));
}

#[test]
fn a_flush_submits_a_parse_but_defers_an_execute() {
    let mut caller = Caller::open();
    caller.send(CallerEvent::Parse {
        name: "s".into(),
        sql: "select 1".to_owned(),
        types: Vec::new(),
    });
    caller.send(CallerEvent::Flush);
    let run = caller.run().expect("the preparation is sent");
    caller.complete(&run, completed(b'1', Status::Idle, None));
    assert_eq!(ready(&caller), None, "only a Sync is followed by ReadyForQuery");
    caller.bind("s");
    caller.send(CallerEvent::Execute { portal: "".into(), max_rows: 0 });
    caller.send(CallerEvent::Flush);
    assert_eq!(caller.run(), None, "part of an implicit transaction must not be committed");
    caller.send(CallerEvent::Sync);
    assert!(caller.run().is_some());
}

#[test]
fn the_token_is_reported_after_a_change_and_holds_at_another_entry() {
    let mut caller = Caller::open();
    caller.query("insert into t values (1)");
    let run = caller.run().expect("the write is sent");
    let mark = Mark::new(3, 77);
    caller.complete(&run, completed(b'C', Status::Idle, Some(mark)));
    let token = caller.token().expect("the token changed");
    let options = format!("-c goldcrest.session={token} -c goldcrest.max_age=5s");
    let mut other = Caller::open_with(&[("options", &options)]);
    let floor = other.state.session.sessions[&SESSION].floor.clone();
    assert_eq!(floor.get("orders-1"), Some(mark));
    assert_eq!(floor.get("orders-2"), None, "state of other databases is unknown");
    other.query("show goldcrest.max_age");
    let shown = Reply::Row { column: "goldcrest.max_age".into(), value: "5000ms".into() };
    assert_eq!(other.replies()[0], shown);
    assert_eq!(other.run(), None);
}

#[test_case("goldcrest.session", "AAAA", Code::BadToken; "an invalid token")]
#[test_case("goldcrest.max_age", "soon", Code::BadOption; "a malformed age")]
#[test_case("goldcrest.colour", "red", Code::BadOption; "an unknown option")]
#[test_case("client_encoding", "LATIN1", Code::BadOption; "another encoding")]
#[test_case("session_replication_role", "replica", Code::NotSupported; "another variable")]
fn a_bad_assignment_is_refused_at_startup_and_later(name: &str, value: &str, code: Code) {
    let caller = Caller::starting(&[(name, value)]);
    assert_eq!(caller.refusal(), Some((code, true)));
    let mut caller = Caller::open();
    caller.query(&format!("SET {name} = '{value}'"));
    assert_eq!(caller.refusal(), Some((code, false)));
    assert_eq!(ready(&caller), Some(Status::Idle));
}

#[test]
fn variables_are_kept_at_the_entry_and_sent_with_each_request() {
    let mut caller = Caller::open_with(&[("application_name", "desk")]);
    caller.query("SET TIME ZONE 'Asia/Almaty'");
    assert_eq!(caller.run(), None);
    let reported = Reply::Parameter("TimeZone".into(), "Asia/Almaty".into());
    assert!(caller.replies().contains(&reported));
    caller.query("select now()");
    let run = caller.run().expect("the query is sent");
    let variables = [("application_name", "desk"), ("timezone", "Asia/Almaty")];
    let variables = variables.map(|(name, value)| (name.into(), value.into()));
    assert_eq!(run.variables, variables);
}

#[test]
fn a_comment_sets_the_options_of_its_statement_only() {
    let mut caller = Caller::open();
    let id = "0190163d-8694-739b-aea5-966c26f8ad91";
    caller.query(&format!("/* goldcrest: request={id}, timeout=500ms */ insert into t values (1)"));
    let run = caller.run().expect("the write is sent");
    assert_eq!(run.idempotency, Some(0x0190_163d_8694_739b_aea5_966c_26f8_ad91));
    assert_eq!(run.budget.as_millis(), 500);
    caller.complete(&run, completed(b'C', Status::Idle, None));
    caller.query("insert into t values (2)");
    assert_eq!(caller.run().and_then(|run| run.idempotency), None);
}

#[test]
fn a_cancel_request_needs_the_secret() {
    let mut caller = Caller::starting(&[]);
    caller.send(CallerEvent::Password(Credential::new(&format!("k1.{SECRET}"))));
    let cancel_key = caller.replies().iter().find_map(|reply| match reply {
        Reply::CancelKey { process, secret } => Some((*process, *secret)),
        _ => None,
    });
    let (process, secret) = cancel_key.expect("the login reports the cancel key");
    caller.query("select 1");
    let cancelled = |caller: &Caller| {
        caller
            .effects
            .iter()
            .any(|effect| matches!(effect, Effect::Peer { message: peer::Message::Request(_), .. }))
    };
    caller.handle(Event::Caller(0, CallerEvent::Cancel { process, secret: secret ^ 1 }));
    assert!(!cancelled(&caller));
    caller.handle(Event::Caller(0, CallerEvent::Cancel { process, secret }));
    assert!(cancelled(&caller));
}

#[test]
fn a_refusal_keeps_a_transaction_open_unless_it_was_lost() {
    let mut caller = Caller::open();
    caller.query("begin");
    let run = caller.run().expect("the transaction begins");
    caller.complete(&run, completed(b'C', Status::Open, None));
    assert_eq!(ready(&caller), Some(Status::Open));
    caller.query("copy t to stdout");
    assert_eq!(ready(&caller), Some(Status::Open));
    caller.query("update t set a = 1");
    let run = caller.run().expect("the write is sent");
    let lost = Fault::new(Code::TransactionLost, "the connection is gone");
    caller.complete(&run, Outcome::NotRun(lost));
    assert_eq!(ready(&caller), Some(Status::Failed));
    caller.query("select 1");
    assert_eq!(caller.refusal(), Some((Code::TransactionLost, false)));
    caller.query("rollback");
    let rolled_back = vec![Reply::Complete("ROLLBACK".into()), Reply::Ready(Status::Idle)];
    assert_eq!(caller.replies(), rolled_back);
}

#[test]
fn a_commit_of_unknown_outcome_ends_the_transaction() {
    let mut caller = Caller::open();
    caller.query("begin");
    let run = caller.run().expect("the transaction begins");
    caller.complete(&run, completed(b'C', Status::Open, None));
    caller.query("commit");
    let run = caller.run().expect("the commit is sent");
    let lost = Fault::new(Code::OutcomeUnknown, "the connection is gone");
    caller.complete(&run, Outcome::Unknown(lost));
    assert_eq!(caller.refusal(), Some((Code::OutcomeUnknown, false)));
    assert_eq!(ready(&caller), Some(Status::Idle));
}

#[test]
fn a_drain_ends_idle_sessions_and_lets_the_others_finish() {
    let mut idle = Caller::open();
    idle.handle(Event::Stop);
    assert_eq!(idle.refusal(), Some((Code::Draining, true)));
    let mut busy = Caller::open();
    busy.query("select 1");
    let run = busy.run().expect("the query is sent");
    busy.handle(Event::Stop);
    assert_eq!(busy.refusal(), None);
    busy.complete(&run, completed(b'C', Status::Idle, None));
    assert!(matches!(busy.replies()[0], Reply::Frames(_)), "the answer arrives complete");
    assert_eq!(busy.refusal(), Some((Code::Draining, true)));
}

#[test_case(timer::Key::Login(SESSION), false, Code::LoginTimeout; "a stalled login")]
#[test_case(timer::Key::Idle(SESSION), true, Code::IdleTimeout; "an idle session")]
fn a_timer_ends_a_stalled_session(timer: timer::Key, open: bool, code: Code) {
    let mut caller = if open { Caller::open() } else { Caller::starting(&[]) };
    caller.ms += caller.state.settings.bounds.idle_ms;
    caller.handle(Event::Timer(timer));
    assert_eq!(caller.refusal(), Some((code, true)));
}

#[test]
fn an_empty_token_means_that_nothing_was_seen() {
    let caller = Caller::open_with(&[("goldcrest.session", "")]);
    assert_eq!(caller.state.session.sessions[&SESSION].floor, Floor::initial());
}

#[test]
fn a_caller_that_floods_the_queue_is_paused_and_then_disconnected() {
    let mut caller = Caller::open();
    caller.state.settings.bounds.message_bytes = 16 << 10;
    let mut paused = false;
    for _ in 0..10_000 {
        caller.query("select 1");
        paused |= caller.effects.contains(&Effect::Caller(SESSION, caller::Effect::Pause));
        if caller.refusal().is_some() {
            break;
        }
    }
    assert!(paused);
    assert_eq!(caller.refusal(), Some((Code::TooLarge, true)));
}
