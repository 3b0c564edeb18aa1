//! Tests of `gcl_core::request`: which requests are sent again, and which outcome is reported.

use crate::fixture::{at, configured};
use gcl_core::{
    batch::{Batch, Status},
    code::{Code, Fault},
    effect::{Effect, Effects},
    event::Event,
    peer,
    record::{Kind, Line},
    reduce::reduce,
    request::{self, Fate, Submission},
    run::{Answer, Leader, Outcome, Run, Scope},
    state::State,
    statement::{Class, Options},
    time::Now,
    timer,
    token::Floor,
};

use std::time::Duration;
use test_case::test_case;

const HOME: &str = "d2";
const SERVER: &str = "orders-1-a";

/// A daemon that sends every request to another daemon, the home of the primary.
fn entry() -> State {
    let mut state = configured("d1");
    state.settings.domain = "elsewhere".into();
    let leader = Leader { term: 1, server: SERVER.into() };
    gcl_core::group::on_leader(&mut state, &"orders-1".into(), leader);
    state
}

fn submission(class: Class) -> Submission {
    Submission {
        session: 5,
        workspace: "altyn".into(),
        key: "k1".into(),
        service: "orders-db".into(),
        class,
        options: Options::default(),
        floor: Floor::default(),
        variables: Vec::new(),
        batch: Batch::Simple("insert into t values (1)".to_owned()),
    }
}

fn sent(effects: &[Effect]) -> Option<Run> {
    effects.iter().find_map(|effect| match effect {
        Effect::Peer { message: peer::Message::Run(run), .. } => Some((**run).clone()),
        _ => None,
    })
}

fn start(state: &mut State, submission: Submission) -> Run {
    let mut fx = Effects::default();
    request::submit(state, at(1_000), &mut fx, submission);
    sent(fx.as_slice()).expect("the request is sent to its home")
}

fn answer(state: &mut State, now: Now, run: &Run, outcome: Outcome) -> Vec<Effect> {
    let answer = Answer {
        request: run.request,
        attempt: run.attempt,
        server: run.server.clone(),
        outcome,
        leader: None,
    };
    receive(state, now, peer::Message::Answer(Box::new(answer)))
}

fn receive(state: &mut State, now: Now, message: peer::Message) -> Vec<Effect> {
    let event = peer::Event::Received { from: HOME.into(), incarnation: 1, message };
    reduce(state, now, Event::Peer(event))
}

fn retry(state: &mut State, now: Now, run: &Run) -> Option<Run> {
    let effects = reduce(state, now, Event::Timer(timer::Key::Retry(run.request)));
    sent(&effects)
}

fn refusal(code: Code) -> Outcome {
    Outcome::NotRun(Fault::new(code, "test"))
}

fn unknown() -> Outcome {
    Outcome::Unknown(Fault::new(Code::OutcomeUnknown, "test"))
}

/// The record line of the outcome that was reported to the caller.
fn reported_line(effects: &[Effect]) -> Option<&Line> {
    effects.iter().find_map(|effect| match effect {
        Effect::Record(line) if matches!(line.kind, Kind::Outcome | Kind::Refusal) => Some(line),
        _ => None,
    })
}

/// The result code that was reported to the caller.
fn reported_code(effects: &[Effect]) -> Option<Code> {
    reported_line(effects).and_then(|line| line.code)
}

#[test_case(Code::NoPrimary)]
#[test_case(Code::HomeLost)]
#[test_case(Code::ServerLost)]
#[test_case(Code::RevisionMismatch)]
#[test_case(Code::Draining)]
fn a_write_that_was_not_run_is_sent_again(code: Code) {
    let mut state = entry();
    let run = start(&mut state, submission(Class::Write));
    let effects = answer(&mut state, at(1_010), &run, refusal(code));
    assert_eq!(reported_line(&effects), None, "no outcome is reported yet");
    let second_attempt = retry(&mut state, at(1_500), &run).expect("the request is sent again");
    assert_eq!((second_attempt.request, second_attempt.attempt), (run.request, 2));
}

#[test_case(Code::QueueFull)]
#[test_case(Code::Deadline)]
#[test_case(Code::NotSupported)]
fn a_refusal_that_a_retry_cannot_resolve_is_final(code: Code) {
    let mut state = entry();
    let run = start(&mut state, submission(Class::Write));
    let effects = answer(&mut state, at(1_010), &run, refusal(code));
    assert_eq!(reported_code(&effects), Some(code));
}

#[test]
fn a_write_of_unknown_outcome_is_never_sent_again() {
    let mut state = entry();
    let run = start(&mut state, submission(Class::Write));
    let effects = answer(&mut state, at(1_010), &run, unknown());
    assert_eq!(reported_code(&effects), Some(Code::OutcomeUnknown));
}

#[test]
fn an_idempotent_write_of_unknown_outcome_is_sent_again_with_its_id() {
    let mut state = entry();
    let mut write = submission(Class::Write);
    write.options.request = Some(77);
    let run = start(&mut state, write);
    answer(&mut state, at(1_010), &run, unknown());
    let second_attempt = retry(&mut state, at(1_500), &run).expect("the request is sent again");
    assert_eq!(second_attempt.idempotency, Some(77));
}

#[test]
fn a_request_marked_as_not_repeatable_is_not_sent_again_even_with_an_id() {
    let mut state = entry();
    let mut write = submission(Class::Write);
    write.options.request = Some(77);
    write.options.repeatable = Some(false);
    let run = start(&mut state, write);
    let effects = answer(&mut state, at(1_010), &run, unknown());
    assert_eq!(reported_code(&effects), Some(Code::OutcomeUnknown));
}

#[test]
fn a_refusal_after_an_attempt_that_may_have_run_is_reported_as_unknown() {
    let mut state = entry();
    let mut write = submission(Class::Write);
    write.options.request = Some(77);
    let run = start(&mut state, write);
    answer(&mut state, at(1_010), &run, unknown());
    let second_attempt = retry(&mut state, at(1_500), &run).expect("the request is sent again");
    let effects = answer(&mut state, at(1_510), &second_attempt, refusal(Code::QueueFull));
    assert_eq!(reported_code(&effects), Some(Code::OutcomeUnknown));
}

#[test]
fn a_deadline_after_an_attempt_that_may_have_run_is_reported_as_unknown() {
    let mut state = entry();
    let mut write = submission(Class::Write);
    write.options.request = Some(77);
    let run = start(&mut state, write);
    answer(&mut state, at(1_010), &run, unknown());
    let second_attempt = retry(&mut state, at(1_500), &run).expect("the request is sent again");
    answer(&mut state, at(1_510), &second_attempt, refusal(Code::NoPrimary));
    let deadline = Event::Timer(timer::Key::Deadline(run.request));
    let effects = reduce(&mut state, at(11_000), deadline);
    assert_eq!(reported_code(&effects), Some(Code::OutcomeUnknown));
}

#[test]
fn a_write_at_a_lost_home_is_sent_again_only_if_the_home_never_saw_it() {
    let mut state = entry();
    let run = start(&mut state, submission(Class::Write));
    let effects = reduce(&mut state, at(1_010), Event::Peer(peer::Event::Lost(HOME.into())));
    let fate_queried = effects.iter().any(|effect| {
        let age = Duration::from_millis(10);
        let ask = request::Message::AskFate { request: run.request, attempt: 1, age };
        matches!(effect, Effect::Peer { message: peer::Message::Request(message), .. } if *message == ask)
    });
    assert!(fate_queried, "the home is queried for the fate");
    assert_eq!(sent(&effects), None, "the write is not sent again");
    let fate = request::Message::Fate { request: run.request, fate: Fate::NeverSeen };
    let effects = receive(&mut state, at(1_020), peer::Message::Request(fate));
    assert_eq!(reported_line(&effects), None);
    assert!(retry(&mut state, at(1_500), &run).is_some(), "it is sent again");
}

#[test]
fn a_write_at_a_dead_home_ends_unknown() {
    let mut state = entry();
    let run = start(&mut state, submission(Class::Write));
    reduce(&mut state, at(1_010), Event::Peer(peer::Event::Lost(HOME.into())));
    state.member.members.get_mut(HOME).expect("the home is a member").alive = false;
    let effects = reduce(&mut state, at(1_200), Event::Timer(timer::Key::Retry(run.request)));
    assert_eq!(reported_code(&effects), Some(Code::OutcomeUnknown));
}

#[test]
fn a_read_at_a_lost_home_is_sent_again() {
    let mut state = entry();
    let run = start(&mut state, submission(Class::Read));
    reduce(&mut state, at(1_010), Event::Peer(peer::Event::Lost(HOME.into())));
    assert!(retry(&mut state, at(1_500), &run).is_some());
}

#[test]
fn an_answer_to_an_earlier_attempt_is_discarded() {
    let mut state = entry();
    let run = start(&mut state, submission(Class::Read));
    reduce(&mut state, at(1_010), Event::Peer(peer::Event::Lost(HOME.into())));
    retry(&mut state, at(1_500), &run).expect("the read is sent again");
    let done = Outcome::Done { frames: Vec::new(), status: Status::Idle, mark: None };
    let effects = answer(&mut state, at(1_510), &run, done);
    assert_eq!(reported_line(&effects), None);
}

#[test]
fn a_transaction_whose_home_refuses_is_lost_until_it_is_ended() {
    let mut state = entry();
    let begin = start(&mut state, submission(Class::Begin { read_only: false }));
    assert_eq!(begin.scope, Scope::Begin);
    let done = Outcome::Done { frames: Vec::new(), status: Status::Open, mark: None };
    answer(&mut state, at(1_010), &begin, done);
    let insert = start(&mut state, submission(Class::Write));
    assert_eq!(insert.scope, Scope::Within(begin.request));
    let effects = answer(&mut state, at(1_020), &insert, refusal(Code::HomeLost));
    assert_eq!(reported_code(&effects), Some(Code::HomeLost), "no retry within a transaction");

    let mut fx = Effects::default();
    request::submit(&mut state, at(1_030), &mut fx, submission(Class::Write));
    assert_eq!(reported_code(fx.as_slice()), Some(Code::TransactionLost));
    let mut fx = Effects::default();
    request::submit(&mut state, at(1_040), &mut fx, submission(Class::Commit));
    assert_eq!(reported_code(fx.as_slice()), Some(Code::TransactionLost));
    let write = start(&mut state, submission(Class::Write));
    assert_eq!(write.scope, Scope::Single, "the session has no transaction any more");
}

#[test]
fn a_commit_of_unknown_outcome_is_reported_as_unknown_and_not_repeated() {
    let mut state = entry();
    let begin = start(&mut state, submission(Class::Begin { read_only: false }));
    let done = Outcome::Done { frames: Vec::new(), status: Status::Open, mark: None };
    answer(&mut state, at(1_010), &begin, done);
    let mut commit = submission(Class::Commit);
    commit.options.request = Some(77);
    let commit = start(&mut state, commit);
    assert!(commit.ends);
    let effects = answer(&mut state, at(1_020), &commit, unknown());
    assert_eq!(reported_code(&effects), Some(Code::OutcomeUnknown));
    let write = start(&mut state, submission(Class::Write));
    assert_eq!(write.scope, Scope::Single, "the session has no transaction any more");
}

#[test]
fn a_read_that_is_refused_as_a_write_is_sent_again_as_a_write() {
    let mut state = entry();
    let run = start(&mut state, submission(Class::Read));
    let effects = answer(&mut state, at(1_010), &run, refusal(Code::ReadOnly));
    let second_attempt = sent(&effects).expect("it is sent again at once");
    assert_eq!(second_attempt.access, gcl_core::run::Access::Write);
}

#[test]
fn retries_that_add_load_are_limited_by_a_budget() {
    let mut state = entry();
    let mut finals = 0;
    for _ in 0..400 {
        let run = start(&mut state, submission(Class::Write));
        let effects = answer(&mut state, at(1_010), &run, refusal(Code::ServerLost));
        finals += usize::from(reported_code(&effects).is_some());
    }
    assert!(finals >= 400 - 100 - 80, "only {finals} of 400 refusals were final");
}

#[test]
fn a_read_marked_as_not_repeatable_is_not_sent_again() {
    let mut state = entry();
    let mut read = submission(Class::Read);
    read.options.repeatable = Some(false);
    let run = start(&mut state, read);
    let effects = answer(&mut state, at(1_010), &run, unknown());
    assert_eq!(reported_code(&effects), Some(Code::OutcomeUnknown));
}

#[test]
fn a_read_whose_replica_was_too_late_goes_to_the_primary() {
    let mut state = entry();
    let mut read = submission(Class::Call);
    read.options.max_age = Some(Duration::from_secs(5));
    let run = start(&mut state, read);
    assert!(matches!(run.access, gcl_core::run::Access::Replica { .. }));
    let effects = answer(&mut state, at(1_010), &run, unknown());
    assert_eq!(reported_line(&effects), None, "it cannot have written, so it is sent again");
    let second_attempt = retry(&mut state, at(1_500), &run).expect("it is sent again");
    assert_eq!(second_attempt.access, gcl_core::run::Access::Strong);
}
