//! One caller of the soak test: it records the status of its writes, and checks its reads against
//! them.

use gcl_platform_standin::{
    caller::Caller as Session,
    deployment::{KEY, SERVICE},
};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{sync::watch, time::sleep};

/// The service whose reads may be stale.
const LOOKUP: &str = "lookup";
/// Maximum staleness of these reads, as in the stand-in's configuration.
const LOOKUP_AGE: Duration = Duration::from_millis(1_500);
/// Number of items of one caller.
const ITEMS: usize = 3;
/// Pause between two operations.
const PAUSE: Duration = Duration::from_millis(15);
/// Error codes that guarantee that the statement had no effect.
const NOT_RUN_CODES: [&str; 9] =
    ["AUTHFAIL", "NODB", "MALFORMED", "NOSTMT", "ABORTED", "BEHIND", "READONLY", "TOOMANY", "BUSY"];

/// The rows of a response, or the text of the error.
type Result<T> = std::result::Result<T, String>;

/// Status of a write, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It was acknowledged at this time.
    Acknowledged(Instant),
    /// It had no effect.
    NotRun,
    /// It may or may not have been committed.
    Unknown,
}

/// The writes of a caller with their status, and the reads that contradict them.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Writes of each item by value, in order.
    pub items: IndexMap<String, IndexMap<String, Status>>,
    /// Latencies of the statements that were served.
    pub served: Vec<Duration>,
    /// Number of statements rejected or lost, by error code.
    pub refused: IndexMap<String, u64>,
    /// Reads that returned a value older than the last acknowledged write, or one not written.
    pub anomalies: Vec<Anomaly>,
}

/// A read that violates a guarantee, unless the missing writes were rolled back by a failover.
#[derive(Clone, Debug)]
pub struct Anomaly {
    /// The statement and where it ran.
    pub statement: String,
    /// The item.
    pub item: String,
    /// The value it returned.
    pub seen: Option<String>,
    /// When it started.
    pub began: Instant,
    /// Its maximum staleness.
    pub age: Duration,
}

impl Anomaly {
    /// Describes the violation, if there still is one once the commits rolled back are known. The
    /// read need not return those.
    #[must_use]
    pub fn violation(
        &self,
        writes: &IndexMap<String, Status>,
        rolled_back: &IndexSet<String>,
    ) -> Option<String> {
        let reason = check_read(writes, self.seen.as_deref(), self.began, self.age, rolled_back)?;
        Some(format!("{}, a read of {}, {reason}", self.statement, self.item))
    }
}

/// A caller that reads and writes until it is stopped.
#[derive(Debug)]
pub struct Caller {
    number: usize,
    entries: Vec<SocketAddr>,
    random: StdRng,
    writes: u64,
    history: History,
}

impl Caller {
    /// Creates a caller that connects to random entries (daemons that forward its statements).
    #[must_use]
    pub fn new(seed: u64, number: usize, entries: Vec<SocketAddr>) -> Self {
        let random = StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(number as u64));
        Self { number, entries, random, writes: 0, history: History::default() }
    }

    /// Reads and writes until `stop` is true.
    pub async fn run(mut self, stop: watch::Receiver<bool>) -> History {
        while !*stop.borrow() {
            let lookup = self.random.random_ratio(1, 4);
            let service = if lookup { LOOKUP } else { SERVICE };
            let Some(entry) = self.entries.choose(&mut self.random).copied() else { break };
            if let Ok(mut session) = Session::connect(&entry.to_string(), service, KEY).await {
                self.use_session(&mut session, lookup, &stop).await;
            }
            sleep(PAUSE).await;
        }
        self.history
    }

    /// Runs a random number of operations in a session, or fewer if one fails.
    async fn use_session(
        &mut self,
        session: &mut Session,
        lookup: bool,
        stop: &watch::Receiver<bool>,
    ) {
        let operations = self.random.random_range(1..200);
        for _ in 0..operations {
            if *stop.borrow() {
                return;
            }
            let item = format!("c{}-{}", self.number, self.random.random_range(0..ITEMS));
            let succeeded = match self.random.random_range(0..5) {
                _ if lookup => self.read(session, &item, LOOKUP_AGE).await,
                0 | 1 => self.read(session, &item, Duration::ZERO).await,
                2 => self.write_twice(session, &item).await,
                _ => self.write(session, &item).await,
            };
            if !succeeded {
                return;
            }
            sleep(PAUSE).await;
        }
    }

    fn value(&mut self) -> String {
        self.writes += 1;
        format!("v{}-{}", self.number, self.writes)
    }

    async fn query(&mut self, session: &mut Session, text: &str) -> Result<Vec<String>> {
        let began = Instant::now();
        let response = session.query(text).await.map_err(|error| error.to_string());
        match &response {
            Ok(_) => self.history.served.push(began.elapsed()),
            Err(error) => {
                let code = error.split(' ').next().unwrap_or_default().to_owned();
                *self.history.refused.entry(code).or_default() += 1;
            }
        }
        response
    }

    fn record(&mut self, item: &str, value: &str, status: Status) {
        let item = self.history.items.entry(item.to_owned()).or_default();
        item.insert(value.to_owned(), status);
    }

    async fn write(&mut self, session: &mut Session, item: &str) -> bool {
        let value = self.value();
        let response = self.query(session, &format!("WRITE {item} {value}")).await;
        self.record(item, &value, status_of(&response));
        response.is_ok()
    }

    /// Writes twice in one transaction; either both writes are committed or neither.
    async fn write_twice(&mut self, session: &mut Session, item: &str) -> bool {
        let values = [self.value(), self.value()];
        for value in &values {
            self.record(item, value, Status::NotRun);
        }
        if self.query(session, "BEGIN").await.is_err() {
            return false;
        }
        for value in &values {
            if self.query(session, &format!("WRITE {item} {value}")).await.is_err() {
                return false;
            }
        }
        let response = self.query(session, "COMMIT").await;
        for value in &values {
            self.record(item, value, status_of(&response));
        }
        response.is_ok()
    }

    /// Reads an item. The value must be at least as new as the last write acknowledged `age` ago.
    async fn read(&mut self, session: &mut Session, item: &str, age: Duration) -> bool {
        let began = Instant::now();
        let Ok(rows) = self.query(session, &format!("READ {item}")).await else { return false };
        let none = IndexMap::new();
        let writes = self.history.items.get(item).unwrap_or(&none);
        let seen = rows.into_iter().next();
        if check_read(writes, seen.as_deref(), began, age, &IndexSet::new()).is_some() {
            let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            let service = if age.is_zero() { SERVICE } else { LOOKUP };
            let (id, receipt) = (session.last_id(), session.receipt());
            let statement = format!("statement {id} of {service} at {at} with {receipt}");
            let item = item.to_owned();
            self.history.anomalies.push(Anomaly { statement, item, seen, began, age });
        }
        true
    }
}

fn status_of(response: &Result<Vec<String>>) -> Status {
    match response {
        Ok(_) => Status::Acknowledged(Instant::now()),
        Err(error) if NOT_RUN_CODES.iter().any(|code| error.starts_with(code)) => Status::NotRun,
        Err(_) => Status::Unknown,
    }
}

/// Explains why a read that started at `began` must not return `seen`, or returns `None` if it may.
///
/// A write of unknown status may take effect late, so it may be visible at any time. Writes that
/// were rolled back need not be visible.
#[must_use]
pub fn check_read(
    writes: &IndexMap<String, Status>,
    seen: Option<&str>,
    began: Instant,
    age: Duration,
    rolled_back: &IndexSet<String>,
) -> Option<String> {
    let bound = began.checked_sub(age)?;
    let is_required = |value: &String, status: &Status| {
        matches!(status, Status::Acknowledged(at) if *at <= bound) && !rolled_back.contains(value)
    };
    let required = writes.iter().rposition(|(value, status)| is_required(value, status));
    match seen {
        None => required
            .map(|at| format!("returned nothing, though {:?} was kept", writes.get_index(at))),
        Some(value) => match writes.get_full(value) {
            None => Some(format!("returned {value}, which was never written")),
            Some((_, _, Status::NotRun)) => {
                Some(format!("returned {value}, a write that was not run"))
            }
            Some((_, _, Status::Unknown)) => None,
            Some((at, ..)) => required
                .filter(|required| at < *required)
                .map(|at| format!("returned {value}, though {:?} was kept", writes.get_index(at))),
        },
    }
}

/// Lists contradictions between the servers' final log of an item and the status of its writes.
#[must_use]
pub fn check_log(
    item: &str,
    writes: &IndexMap<String, Status>,
    committed: &[String],
    rolled_back: &IndexSet<String>,
) -> Vec<String> {
    let mut violations = Vec::new();
    for (value, status) in writes {
        let count = committed.iter().filter(|kept| *kept == value).count();
        let allowed = match status {
            Status::Acknowledged(_) => count == 1 || (count == 0 && rolled_back.contains(value)),
            Status::NotRun => count == 0,
            Status::Unknown => count <= 1,
        };
        if !allowed {
            violations
                .push(format!("{value} of {item} was committed {count} times, status {status:?}"));
        }
    }
    let acknowledged =
        |value: &&String| matches!(writes.get(*value), Some(Status::Acknowledged(_)));
    let order: Vec<_> =
        committed.iter().filter(acknowledged).filter_map(|v| writes.get_index_of(v)).collect();
    if !order.is_sorted() {
        violations.push(format!("acknowledged writes of {item} are out of order"));
    }
    violations
}
