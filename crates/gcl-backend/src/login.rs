//! Opening a connection.

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

/// SQLSTATE of a server at its connection limit.
const FULL: &str = "53300";

/// Why no connection was opened.
#[derive(Debug)]
pub enum Error {
    /// The server is at its connection limit.
    Full,
    /// Anything else.
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
            Self::Full => f.write_str("the server has too many connections"),
            Self::Failed(error) => error.fmt(f),
        }
    }
}

/// What opening returns.
pub type Result<T> = std::result::Result<T, Error>;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Callers' statements.
    Data,
    /// Control questions; does not count against the server's connection limit.
    Control,
}

/// Identifies a connection in a cancel request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CancelKey {
    /// The server's process id.
    pub process: i32,
    /// Its secret.
    pub secret: i32,
}

/// An open connection.
#[derive(Debug)]
pub struct Login {
    /// The connection.
    pub link: Link,
    /// Its key for cancel requests.
    pub key: CancelKey,
    /// The mark that the server reported.
    pub mark: Option<Mark>,
}

/// Opens a connection within the time that the options give.
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
    while !welcome(&mut login).await? {}
    Ok(login)
}

/// Takes one message of the server's welcome; true at its end.
async fn welcome(login: &mut Login) -> Result<bool> {
    let Item::Frame(frame) = login.link.read(wire::SMALL).await? else {
        return Err(io::Error::from(io::ErrorKind::InvalidData).into());
    };
    let frame = match answer::mark(frame) {
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
            Some(FULL) => Err(Error::Full),
            code => Err(io::Error::other(format!("refused: {}", code.unwrap_or("?"))).into()),
        },
        _ => Err(io::Error::from(io::ErrorKind::InvalidData).into()),
    }
}
