//! The bytes of one connection, held up or lost as the faults in force say.

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

/// Bytes of answer after which a part is sent ahead.
const FLUSH_THRESHOLD: usize = 256 * 1024;

/// A connection's stream and buffers.
#[derive(Debug)]
pub struct Link {
    /// Who is at the other end.
    pub peer: Peer,
    shared: Arc<Shared>,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
}

impl Link {
    /// Wraps a stream that was just accepted.
    ///
    /// # Errors
    /// What the socket reports.
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

    /// Expects ordinary messages from now on.
    pub const fn startup_done(&mut self) {
        self.context.awaiting_frontend_startup = false;
    }

    /// The next message, `None` at the end of the stream.
    ///
    /// # Errors
    /// What the socket reports, or a message that is none.
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

    /// Whether a whole further message may be waiting already.
    #[must_use]
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Adds a message to the answer.
    ///
    /// # Errors
    /// A message that is too long.
    pub fn buffer(&mut self, message: &Out) -> io::Result<()> {
        message.encode(&mut self.output).map_err(io::Error::other)
    }

    /// Adds an error to the answer.
    ///
    /// # Errors
    /// A message that is too long.
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

    /// Sends what has gathered if it is much.
    ///
    /// # Errors
    /// What the socket reports.
    pub async fn flush_if_large(&mut self) -> io::Result<()> {
        if self.output.len() > FLUSH_THRESHOLD { self.flush().await } else { Ok(()) }
    }

    /// Sends the answer to a batch, late or not at all if a fault says so.
    ///
    /// # Errors
    /// What the socket reports, or that the answer was lost.
    pub async fn send_response(&mut self, committed: bool, control: bool) -> io::Result<()> {
        let lost = (committed && self.shared.take_loss(|faults| &mut faults.lose_commits))
            || (control
                && self.peer == Peer::Client
                && self.shared.take_loss(|faults| &mut faults.lose_reports));
        if lost {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let late = self.shared.faults().late;
        if !late.is_zero() && self.peer == Peer::Client {
            tokio::time::sleep(late).await;
        }
        self.flush().await
    }

    /// Sends what has gathered.
    ///
    /// # Errors
    /// What the socket reports.
    pub async fn flush(&mut self) -> io::Result<()> {
        self.shared.wait_for_network(self.peer).await;
        self.stream.write_all_buf(&mut self.output).await
    }
}
