//! Test fixture: a daemon with a simulated group of three servers that answer control questions at
//! once.

use crate::fixture::settings;
use gcl_core::{
    batch::{Batch, Status},
    config::object::{Database, Domain, Object, Phase, Rule, Server, Service, Workspace},
    effect::Effect,
    event::Event,
    id,
    mark::Mark,
    member::Member,
    peer,
    reduce::reduce,
    request,
    run::{Access, Answer, Run, Scope},
    server::{self, Ask, Call, Completion, Report, Role},
    state::State,
    time::Now,
    timer,
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// The incarnation of the entry whose requests the tests send.
pub const ENTRY_INCARNATION: u64 = 77;
/// The term of the simulated group.
const TERM: id::Term = 3;

/// A daemon with simulated servers, and the calls and messages that it sent.
pub struct Host {
    pub state: State,
    pub now: Duration,
    pub calls: Vec<(id::Server, Call)>,
    pub sent: Vec<(id::Daemon, peer::Message)>,
    /// Whether the servers leave control questions unanswered.
    pub servers_silent: bool,
    timers: IndexMap<timer::Key, Duration>,
}

/// Configures three servers of one database, a rule and two workspaces.
pub fn config(state: &mut State, slots: u32, connections: u32) {
    let snapshot = &mut state.config.snapshot;
    let labels = IndexMap::default;
    let domain = Domain { name: "alpha".into(), region: "east".into(), labels: labels() };
    snapshot.put(1, Object::Domain(domain));
    snapshot.put(1, Object::Service(Service { name: "orders".into(), labels: labels() }));
    let database = Database { name: "db".into(), service: "orders".into(), labels: labels() };
    snapshot.put(1, Object::Database(database));
    snapshot.put(1, Object::Rule(rule()));
    for name in ["s1", "s2", "s3"] {
        snapshot.put(1, Object::Server(server(name, slots, connections)));
    }
    for (name, weight) in [("ws-a", 1), ("ws-b", 2)] {
        let labels = labels();
        let (rate, burst) = (1_000, 1_000);
        let workspace = Workspace { name: name.into(), rate, burst, weight, offline_ms: 0, labels };
        snapshot.put(1, Object::Workspace(workspace));
    }
    snapshot.revision = 1;
    snapshot.rebuild_indexes();
}

fn rule() -> Rule {
    Rule {
        name: "orders".into(),
        service: "orders".into(),
        workspaces: "".into(),
        databases: "".into(),
        next: None,
        open: false,
        max_age_ms: 0,
        priority: 0,
        phase: Phase::Open,
        labels: IndexMap::default(),
    }
}

fn server(name: &str, slots: u32, connections: u32) -> Server {
    Server {
        name: name.into(),
        database: "db".into(),
        domain: "alpha".into(),
        address: "127.0.0.1:1".parse().expect("the address is well formed"),
        slots,
        connections,
        leaving: false,
        labels: IndexMap::default(),
    }
}

pub fn member(name: &str) -> Member {
    Member {
        daemon: name.into(),
        domain: "alpha".into(),
        address: "127.0.0.1:1".into(),
        incarnation: if name == "entry" { ENTRY_INCARNATION } else { 5 },
        alive: name != "entry",
    }
}

/// The entry's request number `n`.
pub fn run(n: u64, scope: Scope, access: Access) -> Run {
    Run {
        request: request_id(n),
        attempt: 1,
        workspace: "ws-a".into(),
        database: "db".into(),
        server: "s1".into(),
        revision: 1,
        access,
        scope,
        ends: false,
        variables: Vec::new(),
        batch: Batch::Simple("select 1".to_owned()),
        idempotency: None,
        repeatable: false,
        budget: Duration::from_secs(10),
    }
}

pub const fn request_id(n: u64) -> id::Request {
    ((ENTRY_INCARNATION as u128) << 64) | n as u128
}

pub const fn answered(status: Status, mark: Option<Mark>) -> Completion {
    Completion::Answered { frames: Vec::new(), status, mark, error: None }
}

impl Host {
    /// A daemon that is home of the three servers and has the state of their group.
    pub fn new(slots: u32, connections: u32) -> Self {
        Self::among(slots, connections, &["entry"])
    }

    /// As [`Host::new`], with other daemons as members.
    pub fn among(slots: u32, connections: u32, others: &[&str]) -> Self {
        let mut state = State::new(settings("home", "alpha", "east"), 7);
        config(&mut state, slots, connections);
        for other in others {
            state.member.members.insert((*other).into(), member(other));
        }
        let mut host = Self {
            state,
            now: Duration::from_secs(100),
            calls: Vec::new(),
            sent: Vec::new(),
            servers_silent: false,
            timers: IndexMap::new(),
        };
        let now = Now::at(host.now);
        let mut fx = gcl_core::effect::Effects::default();
        gcl_core::group::on_config(&mut host.state, now, &mut fx);
        gcl_core::home::on_config(&mut host.state, now, &mut fx);
        host.carry_out(fx.take());
        host.advance(1_000);
        host
    }

    pub fn deliver(&mut self, event: Event) {
        let effects = reduce(&mut self.state, Now::at(self.now), event);
        self.carry_out(effects);
    }

    /// Calls a module's function as the reducer would.
    pub fn call(&mut self, act: impl FnOnce(&mut State, Now, &mut gcl_core::effect::Effects)) {
        let mut fx = gcl_core::effect::Effects::default();
        act(&mut self.state, Now::at(self.now), &mut fx);
        self.carry_out(fx.take());
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        let mut answers = VecDeque::new();
        for effect in effects {
            match effect {
                Effect::Server(name, Call::Ask { question, ask, .. }) => {
                    let result = Ok(report(&name, &ask));
                    let event = server::Event::Answered { question, result };
                    answers.extend((!self.servers_silent).then_some((name, event)));
                }
                Effect::Server(name, call) => self.calls.push((name, call)),
                Effect::Peer { to, message, .. } => self.sent.push((to, message)),
                Effect::Timer(timer::Effect::Arm { key, at }) => {
                    self.timers.insert(key, at);
                }
                Effect::Timer(timer::Effect::Cancel(key)) => {
                    self.timers.swap_remove(&key);
                }
                _ => {}
            }
        }
        for (name, event) in answers {
            self.deliver(Event::Server(name, event));
        }
    }

    /// Advances the clock and fires the timers that fall due.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some((at, key)) = self.due(end) {
            self.now = at.max(self.now);
            self.timers.swap_remove(&key);
            self.deliver(Event::Timer(key));
        }
        self.now = end;
    }

    fn due(&self, end: Duration) -> Option<(Duration, timer::Key)> {
        let due = self.timers.iter().filter(|(_, at)| **at <= end);
        due.map(|(key, at)| (*at, key.clone())).min()
    }

    pub fn receive(&mut self, from: &str, message: peer::Message) {
        let incarnation = if from == "entry" { ENTRY_INCARNATION } else { 5 };
        let event = peer::Event::Received { from: from.into(), incarnation, message };
        self.deliver(Event::Peer(event));
    }

    pub fn run(&mut self, run: Run) {
        self.receive("entry", peer::Message::Run(Box::new(run)));
    }

    pub fn request(&mut self, message: request::Message) {
        self.receive("entry", peer::Message::Request(message));
    }

    pub fn server(&mut self, event: server::Event) {
        self.deliver(Event::Server("s1".into(), event));
    }

    /// Takes the calls to server s1 since the last call of this function.
    pub fn take_calls(&mut self) -> Vec<Call> {
        let calls = std::mem::take(&mut self.calls);
        calls.into_iter().filter(|(name, _)| name == "s1").map(|(_, call)| call).collect()
    }

    /// Takes the answers since the last call of this function.
    pub fn take_answers(&mut self) -> Vec<Answer> {
        let sent = std::mem::take(&mut self.sent);
        let answers = sent.into_iter().filter_map(|(_, message)| match message {
            peer::Message::Answer(answer) => Some(*answer),
            _ => None,
        });
        answers.collect()
    }

    /// Reports every requested connection as open.
    pub fn open_all(&mut self) {
        for call in self.take_calls() {
            if let Call::Open { connection, .. } = call {
                self.server(server::Event::Opened(connection));
            }
        }
    }

    /// The connection on which a request was started since the last call of `take_calls`.
    pub fn started(&mut self, request: id::Request) -> Option<id::Connection> {
        self.take_calls().into_iter().find_map(|call| match call {
            Call::Run { connection, request: started, .. } if started == request => {
                Some(connection)
            }
            _ => None,
        })
    }

    pub fn end(&mut self, connection: id::Connection, request: id::Request, ended: Completion) {
        self.server(server::Event::Ended { connection, request, ended });
    }
}

fn report(name: &str, ask: &Ask) -> Report {
    let role = if name == "s1" { Role::Primary } else { Role::Replica };
    let mark = match ask {
        Ask::Await { mark, .. } => *mark,
        _ => Mark::new(TERM, 100),
    };
    Report { term: TERM, role, received: mark, applied: mark }
}
