//! The actor that owns a daemon's state: it feeds events to the reducer and carries out effects.
//!
//! The actor makes no decisions; it dispatches each effect to its handler.

use crate::{metric, operator, peer, record, timer, trace};
use actix::{Actor, AsyncContext, Context, StreamHandler};
use futures::{
    Stream, StreamExt,
    stream::{BoxStream, select_all},
};
use gcl_core::{
    caller, effect::Effect, event::Event, id, operator::Request, peer as peers,
    record::chain::Head, reduce::reduce, server, state::State, store, time::Now, timer::Key,
};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::{
    sync::{mpsc::UnboundedReceiver, watch},
    time::Instant,
};
use tokio_stream::wrappers::UnboundedReceiverStream;

/// The parts of the shell that carry out effects, by kind of effect.
#[derive(Debug)]
pub struct Handlers {
    /// Connections of callers.
    pub callers: crate::caller::Listener,
    /// Streams to other daemons.
    pub peers: peer::Handle,
    /// The platform store.
    pub store: gcl_store::client::Client,
    /// Backend servers.
    pub backend: gcl_backend::client::Client,
    /// The timer service.
    pub timers: timer::Handle,
    /// The operator port.
    pub operators: operator::Handle,
    /// The writer of the record.
    pub record: record::Writer,
    /// The writer of the trace, if one is requested.
    pub trace: Option<trace::Writer>,
    /// Set to true when the daemon has drained and may exit.
    pub exit: watch::Sender<bool>,
}

/// Receiving halves of the event channels.
#[derive(Debug)]
pub struct Sources {
    /// Events of callers' connections.
    pub callers: UnboundedReceiver<(id::Session, caller::Event)>,
    /// Messages and losses of streams with other daemons.
    pub peers: UnboundedReceiver<peers::Event>,
    /// Answers and watch events of the platform store.
    pub store: UnboundedReceiver<store::Event>,
    /// Events of connections to backend servers.
    pub backend: UnboundedReceiver<(id::Server, server::Event)>,
    /// Keys of timers that fired.
    pub timers: UnboundedReceiver<Key>,
    /// Requests of operators.
    pub operators: UnboundedReceiver<(id::Operation, Request)>,
    /// Heads of the record's hash chain, as requested by [`Effect::ReadHead`].
    pub heads: UnboundedReceiver<Head>,
    /// Requests to drain and stop.
    pub stop: UnboundedReceiver<()>,
}

impl Sources {
    /// Merges all channels into one stream of events.
    fn into_stream(self) -> impl Stream<Item = Event> {
        let callers = stream(self.callers, |(session, event)| Event::Caller(session, event));
        let peers = stream(self.peers, Event::Peer);
        let store = stream(self.store, Event::Store);
        let backend = stream(self.backend, |(server, event)| Event::Server(server, event));
        let timers = stream(self.timers, Event::Timer);
        let operators =
            stream(self.operators, |(operation, request)| Event::Operator(operation, request));
        let heads = stream(self.heads, Event::Head);
        let stop = stream(self.stop, |()| Event::Stop);
        select_all([callers, peers, store, backend, timers, operators, heads, stop])
    }
}

fn stream<T: Send + 'static>(
    source: UnboundedReceiver<T>,
    event: impl Fn(T) -> Event + Send + 'static,
) -> BoxStream<'static, Event> {
    UnboundedReceiverStream::new(source).map(event).boxed()
}

/// The actor around the reducer.
#[derive(Debug)]
pub struct Reducer {
    state: State,
    origin: Instant,
    handlers: Handlers,
    sources: Option<Sources>,
}

impl Reducer {
    /// Creates the actor; monotonic time is measured from `origin`.
    #[must_use]
    pub const fn new(state: State, origin: Instant, handlers: Handlers, sources: Sources) -> Self {
        Self { state, origin, handlers, sources: Some(sources) }
    }

    fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Now { mono: self.origin.elapsed(), wall }
    }

    fn step(&mut self, event: Event) {
        let now = self.now();
        let traced = self.handlers.trace.is_some().then(|| event.clone());
        let effects = reduce(&mut self.state, now, event);
        if let (Some(trace), Some(event)) = (&self.handlers.trace, traced) {
            trace.write(now, &event, &effects);
        }
        for effect in effects {
            self.carry_out(now, effect);
        }
    }

    fn carry_out(&mut self, now: Now, effect: Effect) {
        let handlers = &mut self.handlers;
        match effect {
            Effect::Caller(session, effect) => handlers.callers.apply(session, effect),
            Effect::Peer { to, address, message } => handlers.peers.send(to, address, message),
            Effect::Store(call) => handlers.store.call(call),
            Effect::Server(server, call) => handlers.backend.call(server, call),
            Effect::Operator(operation, response) => handlers.operators.answer(operation, response),
            Effect::Timer(effect) => handlers.timers.apply(effect),
            Effect::Record(line) => handlers.record.write(now, line),
            Effect::ReadHead => handlers.record.read_head(),
            Effect::Metric(measurement) => metric::report(measurement),
            Effect::Ready(ready) => {
                if handlers.operators.set_ready(ready) {
                    tracing::info!(daemon = %self.state.settings.daemon, ready, "readiness changed");
                }
            }
            Effect::CloseListeners => handlers.callers.close_listener(),
            Effect::Exit => {
                handlers.exit.send_replace(true);
            }
        }
    }
}

impl Actor for Reducer {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        if let Some(sources) = self.sources.take() {
            ctx.add_stream(sources.into_stream());
        }
        self.step(Event::Started);
    }
}

impl StreamHandler<Event> for Reducer {
    fn handle(&mut self, item: Event, _ctx: &mut Self::Context) {
        self.step(item);
    }
}
