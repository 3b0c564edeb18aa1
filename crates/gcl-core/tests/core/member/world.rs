//! Daemons that exchange membership messages over a network with cuts.

use crate::fixture::settings;
use gcl_core::{
    effect::Effect,
    event::Event,
    peer,
    reduce::reduce,
    settings::Seed,
    state::State,
    store::{Call, Op},
    time::Now,
    timer,
};
use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

/// Milliseconds that a message takes.
const DELAY_MS: u64 = 1;

struct Node {
    state: State,
    alive: bool,
    paused: u64,
    probe: u64,
    vms: Option<u64>,
    sent: usize,
}

/// The daemons, `d0` knowing nobody and the others knowing `d0`.
pub struct World {
    clock: u64,
    nodes: Vec<Node>,
    cuts: HashSet<(usize, usize)>,
    queue: BTreeMap<(u64, u64), (usize, peer::Event)>,
    count: u64,
    log: Vec<peer::Message>,
}

impl World {
    /// Some daemons spread over some failure domains.
    pub fn new(count: usize, domains: usize) -> Self {
        let nodes = (0..count).map(|index| node(index, domains)).collect();
        let mut world = Self {
            clock: 1,
            nodes,
            cuts: HashSet::new(),
            queue: BTreeMap::new(),
            count: 0,
            log: Vec::new(),
        };
        for index in 0..count {
            world.reduce(index, Event::Started);
        }
        world
    }

    /// The state of a daemon.
    pub fn state(&mut self, index: usize) -> &mut State {
        &mut self.nodes[index].state
    }

    /// The daemons that one takes for alive.
    pub fn alive(&self, index: usize) -> Vec<String> {
        let members = self.nodes[index].state.member.members.values();
        members.filter(|member| member.alive).map(|member| member.daemon.to_string()).collect()
    }

    /// The open call of a daemon for the platform's list.
    pub fn vms(&self, index: usize) -> Option<u64> {
        self.nodes[index].vms
    }

    /// Bytes that a daemon sent.
    pub fn sent(&self, index: usize) -> usize {
        self.nodes[index].sent
    }

    /// Starts to count bytes from zero.
    pub fn forget_traffic(&mut self) {
        for node in &mut self.nodes {
            node.sent = 0;
        }
    }

    /// How many messages of a kind were sent.
    pub fn messages(&self, kind: impl Fn(&peer::Message) -> bool) -> usize {
        self.log.iter().filter(|message| kind(message)).count()
    }

    /// A daemon ends without a word.
    pub fn stop(&mut self, index: usize) {
        self.nodes[index].alive = false;
    }

    /// A daemon handles nothing for a while.
    pub fn pause(&mut self, index: usize, ms: u64) {
        self.nodes[index].paused = self.clock + ms;
    }

    /// Messages from one daemon to another are lost.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Runs for some milliseconds.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.clock += 1;
            self.step();
        }
    }

    fn step(&mut self) {
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= self.clock)
        {
            let (to, event) = entry.remove();
            let paused = self.nodes[to].paused;
            if paused > self.clock {
                self.count += 1;
                self.queue.insert((paused, self.count), (to, event));
            } else if self.nodes[to].alive {
                self.reduce(to, Event::Peer(event));
            }
        }
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.alive && node.paused <= self.clock && node.probe <= self.clock {
                self.reduce(index, Event::Timer(timer::Key::Probe));
            }
        }
    }

    /// Feeds an event to a daemon.
    pub fn reduce(&mut self, index: usize, event: Event) {
        let now = Now::at(Duration::from_millis(self.clock));
        for effect in reduce(&mut self.nodes[index].state, now, event) {
            match effect {
                Effect::Peer { to, message: message @ peer::Message::Member(_), .. } => {
                    self.send(index, &to, message);
                }
                Effect::Timer(timer::Effect::Arm { key: timer::Key::Probe, at }) => {
                    let due = u64::try_from(at.as_millis()).expect("the time is short");
                    self.nodes[index].probe = due.max(self.clock + 1);
                }
                Effect::Store(Call { call, op: Op::Vms, .. }) => {
                    self.nodes[index].vms = Some(call);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, message: peer::Message) {
        let text = serde_json::to_string(&message).expect("messages are serializable");
        self.nodes[from].sent += text.len();
        self.log.push(message.clone());
        let to = to[1..].parse::<usize>().expect("names are numbered");
        if to >= self.nodes.len() || self.cuts.contains(&(from, to)) {
            return;
        }
        let state = &self.nodes[from].state;
        let (name, incarnation) = (state.settings.daemon.clone(), state.incarnation);
        let event = peer::Event::Received { from: name, incarnation, message };
        self.count += 1;
        self.queue.insert((self.clock + DELAY_MS, self.count), (to, event));
    }
}

fn node(index: usize, domains: usize) -> Node {
    let domain = |index: usize| format!("domain-{}", index % domains);
    let mut settings = settings(&format!("d{index}"), &domain(index), "east");
    if index > 0 {
        settings.seeds.push(Seed {
            daemon: "d0".into(),
            domain: domain(0).into(),
            address: "10.0.0.1:1".into(),
        });
    }
    let state = State::new(settings, index as u64 + 1);
    Node { state, alive: true, paused: 0, probe: 1, vms: None, sent: 0 }
}
