//! One daemon in simulated time, with everything around it answering at once and alike.

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

/// Time from a question to its answer.
const LATENCY: Duration = Duration::from_millis(1);

/// What was counted.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Time spent in the reducer.
    pub busy: Duration,
    /// The longest single event.
    pub longest: Duration,
    /// Events reduced.
    pub events: u64,
    /// Messages to peers and their bytes as JSON.
    pub sent: (u64, u64),
    /// Messages from peers.
    pub received: (u64, u64),
    /// Control questions to servers.
    pub asks: u64,
    /// Store calls that write, and that read.
    pub store: (u64, u64),
    /// Requests answered with frames.
    pub answered: u64,
}

enum Due {
    Timer(timer::Key, u64),
    Event(Event),
}

/// A daemon with its timers and the answers on their way.
pub struct Driver {
    pub state: State,
    pub clock: Duration,
    pub tally: Tally,
    /// News that the next answer to a probe carries.
    pub news: Vec<Rumor>,
    /// The hash of the daemon's own list, as it last told.
    pub digest: u64,
    platform: Platform,
    armed: HashMap<timer::Key, u64>,
    due: BTreeMap<(Duration, u64), Due>,
    count: u64,
}

impl Driver {
    /// Starts a daemon.
    pub fn new(state: State) -> Self {
        let mut driver = Self {
            state,
            clock: Duration::from_secs(1),
            tally: Tally::default(),
            news: Vec::new(),
            digest: 0,
            platform: Platform::default(),
            armed: HashMap::new(),
            due: BTreeMap::new(),
            count: 0,
        };
        driver.feed(Event::Started);
        driver
    }

    /// Reduces one event now.
    pub fn feed(&mut self, event: Event) {
        if let Event::Peer(peer::Event::Received { message, .. }) = &event {
            add(&mut self.tally.received, message);
        }
        let begun = Instant::now();
        let effects = reduce::reduce(&mut self.state, Now::at(self.clock), event);
        let took = begun.elapsed();
        self.tally.busy += took;
        self.tally.longest = self.tally.longest.max(took);
        self.tally.events += 1;
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(entry) = self.due.first_entry() {
            let ((at, _), due) = (*entry.key(), entry.get());
            if at > until {
                break;
            }
            let live = match due {
                Due::Timer(key, number) => self.armed.get(key) == Some(number),
                Due::Event(_) => true,
            };
            let due = entry.remove();
            self.clock = self.clock.max(at);
            match due {
                Due::Timer(key, _) if live => {
                    self.armed.remove(&key);
                    self.feed(Event::Timer(key));
                }
                Due::Event(event) => self.feed(event),
                Due::Timer(..) => {}
            }
        }
        self.clock = until;
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        self.run_until(self.clock + time);
    }

    /// A message from another daemon.
    pub fn receive(&mut self, from: &str, message: peer::Message) {
        self.feed(received(from, message));
    }

    fn later(&mut self, at: Duration, due: Due) {
        self.count += 1;
        self.due.insert((at, self.count), due);
    }

    fn answer(&mut self, event: Event) {
        self.later(self.clock + LATENCY, Due::Event(event));
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Timer(timer::Effect::Arm { key, at }) => {
                let number = self.count + 1;
                self.armed.insert(key.clone(), number);
                self.later(at, Due::Timer(key, number));
            }
            Effect::Timer(timer::Effect::Cancel(key)) => drop(self.armed.remove(&key)),
            Effect::Peer { to, message, .. } => {
                add(&mut self.tally.sent, &message);
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
                news.rumors = std::mem::take(&mut self.news);
                peer::Message::Member(Message::Ack { number, news })
            }
            peer::Message::Config(config::Message::Ask { number, .. }) => {
                let revision = self.state.config.snapshot.revision;
                let tell = Response {
                    number,
                    from: revision,
                    revision,
                    changes: Vec::new(),
                    applied: revision,
                    age: Some(Duration::ZERO),
                    quiet: false,
                };
                peer::Message::Config(config::Message::Tell(Box::new(tell)))
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
                self.tally.asks += 1;
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

/// The head of a daemon's chain.
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

fn add(tally: &mut (u64, u64), message: &peer::Message) {
    tally.0 += 1;
    tally.1 += serde_json::to_vec(message).map_or(0, |bytes| bytes.len() as u64);
}
