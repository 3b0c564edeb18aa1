//! The servers of one database: a primary and its replicas.

use crate::{
    store::Store,
    world::{Record, unix_ms},
};
use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, atomic::AtomicU64, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

/// Name of the service.
pub const SERVICE: &str = "orders";
/// Connections that a server accepts.
pub const MAX_CONNECTIONS: usize = 30;
/// From the call to the promotion.
const PROMOTION: Duration = Duration::from_millis(300);
/// How long an old primary goes on after it could reach the new one.
const OLD_PRIMARY: Duration = Duration::from_secs(1);
/// Silence after which an entry is removed: three check-in intervals of 1.2 s.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3600);
/// Time for a read, write or commit.
const WORK: Duration = Duration::from_millis(1);

/// How a server fails a part of its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Grey {
    /// It answers `FAILED`.
    Errors,
    /// It runs them and answers `FAILED`. Of the commands of the system only SET has an effect.
    Ran,
    /// It does not answer.
    Hang,
}

#[derive(Clone, Debug)]
pub struct Commit {
    pub term: u64,
    /// Items with their data.
    pub writes: Vec<(String, String)>,
}

struct Server {
    id: String,
    zone: String,
    address: SocketAddr,
    is_primary: bool,
    term: u64,
    log: Vec<Commit>,
    up: bool,
    /// It receives nothing from its primary.
    deaf: bool,
    grey: Option<(Grey, u64)>,
    born: u64,
    connections: Vec<(u64, TcpStream)>,
}

impl Server {
    fn position(&self) -> String {
        format!("{}.{}", self.log.last().map_or(1, |commit| commit.term), self.log.len())
    }

    fn has(&self, after: (u64, usize)) -> bool {
        (self.log.last().map_or(1, |commit| commit.term), self.log.len()) >= after
    }
}

pub struct Group {
    servers: Mutex<Vec<Server>>,
    /// A replica has received commits, or a server has changed.
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    sync_replicas: usize,
    last_connection: AtomicU64,
    random: AtomicU64,
    /// The session values that were acknowledged to each client, where they are checked.
    acknowledged: Mutex<HashMap<String, HashMap<String, String>>>,
    /// Statements that ran with other values than these.
    other_values: AtomicU64,
}

struct Transaction {
    read_only: bool,
    failed: bool,
    writes: Vec<(String, String)>,
}

impl Group {
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        zones: [&str; 3],
        sync_replicas: usize,
    ) -> Arc<Self> {
        let servers = zones.iter().enumerate().map(|(rank, zone)| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            Server {
                id: format!("i-{}", ["a", "b", "c"][rank]),
                zone: (*zone).to_owned(),
                address: listener.local_addr().expect("an address"),
                is_primary: rank == 0,
                term: 1,
                log: Vec::new(),
                up: true,
                deaf: false,
                grey: None,
                born: unix_ms(),
                connections: Vec::new(),
            }
        });
        let group = Arc::new(Self {
            servers: Mutex::new(servers.collect()),
            changed: Condvar::new(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            sync_replicas,
            last_connection: AtomicU64::new(0),
            random: AtomicU64::new(unix_ms() | 1),
            acknowledged: Mutex::default(),
            other_values: AtomicU64::new(0),
        });
        for rank in 0..zones.len() {
            group.register(&group.lock()[rank]);
            let listening = Arc::clone(&group);
            thread::spawn(move || listening.listen(rank));
        }
        let replicating = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1));
                replicating.replicate();
            }
        });
        group
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Server>> {
        self.servers.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn register(&self, server: &Server) {
        let role = if server.is_primary { "primary" } else { "replica" };
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":2,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"db_role\":\"{role}\",\"born\":{}}}",
            server.address, server.zone, server.born
        );
        self.record.line(&format!("server {} registers as {role}", server.id));
        self.store.put(&format!("servers/{}", server.id), &entry);
    }

    /// Copies the primary's log to the replicas that receive it.
    fn replicate(&self) {
        let mut servers = self.lock();
        let newest = servers.iter().filter(|it| it.up && it.is_primary).max_by_key(|it| it.term);
        let Some((term, length)) = newest.map(|it| (it.term, it.log.len())) else { return };
        let is_behind = |it: &Server| {
            it.up && !it.deaf && !it.is_primary && (it.term, it.log.len()) != (term, length)
        };
        if !servers.iter().any(is_behind) {
            return;
        }
        let log = newest.map(|it| it.log.clone()).unwrap_or_default();
        for server in servers.iter_mut().filter(|it| is_behind(it)) {
            server.log.clone_from(&log);
            server.term = term;
        }
        drop(servers);
        self.changed.notify_all();
    }

    /// The id of the primary with the highest term.
    pub fn primary(&self) -> String {
        let servers = self.lock();
        let newest = servers.iter().filter(|it| it.is_primary).max_by_key(|it| it.term);
        newest.map(|it| it.id.clone()).unwrap_or_default()
    }

    pub fn log_of(&self, id: &str) -> Vec<Commit> {
        let servers = self.lock();
        servers.iter().find(|it| it.id == id).map(|it| it.log.clone()).unwrap_or_default()
    }

    pub fn set_deaf(&self, id: &str, deaf: bool) {
        self.record.line(&format!("server {id} deaf: {deaf}"));
        self.change(id, |server| server.deaf = deaf);
    }

    /// Fails a share of a server's requests, in percent.
    pub fn set_grey(&self, id: &str, grey: Option<(Grey, u64)>) {
        self.record.line(&format!("server {id} grey: {grey:?}"));
        self.change(id, |server| server.grey = grey);
    }

    fn change(&self, id: &str, change: impl FnOnce(&mut Server)) {
        if let Some(server) = self.lock().iter_mut().find(|it| it.id == id) {
            change(server);
        }
    }

    /// Notes which session values were acknowledged to a client; its statements are checked from then on.
    pub fn acknowledge(&self, client: &str, values: &HashMap<String, String>) {
        self.acknowledged.lock().unwrap().insert(client.to_owned(), values.clone());
    }

    /// How many statements of clients ran with other session values than were acknowledged to them.
    pub fn other_values(&self) -> u64 {
        self.other_values.load(Ordering::Relaxed)
    }

    fn check_values(&self, id: &str, query: &str, values: &HashMap<String, String>) {
        let client = query.split('n').next().unwrap_or_default();
        let acknowledged = self.acknowledged.lock().unwrap();
        if let Some(expected) = acknowledged.get(client).filter(|expected| *expected != values) {
            self.other_values.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!(
                "{id}: {query} runs with the values {values:?}, acknowledged were {expected:?}"
            ));
        }
    }

    /// Crashes servers at the same moment: connections end, and new ones are refused.
    pub fn crash(self: &Arc<Self>, ids: &[&str]) {
        let mut servers = self.lock();
        for server in servers.iter_mut().filter(|it| ids.contains(&it.id.as_str())) {
            self.record.line(&format!("server {} crashes at {}", server.id, server.position()));
            server.up = false;
            for (_, stream) in server.connections.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        drop(servers);
        self.changed.notify_all();
        for id in ids {
            let (group, id) = (Arc::clone(self), (*id).to_owned());
            thread::spawn(move || {
                thread::sleep(ENTRY_EXPIRY);
                if group.lock().iter().any(|it| it.id == id && !it.up) {
                    group.store.delete(&format!("servers/{id}"));
                }
            });
        }
    }

    /// Starts crashed servers again with their logs; a former primary is a replica if another server
    /// was promoted.
    pub fn restart(&self, ids: &[&str]) {
        let mut servers = self.lock();
        let term = servers.iter().filter(|it| it.up).map(|it| it.term).max().unwrap_or(0);
        for server in servers.iter_mut().filter(|it| ids.contains(&it.id.as_str())) {
            server.up = true;
            server.is_primary &= server.term >= term;
            server.born = unix_ms();
            let position = server.position();
            self.record.line(&format!("server {} is back with {position}", server.id));
            self.register(server);
        }
    }

    /// Whether the named server runs; it then takes over shortly afterwards.
    pub fn promote(&self, id: &str) -> bool {
        // The call is made from a thread of the store, which must answer first.
        let servers = self.lock();
        let Some(server) = servers.iter().find(|it| it.id == id && it.up) else { return false };
        if server.is_primary && servers.iter().all(|it| it.term <= server.term) {
            return true;
        }
        drop(servers);
        self.promotions().push((Instant::now() + PROMOTION, id.to_owned()));
        true
    }

    fn promotions(&self) -> MutexGuard<'static, Vec<(Instant, String)>> {
        static DUE: Mutex<Vec<(Instant, String)>> = Mutex::new(Vec::new());
        DUE.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Carries out promotions that are due; called every few milliseconds.
    pub fn step(&self) {
        let now = Instant::now();
        let mut due = Vec::new();
        self.promotions().retain(|(at, id)| {
            if *at <= now {
                due.push(id.clone());
            }
            *at > now
        });
        for id in due {
            if let Some(id) = id.strip_prefix("demote ") {
                self.demote(id);
            } else {
                self.take_over(&id);
            }
        }
    }

    fn take_over(&self, id: &str) {
        let mut servers = self.lock();
        let term = servers.iter().map(|it| it.term).max().unwrap_or(0) + 1;
        let Some(server) = servers.iter_mut().find(|it| it.id == id && it.up) else { return };
        self.record.line(&format!("server {id} leads term {term} from {}", server.position()));
        server.is_primary = true;
        server.term = term;
        server.deaf = false;
        server.log.push(Commit { term, writes: Vec::new() });
        self.register(server);
        let old = servers.iter().filter(|it| it.up && it.is_primary && it.id != id);
        for old in old {
            self.promotions().push((Instant::now() + OLD_PRIMARY, format!("demote {}", old.id)));
        }
    }

    fn demote(&self, id: &str) {
        let mut servers = self.lock();
        if let Some(server) = servers.iter_mut().find(|it| it.id == id) {
            server.is_primary = false;
            self.register(server);
        }
    }

    fn listen(self: Arc<Self>, rank: usize) {
        let mut listener = None;
        loop {
            thread::sleep(Duration::from_millis(2));
            let (up, address) = {
                let servers = self.lock();
                (servers[rank].up, servers[rank].address)
            };
            if !up {
                listener = None;
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).ok();
                if let Some(listener) = &listener {
                    let _ = listener.set_nonblocking(true);
                }
            }
            while let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let group = Arc::clone(&self);
                thread::spawn(move || group.connection(rank, stream));
            }
        }
    }

    fn connection(&self, rank: usize, stream: TcpStream) -> Option<()> {
        let number = self.last_connection.fetch_add(1, Ordering::Relaxed) + 1;
        let full = {
            let mut servers = self.lock();
            let server = &mut servers[rank];
            if !server.up {
                return None;
            }
            server.connections.push((number, stream.try_clone().ok()?));
            server.connections.len() > MAX_CONNECTIONS
        };
        let ended = self.session(rank, number, full, stream);
        let server = &mut self.lock()[rank];
        if let Some(at) = server.connections.iter().position(|(it, _)| *it == number) {
            let (_, stream) = server.connections.swap_remove(at);
            let _ = stream.shutdown(Shutdown::Both);
        }
        ended
    }

    fn session(&self, rank: usize, number: u64, full: bool, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let (id, position) = {
            let servers = self.lock();
            (servers[rank].id.clone(), servers[rank].position())
        };
        let words: Vec<_> = line.trim_end().split(' ').collect();
        if full {
            writer.write_all(format!("ERROR TOOMANY {id}\r\n").as_bytes()).ok()?;
            return None;
        }
        if words.len() < 3
            || words[0] != "STARTUP"
            || words[1] != SERVICE
            || words.get(3).is_some_and(|it| *it != id)
        {
            writer.write_all(format!("ERROR MISROUTED {id}\r\n").as_bytes()).ok()?;
            return None;
        }
        writer.write_all(format!("READY I {position}\r\n").as_bytes()).ok()?;
        let mut transaction: Option<Transaction> = None;
        let mut prepared: HashMap<String, (bool, String)> = HashMap::new();
        let mut opened = 0;
        let mut values = HashMap::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end_matches(['\r', '\n']);
            let Some((_, rest)) = line.split_once(' ').filter(|(word, _)| *word == "QUERY") else {
                return None;
            };
            let (query, text) = rest.split_once(' ')?;
            let (after, text) = split_after(text);
            let grey = self.lock()[rank].grey;
            let hit =
                grey.filter(|(_, percent)| self.draw() % 100 < *percent).map(|(grey, _)| grey);
            let verb = text.split(' ').next().unwrap_or_default();
            if hit == Some(Grey::Hang) {
                self.record
                    .line(&format!("{id} connection {number}: {query} hangs: {}", head(text)));
                // The connection stays open until the other side closes it.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return None;
            }
            if verb == "BEGIN" {
                opened += 1;
            }
            let inside = if verb == "BEGIN" || transaction.is_some() {
                format!("transaction {number}.{opened}")
            } else {
                "single".to_owned()
            };
            match (verb, hit) {
                ("SET", None | Some(Grey::Ran)) => {
                    let mut words = text.splitn(3, ' ').skip(1).map(str::to_owned);
                    values
                        .insert(words.next().unwrap_or_default(), words.next().unwrap_or_default());
                }
                ("RESET", None) => values.clear(),
                _ if query != "-" && hit.is_none() => self.check_values(&id, query, &values),
                _ => {}
            }
            let result = if matches!(hit, Some(Grey::Errors | Grey::Ran)) {
                Err("FAILED some requests fail".to_owned())
            } else if transaction.as_ref().is_some_and(|it| it.failed)
                && !matches!(verb, "COMMIT" | "ROLLBACK")
            {
                Err("MALFORMED the transaction has failed".to_owned())
            } else if after.is_some_and(|after| !self.lock()[rank].has(after)) {
                Err(format!("BEHIND {id}"))
            } else {
                self.run(rank, text, &mut transaction, &mut prepared)
            };
            let outcome = result.as_ref().map_or_else(|code| code.clone(), |_| "done".to_owned());
            self.record.line(&format!(
                "{id} connection {number} {inside}: {query} {} -> {}",
                head(text),
                head(&outcome)
            ));
            if result.is_err()
                && let Some(open) = &mut transaction
            {
                open.failed = true;
            }
            let (up, position) = {
                let servers = self.lock();
                (servers[rank].up, servers[rank].position())
            };
            if !up {
                return None;
            }
            let state = match &transaction {
                None => 'I',
                Some(open) if open.failed => 'E',
                Some(_) => 'T',
            };
            let body = match result {
                Ok(rows) => {
                    let receipt = match verb {
                        "READ" | "WRITE" | "EXECUTE" | "COMMIT" => {
                            format!("r.{id}.{number}.{query}")
                        }
                        _ => "-".to_owned(),
                    };
                    format!("{rows}COMPLETE {receipt}\r\n")
                }
                Err(code) => format!("ERROR {code}\r\n"),
            };
            writer.write_all(format!("{body}READY {state} {position}\r\n").as_bytes()).ok()?;
        }
    }

    /// Runs a statement; returns its rows.
    fn run(
        &self,
        rank: usize,
        text: &str,
        transaction: &mut Option<Transaction>,
        prepared: &mut HashMap<String, (bool, String)>,
    ) -> Result<String, String> {
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        let (id, is_primary) = {
            let servers = self.lock();
            (servers[rank].id.clone(), servers[rank].is_primary)
        };
        let lost_lead = !is_primary && transaction.as_ref().is_some_and(|open| !open.read_only);
        let wrote = transaction.as_ref().is_some_and(|open| !open.writes.is_empty());
        if lost_lead && words[0] != "ROLLBACK" && (words[0] != "COMMIT" || wrote) {
            return Err(format!("READONLY {id}"));
        }
        let execute: String;
        let words = if words[0] == "EXECUTE" && words.len() == 3 {
            let Some((writes, _)) = prepared.get(words[1]) else {
                return Err(format!("NOSTMT {}", words[1]));
            };
            execute = format!("{} {}", if *writes { "WRITE" } else { "READ" }, words[2]);
            execute.splitn(3, ' ').collect()
        } else {
            words
        };
        match words[..] {
            ["BEGIN"] if !is_primary => Err(format!("READONLY {id}")),
            ["BEGIN", ..] => {
                let read_only = words.len() > 1;
                *transaction = Some(Transaction { read_only, failed: false, writes: Vec::new() });
                Ok(String::new())
            }
            ["READ", item] => {
                thread::sleep(WORK);
                let own = transaction.iter().flat_map(|open| &open.writes).rfind(|it| it.0 == item);
                let servers = self.lock();
                let mut writes = servers[rank].log.iter().flat_map(|commit| &commit.writes);
                let found = own.or_else(|| writes.rfind(|it| it.0 == item));
                Ok(found.map(|(_, data)| format!("DATAROW {data}\r\n")).unwrap_or_default())
            }
            ["WRITE", item, data] => {
                thread::sleep(WORK);
                let write = (item.to_owned(), data.to_owned());
                match transaction {
                    Some(open) if open.read_only => return Err(format!("READONLY {id}")),
                    Some(open) => open.writes.push(write),
                    None => self.commit(rank, vec![write])?,
                }
                Ok(String::new())
            }
            ["COMMIT"] => {
                thread::sleep(WORK);
                match transaction.take() {
                    Some(open) if open.failed => return Err("MALFORMED rolled back".to_owned()),
                    Some(open) if !open.writes.is_empty() => self.commit(rank, open.writes)?,
                    _ => {}
                }
                Ok(String::new())
            }
            ["ROLLBACK"] => {
                *transaction = None;
                Ok(String::new())
            }
            ["RESET"] => {
                prepared.clear();
                Ok(String::new())
            }
            ["PREPARE", name, rest] => {
                let (kind, shape) = rest.split_once(' ').ok_or("MALFORMED")?;
                prepared.insert(name.to_owned(), (kind == "WRITE", shape.to_owned()));
                Ok(String::new())
            }
            ["SET", ..] | ["DEALLOC", ..] => Ok(String::new()),
            ["STATUS"] => {
                let servers = self.lock();
                let server = &servers[rank];
                let role = if is_primary { "primary" } else { "replica" };
                let (term, position) = (server.term, server.position());
                let connections = server.connections.len();
                Ok(format!("DATAROW {role} {term} {position} {term} 0 0 {connections}\r\n"))
            }
            _ => Err("MALFORMED".to_owned()),
        }
    }

    /// Commits; with `sync_replicas` it returns once a replica has received the commit.
    fn commit(&self, rank: usize, writes: Vec<(String, String)>) -> Result<(), String> {
        let mut servers = self.lock();
        let server = &mut servers[rank];
        if !server.is_primary {
            return Err(format!("READONLY {}", server.id));
        }
        let term = server.term;
        server.log.push(Commit { term, writes });
        let number = server.log.len();
        while self.sync_replicas > 0 && servers[rank].up {
            let received = servers.iter().filter(|it| {
                it.id != servers[rank].id && it.term == term && it.log.len() >= number
            });
            if received.count() >= self.sync_replicas {
                break;
            }
            servers = self
                .changed
                .wait_timeout(servers, Duration::from_millis(50))
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .0;
        }
        Ok(())
    }

    fn draw(&self) -> u64 {
        let mut value = self.random.load(Ordering::Relaxed);
        value ^= value << 13;
        value ^= value >> 7;
        value ^= value << 17;
        self.random.store(value, Ordering::Relaxed);
        value >> 11
    }
}

/// The beginning of a text, for the record.
pub fn head(text: &str) -> String {
    text.chars().take(60).collect()
}

fn split_after(text: &str) -> (Option<(u64, usize)>, &str) {
    let rest = text.strip_prefix("AFTER ").and_then(|rest| rest.split_once(' '));
    let Some((position, statement)) = rest else { return (None, text) };
    let parts = position.split_once('.');
    let after = parts.and_then(|(term, number)| Some((term.parse().ok()?, number.parse().ok()?)));
    (after, statement)
}

/// A server of another system, which registers itself in the same store.
pub struct Foreign {
    address: SocketAddr,
    run: Arc<AtomicU64>,
}

impl Foreign {
    pub fn listen(record: &Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (run, record) = (Arc::new(AtomicU64::new(0)), Arc::clone(record));
        let count = Arc::clone(&run);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (count, record) = (Arc::clone(&count), Arc::clone(&record));
                thread::spawn(move || {
                    let mut writer = stream.try_clone().ok()?;
                    for line in BufReader::new(stream).lines() {
                        let line = line.ok()?;
                        record.line(&format!("the server of payments gets: {}", head(&line)));
                        let answer = if line.starts_with("STARTUP") {
                            "READY I 1.5\r\n".to_owned()
                        } else {
                            count.fetch_add(1, Ordering::Relaxed);
                            "DATAROW replica 1 1.5 1 0 0 1\r\nCOMPLETE -\r\nREADY I 1.5\r\n"
                                .to_owned()
                        };
                        writer.write_all(answer.as_bytes()).ok()?;
                    }
                    Some(())
                });
            }
        });
        Self { address, run }
    }

    /// Its entry in the store.
    pub fn entry(&self, role: &str) -> String {
        format!(
            "{{\"service\":\"payments\",\"address\":\"{}\",\"zone\":\"alpha\",\"version\":\"v1\",\
             \"slots\":2,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\
             \"db_role\":\"{role}\",\"born\":{}}}",
            self.address,
            unix_ms()
        )
    }

    /// Requests that it has run.
    pub fn run(&self) -> u64 {
        self.run.load(Ordering::Relaxed)
    }
}
