//! Watches: one line of JSON per batch of changes, and progress notifications when there are none.

use super::{
    fault::Outage,
    server::Platform,
    store::{Error, Store},
};
use actix_web::{HttpResponse, web::Bytes};
use futures::stream;
use gcl_store::gateway::{Blob, Header, Int, StreamItem, WatchCreate, WatchResponse};
use std::{convert::Infallible, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

#[derive(Debug)]
struct Watch {
    platform: Platform,
    changes: watch::Receiver<u64>,
    start: Blob,
    end: Blob,
    next: u64,
    next_progress: Instant,
    created: bool,
    ended: bool,
}

/// The streamed response of a watch.
pub fn respond(platform: Platform, request: WatchCreate) -> HttpResponse {
    let next = match request.start_revision.0 {
        0 => platform.store(|store| store.revision()) + 1,
        revision => revision,
    };
    let watch = Watch {
        changes: platform.changes(),
        next_progress: Instant::now() + platform.progress(),
        platform,
        start: request.key,
        end: request.range_end,
        next,
        created: false,
        ended: false,
    };
    HttpResponse::Ok().content_type("application/json").streaming(stream::unfold(watch, step))
}

async fn step(mut watch: Watch) -> Option<(Result<Bytes, Infallible>, Watch)> {
    if watch.ended {
        return None;
    }
    let line = if watch.created { watch.line().await? } else { watch.create() };
    let mut text = serde_json::to_vec(&StreamItem { result: line }).ok()?;
    text.push(b'\n');
    Some((Ok(text.into()), watch))
}

impl Watch {
    fn create(&mut self) -> WatchResponse {
        self.created = true;
        let revision = self.platform.store(|store| store.revision());
        WatchResponse { header: header(revision), created: true, ..WatchResponse::default() }
    }

    /// Waits for the next line. Returns `None` if an outage cuts the watch.
    async fn line(&mut self) -> Option<WatchResponse> {
        loop {
            let fault = self.platform.fault();
            match fault.outage {
                Some(Outage::Refuse) => return None,
                Some(Outage::Hang) => {
                    let _ = self.changes.changed().await;
                    continue;
                }
                None => actix_web::rt::time::sleep(Duration::from_millis(fault.slow_ms)).await,
            }
            if let Some(line) = self.poll() {
                return Some(line);
            }
            let _ = timeout_at(self.next_progress, self.changes.changed()).await;
        }
    }

    fn poll(&mut self) -> Option<WatchResponse> {
        let platform = self.platform.clone();
        self.changes.mark_unchanged();
        platform.read_store(|store| self.next_response(store))
    }

    fn next_response(&mut self, store: &Store) -> Option<WatchResponse> {
        let revision = store.revision();
        let events = match store.changes_from(&self.start, &self.end, self.next) {
            Ok(events) => events,
            Err(Error::Compacted) => {
                self.ended = true;
                return Some(WatchResponse {
                    header: header(revision),
                    canceled: true,
                    compact_revision: Int(store.first()),
                    ..WatchResponse::default()
                });
            }
            Err(_) => return None,
        };
        let now = Instant::now();
        if events.is_empty() && now < self.next_progress {
            return None;
        }
        self.next = self.next.max(revision + 1);
        self.next_progress = now + self.platform.progress();
        Some(WatchResponse { header: header(revision), events, ..WatchResponse::default() })
    }
}

const fn header(revision: u64) -> Header {
    Header { revision: Int(revision) }
}
