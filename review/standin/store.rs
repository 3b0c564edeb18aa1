//! The platform's store over HTTP/1.1, and the platform's interface for promotions.

use crate::{
    json::{Json, base64},
    record::Record,
};
use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// A stored item.
#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: the key, its revision, and the item unless it was deleted.
    history: Vec<(String, u64, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Whether calls that arrive get no answer, also not later.
    silent: bool,
}

/// An order to promote a server: the service, the server, the holder and the fence number.
pub type Order = (String, String, String, u64);
type Promote = Box<dyn Fn(Order) -> u16 + Send + Sync>;

/// The store; clones share the state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    /// Starts the store and the interface for promotions on one port.
    pub fn start(record: &Record, promote: Promote) -> std::io::Result<(Self, SocketAddr)> {
        let store = Self {
            shared: Arc::new((
                Mutex::new(State { revision: 100, ..State::default() }),
                Condvar::new(),
            )),
            record: record.clone(),
        };
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (accepting, promote) = (store.clone(), Arc::new(promote));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, promote) = (accepting.clone(), Arc::clone(&promote));
                thread::spawn(move || store.serve(stream, &promote));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Writes a key as the operator or a server; returns the revision, which acknowledges it.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: base64(value.as_bytes()), revision, created, lease: 0 };
        state.set(key, item);
        drop(state);
        self.shared.1.notify_all();
        revision
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        let mut state = self.lock();
        state.remove(key);
        drop(state);
        self.shared.1.notify_all();
    }

    /// Starts or ends an outage in which the store is silent.
    pub fn set_silent(&self, silent: bool) {
        self.record.line(&format!("store: {}", if silent { "silent" } else { "answers again" }));
        self.lock().silent = silent;
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended: Vec<_> = state
            .leases
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &ended {
            state.end(*lease);
        }
        drop(state);
        if !ended.is_empty() {
            self.record.line(&format!("store: leases ended {ended:?}"));
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream, promote: &Promote) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut words = line.split_whitespace();
            let method = words.next().unwrap_or_default().to_owned();
            let target = words.next().unwrap_or_default().to_owned();
            let mut headers = BTreeMap::new();
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                match header.trim_end().split_once(':') {
                    Some((name, value)) => {
                        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
                    }
                    None => break,
                }
            }
            let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let body =
                Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Word(String::new()));
            let silent = self.lock().silent;
            if let Some((_, query)) = target.split_once("kv-watch?") {
                let lost = if silent { ", never answered" } else { "" };
                self.record.line(&format!("store: watch {query}{lost}"));
            }
            if silent {
                // Nothing further comes on this connection.
                loop {
                    thread::sleep(Duration::from_secs(3600));
                }
            }
            // The store answers within 4 ms.
            thread::sleep(Duration::from_millis(2));
            let (status, text) = match (method.as_str(), target.as_str()) {
                ("POST", "/promote") => {
                    let part = |name| body.get(name).map(Json::text).unwrap_or_default().to_owned();
                    let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
                    let fence = header("x-fencing-token").parse().unwrap_or(0);
                    let order = (part("service"), part("id"), header("x-lease-holder"), fence);
                    (promote(order), "{}".to_owned())
                }
                _ => self.call(&method, &target, &body),
            };
            let reply = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, method: &str, target: &str, body: &Json) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<_, _> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let text = |name| query.get(name).cloned().unwrap_or_default();
        match (method, path) {
            ("GET", "/v1/kv-range") => self.range(&text("prefix"), &text("after")),
            ("GET", "/v1/kv-watch") => {
                let after = text("after").parse().unwrap_or(0);
                let wait = text("wait_ms").parse().unwrap_or(0);
                self.watch(&text("prefix"), after, Duration::from_millis(wait))
            }
            ("POST", "/v1/kv-txn") => self.transact(body),
            ("POST", "/v1/kv-lease") => self.grant(body),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let lease = number(path);
                self.lock().end(lease);
                self.shared.1.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.lock();
        let matching =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<_> = matching.take(500).map(|(key, item)| item_text(key, item)).collect();
        let all = state.items.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let more = all.count() > items.len();
        let at = state.revision;
        (200, format!(r#"{{"items":[{}],"has_more":{more},"at":{at}}}"#, items.join(",")))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let changes = state
                .history
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<_> = changes
                .map(|(key, revision, item)| match item {
                    Some(item) => item_text(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return (200, format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|broken| broken.into_inner()).0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let empty = Json::List(Vec::new());
        let rows = |name: &str| body.get(name).unwrap_or(&empty).list().to_vec();
        let mut state = self.lock();
        let conditions = rows("precondition");
        let holds = conditions.iter().all(|row| {
            let key = row.get("key").map(Json::text).unwrap_or_default();
            let expected = row.get("revision").map(Json::number).unwrap_or(0);
            state.items.get(key).map_or(0, |item| item.revision) == expected
        });
        if !holds {
            return (412, r#"{"items":[]}"#.into());
        }
        let puts = rows("put_items");
        let lease_of = |row: &Json| row.get("lease").map(Json::number).unwrap_or(0);
        if puts.iter().any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row))) {
            return (404, "{}".into());
        }
        state.revision += 1;
        let revision = state.revision;
        for row in &puts {
            let key = row.get("key").map(Json::text).unwrap_or_default().to_owned();
            let value = row.get("value").map(Json::text).unwrap_or_default().to_owned();
            let created = state.items.get(&key).map_or(revision, |item| item.created);
            state.set(&key, Item { value, revision, created, lease: lease_of(row) });
            if key.starts_with("goldcrest/group/") {
                self.record.line(&format!("store: {key} written at {revision}"));
            }
        }
        for key in rows("delete_keys") {
            state.remove(key.text());
        }
        drop(state);
        self.shared.1.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }

    fn grant(&self, body: &Json) -> (u16, String) {
        let ttl_ms = body.get("ttl_ms").map(Json::number).unwrap_or(0).clamp(1000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.lock();
        state.last_lease += 1;
        let lease = state.last_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
    }

    fn keep(&self, path: &str) -> (u16, String) {
        match self.lock().leases.get_mut(&number(path)) {
            Some((ttl, at)) => {
                *at = Instant::now() + *ttl;
                (200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
            }
            None => (404, "{}".into()),
        }
    }
}

impl State {
    fn set(&mut self, key: &str, item: Item) {
        self.history.push((key.to_owned(), item.revision, Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    fn end(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() {
            let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
            for key in attached.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
                self.remove(&key);
            }
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}

fn number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Decodes the percent-encoding of a query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let code: Vec<u8> = rest.by_ref().take(2).collect();
            let code = String::from_utf8_lossy(&code).into_owned();
            bytes.push(u8::from_str_radix(&code, 16).unwrap_or(b'?'));
        } else {
            bytes.push(if byte == b'+' { b' ' } else { byte });
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
