//! The table of open connections; limits their number and the replies waiting to be written.

use super::Shared;
use gcl_core::{
    batch::Frame,
    caller::{Effect, Event, Reply},
    code::{Code, Fault, Result},
    id,
    settings::Bounds,
};
use indexmap::IndexMap;
use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::sync::{Notify, mpsc::UnboundedSender};

/// Limit of replies waiting for a slow caller, in answers of the largest size.
const WAITING_ANSWERS: usize = 2;

/// The size of a connection's pending replies, shared by its task and the table.
#[derive(Debug, Default)]
pub struct Gauge {
    /// Size of the replies that wait to be written, in bytes.
    waiting: AtomicUsize,
    /// Notified when the limit is exceeded; the connection then ends immediately.
    pub overrun: Notify,
}

impl Gauge {
    /// Subtracts an effect that the connection's task has received.
    pub fn taken(&self, effect: &Effect) {
        self.waiting.fetch_sub(size(effect), Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct Line {
    address: IpAddr,
    pending: bool,
    sender: UnboundedSender<Effect>,
    gauge: Arc<Gauge>,
}

#[derive(Debug, Default)]
struct Lines {
    sessions: IndexMap<id::Session, Line>,
    addresses: IndexMap<IpAddr, usize>,
    pending: usize,
}

/// The open connections.
#[derive(Debug)]
pub struct Table {
    lines: Mutex<Lines>,
    connections: usize,
    per_address: usize,
    half_open: usize,
    waiting: usize,
}

/// The registration of a connection in the table.
#[derive(Debug)]
pub struct Entry {
    /// The session.
    pub session: id::Session,
    /// The size of the pending replies.
    pub gauge: Arc<Gauge>,
}

impl Table {
    /// An empty table.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            lines: Mutex::default(),
            connections: bounds.connections,
            per_address: bounds.connections_per_address,
            half_open: bounds.half_open,
            waiting: bounds.answer_bytes.saturating_mul(WAITING_ANSWERS),
        }
    }

    fn lines(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.lines().sessions.len()
    }

    /// Registers a connection, unless a limit is reached.
    pub fn enter(
        &self,
        session: id::Session,
        address: IpAddr,
        sender: UnboundedSender<Effect>,
    ) -> Result<Entry> {
        let mut lines = self.lines();
        let refused = |what: &str| Err(Fault::new(Code::TooManyConnections, what));
        if lines.sessions.len() >= self.connections {
            return refused("too many connections");
        }
        if lines.pending >= self.half_open {
            return refused("too many logins under way");
        }
        let count = lines.addresses.entry(address).or_default();
        if *count >= self.per_address {
            return refused("too many connections from this address");
        }
        *count += 1;
        lines.pending += 1;
        let gauge = Arc::new(Gauge::default());
        let line = Line { address, pending: true, sender, gauge: Arc::clone(&gauge) };
        lines.sessions.insert(session, line);
        Ok(Entry { session, gauge })
    }

    /// Sends an effect to a connection; ends the connection if too many bytes are waiting.
    pub fn apply(&self, session: id::Session, effect: Effect) {
        let mut lines = self.lines();
        let Lines { sessions, pending, .. } = &mut *lines;
        let Some(line) = sessions.get_mut(&session) else {
            return;
        };
        if line.pending && welcomes(&effect) {
            line.pending = false;
            *pending -= 1;
        }
        let bytes = size(&effect);
        if line.gauge.waiting.fetch_add(bytes, Ordering::Relaxed) + bytes > self.waiting {
            line.gauge.overrun.notify_one();
            return;
        }
        // Fails if the connection has just ended.
        let _ = line.sender.send(effect);
    }

    fn leave(&self, session: id::Session) {
        let mut lines = self.lines();
        let Some(line) = lines.sessions.swap_remove(&session) else {
            return;
        };
        lines.pending -= usize::from(line.pending);
        if let Some(count) = lines.addresses.get_mut(&line.address) {
            *count -= 1;
            if *count == 0 {
                lines.addresses.swap_remove(&line.address);
            }
        }
    }
}

fn welcomes(effect: &Effect) -> bool {
    matches!(effect, Effect::Send(replies) if replies.contains(&Reply::Welcome))
}

fn size(effect: &Effect) -> usize {
    match effect {
        Effect::Send(replies) => replies.iter().map(reply_size).sum(),
        _ => 0,
    }
}

fn reply_size(reply: &Reply) -> usize {
    match reply {
        Reply::Frames(frames) => {
            frames.iter().map(|frame| frame.body.len() + size_of::<Frame>()).sum()
        }
        _ => size_of::<Reply>(),
    }
}

/// Removes a connection from the table and reports its end on drop, however its task ends.
pub struct Guard {
    shared: Arc<Shared>,
    session: id::Session,
    /// Whether the reducer has been informed of the connection and expects to be told of its end.
    pub opened: bool,
}

impl Guard {
    /// Creates the guard of a registered connection.
    pub const fn new(shared: Arc<Shared>, session: id::Session) -> Self {
        Self { shared, session, opened: false }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shared.table.leave(self.session);
        if self.opened {
            let _ = self.shared.events.send((self.session, Event::Closed));
        }
    }
}
