//! Streams to and from other daemons, over tonic.
//!
//! A daemon opens one stream to each daemon that it sends messages to. If a stream breaks, the
//! messages in it are lost and the reducer receives [`Event::Lost`](gcl_core::peer::Event::Lost).

mod dial;
mod listen;

pub use self::{
    dial::Handle,
    listen::{Options, start},
};

use gcl_core::settings::Tls;
use std::{fs, io, time::Duration};
use tonic::transport::{Certificate, Identity};

/// Server name in every daemon's certificate; VMs are addressed by IP address, not by host name.
const SERVER_NAME: &str = "goldcrest.peer";
/// Interval of HTTP/2 pings on a connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit for the answer to a ping.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// HTTP/2 flow-control window of a stream and of its connection, in bytes.
const WINDOW: u32 = 4 << 20;
/// Allowance for the rest of an envelope besides the answer, in bytes.
const ENVELOPE_OVERHEAD: usize = 1 << 20;

/// This daemon's certificate and key for mutual TLS, and the authority that signs those of all daemons.
#[derive(Clone, Debug)]
pub struct Keys {
    identity: Identity,
    authority: Certificate,
}

impl Keys {
    /// Reads the files named in the settings. Both sides of a stream must present a certificate
    /// signed by the authority.
    ///
    /// # Errors
    /// A file cannot be read, or the settings name no authority.
    pub fn read(tls: &Tls) -> io::Result<Self> {
        let identity = Identity::from_pem(fs::read(&tls.certificate)?, fs::read(&tls.key)?);
        let no_authority =
            || io::Error::other("the TLS settings of the peer port name no authority");
        let authority = fs::read(tls.authority.as_ref().ok_or_else(no_authority)?)?;
        Ok(Self { identity, authority: Certificate::from_pem(authority) })
    }
}
