//! Memory and connections that clients may use, and which client is closed when they run short.
//!
//! A client is a caller's connection or a stream of another daemon. Each has a guaranteed part of
//! memory, which small messages fit into. Beyond it, clients share one budget. A client that finds
//! the budget used up is not read until there is room; the one whose incomplete message is the
//! oldest may use a reserve for one message of the largest size, so that messages complete one
//! after the other and never block each other.
//!
//! A client is closed if it exceeds a time limit, or under pressure if it holds shared memory that
//! it could release itself by sending the rest of a message or by reading answers. The one that
//! has moved the fewest bytes for what it holds goes first. Clients that wait for this daemon, or
//! that hold no more than their guaranteed part, are never closed under pressure.
//!
//! The module takes plain values; the shell reports what the sockets do and carries out decisions.

use indexmap::IndexMap;
use std::{cmp::Ordering, time::Duration};

/// How long a client waits for memory before another one is closed, and how long a client may take
/// before it counts as slow.
const PRESSURE_AFTER: Duration = Duration::from_millis(500);
/// Age at which a connection without a login may be closed in favor of a new one. Callers log in
/// within 2 s.
const LOGIN_GRACE: Duration = Duration::from_secs(2);
/// Time constant of the decaying rate at which a client moves bytes, in seconds.
const RATE_SECONDS: f64 = 2.0;

/// Identifies a client.
pub type Id = u64;

/// Limits on all clients of a kind together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Shared memory in bytes.
    pub bytes: usize,
    /// Memory that each client may use beside the shared memory, in bytes.
    pub guaranteed: usize,
    /// Size of the largest legal message in bytes.
    pub message: usize,
    /// Memory for a received byte that is not handled yet, as a factor.
    pub copies: usize,
    /// Connections.
    pub connections: usize,
    /// Whether clients may use shared memory before they have logged in.
    pub trusted: bool,
    /// Time limits.
    pub times: Times,
}

/// Time limits of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// From the connection to the login.
    pub login: Duration,
    /// From the first byte of a message to its last, without the time in which it was not read.
    pub message: Duration,
    /// Without a byte taken while answers wait.
    pub stalled: Duration,
    /// From an answer to its last byte taken.
    pub answer: Duration,
}

/// Why a client is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It did not log in.
    NoLogin,
    /// It did not complete a message.
    Incomplete,
    /// It did not read its answers.
    Unread,
    /// It made the least progress when memory ran short.
    Memory,
    /// It had not logged in when connections ran short.
    Connections,
}

impl Reason {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoLogin => "no login",
            Self::Incomplete => "incomplete message",
            Self::Unread => "answers not read",
            Self::Memory => "memory",
            Self::Connections => "connections",
        }
    }
}

/// The decision to close a client, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Closing {
    /// The client.
    pub id: Id,
    /// Why.
    pub reason: Reason,
    /// Its received bytes that are not handled.
    pub received: usize,
    /// Its answers that wait to be written, in bytes.
    pub unsent: usize,
    /// Bytes a second that it moved recently.
    pub rate: f64,
    /// Time since it connected.
    pub age: Duration,
    /// Shared memory in use by all clients when it was chosen, in bytes.
    pub used: usize,
    /// Connections when it was chosen.
    pub connections: usize,
}

/// The answer to a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Opening {
    /// It is accepted, in place of another one if that is given.
    Accepted(Option<Closing>),
    /// It is refused.
    Refused,
}

#[derive(Clone, Debug)]
struct Client {
    since: Duration,
    logged_in: bool,
    received: usize,
    unsent: usize,
    /// When the first byte of an incomplete message arrived.
    began: Option<Duration>,
    /// The same, later by the time in which the client was denied memory.
    incomplete: Option<Duration>,
    /// Since when it has been denied memory.
    denied: Option<Duration>,
    /// When the oldest waiting answers were queued, and how many of their bytes are left.
    oldest: (Duration, usize),
    /// When it last took bytes, or started to have some to take.
    taken: Duration,
    rate: f64,
    rated: Duration,
}

impl Client {
    const fn new(now: Duration) -> Self {
        Self {
            since: now,
            logged_in: false,
            received: 0,
            unsent: 0,
            began: None,
            incomplete: None,
            denied: None,
            oldest: (Duration::ZERO, 0),
            taken: now,
            rate: 0.0,
            rated: now,
        }
    }

    /// The shared memory that it holds.
    const fn shared(&self, limits: &Limits) -> usize {
        let held = self.received * limits.copies + self.unsent;
        held.saturating_sub(limits.guaranteed)
    }

    fn rate(&self, now: Duration) -> f64 {
        let seconds = now.saturating_sub(self.rated).as_secs_f64();
        self.rate * (-seconds / RATE_SECONDS).exp()
    }

    #[expect(clippy::cast_precision_loss, reason = "a client moves far fewer bytes than 2^52")]
    fn moved(&mut self, now: Duration, bytes: usize) {
        self.rate = self.rate(now) + bytes as f64 / RATE_SECONDS;
        self.rated = now;
    }

    /// Excludes the time in which it was denied memory from the time of its message.
    fn shift(&mut self, now: Duration) {
        if let Some(since) = self.denied {
            let denied = now.saturating_sub(since);
            self.incomplete = self.incomplete.map(|since| since + denied);
            self.denied = Some(now);
        }
    }

    /// Whether it holds shared memory by answers that it has not taken.
    const fn owes_reading(&self, limits: &Limits) -> bool {
        self.unsent > limits.guaranteed
    }

    /// Since when it has been able to release memory itself and has not.
    fn at_fault_since(&self, limits: &Limits) -> Option<Duration> {
        let unread = self.owes_reading(limits).then_some(self.oldest.0);
        let incomplete = self.incomplete.filter(|_| self.denied.is_none());
        unread.into_iter().chain(incomplete).min()
    }

    fn expired(&self, now: Duration, times: &Times) -> Option<Reason> {
        let past = |since: Duration, limit: Duration| now.saturating_sub(since) >= limit;
        let unread = self.unsent > 0
            && (past(self.taken, times.stalled) || past(self.oldest.0, times.answer));
        let incomplete = self.incomplete.filter(|_| self.denied.is_none());
        if !self.logged_in && past(self.since, times.login) {
            Some(Reason::NoLogin)
        } else if unread {
            Some(Reason::Unread)
        } else if incomplete.is_some_and(|since| past(since, times.message)) {
            Some(Reason::Incomplete)
        } else {
            None
        }
    }
}

/// What the clients of a kind use.
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: Limits,
    clients: IndexMap<Id, Client>,
    used: usize,
}

impl Ledger {
    /// A ledger without clients.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { limits, clients: IndexMap::new(), used: 0 }
    }

    /// Its limits.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Shared memory in use, in bytes.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Number of clients.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.clients.len()
    }

    /// Decides on a new connection; `free` is how many descriptors are left for these clients.
    pub fn open(&mut self, now: Duration, id: Id, free: usize) -> Opening {
        let mut replaced = None;
        if self.clients.len() >= self.limits.connections || free == 0 {
            let idle = self.clients.iter().filter(|(_, client)| {
                !client.logged_in && now.saturating_sub(client.since) >= LOGIN_GRACE
            });
            let Some(oldest) = idle.min_by_key(|(_, it)| it.since).map(|(id, _)| *id) else {
                return Opening::Refused;
            };
            replaced = self.close(now, oldest, Reason::Connections);
        }
        self.clients.insert(id, Client::new(now));
        Opening::Accepted(replaced)
    }

    /// Removes a client whose connection ended.
    pub fn end(&mut self, id: Id) {
        self.update(id, |client| (client.received, client.unsent) = (0, 0));
        self.clients.swap_remove(&id);
    }

    /// Notes that a client has logged in.
    pub fn log_in(&mut self, id: Id) {
        self.update(id, |client| client.logged_in = true);
    }

    /// How many of the `wanted` bytes may be read from a client now.
    pub fn grant(&mut self, now: Duration, id: Id, wanted: usize) -> usize {
        let Limits { bytes, guaranteed, message, copies, trusted, .. } = self.limits;
        let Some(client) = self.clients.get(&id) else {
            return 0;
        };
        let own = guaranteed.saturating_sub(client.received * copies + client.unsent) / copies;
        let left = bytes.saturating_sub(self.used);
        let shares = client.logged_in || trusted;
        let mut granted = own;
        if granted < wanted && shares {
            granted += left.saturating_sub(message * copies) / copies;
        }
        if granted < wanted && shares && self.is_oldest(id) {
            granted = own + left / copies;
        }
        let granted = wanted.min(granted);
        self.update(id, |client| match (granted, client.denied) {
            (0, None) => client.denied = Some(now),
            (0, Some(_)) | (_, None) => {}
            (_, Some(_)) => {
                client.shift(now);
                client.denied = None;
            }
        });
        granted
    }

    /// Notes that a client that was denied memory had sent nothing more after all.
    pub fn withdraw(&mut self, now: Duration, id: Id) {
        self.update(id, |client| {
            client.shift(now);
            client.denied = None;
        });
    }

    /// Whether a client's incomplete message is the oldest.
    fn is_oldest(&self, id: Id) -> bool {
        let shares = |client: &Client| client.logged_in || self.limits.trusted;
        let incomplete = self.clients.iter().filter(|(_, client)| shares(client));
        let incomplete = incomplete.filter_map(|(id, it)| it.began.map(|since| (since, *id)));
        incomplete.min().is_none_or(|(_, oldest)| oldest == id)
    }

    /// Notes what a client has sent that is not handled, of which `new` bytes have just arrived,
    /// and whether it is waited for the rest of a message.
    pub fn receive(
        &mut self,
        now: Duration,
        id: Id,
        new: usize,
        unhandled: usize,
        incomplete: bool,
    ) {
        self.update(id, |client| {
            if new > 0 {
                client.moved(now, new);
            }
            client.received = unhandled;
            client.began = incomplete.then(|| client.began.unwrap_or(now));
            client.incomplete = incomplete.then(|| client.incomplete.unwrap_or(now));
            if !incomplete {
                client.denied = None;
            }
        });
    }

    /// Starts the time limit for a message anew, since an earlier one of the client was complete.
    pub fn complete(&mut self, id: Id) {
        self.update(id, |client| (client.began, client.incomplete) = (None, None));
    }

    /// Notes answers that wait for a client, and closes clients that hold many while memory is
    /// exceeded. Small answers may exceed it by the guaranteed parts.
    #[must_use]
    pub fn queue(&mut self, now: Duration, id: Id, bytes: usize) -> Vec<Closing> {
        self.update(id, |client| {
            if client.unsent == 0 {
                client.oldest = (now, bytes);
                client.taken = now;
            }
            client.unsent += bytes;
        });
        let (limits, mut closings) = (self.limits, Vec::new());
        while self.used > self.limits.bytes {
            let Some(id) = self.slowest(now, |client| client.owes_reading(&limits)) else {
                break;
            };
            closings.extend(self.close(now, id, Reason::Memory));
        }
        closings
    }

    /// Notes that a client took bytes.
    pub fn take(&mut self, now: Duration, id: Id, bytes: usize) {
        self.update(id, |client| {
            client.moved(now, bytes);
            client.unsent = client.unsent.saturating_sub(bytes);
            client.taken = now;
            client.oldest.1 = client.oldest.1.saturating_sub(bytes);
            if client.oldest.1 == 0 {
                client.oldest = (now, client.unsent);
            }
        });
    }

    /// Closes clients that exceed a time limit, and one if another has waited for memory.
    #[must_use]
    pub fn review(&mut self, now: Duration) -> Vec<Closing> {
        let times = self.limits.times;
        let expired = self.clients.iter();
        let expired = expired.filter_map(|(id, it)| it.expired(now, &times).map(|why| (*id, why)));
        let expired: Vec<_> = expired.collect();
        let mut closings = Vec::new();
        for (id, reason) in expired {
            closings.extend(self.close(now, id, reason));
        }
        let waited = |since: Duration| now.saturating_sub(since) >= PRESSURE_AFTER;
        // Who gets no shared memory does not wait for it.
        let shares = |client: &&Client| client.logged_in || self.limits.trusted;
        let mut clients = self.clients.values().filter(shares);
        if closings.is_empty() && clients.any(|it| it.denied.is_some_and(waited)) {
            let limits = self.limits;
            let slow = |it: &Client| it.at_fault_since(&limits).is_some_and(waited);
            let slowest = self.slowest(now, slow);
            closings.extend(slowest.and_then(|id| self.close(now, id, Reason::Memory)));
            self.restart_waits(now);
        }
        closings
    }

    /// Lets those who wait for memory try again before another client is closed for them.
    fn restart_waits(&mut self, now: Duration) {
        for client in self.clients.values_mut() {
            client.shift(now);
        }
    }

    /// The client that has moved the fewest bytes for the shared memory that it holds. One that has
    /// had no time to do so yet comes last.
    fn slowest(&self, now: Duration, eligible: impl Fn(&Client) -> bool) -> Option<Id> {
        let holding =
            self.clients.iter().filter(|(_, it)| it.shared(&self.limits) > 0 && eligible(it));
        let ranked = holding.map(|(id, client)| {
            let since = client.at_fault_since(&self.limits).unwrap_or(now);
            let is_new = now.saturating_sub(since) < PRESSURE_AFTER;
            #[expect(clippy::cast_precision_loss, reason = "memory is smaller than 2^52 bytes")]
            let progress = client.rate(now) / client.shared(&self.limits) as f64;
            (is_new, progress, since, *id)
        });
        let order = |a: &(bool, f64, Duration, Id), b: &(bool, f64, Duration, Id)| -> Ordering {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then((a.2, a.3).cmp(&(b.2, b.3)))
        };
        ranked.min_by(order).map(|(_, _, _, id)| id)
    }

    fn update(&mut self, id: Id, change: impl FnOnce(&mut Client)) {
        let limits = self.limits;
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        self.used -= client.shared(&limits);
        change(client);
        self.used += client.shared(&limits);
    }

    fn close(&mut self, now: Duration, id: Id, reason: Reason) -> Option<Closing> {
        let client = self.clients.get(&id)?;
        let closing = Closing {
            id,
            reason,
            received: client.received,
            unsent: client.unsent,
            rate: client.rate(now),
            age: now.saturating_sub(client.since),
            used: self.used,
            connections: self.clients.len(),
        };
        self.end(id);
        Some(closing)
    }
}
