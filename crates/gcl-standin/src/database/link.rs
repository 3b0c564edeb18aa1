//! Message I/O of one connection, delayed or dropped according to the faults in force.

use super::{engine::Error, fault::Peer, shared::Shared};
use bytes::BytesMut;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage as Out, PgWireFrontendMessage as In, ProtocolVersion,
    response::ErrorResponse,
};
use std::{io, sync::Arc};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Size in bytes from which a buffered response is sent early.
const FLUSH_THRESHOLD: usize = 256 * 1024;

/// A connection's stream and buffers.
#[derive(Debug)]
pub struct Link {
    /// The kind of peer.
    pub peer: Peer,
    shared: Arc<Shared>,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
}

impl Link {
    /// Wraps a newly accepted stream.
    ///
    /// # Errors
    /// A socket error.
    pub fn new(shared: Arc<Shared>, stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            peer: Peer::Harness,
            shared,
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        })
    }

    /// Expects a startup packet next.
    pub const fn expect_startup(&mut self) {
        self.context.awaiting_frontend_ssl = false;
    }

    /// Expects regular messages from now on.
    pub const fn startup_done(&mut self) {
        self.context.awaiting_frontend_startup = false;
    }

    /// Reads the next message. Returns `None` at the end of the stream.
    ///
    /// # Errors
    /// A socket error, or a malformed message.
    pub async fn next(&mut self) -> io::Result<Option<In>> {
        loop {
            let message = In::decode(&mut self.input, &self.context).map_err(io::Error::other)?;
            if let Some(message) = message {
                self.shared.wait_for_network(self.peer).await;
                return Ok(Some(message));
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Whether input is buffered that may contain another message.
    #[must_use]
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Buffers a message.
    ///
    /// # Errors
    /// The message is too long.
    pub fn buffer(&mut self, message: &Out) -> io::Result<()> {
        message.encode(&mut self.output).map_err(io::Error::other)
    }

    /// Buffers an error message.
    ///
    /// # Errors
    /// The message is too long.
    pub fn buffer_error(&mut self, error: &Error) -> io::Result<()> {
        let severity = if error.code == "53300" { "FATAL" } else { "ERROR" };
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.code.to_owned()),
            (b'M', error.message.clone()),
        ];
        self.buffer(&Out::ErrorResponse(ErrorResponse::new(fields)))
    }

    /// Sends the buffered messages if they exceed a threshold.
    ///
    /// # Errors
    /// A socket error.
    pub async fn flush_if_large(&mut self) -> io::Result<()> {
        if self.output.len() > FLUSH_THRESHOLD { self.flush().await } else { Ok(()) }
    }

    /// Sends the response to a batch, which faults may delay or drop.
    ///
    /// # Errors
    /// A socket error, or the response was dropped by a fault.
    pub async fn send_response(&mut self, committed: bool, control: bool) -> io::Result<()> {
        let dropped = (committed && self.shared.take_loss(|faults| &mut faults.lose_commits))
            || (control
                && self.peer == Peer::Client
                && self.shared.take_loss(|faults| &mut faults.lose_reports));
        if dropped {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let delay = self.shared.faults().late;
        if !delay.is_zero() && self.peer == Peer::Client {
            tokio::time::sleep(delay).await;
        }
        self.flush().await
    }

    /// Sends the buffered messages.
    ///
    /// # Errors
    /// A socket error.
    pub async fn flush(&mut self) -> io::Result<()> {
        self.shared.wait_for_network(self.peer).await;
        self.stream.write_all_buf(&mut self.output).await
    }
}
