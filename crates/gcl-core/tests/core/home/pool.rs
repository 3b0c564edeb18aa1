//! Invariants under random events: limits hold, transactions keep to their connection, and each
//! request is answered.

use super::host::{Host, answered, run};
use gcl_core::{
    batch::Status,
    event::Event,
    home, id,
    mark::Mark,
    peer, request,
    run::{Access, Outcome, Run, Scope},
    server::{self, Call, Completion},
};
use indexmap::{IndexMap, IndexSet};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const SLOTS: usize = 2;
const CONNECTIONS: u32 = 8;

/// A random event of a caller, a server or the clock; a `pick` selects one of the present objects.
#[derive(Clone, Debug)]
enum Step {
    Single(bool),
    Begin,
    Within {
        pick: usize,
        ends: bool,
    },
    Repeat(usize),
    Open {
        pick: usize,
        fails: bool,
    },
    /// A statement ends; with outcome 0 its connection is lost.
    End {
        pick: usize,
        outcome: u8,
    },
    Reset {
        pick: usize,
        clean: bool,
    },
    Closed(usize),
    Cancel(usize),
    Release(usize),
    Lost,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => any::<bool>().prop_map(Step::Single),
        3 => Just(Step::Begin),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(pick, ends)| Step::Within { pick, ends }),
        1 => any::<usize>().prop_map(Step::Repeat),
        5 => (any::<usize>(), prop::bool::weighted(0.1))
            .prop_map(|(pick, fails)| Step::Open { pick, fails }),
        8 => (any::<usize>(), 0_u8..10).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(pick, clean)| Step::Reset { pick, clean }),
        1 => any::<usize>().prop_map(Step::Closed),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => any::<usize>().prop_map(Step::Release),
        1 => Just(Step::Lost),
        2 => (1_u64..4_000).prop_map(Step::Wait),
    ]
}

/// Actual state of the simulated server, and the requests and answers of callers.
#[derive(Default)]
struct Model {
    opening: IndexSet<id::Connection>,
    open: IndexSet<id::Connection>,
    running: IndexMap<id::Connection, Run>,
    resetting: IndexSet<id::Connection>,
    /// The transaction that is open on a connection.
    transaction_of: IndexMap<id::Connection, id::Transaction>,
    /// Transactions that their callers consider open; the connection is unused.
    transactions: IndexMap<id::Transaction, id::Connection>,
    requests: IndexMap<id::Request, Run>,
    answers: IndexMap<id::Request, usize>,
    /// Transactions with an unanswered statement.
    in_flight: IndexSet<id::Transaction>,
    last_number: u64,
}

fn pick<T: Clone>(items: impl ExactSizeIterator<Item = T>, n: usize) -> Option<T> {
    let items: Vec<_> = items.collect();
    (!items.is_empty()).then(|| items[n % items.len()].clone())
}

impl Model {
    fn send(&mut self, host: &mut Host, scope: Scope, access: Access, ends: bool) {
        self.last_number += 1;
        let run = Run { ends, ..run(self.last_number, scope, access) };
        self.requests.insert(run.request, run.clone());
        host.run(run);
    }

    fn apply(&mut self, host: &mut Host, step: &Step) {
        match *step {
            Step::Single(write) => {
                let access = if write { Access::Write } else { Access::Strong };
                self.send(host, Scope::Single, access, false);
            }
            Step::Begin => self.send(host, Scope::Begin, Access::Write, false),
            Step::Within { pick: n, ends } => {
                if let Some(name) = pick(self.transactions.keys().copied(), n)
                    && self.in_flight.insert(name)
                {
                    self.send(host, Scope::Within(name), Access::Write, ends);
                }
            }
            Step::Repeat(n) => {
                if let Some(run) = pick(self.requests.values().cloned(), n) {
                    host.run(run);
                }
            }
            Step::Cancel(n) => {
                if let Some(request) = pick(self.requests.keys().copied(), n) {
                    host.request(request::Message::Cancel(request));
                }
            }
            Step::Release(n) => {
                if let Some(name) = pick(self.transactions.keys().copied(), n) {
                    host.request(request::Message::Release(name));
                }
            }
            Step::Lost => host.deliver(Event::Peer(peer::Event::Lost("entry".into()))),
            Step::Wait(ms) => host.advance(ms),
            Step::Open { .. } | Step::End { .. } | Step::Reset { .. } | Step::Closed(_) => {
                self.act_as_server(host, step);
            }
        }
    }

    fn act_as_server(&mut self, host: &mut Host, step: &Step) {
        match *step {
            Step::Open { pick: n, fails } => {
                let Some(connection) = pick(self.opening.iter().copied(), n) else { return };
                self.opening.swap_remove(&connection);
                if fails {
                    return host.server(server::Event::Failed { connection, full: true });
                }
                self.open.insert(connection);
                host.server(server::Event::Opened(connection));
            }
            Step::End { pick: n, outcome } => {
                let Some(connection) = pick(self.running.keys().copied(), n) else { return };
                let run = self
                    .running
                    .swap_remove(&connection)
                    .expect("the connection was picked from this map");
                let ended = self.end(connection, &run, outcome);
                host.end(connection, run.request, ended);
            }
            Step::Reset { pick: n, clean } => {
                let Some(connection) = pick(self.resetting.iter().copied(), n) else { return };
                self.resetting.swap_remove(&connection);
                self.transaction_of.swap_remove(&connection);
                if !clean {
                    self.open.swap_remove(&connection);
                }
                host.server(server::Event::Reset { connection, clean });
            }
            Step::Closed(n) => {
                let Some(connection) = pick(self.open.iter().copied(), n) else { return };
                self.close(connection);
                host.server(server::Event::Closed(connection));
            }
            _ => {}
        }
    }

    fn end(&mut self, connection: id::Connection, run: &Run, outcome: u8) -> Completion {
        if outcome == 0 {
            self.close(connection);
            return Completion::Lost { sent: true };
        }
        let opens = run.scope == Scope::Begin || matches!(run.scope, Scope::Within(_)) && !run.ends;
        if opens {
            let name = self.transaction_of.get(&connection).copied().unwrap_or(run.request);
            self.transaction_of.insert(connection, name);
            return answered(Status::Open, None);
        }
        self.transaction_of.swap_remove(&connection);
        answered(Status::Idle, Some(Mark::new(3, 101)))
    }

    fn close(&mut self, connection: id::Connection) {
        self.open.swap_remove(&connection);
        self.opening.swap_remove(&connection);
        self.running.swap_remove(&connection);
        self.resetting.swap_remove(&connection);
        self.transaction_of.swap_remove(&connection);
    }

    /// Applies the home's calls and checks them against the server's actual state.
    fn check(&mut self, host: &mut Host) {
        for call in host.take_calls() {
            match call {
                Call::Open { connection, .. } => assert!(self.opening.insert(connection)),
                Call::Run { connection, request, .. } => self.check_run(connection, request),
                Call::Reset(connection) => {
                    assert!(
                        !self.running.contains_key(&connection),
                        "connection reset during a statement"
                    );
                    self.resetting.insert(connection);
                }
                Call::Close(connection) => self.close(connection),
                Call::Cancel(_) | Call::Ask { .. } => {}
            }
        }
        let all = self.open.len() + self.opening.len();
        let capacity = home::pool::capacity(CONNECTIONS as usize, true);
        assert!(all <= capacity, "{all} connections exceed the capacity of {capacity}");
        assert!(
            self.running.len() + self.resetting.len() <= SLOTS,
            "more statements and resets than slots"
        );
        for answer in host.take_answers() {
            let count = self.answers.entry(answer.request).or_default();
            *count += 1;
            let run = &self.requests[&answer.request];
            self.record_outcome(run.scope, answer.request, &answer.outcome);
        }
    }

    fn check_run(&mut self, connection: id::Connection, request: id::Request) {
        let run = self.requests[&request].clone();
        assert!(self.open.contains(&connection), "statement sent on a closed connection");
        assert!(!self.resetting.contains(&connection), "statement sent during a reset");
        let inside = self.transaction_of.get(&connection).copied();
        match run.scope {
            Scope::Within(name) => assert_eq!(inside, Some(name), "wrong transaction"),
            Scope::Single | Scope::Begin => assert_eq!(inside, None, "wrong transaction"),
        }
        assert!(
            self.running.insert(connection, run).is_none(),
            "two statements at once on a connection"
        );
        assert!(!self.answers.contains_key(&request), "request run after its answer");
    }

    fn record_outcome(&mut self, scope: Scope, request: id::Request, outcome: &Outcome) {
        let open = matches!(outcome, Outcome::Done { status, .. } if *status != Status::Idle);
        match scope {
            Scope::Begin if open => {
                self.transactions.insert(request, 0);
            }
            Scope::Within(name) => {
                self.in_flight.swap_remove(&name);
                if !open {
                    self.transactions.swap_remove(&name);
                }
            }
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(0x9001),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn invariants_hold_for_random_events(steps in prop::collection::vec(step(), 1..120)) {
        let mut host = Host::new(u32::try_from(SLOTS).expect("the slots fit in u32"), CONNECTIONS);
        let mut model = Model::default();
        model.check(&mut host);
        for step in steps {
            model.apply(&mut host, &step);
            model.check(&mut host);
        }
        for _ in 0..30 {
            for n in 0..4 {
                model.apply(&mut host, &Step::Open { pick: n, fails: false });
                model.apply(&mut host, &Step::End { pick: n, outcome: 1 });
                model.apply(&mut host, &Step::Reset { pick: n, clean: true });
                model.check(&mut host);
            }
            host.advance(1_000);
            model.check(&mut host);
        }
        for request in model.requests.keys() {
            prop_assert!(
                model.answers.contains_key(request),
                "request {request:x} was not answered"
            );
        }
    }
}
