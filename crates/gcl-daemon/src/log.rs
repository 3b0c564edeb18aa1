//! JSON logs on standard output, and the runtime of the process.

use tokio::runtime::{Builder, Runtime};
use tracing_subscriber::EnvFilter;

/// Writes logs as JSON lines; `RUST_LOG` narrows or widens them.
pub fn init() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_unset| EnvFilter::new("info"));
    let subscriber = tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(filter);
    // A second daemon in one process shares the first one's log.
    let _ = subscriber.try_init();
}

/// The runtime that carries sockets; the reducer has a thread of its own.
///
/// # Panics
/// When the operating system refuses threads.
#[must_use]
pub fn runtime() -> Runtime {
    let runtime = Builder::new_multi_thread().enable_all().build();
    runtime.expect("the operating system grants threads")
}
