//! Reads and writes protocol messages on a stream; bounds their length before buffering them.

use bytes::{Buf, BytesMut};
use gcl_core::batch::Frame;
use postgres_protocol::message::backend::{Header, Message};
use socket2::SockRef;
use std::{io, mem::MaybeUninit};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The result of a stream operation.
pub type Result<T> = io::Result<T>;

/// Size of a message's type byte and length field.
const HEADER_BYTES: usize = 5;
/// Buffer space reserved for each read.
const READ_BYTES: usize = 16 * 1024;
/// Maximum length of a message's body, except for the rows of an answer.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// An item read from the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// A complete message.
    Frame(Frame),
    /// The type byte of a message that exceeds the size limit and is being discarded.
    TooLarge(u8),
}

/// A stream of messages. All reads and writes are cancellation safe.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    input: BytesMut,
    /// Bytes still to be received of a message that is being discarded.
    discard: usize,
}

impl Link {
    /// Wraps a connected stream.
    ///
    /// # Errors
    /// The socket option `TCP_NODELAY` cannot be set.
    pub fn new(stream: TcpStream) -> Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, input: BytesMut::new(), discard: 0 })
    }

    /// Reads a message whose body has at most `max_bytes`; a longer one is discarded.
    ///
    /// # Errors
    /// The stream failed or ended, or a message header is malformed.
    pub async fn read(&mut self, max_bytes: usize) -> Result<Item> {
        loop {
            if let Some(item) = self.next_item(max_bytes)? {
                return Ok(item);
            }
            self.input.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn next_item(&mut self, max_bytes: usize) -> Result<Option<Item>> {
        let skipped = self.discard.min(self.input.len());
        self.input.advance(skipped);
        self.discard -= skipped;
        if self.discard > 0 {
            return Ok(None);
        }
        let Some(header) = Header::parse(&self.input)? else {
            return Ok(None);
        };
        let length = usize::try_from(header.len()).map_err(io::Error::other)? - 4;
        if length > max_bytes {
            self.input.advance(HEADER_BYTES);
            self.discard = length;
            return Ok(Some(Item::TooLarge(header.tag())));
        }
        if self.input.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        self.input.advance(HEADER_BYTES);
        let body = self.input.split_to(length).freeze();
        Ok(Some(Item::Frame(Frame { tag: header.tag(), body })))
    }

    /// Reads a message, or sends some of `output` if none is available; `None` after sending.
    ///
    /// # Errors
    /// As for [`Self::read`].
    pub async fn advance(
        &mut self,
        output: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<Item>> {
        loop {
            if let Some(item) = self.next_item(max_bytes)? {
                return Ok(Some(item));
            }
            self.input.reserve(READ_BYTES);
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

    /// Whether the server has closed the stream and no data is left to read.
    ///
    /// Queries the socket directly, since the runtime may not have processed the event yet.
    pub fn is_closed(&self) -> bool {
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Sends all of `output`.
    ///
    /// # Errors
    /// The stream failed.
    pub async fn write(&mut self, output: &mut BytesMut) -> Result<()> {
        self.stream.write_all_buf(output).await
    }

    /// Whether the stream is still open and no data has arrived since the last answer.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let silent = self.stream.try_read(&mut byte);
        self.input.is_empty()
            && silent.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Decodes a message.
///
/// # Errors
/// The message is malformed.
pub fn decode(frame: &Frame) -> Result<Message> {
    let length = u32::try_from(frame.body.len() + 4).map_err(io::Error::other)?;
    let mut bytes = BytesMut::with_capacity(HEADER_BYTES + frame.body.len());
    bytes.extend_from_slice(&[frame.tag]);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&frame.body);
    Message::parse(&mut bytes)?.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
