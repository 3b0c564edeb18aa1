//! Streams to and from other daemons, over tonic.
//!
//! A daemon dials one stream to each daemon that it sends to. A stream that breaks loses what was
//! in it, and the reducer is told.

mod dial;
mod listen;

pub use self::{
    dial::Handle,
    listen::{Options, start},
};

use gcl_core::settings::Tls;
use std::{fs, io, time::Duration};
use tonic::transport::{Certificate, Identity};

/// Name that every daemon's certificate carries, since VMs are reached by IP number.
const SERVER_NAME: &str = "goldcrest.peer";
/// Time between HTTP/2 pings on a stream.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait for the answer to a ping.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// HTTP/2 flow-control window of a stream, in bytes.
const WINDOW: u32 = 4 << 20;
/// Bytes of an envelope beside its answer.
const ENVELOPE_OVERHEAD: usize = 1 << 20;

/// Certificates of the peer port, read from the files that the settings name.
#[derive(Clone, Debug)]
pub struct Keys {
    identity: Identity,
    authority: Certificate,
}

impl Keys {
    /// Reads the files; both sides of a stream must show a certificate of the authority.
    ///
    /// # Errors
    /// The error of the file that could not be read, or a missing authority.
    pub fn read(tls: &Tls) -> io::Result<Self> {
        let identity = Identity::from_pem(fs::read(&tls.certificate)?, fs::read(&tls.key)?);
        let none = || io::Error::other("the peer port needs the fleet's authority");
        let authority = fs::read(tls.authority.as_ref().ok_or_else(none)?)?;
        Ok(Self { identity, authority: Certificate::from_pem(authority) })
    }
}
