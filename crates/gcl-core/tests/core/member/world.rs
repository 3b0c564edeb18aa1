//! A simulation of daemons that exchange membership messages over a network that may be cut.

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

/// Delay of a message in milliseconds.
const DELAY_MS: u64 = 1;

struct Node {
    state: State,
    alive: bool,
    paused_until: u64,
    next_probe: u64,
    vms_call: Option<u64>,
    sent: usize,
}

/// The daemons. `d0` has no seeds, and the others have `d0` as their seed.
pub struct World {
    clock: u64,
    nodes: Vec<Node>,
    cuts: HashSet<(usize, usize)>,
    queue: BTreeMap<(u64, u64), (usize, peer::Event)>,
    sequence: u64,
    log: Vec<peer::Message>,
}

impl World {
    /// Starts `count` daemons, distributed over `domains` failure domains.
    pub fn new(count: usize, domains: usize) -> Self {
        let nodes = (0..count).map(|index| node(index, domains)).collect();
        let mut world = Self {
            clock: 1,
            nodes,
            cuts: HashSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
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

    /// The daemons that a daemon considers alive.
    pub fn alive(&self, index: usize) -> Vec<String> {
        let members = self.nodes[index].state.member.members.values();
        members.filter(|member| member.alive).map(|member| member.daemon.to_string()).collect()
    }

    /// The last call of a daemon to read the platform's list.
    pub fn vms(&self, index: usize) -> Option<u64> {
        self.nodes[index].vms_call
    }

    /// The bytes that a daemon has sent, as JSON.
    pub fn sent(&self, index: usize) -> usize {
        self.nodes[index].sent
    }

    /// Resets the byte counts.
    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            node.sent = 0;
        }
    }

    /// The number of messages sent that match a predicate.
    pub fn messages(&self, kind: impl Fn(&peer::Message) -> bool) -> usize {
        self.log.iter().filter(|message| kind(message)).count()
    }

    /// Stops a daemon without announcement.
    pub fn stop(&mut self, index: usize) {
        self.nodes[index].alive = false;
    }

    /// Makes a daemon handle nothing for some milliseconds.
    pub fn pause(&mut self, index: usize, ms: u64) {
        self.nodes[index].paused_until = self.clock + ms;
    }

    /// Drops all messages from one daemon to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Runs for some milliseconds of simulated time.
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
            let paused_until = self.nodes[to].paused_until;
            if paused_until > self.clock {
                self.sequence += 1;
                self.queue.insert((paused_until, self.sequence), (to, event));
            } else if self.nodes[to].alive {
                self.reduce(to, Event::Peer(event));
            }
        }
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.alive && node.paused_until <= self.clock && node.next_probe <= self.clock {
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
                    self.nodes[index].next_probe = due.max(self.clock + 1);
                }
                Effect::Store(Call { call, op: Op::Vms, .. }) => {
                    self.nodes[index].vms_call = Some(call);
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
        self.sequence += 1;
        self.queue.insert((self.clock + DELAY_MS, self.sequence), (to, event));
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
    Node { state, alive: true, paused_until: 0, next_probe: 1, vms_call: None, sent: 0 }
}
