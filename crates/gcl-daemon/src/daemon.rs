//! One daemon: its ports, and the actor that ties them to the reducer.

use crate::{
    caller, operator, peer, record,
    reducer::{Ports, Reducer, Sources},
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

/// What a daemon starts with.
#[derive(Debug)]
pub struct Options {
    /// Its settings.
    pub settings: Settings,
    /// A number drawn at random, from which all its randomness comes.
    pub seed: u64,
    /// Where to write its trace, if anywhere; `-` for standard output.
    pub trace: Option<String>,
    /// Renders the metrics.
    pub metrics: Option<PrometheusHandle>,
}

/// A daemon that runs.
#[derive(Debug)]
pub struct Outcome {
    /// The caller port.
    pub caller: SocketAddr,
    /// The peer port.
    pub peer: SocketAddr,
    /// The operators' port.
    pub operator: SocketAddr,
    stop: UnboundedSender<()>,
    exit: watch::Receiver<bool>,
    arbiter: Arbiter,
}

/// The first line of a trace.
#[derive(Serialize)]
struct Head<'a> {
    settings: &'a Settings,
    seed: u64,
}

impl Outcome {
    /// Tells the daemon to drain and stop; no request is cut.
    pub fn stop(&self) {
        // A daemon that has already stopped needs no order.
        let _ = self.stop.send(());
    }

    /// Waits until the daemon has nothing left to do.
    pub async fn stopped(&mut self) {
        let _ = self.exit.wait_for(|exit| *exit).await;
    }

    /// Ends the daemon at once, as a crash would.
    pub fn kill(&self) {
        self.arbiter.stop();
    }
}

/// Where the ports send what happens.
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

/// Starts a daemon within an actix system.
///
/// # Errors
/// A port cannot be opened, a certificate not read, or the trace not written.
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
    let (exit, exited) = watch::channel(false);
    let (name, life) = (settings.daemon.clone(), state.incarnation);
    let ports = Ports {
        callers,
        peers: peer::Handle::new(name.clone(), life, keys, senders.peers),
        store: gcl_store::client::Client::new(&settings.store, senders.store)?,
        backend: Backend::new(backend_options(&settings), senders.backend),
        timers: timer::start(origin, senders.timers),
        operators,
        record: record::Writer::start(name, life, senders.heads)?,
        trace,
        exit,
    };
    let arbiter = Arbiter::new();
    Reducer::start_in_arbiter(&arbiter.handle(), move |_context| {
        Reducer::new(state, origin, ports, sources)
    });
    Ok(Outcome { caller, peer, operator, stop: senders.stop, exit: exited, arbiter })
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
