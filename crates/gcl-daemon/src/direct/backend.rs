//! Connections to backend servers.

use super::shell::{Happened, Shell};
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
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::TcpStream,
    sync::mpsc::UnboundedReceiver,
    time::{Instant, timeout, timeout_at},
};
use tokio_util::codec::Framed;

/// Longest time until a connection is open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without an acknowledgement after which sent bytes end the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between keep-alive probes.
const KEEPALIVE: Duration = Duration::from_secs(2);
/// Probes without an answer that end a connection.
const KEEPALIVE_RETRIES: u32 = 2;

type Result<T> = std::result::Result<T, CompactString>;

/// Opens a connection, and carries commands and answers until it is closed.
pub async fn run(
    connection: id::Connection,
    address: CompactString,
    login: Message,
    mut calls: UnboundedReceiver<Call>,
    shell: Addr<Shell>,
) {
    let ended = tokio::select! {
        ended = exchange(connection, &address, login, &shell) => ended,
        ended = closed_early(&mut calls) => ended,
    };
    let ended = match ended {
        Ok(Some(stream)) => carry(connection, stream, calls, &shell).await,
        Ok(None) => return,
        Err(reason) => Err(reason),
    };
    if let Err(reason) = ended {
        shell.do_send(Happened(Event::Backend(connection, Backend::Closed(reason))));
    }
}

/// Waits for the order to close a connection that is not open yet.
async fn closed_early(calls: &mut UnboundedReceiver<Call>) -> Result<Option<Stream>> {
    while let Some(call) = calls.recv().await {
        if call == Call::Close {
            break;
        }
    }
    Ok(None)
}

type Stream = Framed<TcpStream, line::Server>;

async fn exchange(
    connection: id::Connection,
    address: &str,
    login: Message,
    shell: &Addr<Shell>,
) -> Result<Option<Stream>> {
    let deadline = Instant::now() + OPEN_TIMEOUT;
    let address: SocketAddr = address.parse().map_err(|error| format_compact!("{error}"))?;
    let late = |_elapsed| CompactString::const_new("not open in time");
    let text = |error: std::io::Error| format_compact!("{error}");
    let stream = timeout_at(deadline, TcpStream::connect(address)).await.map_err(late)?;
    let stream = stream.map_err(text)?;
    configure(&stream).map_err(text)?;
    let mut stream = Framed::new(stream, line::Server::default());
    stream.send(login).await.map_err(|error| format_compact!("{error}"))?;
    let first = timeout_at(deadline, stream.next()).await.map_err(late)?;
    match first {
        Some(Ok(event)) => {
            let open = matches!(event, Backend::Opened(_));
            shell.do_send(Happened(Event::Backend(connection, event)));
            Ok(open.then_some(stream))
        }
        Some(Err(error)) => Err(format_compact!("{error}")),
        None => Err("closed before it was open".into()),
    }
}

fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}

async fn carry(
    connection: id::Connection,
    mut stream: Stream,
    mut calls: UnboundedReceiver<Call>,
    shell: &Addr<Shell>,
) -> Result<()> {
    loop {
        tokio::select! {
            event = stream.next() => match event {
                Some(Ok(event)) => shell.do_send(Happened(Event::Backend(connection, event))),
                Some(Err(error)) => return Err(format_compact!("{error}")),
                None => return Err("closed by the server".into()),
            },
            call = calls.recv() => match call {
                Some(Call::Send(command)) => {
                    let sent = timeout(USER_TIMEOUT, stream.send(Message::Command(command))).await;
                    let sent = sent.map_err(|_elapsed| "the server takes no bytes")?;
                    sent.map_err(|error| format_compact!("{error}"))?;
                }
                Some(Call::Open { .. }) => {}
                Some(Call::Close) | None => return Ok(()),
            },
        }
    }
}
