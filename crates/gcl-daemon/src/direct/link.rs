//! Streams between daemons: frames, each behind its length.
//!
//! A frame that cannot be read is counted, logged and left aside; the stream goes on.

use super::{
    backend::configure,
    frame,
    shell::{Shell, Streamed, Unread},
};
use actix::Addr;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures::{SinkExt, StreamExt};
use gcl_core::id;
use gcl_direct::link::{Event, Id, Request, Response};
use serde::Serialize;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::{sleep, timeout},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame in bytes: the largest answer that a host passes on, and its surroundings.
const MOST_BYTES: usize = 10 << 20;
/// First size of a stream's buffers in bytes.
const BUFFER_BYTES: usize = 1024;
/// Longest time until a stream is open.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest wait for the other side to take a frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after the operating system refused a stream.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

/// Tells one stream to a host from its successor.
pub type Serial = u64;

fn framed(stream: TcpStream) -> io::Result<Stream> {
    configure(&stream)?;
    let codec = LengthDelimitedCodec::builder().max_frame_length(MOST_BYTES).new_codec();
    let mut stream = Framed::new(stream, codec);
    stream.read_buffer_mut().reserve(BUFFER_BYTES);
    Ok(stream)
}

/// Opens a stream to a host and carries questions and answers until either side ends it.
pub async fn dial(
    host: id::Daemon,
    serial: Serial,
    address: CompactString,
    mut requests: UnboundedReceiver<Request>,
    shell: Addr<Shell>,
) {
    let was_open = match open(&address).await {
        Ok(stream) => {
            let on_response = |bytes: &[u8]| match frame::decode::<Response>(bytes) {
                Ok(response) => shell.do_send(Streamed {
                    serial: Some(serial),
                    event: Event::Responded(host.clone(), response),
                }),
                Err(detail) => shell.do_send(Unread(detail)),
            };
            carry(stream, &mut requests, on_response, &shell).await;
            true
        }
        Err(_not_reached) => false,
    };
    let event = Event::Closed { host, was_open };
    shell.do_send(Streamed { serial: Some(serial), event });
}

async fn open(address: &str) -> io::Result<Stream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    framed(timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await??)
}

/// Accepts streams of other daemons until the process ends.
pub fn listen(listener: TcpListener, shell: Addr<Shell>) {
    actix_rt::spawn(async move {
        let mut link: Id = 0;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    link += 1;
                    let (responses, orders) = unbounded_channel();
                    shell.do_send(Joined { link, responses });
                    actix_rt::spawn(serve(link, stream, orders, shell.clone()));
                }
                Err(error) => {
                    shell.do_send(Unread(format_compact!("stream not accepted: {error}")));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

/// Another daemon opened a stream.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub struct Joined {
    /// The stream.
    pub link: Id,
    /// Where answers go.
    pub responses: UnboundedSender<Response>,
}

async fn serve(
    link: Id,
    stream: TcpStream,
    mut responses: UnboundedReceiver<Response>,
    shell: Addr<Shell>,
) {
    if let Ok(stream) = framed(stream) {
        let on_request = |bytes: &[u8]| match frame::decode::<Request>(bytes) {
            Ok(it) => shell.do_send(Streamed { serial: None, event: Event::Requested(link, it) }),
            Err(detail) => shell.do_send(Unread(detail)),
        };
        carry(stream, &mut responses, on_request, &shell).await;
    }
    shell.do_send(Streamed { serial: None, event: Event::PeerClosed(link) });
}

/// Carries frames until either side ends the stream.
async fn carry<T: Serialize>(
    mut stream: Stream,
    orders: &mut UnboundedReceiver<T>,
    heard: impl Fn(&[u8]),
    shell: &Addr<Shell>,
) {
    loop {
        tokio::select! {
            frame = stream.next() => match frame {
                Some(Ok(frame)) => heard(&frame),
                Some(Err(_)) | None => return,
            },
            order = orders.recv() => {
                let Some(order) = order else {
                    return;
                };
                let sent = timeout(WRITE_TIMEOUT, send(&mut stream, order, orders, shell)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            },
        }
    }
}

/// Writes a message, and those that wait behind it, at once.
async fn send<T: Serialize>(
    stream: &mut Stream,
    first: T,
    orders: &mut UnboundedReceiver<T>,
    shell: &Addr<Shell>,
) -> io::Result<()> {
    let mut next = Some(first);
    while let Some(order) = next {
        match frame::encode(&order, MOST_BYTES) {
            Ok(frame) => stream.feed(frame).await?,
            Err(detail) => shell.do_send(Unread(detail)),
        }
        next = orders.try_recv().ok();
    }
    SinkExt::<Bytes>::flush(stream).await
}
