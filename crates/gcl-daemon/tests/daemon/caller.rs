//! Tests of `gcl_daemon::caller`, driven by an ordinary client and by raw bytes.

use crate::echo::{BROKEN, Echo};
use gcl_core::{caller::Event, settings::Bounds};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

async fn connect(echo: &Echo, password: &str) -> Result<Client, tokio_postgres::Error> {
    let mut config = Config::new();
    config.host("127.0.0.1").port(echo.listener.address().port());
    config.user("kazyna").password(password).dbname("orders");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

fn first(messages: &[SimpleQueryMessage]) -> Option<&str> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    })
}

#[tokio::test]
async fn an_ordinary_client_logs_in_and_queries() {
    let mut echo = Echo::start(Bounds::default(), None, false);
    let client = connect(&echo, "id.secret").await.expect("the key is good");
    let messages = client.simple_query("select 1").await.expect("the query runs");
    assert_eq!(first(&messages), Some("select 1"));
    let rows = client.query("select 2", &[]).await.expect("the extended query runs");
    assert_eq!(rows[0].get::<_, &str>(0), "row");
    drop(client);
    echo.event(|event| *event == Event::Closed).await;
}

#[tokio::test]
async fn an_error_leaves_the_connection_usable() {
    let echo = Echo::start(Bounds::default(), None, false);
    let client = connect(&echo, "id.secret").await.expect("the key is good");
    let error = client.simple_query(BROKEN).await.expect_err("the query is refused");
    let error = error.as_db_error().expect("the refusal comes from the daemon");
    assert_eq!(error.code().code(), "0A000");
    assert!(error.message().starts_with("G110 "), "{}", error.message());
    assert!(error.message().ends_with("not run"), "{}", error.message());
    let messages = client.simple_query("again").await.expect("the connection is usable");
    assert_eq!(first(&messages), Some("again"));
}

#[tokio::test]
async fn a_wrong_key_ends_the_connection() {
    let echo = Echo::start(Bounds::default(), None, false);
    let error = connect(&echo, "id.wrong").await.expect_err("the key is wrong");
    assert_eq!(error.code().map(tokio_postgres::error::SqlState::code), Some("28P01"));
}
