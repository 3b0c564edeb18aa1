//! One daemon in simulated time. Its peers, store and servers answer every call successfully after
//! a fixed latency.

use crate::platform::Platform;
use gcl_core::{
    batch::Status,
    config::{self, Response},
    effect::Effect,
    event::Event,
    key,
    mark::Mark,
    member::{Message, Rumor},
    peer,
    record::chain::Head,
    reduce,
    server::{self, Completion, Report, Role},
    state::State,
    store::{self, Op, Reply},
    time::Now,
    timer,
};
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Time from a call to its answer.
const LATENCY: Duration = Duration::from_millis(1);

/// Counts and times of a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Time spent in the reducer.
    pub reducer_time: Duration,
    /// The longest time spent on a single event.
    pub longest_event: Duration,
    /// Events reduced.
    pub events: u64,
    /// Messages to peers, and their bytes as JSON.
    pub sent: (u64, u64),
    /// Messages from peers, and their bytes as JSON.
    pub received: (u64, u64),
    /// Status requests to servers.
    pub status_requests: u64,
    /// Store calls that write, and those that read.
    pub store: (u64, u64),
    /// Requests answered with frames.
    pub answered: u64,
}

enum Item {
    Timer(timer::Key, u64),
    Event(Event),
}

/// A daemon with its armed timers and scheduled answers.
pub struct Driver {
    pub state: State,
    pub clock: Duration,
    pub tally: Tally,
    /// Rumors that the next answer to a probe carries.
    pub pending_rumors: Vec<Rumor>,
    /// The hash of the daemon's list of members, as of its latest probe.
    pub digest: u64,
    platform: Platform,
    armed: HashMap<timer::Key, u64>,
    items: BTreeMap<(Duration, u64), Item>,
    count: u64,
}

impl Driver {
    /// Starts a daemon.
    pub fn new(state: State) -> Self {
        let mut driver = Self {
            state,
            clock: Duration::from_secs(1),
            tally: Tally::default(),
            pending_rumors: Vec::new(),
            digest: 0,
            platform: Platform::default(),
            armed: HashMap::new(),
            items: BTreeMap::new(),
            count: 0,
        };
        driver.feed(Event::Started);
        driver
    }

    /// Reduces one event now.
    pub fn feed(&mut self, event: Event) {
        if let Event::Peer(peer::Event::Received { message, .. }) = &event {
            count_message(&mut self.tally.received, message);
        }
        let started = Instant::now();
        let effects = reduce::reduce(&mut self.state, Now::at(self.clock), event);
        let elapsed = started.elapsed();
        self.tally.reducer_time += elapsed;
        self.tally.longest_event = self.tally.longest_event.max(elapsed);
        self.tally.events += 1;
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(entry) = self.items.first_entry() {
            let ((at, _), item) = (*entry.key(), entry.get());
            if at > until {
                break;
            }
            let armed = match item {
                Item::Timer(key, number) => self.armed.get(key) == Some(number),
                Item::Event(_) => true,
            };
            let item = entry.remove();
            self.clock = self.clock.max(at);
            match item {
                Item::Timer(key, _) if armed => {
                    self.armed.remove(&key);
                    self.feed(Event::Timer(key));
                }
                Item::Event(event) => self.feed(event),
                Item::Timer(..) => {}
            }
        }
        self.clock = until;
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        self.run_until(self.clock + time);
    }

    /// Feeds a message from another daemon.
    pub fn receive(&mut self, from: &str, message: peer::Message) {
        self.feed(received(from, message));
    }

    fn schedule(&mut self, at: Duration, item: Item) {
        self.count += 1;
        self.items.insert((at, self.count), item);
    }

    fn answer(&mut self, event: Event) {
        self.schedule(self.clock + LATENCY, Item::Event(event));
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Timer(timer::Effect::Arm { key, at }) => {
                let number = self.count + 1;
                self.armed.insert(key.clone(), number);
                self.schedule(at, Item::Timer(key, number));
            }
            Effect::Timer(timer::Effect::Cancel(key)) => drop(self.armed.remove(&key)),
            Effect::Peer { to, message, .. } => {
                count_message(&mut self.tally.sent, &message);
                self.on_peer(&to, message);
            }
            Effect::ReadHead => {
                let daemon = self.state.settings.daemon.clone();
                self.answer(Event::Head(head(&daemon)));
            }
            Effect::Store(call) => self.on_store(&call),
            Effect::Server(name, call) => self.on_server(&name, &call),
            Effect::Caller(_, gcl_core::caller::Effect::Send(replies)) => {
                let frames = |reply: &_| matches!(reply, gcl_core::caller::Reply::Frames(_));
                self.tally.answered += u64::from(replies.iter().any(frames));
            }
            _ => {}
        }
    }

    fn on_peer(&mut self, to: &str, message: peer::Message) {
        let reply = match message {
            peer::Message::Member(Message::Ping { number, mut news }) => {
                self.digest = news.digest;
                news.own = None;
                news.rumors = std::mem::take(&mut self.pending_rumors);
                peer::Message::Member(Message::Ack { number, news })
            }
            peer::Message::Config(config::Message::Ask { number, .. }) => {
                let revision = self.state.config.snapshot.revision;
                let response = Response {
                    number,
                    from: revision,
                    revision,
                    changes: Vec::new(),
                    applied: revision,
                    age: Some(Duration::ZERO),
                    quiet: false,
                };
                peer::Message::Config(config::Message::Tell(Box::new(response)))
            }
            _ => return,
        };
        self.answer(received(to, reply));
    }

    fn on_store(&mut self, call: &store::Call) {
        let writes = matches!(
            call.op,
            Op::Put { .. } | Op::Swap { .. } | Op::Delete { .. } | Op::Grant(_) | Op::Renew(_)
        );
        self.tally.store.0 += u64::from(writes);
        self.tally.store.1 += u64::from(!writes && !matches!(call.op, Op::Unwatch(_)));
        let event = match &call.op {
            Op::Get(key) if key == config::snapshot::PREFIX => {
                let reply = Reply::Value(None, self.state.config.snapshot.revision);
                Some(store::Event::Answered { call: call.call, result: Ok(reply) })
            }
            _ => self.platform.answer(self.clock, call),
        };
        if let Some(event) = event {
            self.answer(Event::Store(event));
        }
    }

    fn on_server(&mut self, name: &str, call: &server::Call) {
        let event = match call {
            server::Call::Ask { question, .. } => {
                self.tally.status_requests += 1;
                let role = if name.ends_with("-0") { Role::Primary } else { Role::Replica };
                let mark = Mark::new(1, 10);
                let report = Report { term: 1, role, received: mark, applied: mark };
                server::Event::Answered { question: *question, result: Ok(report) }
            }
            server::Call::Open { connection, .. } => server::Event::Opened(*connection),
            server::Call::Run { connection, request, .. } => {
                let ended = Completion::Answered {
                    frames: Vec::new(),
                    status: Status::Idle,
                    mark: Some(Mark::new(1, 10)),
                    error: None,
                };
                server::Event::Ended { connection: *connection, request: *request, ended }
            }
            server::Call::Reset(connection) => {
                server::Event::Reset { connection: *connection, clean: true }
            }
            _ => return,
        };
        self.answer(Event::Server(name.into(), event));
    }
}

/// The head of a daemon's record chain.
pub fn head(daemon: &str) -> Head {
    Head {
        daemon: daemon.into(),
        incarnation: 1,
        sequence: 1_000_000,
        hash: key::hash(daemon).into(),
    }
}

fn received(from: &str, message: peer::Message) -> Event {
    Event::Peer(peer::Event::Received { from: from.into(), incarnation: 1, message })
}

fn count_message(tally: &mut (u64, u64), message: &peer::Message) {
    tally.0 += 1;
    tally.1 += serde_json::to_vec(message).map_or(0, |bytes| bytes.len() as u64);
}
