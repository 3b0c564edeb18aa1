//! Handover of a server between two homes.

use super::host::{Host, answered, member, request_id, run};
use gcl_core::{
    batch::Status,
    code::Code,
    home::{self, Message, pool},
    peer,
    run::{Access, Outcome, Scope},
    server::{self, Call},
};

const CONNECTIONS: u32 = 20;

fn release_sent(host: &Host, to: &str) -> bool {
    let message = peer::Message::Home(Message::Released("s1".into()));
    host.sent.iter().any(|(name, sent)| name == to && *sent == message)
}

/// Adds a daemon that becomes the home of server s1, and returns its name.
fn move_home(host: &mut Host) -> String {
    let outweighs = |name: &String| {
        let weight = |name: &str| gcl_core::rendezvous::weight("s1", name);
        weight(name) > weight("home")
    };
    let other = (0..1_000)
        .map(|n| format!("other-{n}"))
        .find(outweighs)
        .expect("one of the names outweighs this daemon");
    host.state.member.members.insert(other.as_str().into(), member(&other));
    host.call(home::on_members);
    other
}

#[test]
fn two_homes_leave_connections_for_control_questions() {
    for connections in 4..200 {
        let both = pool::capacity(connections, true) + pool::capacity(connections, false);
        assert!(both < connections, "both homes may open {both} of {connections} connections");
    }
}

#[test]
fn a_new_home_uses_only_its_reserve_until_the_old_one_releases() {
    let mut host = Host::among(8, CONNECTIONS, &["entry", "older"]);
    host.open_all();
    for n in 1..=12 {
        host.run(run(n, Scope::Single, Access::Write));
    }
    host.open_all();
    let open = host.state.home.pool("s1").expect("the daemon is home of s1").connections.len();
    assert_eq!(open, pool::capacity(CONNECTIONS as usize, false));
    host.receive("older", peer::Message::Home(Message::Released("s1".into())));
    host.open_all();
    assert_eq!(host.state.home.pool("s1").expect("the daemon is home of s1").executing(), 8);
}

#[test]
fn a_new_home_waits_for_the_connections_of_a_dead_one() {
    let mut host = Host::among(8, CONNECTIONS, &["entry", "older"]);
    let older = host.state.member.members.get_mut("older").expect("it is a member");
    older.alive = false;
    host.advance(8_000);
    assert!(!host.state.home.pool("s1").expect("the daemon is home of s1").takeover_complete);
    host.advance(4_000);
    assert!(host.state.home.pool("s1").expect("the daemon is home of s1").takeover_complete);
}

#[test]
fn a_home_that_loses_a_server_finishes_transactions_before_its_release() {
    let mut host = Host::new(1, CONNECTIONS);
    host.open_all();
    host.run(run(1, Scope::Begin, Access::Write));
    let connection = host.started(request_id(1)).expect("the request runs");
    host.run(run(2, Scope::Single, Access::Write));
    let other = move_home(&mut host);
    let answers = host.take_answers();
    let refused = |outcome: &Outcome| {
        matches!(outcome, Outcome::NotRun(fault)
            if fault.code == Code::HomeLost && fault.retry_after.is_some())
    };
    assert!(
        answers.iter().any(|answer| answer.request == request_id(2) && refused(&answer.outcome))
    );
    host.end(connection, request_id(1), answered(Status::Open, None));
    host.advance(100);
    let last =
        gcl_core::run::Run { ends: true, ..run(3, Scope::Within(request_id(1)), Access::Write) };
    host.run(last);
    assert_eq!(
        host.started(request_id(3)),
        Some(connection),
        "an open transaction keeps running here"
    );
    assert!(!release_sent(&host, &other));
    host.end(connection, request_id(3), answered(Status::Idle, None));
    for (server, call) in std::mem::take(&mut host.calls) {
        if let Call::Close(closed) = call {
            host.deliver(gcl_core::event::Event::Server(server, server::Event::Closed(closed)));
        }
    }
    host.advance(2_000);
    assert!(release_sent(&host, &other));
    assert!(host.state.home.pool("s1").is_none());
}

#[test]
fn a_daemon_without_connections_releases_at_once() {
    let mut host = Host::new(1, CONNECTIONS);
    host.receive("newer", peer::Message::Home(Message::Claim("s9".into())));
    let message = peer::Message::Home(Message::Released("s9".into()));
    assert!(host.sent.contains(&("newer".into(), message)));
}

#[test]
fn a_draining_home_hands_over_when_another_daemon_is_alive() {
    let mut host = Host::among(1, CONNECTIONS, &["entry", "other"]);
    host.open_all();
    host.state.draining = true;
    host.call(home::drain);
    assert!(home::is_busy(&host.state));
    host.run(run(1, Scope::Single, Access::Write));
    let answers = host.take_answers();
    assert!(matches!(&answers[0].outcome, Outcome::NotRun(fault) if fault.code == Code::Draining));
    host.advance(3_000);
    assert!(!home::is_busy(&host.state), "a close that is not confirmed does not delay the stop");
    assert!(release_sent(&host, "other"));
}
