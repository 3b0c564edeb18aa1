//! The replica side of replication, which pulls the log of the followed primary.
//!
//! Entries pass through three stages: they are pulled from the primary, received into the log after
//! a lag, and applied to the data after another lag. Truncation before a pull and receipt check,
//! under the server's lock, that the server still follows the term of the pull.

use super::{
    control::DIVERGED,
    engine,
    fault::Peer,
    log::{Entry, Span},
    node::Leader,
    shared::Shared,
};
use gcl_core::{
    id::{Position, Term},
    mark::Mark,
};
use std::{io, sync::Arc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout},
};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// Maximum wait of the primary for new entries in one request.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time until a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failed pull.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// An entry pulled from the primary of a term.
#[derive(Debug)]
struct Pulled {
    term: Term,
    entry: Entry,
    at: Instant,
}

/// An entry in the log that has not been applied.
#[derive(Debug)]
struct Received {
    position: Position,
    at: Instant,
}

/// Replicates from the primary that the server follows, whenever that changes.
pub async fn run(shared: Arc<Shared>) {
    let (pulled, pulled_in) = mpsc::unbounded_channel();
    let (received, received_in) = mpsc::unbounded_channel();
    tokio::join!(
        follow(&shared, &pulled),
        receive(&shared, pulled_in, &received),
        apply(&shared, received_in),
    );
}

async fn follow(shared: &Arc<Shared>, pulled: &mpsc::UnboundedSender<Pulled>) {
    let mut changes = shared.changes();
    loop {
        changes.mark_unchanged();
        let leader = shared.node().leader().cloned();
        let Some(leader) = leader else {
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        };
        shared.wait_for_network(Peer::Server).await;
        let superseded = async {
            while changes.changed().await.is_ok() && shared.node().leader() == Some(&leader) {}
        };
        let done = tokio::select! {
            () = superseded => Ok(()),
            done = pull(shared, &leader, pulled) => done,
        };
        if let Err(error) = done {
            tracing::debug!(server = shared.options.name, %error, "pull from the primary failed");
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Pulls entries from a primary until an error occurs.
async fn pull(
    shared: &Arc<Shared>,
    leader: &Leader,
    pulled: &mpsc::UnboundedSender<Pulled>,
) -> io::Result<()> {
    let client = connect(leader).await?;
    let spans = call(shared, &client, &format!("goldcrest_history({})", leader.term)).await?;
    let spans: Vec<Span> = spans.iter().filter_map(|span| parse_span(span)).collect();
    shared.node().rewind(leader.term, &spans).map_err(sql_error)?;
    shared.signal();
    let mut last = shared.node().log().last();
    loop {
        let Mark { term, position } = last;
        let (at, wait) = (leader.term, POLL_TIMEOUT.as_millis());
        let request = format!("goldcrest_log({at}, {position}, {term}, {wait})");
        for entry in call(shared, &client, &request).await? {
            let entry: Entry = serde_json::from_str(&entry).map_err(io::Error::other)?;
            last = entry.mark;
            let pull = Pulled { term: leader.term, entry, at: Instant::now() };
            pulled.send(pull).map_err(io::Error::other)?;
        }
    }
}

async fn connect(leader: &Leader) -> io::Result<Client> {
    let mut config = Config::new();
    config
        .host(leader.address.ip().to_string())
        .port(leader.address.port())
        .user("replica")
        .options("-c goldcrest.control=on -c standin.server=on");
    let connect = timeout(RESPONSE_TIMEOUT, config.connect(NoTls)).await?;
    let (client, connection) = connect.map_err(io::Error::other)?;
    // The connection task ends when the client is dropped.
    tokio::spawn(connection);
    Ok(client)
}

/// Calls an SQL function on the primary and returns its only column.
async fn call(shared: &Arc<Shared>, client: &Client, call: &str) -> io::Result<Vec<String>> {
    shared.wait_for_network(Peer::Server).await;
    let sql = format!("SELECT * FROM {call}");
    let response = timeout(RESPONSE_TIMEOUT, client.simple_query(&sql)).await?;
    shared.wait_for_network(Peer::Server).await;
    let response = response.map_err(|error| {
        let diverged = error.code().is_some_and(|code| code.code() == DIVERGED);
        let kind = if diverged { io::ErrorKind::InvalidData } else { io::ErrorKind::Other };
        io::Error::new(kind, error)
    })?;
    let text = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    };
    Ok(response.iter().filter_map(text).collect())
}

fn parse_span(text: &str) -> Option<Span> {
    let (term, last) = text.split_once('/')?;
    Some(Span { term: term.parse().ok()?, last: last.parse().ok()? })
}

fn sql_error(error: engine::Error) -> io::Error {
    io::Error::other(error.message)
}

async fn receive(
    shared: &Arc<Shared>,
    mut pulled: mpsc::UnboundedReceiver<Pulled>,
    received: &mpsc::UnboundedSender<Received>,
) {
    while let Some(Pulled { term, entry, at }) = pulled.recv().await {
        sleep_until(at + shared.lag().receive).await;
        shared.wait_for_network(Peer::Server).await;
        let position = entry.mark.position;
        let accepted = shared.node().accept(term, entry);
        if accepted {
            shared.signal();
            let next = Received { position, at: Instant::now() };
            if received.send(next).is_err() {
                return;
            }
        }
    }
}

async fn apply(shared: &Arc<Shared>, mut received: mpsc::UnboundedReceiver<Received>) {
    while let Some(Received { position, at }) = received.recv().await {
        sleep_until(at + shared.lag().apply).await;
        shared.wait_for_network(Peer::Server).await;
        shared.node().apply_to(position);
        shared.signal();
    }
}
