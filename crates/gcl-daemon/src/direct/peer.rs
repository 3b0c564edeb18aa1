//! Datagrams between daemons.

use super::{
    frame,
    shell::{Discarded, Input, Shell},
};
use actix::Addr;
use eyre::WrapErr;
use gcl_direct::{event::Event, gossip::Digest};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, time::sleep};

/// Largest datagram that is sent or received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16_000;
/// Pause after a socket error.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// The socket for digests.
#[derive(Clone, Debug)]
pub struct Socket {
    socket: Rc<UdpSocket>,
}

impl Socket {
    /// Opens the port; the second one is for [`listen`].
    ///
    /// # Errors
    /// The port cannot be opened.
    pub async fn open(address: SocketAddr) -> eyre::Result<(Self, Self)> {
        let socket = UdpSocket::bind(address).await;
        let socket = socket.wrap_err_with(|| format!("cannot listen for digests on {address}"))?;
        let socket = Self { socket: Rc::new(socket) };
        Ok((socket.clone(), socket))
    }

    /// Sends a digest. One that cannot be sent is dropped; the next one makes up for it.
    pub fn send(&self, address: &str, digest: &Digest) {
        let encoded = frame::encode(digest, MAX_DATAGRAM_BYTES).ok();
        let address = address.parse::<SocketAddr>().ok();
        let sent = encoded.zip(address).map(|(bytes, to)| self.socket.try_send_to(&bytes, to));
        if !matches!(sent, Some(Ok(_))) {
            metrics::counter!("gcl_digests_unsent").increment(1);
        }
    }
}

/// Receives digests until the process exits.
pub fn listen(socket: Socket, shell: Addr<Shell>) {
    actix_rt::spawn(async move {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((size, _)) = socket.socket.recv_from(&mut buffer).await else {
                // A datagram to a stopped daemon causes an error here; later ones may arrive.
                sleep(FAILURE_PAUSE).await;
                continue;
            };
            match frame::decode::<Digest>(&buffer[..size]) {
                Ok(digest) => shell.do_send(Input(Event::Peer(Box::new(digest)))),
                Err(detail) => shell.do_send(Discarded(detail)),
            }
        }
    });
}
