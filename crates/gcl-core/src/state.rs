//! Everything that one daemon knows.

use crate::{
    config, group, home, id, limit, member, operation, random::Random, record, request, session,
    settings::Settings,
};
use std::time::Duration;

/// Counters that hand out ids.
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

    /// A request id, unique over the fleet.
    pub fn request(&mut self) -> id::Request {
        (u128::from(self.incarnation) << 64) | u128::from(self.next())
    }

    /// A connection id.
    pub fn connection(&mut self) -> id::Connection {
        self.next()
    }

    /// A store call id.
    pub fn call(&mut self) -> id::Call {
        self.next()
    }

    /// A control question id.
    pub fn question(&mut self) -> id::Question {
        self.next()
    }
}

/// The state of one daemon.
#[derive(Clone, Debug)]
pub struct State {
    /// Its settings.
    pub settings: Settings,
    /// This life of the daemon.
    pub incarnation: id::Incarnation,
    /// Its source of randomness.
    pub random: Random,
    /// Its ids.
    pub counters: Counters,
    /// Whether it is draining.
    pub draining: bool,
    /// When it stops draining whatever is left, on its monotonic clock.
    pub drain_until: Duration,
    /// Whether it has reported itself ready for callers.
    pub ready: bool,
    /// The configuration.
    pub config: config::State,
    /// The other daemons.
    pub member: member::State,
    /// Callers' connections.
    pub session: session::State,
    /// Requests of this entry.
    pub request: request::State,
    /// Rates and bursts.
    pub limit: limit::State,
    /// Servers that this daemon is home of.
    pub home: home::State,
    /// Database groups.
    pub group: group::State,
    /// Anchors of the record.
    pub anchor: record::anchor::State,
    /// Operators' requests.
    pub operation: operation::State,
}

impl State {
    /// The state of a daemon that has just started; `seed` is drawn at random by the shell.
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
