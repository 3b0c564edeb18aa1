//! Duplicates, late copies and questions about what became of a request.

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

fn ask(host: &mut Host, n: u64, age: Duration) -> Option<Fate> {
    host.sent.clear();
    host.request(Message::AskFate { request: request_id(n), attempt: 1, age });
    host.sent.iter().find_map(|(_, message)| match message {
        peer::Message::Request(Message::Fate { fate, .. }) => Some(*fate),
        _ => None,
    })
}

#[test]
fn a_request_never_seen_can_no_longer_run() {
    let mut host = Host::new(2, 20);
    host.open_all();
    assert_eq!(ask(&mut host, 1, AGE), Some(Fate::NeverSeen));
    host.run(run(1, Scope::Single, Access::Write));
    assert_eq!(host.started(request_id(1)), None);
    let answers = host.take_answers();
    assert!(matches!(&answers[0].outcome, Outcome::NotRun(fault) if fault.code == Code::Tombstone));
    let again = gcl_core::run::Run { attempt: 2, ..run(1, Scope::Single, Access::Write) };
    host.run(again);
    assert!(host.started(request_id(1)).is_some(), "a later try is a new one");
}

#[test]
fn a_question_about_a_time_before_this_life_is_not_answered_with_never() {
    let mut host = Host::new(2, 20);
    assert_eq!(ask(&mut host, 1, Duration::from_secs(200)), Some(Fate::Forgotten));
}

#[test]
fn a_repeated_run_gets_the_same_answer_and_runs_once() {
    let mut host = Host::new(2, 20);
    host.open_all();
    host.run(run(1, Scope::Single, Access::Write));
    let connection = host.started(request_id(1)).expect("it starts");
    host.run(run(1, Scope::Single, Access::Write));
    assert_eq!(ask(&mut host, 1, AGE), Some(Fate::Running));
    host.end(connection, request_id(1), answered(Status::Idle, Some(Mark::new(3, 101))));
    host.advance(100);
    let first = host.take_answers();
    assert_eq!(first.len(), 1);
    host.run(run(1, Scope::Single, Access::Write));
    assert_eq!(host.take_answers(), first);
    assert_eq!(ask(&mut host, 1, AGE), None, "the answer comes again instead");
    assert_eq!(host.take_answers(), first);
    assert_eq!(host.started(request_id(1)), None);
}

#[test]
fn a_refused_try_stays_refused_when_its_copy_comes_late() {
    let mut host = Host::new(2, 20);
    host.open_all();
    let mut unknown = run(1, Scope::Single, Access::Write);
    unknown.server = "s9".into();
    host.run(unknown);
    host.take_answers();
    host.run(run(1, Scope::Single, Access::Write));
    assert_eq!(host.started(request_id(1)), None, "the entry may have gone elsewhere");
}

#[test]
fn forgotten_answers_are_said_to_be_forgotten() {
    let mut host = Host::new(2, 20);
    host.open_all();
    host.run(run(1, Scope::Single, Access::Write));
    let connection = host.started(request_id(1)).expect("it starts");
    host.end(connection, request_id(1), answered(Status::Idle, Some(Mark::new(3, 101))));
    host.advance(60_000);
    host.open_all();
    host.run(run(2, Scope::Single, Access::Write));
    let connection = host.started(request_id(2)).expect("it starts");
    host.end(connection, request_id(2), answered(Status::Idle, Some(Mark::new(3, 102))));
    host.advance(100);
    let age = Duration::from_secs(61);
    assert_eq!(ask(&mut host, 1, age), Some(Fate::Forgotten));
}
