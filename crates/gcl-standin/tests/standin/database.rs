//! Tests of replication, fencing and restarts of the database stand-in.

use crate::fixture::{call_control, connect, follow, group};
use gcl_core::{mark::Mark, server::Role};
use gcl_standin::database::{Boot, Lag, Options, Server, fault::Fault, settings::Settings};
use std::time::Duration;
use tokio_postgres::{Client, error::SqlState};

async fn count(client: &Client) -> i64 {
    client.query_one("SELECT count(*) FROM booking", &[]).await.expect("the table exists").get(0)
}

#[tokio::test]
async fn commits_are_replicated_to_followers() {
    let servers = group(3).await;
    let client = connect(&servers[0], "").await;
    client.batch_execute("CREATE TABLE booking (id int8 PRIMARY KEY, who text)").await.expect("ok");
    let insert = "INSERT INTO booking (id, who) VALUES ($1, $2)";
    let changed = client.execute(insert, &[&7_i64, &"asha"]).await.expect("the primary writes");
    assert_eq!(changed, 1);
    let mark = servers[0].report().applied;
    assert_eq!(mark, Mark::new(1, 3));
    for server in &servers[1..] {
        server.wait_for(|report| report.applied == mark).await;
        let replica = connect(server, "").await;
        let row = replica.query_one("SELECT id, who FROM booking WHERE id = $1", &[&7_i64]).await;
        let row = row.expect("the row was replicated");
        assert_eq!((row.get::<_, i64>(0), row.get::<_, &str>(1)), (7, "asha"));
        let error =
            replica.execute(insert, &[&8_i64, &"x"]).await.expect_err("a replica rejects writes");
        assert_eq!(error.code(), Some(&SqlState::READ_ONLY_SQL_TRANSACTION));
    }
}

#[tokio::test]
async fn a_fence_aborts_an_open_transaction() {
    let servers = group(1).await;
    let client = connect(&servers[0], "").await;
    client.batch_execute("CREATE TABLE booking (id int8 PRIMARY KEY)").await.expect("ok");
    client.batch_execute("BEGIN; INSERT INTO booking VALUES (1)").await.expect("ok");
    assert_eq!(call_control(&servers[0], "goldcrest_fence(2)").await[0], "t");
    let error = client.batch_execute("COMMIT").await.expect_err("the term has ended");
    assert_eq!(error.code(), Some(&SqlState::READ_ONLY_SQL_TRANSACTION));
    assert_eq!(count(&client).await, 0);
    assert_eq!(call_control(&servers[0], "goldcrest_fence(2)").await[0], "f");
}

#[tokio::test]
async fn a_former_primary_truncates_diverged_entries() {
    let servers = group(3).await;
    let client = connect(&servers[0], "").await;
    client.batch_execute("CREATE TABLE booking (id int8 PRIMARY KEY)").await.expect("ok");
    for server in &servers[1..] {
        server.wait_for(|report| report.applied == Mark::new(1, 2)).await;
    }
    servers[0].inject(Fault::IsolateReplication);
    client
        .batch_execute("INSERT INTO booking VALUES (1)")
        .await
        .expect("the server is still primary");
    for server in &servers[1..] {
        call_control(server, "goldcrest_fence(2)").await;
    }
    call_control(&servers[1], "goldcrest_promote(2)").await;
    follow(&servers[2], 2, &servers[1]).await;
    let other = connect(&servers[1], "").await;
    other.batch_execute("INSERT INTO booking VALUES (2)").await.expect("the new primary writes");
    servers[0].heal();
    follow(&servers[0], 2, &servers[1]).await;
    servers[0].wait_for(|report| report.applied == Mark::new(2, 4)).await;
    let ids = client.query("SELECT id FROM booking", &[]).await.expect("a replica reads");
    assert_eq!(ids.iter().map(|row| row.get::<_, i64>(0)).collect::<Vec<_>>(), [2]);
    assert_eq!(servers[0].log(), servers[2].log());
    assert_eq!(servers[0].report().role, Role::Replica);
}

#[tokio::test]
async fn await_returns_once_the_mark_is_received() {
    let servers = group(2).await;
    servers[1].wait_for(|report| report.applied == Mark::new(1, 1)).await;
    let lag = Lag { receive: Duration::from_millis(20), apply: Duration::from_mins(1) };
    servers[1].set_lag(lag);
    let client = connect(&servers[0], "").await;
    client.batch_execute("CREATE TABLE booking (id int8 PRIMARY KEY)").await.expect("ok");
    let report = call_control(&servers[1], "goldcrest_await(1, 2, 30000)").await;
    assert_eq!(report[3..5], ["1", "2"], "received");
    assert_eq!(report[5..7], ["1", "1"], "applied");
}

#[tokio::test]
async fn settings_define_the_initial_roles_of_a_group() {
    let text = r#"{ "name": "a", "address": "127.0.0.1:0", /* first */ "boot": "primary" }"#;
    let options = Settings::parse(text).expect("valid settings").options();
    let primary = Server::start(options).await.expect("a port is free");
    let text = format!(
        r#"{{ "name": "b", "address": "127.0.0.1:0", "apply_lag_ms": 1,
            "boot": {{ "follow": {{ "server": "a", "address": "{}" }} }} }}"#,
        primary.address()
    );
    let options = Settings::parse(&text).expect("valid settings").options();
    assert!(matches!(options.boot, Boot::Follow { .. }));
    let replica = Server::start(options).await.expect("a port is free");
    let report = replica.wait_for(|report| report.applied == Mark::new(1, 1)).await;
    assert_eq!((report.term, report.role), (1, Role::Replica));
    assert_eq!(primary.report().role, Role::Primary);
    let unknown = Settings::parse(r#"{ "name": "a", "address": "127.0.0.1:0", "lag": 1 }"#);
    assert!(unknown.is_err(), "unknown fields are rejected");
}

#[tokio::test]
async fn a_journal_preserves_the_state_across_restarts() {
    let path = std::env::temp_dir().join(format!("standin-journal-{}", std::process::id()));
    let options =
        || Options { boot: Boot::Primary, journal: Some(path.clone()), ..Options::default() };
    let server = Server::start(options()).await.expect("a port is free");
    let client = connect(&server, "").await;
    client.batch_execute("CREATE TABLE booking (id int8 PRIMARY KEY)").await.expect("ok");
    client.batch_execute("INSERT INTO booking VALUES (1)").await.expect("ok");
    call_control(&server, "goldcrest_fence(5)").await;
    let (report, log) = (server.report(), server.log());
    drop(server);
    let cut = std::fs::read(&path).expect("the journal exists");
    std::fs::write(&path, [cut.as_slice(), b"{\"Term\":"].concat())
        .expect("the journal can be written");
    let server = Server::start(options()).await.expect("a port is free");
    std::fs::remove_file(&path).expect("the journal can be removed");
    assert_eq!((server.report(), server.log()), (report, log));
    assert_eq!(server.report().role, Role::Replica);
    assert_eq!(count(&connect(&server, "").await).await, 1);
}
