//! A simulation of three real homes, three fake servers and one entry.
//!
//! The entry sends numbered writes and reads to the homes, keeps all acknowledged writes, and
//! checks each answer against them.

use super::server::{Server, Waiting, micros};
use gcl_core::{
    batch::{Batch, Status},
    config::object::{Database, Domain, Object, Server as Config, Service},
    effect::{Effect, Effects},
    event::Event,
    group::{self, Message},
    mark::Mark,
    member, peer,
    random::Random,
    reduce::reduce,
    run::{Access, Answer, Leader, Outcome, Run, Scope},
    server::{Ask, Call, Completion, Event as ServerEvent, Failure, Role},
    settings::{Bounds, Listen, Seed, Settings},
    state::State,
    time::Now,
    timer,
};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

/// The node number of the entry. Daemons are nodes 0 to 2 and servers nodes 3 to 5.
pub const ENTRY: usize = 6;
const GROUP: usize = 3;
const DATABASE: &str = "db";
const DOMAINS: [&str; GROUP] = ["east-a", "east-b", "west-a"];
const REGIONS: [&str; GROUP] = ["east", "east", "west"];
/// Time in milliseconds for the group to recover after all faults have ended.
const SETTLE_MS: u64 = 4_000;
/// Maximum number of events without any progress of the clock.
const MAX_EVENTS_AT_ONCE: u32 = 20_000;
/// Microseconds after which a data connection without any answer is closed.
const CONNECTION_TIMEOUT: u64 = 1_000_000;
/// Microseconds between two pulls of a replica.
const PULL_INTERVAL: u64 = 4_000;
/// Microseconds between two requests of the entry.
const REQUEST_INTERVAL: u64 = 10_000;

/// A fault or operator action in the simulation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Messages from one node to another are lost.
    Cut(usize, usize),
    /// A failure domain, that is, its daemon and server, is cut off from the other domains.
    Isolate(usize),
    /// All cuts end.
    Heal,
    /// A server stops; its log stays.
    KillServer(usize),
    /// A server starts.
    StartServer(usize),
    /// A server handles nothing for some milliseconds.
    FreezeServer(usize, u64),
    /// A daemon handles nothing for some milliseconds, and its clock stops.
    FreezeDaemon(usize, u64),
    /// A daemon stops.
    KillDaemon(usize),
    /// A daemon starts with empty state.
    StartDaemon(usize),
    /// A replica pulls only at this interval in milliseconds.
    Lag(usize, u64),
    /// An operator moves the primary to a server.
    Switch(usize),
    /// Messages between daemons and control questions and their answers are delayed, repeated or
    /// lost, each with this probability in percent.
    Noise(u64),
}

#[derive(Clone, Debug)]
enum Action {
    Reduce(usize, u64, Event),
    Timer(usize, u64, timer::Key, u64),
    Ask { server: usize, from: usize, question: u64, ask: Ask },
    Expire { server: usize, from: usize, question: u64 },
    Run { server: usize, from: usize, sent: u64, call: Call },
    Pull(usize),
    Entry(peer::Message),
    Request,
    Fault(Fault),
}

/// An acknowledged write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Write {
    /// The value.
    pub value: u64,
    /// The mark of its commit.
    pub mark: Mark,
    /// When the entry received the acknowledgement, in microseconds.
    pub at: u64,
}

#[derive(Clone, Debug)]
struct Submitted {
    value: u64,
    at: u64,
    access: Access,
    acknowledged: usize,
}

struct Node {
    state: State,
    run_id: u64,
    alive: bool,
    clock_offset: u64,
    timers: HashMap<timer::Key, u64>,
}

/// The simulation; `violations` collects the guarantees found to be broken.
pub struct World {
    pub clock: u64,
    pub random: Random,
    pub violations: Vec<String>,
    pub servers: Vec<Server>,
    /// Acknowledged writes in the order of their acknowledgements.
    pub acknowledged: Vec<Write>,
    /// Numbers of reads that replicas served and refused.
    pub reads: (u64, u64),
    nodes: Vec<Node>,
    servers_up: [bool; GROUP],
    frozen: [u64; ENTRY],
    pull_interval: [u64; GROUP],
    cuts: HashSet<(usize, usize)>,
    noise: u64,
    queue: BTreeMap<(u64, u64), Action>,
    sequence: u64,
    submitted: HashMap<u128, Submitted>,
    /// For each read that did not see all it had to, a description of what was missing.
    missing: HashMap<u128, String>,
    leader: Option<Leader>,
    floor: Option<Mark>,
    connections: [HashSet<(usize, u64)>; GROUP],
}

impl World {
    /// Three homes that have just started, with a group of empty servers.
    pub fn new(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let nodes = (0..GROUP).map(|index| node(index, &mut random)).collect();
        let mut world = Self {
            clock: 0,
            random,
            violations: Vec::new(),
            servers: vec![Server::default(); GROUP],
            acknowledged: Vec::new(),
            reads: (0, 0),
            nodes,
            servers_up: [true; GROUP],
            frozen: [0; ENTRY],
            pull_interval: [PULL_INTERVAL; GROUP],
            cuts: HashSet::new(),
            noise: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            submitted: HashMap::new(),
            missing: HashMap::new(),
            leader: None,
            floor: None,
            connections: std::array::from_fn(|_| HashSet::new()),
        };
        for index in 0..GROUP {
            world.start(index);
            world.schedule(PULL_INTERVAL, Action::Pull(index));
        }
        world.schedule(REQUEST_INTERVAL, Action::Request);
        world
    }

    /// Runs for some milliseconds.
    pub fn run(&mut self, ms: u64) {
        let end = self.clock + ms * 1000;
        let mut busy = 0;
        while let Some((key, _)) = self.queue.first_key_value().filter(|(key, _)| key.0 <= end) {
            let key = *key;
            busy = if self.clock == key.0 { busy + 1 } else { 0 };
            if busy > MAX_EVENTS_AT_ONCE {
                let next = &self.queue[&key];
                return self
                    .violations
                    .push(format!("the clock does not advance at {}: {next:?}", self.clock));
            }
            self.clock = key.0;
            if let Some(action) = self.queue.remove(&key) {
                self.perform(action);
            }
        }
        self.clock = end;
    }

    /// Schedules a fault some milliseconds from now.
    pub fn schedule_fault(&mut self, ms: u64, fault: Fault) {
        self.schedule(ms * 1000, Action::Fault(fault));
    }

    /// Ends all faults, lets the group recover and checks that no acknowledged write is missing.
    pub fn heal_and_check(&mut self) {
        self.cuts.clear();
        self.noise = 0;
        self.pull_interval = [PULL_INTERVAL; GROUP];
        for index in 0..GROUP {
            self.nodes[index].clock_offset -= self.frozen[index].saturating_sub(self.clock);
            self.frozen[index] = 0;
            self.frozen[GROUP + index] = 0;
            self.servers_up[index] = true;
            if !self.nodes[index].alive {
                self.start(index);
            }
        }
        let before = self.acknowledged.len();
        self.run(SETTLE_MS);
        if self.acknowledged.len() == before {
            self.violations.push("no write was acknowledged after all faults ended".into());
        }
        let newest = self.servers.iter().filter(|server| server.role == Role::Primary);
        let Some(primary) = newest.max_by_key(|server| server.term) else {
            return self.violations.push("the group has no primary at the end".into());
        };
        let mut times = HashMap::new();
        for (_, value) in &primary.log {
            *times.entry(*value).or_insert(0) += 1;
        }
        for Write { value, mark, .. } in &self.acknowledged {
            if times.get(value) != Some(&1) || !primary.sees(*mark, *value) {
                self.violations.push(format!(
                    "acknowledged write {value} is missing or stored more than once"
                ));
            }
        }
    }

    /// The longest time between two acknowledgements after a given time, in microseconds.
    pub fn longest_gap(&self, after: u64) -> u64 {
        let times: Vec<_> = self.acknowledged.iter().map(|write| write.at).collect();
        let end = times.last().copied().unwrap_or(self.clock);
        let pairs = times.windows(2).filter(|pair| pair[1] >= after);
        pairs.map(|pair| pair[1] - pair[0]).max().unwrap_or(0).max(self.clock - end)
    }

    /// The index of the primary with the highest term known to any home.
    pub fn primary(&self) -> Option<usize> {
        let leaders = self.nodes.iter().filter(|node| node.alive);
        let leaders = leaders.filter_map(|node| group::leader(&node.state, &DATABASE.into()));
        leaders.max_by_key(|leader| leader.term).and_then(|leader| index_of(&leader.server))
    }

    fn schedule(&mut self, after: u64, action: Action) {
        self.sequence += 1;
        self.queue.insert((self.clock + after, self.sequence), action);
    }

    fn start(&mut self, index: usize) {
        let run_id = self.nodes[index].run_id + 1;
        let clock_offset =
            self.random.below(900_000) + self.frozen[index].saturating_sub(self.clock);
        self.nodes[index] = Node { run_id, clock_offset, ..node(index, &mut self.random) };
        let now = self.now(index);
        let mut fx = Effects::default();
        group::on_config(&mut self.nodes[index].state, now, &mut fx);
        let effects = fx.take();
        self.execute_effects(index, effects);
        self.reduce(index, Event::Started);
    }

    fn now(&self, index: usize) -> Now {
        let frozen = self.nodes[index].clock_offset - self.frozen[index].saturating_sub(self.clock);
        Now::at(Duration::from_micros(self.clock + 1_000_000 - frozen))
    }

    fn reduce(&mut self, index: usize, event: Event) {
        let now = self.now(index);
        let effects = reduce(&mut self.nodes[index].state, now, event);
        self.execute_effects(index, effects);
    }

    fn execute_effects(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Peer { to, message, .. } => self.send(index, &to, message),
                Effect::Server(server, call) => self.call(index, &server, call),
                Effect::Timer(timer::Effect::Arm { key, at }) => self.arm(index, key, at),
                Effect::Timer(timer::Effect::Cancel(key)) => {
                    self.nodes[index].timers.remove(&key);
                }
                _ => {}
            }
        }
    }

    fn arm(&mut self, index: usize, key: timer::Key, at: Duration) {
        self.sequence += 1;
        let generation = self.sequence;
        self.nodes[index].timers.insert(key.clone(), generation);
        let after = micros(at.saturating_sub(self.now(index).mono));
        let run_id = self.nodes[index].run_id;
        self.schedule(after, Action::Timer(index, run_id, key, generation));
    }

    fn send(&mut self, from: usize, to: &str, message: peer::Message) {
        let delay = self.delay(from, index_of(to).unwrap_or(ENTRY));
        if to == "e1" {
            if !self.cuts.contains(&(from, ENTRY)) {
                self.schedule(delay, Action::Entry(message));
            }
            return;
        }
        let Some(to) = index_of(to).filter(|to| !self.cuts.contains(&(from, *to))) else {
            return;
        };
        let state = &self.nodes[from].state;
        let (name, incarnation) = (state.settings.daemon.clone(), state.incarnation);
        let event = peer::Event::Received { from: name, incarnation, message };
        let run_id = self.nodes[to].run_id;
        for extra in self.copies() {
            self.schedule(delay + extra, Action::Reduce(to, run_id, Event::Peer(event.clone())));
        }
    }

    /// The additional delay of each copy of a message that arrives, given the current noise.
    fn copies(&mut self) -> Vec<u64> {
        if self.noise == 0 {
            return vec![0];
        }
        match self.random.below(100) {
            n if n < self.noise => Vec::new(),
            n if n < 2 * self.noise => vec![0, self.random.below(400_000)],
            n if n < 3 * self.noise => vec![self.random.below(400_000)],
            _ => vec![0],
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let west = |node: usize| node == 2 || node == 5;
        let base = if west(from) == west(to) { 500 } else { 8_000 };
        base + self.random.below(200)
    }

    fn call(&mut self, from: usize, server: &str, call: Call) {
        let Some(server) = index_of(server) else { return };
        let delay = self.delay(from, GROUP + server);
        let cut = self.cuts.contains(&(from, GROUP + server));
        match call {
            Call::Ask { question, ask, timeout, .. } => {
                self.schedule(micros(timeout), Action::Expire { server, from, question });
                let copies = if cut { Vec::new() } else { self.copies() };
                for extra in copies {
                    let ask = ask.clone();
                    self.schedule(delay + extra, Action::Ask { server, from, question, ask });
                }
            }
            call if cut => self.fail_call(server, from, &call),
            call => {
                let sent = self.clock;
                self.schedule(delay, Action::Run { server, from, sent, call });
            }
        }
    }

    /// Fails a call on a data connection that is cut.
    fn fail_call(&mut self, server: usize, from: usize, call: &Call) {
        let event = match *call {
            Call::Open { connection, .. } => ServerEvent::Failed { connection, full: false },
            Call::Run { connection, request, .. } => {
                let ended = Completion::Lost { sent: true };
                ServerEvent::Ended { connection, request, ended }
            }
            Call::Reset(connection) => ServerEvent::Reset { connection, clean: false },
            _ => return,
        };
        self.deliver(server, from, CONNECTION_TIMEOUT, event);
    }

    fn perform(&mut self, action: Action) {
        if let Some(until) = self.frozen_until(&action) {
            self.schedule(until - self.clock, action);
            return;
        }
        match action {
            Action::Reduce(index, run_id, event) => {
                if self.nodes[index].alive && self.nodes[index].run_id == run_id {
                    self.reduce(index, event);
                }
            }
            Action::Timer(index, run_id, key, generation) => {
                let node = &mut self.nodes[index];
                let armed = node.timers.get(&key) == Some(&generation);
                if node.alive && node.run_id == run_id && armed {
                    node.timers.remove(&key);
                    self.reduce(index, Event::Timer(key));
                }
            }
            Action::Ask { server, from, question, ask } => {
                self.on_ask(server, from, question, &ask);
            }
            Action::Expire { server, from, question } => {
                let lost = Err(Failure::Lost("timeout".into()));
                self.deliver(server, from, 0, ServerEvent::Answered { question, result: lost });
            }
            Action::Run { server, from, sent, call } => self.on_call(server, from, sent, call),
            Action::Pull(index) => self.on_pull(index),
            Action::Entry(message) => self.on_entry(message),
            Action::Request => self.on_request(),
            Action::Fault(fault) => self.on_fault(&fault),
        }
    }

    fn frozen_until(&self, action: &Action) -> Option<u64> {
        let node = match action {
            Action::Reduce(index, ..) | Action::Timer(index, ..) => *index,
            Action::Ask { server, .. } | Action::Run { server, .. } | Action::Pull(server) => {
                GROUP + server
            }
            _ => return None,
        };
        Some(self.frozen[node]).filter(|until| *until > self.clock)
    }

    fn deliver(&mut self, server: usize, to: usize, delay: u64, event: ServerEvent) {
        let name = format!("s{}", server + 1).into();
        let run_id = self.nodes[to].run_id;
        self.schedule(delay, Action::Reduce(to, run_id, Event::Server(name, event)));
    }

    fn on_ask(&mut self, server: usize, from: usize, question: u64, ask: &Ask) {
        if !self.servers_up[server] {
            let result = Err(Failure::Lost("refused".into()));
            return self.deliver(server, from, 500, ServerEvent::Answered { question, result });
        }
        if let Ask::Await { mark, wait } = ask
            && !self.servers[server].holds(*mark)
        {
            let until = self.clock + micros(*wait);
            self.servers[server].waiting.push(Waiting { from, question, mark: *mark, until });
            return;
        }
        let result = self.servers[server].answer(ask);
        self.reply(server, from, &ServerEvent::Answered { question, result });
    }

    fn reply(&mut self, server: usize, to: usize, event: &ServerEvent) {
        if self.cuts.contains(&(GROUP + server, to)) {
            return;
        }
        let delay = self.delay(GROUP + server, to);
        for extra in self.copies() {
            self.deliver(server, to, delay + extra, event.clone());
        }
    }

    fn on_pull(&mut self, index: usize) {
        self.schedule(self.pull_interval[index], Action::Pull(index));
        let follows = self.servers[index].follows.as_deref().and_then(index_of);
        if let Some(primary) = follows.filter(|_| self.servers_up[index]) {
            let cut = self.cuts.contains(&(GROUP + primary, GROUP + index));
            if self.servers_up[primary] && self.frozen[GROUP + primary] <= self.clock && !cut {
                let primary = self.servers[primary].clone();
                self.servers[index].pull(&primary);
            }
        }
        let clock = self.clock;
        let server = &mut self.servers[index];
        let waiting = std::mem::take(&mut server.waiting);
        let (due, rest): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|waiting| server.holds(waiting.mark) || waiting.until <= clock);
        server.waiting = rest;
        let report = server.report();
        for Waiting { from, question, .. } in due {
            let result = Ok(report.clone());
            self.reply(index, from, &ServerEvent::Answered { question, result });
        }
    }

    fn on_call(&mut self, server: usize, from: usize, sent: u64, call: Call) {
        let cut = self.cuts.contains(&(GROUP + server, from));
        if cut {
            self.fail_call(server, from, &call);
        }
        match call {
            Call::Run { connection, request, term, batch, .. } => {
                if !self.connections[server].contains(&(from, connection))
                    || !self.servers_up[server]
                {
                    let ended = Completion::Lost { sent: true };
                    let event = ServerEvent::Ended { connection, request, ended };
                    return self.deliver(server, from, 200, event);
                }
                let ended = self.execute(server, request, term, &batch, sent);
                if cut {
                    return;
                }
                self.deliver(server, from, 200, ServerEvent::Ended { connection, request, ended });
            }
            _ if cut => {}
            Call::Open { connection, .. } if self.servers_up[server] => {
                self.connections[server].insert((from, connection));
                self.deliver(server, from, 100, ServerEvent::Opened(connection));
            }
            Call::Open { connection, .. } => {
                let event = ServerEvent::Failed { connection, full: false };
                self.deliver(server, from, 500, event);
            }
            Call::Reset(connection) => {
                let clean = self.servers_up[server];
                self.deliver(server, from, 100, ServerEvent::Reset { connection, clean });
            }
            _ => {}
        }
    }

    fn execute(
        &mut self,
        server: usize,
        request: u128,
        term: Option<u64>,
        batch: &Batch,
        sent: u64,
    ) -> Completion {
        let Batch::Simple(sql) = batch else {
            return Completion::Lost { sent: true };
        };
        let target = &mut self.servers[server];
        let (mut mark, mut error) = (None, None);
        if let Some(value) = sql.strip_prefix("w ").and_then(|value| value.parse().ok()) {
            if target.role == Role::Primary && term == Some(target.term) {
                mark = Some(target.write(value));
            } else {
                error = Some("25006".into());
            }
        } else {
            mark = Some(target.mark(target.applied));
            self.check_read(server, request, sent);
        }
        Completion::Answered { frames: Vec::new(), status: Status::Idle, mark, error }
    }

    /// Records what a read should have seen but did not. Its maximum age counts from the time at
    /// which its home sent it.
    fn check_read(&mut self, server: usize, request: u128, ran: u64) {
        let Some(sent) = self.submitted.get(&request) else {
            return;
        };
        let server = &self.servers[server];
        let newest = match sent.access {
            Access::Replica { max_age, .. } => ran.saturating_sub(micros(max_age)),
            _ => u64::MAX,
        };
        let strong = !matches!(sent.access, Access::Replica { floor: Some(_), .. });
        let due = self.acknowledged.iter().enumerate().filter(|(index, write)| {
            write.at < newest.min(sent.at) || (strong && *index < sent.acknowledged)
        });
        let mut due = due.map(|(_, write)| write);
        let missed = due.find(|write| !server.sees(write.mark, write.value));
        if let Some(write) = missed {
            let text = format!("{:?} sent at {} misses {write:?}", sent.access, sent.at);
            self.missing.insert(request, text);
        }
        let Access::Replica { floor: Some(floor), .. } = sent.access else {
            return;
        };
        let applied = server.mark(server.applied);
        let below = applied < floor || (applied.term == floor.term && !server.holds(floor));
        if below {
            self.missing.insert(request, format!("{applied:?} is below the floor {floor:?}"));
        }
    }

    fn on_request(&mut self) {
        self.schedule(REQUEST_INTERVAL, Action::Request);
        let value = u64::try_from(self.submitted.len()).unwrap_or(0) + 1;
        if value % 150 == 1 {
            self.subscribe();
        }
        let Some(leader) = self.leader.clone() else {
            return;
        };
        let floor = self.floor.filter(|_| self.random.below(2) == 0);
        let max_age = Duration::from_millis(50 + self.random.below(400));
        let wait = Duration::from_millis(40);
        let replica = usize::try_from(self.random.below(3)).unwrap_or(0);
        let (server, access, sql) = match self.random.below(4) {
            0 => (leader.server, Access::Strong, "r".to_owned()),
            1 => {
                let access = Access::Replica { floor, max_age, wait };
                (format!("s{}", replica + 1).into(), access, "r".to_owned())
            }
            _ => (leader.server, Access::Write, format!("w {value}")),
        };
        let request = u128::from(value) << 64;
        let acknowledged = self.acknowledged.len();
        self.submitted.insert(request, Submitted { value, at: self.clock, access, acknowledged });
        self.submit(request, server, access, sql);
    }

    fn subscribe(&mut self) {
        let ttl = Duration::from_secs(5);
        for index in 0..GROUP {
            let message = Message::Ask { database: DATABASE.into(), ttl };
            self.send_to_home(index, peer::Message::Group(message));
        }
    }

    fn submit(&mut self, request: u128, server: gcl_core::id::Server, access: Access, sql: String) {
        let term = |index: &usize| {
            group::leader(&self.nodes[*index].state, &DATABASE.into()).map(|leader| leader.term)
        };
        let running = |index: &usize| self.nodes[*index].alive && self.frozen[*index] <= self.clock;
        let view = (0..GROUP).filter(running).max_by_key(term);
        let home = view.and_then(|index| member::home(&self.nodes[index].state, &server));
        let Some(home) = home.as_deref().and_then(index_of) else {
            return;
        };
        let run = Run {
            request,
            attempt: 1,
            workspace: "w".into(),
            database: DATABASE.into(),
            server,
            revision: 1,
            access,
            scope: Scope::Single,
            ends: false,
            variables: Vec::new(),
            batch: Batch::Simple(sql),
            idempotency: None,
            repeatable: false,
            budget: Duration::from_secs(10),
        };
        self.send_to_home(home, peer::Message::Run(Box::new(run)));
    }

    fn send_to_home(&mut self, to: usize, message: peer::Message) {
        if self.cuts.contains(&(ENTRY, to)) {
            return;
        }
        let delay = self.delay(ENTRY, to);
        let event = peer::Event::Received { from: "e1".into(), incarnation: 1, message };
        let run_id = self.nodes[to].run_id;
        self.schedule(delay, Action::Reduce(to, run_id, Event::Peer(event)));
    }

    fn on_entry(&mut self, message: peer::Message) {
        match message {
            peer::Message::Answer(answer) => self.on_answer(*answer),
            peer::Message::Group(Message::View { leader: Some(leader), .. }) => self.learn(leader),
            _ => {}
        }
    }

    fn learn(&mut self, leader: Leader) {
        if self.leader.as_ref().is_none_or(|known| known.term < leader.term) {
            self.leader = Some(leader);
        }
    }

    fn on_answer(&mut self, answer: Answer) {
        if let Some(leader) = answer.leader.clone() {
            self.learn(leader);
        }
        let Some(sent) = self.submitted.get(&answer.request).cloned() else {
            return;
        };
        match (sent.access, answer.outcome) {
            (Access::Write, Outcome::Done { mark: Some(mark), .. }) => {
                self.acknowledge(sent.value, mark);
            }
            (Access::Write, _) => {}
            (access, Outcome::Done { .. }) => {
                self.reads.0 += u64::from(access != Access::Strong);
                self.violations.extend(self.missing.remove(&answer.request));
            }
            (Access::Replica { .. }, _) => self.reads.1 += 1,
            (Access::Strong, _) => {}
        }
    }

    fn acknowledge(&mut self, value: u64, mark: Mark) {
        if self.acknowledged.iter().rev().all(|write| write.value != value) {
            self.acknowledged.push(Write { value, mark, at: self.clock });
        }
        self.floor = self.floor.max(Some(mark));
    }

    fn on_fault(&mut self, fault: &Fault) {
        let pairs = |domain: usize| {
            let inside = [domain, GROUP + domain];
            let outside = (0..ENTRY).filter(move |node| !inside.contains(node));
            outside.flat_map(move |node| inside.map(|own| [(own, node), (node, own)]))
        };
        match *fault {
            Fault::Cut(from, to) => {
                self.cuts.insert((from, to));
            }
            Fault::Isolate(domain) => self.cuts.extend(pairs(domain).flatten()),
            Fault::Heal => self.cuts.clear(),
            Fault::KillServer(index) => self.kill_server(index),
            Fault::StartServer(index) => self.servers_up[index] = true,
            Fault::FreezeServer(index, ms) => {
                self.frozen[GROUP + index] = self.clock + ms * 1000;
            }
            Fault::FreezeDaemon(index, ms) => {
                let until = self.clock + ms * 1000;
                let more = until.saturating_sub(self.frozen[index].max(self.clock));
                self.frozen[index] = self.frozen[index].max(until);
                self.nodes[index].clock_offset += more;
            }
            Fault::KillDaemon(index) => self.nodes[index].alive = false,
            Fault::StartDaemon(index) if !self.nodes[index].alive => self.start(index),
            Fault::StartDaemon(_) => {}
            Fault::Lag(index, ms) => self.pull_interval[index] = (ms * 1000).max(PULL_INTERVAL),
            Fault::Switch(to) => {
                let to = format!("s{}", to + 1).into();
                let message = Message::Switch { database: DATABASE.into(), to };
                if let Some(home) = self.primary() {
                    self.send_to_home(home, peer::Message::Group(message));
                }
            }
            Fault::Noise(percent) => self.noise = percent,
        }
    }

    fn kill_server(&mut self, index: usize) {
        self.servers_up[index] = false;
        self.servers[index].waiting.clear();
        let open = std::mem::take(&mut self.connections[index]);
        for (home, connection) in open {
            self.deliver(index, home, 500, ServerEvent::Closed(connection));
        }
    }
}

/// The index of a daemon (`h1`) or server (`s1`).
fn index_of(name: &str) -> Option<usize> {
    name.get(1..)?.parse::<usize>().ok()?.checked_sub(1).filter(|index| *index < GROUP)
}

fn node(index: usize, random: &mut Random) -> Node {
    let address = "127.0.0.1:1".parse().expect("the address is well formed");
    let seeds = (0..GROUP).map(|seed| Seed {
        daemon: format!("h{}", seed + 1).into(),
        domain: DOMAINS[seed].into(),
        address: "127.0.0.1:1".into(),
    });
    let settings = Settings {
        daemon: format!("h{}", index + 1).into(),
        domain: DOMAINS[index].into(),
        region: REGIONS[index].into(),
        listen: Listen { caller: address, peer: address, operator: address },
        advertise: None,
        store: "http://127.0.0.1:1".to_owned(),
        seeds: seeds.collect(),
        bounds: Bounds::default(),
        caller_tls: None,
        peer_tls: None,
        operator_tls: None,
        plain_caller: false,
        plain_operator: false,
    };
    let mut state = State::new(settings, random.next());
    configure(&mut state);
    Node { state, run_id: 0, alive: true, clock_offset: 0, timers: HashMap::new() }
}

fn configure(state: &mut State) {
    let snapshot = &mut state.config.snapshot;
    let labels = indexmap::IndexMap::new;
    for (domain, region) in DOMAINS.iter().zip(REGIONS) {
        let (name, region) = ((*domain).into(), region.into());
        snapshot.put(1, Object::Domain(Domain { name, region, labels: labels() }));
    }
    snapshot.put(1, Object::Service(Service { name: "orders".into(), labels: labels() }));
    let database = Database { name: DATABASE.into(), service: "orders".into(), labels: labels() };
    snapshot.put(1, Object::Database(database));
    for (index, domain) in DOMAINS.iter().enumerate() {
        let server = Config {
            name: format!("s{}", index + 1).into(),
            database: DATABASE.into(),
            domain: (*domain).into(),
            address: "127.0.0.1:1".parse().expect("the address is well formed"),
            slots: 64,
            connections: 64,
            leaving: false,
            labels: labels(),
        };
        snapshot.put(1, Object::Server(server));
    }
    for object in [
        serde_json::json!({"kind": "rule", "name": "orders", "service": "orders"}),
        serde_json::json!({"kind": "workspace", "name": "w", "rate": 1000, "burst": 1000}),
    ] {
        snapshot.put(1, serde_json::from_value(object).expect("the object is well formed"));
    }
    snapshot.revision = 1;
    snapshot.rebuild_indexes();
}
