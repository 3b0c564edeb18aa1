//! One outcome for each statement, and none that runs twice.

use super::world::World;
use gcl_core::code::Code;
use gcl_direct::backend::Refusal;

#[test]
fn reads_of_an_age_go_to_replicas_that_have_reached_it() {
    let mut world = World::new(1);
    let writer = world.login(0, "latest", "key");
    world.query(writer, "READ 0").expect("it is served");
    let reader = world.login(0, "bounded", "key");
    world.query(reader, "READ 1").expect("it is served");
    assert_eq!(world.ran("a", "READ 1"), 0, "the primary is kept free");
}

#[test]
fn a_session_reads_its_own_writes() {
    let mut world = World::new(1);
    let session = world.login(0, "own", "key");
    world.query(session, "WRITE 1 x").expect("it is written");
    world.query(session, "READ 1").expect("it is served");
    assert_eq!(world.ran("a", "READ 1"), 1, "no replica has the write");
    world.replicate();
    world.run(100);
    world.query(session, "READ 2").expect("it is served");
    assert_eq!(world.ran("a", "READ 2"), 0, "a replica has it now");
}

#[test]
fn without_news_of_the_primary_an_aged_read_goes_there() {
    let mut world = World::new(1);
    let session = world.login(0, "bounded", "key");
    world.query(session, "READ 1").expect("it is served");
    assert_eq!(world.ran("a", "READ 1"), 1);
    world.query(session, "READ 2").expect("it is served");
    assert_eq!(world.ran("a", "READ 2"), 0, "the first read brought a position");
    world.run(2000);
    world.query(session, "READ 3").expect("it is served");
    assert_eq!(world.ran("a", "READ 3"), 1, "that position is too old");
}

#[test]
fn a_write_whose_answer_is_lost_is_in_doubt_and_not_repeated() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.server("a").drop_next_answer = true;
    let fault = world.query(session, "WRITE 1 x").expect_err("the answer was lost");
    assert_eq!(fault.code, Code::OutcomeUnknown);
    world.run(2000);
    assert_eq!(world.ran("a", "WRITE 1 x"), 1);
}

#[test]
fn a_read_whose_answer_is_lost_is_repeated() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.server("a").drop_next_answer = true;
    world.query(session, "READ 1").expect("it is served by the second try");
}

#[test]
fn a_transaction_lost_before_its_commit_is_not_kept() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("it begins");
    world.query(session, "WRITE 1 x").expect("it is written");
    world.server("a").drop_next_answer = true;
    let fault = world.query(session, "READ 1").expect_err("the connection is gone");
    assert_eq!(fault.code, Code::TransactionLost);
    world.query(session, "ROLLBACK").expect("it ends");
    assert_eq!(world.servers["a"].log, 100);
}

#[test]
fn a_commit_whose_answer_is_lost_is_in_doubt() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("it begins");
    world.query(session, "WRITE 1 x").expect("it is written");
    world.server("a").drop_next_answer = true;
    let fault = world.query(session, "COMMIT").expect_err("the answer was lost");
    assert_eq!(fault.code, Code::OutcomeUnknown);
    assert_eq!(world.ran("a", "COMMIT"), 1);
}

#[test]
fn a_statement_that_a_server_did_not_run_is_tried_again() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.server("a").refusals = vec![Refusal::Busy, Refusal::Busy];
    world.query(session, "WRITE 1 x").expect("the third try is served");
    assert_eq!(world.ran("a", "WRITE 1 x"), 1);
}

#[test]
fn a_write_that_ran_and_failed_is_not_tried_again() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.server("a").refusals = vec![Refusal::Timeout];
    let fault = world.query(session, "WRITE 1 x").expect_err("it ran");
    assert!(!fault.code.not_run(), "{fault}");
}

#[test]
fn a_statement_that_cannot_be_served_is_refused_before_half_of_its_time() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.crash("a");
    let began = world.now_ms;
    let fault = world.query(session, "READ 1").expect_err("no primary answers");
    assert!(fault.code.not_run() && fault.retry_after.is_some(), "{fault}");
    assert!(world.now_ms - began < 500, "refused after {} ms", world.now_ms - began);
}

#[test]
fn values_reach_the_connection_before_the_statement() {
    let mut world = World::new(1);
    let [first, second] = [0, 1].map(|_| world.login(0, "latest", "key"));
    world.query(first, "SET x 1").expect("it is set");
    world.query(first, "READ 1").expect("it is served");
    world.query(second, "READ 2").expect("it is served on the same connection, after a reset");
}
