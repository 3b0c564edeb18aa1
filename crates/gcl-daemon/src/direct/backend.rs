//! Connections to backend servers.

use super::{
    gate::Descriptors,
    shell::{Input, Shell},
};
use actix::Addr;
use compact_str::{CompactString, format_compact};
use futures::{SinkExt, StreamExt};
use gcl_core::id;
use gcl_direct::{
    backend::{Call, Event as Backend},
    event::Event,
};
use gcl_platform::line::{self, Message};
use socket2::{SockRef, TcpKeepalive};
use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::mpsc::UnboundedReceiver,
    time::{Instant, timeout, timeout_at},
};
use tokio_util::codec::Framed;

/// Longest time to open a connection, login included.
const OPEN_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which unacknowledged data closes the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between keep-alive probes.
const KEEPALIVE: Duration = Duration::from_secs(2);
/// Unanswered keep-alive probes that close a connection.
const KEEPALIVE_RETRIES: u32 = 2;

/// Why a connection was closed.
struct End {
    reason: CompactString,
    /// Whether the server or its VM closed or refused it; otherwise it timed out.
    answered: bool,
}

impl End {
    fn timed_out(reason: &str) -> Self {
        Self { reason: reason.into(), answered: false }
    }

    fn closed(reason: &str) -> Self {
        Self { reason: reason.into(), answered: true }
    }
}

impl From<io::Error> for End {
    fn from(error: io::Error) -> Self {
        let answered =
            matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset);
        Self { reason: format_compact!("{error}"), answered }
    }
}

impl From<line::Error> for End {
    fn from(error: line::Error) -> Self {
        match error {
            line::Error::Io(error) => error.into(),
            other => Self { reason: format_compact!("{other}"), answered: true },
        }
    }
}

type Result<T> = std::result::Result<T, End>;

/// Opens a connection and relays commands and answers until it is closed; then its descriptor is
/// free again.
pub async fn run(
    connection: id::Connection,
    address: CompactString,
    login: Message,
    calls: UnboundedReceiver<Call>,
    shell: Addr<Shell>,
    descriptors: Rc<Descriptors>,
) {
    run_open(connection, address, login, calls, shell).await;
    descriptors.subtract(1);
}

async fn run_open(
    connection: id::Connection,
    address: CompactString,
    login: Message,
    mut calls: UnboundedReceiver<Call>,
    shell: Addr<Shell>,
) {
    let ended = tokio::select! {
        ended = open(connection, &address, login, &shell) => ended,
        ended = wait_for_close(&mut calls) => ended,
    };
    let ended = match ended {
        Ok(Some(stream)) => relay(connection, stream, calls, &shell).await,
        Ok(None) => return,
        Err(end) => Err(end),
    };
    if let Err(End { reason, answered }) = ended {
        let closed = Backend::Closed { reason, answered };
        shell.do_send(Input(Event::Backend(connection, closed)));
    }
}

/// Waits for the call that closes a connection before it is open.
async fn wait_for_close(calls: &mut UnboundedReceiver<Call>) -> Result<Option<Stream>> {
    while let Some(call) = calls.recv().await {
        if call == Call::Close {
            break;
        }
    }
    Ok(None)
}

type Stream = Framed<TcpStream, line::Server>;

async fn open(
    connection: id::Connection,
    address: &str,
    login: Message,
    shell: &Addr<Shell>,
) -> Result<Option<Stream>> {
    let deadline = Instant::now() + OPEN_TIMEOUT;
    let malformed = |_error| End::closed("the server's address is malformed");
    let address: SocketAddr = address.parse().map_err(malformed)?;
    let timed_out = |_elapsed| End::timed_out("timed out while opening the connection");
    let stream = timeout_at(deadline, TcpStream::connect(address)).await.map_err(timed_out)??;
    configure(&stream)?;
    let mut stream = Framed::new(stream, line::Server::default());
    stream.send(login).await?;
    let first = timeout_at(deadline, stream.next()).await.map_err(timed_out)?;
    match first {
        Some(Ok(event)) => {
            let open = matches!(event, Backend::Opened(_));
            shell.do_send(Input(Event::Backend(connection, event)));
            Ok(open.then_some(stream))
        }
        Some(Err(error)) => Err(error.into()),
        None => Err(End::closed("closed by the server during login")),
    }
}

/// Configures a stream to send small messages without delay and to fail when the peer is silent.
pub fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}

async fn relay(
    connection: id::Connection,
    mut stream: Stream,
    mut calls: UnboundedReceiver<Call>,
    shell: &Addr<Shell>,
) -> Result<()> {
    loop {
        tokio::select! {
            event = stream.next() => match event {
                Some(Ok(event)) => shell.do_send(Input(Event::Backend(connection, event))),
                Some(Err(error)) => return Err(error.into()),
                None => return Err(End::closed("closed by the server")),
            },
            call = calls.recv() => match call {
                Some(Call::Send(command)) => {
                    let sent = timeout(USER_TIMEOUT, stream.send(Message::Command(command))).await;
                    sent.map_err(|_elapsed| End::timed_out("the server takes no bytes"))??;
                }
                Some(Call::Open { .. }) => {}
                Some(Call::Close) | None => return Ok(()),
            },
        }
    }
}
