//! A loopback proxy that delays, blocks or resets the connections through it.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// Size of the read buffer in bytes.
const CHUNK: usize = 16 << 10;

/// The disruption that a proxy applies to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Disruption {
    /// Delay of each chunk.
    pub delay: Duration,
    /// Whether data from the connecting side is held back until this ends.
    pub forward_blocked: bool,
    /// Whether data to the connecting side is held back until this ends.
    pub backward_blocked: bool,
    /// Number of resets of all open connections so far.
    pub resets: u64,
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    /// Its listen address.
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    disruption: watch::Sender<Disruption>,
}

impl Proxy {
    /// Listens on a free loopback port.
    ///
    /// # Errors
    /// The port cannot be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (disruption, receiver) = watch::channel(Disruption::default());
        let target = Arc::new(Mutex::new(target));
        tokio::spawn(accept(listener, Arc::clone(&target), receiver));
        Ok(Self { address, target, disruption })
    }

    /// Forwards new connections to another address.
    pub fn retarget(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Changes the disruption of all connections, open ones included.
    pub fn disrupt(&self, change: impl FnOnce(&mut Disruption)) {
        self.disruption.send_modify(change);
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    disruption: watch::Receiver<Disruption>,
) {
    // Accepting fails only when the runtime shuts down.
    while let Ok((near, _)) = listener.accept().await {
        let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
        // Read before connecting to the target, so that a reset during the connect applies as well.
        let resets = disruption.borrow().resets;
        tokio::spawn(forward(near, target, disruption.clone(), resets));
    }
}

async fn forward(
    near: TcpStream,
    target: SocketAddr,
    disruption: watch::Receiver<Disruption>,
    resets: u64,
) {
    // An unreachable target closes the connection, as its host would.
    let Ok(far) = TcpStream::connect(target).await else { return };
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    let forward = copy(near_read, far_write, disruption.clone(), |now| now.forward_blocked);
    let backward = copy(far_read, near_write, disruption.clone(), |now| now.backward_blocked);
    let mut reset = disruption;
    tokio::select! {
        () = async { tokio::join!(forward, backward); } => {}
        // Dropping both halves with unread bytes makes the kernel send a reset.
        _ = reset.wait_for(|now| now.resets > resets) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut disruption: watch::Receiver<Disruption>,
    blocked: impl Fn(&Disruption) -> bool,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let Ok(count) = from.read(&mut chunk).await else { return };
        // Fails once the proxy is dropped.
        let Ok(now) = disruption.wait_for(|now| !blocked(now)).await.map(|now| *now) else {
            return;
        };
        sleep(now.delay).await;
        if count == 0 {
            // The other direction may still carry the rest of a response.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
