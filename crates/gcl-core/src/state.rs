//! The state of one daemon.

use crate::{
    config, group, home, id, limit, member, operation, random::Random, record, request, session,
    settings::Settings,
};
use std::time::Duration;

/// Allocates ids.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    incarnation: id::Incarnation,
    last: u64,
}

impl Counters {
    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Allocates a request id, unique across the fleet.
    pub fn request(&mut self) -> id::Request {
        (u128::from(self.incarnation) << 64) | u128::from(self.next())
    }

    /// Allocates a connection id.
    pub fn connection(&mut self) -> id::Connection {
        self.next()
    }

    /// Allocates the id of a store call.
    pub fn call(&mut self) -> id::Call {
        self.next()
    }

    /// Allocates the id of a control question.
    pub fn question(&mut self) -> id::Question {
        self.next()
    }
}

/// The state of one daemon.
#[derive(Clone, Debug)]
pub struct State {
    /// The daemon's settings.
    pub settings: Settings,
    /// Identifies this run of the daemon.
    pub incarnation: id::Incarnation,
    /// The seeded generator behind all random choices.
    pub random: Random,
    /// The source of new ids.
    pub counters: Counters,
    /// Whether the daemon is draining.
    pub draining: bool,
    /// Monotonic time at which the daemon exits even if requests are still running.
    pub drain_until: Duration,
    /// Whether the daemon has reported that it is ready for callers.
    pub ready: bool,
    /// The configuration.
    pub config: config::State,
    /// The other daemons.
    pub member: member::State,
    /// Callers' connections.
    pub session: session::State,
    /// Requests received from callers by this daemon, their entry.
    pub request: request::State,
    /// Rate limits.
    pub limit: limit::State,
    /// Backend servers that this daemon is home of.
    pub home: home::State,
    /// Database groups.
    pub group: group::State,
    /// Anchors of the audit record.
    pub anchor: record::anchor::State,
    /// Operators' requests.
    pub operation: operation::State,
}

impl State {
    /// The state of a newly started daemon; `seed` must be random and is provided by the shell.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut random = Random::new(seed);
        let incarnation = random.next() | 1;
        Self {
            settings,
            incarnation,
            random,
            counters: Counters { incarnation, last: 0 },
            draining: false,
            drain_until: Duration::ZERO,
            ready: false,
            config: config::State::default(),
            member: member::State::default(),
            session: session::State::default(),
            request: request::State::default(),
            limit: limit::State::default(),
            home: home::State::default(),
            group: group::State::default(),
            anchor: record::anchor::State::default(),
            operation: operation::State::default(),
        }
    }
}
