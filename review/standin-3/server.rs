//! A database of a primary and replicas, as PROTOCOL.md describes it.
//!
//! A commit gets the next number at the primary. Replicas receive the log in order, at the rate of
//! their link, and apply it a little later. With synchronous replicas, a commit is acknowledged once
//! that many have received it. A server that starts again under its id holds nothing and is sent the
//! log from its beginning.

use crate::{record::Record, store::Store};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    io::{BufRead, BufReader, ErrorKind, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HEARTBEAT: Duration = Duration::from_millis(1200);
/// An entry is removed after three intervals of silence.
const SILENCE: Duration = Duration::from_millis(3600);
const TICK: Duration = Duration::from_millis(2);
/// Time until a replica applies what it has received.
const APPLY_LAG: Duration = Duration::from_millis(8);
/// Statements that wait for a slot of a server.
const QUEUE: usize = 16;
const HANDSHAKE: Duration = Duration::from_millis(12);

pub struct Settings {
    pub name: String,
    pub sync_replicas: usize,
    pub max_conns: usize,
    pub slots: usize,
    pub promotion: Duration,
    /// Bytes a second to a server in another region than the primary's.
    pub far_rate: usize,
    /// Whether each statement that arrives is recorded.
    pub records: bool,
    /// Time that a statement holds its slot.
    pub work: Box<dyn Fn(&str) -> Duration + Send + Sync>,
}

#[derive(Clone)]
struct Commit {
    term: u64,
    writes: Vec<(String, Arc<str>)>,
    size: usize,
}

struct Server {
    zone: String,
    region: String,
    address: SocketAddr,
    up: bool,
    /// Grows whenever the server stops, so that its earlier connections end.
    life: u64,
    primary: bool,
    term: u64,
    log: Vec<Commit>,
    data: BTreeMap<String, Arc<str>>,
    applied: usize,
    received: VecDeque<(Instant, usize)>,
    deaf: bool,
    draining: bool,
    /// Whether its log was whole, by that of the primary of its term, when it last grew.
    caught_up: bool,
    budget: f64,
    busy: usize,
    waiting: usize,
    connections: usize,
    streams: Vec<TcpStream>,
    born: u64,
    sequence: u64,
    seen: Instant,
    listed: bool,
    /// Size of the log in commits at the last answer to `STATUS`.
    reported: usize,
}

/// A server that took over.
#[derive(Clone)]
pub struct Promotion {
    pub server: String,
    /// Items in its log then.
    pub items: Vec<String>,
    /// Items whose writes servers had acknowledged by then.
    pub acknowledged: Vec<String>,
}

#[derive(Default)]
struct State {
    servers: BTreeMap<String, Server>,
    promotions: Vec<Promotion>,
    /// The server that was last requested to be promoted.
    last_request: Option<String>,
    /// Items whose writes the servers have acknowledged, in order.
    acknowledged: Vec<String>,
    /// Ids of the statements that reached a server.
    reached: BTreeSet<String>,
}

pub struct Group {
    pub settings: Settings,
    store: Store,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
    /// Requests for promotions so far.
    requests: AtomicUsize,
}

#[derive(Default)]
struct Session {
    name: String,
    open: bool,
    read_only: bool,
    failed: bool,
    term: u64,
    writes: Vec<(String, Arc<str>)>,
    prepared: BTreeMap<String, (String, String)>,
}

type Outcome = Result<(Vec<Arc<str>>, String), String>;

impl Group {
    /// Starts servers, each given by id, zone and region; the first is the primary.
    pub fn start(
        settings: Settings,
        store: Store,
        record: Record,
        servers: &[(&str, &str, &str)],
    ) -> Arc<Self> {
        let mut state = State::default();
        let mut listeners = Vec::new();
        for (rank, (id, zone, region)) in servers.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let server = Server {
                zone: (*zone).to_owned(),
                region: (*region).to_owned(),
                address: listener.local_addr().expect("an address"),
                up: true,
                life: 0,
                primary: rank == 0,
                term: 1,
                log: Vec::new(),
                data: BTreeMap::new(),
                applied: 0,
                received: VecDeque::new(),
                deaf: false,
                draining: false,
                caught_up: true,
                budget: 0.0,
                busy: 0,
                waiting: 0,
                connections: 0,
                streams: Vec::new(),
                born: unix_ms(),
                sequence: 0,
                seen: Instant::now(),
                listed: false,
                reported: 0,
            };
            state.servers.insert((*id).to_owned(), server);
            listeners.push(((*id).to_owned(), listener));
        }
        let state = Mutex::new(state);
        let group = Arc::new(Self { settings, store, record, state, changed: Condvar::new(), requests: AtomicUsize::new(0) });
        for (id, listener) in listeners {
            group.register(&id);
            let group = Arc::clone(&group);
            thread::spawn(move || group.listen(&id, Some(listener)));
        }
        let beating = Arc::clone(&group);
        thread::spawn(move || beating.beat());
        let replicating = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                replicating.replicate();
            }
        });
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// Writes a server's entry, as at each check-in.
    pub fn register(&self, id: &str) {
        let mut state = self.lock();
        let Some(server) = state.servers.get_mut(id) else { return };
        server.sequence += 1;
        server.seen = Instant::now();
        server.listed = true;
        let role = if server.primary { "primary" } else { "replica" };
        let condition = if server.draining { "draining" } else { "ready" };
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{condition}","cold_left_ms":0,"db_role":"{role}","sequence":{},"born":{}}}"#,
            self.settings.name, server.address, server.zone, self.settings.slots, server.sequence,
            server.born
        );
        drop(state);
        self.store.put(&format!("servers/{id}"), Some(&entry));
    }

    fn beat(&self) {
        let mut last = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(50));
            let due = last.elapsed() >= HEARTBEAT;
            if due {
                last = Instant::now();
            }
            let ids: Vec<_> = self.lock().servers.keys().cloned().collect();
            for id in ids {
                let mut state = self.lock();
                let Some(server) = state.servers.get_mut(&id) else { continue };
                let (up, gone) = (server.up, server.listed && server.seen.elapsed() >= SILENCE);
                if !up && gone {
                    server.listed = false;
                }
                drop(state);
                if up && due {
                    self.register(&id);
                } else if !up && gone {
                    self.store.put(&format!("servers/{id}"), None);
                }
            }
        }
    }

    /// Sends replicas what they lack of the log of the primary of the newest term.
    fn replicate(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let primary = state.servers.iter().filter(|(_, it)| it.up && it.primary);
        let primary = primary.max_by_key(|(_, it)| it.term).map(|(id, _)| id.clone());
        if let Some(primary) = &primary {
            let Some(leader) = state.servers.get_mut(primary) else { return };
            let (term, region) = (leader.term, leader.region.clone());
            let log = std::mem::take(&mut leader.log);
            let near_rate = 125_000_000;
            for (id, server) in &mut state.servers {
                if id == primary || !server.up || server.deaf {
                    continue;
                }
                if server.primary && server.term < term {
                    server.primary = false;
                }
                if server.term < term {
                    let same = log.iter().zip(&server.log).take_while(|(a, b)| a.term == b.term);
                    let same = same.count();
                    server.truncate(same);
                    server.term = term;
                }
                let rate = if server.region == region { near_rate } else { self.settings.far_rate };
                server.budget += rate as f64 * TICK.as_secs_f64();
                while server.log.len() < log.len() {
                    let commit = &log[server.log.len()];
                    if server.budget < commit.size as f64 {
                        break;
                    }
                    server.budget -= commit.size as f64;
                    server.log.push(commit.clone());
                    server.received.push_back((now, server.log.len()));
                }
                server.caught_up = server.log.len() == log.len();
                if server.caught_up {
                    server.budget = server.budget.min(rate as f64 * TICK.as_secs_f64());
                }
            }
            if let Some(leader) = state.servers.get_mut(primary) {
                leader.log = log;
            }
        }
        for server in state.servers.values_mut() {
            while let Some((at, count)) = server.received.front().copied() {
                if now.duration_since(at) < APPLY_LAG {
                    break;
                }
                server.received.pop_front();
                server.apply(count);
            }
        }
        drop(state);
        self.changed.notify_all();
    }

    fn listen(self: Arc<Self>, id: &str, mut listener: Option<TcpListener>) {
        loop {
            let (up, address) = {
                let state = self.lock();
                (state.servers[id].up, state.servers[id].address)
            };
            if !up {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            if let Some(open) = &listener {
                let _ = open.set_nonblocking(true);
                while let Ok((stream, _)) = open.accept() {
                    let (group, id) = (Arc::clone(&self), id.to_owned());
                    thread::spawn(move || {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        group.serve(&id, stream);
                    });
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn serve(&self, id: &str, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let life = {
            let mut state = self.lock();
            let Some(server) = state.servers.get_mut(id).filter(|it| it.up) else { return };
            if let Ok(kept) = stream.try_clone() {
                server.streams.push(kept);
            }
            server.connections += 1;
            server.life
        };
        let full = self.lock().servers[id].connections > self.settings.max_conns;
        let mut session = Session::default();
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(0) => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => break,
                Ok(_) => {}
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if full {
                let _ = writer.write_all(b"ERROR TOOMANY full\r\n");
                break;
            }
            let Some(answer) = self.answer(id, life, line, &mut session) else {
                break;
            };
            if writer.write_all(answer.as_bytes()).is_err() || session.name.is_empty() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
        if let Some(server) = self.lock().servers.get_mut(id).filter(|it| it.life == life) {
            server.connections -= 1;
        }
    }

    /// The answer to a line; `None` if the connection ends without one.
    fn answer(&self, id: &str, life: u64, line: &str, session: &mut Session) -> Option<String> {
        let mut words = line.splitn(3, ' ');
        match (words.next()?, words.next(), words.next()) {
            ("STARTUP", Some(name), Some(rest)) => {
                let expected = rest.rsplit_once(' ').map(|(_, id)| id);
                if name != self.settings.name || expected.is_some_and(|it| it != id) {
                    return Some(format!("ERROR MISROUTED {id}\r\n"));
                }
                thread::sleep(HANDSHAKE);
                session.name = rest.split(' ').next().unwrap_or_default().to_owned();
                let state = self.lock();
                let server = state.servers.get(id).filter(|it| it.life == life)?;
                Some(format!("READY I {}\r\n", server.position(server.applied)))
            }
            ("QUERY", Some(request), Some(text)) => {
                if request != "-" && self.settings.records {
                    self.lock().reached.insert(request.to_owned());
                    let shown: String = text.chars().take(40).collect();
                    self.record.line(&format!("server {id}: {} {request} {shown}", session.name));
                }
                let outcome = self.run(id, life, request, text, session)?;
                let state = self.lock();
                let server = state.servers.get(id).filter(|it| it.up && it.life == life)?;
                let status = match (session.open, session.failed) {
                    (false, _) => 'I',
                    (true, false) => 'T',
                    (true, true) => 'E',
                };
                let mut answer = String::new();
                match outcome {
                    Ok((rows, receipt)) => {
                        for row in rows {
                            answer += &format!("DATAROW {row}\r\n");
                        }
                        answer += &format!("COMPLETE {receipt}\r\n");
                    }
                    Err(code) => answer += &format!("ERROR {code} {id}\r\n"),
                }
                answer += &format!("READY {status} {}\r\n", server.position(server.applied));
                Some(answer)
            }
            _ => None,
        }
    }

    fn run(
        &self,
        id: &str,
        life: u64,
        request: &str,
        text: &str,
        session: &mut Session,
    ) -> Option<Outcome> {
        let (after, text) = split_after(text);
        let word = text.split(' ').next().unwrap_or_default();
        let takes_slot = matches!(word, "READ" | "WRITE" | "COMMIT" | "EXECUTE" | "STATUS");
        if takes_slot && !self.take_slot(id, life)? {
            return Some(Err("BUSY".to_owned()));
        }
        if takes_slot && word != "STATUS" {
            thread::sleep((self.settings.work)(text));
        }
        let outcome = self.run_in_slot(id, life, request, (after, text), session);
        if takes_slot && let Some(server) = self.lock().servers.get_mut(id) && server.life == life {
            server.busy -= 1;
        }
        self.changed.notify_all();
        outcome
    }

    /// Waits for a slot; `Some(false)` if too many wait, `None` if the server has stopped.
    fn take_slot(&self, id: &str, life: u64) -> Option<bool> {
        let mut state = self.lock();
        if state.servers[id].waiting >= QUEUE {
            return Some(false);
        }
        state.servers.get_mut(id)?.waiting += 1;
        loop {
            let server = state.servers.get_mut(id).filter(|it| it.up && it.life == life)?;
            if server.busy < self.settings.slots {
                server.busy += 1;
                server.waiting -= 1;
                return Some(true);
            }
            state = self.changed.wait_timeout(state, TICK).expect("no thread panics").0;
        }
    }

    fn run_in_slot(
        &self,
        id: &str,
        life: u64,
        request: &str,
        (after, text): (Option<(u64, usize)>, &str),
        session: &mut Session,
    ) -> Option<Outcome> {
        let mut state = self.lock();
        let server = state.servers.get_mut(id).filter(|it| it.up && it.life == life)?;
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        let receipt = || format!("r.{id}.{request}");
        let none = || Ok((Vec::new(), "-".to_owned()));
        if after.is_some_and(|after| server.mark(server.applied) < after) {
            return Some(Err("BEHIND".to_owned()));
        }
        if session.failed && !matches!(words[..], ["ROLLBACK"] | ["COMMIT"] | ["STATUS"]) {
            return Some(Err("MALFORMED".to_owned()));
        }
        let lost_lead =
            session.open && !session.read_only && (!server.primary || server.term != session.term);
        let commits_nothing = words[..] == ["COMMIT"] && session.writes.is_empty();
        if lost_lead && words[..] != ["ROLLBACK"] && words[..] != ["STATUS"] && !commits_nothing {
            session.failed = true;
            return Some(Err("READONLY".to_owned()));
        }
        let executed = match words[..] {
            ["EXECUTE", name, parameters] => match session.prepared.get(name) {
                Some((access, _)) => Some(format!("{access} {parameters}")),
                None => return Some(Err("NOSTMT".to_owned())),
            },
            _ => None,
        };
        let text = executed.as_deref().unwrap_or(text);
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        Some(match words[..] {
            ["STATUS"] => {
                let role = if server.primary { "primary" } else { "replica" };
                server.reported = server.log.len();
                let position = server.position(server.log.len());
                let (term, busy, count) = (server.term, server.busy, server.connections);
                let row = format!("{role} {term} {position} 0 8 {busy} {count}");
                Ok((vec![row.into()], "-".to_owned()))
            }
            ["BEGIN"] if !server.primary => Err("READONLY".to_owned()),
            ["BEGIN"] | ["BEGIN", "READ"] => {
                let read_only = words.len() == 2;
                let kept = std::mem::take(&mut session.prepared);
                *session = Session {
                    name: session.name.clone(),
                    open: true,
                    read_only,
                    term: server.term,
                    prepared: kept,
                    ..Session::default()
                };
                none()
            }
            ["ROLLBACK"] => {
                (session.open, session.failed) = (false, false);
                session.writes.clear();
                none()
            }
            ["COMMIT"] => {
                let writes = std::mem::take(&mut session.writes);
                let failed = session.failed;
                (session.open, session.failed) = (false, false);
                if failed {
                    return Some(Err("ABORTED".to_owned()));
                }
                drop(state);
                self.commit(id, life, writes)?;
                Ok((Vec::new(), receipt()))
            }
            ["READ", item] => {
                let own = session.writes.iter().rfind(|(name, _)| name == item);
                let row = own.map(|(_, value)| value).or_else(|| server.data.get(item));
                Ok((row.cloned().into_iter().collect(), receipt()))
            }
            ["WRITE", ..] if !server.primary || session.read_only => {
                session.failed = session.open;
                Err("READONLY".to_owned())
            }
            ["WRITE", item, value] => {
                let write = (item.to_owned(), Arc::from(value));
                if session.open {
                    session.writes.push(write);
                } else {
                    drop(state);
                    self.commit(id, life, vec![write])?;
                }
                Ok((Vec::new(), receipt()))
            }
            ["PREPARE", name, rest] => {
                let (access, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                let shape = (access.to_owned(), shape.to_owned());
                session.prepared.insert(name.to_owned(), shape);
                none()
            }
            ["RESET"] => {
                session.prepared.clear();
                none()
            }
            _ => none(),
        })
    }

    /// Appends a commit, and waits until enough replicas have received it.
    fn commit(&self, id: &str, life: u64, writes: Vec<(String, Arc<str>)>) -> Option<()> {
        if writes.is_empty() {
            return Some(());
        }
        let mut state = self.lock();
        let server = state.servers.get_mut(id).filter(|it| it.up && it.life == life)?;
        let term = server.term;
        let size = writes.iter().map(|(item, value)| item.len() + value.len()).sum();
        server.log.push(Commit { term, writes, size });
        let number = server.log.len();
        server.apply(number);
        self.changed.notify_all();
        loop {
            let server = state.servers.get(id).filter(|it| it.up && it.life == life)?;
            if server.term != term || !server.primary {
                return None;
            }
            let has = |it: &Server| {
                it.up && it.log.len() >= number && it.log[number - 1].term == term
            };
            let replicas = state.servers.iter().filter(|(name, it)| *name != id && has(it));
            if replicas.count() >= self.settings.sync_replicas {
                let written = state.servers[id].log[number - 1].writes.iter();
                let items: Vec<_> = written.map(|(item, _)| item.clone()).collect();
                state.acknowledged.extend(items);
                return Some(());
            }
            state = self.changed.wait_timeout(state, TICK).expect("no thread panics").0;
        }
    }

    /// Designates the server that takes over; false if it is not running.
    pub fn promote(self: &Arc<Self>, id: &str, fence: &str) -> bool {
        let mut state = self.lock();
        state.last_request = Some(id.to_owned());
        let up = state.servers.get(id).is_some_and(|it| it.up);
        let leads = state.servers.get(id).is_some_and(|it| it.primary);
        let life = state.servers.get(id).map(|it| it.life);
        drop(state);
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.record.line(&format!("platform: promote {id}, fence {fence}, running {up}"));
        if up && !leads {
            let (group, id) = (Arc::clone(self), id.to_owned());
            thread::spawn(move || {
                thread::sleep(group.settings.promotion);
                // A promotion ends with the process of its server.
                if group.lock().servers.get(&id).map(|it| it.life) == life {
                    group.take_over(&id);
                }
            });
        }
        up
    }

    fn take_over(&self, id: &str) {
        let mut state = self.lock();
        let term = state.servers.values().map(|it| it.term).max().unwrap_or(0) + 1;
        let Some(server) = state.servers.get_mut(id).filter(|it| it.up) else { return };
        let count = server.log.len();
        server.received.clear();
        server.apply(count);
        (server.primary, server.term) = (true, term);
        let values = server.log.iter().flat_map(|it| &it.writes);
        let values = values.map(|(item, _)| item.clone()).collect();
        let acknowledged = state.acknowledged.clone();
        state.promotions.push(Promotion { server: id.to_owned(), items: values, acknowledged });
        drop(state);
        self.record.line(&format!("server {id}: leads term {term} with {count} commits"));
        self.register(id);
    }

    /// Requests for promotions so far.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// The server that was last requested to be promoted.
    pub fn last_request(&self) -> Option<String> {
        self.lock().last_request.clone()
    }

    /// Servers that were promoted.
    pub fn promotions(&self) -> Vec<Promotion> {
        self.lock().promotions.clone()
    }

    /// Whether a statement reached a server.
    pub fn has_run(&self, request: &str) -> bool {
        self.lock().reached.contains(request)
    }

    /// Ends a server's process. Its log stays unless it is started empty.
    pub fn crash(&self, id: &str) {
        let mut state = self.lock();
        if let Some(server) = state.servers.get_mut(id) {
            server.up = false;
            server.life += 1;
            (server.busy, server.waiting, server.connections) = (0, 0, 0);
            for stream in server.streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            self.record.line(&format!("server {id}: ends with {} commits", server.log.len()));
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Starts a server that ended, with its log, or `empty` under the id that it had.
    pub fn restart(&self, id: &str, empty: bool) {
        let mut state = self.lock();
        let newest = state.servers.values().map(|it| it.term).max().unwrap_or(0);
        if let Some(server) = state.servers.get_mut(id) {
            if empty {
                server.truncate(0);
                (server.primary, server.term) = (false, 0);
                server.received.clear();
                server.caught_up = false;
            }
            server.primary &= server.term == newest;
            server.born = unix_ms();
            (server.up, server.budget, server.sequence, server.reported) = (true, 0.0, 0, 0);
            let count = server.log.len();
            self.record.line(&format!("server {id}: starts again with {count} commits"));
        }
        drop(state);
        self.register(id);
    }

    /// Makes a replica receive nothing, or receive again.
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        if let Some(server) = self.lock().servers.get_mut(id) {
            server.deaf = deaf;
            self.record.line(&format!("server {id}: deaf {deaf}, {} commits", server.log.len()));
        }
    }

    /// Reports that a server is about to leave.
    pub fn drain(&self, id: &str) {
        if let Some(server) = self.lock().servers.get_mut(id) {
            server.draining = true;
            self.record.line(&format!("server {id}: draining"));
        }
        self.register(id);
    }

    /// Commits that a server has received, and those at its last answer to `STATUS`.
    pub fn received(&self, id: &str) -> (usize, usize) {
        let state = self.lock();
        (state.servers[id].log.len(), state.servers[id].reported)
    }
}

impl Server {
    fn apply(&mut self, count: usize) {
        let count = count.min(self.log.len());
        for commit in &self.log[self.applied.min(count)..count] {
            for (item, value) in &commit.writes {
                self.data.insert(item.clone(), Arc::clone(value));
            }
        }
        self.applied = self.applied.max(count);
    }

    fn truncate(&mut self, count: usize) {
        if count < self.log.len() {
            self.log.truncate(count);
            self.received.clear();
            self.data.clear();
            self.applied = 0;
            self.apply(count);
        }
    }

    fn mark(&self, count: usize) -> (u64, usize) {
        if count == self.log.len() && self.term > 0 && (self.primary || self.caught_up) {
            return (self.term, count);
        }
        let last = count.checked_sub(1).and_then(|last| self.log.get(last));
        (last.map_or(0, |commit| commit.term), count)
    }

    fn position(&self, count: usize) -> String {
        let (term, number) = self.mark(count);
        format!("{term}.{number}")
    }
}

fn split_after(text: &str) -> (Option<(u64, usize)>, &str) {
    let parts = text.strip_prefix("AFTER ").and_then(|rest| rest.split_once(' '));
    let Some((position, rest)) = parts else {
        return (None, text);
    };
    let position = position.split_once('.');
    let position = position.and_then(|(term, it)| Some((term.parse().ok()?, it.parse().ok()?)));
    (position, rest)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
