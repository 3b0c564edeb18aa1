//! When a request starts, and when it is answered.

use super::host::{Host, answered, request_id, run};
use gcl_core::{
    batch::Status,
    code::Code,
    group, home,
    mark::Mark,
    peer, request,
    run::{Access, Outcome, Scope},
    server::{self, Call, Completion},
};
use std::time::Duration;
use test_case::test_case;

const REPLICA: Access = Access::Replica {
    floor: None,
    max_age: Duration::from_secs(5),
    wait: Duration::from_millis(50),
};

fn code(outcome: &Outcome) -> Option<Code> {
    match outcome {
        Outcome::Done { .. } => None,
        Outcome::NotRun(fault) | Outcome::Unknown(fault) => Some(fault.code),
    }
}

fn started(host: &mut Host, n: u64, scope: Scope, access: Access) -> u64 {
    host.open_all();
    host.run(run(n, scope, access));
    host.started(request_id(n)).expect("an idle connection runs it at once")
}

#[test]
fn a_write_is_answered_when_a_majority_holds_it_and_its_connection_is_reused() {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Single, Access::Write);
    host.end(connection, request_id(1), answered(Status::Idle, Some(Mark::new(3, 101))));
    host.advance(100);
    let answers = host.take_answers();
    assert!(matches!(answers[0].outcome, Outcome::Done { .. }), "{answers:?}");
    host.run(run(2, Scope::Single, Access::Write));
    assert_eq!(
        host.started(request_id(2)),
        Some(connection),
        "the connection is reused without a reset"
    );
}

#[test_case(Some(Mark::new(3, 101)); "a commit")]
#[test_case(None; "a write that changed nothing")]
fn a_write_without_a_majority_is_unknown(mark: Option<Mark>) {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Single, Access::Write);
    host.servers_silent = true;
    host.end(connection, request_id(1), answered(Status::Idle, mark));
    assert!(host.take_answers().is_empty(), "nothing is acknowledged without a majority");
    host.advance(20_000);
    assert_eq!(code(&host.take_answers()[0].outcome), Some(Code::MajorityUnknown));
}

#[test_case(Access::Strong)]
#[test_case(REPLICA)]
fn a_read_that_writes_is_refused_as_read_only(access: Access) {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Single, access);
    let ended = Completion::Answered {
        frames: Vec::new(),
        status: Status::Idle,
        mark: None,
        error: Some("25006".into()),
    };
    host.end(connection, request_id(1), ended);
    assert_eq!(code(&host.take_answers()[0].outcome), Some(Code::ReadOnly));
}

#[test]
fn an_sql_error_is_answered_at_once() {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Single, Access::Write);
    let ended = Completion::Answered {
        frames: Vec::new(),
        status: Status::Idle,
        mark: None,
        error: Some("23505".into()),
    };
    host.end(connection, request_id(1), ended);
    assert_eq!(code(&host.take_answers()[0].outcome), None);
}

#[test_case(Access::Write, true, Code::OutcomeUnknown)]
#[test_case(Access::Write, false, Code::ServerLost)]
#[test_case(Access::Strong, true, Code::ServerLost)]
fn a_lost_connection_is_reported_as_unknown_or_not_run(access: Access, sent: bool, expected: Code) {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Single, access);
    host.end(connection, request_id(1), Completion::Lost { sent });
    assert_eq!(code(&host.take_answers()[0].outcome), Some(expected));
}

#[test]
fn a_strong_read_whose_primary_was_superseded_is_not_answered_with_data() {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Single, Access::Strong);
    host.take_answers();
    let leader = gcl_core::run::Leader { term: 9, server: "s2".into() };
    group::on_leader(&mut host.state, &"db".into(), leader);
    host.end(connection, request_id(1), answered(Status::Idle, None));
    host.call(|state, now, fx| home::on_leadership_proof(state, now, fx, request_id(1), Ok(())));
    for answer in host.take_answers() {
        assert!(code(&answer.outcome).is_none_or(Code::not_run), "{answer:?}");
    }
}

#[test]
fn a_statement_of_another_session_is_refused() {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Begin, Access::Write);
    host.end(connection, request_id(1), answered(Status::Open, None));
    host.advance(100);
    host.take_answers();
    let mut other = run(2, Scope::Within(request_id(1)), Access::Write);
    other.workspace = "ws-b".into();
    host.run(other);
    let message = peer::Message::Run(Box::new(run(3, Scope::Within(request_id(1)), Access::Write)));
    host.receive("stranger", message);
    let codes: Vec<_> = host.take_answers().iter().map(|answer| code(&answer.outcome)).collect();
    assert_eq!(codes, [Some(Code::TransactionLost); 2]);
    assert!(host.take_calls().iter().all(|call| !matches!(call, Call::Run { .. })));
}

#[test]
fn a_transaction_keeps_its_connection_and_its_term() {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Begin, Access::Write);
    host.end(connection, request_id(1), answered(Status::Open, None));
    host.advance(100);
    host.run(run(2, Scope::Within(request_id(1)), Access::Strong));
    let calls = host.take_calls();
    let kept = calls.iter().any(|call| {
        matches!(call, Call::Run { connection: used, read_only: false, term: Some(3), .. }
            if *used == connection)
    });
    assert!(kept, "{calls:?}");
}

#[test_case(true; "the stream to the entry breaks")]
#[test_case(false; "the session ends")]
fn an_idle_transaction_is_rolled_back(lost: bool) {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Begin, Access::Write);
    host.end(connection, request_id(1), answered(Status::Open, None));
    host.take_calls();
    if lost {
        host.deliver(gcl_core::event::Event::Peer(peer::Event::Lost("entry".into())));
    } else {
        host.request(request::Message::Release(request_id(1)));
    }
    assert!(host.take_calls().contains(&Call::Reset(connection)));
    host.run(run(2, Scope::Within(request_id(1)), Access::Write));
    assert_eq!(
        code(&host.take_answers().pop().expect("the statement is answered").outcome),
        Some(Code::TransactionLost)
    );
}

#[test]
fn a_connection_whose_session_ended_during_a_statement_is_closed() {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Begin, Access::Write);
    host.request(request::Message::Release(request_id(1)));
    host.end(connection, request_id(1), answered(Status::Open, None));
    assert!(
        host.take_calls().contains(&Call::Close(connection)),
        "its transaction state is unknown"
    );
}

#[test]
fn an_idle_transaction_times_out() {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Begin, Access::Write);
    host.end(connection, request_id(1), answered(Status::Open, None));
    host.take_calls();
    host.advance(31_000);
    assert!(host.take_calls().contains(&Call::Reset(connection)));
}

#[test]
fn a_cancelled_connection_is_not_used_again() {
    let mut host = Host::new(1, 20);
    let connection = started(&mut host, 1, Scope::Single, Access::Write);
    host.request(request::Message::Cancel(request_id(1)));
    assert!(host.take_calls().contains(&Call::Cancel(connection)));
    host.end(connection, request_id(1), answered(Status::Idle, None));
    assert!(host.take_calls().contains(&Call::Close(connection)));
}

#[test]
fn a_late_answer_closes_the_connection() {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Single, Access::Write);
    host.end(connection, request_id(99), answered(Status::Idle, None));
    assert!(host.take_calls().contains(&Call::Close(connection)));
    assert_eq!(code(&host.take_answers()[0].outcome), Some(Code::OutcomeUnknown));
}

#[test]
fn requests_for_a_full_server_are_refused_with_a_retry_delay() {
    let mut host = Host::new(1, 20);
    host.run(run(1, Scope::Single, Access::Write));
    for call in host.take_calls() {
        if let Call::Open { connection, .. } = call {
            host.server(server::Event::Failed { connection, full: true });
        }
    }
    let answers = host.take_answers();
    assert_eq!(code(&answers[0].outcome), Some(Code::ServerLost));
    let Outcome::NotRun(fault) = &answers[0].outcome else { panic!("it did not run") };
    assert!(fault.retry_after.is_some());
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_at_once() {
    let mut host = Host::new(1, 20);
    for n in 1..40 {
        let connection = started(&mut host, n, Scope::Single, Access::Write);
        host.advance(200);
        host.end(connection, request_id(n), answered(Status::Idle, Some(Mark::new(3, 101))));
        host.advance(100);
    }
    started(&mut host, 50, Scope::Single, Access::Write);
    host.take_answers();
    let short = gcl_core::run::Run {
        budget: Duration::from_millis(50),
        ..run(51, Scope::Single, Access::Write)
    };
    host.run(short);
    assert_eq!(code(&host.take_answers()[0].outcome), Some(Code::Deadline));
    host.run(run(52, Scope::Single, Access::Write));
    assert!(host.take_answers().is_empty(), "one with a later deadline is queued");
}

/// Changes the rule that places the requests.
fn change_rule(host: &mut Host) {
    let snapshot = &mut host.state.config.snapshot;
    let mut rule = snapshot.rules["orders"].value.clone();
    rule.priority = 1;
    snapshot.put(2, gcl_core::config::object::Object::Rule(rule));
    snapshot.rebuild_indexes();
}

#[test]
fn a_request_placed_by_outdated_rules_is_refused() {
    let mut host = Host::new(2, 20);
    let connection = started(&mut host, 1, Scope::Begin, Access::Write);
    host.end(connection, request_id(1), answered(Status::Open, None));
    host.advance(100);
    host.take_answers();
    change_rule(&mut host);
    host.run(run(2, Scope::Single, Access::Write));
    host.run(run(3, Scope::Within(request_id(1)), Access::Write));
    let codes: Vec<_> = host.take_answers().iter().map(|answer| code(&answer.outcome)).collect();
    assert_eq!(codes, [Some(Code::RevisionMismatch), Some(Code::TransactionLost)]);
    assert!(
        host.take_calls().contains(&Call::Reset(connection)),
        "an open transaction that writes is rolled back"
    );
}

#[test]
fn a_leaving_server_gets_no_new_work_and_finishes_what_runs() {
    let mut host = Host::new(1, 20);
    let connection = started(&mut host, 1, Scope::Single, Access::Write);
    host.run(run(2, Scope::Single, Access::Write));
    let servers = &mut host.state.config.snapshot.servers;
    let server = servers.get_mut("s1").expect("it is configured");
    server.value.leaving = true;
    server.revision = 2;
    host.call(home::on_config);
    host.run(run(3, Scope::Single, Access::Write));
    let codes: Vec<_> = host.take_answers().iter().map(|answer| code(&answer.outcome)).collect();
    assert_eq!(codes, [Some(Code::ServerLost); 2], "queued and new requests are refused");
    host.end(connection, request_id(1), answered(Status::Idle, Some(Mark::new(3, 101))));
    host.advance(100);
    assert_eq!(code(&host.take_answers()[0].outcome), None);
}

#[test]
fn a_replica_read_that_grew_too_old_in_the_queue_is_not_run() {
    let mut host = Host::new(1, 20);
    host.open_all();
    host.run(run(1, Scope::Single, REPLICA));
    host.advance(20);
    let connection = host.started(request_id(1)).expect("the first read takes the only slot");
    host.run(run(2, Scope::Single, REPLICA));
    host.advance(20);
    host.servers_silent = true;
    host.advance(6_000);
    host.end(connection, request_id(1), answered(Status::Idle, Some(Mark::new(3, 100))));
    assert_eq!(host.started(request_id(2)), None, "the age of its data can no longer be proven");
    let answers = host.take_answers();
    let second = answers.iter().find(|answer| answer.request == request_id(2));
    let second = second.expect("the second read is answered");
    assert_eq!(code(&second.outcome), Some(Code::NoReplica));
}

#[test]
fn an_answer_of_a_replica_that_came_too_late_is_not_passed_on() {
    let mut host = Host::new(2, 20);
    host.open_all();
    host.run(run(1, Scope::Single, REPLICA));
    host.advance(20);
    let connection = host.started(request_id(1)).expect("the read starts");
    host.servers_silent = true;
    host.advance(6_000);
    host.end(connection, request_id(1), answered(Status::Idle, Some(Mark::new(3, 100))));
    let answers = host.take_answers();
    let outcome = &answers.last().expect("the read is answered").outcome;
    assert_eq!(code(outcome), Some(Code::OutcomeUnknown), "its data may be older than 5 s");
}
