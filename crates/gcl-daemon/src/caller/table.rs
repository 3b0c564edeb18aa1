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
const MAX_PENDING_ANSWERS: usize = 2;

/// The size of a connection's pending replies, shared by its task and the table.
#[derive(Debug, Default)]
pub struct Backlog {
    /// Size of the replies that wait to be written, in bytes.
    pending_bytes: AtomicUsize,
    /// Notified when the limit is exceeded; the connection then ends immediately.
    pub overflow: Notify,
}

impl Backlog {
    /// Subtracts an effect that the connection's task has received.
    pub fn subtract(&self, effect: &Effect) {
        self.pending_bytes.fetch_sub(size(effect), Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct Connection {
    address: IpAddr,
    half_open: bool,
    sender: UnboundedSender<Effect>,
    backlog: Arc<Backlog>,
}

#[derive(Debug, Default)]
struct Connections {
    sessions: IndexMap<id::Session, Connection>,
    addresses: IndexMap<IpAddr, usize>,
    half_open: usize,
}

/// The open connections.
#[derive(Debug)]
pub struct Table {
    connections: Mutex<Connections>,
    max_connections: usize,
    max_per_address: usize,
    max_half_open: usize,
    max_pending_bytes: usize,
}

/// The registration of a connection in the table.
#[derive(Debug)]
pub struct Registration {
    /// The session.
    pub session: id::Session,
    /// The size of the pending replies.
    pub backlog: Arc<Backlog>,
}

impl Table {
    /// An empty table.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            connections: Mutex::default(),
            max_connections: bounds.connections,
            max_per_address: bounds.connections_per_address,
            max_half_open: bounds.half_open,
            max_pending_bytes: bounds.answer_bytes.saturating_mul(MAX_PENDING_ANSWERS),
        }
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.connections().sessions.len()
    }

    /// Registers a connection, unless a limit is reached.
    pub fn register(
        &self,
        session: id::Session,
        address: IpAddr,
        sender: UnboundedSender<Effect>,
    ) -> Result<Registration> {
        let mut connections = self.connections();
        let refused = |what: &str| Err(Fault::new(Code::TooManyConnections, what));
        if connections.sessions.len() >= self.max_connections {
            return refused("too many connections");
        }
        if connections.half_open >= self.max_half_open {
            return refused("too many logins under way");
        }
        let count = connections.addresses.entry(address).or_default();
        if *count >= self.max_per_address {
            return refused("too many connections from this address");
        }
        *count += 1;
        connections.half_open += 1;
        let backlog = Arc::new(Backlog::default());
        let connection =
            Connection { address, half_open: true, sender, backlog: Arc::clone(&backlog) };
        connections.sessions.insert(session, connection);
        Ok(Registration { session, backlog })
    }

    /// Sends an effect to a connection; ends the connection if too many bytes are waiting.
    pub fn apply(&self, session: id::Session, effect: Effect) {
        let mut connections = self.connections();
        let Connections { sessions, half_open, .. } = &mut *connections;
        let Some(connection) = sessions.get_mut(&session) else {
            return;
        };
        if connection.half_open && completes_login(&effect) {
            connection.half_open = false;
            *half_open -= 1;
        }
        let bytes = size(&effect);
        if connection.backlog.pending_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes
            > self.max_pending_bytes
        {
            connection.backlog.overflow.notify_one();
            return;
        }
        // Fails if the connection has just ended.
        let _ = connection.sender.send(effect);
    }

    fn remove(&self, session: id::Session) {
        let mut connections = self.connections();
        let Some(connection) = connections.sessions.swap_remove(&session) else {
            return;
        };
        connections.half_open -= usize::from(connection.half_open);
        if let Some(count) = connections.addresses.get_mut(&connection.address) {
            *count -= 1;
            if *count == 0 {
                connections.addresses.swap_remove(&connection.address);
            }
        }
    }
}

fn completes_login(effect: &Effect) -> bool {
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
    /// Whether the reducer was notified of the connection; if so, its end is reported as well.
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
        self.shared.table.remove(self.session);
        if self.opened {
            let _ = self.shared.events.send((self.session, Event::Closed));
        }
    }
}
