//! The port that callers connect to.
//!
//! The listener translates between the `PostgreSQL` protocol and the reducer's events and effects.
//! It decides nothing about a request. It only holds connections to the bounds that need no state
//! of the reducer: their number, the size of messages, and the time for a login or a write.

pub mod codec;
mod connection;
mod table;

use gcl_core::{
    caller::{Effect, Event},
    id,
    settings::Bounds,
};
use std::{
    fmt, io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use table::Table;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc::UnboundedSender, watch},
    time::sleep,
};
use tokio_rustls::TlsAcceptor;

/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The outcome of starting the listener.
pub type Result<T> = io::Result<T>;

/// What the listener needs to know.
pub struct Options {
    /// Where to listen.
    pub address: SocketAddr,
    /// Bounds on connections and messages.
    pub bounds: Bounds,
    /// The server's side of TLS, if the settings give a certificate.
    pub tls: Option<Arc<rustls::ServerConfig>>,
    /// Whether a connection without TLS is refused.
    pub encryption_required: bool,
    /// Where events go.
    pub events: UnboundedSender<(id::Session, Event)>,
}

impl fmt::Debug for Options {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Options")
            .field("address", &self.address)
            .field("bounds", &self.bounds)
            .field("tls", &self.tls.is_some())
            .finish_non_exhaustive()
    }
}

/// What the connections share.
struct Shared {
    bounds: Bounds,
    tls: Option<TlsAcceptor>,
    encryption_required: bool,
    events: UnboundedSender<(id::Session, Event)>,
    table: Table,
    last: AtomicU64,
}

/// A running listener; clones share it.
#[derive(Clone)]
pub struct Listener {
    shared: Arc<Shared>,
    address: SocketAddr,
    open: watch::Sender<bool>,
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Listener").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Listener {
    /// Binds the address and accepts callers on the current runtime.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
    pub fn start(options: Options) -> Result<Self> {
        let socket = std::net::TcpListener::bind(options.address)?;
        socket.set_nonblocking(true)?;
        let socket = TcpListener::from_std(socket)?;
        let address = socket.local_addr()?;
        let (open, closing) = watch::channel(true);
        let shared = Arc::new(Shared {
            table: Table::new(&options.bounds),
            bounds: options.bounds,
            tls: options.tls.map(TlsAcceptor::from),
            encryption_required: options.encryption_required,
            events: options.events,
            last: AtomicU64::new(0),
        });
        tokio::spawn(accept(socket, Arc::clone(&shared), closing));
        Ok(Self { shared, address, open })
    }

    /// The address that callers reach.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Carries out an effect on a caller's connection; one that has ended ignores it.
    pub fn act(&self, session: id::Session, effect: Effect) {
        self.shared.table.act(session, effect);
    }

    /// Accepts no further connection and closes the port; open connections live on.
    pub fn close_listener(&self) {
        self.open.send_replace(false);
    }

    /// Connections that are open now.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.table.len()
    }
}

async fn accept(socket: TcpListener, shared: Arc<Shared>, mut closing: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = closing.wait_for(|open| !open) => return,
        };
        match accepted {
            Ok((stream, address)) => admit(stream, address, &shared),
            Err(error) => {
                tracing::warn!(%error, "accepting a caller failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn admit(stream: TcpStream, address: SocketAddr, shared: &Arc<Shared>) {
    let session = shared.last.fetch_add(1, Ordering::Relaxed) + 1;
    let (sender, effects) = tokio::sync::mpsc::unbounded_channel();
    match shared.table.enter(session, address.ip(), sender) {
        Ok(entry) => {
            tokio::spawn(connection::run(stream, address, entry, effects, Arc::clone(shared)));
        }
        Err(fault) => {
            let _ = shared.events.send((session, Event::Refused { address, code: fault.code }));
            connection::turn_away(stream, fault);
        }
    }
}
