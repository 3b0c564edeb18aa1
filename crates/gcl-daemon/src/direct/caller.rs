//! Connections of callers.

use super::shell::{Connected, Input, Shell};
use actix::Addr;
use futures::{SinkExt, StreamExt};
use gcl_core::id;
use gcl_direct::{
    caller::{Effect, Event as Caller},
    event::Event,
};
use gcl_platform::line;
use std::{io, time::Duration};
use tokio::{
    io::AsyncReadExt,
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::{sleep, timeout},
};
use tokio_util::codec::{FramedRead, FramedWrite};

/// Initial size of a connection's buffers in bytes; small, as most sessions are idle and keep them.
const BUFFER_BYTES: usize = 512;
/// Longest time to write replies to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the caller to close its side after the daemon has.
const LINGER: Duration = Duration::from_secs(1);
/// Pause after a failure to accept a connection, for instance for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the process ends.
pub fn listen(listener: TcpListener, shell: Addr<Shell>) {
    actix_rt::spawn(async move {
        let mut session: id::Session = 0;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    session += 1;
                    let (effects, outgoing) = unbounded_channel();
                    shell.do_send(Connected { session, effects });
                    actix_rt::spawn(serve(stream, session, outgoing, shell.clone()));
                }
                Err(error) => {
                    shell.do_send(super::shell::AcceptFailed(error));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

async fn serve(
    stream: TcpStream,
    session: id::Session,
    outgoing: UnboundedReceiver<Effect>,
    shell: Addr<Shell>,
) {
    // Without the option, answers are only delayed.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let ended = relay(read, write, session, outgoing, &shell).await;
    if ended.is_err() || ended.is_ok_and(|closed_here| !closed_here) {
        shell.do_send(Input(Event::Caller(session, Caller::Closed)));
    }
}

/// Relays messages until either side closes; returns whether the daemon did.
async fn relay(
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    session: id::Session,
    mut outgoing: UnboundedReceiver<Effect>,
    shell: &Addr<Shell>,
) -> io::Result<bool> {
    let mut reader = FramedRead::with_capacity(read, line::Caller::default(), BUFFER_BYTES);
    let mut writer = FramedWrite::with_capacity(write, line::Caller::default(), BUFFER_BYTES);
    loop {
        tokio::select! {
            event = reader.next() => match event.transpose()? {
                Some(event) => shell.do_send(Input(Event::Caller(session, event))),
                None => return Ok(false),
            },
            effect = outgoing.recv() => match effect {
                Some(Effect::Send(replies)) => {
                    timeout(WRITE_TIMEOUT, writer.send(replies)).await??;
                }
                Some(Effect::Close) | None => {
                    writer.close().await?;
                    // Unread bytes would reset the connection and lose the last answer.
                    linger(reader.into_inner()).await;
                    return Ok(true);
                }
            },
        }
    }
}

async fn linger(mut read: OwnedReadHalf) {
    let mut rest = [0; 1024];
    let drained = async { while read.read(&mut rest).await.is_ok_and(|count| count > 0) {} };
    // The connection is closed in any case, also after a timeout.
    let _ = timeout(LINGER, drained).await;
}
