//! The port that callers connect to.
//!
//! The listener translates between the `PostgreSQL` protocol and the reducer's events and effects.
//! The reducer makes all decisions about requests. The listener only enforces the limits that need
//! none of the reducer's state: the number of connections, the size of messages, and the time for
//! a login or a write.

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

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The result of starting the listener.
pub type Result<T> = io::Result<T>;

/// Options for starting the listener.
pub struct Options {
    /// Where to listen.
    pub address: SocketAddr,
    /// Limits on connections and messages.
    pub bounds: Bounds,
    /// TLS configuration, if the settings name a certificate.
    pub tls: Option<Arc<rustls::ServerConfig>>,
    /// Whether connections without TLS are rejected.
    pub encryption_required: bool,
    /// Channel for events to the reducer.
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

/// State shared by all connections.
struct Shared {
    bounds: Bounds,
    tls: Option<TlsAcceptor>,
    encryption_required: bool,
    events: UnboundedSender<(id::Session, Event)>,
    table: Table,
    last_session: AtomicU64,
}

/// A running listener; clones refer to the same one.
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
    /// Binds the address and accepts connections on the current runtime.
    ///
    /// # Errors
    /// The address cannot be bound.
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
            last_session: AtomicU64::new(0),
        });
        tokio::spawn(accept(socket, Arc::clone(&shared), closing));
        Ok(Self { shared, address, open })
    }

    /// The address that the listener is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Carries out an effect on a connection; does nothing if the connection has ended.
    pub fn apply(&self, session: id::Session, effect: Effect) {
        self.shared.table.apply(session, effect);
    }

    /// Closes the port; open connections continue.
    pub fn close_listener(&self) {
        self.open.send_replace(false);
    }

    /// The number of open connections.
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
                tracing::warn!(%error, "cannot accept a caller's connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn admit(stream: TcpStream, address: SocketAddr, shared: &Arc<Shared>) {
    let session = shared.last_session.fetch_add(1, Ordering::Relaxed) + 1;
    let (sender, effects) = tokio::sync::mpsc::unbounded_channel();
    match shared.table.register(session, address.ip(), sender) {
        Ok(registration) => {
            tokio::spawn(connection::run(
                stream,
                address,
                registration,
                effects,
                Arc::clone(shared),
            ));
        }
        Err(fault) => {
            let _ = shared.events.send((session, Event::Refused { address, code: fault.code }));
            connection::reject(stream, fault);
        }
    }
}
