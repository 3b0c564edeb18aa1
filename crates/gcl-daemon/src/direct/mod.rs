//! The shell around the reducer of `gcl-direct`, for daemons on the users' platform.
//!
//! Sockets, timers and the actor that owns the reducer's state run on one thread. The shell turns
//! input into events and carries out effects; all decisions are made by the reducer.

mod backend;
mod caller;
mod clock;
mod frame;
mod gate;
mod journal;
mod limits;
mod link;
mod peer;
mod reload;
mod shell;

use self::{clock::Clock, gate::Gate, journal::Journal, reload::Reload, shell::Shell};
use actix::Actor;
use eyre::WrapErr;
use gcl_direct::{budget::Ledger, state::State};
use gcl_platform::{
    probe::Probe,
    promotion,
    settings::{self, Process},
    store,
};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use std::rc::Rc;
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
    sync::oneshot,
};

/// Bounds of the latency histograms in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 4.0];

/// Builds the daemon's runtime on the current thread.
///
/// # Panics
/// When the operating system refuses an event queue.
#[must_use]
pub fn runtime() -> Runtime {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("the operating system grants an event queue")
}

/// Runs a daemon until it has drained after a stop; `path` is the settings file that `process` was
/// read from.
///
/// # Errors
/// A port cannot be opened, or a client cannot be set up.
pub async fn run(path: String, process: Process, seed: u64) -> eyre::Result<()> {
    let name = process.settings.daemon.clone();
    let mut journal = Journal::start(name.clone()).wrap_err("cannot start the log writer")?;
    journal.start_line(&settings::describe(&process));
    let metrics = metrics()?;
    let probe = Probe::default();
    let rendered = metrics.clone();
    let served = probe.clone().serve(process.probe_address, move || rendered.render()).await;
    served.wrap_err_with(|| format!("cannot listen on {}", process.probe_address))?;
    let listener = TcpListener::bind(process.caller_address).await;
    let listener =
        listener.wrap_err_with(|| format!("cannot listen on {}", process.caller_address))?;
    let (socket, digests) = peer::Socket::open(process.peer_address).await?;
    let streams = TcpListener::bind(process.peer_address).await;
    let streams = streams.wrap_err_with(|| format!("cannot listen on {}", process.peer_address))?;
    let (exit, exited) = oneshot::channel();
    let clock = Clock::start();
    let descriptors = Rc::new(limits::descriptors(process.descriptors));
    let gate = |kind, limits| {
        let ledger = Ledger::new(limits);
        Rc::new(Gate::new(kind, ledger, Rc::clone(&descriptors), clock))
    };
    let callers = gate("caller", limits::callers(process.memory_bytes, descriptors.limit));
    let accepted = gate("stream", limits::streams(process.memory_bytes, descriptors.limit));
    let mut state = State::new(process.settings.clone(), seed);
    state.storage.set_limit(limits::session_storage(process.memory_bytes));
    let shell = Shell {
        state,
        clock,
        journal,
        probe,
        peers: socket,
        store: store::Client::new(process.store_address)?,
        promotion: promotion::Client::new(process.promotion_address, name)?,
        reload: Reload::new(path, process),
        callers: Rc::clone(&callers),
        streams: Rc::clone(&accepted),
        connections: shell::Connections::new(exit, descriptors),
    };
    let shell = shell.start();
    caller::listen(listener, callers, shell.clone());
    peer::listen(digests, shell.clone());
    link::listen(streams, accepted, shell.clone());
    stop_on_signals(&shell)?;
    exited.await.wrap_err("the daemon stopped unexpectedly")
}

fn stop_on_signals(shell: &actix::Addr<Shell>) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let shell = shell.clone();
    actix_rt::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => shell.do_send(shell::Stop),
                _ = interrupt.recv() => shell.do_send(shell::Stop),
                _ = reload.recv() => shell.do_send(shell::ReloadSettings),
            }
        }
    });
    Ok(())
}

fn metrics() -> eyre::Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), &LATENCY_BUCKETS)?;
    Ok(builder.install_recorder()?)
}
