//! The servers of one service: a primary and replicas with a log of commits.
//!
//! A replica receives each commit at once unless it is deaf. With `sync_replicas` 1 a commit is
//! acknowledged once a replica has received it.

use crate::{record::Record, store::Store};
use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, ErrorKind, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval at which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Duration of a promotion.
pub const PROMOTE: Duration = Duration::from_millis(300);
/// Time that a read takes.
const READ_WORK: Duration = Duration::from_millis(15);
/// Time after which a superseded primary that reaches the new one becomes a replica.
const DEMOTE: Duration = Duration::from_secs(1);

/// A committed write.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// The item.
    pub item: String,
    /// The written value.
    pub value: String,
}

/// A statement that a server ran for a caller.
#[derive(Clone, Debug)]
pub struct Run {
    /// Milliseconds since the start of the script.
    pub at: u64,
    /// The server.
    pub server: String,
    /// Who the connection was opened for.
    pub who: String,
    /// The caller's id of the statement.
    pub id: String,
    /// The text.
    pub text: String,
}

#[derive(Default)]
struct Server {
    address: String,
    zone: String,
    primary: bool,
    log: Vec<Commit>,
    /// The length of the log at the start of each term that it holds.
    terms: BTreeMap<u64, usize>,
    deaf: bool,
    down: bool,
    draining: bool,
    born: u64,
    sequence: u64,
    /// What its entry said when it was last written.
    registered: Option<(bool, bool, u64)>,
    connections: Vec<TcpStream>,
}

impl Server {
    fn term(&self) -> u64 {
        self.terms.keys().next_back().copied().unwrap_or(0)
    }

    fn holds(&self, (term, number): (u64, usize)) -> bool {
        let next = self.terms.range(term + 1..).next().map(|(_, start)| *start);
        self.terms.contains_key(&term) && number <= next.unwrap_or(self.log.len())
    }
}

struct State {
    servers: BTreeMap<String, Server>,
    runs: Vec<Run>,
    /// For each promotion that took effect: the server and its log at that time.
    promoted: Vec<(u64, String, Vec<Commit>)>,
}

/// The servers of a service; clones share the state.
#[derive(Clone)]
pub struct Group {
    service: String,
    sync: bool,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

/// Why a statement has no result.
type Refusal = String;

/// A connection's transaction: whether it is read-only, and its writes.
type Transaction = Option<(bool, Vec<Commit>)>;

impl Group {
    /// A service without servers.
    pub fn new(service: &str, sync: bool, store: &Store, record: &Record) -> Self {
        let state = State { servers: BTreeMap::new(), runs: Vec::new(), promoted: Vec::new() };
        Self {
            service: service.into(),
            sync,
            state: Arc::new(Mutex::new(state)),
            store: store.clone(),
            record: record.clone(),
        }
    }

    /// The service's name.
    pub fn service(&self) -> &str {
        &self.service
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Starts a server; a replica begins with the primary's log.
    pub fn add(&self, id: &str, zone: &str, primary: bool) -> std::io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let mut server = Server {
            address: listener.local_addr()?.to_string(),
            zone: zone.into(),
            primary,
            terms: BTreeMap::from([(1, 0)]),
            born: unix_ms(),
            ..Server::default()
        };
        let mut state = self.lock();
        if let Some(source) = state.servers.values().find(|it| it.primary && !it.down) {
            server.log.clone_from(&source.log);
            server.terms.clone_from(&source.terms);
        }
        state.servers.insert(id.into(), server);
        drop(state);
        self.listen(id, listener)
    }

    /// Starts a crashed server again under its id, at its address and with its log.
    pub fn restart(&self, id: &str) -> std::io::Result<()> {
        self.record.line(&format!("{id} starts again with its log"));
        let address = self.lock().servers[id].address.clone();
        let listener = TcpListener::bind(address)?;
        let mut state = self.lock();
        let newest = state.servers.values().filter(|it| !it.down).map(Server::term).max();
        if let Some(server) = state.servers.get_mut(id) {
            (server.down, server.born, server.sequence) = (false, unix_ms(), 0);
            server.primary &= newest.is_none_or(|term| term <= server.term());
        }
        state.follow(id);
        drop(state);
        self.listen(id, listener)
    }

    /// Starts a crashed replica again under its id and at its address. It holds nothing of before,
    /// and has copied the primary's log after some time.
    pub fn restart_empty(&self, id: &str, copied_after: Duration) -> std::io::Result<()> {
        self.record.line(&format!("{id} starts again and holds nothing of before"));
        let address = self.lock().servers[id].address.clone();
        let listener = TcpListener::bind(address)?;
        if let Some(server) = self.lock().servers.get_mut(id) {
            (server.down, server.born, server.sequence) = (false, unix_ms(), 0);
            (server.log, server.terms) = (Vec::new(), BTreeMap::from([(0, 0)]));
        }
        let (group, name) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(copied_after);
            group.lock().follow(&name);
            group.record.line(&format!("{name} would have copied the log by now"));
        });
        self.listen(id, listener)
    }

    fn listen(&self, id: &str, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let (group, name) = (self.clone(), id.to_owned());
        thread::spawn(move || group.accept(&name, &listener));
        let (group, name) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            while group.lock().servers.get(&name).is_some_and(|it| !it.down) {
                group.register(&name);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(())
    }

    /// Writes a server's entry.
    fn register(&self, id: &str) {
        let mut state = self.lock();
        let Some(server) = state.servers.get_mut(id).filter(|it| !it.down) else { return };
        server.sequence += 1;
        let seen = (server.draining, server.primary, server.born);
        if server.registered == Some(seen) {
            // The entry changes only when more than its sequence changes.
            return;
        }
        server.registered = Some(seen);
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":3,"state":"{}","cold_left_ms":0,"db_role":"{}","sequence":{},"born":{}}}"#,
            self.service,
            server.address,
            server.zone,
            if server.draining { "draining" } else { "ready" },
            if server.primary { "primary" } else { "replica" },
            server.sequence,
            server.born
        );
        drop(state);
        self.store.put(&format!("servers/{id}"), &entry);
    }

    fn accept(&self, id: &str, listener: &TcpListener) {
        while self.lock().servers.get(id).is_some_and(|it| !it.down) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let (Some(server), Ok(copy)) =
                        (self.lock().servers.get_mut(id), stream.try_clone())
                    {
                        server.connections.push(copy);
                    }
                    let (group, name) = (self.clone(), id.to_owned());
                    thread::spawn(move || group.serve(&name, stream));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(2));
                }
                Err(_) => return,
            }
        }
    }

    fn serve(&self, id: &str, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut who = String::new();
        let mut transaction: Transaction = None;
        let mut failed = false;
        let mut prepared: BTreeMap<String, bool> = BTreeMap::new();
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { return };
            if self.lock().servers.get(id).is_none_or(|it| it.down) {
                return;
            }
            let mut words = line.splitn(3, ' ');
            let reply = match (words.next(), words.next(), words.next()) {
                (Some("STARTUP"), Some(service), Some(rest)) => {
                    let (name, server) = rest.split_once(' ').unwrap_or((rest, id));
                    if service != self.service || server != id {
                        format!("ERROR MISROUTED {id}\r\n")
                    } else {
                        who = name.to_owned();
                        format!("READY I {}\r\n", self.position(id))
                    }
                }
                (Some("QUERY"), Some(query), Some(text)) => {
                    let (after, text) = split_position(text);
                    let result = if failed && !matches!(text, "ROLLBACK" | "COMMIT") {
                        Err("MALFORMED the transaction has failed".into())
                    } else if after.is_some_and(|after| !self.holds(id, after)) {
                        Err(format!("BEHIND {id}"))
                    } else {
                        self.run(id, &who, query, text, &mut transaction, &mut prepared)
                    };
                    failed = match (&result, text) {
                        (_, "ROLLBACK" | "COMMIT") => false,
                        (Err(_), _) => transaction.is_some(),
                        _ => failed,
                    };
                    let status = match (&transaction, failed) {
                        (None, _) => 'I',
                        (Some(_), true) => 'E',
                        _ => 'T',
                    };
                    let body = result.unwrap_or_else(|code| format!("ERROR {code}\r\n"));
                    format!("{body}READY {status} {}\r\n", self.position(id))
                }
                _ => return,
            };
            if self.lock().servers.get(id).is_none_or(|it| it.down) {
                return;
            }
            if writer.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn position(&self, id: &str) -> String {
        let state = self.lock();
        state.servers.get(id).map_or("-".into(), |it| format!("{}.{}", it.term(), it.log.len()))
    }

    fn holds(&self, id: &str, position: (u64, usize)) -> bool {
        self.lock().servers.get(id).is_some_and(|it| it.holds(position))
    }

    fn run(
        &self,
        id: &str,
        who: &str,
        query: &str,
        text: &str,
        transaction: &mut Transaction,
        prepared: &mut BTreeMap<String, bool>,
    ) -> Result<String, Refusal> {
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        let primary = self.lock().servers.get(id).is_some_and(|it| it.primary);
        let plain = transaction.as_ref().is_some_and(|(read, _)| !read);
        let empty = transaction.as_ref().is_none_or(|(_, writes)| writes.is_empty());
        if plain && !primary && text != "ROLLBACK" && !(text == "COMMIT" && empty) {
            return Err(format!("READONLY {id}"));
        }
        let write = |item: &str, value: &str| Commit { item: item.into(), value: value.into() };
        match words[..] {
            ["BEGIN"] if !primary => return Err(format!("READONLY {id}")),
            ["BEGIN", ..] => *transaction = Some((words.len() > 1, Vec::new())),
            ["ROLLBACK"] => *transaction = None,
            ["RESET"] => prepared.clear(),
            ["PREPARE", name, shape] => {
                prepared.insert(name.into(), shape.starts_with("WRITE"));
            }
            ["STATUS"] => {
                let role = if primary { "primary" } else { "replica" };
                let (position, term) = (self.position(id), self.lock().servers[id].term());
                let row = format!("DATAROW {role} {term} {position} {term} 0 0 1\r\n");
                return Ok(format!("{row}COMPLETE -\r\n"));
            }
            ["COMMIT"] => {
                self.note(id, who, query, text);
                let (_, writes) = transaction.take().unwrap_or((true, Vec::new()));
                self.commit(id, writes)?;
                return Ok(format!("COMPLETE {id}.{query}\r\n"));
            }
            ["READ", item] | ["EXECUTE", _, item]
                if words[0] == "READ" || !writes(prepared, &words) =>
            {
                self.note(id, who, query, text);
                thread::sleep(READ_WORK);
                let state = self.lock();
                let found = state.servers[id].log.iter().rfind(|commit| commit.item == item);
                let row = found.map(|it| format!("DATAROW {}\r\n", it.value)).unwrap_or_default();
                return Ok(format!("{row}COMPLETE {id}.{query}\r\n"));
            }
            ["WRITE", item, value] | ["EXECUTE", item, value] => {
                let (item, value) = match words[0] {
                    "WRITE" => (item, value),
                    _ => value.split_once(' ').unwrap_or((value, "")),
                };
                if !primary {
                    return Err(format!("READONLY {id}"));
                }
                self.note(id, who, query, text);
                match transaction {
                    Some((_, writes)) => writes.push(write(item, value)),
                    None => self.commit(id, vec![write(item, value)])?,
                }
                return Ok(format!("COMPLETE {id}.{query}\r\n"));
            }
            _ => {}
        }
        Ok("COMPLETE -\r\n".into())
    }

    fn note(&self, server: &str, who: &str, id: &str, text: &str) {
        let at = self.record.now();
        self.record.line(&format!("{server} runs for {who}: {id} {text}"));
        let run =
            Run { at, server: server.into(), who: who.into(), id: id.into(), text: text.into() };
        self.lock().runs.push(run);
    }

    /// Commits writes at a server; returns once they are acknowledged.
    fn commit(&self, id: &str, writes: Vec<Commit>) -> Result<(), Refusal> {
        if writes.is_empty() {
            return Ok(());
        }
        let mut state = self.lock();
        let server = state.servers.get_mut(id).filter(|it| it.primary && !it.down);
        let Some(server) = server else { return Err(format!("READONLY {id}")) };
        let term = server.term();
        server.log.extend(writes.iter().cloned());
        let length = server.log.len();
        for (name, other) in &mut state.servers {
            let follows = other.term() == term && other.log.len() + writes.len() == length;
            if name != id && !other.deaf && !other.down && !other.primary && follows {
                other.log.extend(writes.iter().cloned());
            }
        }
        drop(state);
        while self.sync {
            let state = self.lock();
            let received = state.servers.iter().any(|(name, it)| {
                name != id && !it.down && it.term() >= term && it.log.len() >= length
            });
            if received || state.servers.get(id).is_none_or(|it| it.down) {
                break;
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Stops or resumes the replication to a replica.
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        self.record
            .line(&format!("{id} {}", if deaf { "receives nothing" } else { "receives again" }));
        let mut state = self.lock();
        if let Some(server) = state.servers.get_mut(id) {
            server.deaf = deaf;
        }
        if !deaf {
            state.follow(id);
        }
    }

    /// Crashes a server: its connections are reset, its port refuses, it sends nothing to the store,
    /// whose entry for it is removed after three intervals.
    pub fn crash(&self, id: &str) {
        self.record.line(&format!("{id} crashes"));
        let mut state = self.lock();
        if let Some(server) = state.servers.get_mut(id) {
            server.down = true;
            for connection in server.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        drop(state);
        let (group, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            let mut state = group.lock();
            let server = state.servers.get_mut(&id).filter(|it| it.down);
            let gone = server.map(|it| it.registered = None).is_some();
            drop(state);
            if gone {
                group.store.delete(&format!("servers/{id}"));
            }
        });
    }

    /// Reports a server as draining. It exits some time after `drain`.
    pub fn drain(&self, id: &str, drain: Duration) {
        self.record.line(&format!("{id} drains"));
        if let Some(server) = self.lock().servers.get_mut(id) {
            server.draining = true;
        }
        self.register(id);
        let (group, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(drain + Duration::from_millis(1500));
            if group.lock().servers.get(&id).is_some_and(|it| !it.down) {
                group.crash(&id);
                group.store.delete(&format!("servers/{id}"));
            }
        });
    }

    /// Handles an order to promote a server; returns the HTTP status.
    pub fn promote(&self, id: &str) -> u16 {
        let state = self.lock();
        match state.servers.get(id) {
            Some(server) if server.down => return 409,
            Some(server) if server.primary => return 200,
            Some(_) => {}
            None => return 404,
        }
        drop(state);
        let (group, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(PROMOTE);
            group.finish_promotion(&id);
        });
        200
    }

    fn finish_promotion(&self, id: &str) {
        let mut state = self.lock();
        let term = state.servers.values().map(Server::term).max().unwrap_or(0) + 1;
        let Some(server) = state.servers.get_mut(id).filter(|it| !it.down) else { return };
        (server.primary, server.deaf) = (true, false);
        server.terms.insert(term, server.log.len());
        let log = server.log.clone();
        self.record.line(&format!("{id} leads term {term} with {} commits", log.len()));
        state.promoted.push((self.record.now(), id.to_owned(), log));
        let others: Vec<_> = state.servers.keys().filter(|name| *name != id).cloned().collect();
        for other in &others {
            if state.servers.get(other).is_some_and(|it| !it.primary) {
                state.follow(other);
            }
        }
        drop(state);
        self.register(id);
        let (group, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            let until = Instant::now() + DEMOTE;
            thread::sleep(until.saturating_duration_since(Instant::now()));
            for other in others.iter().filter(|name| **name != id) {
                let mut state = group.lock();
                if let Some(server) = state.servers.get_mut(other).filter(|it| !it.down) {
                    server.primary = false;
                }
                state.follow(other);
                drop(state);
                group.register(other);
            }
        });
    }

    /// The statements that servers ran for callers.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// The promotions that took effect, each with the server's log at that time.
    pub fn promoted(&self) -> Vec<(u64, String, Vec<Commit>)> {
        self.lock().promoted.clone()
    }

    /// The values in a server's log.
    pub fn log(&self, id: &str) -> Vec<String> {
        let state = self.lock();
        let log = state.servers.get(id).map(|it| it.log.clone()).unwrap_or_default();
        log.into_iter().map(|commit| commit.value).collect()
    }
}

impl State {
    /// Brings a replica in line with the primary of the newest term, if it can reach it.
    fn follow(&mut self, id: &str) {
        let leading = self.servers.values().filter(|it| it.primary && !it.down);
        let Some(leader) = leading.max_by_key(|it| it.term()) else { return };
        let (log, terms) = (leader.log.clone(), leader.terms.clone());
        if let Some(server) =
            self.servers.get_mut(id).filter(|it| !it.deaf && !it.down && !it.primary)
        {
            (server.log, server.terms) = (log, terms);
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn writes(prepared: &BTreeMap<String, bool>, words: &[&str]) -> bool {
    words.get(1).and_then(|name| prepared.get(*name)).copied().unwrap_or(false)
}

/// Splits the prefix `AFTER TERM.NUMBER` from a statement.
fn split_position(text: &str) -> (Option<(u64, usize)>, &str) {
    let rest = text.strip_prefix("AFTER ").and_then(|rest| rest.split_once(' '));
    let Some((position, statement)) = rest else { return (None, text) };
    let after = position
        .split_once('.')
        .and_then(|(term, number)| Some((term.parse().ok()?, number.parse().ok()?)));
    (after, statement)
}
