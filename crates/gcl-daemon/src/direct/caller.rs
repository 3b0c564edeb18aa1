//! Connections of callers.
//!
//! A caller's statements are passed to the reducer one at a time. Those that it sends ahead stay as
//! bytes, up to a bound, and beyond it in the caller's own socket.

use super::{
    gate::{End, Gate, Socket, Turn},
    shell::{Input, Shell},
};
use actix::Addr;
use bytes::BytesMut;
use gcl_core::{
    code::{Code, Fault},
    id,
};
use gcl_direct::{
    caller::{Event as Caller, Reply},
    event::Event,
};
use gcl_platform::line::{self, MAX_MESSAGE_BYTES};
use socket2::SockRef;
use std::{io, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::codec::{Decoder, Encoder};

/// Bytes of statements that are received ahead of answers, enough for 64 of 1 KiB.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// Bytes of unread answers beyond which the next statement waits.
const MAX_UNSENT_BYTES: usize = 64 << 10;
/// Receive buffer of a connection in the kernel, which doubles the value for its own overhead.
pub const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
/// Send buffer of a connection in the kernel; holds several usual answers.
pub const SEND_BUFFER_BYTES: usize = 16 << 10;
/// Time after which the kernel closes a connection whose caller takes none of its send buffer, which
/// the daemon does not see.
const USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for the caller to close its side after the daemon has.
const LINGER: Duration = Duration::from_secs(1);
/// Pause after a failure to accept a connection, for instance for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Retry-after for a caller that is refused for lack of connections.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Accepts callers until the process ends.
pub fn listen(listener: TcpListener, gate: Rc<Gate>, shell: Addr<Shell>) {
    // Accepted connections inherit the options. Without them, the kernel's defaults hold more.
    let socket = SockRef::from(&listener);
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    actix_rt::spawn(async move {
        let mut session: id::Session = 0;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    session += 1;
                    let Some(client) = gate.open(session) else {
                        refuse(&stream);
                        continue;
                    };
                    // Without the option, answers are only delayed.
                    let _ = stream.set_nodelay(true);
                    let socket = Socket::new(stream, session, client, Rc::clone(&gate));
                    actix_rt::spawn(serve(socket, Rc::clone(&gate), shell.clone()));
                }
                Err(error) => {
                    shell.do_send(super::shell::AcceptFailed(error));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

/// Tells a caller that is not accepted to retry later, without waiting for it.
fn refuse(stream: &TcpStream) {
    let fault = Fault::new(Code::TooManyConnections, "the daemon has no free connection");
    let mut bytes = BytesMut::new();
    encode(vec![Reply::Error(fault.retry_after(FULL_RETRY_AFTER))], &mut bytes);
    // A new socket's buffer is empty, so the line fits or the connection has failed.
    let _ = stream.try_write(&bytes);
}

/// Encodes replies for a caller.
pub fn encode(replies: Vec<Reply>, buffer: &mut BytesMut) {
    // Encoding into memory does not fail.
    let _ = line::Caller::default().encode(replies, buffer);
}

async fn serve(mut socket: Socket, gate: Rc<Gate>, shell: Addr<Shell>) {
    let session = socket.id;
    let ended = relay(&mut socket, &shell).await;
    if matches!(ended, Ok(true)) {
        close(socket).await;
    } else {
        drop(socket);
        shell.do_send(Input(Event::Caller(session, Caller::Closed)));
    }
    gate.end(session);
}

/// Relays messages until either side closes; returns whether the daemon did, after its last answer.
async fn relay(socket: &mut Socket, shell: &Addr<Shell>) -> io::Result<bool> {
    let mut codec = line::Caller::default();
    let mut in_progress = None;
    let mut received = 0;
    loop {
        let unsent = socket.client.unsent();
        match socket.client.end() {
            Some(End::Abort) => {
                socket.reset();
                return Ok(false);
            }
            Some(End::Flush) if unsent == 0 => return Ok(true),
            _ => {}
        }
        if socket.client.take_answered() {
            in_progress = None;
        }
        let open = socket.client.end().is_none();
        let mut awaits = open && in_progress.is_none() && unsent < MAX_UNSENT_BYTES;
        if awaits {
            let before = socket.buffer.len();
            if let Some(event) = codec.decode(&mut socket.buffer)? {
                if event == Caller::Closed {
                    return Ok(false);
                }
                in_progress = Some(before - socket.buffer.len());
                awaits = false;
                socket.complete();
                shell.do_send(Input(Event::Caller(socket.id, event)));
            }
        }
        let incomplete = awaits && !socket.buffer.is_empty();
        socket.report(received, in_progress.unwrap_or(0), incomplete);
        let limit = if awaits { MAX_MESSAGE_BYTES } else { READ_AHEAD_BYTES };
        let reads = open && socket.buffer.len() < limit;
        received = match socket.turn(reads).await? {
            Turn::Received(count) => count,
            Turn::Changed => 0,
            Turn::Closed => return Ok(false),
        };
    }
}

/// Closes a connection from this side; unread bytes would reset it and lose the last answer.
async fn close(socket: Socket) {
    let mut stream = socket.into_stream();
    let mut rest = [0; 1024];
    let drained = async {
        if stream.shutdown().await.is_ok() {
            while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {}
        }
    };
    // The connection is closed in any case, also after a timeout.
    let _ = timeout(LINGER, drained).await;
}
