//! Control questions.

use crate::fixture::Bench;
use gcl_backend::client::Options;
use gcl_core::{
    mark::Mark,
    server::{Ask, Event, Failure, Role},
};
use gcl_standin::database::{self, Server, fault::Fault};
use std::time::Duration;

#[tokio::test]
async fn questions_are_reported() {
    let mut bench = Bench::start().await;
    let report = bench.ask(Ask::Status).await.expect("a report");
    assert_eq!((report.term, report.role), (1, Role::Primary));
    assert_eq!(report, bench.server().report());
    let refused = bench.ask(Ask::Fence(1)).await;
    assert_eq!(refused, Err(Failure::Refused(report.clone())), "not strictly higher");
    let refused = bench.ask(Ask::Promote(2)).await;
    assert_eq!(refused, Err(Failure::Refused(report)), "not fenced at this term");
}

#[tokio::test]
async fn follows_by_name_and_address() {
    let primary = Bench::start().await;
    let server = Server::start(database::Options::default()).await.expect("a port is free");
    let mut bench = Bench::to(server, Options::default());
    let follow = Ask::Follow { term: 1, server: "o'brien".into(), address: primary.address };
    bench.ask(follow).await.expect("a higher term");
    let mark = Mark::new(1, 1);
    let wait = Duration::from_secs(5);
    let report = bench.ask(Ask::Await { mark, wait }).await.expect("a report");
    assert_eq!(report.received, mark);
}

#[tokio::test]
async fn a_waiting_question_holds_no_other_up() {
    let mut bench = Bench::start().await;
    let wait = Duration::from_mins(1);
    let ask = Ask::Await { mark: Mark::new(1, 99), wait };
    let waiting: Vec<_> = (0..8).map(|_| bench.question(ask.clone(), wait)).collect();
    bench.ask(Ask::Status).await.expect("the status comes first");
    bench.ask(Ask::Fence(2)).await.expect("a higher term");
    // The fence ends the waits that are at the server; the others wait for a line.
    let Event::Answered { question, .. } = bench.event().await else {
        panic!("a wait ends");
    };
    assert!(waiting.contains(&question));
}

#[tokio::test]
async fn a_lost_answer_is_reported_and_the_line_reopened() {
    let mut bench = Bench::start().await;
    bench.server().inject(Fault::LoseReports(1));
    let lost = bench.ask(Ask::Fence(2)).await;
    assert!(matches!(lost, Err(Failure::Lost(_))), "{lost:?}");
    let report = bench.ask(Ask::Status).await.expect("a new line");
    assert_eq!(report.term, 2, "the fence took effect");
}

#[tokio::test]
async fn a_frozen_server_answers_nothing_and_recovers() {
    let mut bench = Bench::start().await;
    bench.server().inject(Fault::Freeze);
    let asked = bench.question(Ask::Status, Duration::from_millis(50));
    let Event::Answered { question, result: Err(Failure::Lost(_)) } = bench.event().await else {
        panic!("no answer comes");
    };
    assert_eq!(question, asked);
    bench.server().heal();
    bench.ask(Ask::Status).await.expect("the server is back");
}

#[tokio::test]
async fn a_crashed_server_is_reached_again_with_its_log() {
    let mut bench = Bench::start().await;
    let before = bench.ask(Ask::Status).await.expect("a report");
    bench.server().inject(Fault::Crash);
    let lost = bench.ask(Ask::Status).await;
    assert!(matches!(lost, Err(Failure::Lost(_))), "{lost:?}");
    bench.server().heal();
    let report = loop {
        if let Ok(report) = bench.ask(Ask::Status).await {
            break report;
        }
        tokio::task::yield_now().await;
    };
    assert_eq!((report.term, report.received), (before.term, before.received));
    assert_eq!(report.role, Role::Replica, "a primary does not survive a restart as one");
}
