//! A watch: one streamed answer of JSON lines, followed until it breaks.

use crate::{
    client::{Client, failure, read},
    convert::{self, Result},
    gateway::{Blob, Int, Line, WatchCreate, WatchRequest, WatchResponse},
};
use gcl_core::{
    id,
    store::{Change, Event, Failure},
};
use reqwest::Response;
use std::time::Duration;
use tokio::time::timeout;

/// Longest silence on a watch before it counts as lost; progress reports come more often.
const SILENCE: Duration = Duration::from_secs(10);
/// Largest line in bytes.
const LINE_BYTES: usize = 64 << 20;

/// Watches all keys with a prefix from a revision on.
pub fn request(prefix: &str, from: id::Revision) -> WatchRequest {
    let create_request = WatchCreate {
        key: Blob::text(prefix),
        range_end: Blob::prefix_end(prefix),
        start_revision: Int(from),
        progress_notify: true,
    };
    WatchRequest { create_request }
}

/// Follows a watch and delivers what it sees; gives why it ended.
pub async fn follow(
    client: &Client,
    call: id::Call,
    request: &WatchRequest,
    wait: Duration,
) -> Failure {
    match timeout(wait, client.open("/v3/watch", request)).await {
        Ok(Ok(response)) => stream(client, call, response).await,
        Ok(Err(failure)) => failure,
        Err(_elapsed) => Failure::Lost,
    }
}

async fn stream(client: &Client, call: id::Call, mut response: Response) -> Failure {
    if !response.status().is_success() {
        return match read(response).await {
            Ok(Err(refusal)) => failure(&refusal),
            _ => Failure::Lost,
        };
    }
    let mut buffer = Vec::new();
    loop {
        let Ok(Ok(Some(chunk))) = timeout(SILENCE, response.chunk()).await else {
            return Failure::Lost;
        };
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            match event(call, &line) {
                Ok(Some(event)) => client.deliver(event),
                Ok(None) => {}
                Err(failure) => return failure,
            }
        }
        if buffer.len() > LINE_BYTES {
            return Failure::Lost;
        }
    }
}

fn event(call: id::Call, line: &[u8]) -> Result<Option<Event>> {
    let line: Line<WatchResponse> =
        serde_json::from_slice(line).map_err(|_malformed| Failure::Lost)?;
    let answer = line.result;
    if !answer.compact_revision.is_zero() {
        return Err(Failure::Compacted);
    }
    if answer.canceled {
        return Err(Failure::Lost);
    }
    if answer.created {
        // The revision of this line is the store's, not that of the changes sent so far.
        return Ok(None);
    }
    let changes = answer.events.into_iter().map(convert::change).collect::<Result<Vec<_>>>()?;
    let revision = answer.header.revision.0;
    let revision = changes.last().map_or(revision, Change::revision);
    Ok(Some(Event::Watched { call, changes, revision }))
}
