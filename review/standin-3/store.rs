//! The platform's store, in memory, as PROTOCOL.md describes it.

use crate::{
    http::{Answer, Request},
    json::{Json, from_base64, to_base64},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Time of the store for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most items of a page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(String, Item)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Whether calls are turned away, those of servers included.
    down: bool,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    pub fn start() -> Self {
        let store = Self::default();
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<_> =
            state.leases.iter().filter(|(_, (at, _))| *at <= now).map(|(lease, _)| *lease).collect();
        for lease in &ended {
            state.end(*lease);
        }
        drop(state);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    /// Begins or ends an outage, in which calls are turned away. Leases run out meanwhile.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.changed.notify_all();
    }

    /// Writes a key as the operator or a server does; `None` removes it.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let mut state = self.lock();
        if state.down && value.is_some() {
            return;
        }
        state.put(key, value.map(|text| text.as_bytes().to_vec()), 0);
        self.changed.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Answer {
        thread::sleep(ANSWER_TIME);
        if self.lock().down {
            return (503, "{}".to_owned());
        }
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let id = |prefix: &str| request.path.strip_prefix(prefix).and_then(|it| it.parse().ok());
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-key") => self.lock().read(&query("key")),
            ("GET", "/v1/kv-range") => self.lock().range(&query("prefix"), &query("after")),
            ("GET", "/v1/kv-watch") => {
                let after = query("after").parse().unwrap_or(0);
                let wait = query("wait_ms").parse().unwrap_or(0);
                self.watch(&query("prefix"), after, Duration::from_millis(wait))
            }
            ("POST", "/v1/kv-txn") => self.transact(&request.body),
            ("POST", "/v1/kv-lease") => {
                let ttl = Json::parse(&request.body).map_or(1000, |it| it.get("ttl_ms").number());
                let mut state = self.lock();
                state.revision += 1;
                let lease = state.revision;
                let ttl = Duration::from_millis(ttl.clamp(1000, 600_000));
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{}}}"#, ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let lease = id("/v1/kv-keep/").unwrap_or(0);
                match self.lock().leases.get_mut(&lease) {
                    Some((at, ttl)) => {
                        *at = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let lease = id("/v1/kv-lease-end/").unwrap_or(0);
                let existed = self.lock().end(lease);
                self.changed.notify_all();
                (if existed { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Answer {
        let deadline = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = self.lock();
        loop {
            let events: Vec<_> = state
                .history
                .iter()
                .filter(|(key, item)| item.revision > after && key.starts_with(prefix))
                .map(|(key, item)| item.json(key))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if state.down {
                return (503, "{}".to_owned());
            }
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return (200, format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
            }
            state = self.changed.wait_timeout(state, left).expect("no thread panics").0;
        }
    }

    fn transact(&self, body: &str) -> Answer {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        let conditions = body.get("precondition").list();
        let holds = |row: &Json| {
            state.present(row.get("key").text()).map_or(0, |it| it.revision)
                == row.get("revision").number()
        };
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|key| Some(state.present(key)?.json(key)));
            let items: Vec<_> = items.collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let puts = body.get("put_items").list();
        let deletes = body.get("delete_keys").list();
        let keys = puts.iter().map(|row| row.get("key").text()).chain(deletes.iter().map(Json::text));
        if keys.clone().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, "{}".to_owned());
        }
        let lease = |row: &Json| row.get("lease").number();
        if puts.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
            return (404, "{}".to_owned());
        }
        for row in puts {
            let value = from_base64(row.get("value").text());
            state.put(row.get("key").text(), Some(value), lease(row));
        }
        for key in deletes {
            state.put(key.text(), None, 0);
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Self { revision, created, lease, .. } = self;
        match &self.value {
            Some(value) => format!(
                r#"{{"key":"{key}","value":"{}","revision":{revision},"created":{created},"lease":{lease}}}"#,
                to_base64(value)
            ),
            None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
        }
    }
}

impl State {
    fn present(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    fn put(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64) {
        if value.is_none() && !self.items.contains_key(key) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item { value, revision, created, lease };
        if item.value.is_some() {
            self.items.insert(key.to_owned(), item.clone());
        } else {
            self.items.remove(key);
        }
        self.history.push((key.to_owned(), item));
    }

    fn end(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let keys = self.items.iter().filter(|(_, item)| lease != 0 && item.lease == lease);
        for key in keys.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.put(&key, None, 0);
        }
        existed
    }

    fn read(&self, key: &str) -> Answer {
        match self.present(key) {
            Some(item) => {
                let body = item.json(key);
                (200, format!(r#"{},"at":{}}}"#, &body[..body.len() - 1], self.revision))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Answer {
        let items = self.items.iter();
        let mut items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<_> = items.by_ref().take(PAGE).map(|(key, item)| item.json(key)).collect();
        let more = items.next().is_some();
        (200, format!(r#"{{"items":[{}],"has_more":{more},"at":{}}}"#, page.join(","), self.revision))
    }
}
