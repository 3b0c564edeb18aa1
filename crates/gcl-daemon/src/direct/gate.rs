//! Sockets of clients within their memory and connection budgets.
//!
//! A gate holds the answers that wait for its clients. It reports what sockets do to the
//! [`budget::Ledger`], which decides, and carries out what is decided. Gate, sockets and the shell
//! run on one thread.

use super::clock::Clock;
use bytes::{Buf, BufMut, BytesMut};
use gcl_direct::budget::{Closing, Id, Ledger, Opening};
use indexmap::IndexMap;
use socket2::SockRef;
use std::{
    cell::{Cell, RefCell},
    io::{self, ErrorKind},
    mem::MaybeUninit,
    rc::Rc,
    time::Duration,
};
use tokio::{io::Interest, net::TcpStream, sync::Notify, time::sleep};

/// Bytes read at once into an empty buffer. An idle client holds no buffer.
const FIRST_READ_BYTES: usize = 2 << 10;
/// Bytes read at once of a longer message.
const READ_BYTES: usize = 64 << 10;
/// Pause until a client that was denied memory is read again.
const DENIED_PAUSE: Duration = Duration::from_millis(100);

/// Descriptors of the process, apart from those reserved for files.
#[derive(Debug)]
pub struct Descriptors {
    /// How many sockets the process may have.
    pub limit: usize,
    /// How many are open.
    pub used: Cell<usize>,
}

impl Descriptors {
    fn free(&self) -> usize {
        self.limit.saturating_sub(self.used.get())
    }

    /// Adds to the open sockets.
    pub fn add(&self, count: usize) {
        self.used.set(self.used.get() + count);
    }

    /// Subtracts from the open sockets.
    pub fn subtract(&self, count: usize) {
        self.used.set(self.used.get().saturating_sub(count));
    }
}

/// How a connection is to be ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// After everything that waits was written.
    Flush,
    /// At once; nothing more is written.
    Abort,
}

/// What waits to be written to a client.
#[derive(Debug, Default)]
struct Outgoing {
    bytes: BytesMut,
    answered: bool,
    end: Option<End>,
}

/// The side of a client's connection that the gate uses.
#[derive(Debug, Default)]
pub struct Client {
    outgoing: RefCell<Outgoing>,
    changed: Notify,
}

impl Client {
    /// How the connection is to be ended, if it is.
    pub fn end(&self) -> Option<End> {
        self.outgoing.borrow().end
    }

    /// Bytes that wait to be written.
    pub fn unsent(&self) -> usize {
        self.outgoing.borrow().bytes.len()
    }

    /// Returns once whether the statement in progress was answered.
    pub fn take_answered(&self) -> bool {
        std::mem::take(&mut self.outgoing.borrow_mut().answered)
    }
}

/// The clients of a kind.
#[derive(Debug)]
pub struct Gate {
    /// The kind, for logs and metrics.
    pub kind: &'static str,
    ledger: RefCell<Ledger>,
    clients: RefCell<IndexMap<Id, Rc<Client>>>,
    closings: RefCell<Vec<Closing>>,
    refused: Cell<u64>,
    descriptors: Rc<Descriptors>,
    clock: Clock,
}

impl Gate {
    /// A gate without clients.
    pub fn new(
        kind: &'static str,
        ledger: Ledger,
        descriptors: Rc<Descriptors>,
        clock: Clock,
    ) -> Self {
        Self {
            kind,
            ledger: RefCell::new(ledger),
            clients: RefCell::default(),
            closings: RefCell::default(),
            refused: Cell::default(),
            descriptors,
            clock,
        }
    }

    fn now(&self) -> Duration {
        self.clock.now().mono
    }

    /// Admits a connection, or refuses it. Whoever is admitted must be ended with [`Self::end`].
    pub fn open(&self, id: Id) -> Option<Rc<Client>> {
        let opening = self.ledger.borrow_mut().open(self.now(), id, self.descriptors.free());
        let Opening::Accepted(replaced) = opening else {
            self.refused.set(self.refused.get() + 1);
            return None;
        };
        self.abort(replaced);
        self.descriptors.add(1);
        let client = Rc::new(Client::default());
        self.clients.borrow_mut().insert(id, Rc::clone(&client));
        Some(client)
    }

    /// Forgets a client whose socket was closed.
    pub fn end(&self, id: Id) {
        self.ledger.borrow_mut().end(id);
        if self.clients.borrow_mut().swap_remove(&id).is_some() {
            self.descriptors.subtract(1);
        }
    }

    /// Notes that a client has logged in.
    pub fn log_in(&self, id: Id) {
        self.ledger.borrow_mut().log_in(id);
    }

    /// Queues what `encode` writes for a client. `answers` says that its statement in progress is
    /// answered with it.
    pub fn send(&self, id: Id, answers: bool, encode: impl FnOnce(&mut BytesMut)) {
        let Some(client) = self.clients.borrow().get(&id).cloned() else {
            return;
        };
        let mut outgoing = client.outgoing.borrow_mut();
        if outgoing.end.is_some() {
            return;
        }
        let before = outgoing.bytes.len();
        encode(&mut outgoing.bytes);
        let bytes = outgoing.bytes.len() - before;
        outgoing.answered |= answers;
        drop(outgoing);
        if answers {
            self.log_in(id);
        }
        client.changed.notify_one();
        let closings = self.ledger.borrow_mut().queue(self.now(), id, bytes);
        self.abort(closings);
    }

    /// Closes a client's connection after what waits for it.
    pub fn close(&self, id: Id) {
        if let Some(client) = self.clients.borrow().get(&id) {
            client.outgoing.borrow_mut().end.get_or_insert(End::Flush);
            client.changed.notify_one();
        }
    }

    /// Closes clients that exceed a limit; returns all that were closed since the last review, and
    /// how many were refused.
    pub fn review(&self) -> (Vec<Closing>, u64) {
        let closings = self.ledger.borrow_mut().review(self.now());
        self.abort(closings);
        self.report();
        (std::mem::take(&mut *self.closings.borrow_mut()), self.refused.take())
    }

    #[expect(clippy::cast_precision_loss, reason = "memory is smaller than 2^52 bytes")]
    fn report(&self) {
        let ledger = self.ledger.borrow();
        let (limits, kind) = (ledger.limits(), self.kind);
        let gauge = |name: &'static str, value: usize| {
            metrics::gauge!(name, "kind" => kind).set(value as f64);
        };
        gauge("gcl_client_memory_bytes", ledger.used());
        gauge("gcl_client_memory_budget_bytes", limits.bytes);
        gauge("gcl_client_connections", ledger.connections());
        gauge("gcl_client_connections_budget", limits.connections);
    }

    fn abort(&self, closings: impl IntoIterator<Item = Closing>) {
        for closing in closings {
            if let Some(client) = self.clients.borrow().get(&closing.id) {
                let mut outgoing = client.outgoing.borrow_mut();
                (outgoing.end, outgoing.bytes) = (Some(End::Abort), BytesMut::new());
                client.changed.notify_one();
            }
            metrics::counter!("gcl_clients_closed", "kind" => self.kind,
                "reason" => closing.reason.name())
            .increment(1);
            self.closings.borrow_mut().push(closing);
        }
    }
}

/// What a socket waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Bytes were received into the buffer.
    Received(usize),
    /// The connection is to be ended, an answer was queued, or bytes were written.
    Changed,
    /// The client closed the connection.
    Closed,
}

/// A client's socket.
#[derive(Debug)]
pub struct Socket {
    /// The client's id.
    pub id: Id,
    /// What the gate has for the client.
    pub client: Rc<Client>,
    /// Bytes that are not decoded yet.
    pub buffer: BytesMut,
    gate: Rc<Gate>,
    stream: TcpStream,
    denied: bool,
}

impl Socket {
    /// A socket of an admitted client.
    pub fn new(stream: TcpStream, id: Id, client: Rc<Client>, gate: Rc<Gate>) -> Self {
        Self { id, client, buffer: BytesMut::new(), gate, stream, denied: false }
    }

    /// Waits until something happens. Unless `receives`, nothing is received, but it is still noticed
    /// when the client closes the connection.
    pub async fn turn(&mut self, receives: bool) -> io::Result<Turn> {
        loop {
            let receives = receives && !self.denied;
            let writes = self.client.unsent() > 0;
            // Priority readiness includes the end of the stream, but not data.
            let mut interest = if receives { Interest::READABLE } else { Interest::PRIORITY };
            if writes {
                interest = interest.add(Interest::WRITABLE);
            }
            let ready = tokio::select! {
                biased;
                () = self.client.changed.notified() => return Ok(Turn::Changed),
                ready = self.stream.ready(interest) => ready?,
                () = sleep(DENIED_PAUSE), if self.denied => {
                    self.denied = false;
                    continue;
                }
            };
            if writes && ready.is_writable() && self.write()? {
                return Ok(Turn::Changed);
            }
            if !receives && ready.is_read_closed() {
                return Ok(Turn::Closed);
            }
            if receives
                && (ready.is_readable() || ready.is_read_closed())
                && let Some(count) = self.read()?
            {
                return Ok(if count == 0 { Turn::Closed } else { Turn::Received(count) });
            }
        }
    }

    /// Reads as much as the budget grants; `None` if there is nothing or it grants nothing.
    fn read(&mut self) -> io::Result<Option<usize>> {
        let wanted =
            if self.buffer.len() < FIRST_READ_BYTES { FIRST_READ_BYTES } else { READ_BYTES };
        let granted = self.gate.ledger.borrow_mut().grant(self.gate.now(), self.id, wanted);
        if granted == 0 {
            return self.deny();
        }
        self.buffer.reserve(granted);
        let read = self.stream.try_read_buf(&mut (&mut self.buffer).limit(granted));
        would_block(read)
    }

    /// Pauses a client that the budget grants nothing, if it has sent something. Readiness alone does
    /// not tell: it stays set after a read that filled its buffer.
    fn deny(&mut self) -> io::Result<Option<usize>> {
        let socket = SockRef::from(&self.stream);
        let mut byte = [MaybeUninit::uninit()];
        let peeked = self.stream.try_io(Interest::READABLE, || socket.peek(&mut byte));
        match would_block(peeked)? {
            Some(0) => Ok(Some(0)),
            Some(_) => {
                self.denied = true;
                Ok(None)
            }
            None => {
                self.gate.ledger.borrow_mut().withdraw(self.gate.now(), self.id);
                Ok(None)
            }
        }
    }

    /// Writes what waits; returns whether bytes were taken.
    fn write(&self) -> io::Result<bool> {
        let mut outgoing = self.client.outgoing.borrow_mut();
        let Some(count) = would_block(self.stream.try_write(&outgoing.bytes))? else {
            return Ok(false);
        };
        outgoing.bytes.advance(count);
        if outgoing.bytes.is_empty() {
            outgoing.bytes = BytesMut::new();
        }
        drop(outgoing);
        self.gate.ledger.borrow_mut().take(self.gate.now(), self.id, count);
        Ok(true)
    }

    /// Reports the bytes that are not handled yet, with those of a message in progress, and whether
    /// the rest of a message is awaited.
    pub fn report(&mut self, new: usize, in_progress: usize, incomplete: bool) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        let unhandled = self.buffer.len() + in_progress;
        let mut ledger = self.gate.ledger.borrow_mut();
        ledger.receive(self.gate.now(), self.id, new, unhandled, incomplete);
    }

    /// Notes that a message was complete.
    pub fn complete(&self) {
        self.gate.ledger.borrow_mut().complete(self.id);
    }

    /// Resets the connection, so that the kernel discards what it holds for the client.
    pub fn reset(&self) {
        // Without the option, the kernel keeps unread answers until they time out.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// The connection.
    pub const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// The connection, once nothing more is to be written by way of the gate.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }
}

fn would_block(result: io::Result<usize>) -> io::Result<Option<usize>> {
    match result {
        Ok(count) => Ok(Some(count)),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}
