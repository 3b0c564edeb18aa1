//! Fates of recent requests: answers kept for duplicates, and tombstones.
//!
//! An entry whose stream to the home broke asks for a request's fate. A home that never started the
//! request records a tombstone before it says so, and refuses a copy that arrives later. The
//! history is bounded in time, number and bytes; for an older request, or one from before the
//! daemon started, the home answers that it no longer knows.

use super::task;
use crate::{
    code::{Code, Fault},
    effect::Effects,
    id, member, peer, request,
    run::{Answer, Outcome, Run},
    state::State as Daemon,
    time::Now,
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// How long fates are kept.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of fates kept.
const MAX_FATES: usize = 100_000;
/// Maximum number of bytes of answers kept.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Allowance for message delay when ages are compared.
const DELAY_MARGIN: Duration = Duration::from_millis(200);

/// Fate of a request.
#[derive(Clone, Debug)]
enum Fate {
    /// Never started, and will not be.
    Tombstone,
    /// Refused before it started.
    Refused,
    /// Answered; the answer is kept.
    Answered(Box<Answer>),
    /// Answered; the answer is no longer kept.
    Ran,
}

/// A fate with the attempt and the time that it belongs to.
#[derive(Clone, Debug)]
struct Entry {
    at: Duration,
    attempt: u32,
    fate: Fate,
}

/// The fates of recent requests.
#[derive(Clone, Debug, Default)]
pub struct History {
    fates: IndexMap<id::Request, Entry>,
    order: VecDeque<(Duration, id::Request)>,
    answers: VecDeque<(id::Request, usize)>,
    bytes: usize,
    /// Fates of requests submitted after this time have all been kept.
    complete_since: Duration,
}

/// How a received `Run` is to be handled.
#[derive(Clone, Debug)]
pub enum Disposition {
    /// It may run: it repeats no earlier one, or is a later attempt of one that may run again.
    New,
    /// It repeats a request that was answered.
    Answered(Box<Answer>),
    /// It must not run: a late copy.
    Refused,
}

impl History {
    /// Records the answer to a request.
    pub fn record(&mut self, now: Duration, answer: &Answer) {
        let fate = match &answer.outcome {
            Outcome::NotRun(_) => Fate::Refused,
            Outcome::Done { .. } | Outcome::Unknown(_) => {
                let size = size(answer);
                self.bytes += size;
                self.answers.push_back((answer.request, size));
                Fate::Answered(Box::new(answer.clone()))
            }
        };
        self.insert(now, answer.request, answer.attempt, fate);
    }

    fn insert(&mut self, now: Duration, request: id::Request, attempt: u32, fate: Fate) {
        self.fates.insert(request, Entry { at: now, attempt, fate });
        self.order.push_back((now, request));
        self.trim(now);
    }

    fn trim(&mut self, now: Duration) {
        while self.bytes > MAX_ANSWER_BYTES
            && let Some((request, size)) = self.answers.pop_front()
        {
            self.bytes -= size;
            self.discard_answer(request);
        }
        while let Some((at, request)) = self.order.front().copied()
            && (at + RETENTION < now || self.order.len() > MAX_FATES)
        {
            self.order.pop_front();
            self.complete_since = at;
            if self.fates.get(&request).is_some_and(|entry| entry.at == at) {
                self.fates.swap_remove(&request);
            }
        }
        while let Some((request, size)) = self.answers.front().copied()
            && !self.fates.contains_key(&request)
        {
            self.answers.pop_front();
            self.bytes -= size;
        }
    }

    fn discard_answer(&mut self, request: id::Request) {
        if let Some(entry) = self.fates.get_mut(&request)
            && matches!(entry.fate, Fate::Answered(_))
        {
            entry.fate = Fate::Ran;
        }
    }

    /// Compares a `Run` with earlier attempts of its request.
    #[must_use]
    pub fn disposition(&self, run: &Run) -> Disposition {
        let Some(entry) = self.fates.get(&run.request) else {
            return Disposition::New;
        };
        let later = run.attempt > entry.attempt;
        let repeatable = run.repeatable || run.idempotency.is_some();
        let current = run.attempt >= entry.attempt;
        match &entry.fate {
            Fate::Tombstone | Fate::Refused if later => Disposition::New,
            Fate::Answered(answer) if later && repeatable && is_unknown(answer) => Disposition::New,
            Fate::Answered(answer) if current => {
                let answer = Answer { attempt: run.attempt, ..Answer::clone(answer) };
                Disposition::Answered(Box::new(answer))
            }
            Fate::Ran if current => Disposition::Answered(Box::new(expired_answer(run))),
            _ => Disposition::Refused,
        }
    }
}

const fn is_unknown(answer: &Answer) -> bool {
    matches!(answer.outcome, Outcome::Unknown(_))
}

fn size(answer: &Answer) -> usize {
    match &answer.outcome {
        Outcome::Done { frames, .. } => frames.iter().map(|frame| frame.body.len()).sum(),
        Outcome::NotRun(_) | Outcome::Unknown(_) => 0,
    }
}

fn expired_answer(run: &Run) -> Answer {
    let detail = "the request ran; its answer is no longer kept";
    Answer {
        request: run.request,
        attempt: run.attempt,
        server: run.server.clone(),
        outcome: Outcome::Unknown(Fault::new(Code::OutcomeUnknown, detail)),
        leader: None,
    }
}

/// Answers an entry's question about the fate of a request submitted `age` ago.
pub fn on_ask(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    (request, attempt): (id::Request, u32),
    age: Duration,
) {
    let message = if task::redirect_answer(daemon, request, attempt, from) {
        fate(request, request::Fate::Running)
    } else {
        look_up(&mut daemon.home.history, now, (request, attempt), age)
    };
    member::send(daemon, fx, from, message);
}

const fn fate(request: id::Request, fate: request::Fate) -> peer::Message {
    peer::Message::Request(request::Message::Fate { request, fate })
}

fn look_up(
    history: &mut History,
    now: Now,
    (request, attempt): (id::Request, u32),
    age: Duration,
) -> peer::Message {
    match history.fates.get(&request).map(|entry| &entry.fate) {
        Some(Fate::Answered(answer)) => {
            let answer = Answer { attempt, ..Answer::clone(answer) };
            return peer::Message::Answer(Box::new(answer));
        }
        Some(Fate::Ran) => return fate(request, request::Fate::Forgotten),
        None if now.mono < age + history.complete_since + DELAY_MARGIN => {
            return fate(request, request::Fate::Forgotten);
        }
        Some(Fate::Tombstone | Fate::Refused) | None => {}
    }
    history.insert(now.mono, request, attempt, Fate::Tombstone);
    fate(request, request::Fate::NeverSeen)
}
