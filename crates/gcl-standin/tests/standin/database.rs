//! The database stand-in, met by an ordinary driver.

use crate::fixture::{ask, connect, follow, group};
use gcl_core::{mark::Mark, server::Role};
use gcl_standin::database::{Boot, Lag, Options, Server, fault::Fault, settings::Settings};
use std::time::Duration;
use tokio_postgres::{Client, error::SqlState};

async fn count(client: &Client) -> i64 {
    client.query_one("SELECT count(*) FROM booking", &[]).await.expect("the table is there").get(0)
}

#[tokio::test]
async fn replicates_to_followers() {
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
        let row = row.expect("the row arrived");
        assert_eq!((row.get::<_, i64>(0), row.get::<_, &str>(1)), (7, "asha"));
        let error = replica.execute(insert, &[&8_i64, &"x"]).await.expect_err("a replica");
        assert_eq!(error.code(), Some(&SqlState::READ_ONLY_SQL_TRANSACTION));
    }
}

#[tokio::test]
async fn fence_stops_a_transaction_in_flight() {
    let servers = group(1).await;
    let client = connect(&servers[0], "").await;
    client.batch_execute("CREATE TABLE booking (id int8 PRIMARY KEY)").await.expect("ok");
    client.batch_execute("BEGIN; INSERT INTO booking VALUES (1)").await.expect("ok");
    assert_eq!(ask(&servers[0], "goldcrest_fence(2)").await[0], "t");
    let error = client.batch_execute("COMMIT").await.expect_err("the term is over");
    assert_eq!(error.code(), Some(&SqlState::READ_ONLY_SQL_TRANSACTION));
    assert_eq!(count(&client).await, 0);
    assert_eq!(ask(&servers[0], "goldcrest_fence(2)").await[0], "f");
}

#[tokio::test]
async fn an_old_primary_rewinds_its_tail() {
    let servers = group(3).await;
    let client = connect(&servers[0], "").await;
    client.batch_execute("CREATE TABLE booking (id int8 PRIMARY KEY)").await.expect("ok");
    for server in &servers[1..] {
        server.wait_for(|report| report.applied == Mark::new(1, 2)).await;
    }
    servers[0].inject(Fault::IsolateReplication);
    client.batch_execute("INSERT INTO booking VALUES (1)").await.expect("still primary");
    for server in &servers[1..] {
        ask(server, "goldcrest_fence(2)").await;
    }
    ask(&servers[1], "goldcrest_promote(2)").await;
    follow(&servers[2], 2, &servers[1]).await;
    let other = connect(&servers[1], "").await;
    other.batch_execute("INSERT INTO booking VALUES (2)").await.expect("the new primary");
    servers[0].heal();
    follow(&servers[0], 2, &servers[1]).await;
    servers[0].wait_for(|report| report.applied == Mark::new(2, 4)).await;
    let ids = client.query("SELECT id FROM booking", &[]).await.expect("a replica reads");
    assert_eq!(ids.iter().map(|row| row.get::<_, i64>(0)).collect::<Vec<_>>(), [2]);
    assert_eq!(servers[0].log(), servers[2].log());
    assert_eq!(servers[0].report().role, Role::Replica);
}

#[tokio::test]
async fn await_returns_when_the_mark_is_held() {
    let servers = group(2).await;
    servers[1].wait_for(|report| report.applied == Mark::new(1, 1)).await;
    let lag = Lag { receive: Duration::from_millis(20), apply: Duration::from_mins(1) };
    servers[1].set_lag(lag);
    let client = connect(&servers[0], "").await;
    client.batch_execute("CREATE TABLE booking (id int8 PRIMARY KEY)").await.expect("ok");
    let report = ask(&servers[1], "goldcrest_await(1, 2, 30000)").await;
    assert_eq!(report[3..5], ["1", "2"], "received");
    assert_eq!(report[5..7], ["1", "1"], "applied");
}

#[tokio::test]
async fn a_group_is_set_up_by_its_settings() {
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
    assert!(unknown.is_err(), "unknown fields are refused");
}

#[tokio::test]
async fn a_journal_keeps_the_state_over_a_kill() {
    let path = std::env::temp_dir().join(format!("standin-journal-{}", std::process::id()));
    let options =
        || Options { boot: Boot::Primary, journal: Some(path.clone()), ..Options::default() };
    let server = Server::start(options()).await.expect("a port is free");
    let client = connect(&server, "").await;
    client.batch_execute("CREATE TABLE booking (id int8 PRIMARY KEY)").await.expect("ok");
    client.batch_execute("INSERT INTO booking VALUES (1)").await.expect("ok");
    ask(&server, "goldcrest_fence(5)").await;
    let (report, log) = (server.report(), server.log());
    drop(server);
    let cut = std::fs::read(&path).expect("the journal is there");
    std::fs::write(&path, [cut.as_slice(), b"{\"Term\":"].concat()).expect("it can be written");
    let server = Server::start(options()).await.expect("a port is free");
    std::fs::remove_file(&path).expect("it was there");
    assert_eq!((server.report(), server.log()), (report, log));
    assert_eq!(server.report().role, Role::Replica);
    assert_eq!(count(&connect(&server, "").await).await, 1);
}
