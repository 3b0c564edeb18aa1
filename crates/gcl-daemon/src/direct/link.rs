//! Streams between daemons, of length-prefixed frames.
//!
//! A frame that cannot be decoded is counted, logged and discarded; the stream stays open.

use super::{
    backend::configure,
    frame,
    shell::{Discarded, LinkEvent, Shell},
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

/// Largest frame in bytes: the largest answer that a host forwards, with its envelope.
const MAX_FRAME_BYTES: usize = 10 << 20;
/// Initial size of a stream's buffers in bytes.
const BUFFER_BYTES: usize = 1024;
/// Longest time to open a stream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time to write frames.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failure to accept a stream.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

/// Distinguishes the successive streams to a host.
pub type Serial = u64;

fn framed(stream: TcpStream) -> io::Result<Stream> {
    configure(&stream)?;
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let mut stream = Framed::new(stream, codec);
    stream.read_buffer_mut().reserve(BUFFER_BYTES);
    Ok(stream)
}

/// Opens a stream to a host and relays requests and responses until either side closes it.
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
                Ok(response) => shell.do_send(LinkEvent {
                    serial: Some(serial),
                    event: Event::Responded(host.clone(), response),
                }),
                Err(detail) => shell.do_send(Discarded(detail)),
            };
            relay(stream, &mut requests, on_response, &shell).await;
            true
        }
        Err(_not_reached) => false,
    };
    let event = Event::Closed { host, was_open };
    shell.do_send(LinkEvent { serial: Some(serial), event });
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
                    let (responses, outgoing) = unbounded_channel();
                    shell.do_send(Accepted { link, responses });
                    actix_rt::spawn(serve(link, stream, outgoing, shell.clone()));
                }
                Err(error) => {
                    shell.do_send(Discarded(format_compact!("stream not accepted: {error}")));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

/// Another daemon has opened a stream.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub struct Accepted {
    /// The stream.
    pub link: Id,
    /// The queue of responses.
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
            Ok(it) => shell.do_send(LinkEvent { serial: None, event: Event::Requested(link, it) }),
            Err(detail) => shell.do_send(Discarded(detail)),
        };
        relay(stream, &mut responses, on_request, &shell).await;
    }
    shell.do_send(LinkEvent { serial: None, event: Event::PeerClosed(link) });
}

/// Relays frames until either side closes the stream.
async fn relay<T: Serialize>(
    mut stream: Stream,
    outgoing: &mut UnboundedReceiver<T>,
    on_frame: impl Fn(&[u8]),
    shell: &Addr<Shell>,
) {
    loop {
        tokio::select! {
            frame = stream.next() => match frame {
                Some(Ok(frame)) => on_frame(&frame),
                Some(Err(_)) | None => return,
            },
            first = outgoing.recv() => {
                let Some(first) = first else {
                    return;
                };
                let sent = timeout(WRITE_TIMEOUT, send(&mut stream, first, outgoing, shell)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            },
        }
    }
}

/// Writes a message and all queued ones with a single flush.
async fn send<T: Serialize>(
    stream: &mut Stream,
    first: T,
    outgoing: &mut UnboundedReceiver<T>,
    shell: &Addr<Shell>,
) -> io::Result<()> {
    let mut next = Some(first);
    while let Some(message) = next {
        match frame::encode(&message, MAX_FRAME_BYTES) {
            Ok(frame) => stream.feed(frame).await?,
            Err(detail) => shell.do_send(Discarded(detail)),
        }
        next = outgoing.try_recv().ok();
    }
    SinkExt::<Bytes>::flush(stream).await
}
