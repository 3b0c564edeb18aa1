//! The queue for a server's slots: deficit round robin over workspaces.
//!
//! On each turn a workspace's lane earns credit: a quantum of slot time, times its weight. It is
//! charged the estimated slot time of each statement that it starts; [`Queue::settle`] corrects the
//! charge to the time that the statement took. Over any period in which two lanes wait, the slot
//! time that they get per unit of weight differs by at most one quantum and one statement per lane.
//! Statements of open transactions go first, since they hold a connection and locks, and are
//! charged to their workspace's lane.

use crate::id;
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// Slot time that a lane of weight one earns on each turn.
pub const QUANTUM: Duration = Duration::from_millis(1);
/// Estimated slot time of a workspace's first statement.
const INITIAL_COST: Duration = Duration::from_millis(1);
/// Minimum and maximum slot time that a statement is charged, in microseconds.
const COST_RANGE: (i64, i64) = (50, 60_000_000);
/// One lane holds at most this fraction of the queue's bound, as a divisor.
const LANE_DIVISOR: usize = 2;
/// Weight of a new sample in the moving average of slot times, as a divisor.
const AVERAGE_DIVISOR: i64 = 8;

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// The request.
    pub request: id::Request,
    /// Its deadline.
    pub deadline: Duration,
    /// Whether it opens a transaction, which then holds its connection.
    pub begins: bool,
}

/// The requests of one workspace. `credit` and `cost`, the estimated slot time of its next
/// statement, are in microseconds.
#[derive(Clone, Debug)]
struct Lane {
    weight: i64,
    credit: i64,
    cost: i64,
    /// Whether it has earned the credit of the current turn.
    visited: bool,
    items: VecDeque<Item>,
}

impl Lane {
    fn new(weight: u32) -> Self {
        let cost = micros(INITIAL_COST);
        let weight = i64::from(weight.max(1));
        Self { weight, credit: 0, cost, visited: false, items: VecDeque::new() }
    }

    fn quantum(&self) -> i64 {
        micros(QUANTUM) * self.weight
    }
}

/// Result of pushing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// It was queued.
    Queued,
    /// It was queued in place of the newest request of the longest lane.
    Displaced(id::Request),
    /// The queue, or the workspace's share of it, is full.
    Full,
}

/// A bounded queue, fair among workspaces.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    transaction_items: VecDeque<(id::Workspace, u32, Item)>,
    lanes: IndexMap<id::Workspace, Lane>,
    /// The lanes in the order of their turns.
    ring: VecDeque<id::Workspace>,
    len: usize,
}

impl Queue {
    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len + self.transaction_items.len()
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a statement of an open transaction, ahead of all others.
    pub fn push_in_transaction(&mut self, workspace: &id::Workspace, weight: u32, item: Item) {
        self.transaction_items.push_back((workspace.clone(), weight, item));
    }

    /// Adds a request of a workspace to a queue of at most `bound` requests.
    pub fn push(
        &mut self,
        workspace: &id::Workspace,
        weight: u32,
        item: Item,
        bound: usize,
    ) -> Pushed {
        let own = self.lanes.get(workspace).map_or(0, |lane| lane.items.len());
        if own >= (bound / LANE_DIVISOR).max(1) {
            return Pushed::Full;
        }
        let displaced = if self.len >= bound {
            let Some(request) = self.displace(own) else {
                return Pushed::Full;
            };
            Some(request)
        } else {
            None
        };
        let lane = self.lane(workspace, weight);
        lane.items.push_back(item);
        self.len += 1;
        displaced.map_or(Pushed::Queued, Pushed::Displaced)
    }

    fn displace(&mut self, own: usize) -> Option<id::Request> {
        let longest = self.lanes.values_mut().max_by_key(|lane| lane.items.len())?;
        if longest.items.len() <= own + 1 {
            return None;
        }
        let item = longest.items.pop_back()?;
        self.len -= 1;
        Some(item.request)
    }

    fn lane(&mut self, workspace: &id::Workspace, weight: u32) -> &mut Lane {
        if !self.lanes.contains_key(workspace) {
            self.ring.push_back(workspace.clone());
        }
        let lane = self.lanes.entry(workspace.clone()).or_insert_with(|| Lane::new(weight));
        lane.weight = i64::from(weight.max(1));
        lane
    }

    /// Takes the next statement of an open transaction, with its charge.
    pub fn pop_in_transaction(&mut self) -> Option<(Item, Duration)> {
        let (workspace, weight, item) = self.transaction_items.pop_front()?;
        let lane = self.lane(&workspace, weight);
        lane.credit -= lane.cost;
        Some((item, duration(lane.cost)))
    }

    /// Takes the next request in the order of the lanes, with its charge; `may_begin` says whether
    /// a workspace may open another transaction.
    pub fn pop(&mut self, may_begin: impl Fn(&str) -> bool) -> Option<(Item, Duration)> {
        let ready = |name: &id::Workspace, lane: &Lane| {
            lane.items.front().is_some_and(|item| !item.begins || may_begin(name))
        };
        if !self.lanes.iter().any(|(name, lane)| ready(name, lane)) {
            return None;
        }
        loop {
            for _ in 0..self.ring.len() {
                if let Some(taken) = self.serve_front(&ready) {
                    return Some(taken);
                }
            }
            self.skip_rounds(&ready);
        }
    }

    /// Serves the lane at the front, or moves on to the next one when it can start nothing.
    fn serve_front(
        &mut self,
        ready: &impl Fn(&id::Workspace, &Lane) -> bool,
    ) -> Option<(Item, Duration)> {
        let name = self.ring.front()?;
        let lane = self.lanes.get_mut(name)?;
        if !lane.visited {
            lane.visited = true;
            lane.credit += lane.quantum();
        }
        if ready(name, lane) && lane.credit >= lane.cost {
            let item = lane.items.pop_front()?;
            lane.credit -= lane.cost;
            self.len -= 1;
            return Some((item, duration(lane.cost)));
        }
        lane.visited = false;
        if lane.items.is_empty() {
            lane.credit = lane.credit.min(0);
        }
        let spent = lane.items.is_empty() && lane.credit >= 0;
        let name = self.ring.pop_front()?;
        if spent {
            self.lanes.swap_remove(&name);
        } else {
            self.ring.push_back(name);
        }
        None
    }

    /// Credits at once the rounds in which no lane could start anything.
    fn skip_rounds(&mut self, ready: &impl Fn(&id::Workspace, &Lane) -> bool) {
        let rounds_needed = |lane: &Lane| (lane.cost - lane.credit).max(0) / lane.quantum();
        let waiting = self.lanes.iter().filter(|(name, lane)| ready(name, lane));
        let rounds = waiting.map(|(_, lane)| rounds_needed(lane)).min().unwrap_or(0);
        for lane in self.lanes.values_mut() {
            lane.credit += lane.quantum() * rounds;
        }
    }

    /// Corrects a statement's charge to the slot time that it took.
    pub fn settle(
        &mut self,
        workspace: &id::Workspace,
        weight: u32,
        charged: Duration,
        took: Duration,
    ) {
        let took = micros(took).clamp(COST_RANGE.0, COST_RANGE.1);
        let lane = self.lane(workspace, weight);
        lane.credit += micros(charged) - took;
        lane.cost += (took - lane.cost) / AVERAGE_DIVISOR;
        lane.cost = lane.cost.clamp(COST_RANGE.0, COST_RANGE.1);
    }

    /// Refunds the charge for a statement that did not start.
    pub fn refund(&mut self, workspace: &id::Workspace, charged: Duration) {
        if let Some(lane) = self.lanes.get_mut(workspace) {
            lane.credit += micros(charged);
        }
    }

    /// The maximum number of statements that may start before a new one of a workspace.
    #[must_use]
    pub fn max_ahead(&self, workspace: &str, weight: u32) -> usize {
        let own = self.lanes.get(workspace).map_or(0, |lane| lane.items.len());
        let total: i64 = self.lanes.values().map(|lane| lane.weight).sum();
        let weight = i64::from(weight.max(1));
        let others = total - self.lanes.get(workspace).map_or(0, |lane| lane.weight);
        let share = usize::try_from((others + weight) / weight).unwrap_or(usize::MAX);
        self.transaction_items.len() + self.len.min((own + 1).saturating_mul(share))
    }

    /// Removes a request.
    pub fn remove(&mut self, request: id::Request) -> bool {
        let before = self.len();
        self.transaction_items.retain(|(.., item)| item.request != request);
        for lane in self.lanes.values_mut() {
            lane.items.retain(|item| item.request != request);
        }
        self.len = self.lanes.values().map(|lane| lane.items.len()).sum();
        self.len() < before
    }

    /// Removes the requests for which `test` holds.
    pub fn remove_where(&mut self, test: impl Fn(&Item) -> bool) -> Vec<id::Request> {
        let mut taken = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.items.retain(|item| {
                let take = test(item);
                taken.extend(take.then_some(item.request));
                !take
            });
        }
        self.len -= taken.len();
        self.transaction_items.retain(|(.., item)| {
            let take = test(item);
            taken.extend(take.then_some(item.request));
            !take
        });
        taken
    }

    /// Removes the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<id::Request> {
        self.remove_where(|item| item.deadline <= now)
    }

    /// Removes all but the statements of open transactions.
    pub fn clear_lanes(&mut self) -> Vec<id::Request> {
        let first = std::mem::take(&mut self.transaction_items);
        let taken = self.remove_where(|_| true);
        self.transaction_items = first;
        taken
    }

    /// The earliest deadline of a queued request.
    #[must_use]
    pub fn deadline(&self) -> Option<Duration> {
        let first = self.transaction_items.iter().map(|(.., item)| item.deadline);
        let lanes = self.lanes.values().flat_map(|lane| &lane.items);
        first.chain(lanes.map(|item| item.deadline)).min()
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}

const fn duration(micros: i64) -> Duration {
    Duration::from_micros(micros.unsigned_abs())
}
