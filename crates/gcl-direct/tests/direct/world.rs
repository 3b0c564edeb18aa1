//! Simulation of daemons, backend servers and a store behind the interfaces of the reducer.
//!
//! Messages take a fixed time, tests inject faults, and only the daemons' seeds are random. Unlike
//! the daemons, the simulation has the ground truth: which server a promotion has superseded. It
//! fails a test in which a write is acknowledged that such a server committed afterwards.

use bytes::Bytes;
use compact_str::CompactString;
use gcl_core::{batch::Status, code::Fault, id, mark::Mark, time::Now};
use gcl_direct::{
    backend::{Answer, Call, Command, Event as Backend, Refusal, Report},
    caller::{Effect as CallerEffect, Event as Caller, Reply},
    config::{Config, Database, Freshness, Rate, Route, Workspace},
    connection::Values,
    directory::Entry,
    effect::{Effect, Effects},
    era,
    evacuation::Change,
    event::Event,
    line::{Line, Priority},
    link::{self, Request},
    reduce::reduce,
    settings::{Bounds, Settings},
    state::State,
    statement::{Access, Prepared, Query, Statement},
    store::{
        Answer as StoreAnswer, Call as StoreCall, Contents, Event as Store, Failure, Item, Topic,
        Written,
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// The database of most tests.
pub const DATABASE: &str = "orders";
/// Duration of a promotion.
const PROMOTION_MS: u64 = 300;
/// Latency of a message.
const LATENCY_MS: u64 = 1;
/// Latency of a message between regions.
const REMOTE_LATENCY_MS: u64 = 8;
/// Execution time of a statement at a server.
const EXECUTION_MS: u64 = 4;
/// Time after which an unanswered connection attempt times out.
const TIMEOUT_MS: u64 = 600;
/// Time after which a call to the store that is not answered is given up.
const CALL_TIMEOUT_MS: u64 = 1500;
/// Time that the store waits for changes before it answers a watch without any.
const WATCH_WAIT_MS: u64 = 28_000;
/// Time after which a watch that is not answered is given up.
const WATCH_TIMEOUT_MS: u64 = 30_000;
/// Time until the entry of a silent server lapses.
const ENTRY_TTL_MS: u64 = 3600;

/// Failure domains of most tests; the last is in a region of its own.
const DOMAINS: [&str; 3] = ["alpha", "beta", "gamma"];

/// A caller's session: the daemon and the session's number there.
pub type Session = (usize, id::Session);

/// A simulated backend server.
#[derive(Debug)]
pub struct Server {
    pub entry: Entry,
    pub term: u64,
    /// Position in the replication log.
    pub log: u64,
    pub up: bool,
    /// Whether its VM has no power.
    pub dark: bool,
    pub replication_paused: bool,
    /// Whether it refuses further connections.
    pub full: bool,
    /// Whether a promotion of another server has taken effect.
    pub superseded: bool,
    /// Refusals that replace the next successful answers; the last one is used first.
    pub refusals: Vec<Refusal>,
    /// The next setup command of one kind that is refused.
    pub setup_refusal: Option<SetupRefusal>,
    /// Whether the next command runs but its answer is lost.
    pub drop_next_answer: bool,
    /// Statements that ran, with the connection's workspace.
    pub ran: Vec<(id::Workspace, String)>,
    /// Session values of the connections that these statements ran on.
    pub values: Vec<Values>,
    /// Writes that were committed, in order.
    pub committed: Vec<String>,
}

/// The refusal of a command that sets up a connection.
#[derive(Clone, Debug)]
pub struct SetupRefusal {
    /// The command.
    pub step: &'static str,
    pub refusal: Refusal,
    /// Whether it takes effect all the same.
    pub takes_effect: bool,
}

/// A simulated daemon.
#[derive(Debug)]
pub struct Node {
    pub state: State,
    pub up: bool,
    pub ready: bool,
    pub exited: bool,
    /// Whether it is partitioned from the store.
    pub store_cut: bool,
    /// Whether it is partitioned from other daemons.
    pub peers_cut: bool,
    /// Whether it receives nothing from other daemons.
    pub deaf: bool,
    /// Whether its watches of the store report nothing, while other calls are answered.
    pub watches_hung: bool,
    /// Servers that it cannot reach.
    pub unreachable: IndexSet<id::Server>,
    boot_ms: u64,
}

#[derive(Debug)]
enum Scheduled {
    /// An event for a daemon, if it still runs since the given boot time.
    Deliver(usize, u64, Event),
    /// Servers and operators write their entries again after the store was restored.
    Rewrite,
    /// A promotion takes effect.
    Promote(id::Server),
    /// A server's entry lapses.
    Lapse(id::Server),
    /// A watch of a daemon since the given boot time ends, by its topic, revision and serial number.
    WatchEnds(usize, u64, Topic, u64, u64),
    /// Wakes the simulation, so that expired leases are removed.
    Expire,
}

/// A connection to a server and the state of its transaction.
#[derive(Clone, Debug, Default)]
struct Connection {
    server: id::Server,
    workspace: id::Workspace,
    in_transaction: bool,
    /// Whether its transaction failed, so that it can only be rolled back.
    failed: bool,
    /// Writes of its open transaction.
    writes: Vec<String>,
    values: Values,
    prepared: IndexMap<CompactString, Prepared>,
    /// Whether it has committed on a superseded server since its last answer.
    superseded_commit: bool,
}

impl Connection {
    /// The text that a statement runs with, `None` if its prepared statement does not exist.
    fn text(&self, command: &Command) -> Option<String> {
        match command {
            Command::Forward { text, .. } => Some(text.to_string()),
            Command::Execute { name, parameters, .. } => {
                let prepared = self.prepared.get(name)?;
                Some(format!("{} {parameters}", prepared.template))
            }
            _ => None,
        }
    }

    /// Carries out a command other than a statement. A name can be prepared once.
    fn set_up(&mut self, command: &Command) -> Result<(), Refusal> {
        match command {
            Command::Begin { .. } => self.in_transaction = true,
            Command::Rollback => {
                (self.in_transaction, self.failed) = (false, false);
                self.writes.clear();
            }
            Command::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            Command::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
            }
            Command::Prepare { name, .. } if self.prepared.contains_key(name) => {
                return Err(Refusal::Failed("the name is taken".into()));
            }
            Command::Prepare { name, prepared } => {
                self.prepared.insert(name.clone(), prepared.clone());
            }
            Command::Forward { .. } | Command::Execute { .. } | Command::Report => {}
        }
        Ok(())
    }
}

/// The name of a command that sets up a connection, empty for others.
const fn step(command: &Command) -> &'static str {
    match command {
        Command::Reset => "reset",
        Command::Set { .. } => "set",
        Command::Prepare { .. } => "prepare",
        Command::Begin { .. } => "begin",
        _ => "",
    }
}

/// The store's contents at some time.
#[derive(Clone, Debug)]
pub struct Snapshot {
    revision: u64,
    items: IndexMap<String, Item>,
    entries: IndexMap<id::Server, Entry>,
    config: Config,
    evacuations: IndexMap<id::Domain, (bool, u64, u64)>,
}

#[derive(Debug, Default)]
pub struct World {
    pub now_ms: u64,
    pub nodes: Vec<Node>,
    pub servers: IndexMap<id::Server, Server>,
    pub config: Config,
    domains: usize,
    /// Whether the databases acknowledge a commit once one replica has received it. The simulation
    /// then fails a test in which a server without an acknowledged commit is promoted.
    pub synchronous: bool,
    /// The newest acknowledged position of each database.
    acknowledged: IndexMap<id::Database, Mark>,
    pub store_down: bool,
    /// Whether the store answers nothing, while connections to it stay open. Calls made meanwhile
    /// are never answered, and watches that were open are answered afterwards.
    pub store_silent: bool,
    /// Whether watches end without changes after the time that the store waits for some.
    pub watches_end: bool,
    /// The newest watch of each daemon and topic; a daemon abandons earlier ones.
    newest_watches: IndexMap<(usize, Topic), u64>,
    /// Requested promotions: server and fence.
    pub promotions: Vec<(id::Server, u64)>,
    /// Calls to the store, by name.
    pub store_calls: IndexMap<&'static str, usize>,
    pub digests_sent: usize,
    /// Log lines of all daemons.
    pub log: Vec<(usize, Line)>,
    /// Messages on streams between daemons, by kind.
    pub stream_messages: IndexMap<&'static str, usize>,
    /// Open streams, as pairs of the opening daemon and its host.
    streams: IndexSet<(usize, usize)>,
    queue: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    /// The store's era; zero if it reports none.
    pub era: u64,
    revision: u64,
    items: IndexMap<String, Item>,
    /// Expiry and time to live of each lease.
    leases: IndexMap<u64, (u64, u64)>,
    /// Evacuations of failure domains: whether one is requested, the change's revision and time.
    evacuations: IndexMap<id::Domain, (bool, u64, u64)>,
    /// Commands that reached a server later than the bound after the evacuation of its failure
    /// domain, with the daemon that sent them.
    pub late_commands: Vec<(usize, id::Server)>,
    /// Hosts that a statement was forwarded to, in order.
    pub forwarded: Vec<usize>,
    /// Connections that daemons tried to open to servers.
    pub logins_at_servers: usize,
    /// Log lines about failed requests.
    pub failures: Vec<Line>,
    /// Commands to each server: when they arrived, and from which daemon.
    pub commands: Vec<(u64, usize, id::Server)>,
    /// Servers whose entries lapsed, and the revisions of that.
    lapsed: IndexMap<id::Server, u64>,
    /// A restored snapshot; its servers and configuration are served until they are written
    /// again.
    outdated: Option<Snapshot>,
    /// Open watches: daemon, its boot time, topic and the last revision it has seen.
    watches: Vec<(usize, u64, Topic, u64)>,
    connections: IndexMap<(usize, u64), Connection>,
    replies: IndexMap<Session, Vec<Reply>>,
    closed: IndexSet<Session>,
    logins: IndexMap<Session, (String, String)>,
}

/// Settings of a daemon in one of `count` failure domains, of which two in three are in the region
/// `east`.
fn settings_in(daemon: usize, count: usize) -> Settings {
    let domains = (0..count).map(|index| {
        let named = DOMAINS.get(index).map(|name| (*name).to_owned());
        let name = named.unwrap_or_else(|| format!("domain-{index}"));
        (id::Domain::from(name), if index % 3 < 2 { "east" } else { "west" })
    });
    let domains: Vec<_> = domains.collect();
    Settings {
        daemon: format!("d{daemon}").into(),
        domain: domains[daemon % count].0.clone(),
        regions: domains
            .iter()
            .map(|(domain, region)| (domain.clone(), (*region).into()))
            .collect(),
        peer_address: format!("127.0.0.1:{}", 7000 + daemon).into(),
        millicores: 500,
        bootstrap: false,
        bounds: bounds(),
    }
}

pub fn bounds() -> Bounds {
    Bounds {
        grace: Duration::from_secs(6),
        rate_window: Duration::from_secs(5),
        rate_excess: 0.1,
        rate_slack: 20.0,
        lease_min: Duration::from_secs(1),
        evacuation: Duration::from_secs(5),
        cold_excess: 1.5,
        cold_slack: 5.0,
    }
}

fn route(freshness: Freshness) -> Arc<Route> {
    Arc::new(Route {
        rule: "r".into(),
        database: DATABASE.into(),
        freshness,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(400),
        priority: 1,
        public: false,
        regions: Vec::new(),
    })
}

fn config() -> Config {
    let mut config = Config { version: 3, ..Config::default() };
    let age = Duration::from_millis(1500);
    config.routes.insert("latest".into(), route(Freshness::Latest));
    config.routes.insert("bounded".into(), route(Freshness::Bounded(age)));
    config.routes.insert("own".into(), route(Freshness::ReadYourWrites(age)));
    config.databases.insert(
        DATABASE.into(),
        Database { connections: 20, cold_rate: 0.0, synchronous_replicas: 0 },
    );
    let limit = Some(Rate { rate: 1000.0, burst: 1000.0 });
    config.workspaces.insert("w".into(), Workspace { limit, ..Workspace::default() });
    config.keys.insert("key".into(), "w".into());
    config.keys.insert("other-key".into(), "v".into());
    config.transaction_idle = Some(Duration::from_secs(3));
    config
}

impl World {
    /// Daemons with a primary `a` and two replicas, all idle and ready.
    pub fn new(daemons: usize) -> Self {
        Self::with_domains(daemons, DOMAINS.len())
    }

    /// Like [`Self::new`], with the daemons in `domains` failure domains.
    pub fn with_domains(daemons: usize, domains: usize) -> Self {
        Self::with_store_era(0, daemons, domains)
    }

    /// Like [`Self::with_domains`], with a store that reports its era.
    pub fn with_store_era(era: u64, daemons: usize, domains: usize) -> Self {
        let mut world =
            Self { now_ms: 1000, era, revision: 10, config: config(), domains, ..Self::default() };
        for (name, domain) in [("a", "alpha"), ("b", "beta"), ("c", "gamma")] {
            world.add_server(name, domain, name == "a");
        }
        for daemon in 0..daemons {
            world.boot(daemon);
        }
        world.run(3000);
        assert!(world.nodes.iter().all(|node| node.ready), "every daemon is ready");
        world
    }

    pub fn add_server(&mut self, name: &str, domain: &str, claims_primary: bool) {
        self.add_server_of(DATABASE, name, domain, claims_primary);
    }

    fn add_server_of(&mut self, database: &str, name: &str, domain: &str, claims_primary: bool) {
        self.revision += 1;
        let entry = Entry {
            database: database.into(),
            address: format!("127.0.0.1:{}", 9000 + self.servers.len()).into(),
            domain: domain.into(),
            slots: 3,
            draining: false,
            claims_primary,
            cold_left: Duration::ZERO,
            started_ms: 1,
            revision: self.revision,
        };
        let server = Server {
            entry,
            term: 1,
            log: 100,
            up: true,
            dark: false,
            replication_paused: false,
            full: false,
            superseded: false,
            refusals: Vec::new(),
            setup_refusal: None,
            drop_next_answer: false,
            ran: Vec::new(),
            values: Vec::new(),
            committed: Vec::new(),
        };
        self.servers.insert(name.into(), server);
        self.notify(Topic::Servers);
    }

    /// Adds a database with its primary and replicas, and a route of the same name.
    pub fn add_database(&mut self, name: &str, servers: [(&str, &str); 3]) {
        self.configure(|config| {
            let mut latest = Route::clone(&route(Freshness::Latest));
            latest.database = name.into();
            config.routes.insert(name.into(), Arc::new(latest));
            let database = Database { connections: 20, cold_rate: 0.0, synchronous_replicas: 0 };
            config.databases.insert(name.into(), database);
        });
        for (index, (server, domain)) in servers.into_iter().enumerate() {
            self.add_server_of(name, server, domain, index == 0);
        }
        self.run(2500);
    }

    /// Ends the lease of a daemon before its time, which the daemon is not told.
    pub fn end_lease(&mut self, daemon: usize) {
        self.leases.insert(self.nodes[daemon].state.lease.lease, (0, 0));
        self.expire();
    }

    /// Starts or restarts a daemon. Only a first start bootstraps.
    pub fn boot(&mut self, daemon: usize) {
        let seed = self.now_ms * 31 + daemon as u64;
        let mut settings = settings_in(daemon, self.domains);
        settings.bootstrap = daemon >= self.nodes.len();
        let node = Node {
            state: State::new(settings, seed),
            up: true,
            ready: false,
            exited: false,
            store_cut: false,
            peers_cut: false,
            deaf: false,
            watches_hung: false,
            unreachable: IndexSet::new(),
            boot_ms: self.now_ms,
        };
        if daemon < self.nodes.len() {
            self.nodes[daemon] = node;
        } else {
            self.nodes.push(node);
        }
        self.deliver(daemon, Event::Started);
    }

    /// Kills a daemon: its connections close, and it announces nothing.
    pub fn kill(&mut self, daemon: usize) {
        self.nodes[daemon].up = false;
        self.close_streams(daemon);
        self.connections.retain(|(node, _), _| *node != daemon);
        self.watches.retain(|(node, ..)| *node != daemon);
    }

    pub fn server(&mut self, name: &str) -> &mut Server {
        self.servers.get_mut(name).expect("the server exists")
    }

    /// Cuts the power of a server: it answers nobody, and its entry lapses a while later.
    pub fn darken(&mut self, name: &str) {
        self.server(name).dark = true;
        for node in &mut self.nodes {
            node.unreachable.insert(name.into());
        }
        for ((daemon, id), connection) in self.connections.clone() {
            if connection.server == name {
                self.connections.swap_remove(&(daemon, id));
                self.close_connection((daemon, id), "timed out", false);
            }
        }
        self.schedule(ENTRY_TTL_MS, Scheduled::Lapse(name.into()));
    }

    /// Allows the loss of commits that were acknowledged so far.
    pub fn give_up_commits(&mut self) {
        self.acknowledged.clear();
    }

    /// Starts a server again whose power was cut, with the log that it had.
    pub fn brighten(&mut self, name: &str, started_ms: u64) {
        for node in &mut self.nodes {
            node.unreachable.swap_remove(name);
        }
        self.lapsed.swap_remove(name);
        let server = self.server(name);
        server.dark = false;
        let superseded = server.superseded;
        self.update_entry(name, |entry| {
            entry.started_ms = started_ms;
            entry.claims_primary &= !superseded;
        });
    }

    /// Updates a server's entry in the store.
    pub fn update_entry(&mut self, name: &str, change: impl FnOnce(&mut Entry)) {
        self.revision += 1;
        let revision = self.revision;
        let entry = &mut self.server(name).entry;
        change(entry);
        entry.revision = revision;
        self.notify(Topic::Servers);
    }

    /// Puts a new version of the configuration in force.
    pub fn configure(&mut self, change: impl FnOnce(&mut Config)) {
        self.revision += 1;
        self.config.version += 1;
        change(&mut self.config);
        self.notify(Topic::Operator);
    }

    /// Requests the evacuation of a failure domain, or takes it back.
    pub fn evacuate(&mut self, domain: &str, requested: bool) {
        self.revision += 1;
        let change = (requested, self.revision, self.now_ms);
        self.evacuations.insert(domain.into(), change);
        self.notify(Topic::Operator);
    }

    /// Records a command or login that reaches a server.
    fn record_command(&mut self, daemon: usize, name: &id::Server) {
        self.commands.push((self.now_ms, daemon, name.clone()));
        let domain = &self.servers[name].entry.domain;
        let bound = bounds().evacuation.as_millis() as u64;
        let late = self.evacuations.get(domain);
        if late.is_some_and(|(requested, _, at)| *requested && self.now_ms > at + bound) {
            self.late_commands.push((daemon, name.clone()));
        }
    }

    /// Makes a server roll back the open transactions of its connections, which it does not announce.
    pub fn end_transactions(&mut self, name: &str) {
        for connection in self.connections.values_mut().filter(|it| it.server == name) {
            connection.in_transaction = false;
            connection.writes.clear();
        }
    }

    /// Crashes a server; further connections to it are refused.
    pub fn crash(&mut self, name: &str) {
        self.server(name).up = false;
        let ids: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.server == name)
            .map(|(it, _)| *it)
            .collect();
        for id in ids {
            self.connections.swap_remove(&id);
            self.close_connection(id, "closed by the server", true);
        }
    }

    /// Starts a crashed server again under its id, without the log that it had. Its entry is written
    /// only if `registers` is set.
    pub fn restart_empty(&mut self, name: &str, registers: bool) {
        let server = self.server(name);
        (server.up, server.log, server.replication_paused) = (true, 0, true);
        server.entry.started_ms += 1;
        if registers {
            self.update_entry(name, |_entry| {});
        }
    }

    fn close_connection(
        &mut self,
        (daemon, connection): (usize, u64),
        reason: &str,
        answered: bool,
    ) {
        let closed = Backend::Closed { reason: reason.into(), answered };
        let wait = if answered { LATENCY_MS } else { TIMEOUT_MS };
        self.deliver_in(wait, daemon, Event::Backend(connection, closed));
    }

    fn deliver_in(&mut self, wait: u64, daemon: usize, event: Event) {
        let boot = self.nodes[daemon].boot_ms;
        self.schedule(wait, Scheduled::Deliver(daemon, boot, event));
    }

    fn schedule(&mut self, wait: u64, scheduled: Scheduled) {
        self.sequence += 1;
        self.queue.insert((self.now_ms + wait, self.sequence), scheduled);
    }

    pub fn now(&self, daemon: usize) -> Now {
        Now::at(Duration::from_millis(self.now_ms - self.nodes[daemon].boot_ms))
    }

    /// Advances the simulated time.
    pub fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        loop {
            let next = self.queue.first_key_value().map(|((at, _), _)| *at);
            let wake = self.next_wake();
            let at = next.into_iter().chain(wake.map(|(at, _)| at)).min();
            let Some(at) = at.filter(|at| *at <= end) else {
                break;
            };
            self.now_ms = at.max(self.now_ms);
            if next == Some(at) {
                if let Some((_, scheduled)) = self.queue.pop_first() {
                    self.handle(scheduled);
                }
            } else if let Some((_, daemon)) = wake {
                self.deliver(daemon, Event::Wake);
            }
            self.expire();
        }
        self.now_ms = end;
    }

    fn next_wake(&self) -> Option<(u64, usize)> {
        let running = self.nodes.iter().enumerate().filter(|(_, node)| node.up && !node.exited);
        let wakes = running.filter_map(|(daemon, node)| {
            let at = node.state.timers.next()?;
            Some((node.boot_ms + at.as_millis() as u64 + 1, daemon))
        });
        wakes.min()
    }

    fn handle(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Deliver(daemon, boot, event) => {
                let node = &self.nodes[daemon];
                if node.up && node.boot_ms == boot {
                    self.deliver(daemon, event);
                }
            }
            Scheduled::Promote(name) => self.promote(&name),
            Scheduled::Lapse(name) if !self.servers[&name].dark => {}
            Scheduled::Lapse(name) => {
                self.revision += 1;
                self.lapsed.insert(name, self.revision);
                self.notify(Topic::Servers);
            }
            Scheduled::WatchEnds(daemon, boot, topic, after, serial) => {
                self.end_watch(daemon, boot, topic, after, serial);
            }
            Scheduled::Rewrite => self.rewrite_entries(),
            Scheduled::Expire => {}
        }
    }

    /// Makes a server the primary and marks all others of its database as superseded.
    fn promote(&mut self, name: &id::Server) {
        let promoted = &self.servers[name];
        let position = Mark::new(promoted.term, promoted.log);
        if let Some(acknowledged) = self.acknowledged.get(&promoted.entry.database) {
            assert!(
                position >= *acknowledged,
                "{name} lacks commits: {position:?} {acknowledged:?}"
            );
        }
        let term = self.servers.values().map(|server| server.term).max().unwrap_or(0) + 1;
        let promoted = &self.servers[name];
        let (log, database) = (promoted.log, promoted.entry.database.clone());
        let servers = self.servers.iter_mut().filter(|(_, it)| it.entry.database == database);
        for (other, server) in servers {
            server.superseded = other != name;
            if other != name && !server.entry.claims_primary {
                server.log = server.log.min(log);
            }
        }
        let server = self.server(name);
        (server.term, server.superseded) = (term, false);
        self.update_entry(name, |entry| entry.claims_primary = true);
    }

    pub fn deliver(&mut self, daemon: usize, event: Event) {
        let now = self.now(daemon);
        for effect in reduce(&mut self.nodes[daemon].state, now, event) {
            self.carry_out(daemon, effect);
        }
    }

    /// Carries out effects that a test obtained from the reducer's parts.
    pub fn carry_out_all(&mut self, daemon: usize, mut effects: Effects) {
        for effect in effects.take() {
            self.carry_out(daemon, effect);
        }
    }

    fn carry_out(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Caller(session, effect) => self.send_to_caller((daemon, session), effect),
            Effect::Backend(connection, call) => self.call_server(daemon, connection, call),
            Effect::Store(call) => self.call_store(daemon, call),
            Effect::Promote { database, server, fence } => {
                if !self.promotions.contains(&(server.clone(), fence)) {
                    self.schedule(PROMOTION_MS, Scheduled::Promote(server.clone()));
                }
                self.promotions.push((server, fence));
                self.deliver_in(LATENCY_MS, daemon, Event::Promoted { database, result: Ok(()) });
            }
            Effect::Peer { address, digest } => {
                self.digests_sent += 1;
                let to = self.nodes.iter().position(|it| it.state.settings.peer_address == address);
                let cut = |to: usize| {
                    let receiver = &self.nodes[to];
                    self.nodes[daemon].peers_cut || receiver.peers_cut || receiver.deaf
                };
                let receiver = to.filter(|to| !cut(*to));
                if let Some(to) = receiver {
                    self.deliver_in(LATENCY_MS, to, Event::Peer(digest));
                }
            }
            Effect::Link(call) => self.call_peer(daemon, call),
            Effect::Ready(ready) => self.nodes[daemon].ready = ready,
            Effect::Exit => {
                self.nodes[daemon].exited = true;
                self.close_streams(daemon);
            }
            Effect::Log(line) => {
                if line.priority == Priority::Failure {
                    self.failures.push(line.clone());
                }
                self.log.push((daemon, line));
            }
            Effect::Metric(_) => {}
        }
    }

    /// Whether two daemons can reach each other.
    fn connected(&self, one: usize, other: usize) -> bool {
        let (one, other) = (&self.nodes[one], &self.nodes[other]);
        !one.peers_cut && !other.peers_cut && one.up && other.up && !one.exited && !other.exited
    }

    fn call_peer(&mut self, daemon: usize, call: link::Call) {
        match call {
            link::Call::Request { host, address, request } => {
                *self.stream_messages.entry(kind(&request)).or_default() += 1;
                let to = self.nodes.iter().position(|it| it.state.settings.peer_address == address);
                let Some(to) = to.filter(|to| self.nodes[*to].up && !self.nodes[*to].exited) else {
                    self.streams.retain(|(from, to)| *from != daemon || self.nodes[*to].up);
                    let closed = link::Event::Closed { host, was_open: false };
                    return self.deliver_in(LATENCY_MS * 2, daemon, Event::Link(closed));
                };
                if matches!(request, Request::Run(_)) {
                    self.forwarded.push(to);
                }
                if self.connected(daemon, to) {
                    self.streams.insert((daemon, to));
                    let request = link::Event::Requested(daemon as u64, request);
                    self.deliver_in(self.latency(daemon, to), to, Event::Link(request));
                }
            }
            link::Call::Respond(link, response) => {
                let to = link as usize;
                let response = link::Event::Responded(
                    self.nodes[daemon].state.settings.daemon.clone(),
                    response,
                );
                if self.connected(daemon, to) && self.streams.contains(&(to, daemon)) {
                    self.deliver_in(self.latency(daemon, to), to, Event::Link(response));
                }
            }
            link::Call::Close(_) => {}
        }
    }

    /// The latency of a message between two daemons.
    fn latency(&self, one: usize, other: usize) -> u64 {
        let (one, other) = (&self.nodes[one].state.settings, &self.nodes[other].state.settings);
        if one.distance(&other.domain) > 1 { REMOTE_LATENCY_MS } else { LATENCY_MS }
    }

    /// Closes the streams of a daemon that was killed or has exited.
    fn close_streams(&mut self, daemon: usize) {
        let ended = self.streams.iter().filter(|(from, to)| *from == daemon || *to == daemon);
        let ended: Vec<_> = ended.copied().collect();
        for (from, to) in ended {
            self.streams.swap_remove(&(from, to));
            let event = if from == daemon {
                (to, link::Event::PeerClosed(from as u64))
            } else {
                let host = self.nodes[to].state.settings.daemon.clone();
                (from, link::Event::Closed { host, was_open: true })
            };
            self.deliver_in(LATENCY_MS, event.0, Event::Link(event.1));
        }
    }

    fn send_to_caller(&mut self, session: Session, effect: CallerEffect) {
        match effect {
            CallerEffect::Send(replies) => self.replies.entry(session).or_default().extend(replies),
            CallerEffect::Close => {
                self.closed.insert(session);
            }
        }
    }

    fn call_server(&mut self, daemon: usize, connection: u64, call: Call) {
        let id = (daemon, connection);
        match call {
            Call::Open { server, workspace, .. } => self.open(id, server, workspace),
            Call::Send(command) => self.execute(id, &command),
            Call::Close => {
                self.connections.swap_remove(&id);
            }
        }
    }

    fn open(&mut self, id: (usize, u64), name: id::Server, workspace: id::Workspace) {
        self.logins_at_servers += 1;
        self.record_command(id.0, &name);
        let server = &self.servers[&name];
        if self.nodes[id.0].unreachable.contains(&name) {
            return self.close_connection(id, "timed out while opening the connection", false);
        }
        if !server.up {
            return self.close_connection(id, "connection refused", true);
        }
        if server.full {
            let refused = Backend::Refused(Refusal::Full);
            return self.deliver_in(LATENCY_MS * 2, id.0, Event::Backend(id.1, refused));
        }
        let mark = Mark::new(server.term, server.log);
        self.connections
            .insert(id, Connection { server: name, workspace, ..Connection::default() });
        self.deliver_in(LATENCY_MS * 2, id.0, Event::Backend(id.1, Backend::Opened(Some(mark))));
    }

    fn execute(&mut self, id: (usize, u64), command: &Command) {
        let Some(mut connection) = self.connections.get(&id).cloned() else {
            return;
        };
        let name = connection.server.clone();
        self.record_command(id.0, &name);
        if self.nodes[id.0].unreachable.contains(&name) {
            return;
        }
        let before = self.servers[&name].log;
        let answer = self.answer(&mut connection, command);
        if self.synchronous && self.servers[&name].log > before && !self.replicate_commit(&name) {
            // No replica has received the commit, so it is not acknowledged.
            self.connections.insert(id, connection);
            return;
        }
        if std::mem::take(&mut self.server(&name).drop_next_answer) {
            self.connections.swap_remove(&id);
            return self.close_connection(id, "connection reset", true);
        }
        self.connections.insert(id, connection);
        self.deliver_in(
            LATENCY_MS * 2 + EXECUTION_MS,
            id.0,
            Event::Backend(id.1, Backend::Answered(answer)),
        );
    }

    fn answer(&mut self, connection: &mut Connection, command: &Command) -> Answer {
        let server = self.servers.get_mut(&connection.server).expect("the server exists");
        let claims_primary = server.entry.claims_primary;
        let behind =
            |min: &Option<Mark>| min.is_some_and(|it| it > Mark::new(server.term, server.log));
        let text = connection.text(command);
        let writes = text.as_ref().is_some_and(|text| text.starts_with("WRITE"));
        let check = match command {
            Command::Begin { min_position, .. }
            | Command::Forward { min_position, .. }
            | Command::Execute { min_position, .. }
                if behind(min_position) =>
            {
                Err(Refusal::Behind)
            }
            Command::Begin { read_only: false, .. } if !claims_primary => Err(Refusal::ReadOnly),
            Command::Execute { .. } if text.is_none() => Err(Refusal::UnknownStatement),
            _ if writes && !claims_primary => Err(Refusal::ReadOnly),
            Command::Rollback => Ok(()),
            _ if connection.failed => Err(Refusal::Malformed("the transaction failed".into())),
            _ => Ok(()),
        };
        let is_statement = matches!(command, Command::Forward { .. } | Command::Execute { .. });
        let injected = if is_statement {
            server.refusals.pop().map(|refusal| (refusal, false))
        } else {
            let due = server.setup_refusal.take_if(|it| it.step == step(command));
            due.map(|it| (it.refusal, it.takes_effect))
        };
        let result = match injected {
            Some((refusal, takes_effect)) => {
                if takes_effect {
                    connection.set_up(command).expect("the command can take effect");
                }
                Err(refusal)
            }
            None => check.and_then(|()| connection.set_up(command)),
        };
        let text = text.filter(|_| result.is_ok() && is_statement);
        if let Some(text) = &text {
            server.ran.push((connection.workspace.clone(), text.clone()));
            server.values.push(connection.values.clone());
            connection.writes.extend(writes.then(|| text.clone()));
        }
        let commits =
            text.as_ref().is_some_and(|text| text == "COMMIT" || !connection.in_transaction);
        if commits {
            if !connection.writes.is_empty() {
                server.log += 1;
                connection.superseded_commit |= server.superseded;
                server.committed.append(&mut connection.writes);
            }
            connection.in_transaction = false;
        }
        connection.failed |= result.is_err() && connection.in_transaction;
        let status = match (connection.in_transaction, connection.failed) {
            (false, _) => Status::Idle,
            (true, false) => Status::Open,
            (true, true) => Status::Failed,
        };
        let mark = Some(Mark::new(server.term, server.log));
        let report = matches!(command, Command::Report)
            .then(|| Report { claims_primary, received: Mark::new(server.term, server.log) });
        let receipt = if connection.superseded_commit { "superseded" } else { "receipt" };
        connection.superseded_commit = false;
        let rows = Vec::new();
        Answer { rows, result: result.map(|()| Bytes::from(receipt)), status, mark, report }
    }

    /// Sends a primary's commits to the replicas that receive any, and records them as acknowledged.
    /// Returns whether there is one.
    fn replicate_commit(&mut self, primary: &id::Server) -> bool {
        let server = &self.servers[primary];
        let (term, log, database) = (server.term, server.log, server.entry.database.clone());
        let mut is_held = false;
        for (name, replica) in &mut self.servers {
            let receives = replica.up && !replica.dark && !replica.replication_paused;
            if name != primary && receives && replica.entry.database == database {
                (replica.term, replica.log) = (term, log);
                is_held = true;
            }
        }
        let acknowledged = self.acknowledged.entry(database).or_insert(Mark::new(0, 0));
        if is_held {
            *acknowledged = Mark::new(term, log).max(*acknowledged);
        }
        is_held
    }

    /// Replicates the primaries' commits to their replicas.
    pub fn replicate(&mut self) {
        let primaries =
            self.servers.values().filter(|it| it.entry.claims_primary && !it.superseded);
        let primaries: Vec<_> =
            primaries.map(|it| (it.entry.database.clone(), it.term, it.log)).collect();
        for (database, term, log) in primaries {
            let replicas = self.servers.values_mut().filter(|it| {
                let entry = &it.entry;
                let receives = !it.dark && !it.replication_paused;
                entry.database == database && !entry.claims_primary && receives
            });
            for server in replicas {
                (server.term, server.log) = (term, log);
            }
        }
    }

    /// The store's current contents.
    pub fn snapshot(&self) -> Snapshot {
        let entries = self.servers.iter().map(|(name, it)| (name.clone(), it.entry.clone()));
        Snapshot {
            revision: self.revision,
            items: self.items.clone(),
            entries: entries.collect(),
            config: self.config.clone(),
            evacuations: self.evacuations.clone(),
        }
    }

    /// Restores the store from a snapshot, in a new era. Servers and operators write their entries
    /// again after `rewrite_after_ms`; open watches stay open.
    pub fn restore_store(&mut self, snapshot: Snapshot, rewrite_after_ms: u64) {
        self.era += 1;
        self.revision = snapshot.revision;
        self.leases.clear();
        self.items.clone_from(&snapshot.items);
        self.items.retain(|_, item| item.lease == 0);
        self.outdated = Some(snapshot);
        self.store_down = false;
        self.schedule(rewrite_after_ms, Scheduled::Rewrite);
    }

    fn rewrite_entries(&mut self) {
        self.outdated = None;
        for name in self.servers.keys().cloned().collect::<Vec<_>>() {
            self.update_entry(&name, |_entry| {});
        }
        self.revision += 1;
        let (revision, evacuations) = (self.revision, &mut self.evacuations);
        for (_, at, _) in evacuations.values_mut() {
            *at = revision;
        }
        self.notify(Topic::Operator);
    }

    /// Writes one of the daemons' own keys, as a daemon of another release might.
    pub fn put_item(&mut self, key: &str, value: &str) {
        self.revision += 1;
        let value = Some(Bytes::copy_from_slice(value.as_bytes()));
        let item = Item { key: key.into(), value, revision: self.revision, lease: 0 };
        self.items.insert(key.to_owned(), item);
        self.notify(Topic::Coordination);
    }

    /// The store's item of one of the daemons' own keys.
    pub fn item(&self, key: &str) -> Option<&Item> {
        self.items.get(key).filter(|item| item.value.is_some())
    }

    fn entries(&self) -> IndexMap<id::Server, Entry> {
        match &self.outdated {
            Some(snapshot) => snapshot.entries.clone(),
            None => {
                self.servers.iter().map(|(name, it)| (name.clone(), it.entry.clone())).collect()
            }
        }
    }

    fn answer_store(&mut self, daemon: usize, event: Store) {
        let unavailable = self.store_down || self.nodes[daemon].store_cut;
        let era = if unavailable { 0 } else { self.era };
        self.deliver_in(LATENCY_MS * 2, daemon, Event::Store(StoreAnswer { era, event }));
    }

    /// Makes the store silent, or ends that.
    pub fn silence_store(&mut self, silent: bool) {
        self.store_silent = silent;
        for topic in Topic::ALL {
            self.notify(topic);
        }
    }

    /// Starts a watch, which ends after a while.
    fn begin_watch(&mut self, daemon: usize, topic: Topic, after: u64) {
        self.watches.retain(|(other, _, watched, _)| (*other, *watched) != (daemon, topic));
        self.sequence += 1;
        let (boot, serial) = (self.nodes[daemon].boot_ms, self.sequence);
        self.newest_watches.insert((daemon, topic), serial);
        let ends = Scheduled::WatchEnds(daemon, boot, topic, after, serial);
        if self.store_silent {
            return self.schedule(WATCH_TIMEOUT_MS, ends);
        }
        self.watches.push((daemon, boot, topic, after));
        if self.watches_end {
            self.schedule(WATCH_WAIT_MS, ends);
        }
        self.notify(topic);
    }

    fn end_watch(&mut self, daemon: usize, boot: u64, topic: Topic, after: u64, serial: u64) {
        if self.newest_watches.get(&(daemon, topic)) != Some(&serial) {
            return;
        }
        let watch = (daemon, boot, topic, after);
        let reached = self.watches.iter().position(|open| *open == watch);
        let result = match reached {
            Some(index) if !self.store_silent => {
                self.watches.swap_remove(index);
                Ok((self.contents(topic, u64::MAX >> 24), era::order(self.era, self.revision)))
            }
            Some(_) => return,
            None => Err(Failure::Lost),
        };
        let event = Store::Watched(topic, after, result);
        let answer = Event::Store(StoreAnswer { era: 0, event });
        self.schedule(LATENCY_MS, Scheduled::Deliver(daemon, boot, answer));
    }

    /// Loses a call other than a watch to a silent store.
    fn lose_call(&mut self, daemon: usize, call: &StoreCall) {
        let failed = Failure::Lost;
        let event = match *call {
            StoreCall::Watch(topic, after) => return self.begin_watch(daemon, topic, after),
            StoreCall::Read(topic) => Store::Read(topic, Err(failed)),
            StoreCall::Write { call, .. } => Store::Written(call, Err(failed)),
            StoreCall::Grant(_) => Store::Granted(Err(failed)),
            StoreCall::Renew(lease) => Store::Renewed(lease, Err(failed)),
            StoreCall::Revoke(lease) => Store::Revoked(lease, Err(failed)),
        };
        let lost = Event::Store(StoreAnswer { era: 0, event });
        self.deliver_in(CALL_TIMEOUT_MS, daemon, lost);
    }

    fn call_store(&mut self, daemon: usize, call: StoreCall) {
        *self.store_calls.entry(call.name()).or_default() += 1;
        if self.store_silent {
            return self.lose_call(daemon, &call);
        }
        let unavailable = self.store_down || self.nodes[daemon].store_cut;
        let failed = Failure::Unreached;
        let event = match call {
            StoreCall::Read(topic) if unavailable => Store::Read(topic, Err(failed)),
            StoreCall::Read(topic) => Store::Read(
                topic,
                Ok((self.contents(topic, 0), era::order(self.era, self.revision))),
            ),
            StoreCall::Watch(topic, after) if unavailable => {
                Store::Watched(topic, after, Err(failed))
            }
            StoreCall::Watch(topic, after) if era::revision(after) > self.revision => {
                Store::Watched(topic, after, Err(Failure::Compacted))
            }
            StoreCall::Watch(topic, after) => {
                return self.begin_watch(daemon, topic, after);
            }
            StoreCall::Write { call, .. } if unavailable => Store::Written(call, Err(failed)),
            StoreCall::Write { call, key, expected, value, lease } => {
                Store::Written(call, Ok(self.write(&key, expected, value, lease)))
            }
            StoreCall::Grant(_) if unavailable => Store::Granted(Err(failed)),
            StoreCall::Grant(time) => {
                self.revision += 1;
                let (lease, ms) = (self.revision, time.as_millis() as u64);
                self.leases.insert(lease, (self.now_ms + LATENCY_MS + ms, ms));
                Store::Granted(Ok((lease, time)))
            }
            StoreCall::Renew(lease) if unavailable => Store::Renewed(lease, Err(failed)),
            StoreCall::Renew(lease) => {
                let now = self.now_ms + LATENCY_MS;
                let known = self.leases.get_mut(&lease);
                let renewed = known.map(|(until, ms)| *until = now + *ms).is_some();
                Store::Renewed(lease, Ok(renewed))
            }
            StoreCall::Revoke(lease) if unavailable => Store::Revoked(lease, Err(failed)),
            StoreCall::Revoke(lease) => {
                self.leases.insert(lease, (0, 0));
                self.schedule(0, Scheduled::Expire);
                Store::Revoked(lease, Ok(()))
            }
        };
        self.answer_store(daemon, event);
    }

    fn write(&mut self, key: &str, expected: u64, value: Bytes, lease: u64) -> Written {
        let known = self.items.get(key).filter(|item| item.value.is_some());
        if known.map_or(0, |item| item.revision) != era::revision(expected) {
            return Written::Conflict;
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Written::NoLease;
        }
        self.revision += 1;
        let item = Item { key: key.into(), value: Some(value), revision: self.revision, lease };
        self.items.insert(key.to_owned(), item);
        self.notify(Topic::Coordination);
        Written::Done(era::order(self.era, self.revision))
    }

    fn expire(&mut self) {
        let now = self.now_ms;
        let ended: Vec<_> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(it, _)| *it).collect();
        for lease in ended {
            self.leases.swap_remove(&lease);
            for item in self.items.values_mut().filter(|item| item.lease == lease) {
                self.revision += 1;
                (item.value, item.revision, item.lease) = (None, self.revision, 0);
            }
            self.notify(Topic::Coordination);
        }
    }

    fn contents(&self, topic: Topic, after: u64) -> Contents {
        match topic {
            Topic::Operator => {
                let config =
                    self.outdated.as_ref().map_or(&self.config, |snapshot| &snapshot.config);
                let evacuations =
                    self.outdated.as_ref().map_or(&self.evacuations, |it| &it.evacuations);
                let changed = evacuations.iter().filter(|(_, (_, revision, _))| *revision > after);
                let kept = changed.filter(|(_, (requested, ..))| after > 0 || *requested);
                let evacuations = kept.map(|(domain, (requested, revision, _))| Change {
                    domain: domain.clone(),
                    requested: *requested,
                    revision: era::order(self.era, *revision),
                });
                let evacuations = evacuations.collect();
                Contents::Operator { config: Some(Ok(Box::new(config.clone()))), evacuations }
            }
            Topic::Servers => {
                let entries = self
                    .entries()
                    .into_iter()
                    .filter(|(name, it)| it.revision > after && !self.lapsed.contains_key(name));
                let entries = entries.map(|(name, mut it)| {
                    it.revision = era::order(self.era, it.revision);
                    (name, Some(Ok(it)))
                });
                let lapsed = self.lapsed.iter().filter(|(_, at)| after > 0 && **at > after);
                let lapsed = lapsed.map(|(name, _)| (name.clone(), None));
                Contents::Servers(entries.chain(lapsed).collect())
            }
            Topic::Coordination => {
                let changed = self.items.values().filter(|item| item.revision > after);
                let kept = changed.filter(|item| after > 0 || item.value.is_some());
                let kept = kept.cloned().map(|mut item| {
                    item.revision = era::order(self.era, item.revision);
                    item
                });
                Contents::Coordination(kept.collect())
            }
        }
    }

    /// Answers the watches of a topic for which there are changes.
    fn notify(&mut self, topic: Topic) {
        let waiting = std::mem::take(&mut self.watches);
        for (daemon, boot, watched, after) in waiting {
            let newest = match topic {
                Topic::Operator => {
                    self.evacuations.values().map(|(_, revision, _)| *revision).max().unwrap_or(0)
                }
                Topic::Servers => {
                    let entries = self.entries();
                    let written = entries.values().map(|it| it.revision);
                    written.chain(self.lapsed.values().copied()).max().unwrap_or(0)
                }
                Topic::Coordination => {
                    self.items.values().map(|item| item.revision).max().unwrap_or(0)
                }
            };
            let node = &self.nodes[daemon];
            let down = self.store_down || self.store_silent;
            let unavailable = down || node.store_cut || node.watches_hung;
            let known = self.nodes[daemon].state.config.as_ref().map_or(0, |it| it.version);
            let newer = newest > era::revision(after);
            let has_changes = match topic {
                Topic::Operator => {
                    (self.config.version > known || newer) && self.outdated.is_none()
                }
                _ => newer,
            };
            if watched != topic || unavailable || !has_changes {
                self.watches.push((daemon, boot, watched, after));
                continue;
            }
            let contents = self.contents(topic, era::revision(after));
            let result = Ok((contents, era::order(self.era, self.revision)));
            let event = Store::Watched(topic, after, result);
            let answer = Event::Store(StoreAnswer { era: self.era, event });
            self.schedule(LATENCY_MS, Scheduled::Deliver(daemon, boot, answer));
        }
    }

    /// Starts or ends an outage of the store, for one daemon or for all.
    pub fn outage(&mut self, daemon: Option<usize>, unavailable: bool) {
        match daemon {
            Some(daemon) => self.nodes[daemon].store_cut = unavailable,
            None => self.store_down = unavailable,
        }
        let (ended, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|(node, ..)| unavailable && daemon.is_none_or(|daemon| daemon == *node));
        self.watches = kept;
        for (node, boot, topic, after) in ended {
            let event = Store::Watched(topic, after, Err(Failure::Lost));
            let lost = Event::Store(StoreAnswer { era: 0, event });
            self.schedule(LATENCY_MS, Scheduled::Deliver(node, boot, lost));
        }
    }

    /// The region of a daemon.
    pub fn region(&self, daemon: usize) -> id::Region {
        let settings = &self.nodes[daemon].state.settings;
        settings.region(&settings.domain).cloned().unwrap_or_default()
    }

    pub fn stop(&mut self, daemon: usize) {
        self.deliver(daemon, Event::Stop);
    }

    pub fn login(&mut self, daemon: usize, service: &str, key: &str) -> Session {
        self.sequence += 1;
        let session = (daemon, self.sequence);
        self.logins.insert(session, (service.to_owned(), key.to_owned()));
        self.log_in(session);
        session
    }

    fn log_in(&mut self, session: Session) {
        let (service, key) = self.logins[&session].clone();
        let login = Caller::Login { service: service.into(), key: key.into() };
        self.deliver(session.0, Event::Caller(session.1, login));
    }

    pub fn disconnect(&mut self, session: Session) {
        self.deliver(session.0, Event::Caller(session.1, Caller::Closed));
    }

    /// Sends a statement without waiting for its answer.
    pub fn send(&mut self, session: Session, text: &str) {
        let query = Query { id: "q".into(), statement: statement(text), text: text.into() };
        self.deliver(session.0, Event::Caller(session.1, Caller::Query(query)));
    }

    /// Takes the replies to a caller since the last call.
    pub fn take_replies(&mut self, session: Session) -> Vec<Reply> {
        let replies = self.replies.swap_remove(&session).unwrap_or_default();
        for reply in &replies {
            let superseded = Reply::Complete(Some(Bytes::from("superseded")));
            assert_ne!(*reply, superseded, "a superseded primary's commit was acknowledged");
        }
        replies
    }

    /// Runs a statement and returns its outcome. A caller whose session was closed logs in again
    /// first.
    pub fn query(&mut self, session: Session, text: &str) -> Result<(), Fault> {
        let outcome = self.try_query(session, text);
        outcome.unwrap_or_else(|| panic!("no answer to {text}"))
    }

    /// Like [`Self::query`], `None` if the session was closed without an answer.
    pub fn try_query(&mut self, session: Session, text: &str) -> Option<Result<(), Fault>> {
        if self.closed.swap_remove(&session) {
            self.log_in(session);
        }
        self.take_replies(session);
        self.send(session, text);
        for _ in 0..400 {
            let replies = self.replies.get(&session);
            let complete = replies.is_some_and(|it| matches!(it.last(), Some(Reply::Ready(..))));
            if complete || self.closed.contains(&session) {
                break;
            }
            self.run(5);
        }
        for reply in self.take_replies(session) {
            match reply {
                Reply::Complete(_) => return Some(Ok(())),
                Reply::Error(fault) => return Some(Err(fault)),
                Reply::Failed(text) => panic!("the statement failed: {text}"),
                Reply::Row(_) | Reply::Ready(..) => {}
            }
        }
        assert!(self.closed.contains(&session), "no answer to {text}");
        None
    }

    pub fn is_closed(&self, session: Session) -> bool {
        self.closed.contains(&session)
    }

    pub fn ran(&self, server: &str, text: &str) -> usize {
        self.servers[server].ran.iter().filter(|(_, it)| it == text).count()
    }
}

fn kind(request: &Request) -> &'static str {
    match request {
        Request::Ping => "ping",
        Request::Run(_) => "run",
        Request::Abort(_) => "abort",
        Request::Discover(_) => "discover",
        Request::Position(..) => "position",
        Request::Config(_) => "config",
    }
}

fn statement(text: &str) -> Statement {
    let mut words = text.splitn(3, ' ');
    let mut word = || words.next().unwrap_or_default();
    match (word(), word()) {
        ("BEGIN", kind) => Statement::Begin { read_only: kind == "READ" },
        ("COMMIT", _) => Statement::Commit,
        ("ROLLBACK", _) => Statement::Rollback,
        ("READ", _) => Statement::Data(Access::Read),
        ("WRITE", _) => Statement::Data(Access::Write),
        ("SET", name) => Statement::Set { name: name.into(), value: word().into() },
        ("PREPARE", name) => {
            let template = word();
            let writes = template.starts_with("WRITE");
            let access = if writes { Access::Write } else { Access::Read };
            let prepared = Prepared { access, template: template.into() };
            Statement::Prepare { name: name.into(), prepared }
        }
        ("EXECUTE", name) => Statement::Execute { name: name.into(), parameters: word().into() },
        _ => Statement::Unknown,
    }
}
