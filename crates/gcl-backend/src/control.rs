//! Control questions, sent over pools of control connections.
//!
//! A connection carries one question at a time and is closed when the answer times out, so that a
//! late answer is never taken for the answer to a later question. Questions that block at the server
//! use a separate pool, so that they do not delay the others.

use crate::{
    answer,
    client::Options,
    login::{self, Purpose},
    wire::{self, Item, Link},
};
use bytes::BytesMut;
use compact_str::{CompactString, ToCompactString, format_compact};
use gcl_core::{
    mark::Mark,
    server::{Ask, Failure, Report, Role},
};
use postgres_protocol::message::frontend;
use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::Semaphore,
    time::{Instant, timeout_at},
};

/// Maximum number of connections to a server for questions that are answered at once.
const PROMPT_CONNECTIONS: usize = 4;
/// Maximum number of connections to a server for questions that block until a mark is reached.
const WAITING_CONNECTIONS: usize = 4;

/// The result of a question.
pub type Result<T> = std::result::Result<T, Failure>;

/// The control connections to one server.
#[derive(Debug)]
pub struct Connections {
    prompt: Pool,
    waiting: Pool,
}

impl Default for Connections {
    fn default() -> Self {
        Self { prompt: Pool::new(PROMPT_CONNECTIONS), waiting: Pool::new(WAITING_CONNECTIONS) }
    }
}

impl Connections {
    /// Sends a question and waits for the report.
    ///
    /// # Errors
    /// The server refused, or its answer was lost.
    pub async fn ask(
        &self,
        options: &Options,
        address: SocketAddr,
        ask: &Ask,
        timeout: Duration,
    ) -> Result<Report> {
        let pool = if matches!(ask, Ask::Await { .. }) { &self.waiting } else { &self.prompt };
        let deadline = Instant::now() + timeout;
        let answer = timeout_at(deadline, pool.ask(options, address, &text(ask))).await;
        answer.unwrap_or_else(|_| Err(Failure::Lost("timeout while waiting for the report".into())))
    }
}

/// A bounded pool of control connections, kept open for reuse.
#[derive(Debug)]
struct Pool {
    permits: Semaphore,
    idle: Mutex<Vec<(SocketAddr, Link)>>,
}

impl Pool {
    fn new(connections: usize) -> Self {
        Self { permits: Semaphore::new(connections), idle: Mutex::default() }
    }

    async fn ask(&self, options: &Options, address: SocketAddr, sql: &str) -> Result<Report> {
        let _permit = self.permits.acquire().await.map_err(lost)?;
        let mut link = match self.take(address) {
            Some(link) => link,
            None => login::open(options, address, Purpose::Control).await.map_err(lost)?.link,
        };
        let result = exchange(&mut link, sql).await?;
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push((address, link));
        result
    }

    /// Takes an idle connection to `address`; drops those that are no longer usable.
    fn take(&self, address: SocketAddr) -> Option<Link> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(other, link)| *other == address && link.is_idle());
        idle.pop().map(|(_, link)| link)
    }
}

/// The question as SQL.
fn text(ask: &Ask) -> CompactString {
    match ask {
        Ask::Status => "SELECT * FROM goldcrest_status()".into(),
        Ask::Await { mark, wait } => {
            let (term, position, wait) = (mark.term, mark.position, wait.as_millis());
            format_compact!("SELECT * FROM goldcrest_await({term}, {position}, {wait})")
        }
        Ask::Fence(term) => format_compact!("SELECT * FROM goldcrest_fence({term})"),
        Ask::Promote(term) => format_compact!("SELECT * FROM goldcrest_promote({term})"),
        Ask::Follow { term, server, address } => {
            let server = server.replace('\'', "''");
            format_compact!("SELECT * FROM goldcrest_follow({term}, '{server}', '{address}')")
        }
    }
}

/// Sends a question on a connection. The outer result is an error if the connection must be closed.
async fn exchange(link: &mut Link, sql: &str) -> Result<Result<Report>> {
    let mut output = BytesMut::new();
    frontend::query(sql, &mut output).map_err(lost)?;
    link.write(&mut output).await.map_err(lost)?;
    let mut result = Err(Failure::Lost("the answer contains no report".into()));
    loop {
        let Item::Frame(frame) = link.read(wire::MAX_MESSAGE_BYTES).await.map_err(lost)? else {
            return Err(Failure::Lost("a message of the answer exceeds the size limit".into()));
        };
        match frame.tag {
            b'Z' => return Ok(result),
            answer::ROW => result = answer::row(&frame).as_deref().map_or(result, parse_report),
            answer::ERROR => {
                let message = answer::error_field(&frame, b'M').unwrap_or_default();
                result = Err(Failure::Lost(message));
            }
            b'T' | b'C' | b'N' | b'S' => {}
            _ => return Err(Failure::Lost("unexpected message in the answer".into())),
        }
    }
}

/// Parses the row of a report: whether the server accepted the question, then the report's fields.
fn parse_report(row: &[Option<CompactString>]) -> Result<Report> {
    let field = |index: usize| row.get(index).and_then(Option::as_deref);
    let number = |index: usize| field(index).and_then(|text| text.parse::<u64>().ok());
    let mark = |index: usize| Some(Mark::new(number(index)?, number(index + 1)?));
    let read = || {
        let role = match field(2)? {
            "primary" => Role::Primary,
            "replica" => Role::Replica,
            _ => return None,
        };
        Some(Report { term: number(1)?, role, received: mark(3)?, applied: mark(5)? })
    };
    let report = read().ok_or_else(|| Failure::Lost("the report is malformed".into()))?;
    if field(0) == Some("t") { Ok(report) } else { Err(Failure::Refused(report)) }
}

fn lost(error: impl std::fmt::Display) -> Failure {
    Failure::Lost(error.to_compact_string())
}
