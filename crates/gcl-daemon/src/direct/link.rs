//! Streams between daemons, of length-prefixed frames.
//!
//! A frame that cannot be decoded is counted, logged and discarded; the stream stays open. Frames
//! are passed to the shell only as fast as it handles them, and no more requests are read while many
//! responses wait for a daemon that does not read them.

use super::{
    backend::configure,
    frame,
    gate::{Client, End, Gate, Socket, Turn},
    shell::{Discarded, LinkEvent, Shell},
};
use actix::{Addr, Message};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use compact_str::{CompactString, format_compact};
use gcl_core::id;
use gcl_direct::{
    budget,
    link::{Event, Id, Request, Response},
};
use serde::Serialize;
use socket2::SockRef;
use std::{io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, timeout},
};

/// Largest response in bytes: the largest answer that a host forwards, with its envelope.
pub const MAX_RESPONSE_BYTES: usize = 10 << 20;
/// Largest request in bytes: a statement of 1 MiB, its parameters, the session's values and its
/// prepared statement, with the envelope.
const MAX_REQUEST_BYTES: usize = 5 << 20;
/// Size of a frame's length in bytes.
const LENGTH_BYTES: usize = 4;
/// Bytes of unread responses beyond which no further requests are read from a stream.
const MAX_UNSENT_BYTES: usize = 1 << 20;
/// Frames of a stream that may wait for the shell at a time.
const MAX_UNHANDLED: usize = 16;
/// Size from which a frame is handled before the next one is decoded, in bytes.
const LARGE_FRAME_BYTES: usize = 64 << 10;
/// Receive buffer of an accepted stream in the kernel. Requests are small, and every other daemon
/// may open one.
const REQUEST_BUFFER_BYTES: usize = 32 << 10;
/// Receive buffer of a stream to a host in the kernel: 60 Mbit/s over 16 ms there and back.
const RESPONSE_BUFFER_BYTES: usize = 128 << 10;
/// Longest time to open a stream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a failure to accept a stream.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Set in the ids of streams that this daemon opened.
const DIALED_BIT: u64 = 1 << 63;

/// Distinguishes the successive streams to a host.
pub type Serial = u64;

/// The id of a stream that this daemon opened.
pub const fn dialed(serial: Serial) -> budget::Id {
    serial | DIALED_BIT
}

/// Encodes a request with its length.
///
/// # Errors
/// It is too large.
pub fn encode_request(request: &Request) -> frame::Result<Bytes> {
    encode(request, MAX_REQUEST_BYTES)
}

/// Encodes a response with its length.
///
/// # Errors
/// It is too large.
pub fn encode_response(response: &Response) -> frame::Result<Bytes> {
    encode(response, MAX_RESPONSE_BYTES)
}

fn encode(message: &impl Serialize, max_bytes: usize) -> frame::Result<Bytes> {
    let body = frame::encode(message, max_bytes)?;
    let length = u32::try_from(body.len()).map_err(|error| format_compact!("{error}"))?;
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.put_u32(length);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Splits the next complete frame off a buffer, without its length.
fn take_frame(buffer: &mut BytesMut, max_bytes: usize) -> io::Result<Option<Bytes>> {
    let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > max_bytes {
        return Err(io::Error::other("a frame is too long"));
    }
    if buffer.len() < LENGTH_BYTES + length {
        // The memory is only used as bytes arrive, and growing in steps would copy them.
        buffer.reserve(LENGTH_BYTES + length - buffer.len());
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    Ok(Some(buffer.split_to(length).freeze()))
}

/// Opens a stream to a host and relays requests and responses until either side closes it.
pub async fn dial(
    host: id::Daemon,
    serial: Serial,
    address: CompactString,
    client: Rc<Client>,
    gate: Rc<Gate>,
    shell: Addr<Shell>,
) {
    let id = dialed(serial);
    gate.log_in(id);
    let was_open = match open(&address).await {
        Ok(stream) => {
            let mut socket = Socket::new(stream, id, client, Rc::clone(&gate));
            let on_frame = async |bytes: Bytes, wait| match frame::decode::<Response>(&bytes) {
                Ok(response) => {
                    let event = Event::Responded(host.clone(), response);
                    deliver(&shell, LinkEvent { serial: Some(serial), event }, wait).await;
                }
                Err(detail) => deliver(&shell, Discarded(detail), wait).await,
            };
            // An error of the socket ends the stream like its end does.
            let _ = relay(&mut socket, MAX_RESPONSE_BYTES, usize::MAX, on_frame).await;
            true
        }
        Err(_not_reached) => false,
    };
    gate.end(id);
    let event = Event::Closed { host, was_open };
    shell.do_send(LinkEvent { serial: Some(serial), event });
}

async fn open(address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    let receive = u32::try_from(RESPONSE_BUFFER_BYTES).map_err(io::Error::other)?;
    socket.set_recv_buffer_size(receive)?;
    let stream = timeout(OPEN_TIMEOUT, socket.connect(address)).await??;
    configure(&stream)?;
    Ok(stream)
}

/// Accepts streams of other daemons until the process ends.
pub fn listen(listener: TcpListener, gate: Rc<Gate>, shell: Addr<Shell>) {
    // Accepted streams inherit the options. Without them, the kernel's defaults hold more.
    let socket = SockRef::from(&listener);
    let _ = socket.set_recv_buffer_size(REQUEST_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(RESPONSE_BUFFER_BYTES);
    actix_rt::spawn(async move {
        let mut link: Id = 0;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    link += 1;
                    // A refused daemon finds its stream closed and tries another host.
                    if let Some(client) = gate.open(link) {
                        let socket = Socket::new(stream, link, client, Rc::clone(&gate));
                        actix_rt::spawn(serve(socket, Rc::clone(&gate), shell.clone()));
                    }
                }
                Err(error) => {
                    shell.do_send(Discarded(format_compact!("stream not accepted: {error}")));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

async fn serve(mut socket: Socket, gate: Rc<Gate>, shell: Addr<Shell>) {
    let link = socket.id;
    if configure(socket.stream()).is_ok() {
        let on_frame = async |bytes: Bytes, wait| match frame::decode::<Request>(&bytes) {
            Ok(request) => {
                gate.log_in(link);
                let event = Event::Requested(link, request);
                deliver(&shell, LinkEvent { serial: None, event }, wait).await;
            }
            Err(detail) => deliver(&shell, Discarded(detail), wait).await,
        };
        // An error of the socket ends the stream like its end does.
        let _ = relay(&mut socket, MAX_REQUEST_BYTES, MAX_UNSENT_BYTES, on_frame).await;
    }
    drop(socket);
    gate.end(link);
    shell.do_send(LinkEvent { serial: None, event: Event::PeerClosed(link) });
}

/// Passes a message to the shell. To `wait` means until it and all before it are handled.
async fn deliver<M>(shell: &Addr<Shell>, message: M, wait: bool)
where
    M: Message<Result = ()> + Send + 'static,
    Shell: actix::Handler<M>,
{
    if wait {
        // The shell stops only when the process exits.
        let _ = shell.send(message).await;
    } else {
        shell.do_send(message);
    }
}

/// Relays frames until either side closes the stream.
async fn relay(
    socket: &mut Socket,
    max_bytes: usize,
    max_unsent: usize,
    on_frame: impl AsyncFn(Bytes, bool),
) -> io::Result<()> {
    let (mut received, mut unhandled) = (0, 0);
    loop {
        let unsent = socket.client.unsent();
        match socket.client.end() {
            Some(End::Abort) => {
                socket.reset();
                return Ok(());
            }
            Some(End::Flush) if unsent == 0 => return Ok(()),
            _ => {}
        }
        let reads = unsent < max_unsent;
        if reads && let Some(frame) = take_frame(&mut socket.buffer, max_bytes)? {
            socket.complete();
            unhandled = (unhandled + 1) % MAX_UNHANDLED;
            let wait = unhandled == 0 || frame.len() >= LARGE_FRAME_BYTES;
            on_frame(frame, wait).await;
            continue;
        }
        socket.report(received, 0, reads && !socket.buffer.is_empty());
        received = match socket.turn(reads).await? {
            Turn::Received(count) => count,
            Turn::Changed => 0,
            Turn::Closed => return Ok(()),
        };
    }
}
