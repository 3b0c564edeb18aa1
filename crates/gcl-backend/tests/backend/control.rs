//! Tests of control questions.

use crate::fixture::Fixture;
use gcl_backend::client::Options;
use gcl_core::{
    mark::Mark,
    server::{Ask, Event, Failure, Role},
};
use gcl_standin::database::{self, Server, fault::Fault};
use std::time::Duration;

#[tokio::test]
async fn control_questions_return_reports() {
    let mut fixture = Fixture::start().await;
    let report = fixture.ask(Ask::Status).await.expect("a report");
    assert_eq!((report.term, report.role), (1, Role::Primary));
    assert_eq!(report, fixture.server().report());
    let refused = fixture.ask(Ask::Fence(1)).await;
    assert_eq!(refused, Err(Failure::Refused(report.clone())), "not strictly higher");
    let refused = fixture.ask(Ask::Promote(2)).await;
    assert_eq!(refused, Err(Failure::Refused(report)), "not fenced at this term");
}

#[tokio::test]
async fn follow_takes_a_name_and_an_address() {
    let primary = Fixture::start().await;
    let server = Server::start(database::Options::default()).await.expect("a port is free");
    let mut fixture = Fixture::for_server(server, Options::default());
    let follow = Ask::Follow { term: 1, server: "o'brien".into(), address: primary.address };
    fixture.ask(follow).await.expect("a higher term");
    let mark = Mark::new(1, 1);
    let wait = Duration::from_secs(5);
    let report = fixture.ask(Ask::Await { mark, wait }).await.expect("a report");
    assert_eq!(report.received, mark);
}

#[tokio::test]
async fn blocking_questions_do_not_delay_others() {
    let mut fixture = Fixture::start().await;
    let wait = Duration::from_mins(1);
    let ask = Ask::Await { mark: Mark::new(1, 99), wait };
    let waiting: Vec<_> = (0..8).map(|_| fixture.start_question(ask.clone(), wait)).collect();
    fixture.ask(Ask::Status).await.expect("the status is answered first");
    fixture.ask(Ask::Fence(2)).await.expect("a higher term");
    // The fence ends the questions that block at the server; the others wait for a connection.
    let Event::Answered { question, .. } = fixture.event().await else {
        panic!("expected the end of a blocking question");
    };
    assert!(waiting.contains(&question));
}

#[tokio::test]
async fn a_lost_answer_is_reported_and_the_connection_reopened() {
    let mut fixture = Fixture::start().await;
    fixture.server().inject(Fault::LoseReports(1));
    let lost = fixture.ask(Ask::Fence(2)).await;
    assert!(matches!(lost, Err(Failure::Lost(_))), "{lost:?}");
    let report = fixture.ask(Ask::Status).await.expect("a new connection");
    assert_eq!(report.term, 2, "the fence took effect");
}

#[tokio::test]
async fn questions_to_a_frozen_server_time_out_until_it_recovers() {
    let mut fixture = Fixture::start().await;
    fixture.server().inject(Fault::Freeze);
    let asked = fixture.start_question(Ask::Status, Duration::from_millis(50));
    let Event::Answered { question, result: Err(Failure::Lost(_)) } = fixture.event().await else {
        panic!("expected a lost answer");
    };
    assert_eq!(question, asked);
    fixture.server().heal();
    fixture.ask(Ask::Status).await.expect("the server is back");
}

#[tokio::test]
async fn a_crashed_server_restarts_as_a_replica_with_its_log() {
    let mut fixture = Fixture::start().await;
    let before = fixture.ask(Ask::Status).await.expect("a report");
    fixture.server().inject(Fault::Crash);
    let lost = fixture.ask(Ask::Status).await;
    assert!(matches!(lost, Err(Failure::Lost(_))), "{lost:?}");
    fixture.server().heal();
    let report = loop {
        if let Ok(report) = fixture.ask(Ask::Status).await {
            break report;
        }
        tokio::task::yield_now().await;
    };
    assert_eq!((report.term, report.received), (before.term, before.received));
    assert_eq!(report.role, Role::Replica, "a primary restarts as a replica");
}
