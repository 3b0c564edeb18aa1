//! The stand-in's state and its HTTP server.

use super::{
    fault::{CallCounter, Calls, Fault},
    http,
    store::Store,
};
use actix_web::{App, HttpServer, dev::ServerHandle, rt::System, web};
use eyre::{Result, eyre};
use gcl_core::store::Vm;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc},
    thread,
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// Maximum size of a request in bytes.
const MAX_REQUEST_BYTES: usize = 4 << 20;
/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Default interval between progress notifications of a watch.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Number of worker threads.
const WORKERS: usize = 2;

/// State shared by the handlers.
#[derive(Debug)]
struct Inner {
    store: Mutex<Store>,
    fault: Mutex<Fault>,
    call_counter: Mutex<CallCounter>,
    vms: Mutex<Vec<Vm>>,
    changed: watch::Sender<u64>,
    progress: Duration,
}

/// The state of the platform. Clones share it, and it outlives the server.
#[derive(Clone, Debug)]
pub struct Platform {
    inner: Arc<Inner>,
}

impl Default for Platform {
    fn default() -> Self {
        Self::new(PROGRESS_INTERVAL)
    }
}

impl Platform {
    /// Creates an empty platform whose watches report progress every `progress`.
    #[must_use]
    pub fn new(progress: Duration) -> Self {
        let inner = Inner {
            store: Mutex::default(),
            fault: Mutex::default(),
            call_counter: Mutex::default(),
            vms: Mutex::default(),
            changed: watch::Sender::new(0),
            progress,
        };
        Self { inner: Arc::new(inner) }
    }

    /// Gives access to the store, and wakes the watches if its revision changed.
    pub fn store<T>(&self, work: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.inner.store);
        let before = store.revision();
        let result = work(&mut store);
        let revision = store.revision();
        drop(store);
        if revision != before {
            self.inner.changed.send_replace(revision);
        }
        result
    }

    /// Gives read access to the store, without waking the watches.
    pub(super) fn read_store<T>(&self, work: impl FnOnce(&Store) -> T) -> T {
        work(&lock(&self.inner.store))
    }

    /// The faults in force.
    #[must_use]
    pub fn fault(&self) -> Fault {
        lock(&self.inner.fault).clone()
    }

    /// Replaces the faults in force.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.inner.fault) = fault;
        let revision = lock(&self.inner.store).revision();
        self.inner.changed.send_replace(revision);
    }

    /// Whether to drop the response to this change; counts it against the remaining drops.
    #[must_use]
    pub(super) fn drops_response(&self) -> bool {
        let mut fault = lock(&self.inner.fault);
        let drops = fault.lose > 0;
        fault.lose = fault.lose.saturating_sub(1);
        drops
    }

    /// Counts a call and returns whether it is within the rate limit.
    pub(super) fn count(&self, path: &str) -> bool {
        let rate = lock(&self.inner.fault).rate;
        lock(&self.inner.call_counter).count(path, rate)
    }

    /// Number of calls since the start, by path.
    #[must_use]
    pub fn calls(&self) -> Calls {
        lock(&self.inner.call_counter).calls().clone()
    }

    /// The list of VMs.
    #[must_use]
    pub fn vms(&self) -> Vec<Vm> {
        lock(&self.inner.vms).clone()
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        *lock(&self.inner.vms) = vms;
    }

    /// Subscribes to changes of the store and the faults.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.inner.changed.subscribe()
    }

    /// Interval between progress notifications of a watch.
    pub(super) fn progress(&self) -> Duration {
        self.inner.progress
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Options of the server.
#[derive(Clone, Debug)]
pub struct Options {
    /// The listen address; port zero selects a free port.
    pub listen: SocketAddr,
    /// The platform to serve.
    pub platform: Platform,
}

impl Default for Options {
    fn default() -> Self {
        Self { listen: SocketAddr::from(([127, 0, 0, 1], 0)), platform: Platform::default() }
    }
}

/// The outcome of a start.
pub type Outcome = Result<Server>;

/// A server on its own thread; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    platform: Platform,
    handle: ServerHandle,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts a server.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn start(options: Options) -> Outcome {
        let (sender, receiver) = mpsc::channel();
        let platform = options.platform.clone();
        let thread = thread::spawn(move || System::new().block_on(serve(options, &sender)));
        let (address, handle) = receiver
            .recv()
            .map_err(|_gone| eyre!("the server's thread exited before it listened"))??;
        Ok(Self { address, platform, handle, thread: Some(thread) })
    }

    /// Its listen address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// The platform that it serves.
    #[must_use]
    pub const fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Waits until it ends.
    pub fn wait(mut self) {
        self.join();
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been reported on standard error.
            drop(thread.join());
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // `stop` sends its command immediately; the future only waits for completion, as `join`
        // does.
        drop(self.handle.stop(false));
        self.join();
    }
}

type Started = Result<(SocketAddr, ServerHandle)>;

async fn serve(options: Options, sender: &mpsc::Sender<Started>) {
    let platform = options.platform;
    let data = web::Data::new(platform.clone());
    let server = HttpServer::new(move || {
        let json = web::JsonConfig::default().limit(MAX_REQUEST_BYTES).content_type(|_| true);
        let json = json.content_type_required(false);
        App::new().app_data(data.clone()).app_data(json).configure(http::routes)
    });
    let server = server.workers(WORKERS).disable_signals().shutdown_timeout(0);
    let bound = match server.bind(options.listen) {
        Ok(bound) => bound,
        Err(error) => {
            drop(sender.send(Err(error.into())));
            return;
        }
    };
    let Some(address) = bound.addrs().first().copied() else {
        return;
    };
    let running = bound.run();
    drop(sender.send(Ok((address, running.handle()))));
    let leases = actix_web::rt::spawn(expire_leases(platform));
    if let Err(error) = running.await {
        tracing::error!(%error, "the server failed");
    }
    leases.abort();
}

async fn expire_leases(platform: Platform) {
    loop {
        actix_web::rt::time::sleep(LEASE_CHECK_INTERVAL).await;
        platform.store(|store| store.expire(Instant::now()));
    }
}
