//! Tests of idempotent writes.

use crate::fixture::{Fixture, Run, answered, extended, simple};
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

async fn count(fixture: &mut Fixture, connection: id::Connection) -> String {
    fixture.sql(connection, "SELECT count(*) FROM booking").await.column().concat()
}

#[tokio::test]
async fn a_repeat_is_answered_from_the_stored_tags() {
    let mut fixture = Fixture::start().await;
    let connections = [fixture.open().await, fixture.open().await];
    fixture.sql(connections[0], CREATE).await;
    for connection in connections {
        let answer = answered(fixture.run(connection, with_id(simple(INSERT), 7)).await);
        assert_eq!((answer.kinds.as_str(), answer.status), ("C", Status::Idle));
        assert_eq!(answer.tags(), ["INSERT 0 1"]);
        assert_eq!(answer.mark, Some(fixture.server().report().applied));
    }
    assert_eq!(count(&mut fixture, connections[0]).await, "1");
}

#[tokio::test]
async fn a_repeat_of_a_prepared_statement_is_described_but_not_run() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.sql(connection, CREATE).await;
    for _ in 0..2 {
        let run = extended("INSERT INTO booking VALUES ($1, $2)", &["1", "asha"]);
        let answer = answered(fixture.run(connection, with_id(run, 7)).await);
        assert_eq!((answer.kinds.as_str(), answer.tags()), ("12nC", vec!["INSERT 0 1".into()]));
    }
    assert_eq!(count(&mut fixture, connection).await, "1");
}

#[tokio::test]
async fn a_repeat_finds_a_commit_whose_answer_was_lost() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.sql(connection, CREATE).await;
    fixture.run(connection, with_id(simple(INSERT), 1)).await;
    fixture.server().inject(Fault::LoseCommits(1));
    let ended = fixture.run(connection, with_id(simple(INSERT), 2)).await;
    assert_eq!(ended, Completion::Lost { sent: true });
    let other = fixture.open().await;
    let answer = answered(fixture.run(other, with_id(simple(INSERT), 2)).await);
    assert_eq!(answer.tags(), ["INSERT 0 1"]);
    assert_eq!(count(&mut fixture, other).await, "2");
}

#[tokio::test]
async fn a_failed_statement_stores_no_id() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    let answer = answered(fixture.run(connection, with_id(simple(INSERT), 7)).await);
    assert_eq!((answer.kinds.as_str(), answer.error.as_deref()), ("E", Some("42P01")));
    assert_eq!(answer.status, Status::Idle);
    fixture.sql(connection, CREATE).await;
    let answer = answered(fixture.run(connection, with_id(simple(INSERT), 7)).await);
    assert_eq!(answer.error, None);
    assert_eq!(count(&mut fixture, connection).await, "1");
}

#[tokio::test]
async fn several_statements_in_one_query_run_once() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.sql(connection, CREATE).await;
    for _ in 0..2 {
        let run = simple("INSERT INTO booking VALUES (1, ';'); UPDATE booking SET who = 'b'");
        let answer = answered(fixture.run(connection, with_id(run, 7)).await);
        assert_eq!(answer.tags(), ["INSERT 0 1", "UPDATE 1"]);
    }
    assert_eq!(count(&mut fixture, connection).await, "1");
}

#[tokio::test]
async fn a_transaction_stores_its_id_with_its_commit() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.sql(connection, CREATE).await;
    for _ in 0..2 {
        fixture.sql(connection, "BEGIN").await;
        fixture.sql(connection, INSERT).await;
        let answer = answered(fixture.run(connection, with_id(simple("COMMIT"), 7)).await);
        assert_eq!((answer.tags(), answer.status), (vec!["COMMIT".into()], Status::Idle));
        assert_eq!((answer.error, answer.mark), (None, Some(fixture.server().report().applied)));
    }
    assert_eq!(count(&mut fixture, connection).await, "1");
}

#[tokio::test]
async fn a_fenced_primary_stores_nothing() {
    let mut fixture = Fixture::start().await;
    let connection = fixture.open().await;
    fixture.sql(connection, CREATE).await;
    fixture.sql(connection, "BEGIN").await;
    fixture.sql(connection, INSERT).await;
    fixture.ask(Ask::Fence(2)).await.expect("a higher term");
    let answer = answered(fixture.run(connection, with_id(simple("COMMIT"), 7)).await);
    assert_eq!((answer.kinds.as_str(), answer.error.as_deref()), ("E", Some("25006")));
    let pinned = Run { term: Some(1), ..with_id(simple(INSERT), 8) };
    let answer = answered(fixture.run(connection, pinned).await);
    assert_eq!(answer.error.as_deref(), Some("25006"));
    assert_eq!(fixture.server().report().received, Mark::new(1, 2));
}
