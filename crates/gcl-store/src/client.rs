//! Carries out calls to the store over HTTP and delivers the results as events.
//!
//! A failure is [`Failure::Unreached`] only if no byte of the call can have been sent: the
//! connection could not be opened, or the call timed out while waiting for a permit. Any later
//! failure is [`Failure::Lost`], since the call may have taken effect, except for errors that the
//! store reports itself.

use crate::{
    convert::{self, Result},
    gateway::{
        ErrorBody, Int, LeaseRequest, LeaseResponse, NOT_FOUND, OUT_OF_RANGE, RESOURCE_EXHAUSTED,
        RangeResponse, StreamItem, TxnResponse,
    },
    watch,
};
use gcl_core::{
    id,
    store::{Call, Event, Failure, Op, Reply, Vm},
};
use reqwest::{Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Semaphore, mpsc::UnboundedSender},
    task::AbortHandle,
    time::{Instant, timeout_at},
};

/// Maximum number of concurrent calls, not counting watches.
const MAX_CALLS: usize = 32;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest accepted answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The result of building a client.
pub type BuildResult<T> = std::result::Result<T, reqwest::Error>;

/// A client of the store; clones share its connections and watches.
#[derive(Clone, Debug)]
pub struct Client {
    base: Arc<str>,
    http: reqwest::Client,
    events: UnboundedSender<Event>,
    permits: Arc<Semaphore>,
    watches: Arc<Mutex<HashMap<id::Call, AbortHandle>>>,
}

impl Client {
    /// Creates a client of the store at `base`, given as `http://ip:port`, that sends to `events`.
    ///
    /// # Errors
    /// The HTTP client cannot be built.
    pub fn new(base: &str, events: UnboundedSender<Event>) -> BuildResult<Self> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .build()?;
        Ok(Self {
            base: base.trim_end_matches('/').into(),
            http,
            events,
            permits: Arc::new(Semaphore::new(MAX_CALLS)),
            watches: Arc::default(),
        })
    }

    /// Carries out a call in the background; must be called within a tokio runtime.
    pub fn call(&self, call: Call) {
        match call.op {
            Op::Watch { prefix, from } => self.watch(call.call, &prefix, from, call.timeout),
            Op::Unwatch(watch) => self.unwatch(watch),
            op => {
                let client = self.clone();
                tokio::spawn(async move {
                    let result = client.run(op, Instant::now() + call.timeout).await;
                    client.deliver(Event::Answered { call: call.call, result });
                });
            }
        }
    }

    fn watch(&self, call: id::Call, prefix: &str, from: id::Revision, timeout: Duration) {
        let client = self.clone();
        let request = watch::request(prefix, from);
        let mut watches = self.watches.lock().unwrap_or_else(PoisonError::into_inner);
        let task = tokio::spawn(async move {
            let failure = watch::follow(&client, call, &request, timeout).await;
            client.remove_watch(call);
            client.deliver(Event::Answered { call, result: Err(failure) });
        });
        watches.insert(call, task.abort_handle());
    }

    fn unwatch(&self, watch: id::Call) {
        if let Some(task) = self.remove_watch(watch) {
            task.abort();
        }
    }

    fn remove_watch(&self, watch: id::Call) -> Option<AbortHandle> {
        self.watches.lock().unwrap_or_else(PoisonError::into_inner).remove(&watch)
    }

    /// Sends an event to the reducer; does nothing if the reducer has stopped.
    pub(crate) fn deliver(&self, event: Event) {
        let _ = self.events.send(event);
    }

    async fn run(&self, op: Op, deadline: Instant) -> Result<Reply> {
        let permit = timeout_at(deadline, self.permits.acquire()).await;
        let _permit = permit.ok().and_then(std::result::Result::ok).ok_or(Failure::Unreached)?;
        let answer = timeout_at(deadline, self.exchange(op)).await;
        answer.unwrap_or(Err(Failure::Lost))
    }

    async fn exchange(&self, op: Op) -> Result<Reply> {
        match op {
            Op::Get(key) => {
                let range: RangeResponse = self.post("/v3/kv/range", &convert::get(&key)).await?;
                let entry = range.kvs.into_iter().next().map(convert::entry).transpose()?;
                Ok(Reply::Value(entry, range.header.revision.0))
            }
            Op::List(prefix) => {
                let range: RangeResponse =
                    self.post("/v3/kv/range", &convert::list(&prefix)).await?;
                let entries = range.kvs.into_iter().map(convert::entry).collect::<Result<_>>()?;
                Ok(Reply::List(entries, range.header.revision.0))
            }
            Op::Put { key, expected, value, lease } => {
                let put = convert::put(&key, &value, lease);
                self.swap(&convert::swap(&key, expected, put)).await
            }
            Op::Swap { guard, held, key, expected, value } => {
                self.swap(&convert::guarded_put((&guard, held), &key, expected, &value)).await
            }
            Op::Delete { key, expected } => {
                self.swap(&convert::swap(&key, expected, convert::delete(&key))).await
            }
            Op::Grant(time) => {
                let lease: LeaseResponse =
                    self.post("/v3/lease/grant", &convert::grant(time)).await?;
                Ok(Reply::Lease(lease.id.0))
            }
            Op::Renew(lease) => self.renew(lease).await,
            Op::Revoke(lease) => self.revoke(lease).await,
            Op::Vms => self.vms().await,
            Op::Watch { .. } | Op::Unwatch(_) => Err(Failure::Unreached),
        }
    }

    async fn swap(&self, request: &crate::gateway::TxnRequest) -> Result<Reply> {
        match self.send("/v3/kv/txn", request).await? {
            Ok(body) => convert::swap_reply(parse::<TxnResponse>(&body)?),
            Err(error) if error.code == NOT_FOUND => Ok(Reply::NoLease),
            Err(error) => Err(failure(&error)),
        }
    }

    async fn renew(&self, lease: u64) -> Result<Reply> {
        let request = LeaseRequest { id: Int(lease), ..LeaseRequest::default() };
        let line: StreamItem<LeaseResponse> = self.post("/v3/lease/keepalive", &request).await?;
        Ok(if line.result.ttl.is_zero() { Reply::NoLease } else { Reply::Lease(lease) })
    }

    async fn revoke(&self, lease: u64) -> Result<Reply> {
        let request = LeaseRequest { id: Int(lease), ..LeaseRequest::default() };
        match self.send("/v3/lease/revoke", &request).await? {
            Ok(body) => {
                let answer: LeaseResponse = parse(&body)?;
                Ok(Reply::Changed(answer.header.revision.0))
            }
            Err(error) if error.code == NOT_FOUND => Ok(Reply::NoLease),
            Err(error) => Err(failure(&error)),
        }
    }

    async fn vms(&self) -> Result<Reply> {
        let url = format!("{}/vms", self.base);
        let response = self.http.get(url).send().await.map_err(|error| send_failure(&error))?;
        match read(response).await? {
            Ok(body) => parse::<Vec<Vm>>(&body).map(Reply::Vms),
            Err(error) => Err(failure(&error)),
        }
    }

    async fn post<T: DeserializeOwned>(&self, path: &str, request: &impl Serialize) -> Result<T> {
        match self.send(path, request).await? {
            Ok(body) => parse(&body),
            Err(error) => Err(failure(&error)),
        }
    }

    async fn send(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<std::result::Result<Vec<u8>, ErrorBody>> {
        read(self.open(path, request).await?).await
    }

    /// Sends a call and waits for the response headers.
    pub(crate) async fn open(&self, path: &str, request: &impl Serialize) -> Result<Response> {
        let url = format!("{}{path}", self.base);
        let sent = self.http.post(url).json(request).send().await;
        sent.map_err(|error| send_failure(&error))
    }
}

/// Reads the body of a response, or the error that the store reports in it.
pub(crate) async fn read(
    mut response: Response,
) -> Result<std::result::Result<Vec<u8>, ErrorBody>> {
    let status = response.status();
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|_cut| Failure::Lost)? {
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(Failure::Lost);
        }
        body.extend_from_slice(&chunk);
    }
    if status.is_success() {
        return Ok(Ok(body));
    }
    let mut error: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
    if status == StatusCode::TOO_MANY_REQUESTS {
        error.code = RESOURCE_EXHAUSTED;
    }
    Ok(Err(error))
}

/// Maps an error reported by the store to a failure of the call.
pub(crate) const fn failure(error: &ErrorBody) -> Failure {
    match error.code {
        RESOURCE_EXHAUSTED => Failure::Refused,
        OUT_OF_RANGE => Failure::Compacted,
        _ => Failure::Lost,
    }
}

fn send_failure(error: &reqwest::Error) -> Failure {
    if error.is_connect() { Failure::Unreached } else { Failure::Lost }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|_malformed| Failure::Lost)
}
