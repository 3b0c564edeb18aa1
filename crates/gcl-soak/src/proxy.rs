//! A loopback proxy that disturbs the connections through it.

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

/// Bytes that are read at once.
const CHUNK: usize = 16 << 10;

/// What a proxy does to the connections through it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Disturbance {
    /// How late each chunk is passed on.
    pub delay: Duration,
    /// Whether nothing passes from those who connect; it passes once that ends.
    pub forward_cut: bool,
    /// Whether nothing passes to those who connect; it passes once that ends.
    pub backward_cut: bool,
    /// Counts orders to reset the connections that are open.
    pub resets: u64,
}

/// A proxy before one address.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    disturbance: watch::Sender<Disturbance>,
}

impl Proxy {
    /// Listens on a free port of the loopback.
    ///
    /// # Errors
    /// The port cannot be opened.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (disturbance, receiver) = watch::channel(Disturbance::default());
        let target = Arc::new(Mutex::new(target));
        tokio::spawn(accept(listener, Arc::clone(&target), receiver));
        Ok(Self { address, target, disturbance })
    }

    /// Sends new connections elsewhere.
    pub fn retarget(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Changes what happens to the connections.
    pub fn disturb(&self, change: impl FnOnce(&mut Disturbance)) {
        self.disturbance.send_modify(change);
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    disturbance: watch::Receiver<Disturbance>,
) {
    // The listener fails only with the runtime.
    while let Ok((near, _)) = listener.accept().await {
        let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
        // Read here, so that a reset counts that is ordered while the target is being reached.
        let resets = disturbance.borrow().resets;
        tokio::spawn(carry(near, target, disturbance.clone(), resets));
    }
}

async fn carry(
    near: TcpStream,
    target: SocketAddr,
    disturbance: watch::Receiver<Disturbance>,
    resets: u64,
) {
    // A target that is not there ends the connection, as its host would.
    let Ok(far) = TcpStream::connect(target).await else { return };
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    let forward = pass(near_read, far_write, disturbance.clone(), |now| now.forward_cut);
    let backward = pass(far_read, near_write, disturbance.clone(), |now| now.backward_cut);
    let mut reset = disturbance;
    tokio::select! {
        () = async { tokio::join!(forward, backward); } => {}
        // Both halves are dropped with unread bytes, which the kernel answers by a reset.
        _ = reset.wait_for(|now| now.resets > resets) => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut disturbance: watch::Receiver<Disturbance>,
    cut: impl Fn(&Disturbance) -> bool,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let Ok(count) = from.read(&mut chunk).await else { return };
        // The end of the soak ends the proxy.
        let Ok(now) = disturbance.wait_for(|now| !cut(now)).await.map(|now| *now) else { return };
        sleep(now.delay).await;
        if count == 0 {
            // The other way may still carry the rest of an answer.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
