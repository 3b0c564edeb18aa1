//! Simulation of the configuration modules of a few daemons, with a store that is a plain list of
//! revisions.
//!
//! Messages are lost, duplicated, delayed and reordered; calls to the store fail before or after
//! they take effect. Each daemon's clock starts at a different time.

use crate::fixture::settings;
use compact_str::CompactString;
use gcl_core::{
    config::snapshot::{PREFIX, Snapshot},
    effect::Effect,
    event::Event,
    member::Member,
    operator::{Method, Request, Response},
    peer::{self, Message},
    random::Random,
    reduce::reduce,
    state::State,
    store::{self, Change, Entry, Failure, Op, Reply},
    time::Now,
    timer,
};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// Failure domains of the daemons, in turn.
const DOMAINS: [&str; 3] = ["alpha", "beta", "gamma"];
/// Time between two progress reports of a watch.
const PROGRESS_MS: u64 = 500;
/// Time after which a call that does not reach the store fails.
const UNREACHED_MS: u64 = 20;

/// Probabilities in percent, and the longest delay in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    pub loss: u64,
    pub repeat: u64,
    pub delay_ms: u64,
    pub lost_answer: u64,
}

enum Item {
    Deliver(usize, Event),
    Timer(usize, timer::Key, u64),
    Execute(usize, store::Call, bool),
    Progress,
}

struct Node {
    state: State,
    boot_ms: u64,
    incarnation: u64,
    timers: HashMap<timer::Key, u64>,
    last_revisions: (u64, u64),
}

struct Watch {
    node: usize,
    call: u64,
    next: u64,
}

/// The daemons, the store, and the messages and timers between them.
pub struct World {
    nodes: Vec<Node>,
    queue: BTreeMap<(u64, u64), Item>,
    sequence: u64,
    pub now_ms: u64,
    random: Random,
    pub fault: Fault,
    /// Whether the store cannot be reached.
    pub down: bool,
    /// A failure domain that is cut off from all others and from the store.
    pub cut: Option<&'static str>,
    /// Every change of the store: its time and the change.
    pub log: Vec<(u64, Change)>,
    watches: Vec<Watch>,
    pub answers: Vec<(u64, Response)>,
    operations: u64,
    /// Calls to the store so far.
    pub calls: u64,
}

impl World {
    /// A world of `count` daemons, all started.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut world = Self {
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            now_ms: 100_000,
            random: Random::new(seed),
            fault: Fault::default(),
            down: false,
            cut: None,
            log: Vec::new(),
            watches: Vec::new(),
            answers: Vec::new(),
            operations: 0,
            calls: 0,
        };
        for node in 0..count {
            let boot_ms = world.random.below(100_000);
            let fresh_node = world.new_node(node, count, boot_ms);
            world.nodes.push(fresh_node);
        }
        for node in 0..count {
            world.deliver(node, Event::Started);
        }
        world.schedule(PROGRESS_MS, Item::Progress);
        world
    }

    fn new_node(&mut self, node: usize, count: usize, boot_ms: u64) -> Node {
        let mut state = State::new(settings(&name(node), domain(node), "east"), self.random.next());
        for other in (0..count).filter(|other| *other != node) {
            let member = Member {
                daemon: name(other),
                domain: domain(other).into(),
                address: "127.0.0.1:1".into(),
                incarnation: 1,
                alive: true,
            };
            state.member.members.insert(name(other), member);
        }
        let incarnation = self.random.next();
        Node { state, boot_ms, incarnation, timers: HashMap::new(), last_revisions: (0, 0) }
    }

    /// Replaces a daemon by a new process of the same name.
    pub fn restart(&mut self, node: usize) {
        let count = self.nodes.len();
        self.watches.retain(|watch| watch.node != node);
        let now_ms = self.now_ms;
        self.nodes[node] = self.new_node(node, count, now_ms);
        self.deliver(node, Event::Started);
    }

    pub fn state(&self, node: usize) -> &State {
        &self.nodes[node].state
    }

    pub fn clock(&self, node: usize) -> Now {
        let ms = self.now_ms - self.nodes[node].boot_ms;
        Now { mono: Duration::from_millis(ms), wall: Duration::from_millis(self.now_ms) }
    }

    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Sends an operator's request without a token to a daemon; returns the operation.
    pub fn operate(&mut self, node: usize, method: Method, path: &str, body: String) -> u64 {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(name, value)| (name.into(), value.into())).collect();
        let token = CompactString::default();
        self.request(node, Request { method, path: path.into(), query, token, body })
    }

    /// Sends an operator's request to a daemon; returns the operation.
    pub fn request(&mut self, node: usize, request: Request) -> u64 {
        self.operations += 1;
        let operation = self.operations;
        self.deliver(node, Event::Operator(operation, request));
        operation
    }

    /// Advances the simulated time.
    pub fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while let Some(((at, _), item)) = self.queue.pop_first() {
            if at > end {
                self.sequence += 1;
                self.queue.insert((at, self.sequence), item);
                break;
            }
            self.now_ms = at;
            self.handle(item);
        }
        self.now_ms = end;
    }

    /// Starts or ends an outage of the store.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
        if down {
            for watch in std::mem::take(&mut self.watches) {
                self.end_watch(&watch);
            }
        }
    }

    /// Cuts a failure domain off, or reconnects it.
    pub fn set_cut(&mut self, cut: Option<&'static str>) {
        self.cut = cut;
        let (gone, kept) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| Some(domain(watch.node)) == cut);
        self.watches = kept;
        let gone: Vec<Watch> = gone;
        for watch in gone {
            self.end_watch(&watch);
        }
    }

    fn end_watch(&mut self, watch: &Watch) {
        let event = store::Event::Answered { call: watch.call, result: Err(Failure::Lost) };
        self.schedule(1, Item::Deliver(watch.node, Event::Store(event)));
    }

    fn schedule(&mut self, after_ms: u64, item: Item) {
        self.sequence += 1;
        self.queue.insert((self.now_ms + after_ms, self.sequence), item);
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Deliver(node, event) => self.deliver(node, event),
            Item::Timer(node, key, stamp) => {
                if self.nodes[node].timers.get(&key) == Some(&stamp) {
                    self.nodes[node].timers.remove(&key);
                    self.deliver(node, Event::Timer(key));
                }
            }
            Item::Execute(node, call, lose_answer) => self.execute(node, call, lose_answer),
            Item::Progress => {
                self.schedule(PROGRESS_MS, Item::Progress);
                self.progress(true);
            }
        }
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let now = self.clock(node);
        let effects = reduce(&mut self.nodes[node].state, now, event);
        for effect in effects {
            self.run_effect(node, effect);
        }
        self.check_monotonic(node);
    }

    /// Checks that a daemon's revision never decreases, nor its version at the same revision.
    fn check_monotonic(&mut self, node: usize) {
        let config = &self.nodes[node].state.config;
        let now = (config.snapshot.revision, config.version);
        assert!(now >= self.nodes[node].last_revisions, "daemon {node} went back to {now:?}");
        self.nodes[node].last_revisions = now;
    }

    fn run_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Peer { to, message: message @ Message::Config(_), .. } => {
                self.send(node, &to, &message);
            }
            Effect::Store(call) => self.call(node, call),
            Effect::Timer(timer::Effect::Arm { key, at }) => {
                if matches!(key, timer::Key::Config | timer::Key::Operation(_)) {
                    self.arm(node, key, at);
                }
            }
            Effect::Timer(timer::Effect::Cancel(key)) => {
                self.nodes[node].timers.remove(&key);
            }
            Effect::Operator(operation, response) => self.answers.push((operation, response)),
            _ => {}
        }
    }

    fn arm(&mut self, node: usize, key: timer::Key, at: Duration) {
        let at =
            u64::try_from(at.as_micros().div_ceil(1000)).expect("simulated times fit in 64 bits");
        let due = self.nodes[node].boot_ms + at;
        self.sequence += 1;
        self.nodes[node].timers.insert(key.clone(), self.sequence);
        let after = due.saturating_sub(self.now_ms);
        let item = Item::Timer(node, key, self.sequence);
        self.schedule(after, item);
    }

    fn send(&mut self, from: usize, to: &str, message: &Message) {
        let to: usize = to[1..].parse().expect("daemons are named d0, d1 and so on");
        if self.is_partitioned(from, to) || self.random.below(100) < self.fault.loss {
            return;
        }
        let copies = 1 + u64::from(self.random.below(100) < self.fault.repeat);
        for _ in 0..copies {
            let incarnation = self.nodes[from].incarnation;
            let event =
                peer::Event::Received { from: name(from), incarnation, message: message.clone() };
            let delay = 1 + self.random.below(self.fault.delay_ms + 1);
            self.schedule(delay, Item::Deliver(to, Event::Peer(event)));
        }
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let cut = self.cut;
        cut.is_some() && (cut == Some(domain(a))) != (cut == Some(domain(b)))
    }

    fn call(&mut self, node: usize, call: store::Call) {
        self.calls += 1;
        if let Op::Unwatch(watch) = call.op {
            self.watches.retain(|open| (open.node, open.call) != (node, watch));
            return;
        }
        if self.down || self.cut == Some(domain(node)) {
            self.answer(node, call.call, Err(Failure::Unreached), UNREACHED_MS);
            return;
        }
        let lose_answer = self.random.below(100) < self.fault.lost_answer;
        let delay = 1 + self.random.below(self.fault.delay_ms + 1);
        self.schedule(delay, Item::Execute(node, call, lose_answer));
    }

    fn answer(&mut self, node: usize, call: u64, result: Result<Reply, Failure>, after: u64) {
        let event = Event::Store(store::Event::Answered { call, result });
        self.schedule(after, Item::Deliver(node, event));
    }

    fn execute(&mut self, node: usize, call: store::Call, lose_answer: bool) {
        let lose_answer = lose_answer || self.down;
        let result = match call.op {
            Op::Get(key) => Ok(Reply::Value(self.entry(&key), self.revision())),
            Op::List(prefix) => Ok(Reply::List(self.list(&prefix), self.revision())),
            Op::Put { key, expected, value, .. } => Ok(self.swap(&key, expected, value, None)),
            Op::Swap { guard, held, key, expected, value } => {
                Ok(self.swap(&key, expected, value, Some((&guard, held))))
            }
            Op::Watch { from, .. } => {
                self.watches.push(Watch { node, call: call.call, next: from });
                return;
            }
            other => panic!("{other:?} is not called by these modules"),
        };
        let delay = 1 + self.random.below(self.fault.delay_ms + 1);
        let result = if lose_answer { Err(Failure::Lost) } else { result };
        self.answer(node, call.call, result, delay);
    }

    fn swap(
        &mut self,
        key: &str,
        expected: u64,
        value: bytes::Bytes,
        guard: Option<(&str, u64)>,
    ) -> Reply {
        let current = self.entry(key);
        let as_expected = current.as_ref().map_or(0, |entry| entry.revision) == expected;
        let guard_unchanged = guard.is_none_or(|(guard, held)| {
            self.entry(guard).map_or(0, |entry| entry.revision) == held
        });
        if !as_expected || !guard_unchanged {
            return Reply::Conflict(current, self.revision());
        }
        let revision = self.revision() + 1;
        let put =
            |key: &str, value| Change::Put(Entry { key: key.into(), value, revision, lease: 0 });
        if let Some((guard, _)) = guard {
            self.log.push((self.now_ms, put(guard, bytes::Bytes::new())));
        }
        self.log.push((self.now_ms, put(key, value)));
        self.progress(false);
        Reply::Changed(revision)
    }

    /// The store's revision; it starts at one.
    pub fn revision(&self) -> u64 {
        self.log.last().map_or(1, |(_, change)| change.revision())
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let changes = self.log.iter().rev();
        changes.map(|(_, change)| change).find_map(|change| match change {
            Change::Put(entry) if entry.key == key => Some(entry.clone()),
            _ => None,
        })
    }

    fn list(&self, prefix: &str) -> Vec<Entry> {
        let keys = self.log.iter().map(|(_, change)| change.key().clone());
        let keys: std::collections::BTreeSet<CompactString> = keys.collect();
        keys.iter()
            .filter(|key| key.starts_with(prefix))
            .filter_map(|key| self.entry(key))
            .collect()
    }

    /// The configuration that the list contains at a revision.
    pub fn expected_snapshot(&self, revision: u64) -> Snapshot {
        let mut snapshot = Snapshot { revision, ..Snapshot::default() };
        let changes = self.log.iter().map(|(_, change)| change);
        for change in changes.filter(|change| change.revision() <= revision) {
            snapshot.apply(change);
        }
        snapshot.rebuild_indexes();
        snapshot
    }

    fn progress(&mut self, report_idle: bool) {
        let revision = self.revision();
        let mut events = Vec::new();
        for watch in &mut self.watches {
            let later = self.log.iter().map(|(_, change)| change);
            let later = later.filter(|change| change.revision() >= watch.next);
            let changes: Vec<Change> = later.cloned().collect();
            if report_idle || !changes.is_empty() {
                let event = store::Event::Watched { call: watch.call, changes, revision };
                events.push((watch.node, Event::Store(event)));
                watch.next = watch.next.max(revision + 1);
            }
        }
        for (node, event) in events {
            self.schedule(1, Item::Deliver(node, event));
        }
    }

    /// Checks every daemon against the list: it has the objects of its revision, and has missed no
    /// change from before the time up to which it is confirmed.
    pub fn check_all(&self) {
        for node in 0..self.count() {
            let config = &self.state(node).config;
            let held = &config.snapshot;
            if held.revision > 0 {
                let expected = self.expected_snapshot(held.revision);
                assert!(
                    same_contents(held, &expected),
                    "daemon {node} at {}:\n{held:?}\n{expected:?}",
                    held.revision
                );
            }
            let Some(confirmed) = config.confirmed else {
                continue;
            };
            let boot = self.nodes[node].boot_ms;
            let then = boot
                + u64::try_from(confirmed.as_millis()).expect("simulated times fit in 64 bits");
            let missed = self.log.iter().find(|(at, change)| {
                *at < then && change.revision() > held.revision && change.key().starts_with(PREFIX)
            });
            assert!(missed.is_none(), "daemon {node} confirmed at {then} without {missed:?}");
        }
    }
}

/// Whether two snapshots hold the same objects at the same revisions, in any order.
pub fn same_contents(a: &Snapshot, b: &Snapshot) -> bool {
    let sorted = |snapshot: &Snapshot| {
        let mut entries = snapshot.entries();
        entries.sort_by(|a, b| a.key.cmp(&b.key));
        entries
    };
    sorted(a) == sorted(b)
}

pub fn name(node: usize) -> CompactString {
    compact_str::format_compact!("d{node}")
}

pub fn domain(node: usize) -> &'static str {
    DOMAINS[node % DOMAINS.len()]
}
