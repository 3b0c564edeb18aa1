//! The reducer: dispatches each event to its handler and collects the effects.

use crate::{
    authority,
    backend::{Answer, Event as Backend},
    connection::Step,
    discovery, drain,
    effect::{Effect, Effects},
    era, evacuation,
    event::Event,
    failover, gossip, home,
    line::Line,
    link::{self, Request},
    pool, position, registration, remote, request, restart, role, session,
    settings::Settings,
    state::State,
    timer, watch,
};
use gcl_core::{batch::Status, id, time::Now};
use std::time::Duration;

/// Handles one event and returns its effects, in order.
pub fn reduce(state: &mut State, now: Now, event: Event) -> Vec<Effect> {
    let mut fx = Effects::default();
    match event {
        Event::Started => {
            fx.log(Line::state_change("started").with("incarnation", state.incarnation));
            role::start(state, now, &mut fx);
        }
        Event::Caller(session, event) => session::on_event(state, now, &mut fx, session, event),
        Event::Backend(connection, event) => on_backend(state, now, &mut fx, connection, event),
        Event::Store(answer) => watch::on_answer(state, now, &mut fx, answer),
        Event::Promoted { database, result } => {
            failover::on_promoted(state, now, &mut fx, &database, result);
        }
        Event::Peer(digest) => gossip::on_digest(state, now, &mut fx, &digest),
        Event::Link(event) => on_link(state, now, &mut fx, event),
        Event::Settings { settings, kept } => on_settings(state, &mut fx, *settings, kept),
        Event::Wake => {}
        Event::Stop => drain::start(state, now, &mut fx),
    }
    while let Some(key) = state.timers.pop(now.mono) {
        on_timer(state, now, &mut fx, key);
    }
    report_readiness(state, now, &mut fx);
    fx.take()
}

fn on_settings(
    state: &mut State,
    fx: &mut Effects,
    settings: Settings,
    mut kept: Vec<&'static str>,
) {
    let outcome = state.settings.reload(settings);
    kept.extend(outcome.kept);
    let line =
        Line::state_change("settings read again").with("in_force", outcome.applied.join(", "));
    fx.log(line.with("at_next_start", kept.join(", ")));
}

/// Reports a change of readiness: a daemon is ready while it can serve callers and does not drain.
fn report_readiness(state: &mut State, now: Now, fx: &mut Effects) {
    let ready = state.drain == drain::State::Serving && registration::can_serve(state, now);
    if ready != state.ready {
        state.ready = ready;
        let left = authority::expires_at(state).saturating_sub(now.mono);
        home::refresh(state, now);
        fx.log(
            Line::state_change("readiness changed").with("ready", ready).millis("lease_left", left),
        );
        fx.push(Effect::Ready(ready));
        if !ready && state.drain == drain::State::Serving {
            session::close_all_idle(state, now, fx);
        }
    }
}

fn on_timer(state: &mut State, now: Now, fx: &mut Effects, key: timer::Key) {
    match key {
        timer::Key::Deadline(session) => request::on_deadline(state, now, fx, session),
        timer::Key::Retry(session) => request::on_retry(state, now, fx, session),
        timer::Key::Idle(session) => session::on_idle(state, now, fx, session),
        timer::Key::IdleConnections(server) => pool::on_surplus(state, now, fx, &server),
        timer::Key::Gossip => gossip::on_timer(state, now, fx),
        timer::Key::Lease => registration::on_timer(state, now, fx),
        timer::Key::Store(topic) => watch::on_timer(state, fx, topic),
        timer::Key::Era => era::on_timer(state, now, fx),
        timer::Key::Lapsed => watch::on_lapsed(state, now, fx),
        timer::Key::Evacuation => evacuation::on_timer(state, now, fx),
        timer::Key::Failover(database) => failover::review(state, now, fx, &database),
        timer::Key::Role => role::on_timer(state, fx),
        timer::Key::Discovery => discovery::on_timer(state, now, fx),
        timer::Key::Link(host) => link::on_timer(state, now, fx, &host),
        timer::Key::Position(database) => position::on_timer(state, now, fx, &database),
        timer::Key::Drain => drain::on_timer(state, now, fx),
        timer::Key::Grace => drain::exit(state, fx),
    }
}

fn on_link(state: &mut State, now: Now, fx: &mut Effects, event: link::Event) {
    match event {
        link::Event::Responded(host, message) => link::on_response(state, now, fx, &host, message),
        link::Event::Closed { host, was_open } => link::on_closed(state, now, fx, &host, was_open),
        link::Event::PeerClosed(link) => remote::on_stream_closed(state, now, fx, link),
        link::Event::Requested(link, request) => match request {
            Request::Ping => fx.link(link::Call::Respond(link, link::Response::Pong)),
            Request::Run(run) => remote::on_run(state, now, fx, link, *run),
            Request::Abort(session) => remote::on_abort(state, now, fx, link, session),
            Request::Discover(versions) => discovery::on_request(state, now, fx, link, versions),
            Request::Config(version) => discovery::on_config_request(state, fx, link, version),
            Request::Position(database, requested) => {
                position::on_request(state, now, fx, link, database, requested);
            }
        },
    }
}

fn on_backend(
    state: &mut State,
    now: Now,
    fx: &mut Effects,
    connection: id::Connection,
    event: Backend,
) {
    match event {
        Backend::Opened(mark) => pool::on_opened(state, now, fx, connection, mark),
        Backend::Refused(refusal) => pool::on_refused(state, now, fx, connection, &refusal),
        Backend::Answered(answer) => on_answered(state, now, fx, connection, answer),
        Backend::Closed { reason, answered } => {
            let server = state.connections.get(&connection).map(|conn| conn.server.clone());
            let Some(server) = server else {
                return;
            };
            let line = Line::failure("connection ended").with("server", &server);
            fx.log(line.with("reason", &reason).with("answered", answered));
            if let Some(pool) = state.pools.get_mut(&server) {
                pool.on_failure(now, answered);
            }
            request::on_closed(state, now, fx, connection, &reason);
            pool::reroute_waiting(state, now, fx, &server);
            if let Some(entry) = state.directory.get(&server) {
                let database = entry.database.clone();
                failover::review(state, now, fx, &database);
            }
        }
    }
}

fn on_answered(
    state: &mut State,
    now: Now,
    fx: &mut Effects,
    connection: id::Connection,
    answer: Answer,
) {
    let Some(conn) = state.connections.get_mut(&connection) else {
        return;
    };
    let Some((step, sent)) = conn.in_flight.take() else {
        // An unexpected answer: the connection's state is unknown.
        return request::on_closed(state, now, fx, connection, "an answer without a question");
    };
    conn.in_transaction = answer.status != Status::Idle;
    let (session, server) = (conn.session, conn.server.clone());
    let received = answer.report.map(|report| report.received);
    restart::on_position(state, now, fx, connection, sent, (answer.mark, received));
    if let Some(pool) = state.pools.get_mut(&server) {
        pool.mark = answer.mark.max(pool.mark);
        pool.received = received.or(pool.received);
        pool.reported = received.map(|received| (sent, received)).or(pool.reported);
        if step == Step::Statement {
            pool.on_latency(now, now.since(sent));
        } else {
            pool.on_success(now);
        }
    }
    if step == Step::Report {
        failover::on_position(state, now, &server, sent);
    }
    dispatch_answer(state, now, fx, (connection, sent), (step, session), answer);
    if home::is_home_for(state, &server) {
        // Any answer frees capacity for queued statements.
        pool::dispatch(state, now, fx, &server);
    }
}

/// Dispatches an answer to the session that uses the connection.
fn dispatch_answer(
    state: &mut State,
    now: Now,
    fx: &mut Effects,
    (connection, sent): (id::Connection, Duration),
    (step, session): (Step, Option<id::Session>),
    answer: Answer,
) {
    match (step, session) {
        (Step::Statement, Some(session)) => {
            request::on_answer(state, now, fx, session, (connection, sent), answer);
        }
        (Step::Rollback | Step::Report, _) | (_, None) => {
            if answer.result.is_err() {
                pool::close(state, fx, connection);
            } else {
                pool::release(state, now, fx, connection);
            }
        }
        (step, Some(session)) => {
            let refusal = answer.result.err();
            if let Some(conn) = state.connections.get_mut(&connection) {
                match &refusal {
                    None => conn.apply(step.clone()),
                    Some(refusal) if !refusal.not_run() => conn.on_failed(&step),
                    Some(_) => {}
                }
            }
            let outcome = (&step, refusal.as_ref());
            request::on_setup_answered(state, now, fx, session, connection, outcome);
        }
    }
}
