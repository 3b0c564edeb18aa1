//! Duplicates, late copies, and queries of a request's fate.

use super::host::{Host, answered, request_id, run};
use gcl_core::{
    batch::Status,
    code::Code,
    mark::Mark,
    peer,
    request::{Fate, Message},
    run::{Access, Outcome, Scope},
};
use std::time::Duration;

const AGE: Duration = Duration::from_secs(1);

fn query_fate(host: &mut Host, n: u64, age: Duration) -> Option<Fate> {
    host.sent.clear();
    host.request(Message::AskFate { request: request_id(n), attempt: 1, age });
    host.sent.iter().find_map(|(_, message)| match message {
        peer::Message::Request(Message::Fate { fate, .. }) => Some(*fate),
        _ => None,
    })
}

#[test]
fn a_request_reported_as_never_seen_can_no_longer_run() {
    let mut host = Host::new(2, 20);
    host.open_all();
    assert_eq!(query_fate(&mut host, 1, AGE), Some(Fate::NeverSeen));
    host.run(run(1, Scope::Single, Access::Write));
    assert_eq!(host.started(request_id(1)), None);
    let answers = host.take_answers();
    assert!(matches!(&answers[0].outcome, Outcome::NotRun(fault) if fault.code == Code::Tombstone));
    let second_attempt = gcl_core::run::Run { attempt: 2, ..run(1, Scope::Single, Access::Write) };
    host.run(second_attempt);
    assert!(host.started(request_id(1)).is_some(), "a later attempt may run");
}

#[test]
fn a_request_from_before_the_daemon_started_is_not_reported_as_never_seen() {
    let mut host = Host::new(2, 20);
    assert_eq!(query_fate(&mut host, 1, Duration::from_secs(200)), Some(Fate::Forgotten));
}

#[test]
fn a_repeated_run_gets_the_same_answer_and_runs_once() {
    let mut host = Host::new(2, 20);
    host.open_all();
    host.run(run(1, Scope::Single, Access::Write));
    let connection = host.started(request_id(1)).expect("the request runs");
    host.run(run(1, Scope::Single, Access::Write));
    assert_eq!(query_fate(&mut host, 1, AGE), Some(Fate::Running));
    host.end(connection, request_id(1), answered(Status::Idle, Some(Mark::new(3, 101))));
    host.advance(100);
    let first = host.take_answers();
    assert_eq!(first.len(), 1);
    host.run(run(1, Scope::Single, Access::Write));
    assert_eq!(host.take_answers(), first);
    assert_eq!(query_fate(&mut host, 1, AGE), None, "the answer is sent again instead");
    assert_eq!(host.take_answers(), first);
    assert_eq!(host.started(request_id(1)), None);
}

#[test]
fn a_late_copy_of_a_refused_attempt_is_refused() {
    let mut host = Host::new(2, 20);
    host.open_all();
    let mut unknown = run(1, Scope::Single, Access::Write);
    unknown.server = "s9".into();
    host.run(unknown);
    host.take_answers();
    host.run(run(1, Scope::Single, Access::Write));
    assert_eq!(host.started(request_id(1)), None, "the entry may have sent it to another home");
}

#[test]
fn a_request_whose_answer_was_discarded_is_reported_as_forgotten() {
    let mut host = Host::new(2, 20);
    host.open_all();
    host.run(run(1, Scope::Single, Access::Write));
    let connection = host.started(request_id(1)).expect("the request runs");
    host.end(connection, request_id(1), answered(Status::Idle, Some(Mark::new(3, 101))));
    host.advance(60_000);
    host.open_all();
    host.run(run(2, Scope::Single, Access::Write));
    let connection = host.started(request_id(2)).expect("the request runs");
    host.end(connection, request_id(2), answered(Status::Idle, Some(Mark::new(3, 102))));
    host.advance(100);
    let age = Duration::from_secs(61);
    assert_eq!(query_fate(&mut host, 1, age), Some(Fate::Forgotten));
}
