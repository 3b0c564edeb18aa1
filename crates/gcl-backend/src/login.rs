//! Opens connections and logs in.

use crate::{
    answer,
    client::Options,
    wire::{self, Item, Link},
};
use bytes::BytesMut;
use gcl_core::mark::Mark;
use postgres_protocol::message::{backend::Message, frontend};
use std::{io, net::SocketAddr};
use tokio::{net::TcpStream, time::timeout};

/// SQLSTATE of a server that is at its connection limit.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Why no connection was opened.
#[derive(Debug)]
pub enum Error {
    /// The server is at its connection limit.
    Full,
    /// Any other error.
    Failed(io::Error),
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Failed(error)
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Full => f.write_str("the server is at its connection limit"),
            Self::Failed(error) => error.fmt(f),
        }
    }
}

/// The result of opening a connection.
pub type Result<T> = std::result::Result<T, Error>;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Runs callers' statements.
    Data,
    /// Sends control questions; not counted against the server's connection limit.
    Control,
}

/// Key that identifies a connection in a cancel request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CancelKey {
    /// The server's process id.
    pub process: i32,
    /// The secret of that process.
    pub secret: i32,
}

/// An open connection.
#[derive(Debug)]
pub struct Login {
    /// The connection.
    pub link: Link,
    /// The key for cancel requests.
    pub key: CancelKey,
    /// The mark that the server reported at login, if any.
    pub mark: Option<Mark>,
}

/// Opens a connection.
///
/// # Errors
/// The server refused, or did not complete the login within the timeout of the options.
pub async fn open(options: &Options, address: SocketAddr, purpose: Purpose) -> Result<Login> {
    let login = timeout(options.open_timeout, login(options, address, purpose)).await;
    login.unwrap_or_else(|_| Err(Error::Failed(io::ErrorKind::TimedOut.into())))
}

async fn login(options: &Options, address: SocketAddr, purpose: Purpose) -> Result<Login> {
    let mut link = Link::new(TcpStream::connect(address).await?)?;
    let mut parameters = vec![
        ("user", options.user.as_str()),
        ("database", options.database.as_str()),
        ("application_name", "goldcrestd"),
        ("client_encoding", "UTF8"),
    ];
    if purpose == Purpose::Control {
        parameters.push(("goldcrest.control", "on"));
    }
    let mut output = BytesMut::new();
    frontend::startup_message(parameters, &mut output)?;
    link.write(&mut output).await?;
    let mut login = Login { link, key: CancelKey::default(), mark: None };
    while !on_startup_message(&mut login).await? {}
    Ok(login)
}

/// Handles one message of the startup phase; returns true at `ReadyForQuery`.
async fn on_startup_message(login: &mut Login) -> Result<bool> {
    let Item::Frame(frame) = login.link.read(wire::MAX_MESSAGE_BYTES).await? else {
        return Err(io::Error::from(io::ErrorKind::InvalidData).into());
    };
    let frame = match answer::decode_mark(frame) {
        Ok(mark) => {
            login.mark = Some(mark);
            return Ok(false);
        }
        Err(frame) => frame,
    };
    match wire::decode(&frame)? {
        Message::AuthenticationOk | Message::ParameterStatus(_) | Message::NoticeResponse(_) => {
            Ok(false)
        }
        Message::BackendKeyData(key) => {
            login.key = CancelKey { process: key.process_id(), secret: key.secret_key() };
            Ok(false)
        }
        Message::ReadyForQuery(_) => Ok(true),
        Message::ErrorResponse(_) => match answer::sqlstate(&frame).as_deref() {
            Some(TOO_MANY_CONNECTIONS) => Err(Error::Full),
            code => Err(io::Error::other(format!("login refused: {}", code.unwrap_or("?"))).into()),
        },
        _ => Err(io::Error::from(io::ErrorKind::InvalidData).into()),
    }
}
