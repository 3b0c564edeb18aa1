//! Writes with an id.

use crate::fixture::{Bench, Run, answered, extended, simple};
use gcl_core::{
    batch::Status,
    id,
    mark::Mark,
    server::{Ask, Completion},
};
use gcl_standin::database::fault::Fault;

const CREATE: &str = "CREATE TABLE booking (id int8, who text)";
const INSERT: &str = "INSERT INTO booking VALUES (1, 'asha')";

fn with_id(run: Run, id: id::Idempotency) -> Run {
    Run { idempotency: Some(id), ..run }
}

async fn count(bench: &mut Bench, connection: id::Connection) -> String {
    bench.sql(connection, "SELECT count(*) FROM booking").await.column().concat()
}

#[tokio::test]
async fn a_repeat_is_answered_from_the_record() {
    let mut bench = Bench::start().await;
    let connections = [bench.open().await, bench.open().await];
    bench.sql(connections[0], CREATE).await;
    for connection in connections {
        let answer = answered(bench.run(connection, with_id(simple(INSERT), 7)).await);
        assert_eq!((answer.kinds.as_str(), answer.status), ("C", Status::Idle));
        assert_eq!(answer.tags(), ["INSERT 0 1"]);
        assert_eq!(answer.mark, Some(bench.server().report().applied));
    }
    assert_eq!(count(&mut bench, connections[0]).await, "1");
}

#[tokio::test]
async fn a_repeat_of_a_prepared_statement_is_described_but_not_run() {
    let mut bench = Bench::start().await;
    let connection = bench.open().await;
    bench.sql(connection, CREATE).await;
    for _ in 0..2 {
        let run = extended("INSERT INTO booking VALUES ($1, $2)", &["1", "asha"]);
        let answer = answered(bench.run(connection, with_id(run, 7)).await);
        assert_eq!((answer.kinds.as_str(), answer.tags()), ("12nC", vec!["INSERT 0 1".into()]));
    }
    assert_eq!(count(&mut bench, connection).await, "1");
}

#[tokio::test]
async fn a_lost_commit_is_found_by_its_repeat() {
    let mut bench = Bench::start().await;
    let connection = bench.open().await;
    bench.sql(connection, CREATE).await;
    bench.run(connection, with_id(simple(INSERT), 1)).await;
    bench.server().inject(Fault::LoseCommits(1));
    let ended = bench.run(connection, with_id(simple(INSERT), 2)).await;
    assert_eq!(ended, Completion::Lost { sent: true });
    let other = bench.open().await;
    let answer = answered(bench.run(other, with_id(simple(INSERT), 2)).await);
    assert_eq!(answer.tags(), ["INSERT 0 1"]);
    assert_eq!(count(&mut bench, other).await, "2");
}

#[tokio::test]
async fn a_failed_statement_leaves_no_record() {
    let mut bench = Bench::start().await;
    let connection = bench.open().await;
    let answer = answered(bench.run(connection, with_id(simple(INSERT), 7)).await);
    assert_eq!((answer.kinds.as_str(), answer.error.as_deref()), ("E", Some("42P01")));
    assert_eq!(answer.status, Status::Idle);
    bench.sql(connection, CREATE).await;
    let answer = answered(bench.run(connection, with_id(simple(INSERT), 7)).await);
    assert_eq!(answer.error, None);
    assert_eq!(count(&mut bench, connection).await, "1");
}

#[tokio::test]
async fn text_of_several_statements_runs_once() {
    let mut bench = Bench::start().await;
    let connection = bench.open().await;
    bench.sql(connection, CREATE).await;
    for _ in 0..2 {
        let run = simple("INSERT INTO booking VALUES (1, ';'); UPDATE booking SET who = 'b'");
        let answer = answered(bench.run(connection, with_id(run, 7)).await);
        assert_eq!(answer.tags(), ["INSERT 0 1", "UPDATE 1"]);
    }
    assert_eq!(count(&mut bench, connection).await, "1");
}

#[tokio::test]
async fn a_transaction_is_recorded_by_its_commit() {
    let mut bench = Bench::start().await;
    let connection = bench.open().await;
    bench.sql(connection, CREATE).await;
    for _ in 0..2 {
        bench.sql(connection, "BEGIN").await;
        bench.sql(connection, INSERT).await;
        let answer = answered(bench.run(connection, with_id(simple("COMMIT"), 7)).await);
        assert_eq!((answer.tags(), answer.status), (vec!["COMMIT".into()], Status::Idle));
        assert_eq!((answer.error, answer.mark), (None, Some(bench.server().report().applied)));
    }
    assert_eq!(count(&mut bench, connection).await, "1");
}

#[tokio::test]
async fn a_fenced_primary_records_nothing() {
    let mut bench = Bench::start().await;
    let connection = bench.open().await;
    bench.sql(connection, CREATE).await;
    bench.sql(connection, "BEGIN").await;
    bench.sql(connection, INSERT).await;
    bench.ask(Ask::Fence(2)).await.expect("a higher term");
    let answer = answered(bench.run(connection, with_id(simple("COMMIT"), 7)).await);
    assert_eq!((answer.kinds.as_str(), answer.error.as_deref()), ("E", Some("25006")));
    let pinned = Run { term: Some(1), ..with_id(simple(INSERT), 8) };
    let answer = answered(bench.run(connection, pinned).await);
    assert_eq!(answer.error.as_deref(), Some("25006"));
    assert_eq!(bench.server().report().received, Mark::new(1, 2));
}
