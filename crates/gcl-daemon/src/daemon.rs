//! Starts a daemon: opens its ports and connects them to the reducer's actor.

use crate::{
    caller, operator, peer, record,
    reducer::{Handlers, Reducer, Sources},
    timer, tls, trace,
};
use actix::{Actor, Arbiter};
use compact_str::format_compact;
use gcl_backend::client::Client as Backend;
use gcl_core::{
    caller::Event as CallerEvent, id, operator::Request, peer::Event as PeerEvent, record::chain,
    server, settings::Settings, state::State, store, timer::Key,
};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use std::{net::SocketAddr, sync::Arc};
use tokio::{
    sync::{
        mpsc::{UnboundedSender, unbounded_channel},
        watch,
    },
    time::Instant,
};

/// Options for starting a daemon.
#[derive(Debug)]
pub struct Options {
    /// The daemon's settings.
    pub settings: Settings,
    /// Random seed from which the reducer derives all its random numbers.
    pub seed: u64,
    /// Path of the trace file, if a trace is written; `-` for standard output.
    pub trace: Option<String>,
    /// Renders the metrics.
    pub metrics: Option<PrometheusHandle>,
}

/// A handle to a running daemon.
#[derive(Debug)]
pub struct Outcome {
    /// Address of the caller port.
    pub caller: SocketAddr,
    /// Address of the peer port.
    pub peer: SocketAddr,
    /// Address of the operator port.
    pub operator: SocketAddr,
    stop: UnboundedSender<()>,
    exit: watch::Receiver<bool>,
    arbiter: Arbiter,
}

/// The first line of a trace; a replay starts from it.
#[derive(Serialize)]
struct Head<'a> {
    settings: &'a Settings,
    seed: u64,
}

impl Outcome {
    /// Starts draining; the daemon stops once requests in progress have completed.
    pub fn stop(&self) {
        // Fails only if the daemon has already stopped.
        let _ = self.stop.send(());
    }

    /// Waits until the daemon has drained.
    pub async fn wait_stopped(&mut self) {
        let _ = self.exit.wait_for(|exit| *exit).await;
    }

    /// Stops the daemon immediately, as a crash would.
    pub fn kill(&self) {
        self.arbiter.stop();
    }
}

/// Sending halves of the reducer's event channels.
struct Senders {
    callers: UnboundedSender<(id::Session, CallerEvent)>,
    peers: UnboundedSender<PeerEvent>,
    store: UnboundedSender<store::Event>,
    backend: UnboundedSender<(id::Server, server::Event)>,
    timers: UnboundedSender<Key>,
    operators: UnboundedSender<(id::Operation, Request)>,
    heads: UnboundedSender<chain::Head>,
    stop: UnboundedSender<()>,
}

fn channels() -> (Senders, Sources) {
    let (caller_events, callers) = unbounded_channel();
    let (peer_events, peers) = unbounded_channel();
    let (store_events, store) = unbounded_channel();
    let (server_events, backend) = unbounded_channel();
    let (timer_events, timers) = unbounded_channel();
    let (operator_events, operators) = unbounded_channel();
    let (head_events, heads) = unbounded_channel();
    let (stop_events, stop) = unbounded_channel();
    let senders = Senders {
        callers: caller_events,
        peers: peer_events,
        store: store_events,
        backend: server_events,
        timers: timer_events,
        operators: operator_events,
        heads: head_events,
        stop: stop_events,
    };
    (senders, Sources { callers, peers, store, backend, timers, operators, heads, stop })
}

/// Starts a daemon; must be called within an actix system.
///
/// # Errors
/// A port cannot be opened, a certificate cannot be read, or the trace cannot be created.
pub async fn start(options: Options) -> eyre::Result<Outcome> {
    let Options { mut settings, seed, trace, metrics } = options;
    let origin = Instant::now();
    let (senders, sources) = channels();
    let keys = settings.peer_tls.as_ref().map(peer::Keys::read).transpose()?;
    let peer = peer::start(peer::Options {
        address: settings.listen.peer,
        keys: keys.clone(),
        answer_bytes: settings.bounds.answer_bytes,
        events: senders.peers.clone(),
    })
    .await?;
    if settings.listen.peer.port() == 0 {
        settings.advertise.get_or_insert_with(|| format_compact!("{peer}"));
    }
    let state = State::new(settings.clone(), seed);
    let trace = trace
        .map(|path| trace::Writer::start(&path, &Head { settings: &settings, seed }))
        .transpose()?;
    let (operators, operator) = open_operators(&settings, metrics, senders.operators)?;
    let callers = open_callers(&settings, senders.callers)?;
    let caller = callers.address();
    let (exit, exit_receiver) = watch::channel(false);
    let (name, incarnation) = (settings.daemon.clone(), state.incarnation);
    let handlers = Handlers {
        callers,
        peers: peer::Handle::new(name.clone(), incarnation, keys, senders.peers),
        store: gcl_store::client::Client::new(&settings.store, senders.store)?,
        backend: Backend::new(backend_options(&settings), senders.backend),
        timers: timer::start(origin, senders.timers),
        operators,
        record: record::Writer::start(name, incarnation, senders.heads)?,
        trace,
        exit,
    };
    let arbiter = Arbiter::new();
    Reducer::start_in_arbiter(&arbiter.handle(), move |_context| {
        Reducer::new(state, origin, handlers, sources)
    });
    Ok(Outcome { caller, peer, operator, stop: senders.stop, exit: exit_receiver, arbiter })
}

fn open_operators(
    settings: &Settings,
    metrics: Option<PrometheusHandle>,
    events: UnboundedSender<(id::Operation, Request)>,
) -> eyre::Result<(operator::Handle, SocketAddr)> {
    operator::start(operator::Options {
        address: settings.listen.operator,
        tls: settings.operator_tls.as_ref().map(tls::server).transpose()?,
        metrics,
        events,
    })
}

fn open_callers(
    settings: &Settings,
    events: UnboundedSender<(id::Session, CallerEvent)>,
) -> eyre::Result<caller::Listener> {
    let listener = caller::Listener::start(caller::Options {
        address: settings.listen.caller,
        bounds: settings.bounds.clone(),
        tls: settings.caller_tls.as_ref().map(tls::server).transpose()?.map(Arc::new),
        encryption_required: settings.caller_tls.is_some(),
        events,
    })?;
    Ok(listener)
}

fn backend_options(settings: &Settings) -> gcl_backend::client::Options {
    let answer_bytes = settings.bounds.answer_bytes;
    gcl_backend::client::Options { answer_bytes, ..gcl_backend::client::Options::default() }
}
