//! The actor that owns the reducer's state, feeds it events and carries out its effects.

use super::{
    backend,
    caller::encode,
    clock::Clock,
    frame,
    gate::{Descriptors, Gate},
    journal::{self, Journal},
    link, peer,
    reload::{self, Reload},
};
use crate::metric;
use actix::{Actor, AsyncContext, Context, Handler, Message, SpawnHandle};
use bytes::{BufMut, Bytes};
use compact_str::CompactString;
use gcl_core::{id, time::Now};
use gcl_direct::{
    backend::Call,
    budget::{self, Closing},
    caller::{self, Reply},
    effect::Effect,
    event::Event,
    line::Line,
    link::{Call as Stream, Event as Link},
    reduce::reduce,
    state::State,
    store,
};
use gcl_platform::{line, probe::Probe, promotion, store::Client};
use indexmap::IndexMap;
use std::{io, rc::Rc, time::Duration};
use tokio::{
    sync::{
        mpsc::{UnboundedSender, unbounded_channel},
        oneshot,
    },
    task::JoinHandle,
};

/// Time that the last store call has to complete before the process exits.
const EXIT_DELAY: Duration = Duration::from_millis(200);
/// Interval at which clients' time limits are checked.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// An event for the reducer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Input(pub Event);

/// The operating system failed to accept a caller's connection.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct AcceptFailed(pub io::Error);

/// An event of a stream between daemons.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct LinkEvent {
    /// The serial number of a stream that this daemon opened; none for accepted streams.
    pub serial: Option<link::Serial>,
    /// The event.
    pub event: Link,
}

/// A message between daemons that could not be encoded or decoded, or a stream not accepted.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Discarded(pub CompactString);

/// The process has received a signal to stop.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

/// The process has received a signal to read the settings file again.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ReloadSettings;

/// The actor around the reducer.
#[derive(Debug)]
pub struct Shell {
    /// The reducer's state.
    pub state: State,
    /// The daemon's clocks.
    pub clock: Clock,
    /// The log writer.
    pub journal: Journal,
    /// The readiness probe of the platform.
    pub probe: Probe,
    /// The socket for digests to other daemons.
    pub peers: peer::Socket,
    /// The platform's store.
    pub store: Client,
    /// The client that requests promotions.
    pub promotion: promotion::Client,
    /// The settings file.
    pub reload: Reload,
    /// Callers' connections.
    pub callers: Rc<Gate>,
    /// Streams between daemons.
    pub streams: Rc<Gate>,
    /// The actor's own connections and timers.
    pub connections: Connections,
}

/// Connections and timers of the actor.
#[derive(Debug)]
pub struct Connections {
    descriptors: Rc<Descriptors>,
    backends: IndexMap<id::Connection, UnboundedSender<Call>>,
    hosts: IndexMap<id::Daemon, link::Serial>,
    /// The newest watch of each topic of the store.
    watches: IndexMap<store::Topic, JoinHandle<()>>,
    last_serial: link::Serial,
    wake: Option<(Duration, SpawnHandle)>,
    exit: Option<oneshot::Sender<()>>,
}

impl Connections {
    /// Starts without connections; `exit` is signalled when the daemon may exit.
    pub fn new(exit: oneshot::Sender<()>, descriptors: Rc<Descriptors>) -> Self {
        Self {
            descriptors,
            backends: IndexMap::new(),
            hosts: IndexMap::new(),
            watches: IndexMap::new(),
            last_serial: 0,
            wake: None,
            exit: Some(exit),
        }
    }
}

impl Shell {
    fn step(&mut self, ctx: &mut Context<Self>, event: Event) {
        let now = self.clock.now();
        for effect in reduce(&mut self.state, now, event) {
            self.carry_out(ctx, now, effect);
        }
        self.schedule_wake(ctx, now);
    }

    /// Schedules a wake-up for the next timer.
    fn schedule_wake(&mut self, ctx: &mut Context<Self>, now: Now) {
        let next = self.state.timers.next();
        let scheduled = self.connections.wake.as_ref().map(|(at, _)| *at);
        if next == scheduled {
            return;
        }
        if let Some((_, handle)) = self.connections.wake.take() {
            ctx.cancel_future(handle);
        }
        if let Some(at) = next {
            let handle = ctx.run_later(at.saturating_sub(now.mono), |shell, ctx| {
                shell.connections.wake = None;
                shell.step(ctx, Event::Wake);
            });
            self.connections.wake = Some((at, handle));
        }
    }

    fn carry_out(&mut self, ctx: &mut Context<Self>, now: Now, effect: Effect) {
        match effect {
            Effect::Caller(session, effect) => self.send_to_caller(session, effect),
            Effect::Backend(connection, call) => self.call_backend(ctx, connection, call),
            Effect::Store(call) => self.call_store(ctx, call),
            Effect::Promote { database, server, fence } => {
                let (client, shell) = (self.promotion.clone(), ctx.address());
                actix_rt::spawn(async move {
                    let result = client.promote(&database, &server, fence).await;
                    shell.do_send(Input(Event::Promoted { database, result }));
                });
            }
            Effect::Peer { address, digest } => self.peers.send(&address, &digest),
            Effect::Link(call) => self.call_stream(ctx, call),
            Effect::Log(line) => self.log(ctx, now, &line),
            Effect::Metric(measurement) => metric::report(measurement),
            Effect::Ready(ready) => self.probe.set_ready(ready),
            Effect::Exit => self.exit(ctx),
        }
    }

    /// Closes clients that exceed a limit, and logs those that were closed or refused.
    fn review_clients(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        for gate in [Rc::clone(&self.callers), Rc::clone(&self.streams)] {
            let (closings, refused) = gate.review();
            for closing in closings {
                self.log(ctx, now, &closed_line(gate.kind, &closing));
            }
            if refused > 0 {
                let line = Line::failure("clients refused").with("kind", gate.kind);
                self.log(ctx, now, &line.with("count", refused));
                metrics::counter!("gcl_clients_refused", "kind" => gate.kind).increment(refused);
            }
        }
        #[expect(clippy::cast_precision_loss, reason = "descriptors are far fewer than 2^52")]
        let gauge = |name: &'static str, value: usize| metrics::gauge!(name).set(value as f64);
        gauge("gcl_sockets", self.connections.descriptors.used.get());
        gauge("gcl_sockets_budget", self.connections.descriptors.limit);
    }

    fn log(&mut self, ctx: &mut Context<Self>, now: Now, line: &Line) {
        if self.journal.log(now, line) {
            ctx.run_later(journal::FLUSH_DELAY, |shell, _ctx| shell.journal.flush());
        }
    }

    fn send_to_caller(&self, session: id::Session, effect: caller::Effect) {
        match effect {
            caller::Effect::Send(replies) => {
                let answers = replies.iter().any(|reply| matches!(reply, Reply::Ready(..)));
                self.callers.send(session, answers, |buffer| encode(replies, buffer));
            }
            caller::Effect::Close => self.callers.close(session),
        }
    }

    fn call_backend(&mut self, ctx: &mut Context<Self>, connection: id::Connection, call: Call) {
        if let Call::Open { server, address, database, workspace } = call {
            let (sender, calls) = unbounded_channel();
            self.connections.backends.insert(connection, sender);
            self.connections.descriptors.add(1);
            let login = line::Message::Login { database, workspace, server };
            let (shell, descriptors) = (ctx.address(), Rc::clone(&self.connections.descriptors));
            actix_rt::spawn(backend::run(connection, address, login, calls, shell, descriptors));
            return;
        }
        let closes = call == Call::Close;
        if let Some(calls) = self.connections.backends.get(&connection) {
            // A closed connection reports its end by an event of its own.
            let _ = calls.send(call);
        }
        if closes {
            self.connections.backends.swap_remove(&connection);
        }
    }

    fn call_stream(&mut self, ctx: &mut Context<Self>, call: Stream) {
        match call {
            Stream::Request { host, address, request } => {
                let known = self.connections.hosts.get(&host).copied();
                let serial = known.unwrap_or_else(|| self.dial(ctx, host, address));
                self.send_frame(ctx, link::dialed(serial), link::encode_request(&request));
            }
            Stream::Respond(link, response) => {
                self.send_frame(ctx, link, link::encode_response(&response));
            }
            Stream::Close(host) => {
                if let Some(serial) = self.connections.hosts.swap_remove(&host) {
                    self.streams.close(link::dialed(serial));
                }
            }
        }
    }

    /// Queues a frame. A closed stream reports its end by an event of its own.
    fn send_frame(&self, ctx: &Context<Self>, stream: budget::Id, frame: frame::Result<Bytes>) {
        match frame {
            Ok(frame) => self.streams.send(stream, false, |buffer| buffer.put_slice(&frame)),
            Err(detail) => ctx.address().do_send(Discarded(detail)),
        }
    }

    fn dial(
        &mut self,
        ctx: &mut Context<Self>,
        host: id::Daemon,
        address: CompactString,
    ) -> link::Serial {
        self.connections.last_serial += 1;
        let serial = self.connections.last_serial;
        self.connections.hosts.insert(host.clone(), serial);
        let shell = ctx.address();
        if let Some(client) = self.streams.open(link::dialed(serial)) {
            let gate = Rc::clone(&self.streams);
            actix_rt::spawn(link::dial(host, serial, address, client, gate, shell));
        } else {
            let event = Link::Closed { host, was_open: false };
            shell.do_send(LinkEvent { serial: Some(serial), event });
        }
        serial
    }

    fn call_store(&mut self, ctx: &mut Context<Self>, call: store::Call) {
        let (client, shell) = (self.store.clone(), ctx.address());
        metrics::counter!("gcl_store_calls", "name" => call.name()).increment(1);
        let watched = if let store::Call::Watch(topic, _) = &call { Some(*topic) } else { None };
        let task = actix_rt::spawn(async move {
            let answer = client.call(call).await;
            shell.do_send(Input(Event::Store(answer)));
        });
        let replaced = watched.and_then(|topic| self.connections.watches.insert(topic, task));
        if let Some(watch) = replaced {
            // A watch that was begun in a silent outage is not answered; this closes its connection.
            watch.abort();
        }
    }

    /// Handles the result of reading the settings file.
    fn reloaded(&mut self, ctx: &mut Context<Self>, read: eyre::Result<Option<Event>>) {
        match read {
            Ok(Some(event)) => self.step(ctx, event),
            Ok(None) => {}
            Err(error) => {
                let line =
                    Line::state_change("settings refused").with("error", format_args!("{error:#}"));
                let now = self.clock.now();
                self.log(ctx, now, &line);
            }
        }
    }

    /// Exits once the log is flushed and the last store call has had time to complete.
    fn exit(&mut self, ctx: &mut Context<Self>) {
        self.journal.flush();
        if let Some(exit) = self.connections.exit.take() {
            ctx.run_later(EXIT_DELAY, move |shell, _ctx| {
                shell.journal.flush();
                // If the receiver is gone, the process is exiting already.
                let _ = exit.send(());
            });
        }
    }
}

impl Actor for Shell {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.step(ctx, Event::Started);
        ctx.run_interval(reload::POLL_INTERVAL, |shell, ctx| {
            let read = shell.reload.poll();
            shell.reloaded(ctx, read);
        });
        ctx.run_interval(REVIEW_INTERVAL, Self::review_clients);
    }
}

/// Explains why a client was closed.
fn closed_line(kind: &str, closing: &Closing) -> Line {
    Line::failure("client closed")
        .with("kind", kind)
        .with("session", closing.id)
        .with("reason", closing.reason.name())
        .with("received", closing.received)
        .with("unsent", closing.unsent)
        .with("bytes_per_s", format_args!("{:.0}", closing.rate))
        .millis("age", closing.age)
        .with("shared_used", closing.used)
        .with("connections", closing.connections)
}

impl Handler<Input> for Shell {
    type Result = ();

    fn handle(&mut self, Input(event): Input, ctx: &mut Self::Context) {
        self.step(ctx, event);
    }
}

impl Handler<LinkEvent> for Shell {
    type Result = ();

    fn handle(&mut self, msg: LinkEvent, ctx: &mut Self::Context) {
        match &msg.event {
            Link::Responded(host, _) | Link::Closed { host, .. } => {
                if self.connections.hosts.get(host).copied() != msg.serial {
                    return;
                }
                if matches!(msg.event, Link::Closed { .. }) {
                    self.connections.hosts.swap_remove(host);
                }
            }
            Link::PeerClosed(_) | Link::Requested(..) => {}
        }
        self.step(ctx, Event::Link(msg.event));
    }
}

impl Handler<Discarded> for Shell {
    type Result = ();

    fn handle(&mut self, Discarded(detail): Discarded, ctx: &mut Self::Context) {
        metrics::counter!("gcl_messages_unread").increment(1);
        let line = Line::failure("message between daemons left aside").with("detail", detail);
        let now = self.clock.now();
        self.log(ctx, now, &line);
    }
}

impl Handler<AcceptFailed> for Shell {
    type Result = ();

    fn handle(&mut self, AcceptFailed(error): AcceptFailed, ctx: &mut Self::Context) {
        let line = Line::failure("caller not accepted").with("error", error);
        let now = self.clock.now();
        self.log(ctx, now, &line);
    }
}

impl Handler<Stop> for Shell {
    type Result = ();

    fn handle(&mut self, _stop: Stop, ctx: &mut Self::Context) {
        self.step(ctx, Event::Stop);
    }
}

impl Handler<ReloadSettings> for Shell {
    type Result = ();

    fn handle(&mut self, _reread: ReloadSettings, ctx: &mut Self::Context) {
        let read = self.reload.read();
        self.reloaded(ctx, read);
    }
}
