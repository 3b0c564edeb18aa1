//! The platform: its metadata store and the call that promotes a server.

use crate::{
    json::{Json, from_base64, to_base64},
    server::Group,
    world::Record,
};
use std::{
    collections::{BTreeMap, HashMap},
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(String, Item)>,
    leases: HashMap<u64, (Instant, Duration)>,
    /// Services of the orders to promote.
    orders: Vec<String>,
    /// A service of another system, and the entry of its server once it leads.
    foreign: Option<(String, String)>,
}

pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self {
            inner: Mutex::new(Inner { revision: 10, ..Inner::default() }),
            changed: Condvar::new(),
            record,
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    fn expire(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let ended = inner.leases.iter().filter(|(_, (until, _))| *until <= now);
        let ended: Vec<_> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            inner.end(lease);
            self.changed.notify_all();
        }
    }

    pub fn put(&self, key: &str, value: &str) {
        self.inner.lock().unwrap().put(key, Some(value.as_bytes().to_vec()), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut inner = self.inner.lock().unwrap();
        if inner.items.get(key).is_some_and(|item| item.value.is_some()) {
            inner.put(key, None, 0);
        }
        self.changed.notify_all();
    }

    /// Accepts orders to promote the server of another system, which then registers itself like this.
    pub fn set_foreign(&self, service: &str, entry: String) {
        self.inner.lock().unwrap().foreign = Some((service.to_owned(), entry));
    }

    /// Orders to promote a server of a service.
    pub fn orders_of(&self, service: &str) -> u64 {
        self.inner.lock().unwrap().orders.iter().filter(|it| *it == service).count() as u64
    }

    pub fn serve(self: &Arc<Self>, group: &Arc<Group>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (store, group) = (Arc::clone(self), Arc::clone(group));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, group) = (Arc::clone(&store), Arc::clone(&group));
                thread::spawn(move || store.connection(&group, stream));
            }
        });
        address
    }

    fn connection(&self, group: &Group, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first).ok()? == 0 {
                return None;
            }
            let (mut length, mut headers) = (0, HashMap::new());
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line).ok()? == 0 {
                    return None;
                }
                let Some((name, value)) = line.trim_end().split_once(':') else { break };
                let (name, value) = (name.to_ascii_lowercase(), value.trim().to_owned());
                if name == "content-length" {
                    length = value.parse().ok()?;
                }
                headers.insert(name, value);
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
            let mut words = first.split_whitespace();
            let (_method, target) = (words.next()?, words.next()?);
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let query: HashMap<_, _> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), decode(value)))
                .collect();
            let (status, answer) = if path == "/promote" {
                let fence = headers.get("x-fencing-token").cloned().unwrap_or_default();
                let holder = headers.get("x-lease-holder").cloned().unwrap_or_default();
                let (service, id) = (body.get("service").text(), body.get("id").text());
                self.record.line(&format!("promote {service} {id} holder {holder} fence {fence}"));
                self.inner.lock().unwrap().orders.push(service.to_owned());
                let foreign = self.inner.lock().unwrap().foreign.clone();
                let taken = match foreign.filter(|(name, _)| service == name) {
                    // The other system's server runs as well; it leads from now on.
                    Some((_, entry)) => {
                        self.put(&format!("servers/{id}"), &entry);
                        true
                    }
                    None => group.promote(id),
                };
                (if taken { 200 } else { 409 }, "{}".to_owned())
            } else {
                self.call(path, &query, &body)
            };
            let head = format!(
                "HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            writer.write_all(head.as_bytes()).ok()?;
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn call(&self, path: &str, query: &HashMap<String, String>, body: &Json) -> (u16, String) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/v1/kv-range" => self.inner.lock().unwrap().range(&text("prefix"), &text("after")),
            "/v1/kv-watch" => self.watch(
                &text("prefix"),
                text("after").parse().unwrap_or(0),
                Duration::from_millis(text("wait_ms").parse().unwrap_or(0)),
            ),
            "/v1/kv-txn" => {
                let answer = self.inner.lock().unwrap().transact(body);
                self.changed.notify_all();
                answer
            }
            "/v1/kv-lease" => {
                let mut inner = self.inner.lock().unwrap();
                inner.revision += 1;
                let (lease, ttl) = (inner.revision, body.get("ttl_ms").number().max(1000));
                let duration = Duration::from_millis(ttl);
                inner.leases.insert(lease, (Instant::now() + duration, duration));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            _ => {
                let mut inner = self.inner.lock().unwrap();
                let lease = |prefix: &str| path.strip_prefix(prefix)?.parse::<u64>().ok();
                if let Some(lease) = lease("/v1/kv-keep/") {
                    return match inner.leases.get_mut(&lease) {
                        Some((until, duration)) => {
                            *until = Instant::now() + *duration;
                            (200, format!("{{\"ttl_ms\":{}}}", duration.as_millis()))
                        }
                        None => (404, "{}".to_owned()),
                    };
                }
                if let Some(lease) = lease("/v1/kv-lease-end/") {
                    let known = inner.leases.contains_key(&lease);
                    inner.end(lease);
                    self.changed.notify_all();
                    return (if known { 200 } else { 404 }, "{}".to_owned());
                }
                (404, "{}".to_owned())
            }
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut inner = self.inner.lock().unwrap();
        loop {
            let events: Vec<_> = inner
                .history
                .iter()
                .filter(|(key, item)| item.revision > after && key.starts_with(prefix))
                .map(|(key, item)| item.json(key))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = inner.revision;
                return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}

impl Inner {
    fn put(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64) {
        self.revision += 1;
        let before = self.items.get(key).filter(|item| item.value.is_some());
        let created = before.map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((key.to_owned(), item.clone()));
        self.items.insert(key.to_owned(), item);
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, it)| it.lease == lease && it.value.is_some());
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.put(&key, None, 0);
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let found = self.items.iter().filter(|(key, item)| {
            item.value.is_some() && key.starts_with(prefix) && key.as_str() > after
        });
        let items: Vec<_> = found.map(|(key, item)| item.json(key)).collect();
        let (more, at) = (items.len() > 500, self.revision);
        let page = items.into_iter().take(500).collect::<Vec<_>>().join(",");
        (200, format!("{{\"items\":[{page}],\"has_more\":{more},\"at\":{at}}}"))
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let current = |key: &str| self.items.get(key).filter(|item| item.value.is_some());
        let holds = body.get("precondition").list().iter().all(|row| {
            let revision = current(row.get("key").text()).map_or(0, |item| item.revision);
            revision == row.get("revision").number()
        });
        if !holds {
            let keys = body.get("precondition").list().iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|key| current(key).map(|item| item.json(key)));
            return (412, format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(",")));
        }
        let puts = body.get("put_items").list();
        let lease = |row: &Json| row.get("lease").number();
        if puts.iter().any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row))) {
            return (404, "{}".to_owned());
        }
        for row in puts {
            let value = from_base64(row.get("value").text());
            self.put(row.get("key").text(), Some(value), lease(row));
        }
        for key in body.get("delete_keys").list() {
            self.put(key.text(), None, 0);
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Self { value, revision, created, lease } = self;
        match value {
            Some(value) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}",
                to_base64(value)
            ),
            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
        }
    }
}

fn decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
