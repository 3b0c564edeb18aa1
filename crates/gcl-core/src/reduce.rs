//! The reducer: dispatches each event to the module that handles it and collects the effects.
//!
//! It does no I/O and reads no clock. Messages that a daemon sends to itself never leave the
//! reducer: they are queued as the next events, so that local and remote homes share one code path.

use crate::{
    config,
    effect::{Effect, Effects},
    event::Event,
    group, home, limit, member, operation, peer,
    record::anchor,
    request, server, session,
    state::State,
    store,
    time::Now,
    timer,
};
use std::{collections::VecDeque, time::Duration};

/// Interval of the daemon's periodic work.
const TICK: Duration = Duration::from_millis(100);

/// Applies one event to the state and returns the resulting effects in order.
pub fn reduce(state: &mut State, now: Now, event: Event) -> Vec<Effect> {
    let mut fx = Effects::default();
    let mut done = Vec::new();
    let mut queue = VecDeque::from([event]);
    while let Some(event) = queue.pop_front() {
        let version = state.config.version;
        dispatch(state, now, &mut fx, event);
        report_readiness(state, &mut fx);
        if state.config.version != version {
            on_config(state, now, &mut fx);
        }
        for effect in fx.take() {
            match effect {
                Effect::Peer { to, message, .. } if to == state.settings.daemon => {
                    queue.push_back(loop_back(state, message));
                }
                other => done.push(other),
            }
        }
    }
    done
}

/// Reports changes of readiness: a daemon is ready from the first confirmed configuration until it
/// drains.
fn report_readiness(state: &mut State, fx: &mut Effects) {
    let ready = !state.draining && state.config.confirmed.is_some();
    if ready != state.ready {
        state.ready = ready;
        fx.push(Effect::Ready(ready));
    }
}

fn loop_back(state: &State, message: peer::Message) -> Event {
    let from = state.settings.daemon.clone();
    Event::Peer(peer::Event::Received { from, incarnation: state.incarnation, message })
}

fn dispatch(state: &mut State, now: Now, fx: &mut Effects, event: Event) {
    match event {
        Event::Started => on_start(state, now, fx),
        Event::Caller(session, event) => session::on_event(state, now, fx, session, event),
        Event::Peer(event) => on_peer(state, now, fx, event),
        Event::Store(event) => on_store(state, now, fx, &event),
        Event::Server(name, server::Event::Answered { question, result }) => {
            let _ = name;
            group::on_report(state, now, fx, question, result);
        }
        Event::Server(name, event) => home::on_server(state, now, fx, &name, event),
        Event::Operator(operation, request) => {
            operation::on_request(state, now, fx, operation, &request);
        }
        Event::Head(head) => anchor::on_head(state, fx, head),
        Event::Timer(key) => on_timer(state, now, fx, &key),
        Event::Stop => on_stop(state, now, fx),
    }
}

fn on_start(state: &mut State, now: Now, fx: &mut Effects) {
    member::start(state, now, fx);
    config::start(state, now, fx);
    limit::start(state, now, fx);
    anchor::start(state, now, fx);
    fx.arm(timer::Key::Tick, now.mono + TICK);
}

fn on_peer(state: &mut State, now: Now, fx: &mut Effects, event: peer::Event) {
    match event {
        peer::Event::Received { from, incarnation, message } => {
            member::on_contact(state, now, fx, &from, incarnation);
            on_message(state, now, fx, &from, message);
        }
        peer::Event::Lost(lost) => {
            member::on_lost(state, now, fx, &lost);
            request::on_lost(state, now, fx, &lost);
            home::on_lost(state, now, fx, &lost);
        }
    }
}

fn on_message(
    state: &mut State,
    now: Now,
    fx: &mut Effects,
    from: &crate::id::Daemon,
    message: peer::Message,
) {
    match message {
        peer::Message::Run(run) => home::on_run(state, now, fx, from, *run),
        peer::Message::Answer(answer) => request::on_answer(state, now, fx, from, *answer),
        peer::Message::Request(message) => request::on_message(state, now, fx, from, &message),
        peer::Message::Home(message) => home::on_message(state, now, fx, from, message),
        peer::Message::Group(message) => group::on_message(state, now, fx, from, message),
        peer::Message::Member(message) => member::on_message(state, now, fx, from, message),
        peer::Message::Config(message) => config::on_message(state, now, fx, from, message),
        peer::Message::Anchor(message) => anchor::on_message(state, message),
        peer::Message::Limit(message) => limit::on_message(state, now, fx, from, message),
    }
}

fn on_store(state: &mut State, now: Now, fx: &mut Effects, event: &store::Event) {
    let _ = config::on_store(state, now, fx, event)
        || limit::on_store(state, now, fx, event)
        || member::on_store(state, now, fx, event)
        || anchor::on_store(state, fx, event)
        || operation::on_store(state, now, fx, event);
}

fn on_config(state: &mut State, now: Now, fx: &mut Effects) {
    group::on_config(state, now, fx);
    home::on_config(state, now, fx);
    session::on_config(state, now, fx);
}

fn on_timer(state: &mut State, now: Now, fx: &mut Effects, key: &timer::Key) {
    match key {
        timer::Key::Tick => on_tick(state, now, fx),
        timer::Key::Login(session) | timer::Key::Idle(session) => {
            session::on_timer(state, now, fx, *session);
        }
        timer::Key::Deadline(request) => request::on_deadline(state, now, fx, *request),
        timer::Key::Retry(request) => request::on_retry(state, now, fx, *request),
        timer::Key::Queue(server) => home::on_queue_timer(state, now, fx, server),
        timer::Key::Transaction(transaction) => {
            home::on_transaction_timer(state, now, fx, *transaction);
        }
        timer::Key::Group(database) => group::on_timer(state, now, fx, database),
        timer::Key::Failover(database) => group::on_failover_timer(state, now, fx, database),
        timer::Key::Probe => member::on_timer(state, now, fx),
        timer::Key::Config => config::on_timer(state, now, fx),
        timer::Key::Seat => limit::on_timer(state, now, fx),
        timer::Key::Anchor => anchor::on_timer(state, now, fx),
        timer::Key::Operation(operation) => operation::on_timer(state, now, fx, *operation),
    }
}

fn on_tick(state: &mut State, now: Now, fx: &mut Effects) {
    fx.arm(timer::Key::Tick, now.mono + TICK);
    let idle = !request::is_busy(state) && !home::is_busy(state);
    if state.draining && (idle || now.mono >= state.drain_until) {
        fx.push(Effect::Exit);
    }
}

fn on_stop(state: &mut State, now: Now, fx: &mut Effects) {
    if state.draining {
        return;
    }
    state.draining = true;
    state.drain_until = now.mono + Duration::from_millis(state.settings.bounds.drain_ms);
    fx.push(Effect::CloseListeners);
    session::drain(state, now, fx);
    limit::drain(state, now, fx);
    member::drain(state, now, fx);
    home::drain(state, now, fx);
}
