//! The actor that owns the reducer's state: it feeds events and carries out effects.

use super::{
    backend,
    clock::Clock,
    journal::{self, Journal},
    link, peer,
    reload::{self, Reload},
};
use crate::metric;
use actix::{Actor, AsyncContext, Context, Handler, Message, SpawnHandle};
use compact_str::CompactString;
use gcl_core::{id, time::Now};
use gcl_direct::{
    backend::Call,
    caller,
    effect::Effect,
    event::Event,
    line::Line,
    link::{Call as Stream, Event as Link, Id, Request, Response},
    reduce::reduce,
    state::State,
    store,
};
use gcl_platform::{line, probe::Probe, promotion, store::Client};
use indexmap::IndexMap;
use std::{io, time::Duration};
use tokio::sync::{
    mpsc::{UnboundedSender, unbounded_channel},
    oneshot,
};

/// Longest wait for the store's last answer before the process ends.
const LAST_CALL: Duration = Duration::from_millis(200);

/// Something that happened outside.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Happened(pub Event);

/// A caller connected.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Welcome {
    /// Its session.
    pub session: id::Session,
    /// Where its effects go.
    pub effects: UnboundedSender<caller::Effect>,
}

/// The operating system refused a caller's connection.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Refused(pub io::Error);

/// Something happened on a stream between daemons; `serial` names the one that this daemon opened.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Streamed {
    /// The stream to a host.
    pub serial: Option<link::Serial>,
    /// What happened.
    pub event: Link,
}

/// A message of another daemon that could not be read or written.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Unread(pub CompactString);

/// The process was told to stop.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

/// The settings file is to be read again.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Reread;

/// The actor around the reducer.
#[derive(Debug)]
pub struct Shell {
    /// The reducer's state.
    pub state: State,
    /// The daemon's clocks.
    pub clock: Clock,
    /// The log.
    pub journal: Journal,
    /// Where the platform asks whether the daemon is ready.
    pub probe: Probe,
    /// Where other daemons are told.
    pub peers: peer::Socket,
    /// The platform's store.
    pub store: Client,
    /// Orders promotions.
    pub promotion: promotion::Client,
    /// The settings file.
    pub reload: Reload,
    /// What the actor keeps for itself.
    pub links: Links,
}

/// Connections and orders of the actor.
#[derive(Debug)]
pub struct Links {
    callers: IndexMap<id::Session, UnboundedSender<caller::Effect>>,
    backends: IndexMap<id::Connection, UnboundedSender<Call>>,
    hosts: IndexMap<id::Daemon, (link::Serial, UnboundedSender<Request>)>,
    guests: IndexMap<Id, UnboundedSender<Response>>,
    dialed: link::Serial,
    wake: Option<(Duration, SpawnHandle)>,
    exit: Option<oneshot::Sender<()>>,
}

impl Links {
    /// No connections yet; `exit` is told when the daemon has nothing left to do.
    pub fn new(exit: oneshot::Sender<()>) -> Self {
        Self {
            callers: IndexMap::new(),
            backends: IndexMap::new(),
            hosts: IndexMap::new(),
            guests: IndexMap::new(),
            dialed: 0,
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
        self.sleep(ctx, now);
    }

    /// Orders the next event for when the next timer is due.
    fn sleep(&mut self, ctx: &mut Context<Self>, now: Now) {
        let next = self.state.timers.next();
        let ordered = self.links.wake.as_ref().map(|(at, _)| *at);
        if next == ordered {
            return;
        }
        if let Some((_, handle)) = self.links.wake.take() {
            ctx.cancel_future(handle);
        }
        if let Some(at) = next {
            let handle = ctx.run_later(at.saturating_sub(now.mono), |shell, ctx| {
                shell.links.wake = None;
                shell.step(ctx, Event::Wake);
            });
            self.links.wake = Some((at, handle));
        }
    }

    fn carry_out(&mut self, ctx: &mut Context<Self>, now: Now, effect: Effect) {
        match effect {
            Effect::Caller(session, effect) => self.tell_caller(session, effect),
            Effect::Backend(connection, call) => self.call_backend(ctx, connection, call),
            Effect::Store(call) => self.call_store(ctx, call),
            Effect::Promote { database, server, fence } => {
                let (client, shell) = (self.promotion.clone(), ctx.address());
                actix_rt::spawn(async move {
                    let result = client.promote(&database, &server, fence).await;
                    shell.do_send(Happened(Event::Promoted { database, result }));
                });
            }
            Effect::Peer { address, digest } => self.peers.tell(&address, &digest),
            Effect::Link(call) => self.call_link(ctx, call),
            Effect::Log(line) => self.log(ctx, now, &line),
            Effect::Metric(measurement) => metric::report(measurement),
            Effect::Ready(ready) => self.probe.set(ready),
            Effect::Exit => self.exit(ctx),
        }
    }

    fn log(&mut self, ctx: &mut Context<Self>, now: Now, line: &Line) {
        if self.journal.take(now, line) {
            ctx.run_later(journal::FLUSH, |shell, _ctx| shell.journal.flush());
        }
    }

    fn tell_caller(&mut self, session: id::Session, effect: caller::Effect) {
        let closes = effect == caller::Effect::Close;
        if let Some(effects) = self.links.callers.get(&session) {
            // A connection that has just ended is reported by its own event.
            let _ = effects.send(effect);
        }
        if closes {
            self.links.callers.swap_remove(&session);
        }
    }

    fn call_backend(&mut self, ctx: &mut Context<Self>, connection: id::Connection, call: Call) {
        if let Call::Open { server, address, database, workspace } = call {
            let (sender, calls) = unbounded_channel();
            self.links.backends.insert(connection, sender);
            let login = line::Message::Login { database, workspace, server };
            actix_rt::spawn(backend::run(connection, address, login, calls, ctx.address()));
            return;
        }
        let closes = call == Call::Close;
        if let Some(calls) = self.links.backends.get(&connection) {
            // As above.
            let _ = calls.send(call);
        }
        if closes {
            self.links.backends.swap_remove(&connection);
        }
    }

    fn call_link(&mut self, ctx: &mut Context<Self>, call: Stream) {
        match call {
            Stream::Request { host, address, request } => {
                let known = self.links.hosts.get(&host).map(|(_, requests)| requests.clone());
                let requests = known.unwrap_or_else(|| self.dial(ctx, host, address));
                // The end of a stream is reported by its own event.
                let _ = requests.send(request);
            }
            Stream::Respond(link, response) => {
                if let Some(responses) = self.links.guests.get(&link) {
                    // As above.
                    let _ = responses.send(response);
                }
            }
            Stream::Close(host) => {
                self.links.hosts.swap_remove(&host);
            }
        }
    }

    fn dial(
        &mut self,
        ctx: &mut Context<Self>,
        host: id::Daemon,
        address: CompactString,
    ) -> UnboundedSender<Request> {
        let (requests, orders) = unbounded_channel();
        self.links.dialed += 1;
        let serial = self.links.dialed;
        self.links.hosts.insert(host.clone(), (serial, requests.clone()));
        actix_rt::spawn(link::dial(host, serial, address, orders, ctx.address()));
        requests
    }

    fn call_store(&self, ctx: &mut Context<Self>, call: store::Call) {
        let (client, shell) = (self.store.clone(), ctx.address());
        metrics::counter!("gcl_store_calls", "name" => call.name()).increment(1);
        actix_rt::spawn(async move {
            if let Some(answer) = client.call(call).await {
                shell.do_send(Happened(Event::Store(answer)));
            }
        });
    }

    /// Takes what the settings file holds now, if that is new.
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

    /// Ends the process once the log is written and the last call to the store had its time.
    fn exit(&mut self, ctx: &mut Context<Self>) {
        self.journal.flush();
        if let Some(exit) = self.links.exit.take() {
            ctx.run_later(LAST_CALL, move |shell, _ctx| {
                shell.journal.flush();
                // The process is ending already if nobody waits for this.
                let _ = exit.send(());
            });
        }
    }
}

impl Actor for Shell {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.step(ctx, Event::Started);
        ctx.run_interval(reload::POLL, |shell, ctx| {
            let read = shell.reload.poll();
            shell.reloaded(ctx, read);
        });
    }
}

impl Handler<Happened> for Shell {
    type Result = ();

    fn handle(&mut self, Happened(event): Happened, ctx: &mut Self::Context) {
        if let Event::Caller(session, caller::Event::Closed) = &event {
            self.links.callers.swap_remove(session);
        }
        self.step(ctx, event);
    }
}

impl Handler<Welcome> for Shell {
    type Result = ();

    fn handle(&mut self, msg: Welcome, _ctx: &mut Self::Context) {
        self.links.callers.insert(msg.session, msg.effects);
    }
}

impl Handler<Streamed> for Shell {
    type Result = ();

    fn handle(&mut self, msg: Streamed, ctx: &mut Self::Context) {
        match &msg.event {
            Link::Responded(host, _) | Link::Closed { host, .. } => {
                let current = self.links.hosts.get(host).map(|(serial, _)| *serial);
                if current != msg.serial {
                    return;
                }
                if matches!(msg.event, Link::Closed { .. }) {
                    self.links.hosts.swap_remove(host);
                }
            }
            Link::PeerClosed(link) => {
                self.links.guests.swap_remove(link);
            }
            Link::Requested(..) => {}
        }
        self.step(ctx, Event::Link(msg.event));
    }
}

impl Handler<link::Joined> for Shell {
    type Result = ();

    fn handle(&mut self, msg: link::Joined, _ctx: &mut Self::Context) {
        self.links.guests.insert(msg.link, msg.responses);
    }
}

impl Handler<Unread> for Shell {
    type Result = ();

    fn handle(&mut self, Unread(detail): Unread, ctx: &mut Self::Context) {
        metrics::counter!("gcl_messages_unread").increment(1);
        let line = Line::failure("message between daemons left aside").with("detail", detail);
        let now = self.clock.now();
        self.log(ctx, now, &line);
    }
}

impl Handler<Refused> for Shell {
    type Result = ();

    fn handle(&mut self, Refused(error): Refused, ctx: &mut Self::Context) {
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

impl Handler<Reread> for Shell {
    type Result = ();

    fn handle(&mut self, _reread: Reread, ctx: &mut Self::Context) {
        let read = self.reload.read();
        self.reloaded(ctx, read);
    }
}
