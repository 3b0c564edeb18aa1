//! One caller: what it was told, and whether what it sees agrees with that.

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

/// The service whose reads may be old.
const LOOKUP: &str = "lookup";
/// How old they may be; the stand-in's configuration says so.
const LOOKUP_AGE: Duration = Duration::from_millis(1_500);
/// Items of one caller.
const ITEMS: usize = 3;
/// Pause between two operations.
const PAUSE: Duration = Duration::from_millis(15);
/// Words that promise that nothing was done.
const PROMISES: [&str; 9] =
    ["AUTHFAIL", "NODB", "MALFORMED", "NOSTMT", "ABORTED", "BEHIND", "READONLY", "TOOMANY", "BUSY"];

/// The rows of an answer, or the words of the refusal.
type Result<T> = std::result::Result<T, String>;

/// What a caller was told of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It was acknowledged, at this time.
    Done(Instant),
    /// Nothing of it was kept.
    NotRun,
    /// Nothing is known.
    Doubt,
}

/// What a caller was told, and what it saw against it.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Writes of each item by value, in order.
    pub items: IndexMap<String, IndexMap<String, Word>>,
    /// Times of statements that were served.
    pub served: Vec<Duration>,
    /// Statements that were refused, by the word of the refusal.
    pub refused: IndexMap<String, u64>,
    /// Reads that showed less than was acknowledged by then.
    pub suspects: Vec<Suspect>,
}

/// A read that breaks a promise, unless what it lacks was rolled back by a takeover.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// The statement and where it ran.
    pub statement: String,
    /// The item.
    pub item: String,
    /// What it showed.
    pub seen: Option<String>,
    /// When it began.
    pub began: Instant,
    /// How old its answer might be.
    pub age: Duration,
}

impl Suspect {
    /// Why the read is wrong, when some commits are known to have been rolled back: it need not show
    /// those.
    #[must_use]
    pub fn fault(
        &self,
        writes: &IndexMap<String, Word>,
        rolled_back: &IndexSet<String>,
    ) -> Option<String> {
        let what = stale(writes, self.seen.as_deref(), self.began, self.age, rolled_back)?;
        Some(format!("{}, a read of {}, {what}", self.statement, self.item))
    }
}

/// A caller that goes on until it is told to stop.
#[derive(Debug)]
pub struct Caller {
    number: usize,
    entries: Vec<SocketAddr>,
    random: StdRng,
    writes: u64,
    account: Account,
}

impl Caller {
    /// A caller that uses any of some entries.
    #[must_use]
    pub fn new(seed: u64, number: usize, entries: Vec<SocketAddr>) -> Self {
        let random = StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(number as u64));
        Self { number, entries, random, writes: 0, account: Account::default() }
    }

    /// Reads and writes until `stop` holds.
    pub async fn run(mut self, stop: watch::Receiver<bool>) -> Account {
        while !*stop.borrow() {
            let lookup = self.random.random_ratio(1, 4);
            let service = if lookup { LOOKUP } else { SERVICE };
            let Some(entry) = self.entries.choose(&mut self.random).copied() else { break };
            if let Ok(mut session) = Session::connect(&entry.to_string(), service, KEY).await {
                self.use_session(&mut session, lookup, &stop).await;
            }
            sleep(PAUSE).await;
        }
        self.account
    }

    /// Uses a session for some operations, or until it fails; open ones are kept as long as they
    /// last.
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
            let good = match self.random.random_range(0..5) {
                _ if lookup => self.read(session, &item, LOOKUP_AGE).await,
                0 | 1 => self.read(session, &item, Duration::ZERO).await,
                2 => self.write_twice(session, &item).await,
                _ => self.write(session, &item).await,
            };
            if !good {
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
        let answer = session.query(text).await.map_err(|error| error.to_string());
        match &answer {
            Ok(_) => self.account.served.push(began.elapsed()),
            Err(error) => {
                let word = error.split(' ').next().unwrap_or_default().to_owned();
                *self.account.refused.entry(word).or_default() += 1;
            }
        }
        answer
    }

    fn note(&mut self, item: &str, value: &str, word: Word) {
        let item = self.account.items.entry(item.to_owned()).or_default();
        item.insert(value.to_owned(), word);
    }

    async fn write(&mut self, session: &mut Session, item: &str) -> bool {
        let value = self.value();
        let answer = self.query(session, &format!("WRITE {item} {value}")).await;
        self.note(item, &value, word_of(&answer));
        answer.is_ok()
    }

    /// Two writes in one transaction: both are kept, or neither.
    async fn write_twice(&mut self, session: &mut Session, item: &str) -> bool {
        let values = [self.value(), self.value()];
        for value in &values {
            self.note(item, value, Word::NotRun);
        }
        if self.query(session, "BEGIN").await.is_err() {
            return false;
        }
        for value in &values {
            if self.query(session, &format!("WRITE {item} {value}")).await.is_err() {
                return false;
            }
        }
        let answer = self.query(session, "COMMIT").await;
        for value in &values {
            self.note(item, value, word_of(&answer));
        }
        answer.is_ok()
    }

    /// Reads an item: what it shows may not be older than the last acknowledged write of `age` ago.
    async fn read(&mut self, session: &mut Session, item: &str, age: Duration) -> bool {
        let began = Instant::now();
        let Ok(rows) = self.query(session, &format!("READ {item}")).await else { return false };
        let none = IndexMap::new();
        let writes = self.account.items.get(item).unwrap_or(&none);
        let seen = rows.into_iter().next();
        if stale(writes, seen.as_deref(), began, age, &IndexSet::new()).is_some() {
            let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            let service = if age.is_zero() { SERVICE } else { LOOKUP };
            let (id, receipt) = (session.last_id(), session.receipt());
            let statement = format!("statement {id} of {service} at {at} with {receipt}");
            let item = item.to_owned();
            self.account.suspects.push(Suspect { statement, item, seen, began, age });
        }
        true
    }
}

fn word_of(answer: &Result<Vec<String>>) -> Word {
    match answer {
        Ok(_) => Word::Done(Instant::now()),
        Err(error) if PROMISES.iter().any(|promise| error.starts_with(promise)) => Word::NotRun,
        Err(_) => Word::Doubt,
    }
}

/// Why a read that began at `began` may not show `seen`, if so.
///
/// A write in doubt may take effect late, so it may show at any time. What was rolled back need not
/// show.
#[must_use]
pub fn stale(
    writes: &IndexMap<String, Word>,
    seen: Option<&str>,
    began: Instant,
    age: Duration,
    rolled_back: &IndexSet<String>,
) -> Option<String> {
    let bound = began.checked_sub(age)?;
    let kept = |value: &String, word: &Word| {
        matches!(word, Word::Done(at) if *at <= bound) && !rolled_back.contains(value)
    };
    let required = writes.iter().rposition(|(value, word)| kept(value, word));
    match seen {
        None => {
            required.map(|at| format!("shows nothing, though {:?} was kept", writes.get_index(at)))
        }
        Some(value) => match writes.get_full(value) {
            None => Some(format!("shows {value}, which nobody wrote")),
            Some((_, _, Word::NotRun)) => Some(format!("shows {value}, which was not run")),
            Some((_, _, Word::Doubt)) => None,
            Some((at, ..)) => required
                .filter(|required| at < *required)
                .map(|at| format!("shows {value}, though {:?} was kept", writes.get_index(at))),
        },
    }
}

/// What the servers' final log of an item says against what its writer was told.
#[must_use]
pub fn audit(
    item: &str,
    writes: &IndexMap<String, Word>,
    committed: &[String],
    rolled_back: &IndexSet<String>,
) -> Vec<String> {
    let mut broken = Vec::new();
    for (value, word) in writes {
        let count = committed.iter().filter(|kept| *kept == value).count();
        let fine = match word {
            Word::Done(_) => count == 1 || (count == 0 && rolled_back.contains(value)),
            Word::NotRun => count == 0,
            Word::Doubt => count <= 1,
        };
        if !fine {
            broken.push(format!("{value} of {item} was committed {count} times, told {word:?}"));
        }
    }
    let done = |value: &&String| matches!(writes.get(*value), Some(Word::Done(_)));
    let order: Vec<_> =
        committed.iter().filter(done).filter_map(|v| writes.get_index_of(v)).collect();
    if !order.is_sorted() {
        broken.push(format!("acknowledged writes of {item} are out of order"));
    }
    broken
}
