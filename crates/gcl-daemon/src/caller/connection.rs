//! One caller's connection: startup, then messages to the reducer and replies to the caller.

use super::{
    Shared,
    codec::{self, Error, Opening},
    table::{Backlog, Guard, Registration},
};
use bytes::BytesMut;
use gcl_core::{
    caller::{Effect, Event, Reply},
    code::{Code, Fault},
    id,
};
use std::{
    future::poll_fn,
    io::{self, Write as _},
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::ready,
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt as _, Empty, Interest, ReadBuf},
    net::TcpStream,
    sync::mpsc::UnboundedReceiver,
    time::{Instant, timeout, timeout_at},
};
use tokio_rustls::server::TlsStream;

/// Size of a read buffer in bytes; it is on the stack, so an idle connection holds none.
const READ_BYTES: usize = 8 << 10;
/// Answer that accepts a request for TLS.
const TLS_ACCEPTED: &[u8] = b"S";
/// Answer that declines a request for encryption.
const ENCRYPTION_DECLINED: &[u8] = b"N";

type Result<T> = io::Result<T>;

trait Stream: AsyncRead + AsyncWrite + Unpin + Send {
    /// The socket below it.
    fn socket(&self) -> Option<&TcpStream>;
}

impl Stream for TcpStream {
    fn socket(&self) -> Option<&TcpStream> {
        Some(self)
    }
}

impl Stream for TlsStream<Box<dyn Stream>> {
    fn socket(&self) -> Option<&TcpStream> {
        self.get_ref().0.socket()
    }
}

/// Stands for the stream while it is wrapped.
impl Stream for Empty {
    fn socket(&self) -> Option<&TcpStream> {
        None
    }
}

/// The transport of a connection and the bytes received but not yet decoded.
struct Connection {
    stream: Box<dyn Stream>,
    buffer: BytesMut,
    encrypted: bool,
}

/// Runs a connection until it ends.
pub async fn run(
    stream: TcpStream,
    address: SocketAddr,
    registration: Registration,
    effects: UnboundedReceiver<Effect>,
    shared: Arc<Shared>,
) {
    let mut guard = Guard::new(Arc::clone(&shared), registration.session);
    let _ = stream.set_nodelay(true);
    let deadline = Instant::now() + Duration::from_millis(shared.bounds.login_ms);
    let mut connection =
        Connection { stream: Box::new(stream), buffer: BytesMut::new(), encrypted: false };
    let opened = timeout_at(deadline, open(&mut connection, &shared)).await;
    let opened = opened.unwrap_or_else(|_elapsed| Err(login_timeout()));
    match opened {
        Ok(Some(startup)) => {
            guard.opened = true;
            let Connection { encrypted, .. } = connection;
            let send = |event| shared.events.send((registration.session, event)).is_ok();
            if send(Event::Opened { address, encrypted }) && send(startup) {
                serve(connection, &registration, effects, &shared).await;
            }
        }
        Ok(None) => {}
        Err(fault) => {
            let refused = Event::Refused { address, code: fault.code };
            let _ = shared.events.send((registration.session, refused));
            let limit = Duration::from_millis(shared.bounds.write_ms);
            let reply = Reply::Error { fault, fatal: true };
            let _ = write(&mut connection, vec![reply], limit).await;
            let _ = timeout(limit, connection.stream.shutdown()).await;
        }
    }
}

fn login_timeout() -> Fault {
    Fault::new(Code::LoginTimeout, "no startup packet came in time")
}

fn connection_lost(_: io::Error) -> Fault {
    Fault::new(Code::Protocol, "the connection was lost while it was opened")
}

/// Handles packets up to the startup packet; `None` if the connection ended or only carried a
/// cancel request.
async fn open(
    connection: &mut Connection,
    shared: &Shared,
) -> std::result::Result<Option<Event>, Fault> {
    loop {
        let opening = codec::take_opening(&mut connection.buffer).map_err(|error| match error {
            Error::Malformed(what) => Fault::new(Code::Protocol, what),
            Error::Oversized(_) => Fault::new(Code::TooLarge, "the startup packet is too large"),
        })?;
        match opening {
            None => {
                if read(&mut connection.stream, &mut connection.buffer)
                    .await
                    .map_err(connection_lost)?
                    == 0
                {
                    return Ok(None);
                }
            }
            Some(Opening::Tls) => encrypt(connection, shared).await?,
            Some(Opening::Gss) => {
                connection.stream.write_all(ENCRYPTION_DECLINED).await.map_err(connection_lost)?;
            }
            Some(Opening::Cancel { process, secret }) => {
                let _ = shared.events.send((0, Event::Cancel { process, secret }));
                return Ok(None);
            }
            Some(Opening::Startup { parameters, negotiate }) => {
                return start(connection, shared, parameters, negotiate).await.map(Some);
            }
        }
    }
}

async fn start(
    connection: &mut Connection,
    shared: &Shared,
    parameters: Vec<(compact_str::CompactString, compact_str::CompactString)>,
    negotiate: Option<Vec<String>>,
) -> std::result::Result<Event, Fault> {
    if shared.encryption_required && !connection.encrypted {
        return Err(Fault::new(Code::EncryptionRequired, "connect with TLS"));
    }
    if let Some(options) = negotiate {
        let mut out = BytesMut::new();
        codec::encode_version(options, &mut out)
            .map_err(|error| Fault::new(Code::Protocol, format!("protocol options: {error}")))?;
        connection.stream.write_all(&out).await.map_err(connection_lost)?;
    }
    Ok(Event::Startup(parameters))
}

async fn encrypt(connection: &mut Connection, shared: &Shared) -> std::result::Result<(), Fault> {
    let Some(acceptor) = shared.tls.as_ref().filter(|_| !connection.encrypted) else {
        return connection.stream.write_all(ENCRYPTION_DECLINED).await.map_err(connection_lost);
    };
    // The handshake does not protect bytes received before it. Left in the buffer, they would be
    // decoded as if they had been sent over TLS.
    if !connection.buffer.is_empty() {
        return Err(Fault::new(Code::Protocol, "bytes came before the TLS handshake"));
    }
    connection.stream.write_all(TLS_ACCEPTED).await.map_err(connection_lost)?;
    let plain = std::mem::replace(&mut connection.stream, Box::new(tokio::io::empty()));
    let stream = acceptor.accept(plain).await.map_err(connection_lost)?;
    connection.stream = Box::new(stream);
    connection.encrypted = true;
    Ok(())
}

/// Passes messages to the reducer and carries out effects until either side ends the connection.
async fn serve(
    mut connection: Connection,
    registration: &Registration,
    mut effects: UnboundedReceiver<Effect>,
    shared: &Shared,
) {
    let limit = Duration::from_millis(shared.bounds.write_ms);
    let (mut reading, mut rejected) = (true, false);
    let mut next = deliver(&mut connection, registration.session, shared);
    loop {
        match next {
            Next::Read => {}
            Next::Reject => (reading, rejected) = (false, true),
            Next::End => return,
        }
        next = Next::Read;
        let partial_message = reading && !connection.buffer.is_empty();
        let stall_deadline = Instant::now() + Duration::from_millis(shared.bounds.read_ms);
        tokio::select! {
            biased;
            () = registration.backlog.overflow.notified() => return,
            effect = effects.recv() => {
                let Some(effect) = effect else { return };
                match apply(&mut connection, &registration.backlog, effect, limit).await {
                    Ok(Some(keep_reading)) => reading = keep_reading,
                    Ok(None) | Err(_) => return,
                }
                if reading {
                    next = deliver(&mut connection, registration.session, shared);
                }
            }
            count = receive(&mut connection, reading), if reading || !rejected => {
                if count.unwrap_or(0) == 0 {
                    return;
                }
                next = deliver(&mut connection, registration.session, shared);
            }
            () = tokio::time::sleep_until(stall_deadline), if partial_message => return,
        }
    }
}

/// Carries out an effect; returns whether to continue reading, or `None` to end the connection.
async fn apply(
    connection: &mut Connection,
    backlog: &Backlog,
    effect: Effect,
    limit: Duration,
) -> Result<Option<bool>> {
    backlog.subtract(&effect);
    match effect {
        Effect::Send(replies) => {
            tokio::select! {
                biased;
                () = backlog.overflow.notified() => return Ok(None),
                written = write(connection, replies, limit) => written?,
            }
            Ok(Some(true))
        }
        Effect::Pause => Ok(Some(false)),
        Effect::Resume => Ok(Some(true)),
        Effect::Close => {
            let _ = timeout(limit, connection.stream.shutdown()).await;
            Ok(None)
        }
    }
}

async fn write(connection: &mut Connection, replies: Vec<Reply>, limit: Duration) -> Result<()> {
    let mut out = BytesMut::new();
    for reply in replies {
        codec::encode(reply, &mut out).map_err(io::Error::other)?;
    }
    let stream = &mut connection.stream;
    let written = timeout(limit, async {
        stream.write_all(&out).await?;
        stream.flush().await
    });
    written.await.unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into()))
}

/// How to continue after delivering messages.
enum Next {
    /// Continue reading.
    Read,
    /// Stop reading; the reducer rejects the message and closes the connection.
    Reject,
    /// End the connection.
    End,
}

/// Decodes the complete messages in the buffer and sends them to the reducer.
fn deliver(connection: &mut Connection, session: id::Session, shared: &Shared) -> Next {
    loop {
        let event = match codec::take_message(&mut connection.buffer, shared.bounds.message_bytes) {
            Ok(Some(event)) => event,
            Ok(None) => break,
            Err(Error::Malformed(what)) => Event::Malformed(what),
            Err(Error::Oversized(bytes)) => Event::Oversized(bytes),
        };
        let next = match event {
            Event::Malformed(_) | Event::Oversized(_) => Next::Reject,
            Event::Terminate => Next::End,
            _ => Next::Read,
        };
        if shared.events.send((session, event)).is_err() {
            return Next::End;
        }
        if !matches!(next, Next::Read) {
            connection.buffer = BytesMut::new();
            return next;
        }
    }
    if connection.buffer.is_empty() {
        connection.buffer = BytesMut::new();
    }
    Next::Read
}

/// Reads available bytes. While the connection is not to be read, waits for its end, so that an open
/// transaction of a caller that leaves is rolled back.
async fn receive(connection: &mut Connection, reading: bool) -> Result<usize> {
    if reading {
        return read(&mut connection.stream, &mut connection.buffer).await;
    }
    if let Some(socket) = connection.stream.socket() {
        // Priority readiness includes the end of the stream, but not data.
        while !socket.ready(Interest::PRIORITY).await?.is_read_closed() {}
    }
    Ok(0)
}

/// Reads available bytes, at most [`READ_BYTES`]; returns their number, zero at the end of the
/// stream.
async fn read(stream: &mut Box<dyn Stream>, buffer: &mut BytesMut) -> Result<usize> {
    poll_fn(|cx| {
        let mut space = [0_u8; READ_BYTES];
        let mut chunk = ReadBuf::new(&mut space);
        ready!(Pin::new(&mut *stream).poll_read(cx, &mut chunk))?;
        buffer.extend_from_slice(chunk.filled());
        std::task::Poll::Ready(Ok(chunk.filled().len()))
    })
    .await
}

/// Sends the reason to a caller that is not admitted, without blocking.
pub fn reject(stream: TcpStream, fault: Fault) {
    let mut out = BytesMut::new();
    let encoded = codec::encode(Reply::Error { fault, fatal: true }, &mut out).is_ok();
    if let Ok(mut stream) = stream.into_std()
        && encoded
    {
        let _ = stream.write(&out);
    }
}
