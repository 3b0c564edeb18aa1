//! JSON logs on standard output, and the async runtime of the process.

use tokio::runtime::{Builder, Runtime};
use tracing_subscriber::EnvFilter;

/// Installs a JSON log subscriber; `RUST_LOG` overrides the default level of `info`.
pub fn init() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_unset| EnvFilter::new("info"));
    let subscriber = tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(filter);
    // Fails for a second daemon in the same process, which shares the first one's subscriber.
    let _ = subscriber.try_init();
}

/// Builds the multi-threaded runtime that serves sockets; the reducer runs on its own thread.
///
/// # Panics
/// When the operating system cannot start threads.
#[must_use]
pub fn runtime() -> Runtime {
    let runtime = Builder::new_multi_thread().enable_all().build();
    runtime.expect("the operating system can start threads")
}
