//! Messages on a stream, read without trust in their lengths.

use bytes::{Buf, BytesMut};
use gcl_core::batch::Frame;
use postgres_protocol::message::backend::{Header, Message};
use socket2::SockRef;
use std::{io, mem::MaybeUninit};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// What the stream returns.
pub type Result<T> = io::Result<T>;

/// Bytes of a message's type and length.
const HEADER: usize = 5;
/// Bytes read at once.
const READ: usize = 16 * 1024;
/// Longest message that is read apart from the rows of an answer, in bytes.
pub const SMALL: usize = 1 << 20;

/// What was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// A whole message.
    Frame(Frame),
    /// A message, by its type byte, that passed the size limit and is being discarded.
    TooLarge(u8),
}

/// A stream of messages. Every method may be dropped at a wait without loss.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    input: BytesMut,
    /// Bytes still to come of a message that is being discarded.
    discard: usize,
}

impl Link {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, input: BytesMut::new(), discard: 0 })
    }

    /// Reads a message whose body has at most `most` bytes; a longer one is discarded.
    pub async fn read(&mut self, most: usize) -> Result<Item> {
        loop {
            if let Some(item) = self.take(most)? {
                return Ok(item);
            }
            self.input.reserve(READ);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, most: usize) -> Result<Option<Item>> {
        let drop = self.discard.min(self.input.len());
        self.input.advance(drop);
        self.discard -= drop;
        if self.discard > 0 {
            return Ok(None);
        }
        let Some(header) = Header::parse(&self.input)? else {
            return Ok(None);
        };
        let length = usize::try_from(header.len()).map_err(io::Error::other)? - 4;
        if length > most {
            self.input.advance(HEADER);
            self.discard = length;
            return Ok(Some(Item::TooLarge(header.tag())));
        }
        if self.input.len() < HEADER + length {
            return Ok(None);
        }
        self.input.advance(HEADER);
        let body = self.input.split_to(length).freeze();
        Ok(Some(Item::Frame(Frame { tag: header.tag(), body })))
    }

    /// Reads a message, or sends some of `output` while none has come; `None` after sending.
    pub async fn advance(&mut self, output: &mut BytesMut, most: usize) -> Result<Option<Item>> {
        loop {
            if let Some(item) = self.take(most)? {
                return Ok(Some(item));
            }
            self.input.reserve(READ);
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                read = reader.read_buf(&mut self.input) => {
                    if read? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                written = writer.write_buf(output), if output.has_remaining() => {
                    written?;
                    return Ok(None);
                }
            }
        }
    }

    /// Whether the other side has hung up and said nothing more.
    ///
    /// Asks the socket itself: the runtime may not have heard of it yet.
    pub fn is_closed(&self) -> bool {
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Sends all of `output`.
    pub async fn write(&mut self, output: &mut BytesMut) -> Result<()> {
        self.stream.write_all_buf(output).await
    }

    /// Whether the other side has said nothing and not hung up since the last answer.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let silent = self.stream.try_read(&mut byte);
        self.input.is_empty()
            && silent.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Reads the body of a message that is not passed on.
pub fn decode(frame: &Frame) -> Result<Message> {
    let length = u32::try_from(frame.body.len() + 4).map_err(io::Error::other)?;
    let mut bytes = BytesMut::with_capacity(HEADER + frame.body.len());
    bytes.extend_from_slice(&[frame.tag]);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&frame.body);
    Message::parse(&mut bytes)?.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
