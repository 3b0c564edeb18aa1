//! Tests of data connections.

use crate::fixture::{Fixture, answered, batch, bind, extended, simple};
use gcl_backend::client::Options;
use gcl_core::{
    batch::{Batch, Prepared, Status, Step, Target},
    mark::Mark,
    server::{Ask, Call, Completion, Event},
};
use gcl_standin::database::{self, fault::Fault};
use std::time::Duration;

const CREATE: &str = "CREATE TABLE booking (id int8 PRIMARY KEY, who text)";

#[tokio::test]
async fn simple_queries_are_forwarded() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    let answer = fixture.sql(connection, CREATE).await;
    assert_eq!((answer.kinds.as_str(), answer.mark), ("C", Some(Mark::new(1, 2))));
    let answer = fixture.sql(connection, "INSERT INTO booking VALUES (1, 'asha')").await;
    assert_eq!((answer.tags(), answer.mark), (vec!["INSERT 0 1".into()], Some(Mark::new(1, 3))));
    let answer = fixture.sql(connection, "SELECT who FROM booking; SELECT 2").await;
    assert_eq!(
        (answer.kinds.as_str(), answer.column()),
        ("TDCTDC", vec!["asha".into(), "2".into()])
    );
    let answer = fixture.sql(connection, "SELECT id FROM nowhere").await;
    assert_eq!((answer.kinds.as_str(), answer.error.as_deref()), ("E", Some("42P01")));
    assert_eq!(answer.status, Status::Idle);
}

#[tokio::test]
async fn statements_are_prepared_once_per_connection() {
    let mut fixture = Fixture::start().await;
    let connections = [fixture.open().await, fixture.open().await];
    fixture.sql(connections[0], CREATE).await;
    let insert = "INSERT INTO booking (id, who) VALUES ($1, $2)";
    let mut id = 0;
    for connection in connections {
        for _ in 0..2 {
            id += 1;
            let run = extended(insert, &[&id.to_string(), "asha"]);
            let answer = answered(fixture.run(connection, run).await);
            assert_eq!(
                answer.kinds, "12nC",
                "the caller receives an answer to each of its messages"
            );
        }
        let steps = vec![
            bind(0, &["1"]),
            Step::Execute { portal: "".into(), max_rows: 0 },
            Step::CloseStatement,
        ];
        let prepared =
            Prepared { sql: "SELECT who FROM booking WHERE id = $1".into(), types: vec![] };
        let run = batch(Batch::Extended { statements: vec![prepared], steps });
        let answer = answered(fixture.run(connection, run).await);
        assert_eq!(answer.kinds, "2DC3", "the answer to the implicit parse is not forwarded");
    }
}

#[tokio::test]
async fn a_parse_skipped_after_an_error_is_not_cached() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.sql(connection, CREATE).await;
    let statements = vec![
        Prepared { sql: "SELECT wrong FROM booking".into(), types: vec![] },
        Prepared { sql: "SELECT id FROM booking".into(), types: vec![] },
    ];
    let steps = vec![
        Step::Parse(0),
        Step::Parse(1),
        bind(1, &[]),
        Step::Execute { portal: "".into(), max_rows: 0 },
    ];
    let run = batch(Batch::Extended { statements: statements.clone(), steps: steps.clone() });
    let answer = answered(fixture.run(connection, run).await);
    assert_eq!((answer.kinds.as_str(), answer.error.as_deref()), ("E", Some("42703")));
    let run = batch(Batch::Extended { statements, steps: steps[1..].to_vec() });
    let answer = answered(fixture.run(connection, run).await);
    assert_eq!(answer.kinds, "12C");
}

#[tokio::test]
async fn statements_over_the_limit_are_evicted_and_prepared_again() {
    let options = Options { statements: 2, ..Options::default() };
    let mut fixture = Fixture::with_options(database::Options::default(), options).await;
    let connection = fixture.open().await;
    for round in 0..3 {
        for number in 0..4 {
            let run = extended(&format!("SELECT {number} + {round} - {round}"), &[]);
            let answer = answered(fixture.run(connection, run).await);
            assert_eq!(
                (answer.kinds.as_str(), answer.column()),
                ("12TDC", vec![number.to_string()])
            );
        }
    }
}

#[tokio::test]
async fn portals_return_rows_over_several_executions() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    let prepared = Prepared { sql: "VALUES (1), (2), (3)".into(), types: vec![] };
    let execute = Step::Execute { portal: "".into(), max_rows: 2 };
    let steps = vec![
        Step::Parse(0),
        Step::Describe(Target::Statement(0)),
        bind(0, &[]),
        execute.clone(),
        execute,
        Step::ClosePortal("".into()),
    ];
    let run = batch(Batch::Extended { statements: vec![prepared], steps });
    let answer = answered(fixture.run(connection, run).await);
    assert_eq!(answer.kinds, "1tT2DDsDC3");
}

#[tokio::test]
async fn variables_are_set_for_each_session() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    let show = |value: &str| {
        let variables = vec![("app.desk".into(), value.into())];
        crate::fixture::Run { variables, ..simple("SHOW app.desk") }
    };
    for value in ["altyn", "o'r\\da", "altyn", "altyn"] {
        let answer = answered(fixture.run(connection, show(value)).await);
        assert_eq!((answer.kinds.as_str(), answer.column()), ("TDC", vec![value.to_owned()]));
    }
    let answer = fixture.sql(connection, "SHOW app.desk").await;
    assert_eq!(answer.column(), [""], "another session does not see it");
    fixture.sql(connection, "SET app.desk = 'stray'").await;
    let answer = fixture.sql(connection, "SHOW app.desk").await;
    assert_eq!(answer.column(), [""], "an assignment by a statement is reset");
    let variables = vec![("app desk; DROP TABLE x".into(), "y".into())];
    let refused = crate::fixture::Run { variables, ..simple("SELECT 1") };
    let answer = answered(fixture.run(connection, refused).await);
    assert_eq!(answer.error.as_deref(), Some("42602"));
}

#[tokio::test]
async fn a_rejected_variable_stops_the_batch() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.sql(connection, CREATE).await;
    let variables = vec![("goldcrest.term".into(), "none".into())];
    let insert = simple("INSERT INTO booking VALUES (1, 'x')");
    let refused = crate::fixture::Run { variables, ..insert };
    let answer = answered(fixture.run(connection, refused).await);
    assert_eq!((answer.kinds.as_str(), answer.error.as_deref()), ("E", Some("22023")));
    let answer = fixture.sql(connection, "SELECT count(*) FROM booking").await;
    assert_eq!(answer.column(), ["0"]);
}

#[tokio::test]
async fn read_only_batches_and_stale_terms_cannot_write() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.sql(connection, CREATE).await;
    let insert = || simple("INSERT INTO booking VALUES (1, 'x')");
    let read_only = crate::fixture::Run { read_only: true, ..insert() };
    let answer = answered(fixture.run(connection, read_only).await);
    assert_eq!(answer.error.as_deref(), Some("25006"));
    let stale = crate::fixture::Run { term: Some(2), ..insert() };
    let answer = answered(fixture.run(connection, stale).await);
    assert_eq!(answer.error.as_deref(), Some("25006"));
    let pinned = crate::fixture::Run { term: Some(1), ..insert() };
    let answer = answered(fixture.run(connection, pinned).await);
    assert_eq!((answer.error, answer.mark), (None, Some(Mark::new(1, 3))));
}

#[tokio::test]
async fn a_reset_rolls_back_an_open_transaction() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.sql(connection, CREATE).await;
    let answer = fixture.sql(connection, "BEGIN").await;
    assert_eq!((answer.status, answer.mark), (Status::Open, None));
    fixture.sql(connection, "INSERT INTO booking VALUES (1, 'x')").await;
    let answer = fixture.sql(connection, "INSERT INTO booking VALUES (1, 'x')").await;
    assert_eq!((answer.status, answer.error.as_deref()), (Status::Failed, Some("23505")));
    let answer = fixture.sql(connection, "SELECT 1").await;
    assert_eq!(answer.error.as_deref(), Some("25P02"));
    fixture.call(Call::Reset(connection));
    assert_eq!(fixture.event().await, Event::Reset { connection, clean: true });
    let answer = fixture.sql(connection, "SELECT count(*) FROM booking").await;
    assert_eq!((answer.status, answer.column()), (Status::Idle, vec!["0".into()]));
}

#[tokio::test]
async fn an_answer_over_the_limit_is_discarded_and_the_connection_stays_usable() {
    let options = Options { answer_bytes: 64, ..Options::default() };
    let mut fixture = Fixture::with_options(database::Options::default(), options).await;
    let connection = fixture.open().await;
    let ended = fixture.run(connection, simple("SELECT hex(zeroblob(2000000))")).await;
    assert!(matches!(ended, Completion::TooLarge { status: Status::Idle, .. }), "{ended:?}");
    let ended = fixture.run(connection, simple("SELECT hex(zeroblob(20000))")).await;
    assert!(matches!(ended, Completion::TooLarge { status: Status::Idle, .. }), "{ended:?}");
    assert_eq!(fixture.sql(connection, "SELECT 1").await.column(), ["1"]);
}

#[tokio::test]
async fn a_server_at_its_connection_limit_is_reported_as_full() {
    let server = database::Options { connections: 1, ..database::Options::default() };
    let mut fixture = Fixture::with_options(server, Options::default()).await;
    let first = fixture.open().await;
    fixture.call(Call::Open { connection: 99, address: fixture.address });
    assert_eq!(fixture.event().await, Event::Failed { connection: 99, full: true });
    fixture.call(Call::Close(first));
    assert_eq!(fixture.event().await, Event::Closed(first));
    fixture.ask(Ask::Status).await.expect("control connections are not counted");
}

#[tokio::test]
async fn a_refused_connection_is_not_reported_as_full() {
    let mut fixture = Fixture::start().await;
    fixture.server().inject(Fault::Refuse);
    fixture.call(Call::Open { connection: 99, address: fixture.address });
    assert_eq!(fixture.event().await, Event::Failed { connection: 99, full: false });
}

#[tokio::test]
async fn cancel_stops_the_running_statement_but_not_the_next() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.server().inject(Fault::Slow(Duration::from_mins(1)));
    let request = fixture.start_run(connection, simple("SELECT 1"));
    fixture.server().wait_for_running(1).await;
    fixture.call(Call::Cancel(connection));
    let answer = answered(fixture.ended(request).await);
    assert_eq!(answer.error.as_deref(), Some("57014"));
    fixture.server().heal();
    assert_eq!(fixture.sql(connection, "SELECT 1").await.column(), ["1"]);
}

#[tokio::test]
async fn a_batch_with_a_lost_answer_counts_as_sent() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.sql(connection, CREATE).await;
    fixture.server().inject(Fault::LoseCommits(1));
    let ended = fixture.run(connection, simple("INSERT INTO booking VALUES (1, 'x')")).await;
    assert_eq!(ended, Completion::Lost { sent: true });
    let ended = fixture.run(connection, simple("SELECT 1")).await;
    assert_eq!(ended, Completion::Lost { sent: false }, "the connection is closed");
    let other = fixture.open().await;
    let answer = fixture.sql(other, "SELECT count(*) FROM booking").await;
    assert_eq!(answer.column(), ["1"]);
}

#[tokio::test]
async fn a_crash_closes_idle_connections_and_loses_running_batches() {
    let mut fixture = Fixture::start().await;
    let (idle, busy) = (fixture.open().await, fixture.open().await);
    fixture.server().inject(Fault::Slow(Duration::from_mins(1)));
    let request = fixture.start_run(busy, simple("SELECT 1"));
    fixture.server().wait_for_running(1).await;
    fixture.server().inject(Fault::Crash);
    let ended = Event::Ended { connection: busy, request, ended: Completion::Lost { sent: true } };
    let events = [fixture.event().await, fixture.event().await];
    assert!(events.contains(&Event::Closed(idle)) && events.contains(&ended), "{events:?}");
}

#[tokio::test]
async fn closing_a_connection_during_a_batch_loses_the_batch() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.server().inject(Fault::Freeze);
    let request = fixture.start_run(connection, simple("SELECT 1"));
    fixture.call(Call::Close(connection));
    let ended = fixture.ended(request).await;
    assert!(matches!(ended, Completion::Lost { .. }), "{ended:?}");
}

#[tokio::test]
async fn a_reset_without_an_answer_is_not_clean() {
    let options = Options { reset_timeout: Duration::from_millis(50), ..Options::default() };
    let mut fixture = Fixture::with_options(database::Options::default(), options).await;
    let connection = fixture.open().await;
    fixture.server().inject(Fault::IsolateClients);
    fixture.call(Call::Reset(connection));
    assert_eq!(fixture.event().await, Event::Reset { connection, clean: false });
}

#[tokio::test]
async fn late_answers_are_matched_to_their_requests() {
    let mut fixture = Fixture::start().await;
    let connections = [fixture.open().await, fixture.open().await];
    fixture.server().inject(Fault::Late(Duration::from_millis(30)));
    let first = fixture.start_run(connections[0], simple("SELECT 1"));
    let second = fixture.start_run(connections[1], simple("SELECT 2"));
    let third = fixture.start_run(connections[0], simple("SELECT 3"));
    for _ in 0..3 {
        let Event::Ended { request, ended, .. } = fixture.event().await else {
            panic!("expected the end of a batch");
        };
        let expected = match request {
            request if request == first => "1",
            request if request == second => "2",
            request if request == third => "3",
            _ => panic!("an unknown request"),
        };
        assert_eq!(answered(ended).column(), [expected]);
    }
}

#[tokio::test]
async fn a_rejected_write_has_no_mark() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.sql(connection, CREATE).await;
    let insert = || simple("INSERT INTO booking VALUES (1, 'x')");
    let refused = [
        crate::fixture::Run { read_only: true, ..insert() },
        crate::fixture::Run { term: Some(2), ..insert() },
        crate::fixture::Run { term: Some(2), idempotency: Some(7), ..insert() },
    ];
    for run in refused {
        let answer = answered(fixture.run(connection, run).await);
        assert_eq!((answer.error.as_deref(), answer.mark), (Some("25006"), None));
    }
    let answer = fixture.sql(connection, "BEGIN; SELECT 1; COMMIT; SELECT id FROM nowhere").await;
    assert_eq!(answer.mark, None, "nothing was committed");
    let script = "BEGIN; INSERT INTO booking VALUES (1, 'x'); COMMIT; SELECT id FROM nowhere";
    let run = crate::fixture::Run { term: Some(1), ..simple(script) };
    let answer = answered(fixture.run(connection, run).await);
    assert_eq!((answer.error.as_deref(), answer.mark), (Some("42P01"), Some(Mark::new(1, 3))));
}

#[tokio::test]
async fn a_batch_queued_behind_a_lost_one_is_reported_as_not_sent() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.server().inject(Fault::Slow(Duration::from_mins(1)));
    let first = fixture.start_run(connection, simple("SELECT 1"));
    fixture.server().wait_for_running(1).await;
    let second = fixture.start_run(connection, simple("SELECT 2"));
    fixture.server().inject(Fault::Crash);
    let ended =
        |request, sent| Event::Ended { connection, request, ended: Completion::Lost { sent } };
    let events = [fixture.event().await, fixture.event().await];
    assert!(events.contains(&ended(first, true)), "{events:?}");
    assert!(events.contains(&ended(second, false)), "{events:?}");
}

#[tokio::test]
async fn a_reset_clears_the_statement_cache() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    for _ in 0..2 {
        let answer = answered(fixture.run(connection, extended("SELECT 1", &[])).await);
        assert_eq!((answer.kinds.as_str(), answer.error), ("12TDC", None));
        fixture.call(Call::Reset(connection));
        assert_eq!(fixture.event().await, Event::Reset { connection, clean: true });
    }
}

#[tokio::test]
async fn a_write_in_a_read_only_batch_has_no_mark() {
    let mut fixture = Fixture::start().await;
    let (connection, other) = (fixture.open().await, fixture.open().await);
    fixture.sql(other, CREATE).await;
    let script = "SELECT id FROM booking; INSERT INTO booking VALUES (1, 'x')";
    let run = crate::fixture::Run { read_only: true, ..simple(script) };
    let answer = answered(fixture.run(connection, run).await);
    assert_eq!((answer.error.as_deref(), answer.mark), (Some("25006"), None));
}

#[tokio::test]
async fn a_connection_older_than_the_term_reports_the_mark_that_its_statements_see() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.ask(Ask::Fence(2)).await.expect("a higher term");
    fixture.ask(Ask::Promote(2)).await.expect("a fenced term");
    for sql in ["SHOW server_version", "SELECT standin_name()", "SELECT 1"] {
        let answer = fixture.sql(connection, sql).await;
        assert_eq!(answer.mark.map(|mark| mark.term), Some(2), "{sql}");
    }
}
