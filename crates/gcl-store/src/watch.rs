//! Watches: a streamed answer of JSON lines, read until it ends or fails.

use crate::{
    client::{Client, failure, read},
    convert::{self, Result},
    gateway::{Blob, Int, StreamItem, WatchCreate, WatchRequest, WatchResponse},
};
use gcl_core::{
    id,
    store::{Change, Event, Failure},
};
use reqwest::Response;
use std::time::Duration;
use tokio::time::timeout;

/// Time without a message after which a watch counts as lost; the store sends progress reports
/// more often.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest accepted line in bytes.
const MAX_LINE_BYTES: usize = 64 << 20;

/// Request to watch all keys with a prefix, starting at a revision.
pub fn request(prefix: &str, from: id::Revision) -> WatchRequest {
    let create_request = WatchCreate {
        key: Blob::text(prefix),
        range_end: Blob::prefix_end(prefix),
        start_revision: Int(from),
        progress_notify: true,
    };
    WatchRequest { create_request }
}

/// Opens a watch and delivers its changes; returns the reason for its end. `wait` limits the time
/// until the response headers arrive.
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
            Ok(Err(error)) => failure(&error),
            _ => Failure::Lost,
        };
    }
    let mut buffer = Vec::new();
    loop {
        let Ok(Ok(Some(chunk))) = timeout(SILENCE_TIMEOUT, response.chunk()).await else {
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
        if buffer.len() > MAX_LINE_BYTES {
            return Failure::Lost;
        }
    }
}

fn event(call: id::Call, line: &[u8]) -> Result<Option<Event>> {
    let line: StreamItem<WatchResponse> =
        serde_json::from_slice(line).map_err(|_malformed| Failure::Lost)?;
    let answer = line.result;
    if !answer.compact_revision.is_zero() {
        return Err(Failure::Compacted);
    }
    if answer.canceled {
        return Err(Failure::Lost);
    }
    if answer.created {
        // This line has the store's revision, which may be ahead of the changes sent so far.
        return Ok(None);
    }
    let changes = answer.events.into_iter().map(convert::change).collect::<Result<Vec<_>>>()?;
    let revision = answer.header.revision.0;
    let revision = changes.last().map_or(revision, Change::revision);
    Ok(Some(Event::Watched { call, changes, revision }))
}
