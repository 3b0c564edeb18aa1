//! A client connection: the `PostgreSQL` protocol for a session.

use super::{
    fault::Peer,
    link::Link,
    session::Session,
    shared::{CancelKey, Shared},
};
use gcl_core::mark::Mark;
use pgwire::messages::{
    PgWireBackendMessage as Out, PgWireFrontendMessage as In, SslNegotiationMetaMessage,
    response::{ReadyForQuery, SslResponse, TransactionStatus},
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup},
};
use std::{io, sync::Arc};
use tokio::net::TcpStream;

/// Name of the parameter status that reports a session's mark.
const MARK_VARIABLE: &str = "goldcrest.mark";

/// The kind of connection requested by a startup packet.
#[derive(Clone, Copy, Debug)]
struct Login {
    peer: Peer,
    control: bool,
}

/// The registration of a connection; removed and no longer counted when dropped.
struct Registration {
    shared: Arc<Shared>,
    key: CancelKey,
    counted: bool,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.shared.unregister(self.key);
        if self.counted {
            self.shared.release_connection();
        }
    }
}

/// Serves a connection until it is closed.
///
/// # Errors
/// A socket or protocol error, or a response dropped by a fault.
pub async fn serve(shared: Arc<Shared>, stream: TcpStream) -> io::Result<()> {
    let mut link = Link::new(Arc::clone(&shared), stream)?;
    let Some(startup) = negotiate(&shared, &mut link).await? else {
        return Ok(());
    };
    let login = login(&startup);
    link.peer = login.peer;
    shared.wait_for_network(login.peer).await;
    let id = shared.next_session();
    let mut registration =
        Registration { shared: Arc::clone(&shared), key: cancel_key(id), counted: false };
    if !login.control {
        tokio::time::sleep(shared.options.open_delay).await;
        if let Err(error) = shared.acquire_connection() {
            link.buffer_error(&error)?;
            return link.flush().await;
        }
        registration.counted = true;
    }
    let cancel = shared.register(registration.key);
    let mut session = Session::new(Arc::clone(&shared), id, login.control, cancel);
    for (name, value) in options(&startup) {
        session.set(&name, value);
    }
    let mut connection = Connection { session, link, reported: None };
    connection.send_greeting(registration.key)?;
    connection.finish_batch().await?;
    super::dispatch::run(&mut connection).await
}

/// A session and its link.
#[derive(Debug)]
pub struct Connection {
    /// The session.
    pub session: Session,
    /// Its message I/O.
    pub link: Link,
    reported: Option<Mark>,
}

impl Connection {
    fn send_greeting(&mut self, key: CancelKey) -> io::Result<()> {
        self.link.buffer(&Out::Authentication(Authentication::Ok))?;
        let parameters =
            [("server_version", "16.0"), ("client_encoding", "UTF8"), ("DateStyle", "ISO, MDY")];
        for (name, value) in parameters {
            let status = ParameterStatus::new(name.to_owned(), value.to_owned());
            self.link.buffer(&Out::ParameterStatus(status))?;
        }
        let secret = SecretKey::I32(key.secret);
        self.link.buffer(&Out::BackendKeyData(BackendKeyData::new(key.process, secret)))
    }

    /// Finishes a batch: reports the mark if it changed, then the status, and sends the response.
    ///
    /// # Errors
    /// A socket error, or the response was dropped by a fault.
    pub async fn finish_batch(&mut self) -> io::Result<()> {
        let mark = self.session.mark;
        if !self.session.control && self.reported != Some(mark) {
            self.reported = Some(mark);
            let value = format!("{}/{}", mark.term, mark.position);
            let status = ParameterStatus::new(MARK_VARIABLE.to_owned(), value);
            self.link.buffer(&Out::ParameterStatus(status))?;
        }
        let byte = self.session.status().byte();
        let status = TransactionStatus::try_from(byte).unwrap_or(TransactionStatus::Error);
        self.link.buffer(&Out::ReadyForQuery(ReadyForQuery::new(status)))?;
        let committed = std::mem::take(&mut self.session.committed);
        self.link.send_response(committed, self.session.control).await
    }
}

/// Handles encryption and cancel requests until a startup packet arrives.
async fn negotiate(shared: &Shared, link: &mut Link) -> io::Result<Option<Startup>> {
    loop {
        match link.next().await? {
            Some(In::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                link.expect_startup();
            }
            Some(In::SslNegotiation(_)) => {
                link.buffer(&Out::SslResponse(SslResponse::Refuse))?;
                link.flush().await?;
            }
            Some(In::CancelRequest(request)) => {
                let secret = request.secret_key.as_i32().unwrap_or_default();
                shared.wait_for_network(Peer::Client).await;
                shared.cancel(CancelKey { process: request.pid, secret });
                return Ok(None);
            }
            Some(In::Startup(startup)) => {
                link.startup_done();
                return Ok(Some(startup));
            }
            _ => return Ok(None),
        }
    }
}

fn login(startup: &Startup) -> Login {
    let is_on = |name: &str| {
        let direct = startup.parameters.get(name).is_some_and(|value| value == "on");
        direct || options(startup).iter().any(|(option, value)| option == name && value == "on")
    };
    let peer = if is_on("standin.bench") {
        Peer::Harness
    } else if is_on("standin.server") {
        Peer::Server
    } else {
        Peer::Client
    };
    Login { peer, control: is_on("goldcrest.control") }
}

/// The variables set with `-c name=value` in the options of the startup packet.
fn options(startup: &Startup) -> Vec<(String, String)> {
    let text = startup.parameters.get("options").map(String::as_str).unwrap_or_default();
    let pairs = text.split_whitespace().filter_map(|word| word.split_once('='));
    pairs
        .map(|(name, value)| (name.trim_start_matches("-c").to_owned(), value.to_owned()))
        .collect()
}

#[expect(clippy::cast_possible_truncation, reason = "tests open few connections")]
fn cancel_key(id: u64) -> CancelKey {
    let mixed = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    CancelKey { process: id as i32, secret: mixed as i32 }
}
