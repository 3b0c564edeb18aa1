//! Datagrams between daemons.

use super::{
    frame,
    shell::{Happened, Shell, Unread},
};
use actix::Addr;
use eyre::WrapErr;
use gcl_direct::{event::Event, gossip::Digest};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, time::sleep};

/// Largest datagram that is sent or heard, in bytes.
const MOST_BYTES: usize = 16_000;
/// Pause after the socket failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Tells other daemons.
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
        let socket = socket.wrap_err_with(|| format!("cannot hear daemons on {address}"))?;
        let socket = Self { socket: Rc::new(socket) };
        Ok((socket.clone(), socket))
    }

    /// Sends a digest; one that cannot be sent now is made up by the next.
    pub fn tell(&self, address: &str, digest: &Digest) {
        let encoded = frame::encode(digest, MOST_BYTES).ok();
        let address = address.parse::<SocketAddr>().ok();
        let sent = encoded.zip(address).map(|(bytes, to)| self.socket.try_send_to(&bytes, to));
        if !matches!(sent, Some(Ok(_))) {
            metrics::counter!("gcl_digests_unsent").increment(1);
        }
    }
}

/// Hears other daemons until the process ends.
pub fn listen(socket: Socket, shell: Addr<Shell>) {
    actix_rt::spawn(async move {
        let mut buffer = vec![0; MOST_BYTES];
        loop {
            let Ok((size, _)) = socket.socket.recv_from(&mut buffer).await else {
                // A daemon that is gone answers a datagram with an error; the next may be heard.
                sleep(FAILURE_PAUSE).await;
                continue;
            };
            match frame::decode::<Digest>(&buffer[..size]) {
                Ok(digest) => shell.do_send(Happened(Event::Peer(Box::new(digest)))),
                Err(detail) => shell.do_send(Unread(detail)),
            }
        }
    });
}
