//! Three real homes, three fake servers and one entry that keeps the whole history.
//!
//! The entry sends numbered writes and reads to the homes and checks each answer against what was
//! acknowledged before, which it knows as nobody else does.

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

/// Daemons are nodes 0 to 2, servers 3 to 5, the entry 6.
pub const ENTRY: usize = 6;
const GROUP: usize = 3;
const DATABASE: &str = "db";
const DOMAINS: [&str; GROUP] = ["east-a", "east-b", "west-a"];
const REGIONS: [&str; GROUP] = ["east", "east", "west"];
/// Time in milliseconds that a group gets to settle after all faults ended.
const SETTLE_MS: u64 = 4_000;
/// Most events at one moment.
const BUSY_MOST: u32 = 20_000;
/// Time after which a data connection without any answer is given up.
const CONNECTION_TIMEOUT: u64 = 1_000_000;
/// Time between two pulls of a replica.
const PULL: u64 = 4_000;
/// Time between two requests of the entry.
const REQUEST: u64 = 10_000;

/// Something done to the world.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Messages from one node to another are lost.
    Cut(usize, usize),
    /// A failure domain, daemon and server, is cut from the other domains.
    Isolate(usize),
    /// All cuts end.
    Heal,
    /// A server stops; its log stays.
    KillServer(usize),
    /// A server starts.
    StartServer(usize),
    /// A server handles nothing for some milliseconds.
    FreezeServer(usize, u64),
    /// A daemon handles nothing for some milliseconds, its clock standing still.
    FreezeDaemon(usize, u64),
    /// A daemon stops.
    KillDaemon(usize),
    /// A daemon starts with nothing.
    StartDaemon(usize),
    /// A replica pulls only every so many milliseconds.
    Lag(usize, u64),
    /// An operator moves the primary to a server.
    Switch(usize),
    /// Answers of servers are delayed, repeated or lost, in percent of each.
    Noise(u64),
}

#[derive(Clone, Debug)]
enum Happening {
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

/// A write that the entry was told is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Write {
    /// The value.
    pub value: u64,
    /// Where it was committed.
    pub mark: Mark,
    /// When the entry learned of it, in microseconds.
    pub at: u64,
}

#[derive(Clone, Debug)]
struct Sent {
    value: u64,
    at: u64,
    access: Access,
    acknowledged: usize,
}

struct Node {
    state: State,
    life: u64,
    alive: bool,
    offset: u64,
    timers: HashMap<timer::Key, u64>,
}

/// The world; its `faults` are the broken promises found.
pub struct World {
    pub clock: u64,
    pub random: Random,
    pub faults: Vec<String>,
    pub servers: Vec<Server>,
    /// Acknowledged writes in the order of their acknowledgements.
    pub acknowledged: Vec<Write>,
    /// Reads that replicas served, and those that they refused.
    pub reads: (u64, u64),
    nodes: Vec<Node>,
    up: [bool; GROUP],
    frozen: [u64; ENTRY],
    lag: [u64; GROUP],
    cuts: HashSet<(usize, usize)>,
    noise: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    count: u64,
    sent: HashMap<u128, Sent>,
    /// What each read misses of what it had to see.
    missed: HashMap<u128, String>,
    leader: Option<Leader>,
    floor: Option<Mark>,
    started: [HashSet<(usize, u64)>; GROUP],
}

impl World {
    /// Three homes that have just started over an empty group.
    pub fn new(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let nodes = (0..GROUP).map(|index| node(index, &mut random)).collect();
        let mut world = Self {
            clock: 0,
            random,
            faults: Vec::new(),
            servers: vec![Server::default(); GROUP],
            acknowledged: Vec::new(),
            reads: (0, 0),
            nodes,
            up: [true; GROUP],
            frozen: [0; ENTRY],
            lag: [PULL; GROUP],
            cuts: HashSet::new(),
            noise: 0,
            queue: BTreeMap::new(),
            count: 0,
            sent: HashMap::new(),
            missed: HashMap::new(),
            leader: None,
            floor: None,
            started: std::array::from_fn(|_| HashSet::new()),
        };
        for index in 0..GROUP {
            world.start(index);
            world.at(PULL, Happening::Pull(index));
        }
        world.at(REQUEST, Happening::Request);
        world
    }

    /// Runs for some milliseconds.
    pub fn run(&mut self, ms: u64) {
        let end = self.clock + ms * 1000;
        let mut busy = 0;
        while let Some((key, _)) = self.queue.first_key_value().filter(|(key, _)| key.0 <= end) {
            let key = *key;
            busy = if self.clock == key.0 { busy + 1 } else { 0 };
            if busy > BUSY_MOST {
                let next = &self.queue[&key];
                return self.faults.push(format!("no time passes at {}: {next:?}", self.clock));
            }
            self.clock = key.0;
            if let Some(happening) = self.queue.remove(&key) {
                self.happen(happening);
            }
        }
        self.clock = end;
    }

    /// Plans a fault some milliseconds from now.
    pub fn plan(&mut self, ms: u64, fault: Fault) {
        self.at(ms * 1000, Happening::Fault(fault));
    }

    /// Ends all faults, lets the group settle and checks that nothing acknowledged is missing.
    pub fn conclude(&mut self) {
        self.cuts.clear();
        self.noise = 0;
        self.lag = [PULL; GROUP];
        for index in 0..GROUP {
            self.nodes[index].offset -= self.frozen[index].saturating_sub(self.clock);
            self.frozen[index] = 0;
            self.frozen[GROUP + index] = 0;
            self.up[index] = true;
            if !self.nodes[index].alive {
                self.start(index);
            }
        }
        let before = self.acknowledged.len();
        self.run(SETTLE_MS);
        if self.acknowledged.len() == before {
            self.faults.push("no write was acknowledged after all faults ended".into());
        }
        let newest = self.servers.iter().filter(|server| server.role == Role::Primary);
        let Some(primary) = newest.max_by_key(|server| server.term) else {
            return self.faults.push("the group has no primary in the end".into());
        };
        let mut times = HashMap::new();
        for (_, value) in &primary.log {
            *times.entry(*value).or_insert(0) += 1;
        }
        for Write { value, mark, .. } in &self.acknowledged {
            if times.get(value) != Some(&1) || !primary.shows(*mark, *value) {
                self.faults.push(format!("acknowledged write {value} is not there once"));
            }
        }
    }

    /// The longest time between two acknowledgements after a moment, in microseconds.
    pub fn gap(&self, after: u64) -> u64 {
        let times: Vec<_> = self.acknowledged.iter().map(|write| write.at).collect();
        let end = times.last().copied().unwrap_or(self.clock);
        let pairs = times.windows(2).filter(|pair| pair[1] >= after);
        pairs.map(|pair| pair[1] - pair[0]).max().unwrap_or(0).max(self.clock - end)
    }

    /// The number of the primary that homes believe in, if any.
    pub fn primary(&self) -> Option<usize> {
        let leaders = self.nodes.iter().filter(|node| node.alive);
        let leaders = leaders.filter_map(|node| group::leader(&node.state, &DATABASE.into()));
        leaders.max_by_key(|leader| leader.term).and_then(|leader| number(&leader.server))
    }

    fn at(&mut self, after: u64, happening: Happening) {
        self.count += 1;
        self.queue.insert((self.clock + after, self.count), happening);
    }

    fn start(&mut self, index: usize) {
        let life = self.nodes[index].life + 1;
        let offset = self.random.below(900_000) + self.frozen[index].saturating_sub(self.clock);
        self.nodes[index] = Node { life, offset, ..node(index, &mut self.random) };
        let now = self.now(index);
        let mut fx = Effects::default();
        group::on_config(&mut self.nodes[index].state, now, &mut fx);
        let effects = fx.take();
        self.carry(index, effects);
        self.reduce(index, Event::Started);
    }

    fn now(&self, index: usize) -> Now {
        let frozen = self.nodes[index].offset - self.frozen[index].saturating_sub(self.clock);
        Now::at(Duration::from_micros(self.clock + 1_000_000 - frozen))
    }

    fn reduce(&mut self, index: usize, event: Event) {
        let now = self.now(index);
        let effects = reduce(&mut self.nodes[index].state, now, event);
        self.carry(index, effects);
    }

    fn carry(&mut self, index: usize, effects: Vec<Effect>) {
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
        self.count += 1;
        let generation = self.count;
        self.nodes[index].timers.insert(key.clone(), generation);
        let after = micros(at.saturating_sub(self.now(index).mono));
        let life = self.nodes[index].life;
        self.at(after, Happening::Timer(index, life, key, generation));
    }

    fn send(&mut self, from: usize, to: &str, message: peer::Message) {
        let delay = self.delay(from, number(to).unwrap_or(ENTRY));
        if to == "e1" {
            if !self.cuts.contains(&(from, ENTRY)) {
                self.at(delay, Happening::Entry(message));
            }
            return;
        }
        let Some(to) = number(to).filter(|to| !self.cuts.contains(&(from, *to))) else {
            return;
        };
        let state = &self.nodes[from].state;
        let (name, incarnation) = (state.settings.daemon.clone(), state.incarnation);
        let event = peer::Event::Received { from: name, incarnation, message };
        let life = self.nodes[to].life;
        for extra in self.copies() {
            self.at(delay + extra, Happening::Reduce(to, life, Event::Peer(event.clone())));
        }
    }

    /// Extra delays of the copies of a message that arrive, under the present noise.
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
        let Some(server) = number(server) else { return };
        let delay = self.delay(from, GROUP + server);
        let cut = self.cuts.contains(&(from, GROUP + server));
        match call {
            Call::Ask { question, ask, timeout, .. } => {
                self.at(micros(timeout), Happening::Expire { server, from, question });
                let copies = if cut { Vec::new() } else { self.copies() };
                for extra in copies {
                    let ask = ask.clone();
                    self.at(delay + extra, Happening::Ask { server, from, question, ask });
                }
            }
            call if cut => self.lose(server, from, &call),
            call => {
                let sent = self.clock;
                self.at(delay, Happening::Run { server, from, sent, call });
            }
        }
    }

    /// Ends a call on a data connection whose bytes do not arrive.
    fn lose(&mut self, server: usize, from: usize, call: &Call) {
        let event = match *call {
            Call::Open { connection, .. } => ServerEvent::Failed { connection, full: false },
            Call::Run { connection, request, .. } => {
                let ended = Completion::Lost { sent: true };
                ServerEvent::Ended { connection, request, ended }
            }
            Call::Reset(connection) => ServerEvent::Reset { connection, clean: false },
            _ => return,
        };
        self.tell(server, from, CONNECTION_TIMEOUT, event);
    }

    fn happen(&mut self, happening: Happening) {
        if let Some(until) = self.frozen_until(&happening) {
            self.at(until - self.clock, happening);
            return;
        }
        match happening {
            Happening::Reduce(index, life, event) => {
                if self.nodes[index].alive && self.nodes[index].life == life {
                    self.reduce(index, event);
                }
            }
            Happening::Timer(index, life, key, generation) => {
                let node = &mut self.nodes[index];
                let armed = node.timers.get(&key) == Some(&generation);
                if node.alive && node.life == life && armed {
                    node.timers.remove(&key);
                    self.reduce(index, Event::Timer(key));
                }
            }
            Happening::Ask { server, from, question, ask } => {
                self.on_ask(server, from, question, &ask);
            }
            Happening::Expire { server, from, question } => {
                let lost = Err(Failure::Lost("timeout".into()));
                self.tell(server, from, 0, ServerEvent::Answered { question, result: lost });
            }
            Happening::Run { server, from, sent, call } => self.on_call(server, from, sent, call),
            Happening::Pull(index) => self.on_pull(index),
            Happening::Entry(message) => self.on_entry(message),
            Happening::Request => self.on_request(),
            Happening::Fault(fault) => self.on_fault(&fault),
        }
    }

    fn frozen_until(&self, happening: &Happening) -> Option<u64> {
        let node = match happening {
            Happening::Reduce(index, ..) | Happening::Timer(index, ..) => *index,
            Happening::Ask { server, .. }
            | Happening::Run { server, .. }
            | Happening::Pull(server) => GROUP + server,
            _ => return None,
        };
        Some(self.frozen[node]).filter(|until| *until > self.clock)
    }

    fn tell(&mut self, server: usize, to: usize, delay: u64, event: ServerEvent) {
        let name = format!("s{}", server + 1).into();
        let life = self.nodes[to].life;
        self.at(delay, Happening::Reduce(to, life, Event::Server(name, event)));
    }

    fn on_ask(&mut self, server: usize, from: usize, question: u64, ask: &Ask) {
        if !self.up[server] {
            let result = Err(Failure::Lost("refused".into()));
            return self.tell(server, from, 500, ServerEvent::Answered { question, result });
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
            self.tell(server, to, delay + extra, event.clone());
        }
    }

    fn on_pull(&mut self, index: usize) {
        self.at(self.lag[index], Happening::Pull(index));
        let follows = self.servers[index].follows.as_deref().and_then(number);
        if let Some(primary) = follows.filter(|_| self.up[index]) {
            let cut = self.cuts.contains(&(GROUP + primary, GROUP + index));
            if self.up[primary] && self.frozen[GROUP + primary] <= self.clock && !cut {
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
            self.lose(server, from, &call);
        }
        match call {
            Call::Run { connection, request, term, batch, .. } => {
                if !self.started[server].contains(&(from, connection)) || !self.up[server] {
                    let ended = Completion::Lost { sent: true };
                    let event = ServerEvent::Ended { connection, request, ended };
                    return self.tell(server, from, 200, event);
                }
                let ended = self.execute(server, request, term, &batch, sent);
                if cut {
                    return;
                }
                self.tell(server, from, 200, ServerEvent::Ended { connection, request, ended });
            }
            _ if cut => {}
            Call::Open { connection, .. } if self.up[server] => {
                self.started[server].insert((from, connection));
                self.tell(server, from, 100, ServerEvent::Opened(connection));
            }
            Call::Open { connection, .. } => {
                let event = ServerEvent::Failed { connection, full: false };
                self.tell(server, from, 500, event);
            }
            Call::Reset(connection) => {
                let clean = self.up[server];
                self.tell(server, from, 100, ServerEvent::Reset { connection, clean });
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
            self.look(server, request, sent);
        }
        Completion::Answered { frames: Vec::new(), status: Status::Idle, mark, error }
    }

    /// Notes what a read misses as it runs; its age counts from when its home sent it.
    fn look(&mut self, server: usize, request: u128, ran: u64) {
        let Some(sent) = self.sent.get(&request) else {
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
        let missed = due.find(|write| !server.shows(write.mark, write.value));
        if let Some(write) = missed {
            let text = format!("{:?} sent at {} misses {write:?}", sent.access, sent.at);
            self.missed.insert(request, text);
        }
        let Access::Replica { floor: Some(floor), .. } = sent.access else {
            return;
        };
        let applied = server.mark(server.applied);
        let below = applied < floor || (applied.term == floor.term && !server.holds(floor));
        if below {
            self.missed.insert(request, format!("{applied:?} is below the floor {floor:?}"));
        }
    }

    fn on_request(&mut self) {
        self.at(REQUEST, Happening::Request);
        let value = u64::try_from(self.sent.len()).unwrap_or(0) + 1;
        if value % 150 == 1 {
            self.interest();
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
        self.sent.insert(request, Sent { value, at: self.clock, access, acknowledged });
        self.submit(request, server, access, sql);
    }

    fn interest(&mut self) {
        let ttl = Duration::from_secs(5);
        for index in 0..GROUP {
            let message = Message::Ask { database: DATABASE.into(), ttl };
            self.tell_home(index, peer::Message::Group(message));
        }
    }

    fn submit(&mut self, request: u128, server: gcl_core::id::Server, access: Access, sql: String) {
        let term = |index: &usize| {
            group::leader(&self.nodes[*index].state, &DATABASE.into()).map(|leader| leader.term)
        };
        let able = |index: &usize| self.nodes[*index].alive && self.frozen[*index] <= self.clock;
        let view = (0..GROUP).filter(able).max_by_key(term);
        let home = view.and_then(|index| member::home(&self.nodes[index].state, &server));
        let Some(home) = home.as_deref().and_then(number) else {
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
        self.tell_home(home, peer::Message::Run(Box::new(run)));
    }

    fn tell_home(&mut self, to: usize, message: peer::Message) {
        if self.cuts.contains(&(ENTRY, to)) {
            return;
        }
        let delay = self.delay(ENTRY, to);
        let event = peer::Event::Received { from: "e1".into(), incarnation: 1, message };
        let life = self.nodes[to].life;
        self.at(delay, Happening::Reduce(to, life, Event::Peer(event)));
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
        let Some(sent) = self.sent.get(&answer.request).cloned() else {
            return;
        };
        match (sent.access, answer.outcome) {
            (Access::Write, Outcome::Done { mark: Some(mark), .. }) => {
                self.acknowledge(sent.value, mark);
            }
            (Access::Write, _) => {}
            (access, Outcome::Done { .. }) => {
                self.reads.0 += u64::from(access != Access::Strong);
                self.faults.extend(self.missed.remove(&answer.request));
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
            Fault::StartServer(index) => self.up[index] = true,
            Fault::FreezeServer(index, ms) => {
                self.frozen[GROUP + index] = self.clock + ms * 1000;
            }
            Fault::FreezeDaemon(index, ms) => {
                let until = self.clock + ms * 1000;
                let more = until.saturating_sub(self.frozen[index].max(self.clock));
                self.frozen[index] = self.frozen[index].max(until);
                self.nodes[index].offset += more;
            }
            Fault::KillDaemon(index) => self.nodes[index].alive = false,
            Fault::StartDaemon(index) if !self.nodes[index].alive => self.start(index),
            Fault::StartDaemon(_) => {}
            Fault::Lag(index, ms) => self.lag[index] = (ms * 1000).max(PULL),
            Fault::Switch(to) => {
                let to = format!("s{}", to + 1).into();
                let message = Message::Switch { database: DATABASE.into(), to };
                if let Some(home) = self.primary() {
                    self.tell_home(home, peer::Message::Group(message));
                }
            }
            Fault::Noise(percent) => self.noise = percent,
        }
    }

    fn kill_server(&mut self, index: usize) {
        self.up[index] = false;
        self.servers[index].waiting.clear();
        let open = std::mem::take(&mut self.started[index]);
        for (home, connection) in open {
            self.tell(index, home, 500, ServerEvent::Closed(connection));
        }
    }
}

/// The index of a daemon (`h1`) or server (`s1`).
fn number(name: &str) -> Option<usize> {
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
    Node { state, life: 0, alive: true, offset: 0, timers: HashMap::new() }
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
    snapshot.index();
}
