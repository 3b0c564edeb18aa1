//! Callers' connections.

use super::shell::{Happened, Shell, Welcome};
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

/// First size of a connection's buffers; most of a daemon's sessions rest, and hold them meanwhile.
const BUFFER_BYTES: usize = 512;
/// Longest wait for a caller to take an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the caller to close after the daemon did.
const LINGER: Duration = Duration::from_secs(1);
/// Pause after the operating system refused a connection, as when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the process ends.
pub fn listen(listener: TcpListener, shell: Addr<Shell>) {
    actix_rt::spawn(async move {
        let mut session: id::Session = 0;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    session += 1;
                    let (effects, orders) = unbounded_channel();
                    shell.do_send(Welcome { session, effects });
                    actix_rt::spawn(serve(stream, session, orders, shell.clone()));
                }
                Err(error) => {
                    shell.do_send(super::shell::Refused(error));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

async fn serve(
    stream: TcpStream,
    session: id::Session,
    orders: UnboundedReceiver<Effect>,
    shell: Addr<Shell>,
) {
    // A socket that refuses the option only answers later.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let ended = exchange(read, write, session, orders, &shell).await;
    if ended.is_err() || ended.is_ok_and(|closed_here| !closed_here) {
        shell.do_send(Happened(Event::Caller(session, Caller::Closed)));
    }
}

/// Carries messages until either side closes; true when the daemon did.
async fn exchange(
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    session: id::Session,
    mut orders: UnboundedReceiver<Effect>,
    shell: &Addr<Shell>,
) -> io::Result<bool> {
    let mut reader = FramedRead::with_capacity(read, line::Caller::default(), BUFFER_BYTES);
    let mut writer = FramedWrite::with_capacity(write, line::Caller::default(), BUFFER_BYTES);
    loop {
        tokio::select! {
            event = reader.next() => match event.transpose()? {
                Some(event) => shell.do_send(Happened(Event::Caller(session, event))),
                None => return Ok(false),
            },
            order = orders.recv() => match order {
                Some(Effect::Send(replies)) => {
                    timeout(WRITE_TIMEOUT, writer.send(replies)).await??;
                }
                Some(Effect::Close) | None => {
                    writer.close().await?;
                    // Bytes that nobody reads would reset the connection, and lose the last answer.
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
    // The caller has had its time.
    let _ = timeout(LINGER, drained).await;
}
