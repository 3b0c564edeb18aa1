//! Tests of the database stand-in with a regular driver: types, transactions, portals, limits and
//! faults.

use crate::fixture::{connect, first_row, group, try_connect};
use gcl_standin::database::{Boot, Options, Server, fault::Fault};
use std::time::{Duration, SystemTime};
use test_case::test_case;
use tokio_postgres::{Client, IsolationLevel, NoTls, error::SqlState, types::Type};

const CREATE: &str = "CREATE TABLE booking (id int8 PRIMARY KEY, who text NOT NULL)";

async fn primary(options: Options) -> Server {
    let options = Options { boot: Boot::Primary, ..options };
    Server::start(options).await.expect("a port is free")
}

async fn session() -> (Server, Client) {
    let server = primary(Options::default()).await;
    let client = connect(&server, "").await;
    client.batch_execute(CREATE).await.expect("the table is created");
    (server, client)
}

#[tokio::test]
async fn values_of_each_type_are_returned_unchanged() {
    let (_server, client) = session().await;
    let create = "CREATE TABLE kind (a bool, b int2, c int4, d int8, e float4, f float8, g text, \
                  h varchar(9), i bytea, j timestamptz)";
    client.batch_execute(create).await.expect("the table is created");
    let insert = "INSERT INTO kind VALUES ($1, $2, $3, $4, $5, $6, $7, $8, $9, $10)";
    let types = [
        Type::BOOL,
        Type::INT2,
        Type::INT4,
        Type::INT8,
        Type::FLOAT4,
        Type::FLOAT8,
        Type::TEXT,
        Type::VARCHAR,
        Type::BYTEA,
        Type::TIMESTAMPTZ,
    ];
    let statement = client.prepare_typed(insert, &types).await.expect("the statement is valid");
    assert_eq!(statement.params(), types);
    let time = SystemTime::UNIX_EPOCH + Duration::from_micros(1_700_000_000_123_456);
    let bytes = [0_u8, 255, 7];
    client
        .execute(
            &statement,
            &[
                &true,
                &-2_i16,
                &3_i32,
                &i64::MIN,
                &1.5_f32,
                &-0.25_f64,
                &"a'b",
                &"c",
                &&bytes[..],
                &time,
            ],
        )
        .await
        .expect("the values fit");
    let row = client.query_one("SELECT * FROM kind", &[]).await.expect("one row");
    assert!(row.get::<_, bool>(0));
    assert_eq!(
        (row.get::<_, i16>(1), row.get::<_, i32>(2), row.get::<_, i64>(3)),
        (-2, 3, i64::MIN)
    );
    assert_eq!(
        (row.get::<_, f32>(4).to_bits(), row.get::<_, f64>(5).to_bits()),
        (1.5_f32.to_bits(), (-0.25_f64).to_bits())
    );
    assert_eq!((row.get::<_, &str>(6), row.get::<_, &str>(7)), ("a'b", "c"));
    assert_eq!((row.get::<_, &[u8]>(8), row.get::<_, SystemTime>(9)), (&bytes[..], time));
    let text = client.simple_query("SELECT a, i, j FROM kind").await.expect("one row");
    assert_eq!(first_row(&text), ["t", "\\x00ff07", "2023-11-14 22:13:20.123456+00"]);
}

#[tokio::test]
async fn parameter_types_are_inferred_from_columns() {
    let (_server, client) = session().await;
    let changed = client
        .execute("INSERT INTO booking (who, id) VALUES ($2, $1)", &[&7_i64, &"asha"])
        .await
        .expect("the types are inferred");
    assert_eq!(changed, 1);
    let row = client
        .query_one(
            "UPDATE booking SET who = $1 WHERE id = $2 RETURNING id, who",
            &[&"bose", &7_i64],
        )
        .await
        .expect("the types are inferred");
    assert_eq!((row.get::<_, i64>(0), row.get::<_, &str>(1)), (7, "bose"));
    let rows = client
        .query("SELECT id FROM booking WHERE who = $1 LIMIT $2", &[&"bose", &5_i64])
        .await
        .expect("the types are inferred");
    assert_eq!(rows.len(), 1);
    let row =
        client.query_one("SELECT $1::int8 + 1, count(*), max(id) FROM booking", &[&1_i64]).await;
    let row = row.expect("the cast defines the type");
    assert_eq!((row.get::<_, i64>(0), row.get::<_, i64>(1), row.get::<_, i64>(2)), (2, 1, 7));
    let none: Option<&str> = None;
    let error = client.execute("INSERT INTO booking VALUES ($1, $2)", &[&8_i64, &none]).await;
    assert_eq!(
        error.expect_err("the column is not null").code(),
        Some(&SqlState::NOT_NULL_VIOLATION)
    );
}

#[tokio::test]
async fn a_failed_transaction_rejects_statements_until_its_end() {
    let (_server, mut client) = session().await;
    let transaction = client.transaction().await.expect("the transaction begins");
    transaction.execute("INSERT INTO booking VALUES (1, 'a')", &[]).await.expect("the key is new");
    let duplicate = transaction.execute("INSERT INTO booking VALUES (1, 'a')", &[]).await;
    assert_eq!(
        duplicate.expect_err("the key is a duplicate").code(),
        Some(&SqlState::UNIQUE_VIOLATION)
    );
    let after = transaction.query("SELECT 1", &[]).await.expect_err("the transaction has failed");
    assert_eq!(after.code(), Some(&SqlState::IN_FAILED_SQL_TRANSACTION));
    transaction.commit().await.expect("the commit rolls back");
    let row = client.query_one("SELECT count(*) FROM booking", &[]).await.expect("one row");
    assert_eq!(row.get::<_, i64>(0), 0);
}

#[tokio::test]
async fn a_read_only_transaction_rejects_writes() {
    let (_server, mut client) = session().await;
    let builder = client.build_transaction().read_only(true);
    let transaction = builder.isolation_level(IsolationLevel::ReadCommitted).start().await;
    let transaction = transaction.expect("the transaction begins");
    let error = transaction.execute("INSERT INTO booking VALUES (1, 'a')", &[]).await;
    let code = error.expect_err("the transaction is read-only").code().cloned();
    assert_eq!(code, Some(SqlState::READ_ONLY_SQL_TRANSACTION));
}

#[tokio::test]
async fn writers_wait_for_each_other_and_readers_do_not() {
    let (server, mut first) = session().await;
    let second = connect(&server, "").await;
    let transaction = first.transaction().await.expect("the transaction begins");
    transaction
        .execute("INSERT INTO booking VALUES (1, 'a')", &[])
        .await
        .expect("the write succeeds");
    let row =
        second.query_one("SELECT count(*) FROM booking", &[]).await.expect("the read succeeds");
    assert_eq!(row.get::<_, i64>(0), 0, "uncommitted writes are not visible");
    let write = second.execute("INSERT INTO booking VALUES (1, 'b')", &[]);
    let both = async { tokio::join!(write, transaction.commit()) };
    let (write, commit) = both.await;
    commit.expect("the first transaction commits");
    let error = write.expect_err("the second sees the row of the first");
    assert_eq!(error.code(), Some(&SqlState::UNIQUE_VIOLATION));
}

#[tokio::test]
async fn portals_return_rows_in_batches() {
    let (_server, mut client) = session().await;
    let transaction = client.transaction().await.expect("the transaction begins");
    let portal =
        transaction.bind("VALUES (1), (2), (3)", &[]).await.expect("the statement is valid");
    let mut sizes = Vec::new();
    for _ in 0..3 {
        sizes.push(transaction.query_portal(&portal, 2).await.expect("the portal is open").len());
    }
    assert_eq!(sizes, [2, 1, 0]);
}

#[tokio::test]
async fn a_statement_can_be_cancelled() {
    let (server, client) = session().await;
    server.inject(Fault::Slow(Duration::from_mins(1)));
    let token = client.cancel_token();
    let cancel = async {
        server.wait_for_running(1).await;
        token.cancel_query(NoTls).await
    };
    let (result, cancelled) = tokio::join!(client.simple_query("SELECT 1"), cancel);
    cancelled.expect("the cancel request succeeds");
    assert_eq!(
        result.expect_err("the statement was cancelled").code(),
        Some(&SqlState::QUERY_CANCELED)
    );
}

#[tokio::test]
async fn data_connections_are_limited_but_control_connections_are_not() {
    let server = primary(Options { connections: 1, ..Options::default() }).await;
    let first = connect(&server, "").await;
    let rejected = try_connect(&server, "").await.expect_err("the limit is reached");
    assert_eq!(rejected.code(), Some(&SqlState::TOO_MANY_CONNECTIONS));
    connect(&server, crate::fixture::CONTROL).await;
    drop(first);
    while try_connect(&server, "").await.is_err() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn control_functions_require_a_control_connection() {
    let (_server, client) = session().await;
    let error = client.simple_query("SELECT * FROM goldcrest_fence(9)").await;
    let code = error.expect_err("it is a data connection").code().cloned();
    assert_eq!(code, Some(SqlState::INSUFFICIENT_PRIVILEGE));
}

#[test_case("crash"; "crash")]
#[test_case("lose-commits 1"; "lost response")]
#[tokio::test]
async fn faults_that_break_a_connection_keep_committed_data(fault: &str) {
    let (server, client) = session().await;
    let harness = connect(&server, "-c standin.bench=on").await;
    if fault == "crash" {
        client.batch_execute("INSERT INTO booking VALUES (1, 'a')").await.expect("it commits");
    }
    let command = format!("SELECT standin_fault('{fault}')");
    // A crash breaks the harness's connection as well.
    let _ = harness.simple_query(&command).await;
    client
        .batch_execute("INSERT INTO booking VALUES (2, 'b')")
        .await
        .expect_err("the connection breaks");
    server.heal();
    let client = loop {
        if let Ok(client) = try_connect(&server, "").await {
            break client;
        }
        tokio::task::yield_now().await;
    };
    let row = client.query_one("SELECT count(*) FROM booking", &[]).await.expect("one row");
    assert_eq!(row.get::<_, i64>(0), 1);
}

#[tokio::test]
async fn an_isolated_server_responds_after_the_isolation() {
    let (server, client) = session().await;
    let harness = connect(&server, "-c standin.bench=on").await;
    let fault = |name: &str| format!("SELECT standin_fault('{name}')");
    harness.simple_query(&fault("isolate-clients")).await.expect("the fault is known");
    let waited = tokio::time::timeout(Duration::from_millis(50), client.simple_query("SELECT 1"));
    assert!(waited.await.is_err(), "no response arrives");
    harness.simple_query(&fault("heal")).await.expect("the fault is known");
    client.simple_query("SELECT 1").await.expect("the server responds");
    let unknown =
        harness.simple_query(&fault("no-such-fault")).await.expect_err("the fault is unknown");
    assert_eq!(unknown.code(), Some(&SqlState::INVALID_PARAMETER_VALUE));
}

#[tokio::test]
async fn a_fault_ends_after_its_duration() {
    let (server, client) = session().await;
    let harness = connect(&server, "-c standin.bench=on").await;
    harness.simple_query("SELECT standin_fault('freeze 20')").await.expect("the fault is known");
    client.simple_query("SELECT 1").await.expect("the server responds again");
}

#[tokio::test]
async fn a_frozen_replica_receives_no_entries() {
    let servers = group(2).await;
    let client = connect(&servers[0], "").await;
    servers[1].wait_for(|report| report.applied.position == 1).await;
    servers[1].inject(Fault::Freeze);
    client.batch_execute(CREATE).await.expect("the primary accepts writes");
    let waited = servers[1].wait_for(|report| report.received.position == 2);
    let waited = tokio::time::timeout(Duration::from_millis(50), waited).await;
    assert!(waited.is_err(), "no entry arrives");
    servers[1].heal();
    servers[1].wait_for(|report| report.applied.position == 2).await;
}

#[tokio::test]
async fn a_frozen_server_runs_no_statement_until_it_is_healed() {
    let (server, client) = session().await;
    server.inject(Fault::Slow(Duration::from_millis(20)));
    let run = client.batch_execute("INSERT INTO booking VALUES (1, 'a')");
    let freeze = async {
        server.wait_for_running(1).await;
        server.inject(Fault::Freeze);
        tokio::time::sleep(Duration::from_millis(60)).await;
        let frozen = server.report().received;
        server.heal();
        frozen
    };
    let (done, frozen) = tokio::join!(run, freeze);
    done.expect("the statement runs after the freeze");
    assert_eq!((frozen.position, server.report().received.position), (2, 3));
}
