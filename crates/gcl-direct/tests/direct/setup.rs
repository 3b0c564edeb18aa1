//! Refusals and losses of the commands that set up a connection: session values, prepared statements
//! and the start of the transaction.

use super::{
    home,
    world::{DATABASE, Session, SetupRefusal, World},
};
use gcl_core::code::Code;
use gcl_direct::backend::Refusal;
use test_case::{test_case, test_matrix};

/// Time within which a setup command fails and its statement is not tried again yet.
const FAILED_SETUP_MS: u64 = 12;

/// Where the caller's statements run.
#[derive(Clone, Copy, Debug)]
enum At {
    /// On the connections of the caller's own daemon.
    Own,
    /// At the primary's home in a small fleet.
    Home,
    /// At the primary's home, for the caller of an entry.
    HomeOfEntry,
}

/// A fleet, and a session with two prepared statements of which only the first was used.
fn world(at: At) -> (World, Session) {
    let mut world = match at {
        At::Own => World::new(1),
        At::Home => World::new(3),
        At::HomeOfEntry => home::fleet(),
    };
    let daemon = match at {
        At::Own => 0,
        At::HomeOfEntry => home::entry(&world, "alpha"),
        At::Home => {
            let is_home = |it: &usize| world.nodes[*it].state.home.is_home(DATABASE);
            (0..3).find(|it| !is_home(it)).expect("one daemon is not the home")
        }
    };
    let session = world.login(daemon, "latest", "key");
    world.query(session, "PREPARE one WRITE first").expect("the statement is prepared");
    world.query(session, "PREPARE two WRITE second").expect("the statement is prepared");
    world.query(session, "READ 0").expect("the read is served");
    assert_eq!(world.forwarded.is_empty(), matches!(at, At::Own), "{at:?}");
    (world, session)
}

fn refuse(world: &mut World, step: &'static str, refusal: Refusal) {
    let setup_refusal = SetupRefusal { step, refusal, takes_effect: false };
    world.server("a").setup_refusal = Some(setup_refusal);
}

/// Makes the next command of a kind fail after it has taken effect.
fn fail_late(world: &mut World, step: &'static str, refusal: Refusal) {
    let setup_refusal = SetupRefusal { step, refusal, takes_effect: true };
    world.server("a").setup_refusal = Some(setup_refusal);
}

/// The session values of the connection that a statement ran on last.
fn values_of(world: &World, text: &str) -> Vec<(String, String)> {
    let server = &world.servers["a"];
    let index = server.ran.iter().rposition(|(_, it)| it == text).expect("the statement ran");
    let values = server.values[index].iter();
    values.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// Starts a transaction that has written once, and whose next statement needs another value and
/// another prepared statement on the connection.
fn start_transaction(world: &mut World, session: Session) {
    world.query(session, "BEGIN").expect("the transaction begins");
    world.query(session, "EXECUTE one 1 x").expect("the first write is served");
    world.query(session, "SET zone b").expect("the value is set");
}

/// Checks that a statement of a transaction was refused and that nothing of it is kept.
fn assert_lost_whole(world: &mut World, session: Session, text: &str) {
    let fault = world.query(session, text).expect_err("the transaction cannot go on");
    assert_eq!(fault.code, Code::TransactionLost, "{fault}");
    assert!(fault.code.not_run() && fault.retry_after.is_some(), "{fault}");
    assert_nothing_kept(world, session);
}

fn assert_nothing_kept(world: &mut World, session: Session) {
    world.query(session, "COMMIT").expect_err("the transaction has failed");
    world.run(500);
    assert_eq!(world.servers["a"].committed, [""; 0]);
    world.query(session, "BEGIN").expect("the next transaction begins");
    world.query(session, "EXECUTE one 2 x").expect("the first write is served");
    world.query(session, "EXECUTE two 2 y").expect("the second write is served");
    world.query(session, "COMMIT").expect("the commit is served");
    assert_eq!(world.servers["a"].committed, ["WRITE first 2 x", "WRITE second 2 y"]);
}

/// Half of an acknowledged transaction was lost: after a refused setup command it went on in a new
/// transaction on another connection.
#[test_matrix(
    ["set", "prepare"],
    [
        Refusal::Failed("some requests fail".into()),
        Refusal::Timeout,
        Refusal::Malformed("cannot be read".into()),
        Refusal::Busy,
        Refusal::ReadOnly,
        Refusal::Misdirected
    ],
    [At::Own, At::Home, At::HomeOfEntry]
)]
fn a_transaction_is_lost_whole_when_its_connection_cannot_be_set_up(
    step: &'static str,
    refusal: Refusal,
    at: At,
) {
    let (mut world, session) = world(at);
    start_transaction(&mut world, session);
    refuse(&mut world, step, refusal);
    assert_lost_whole(&mut world, session, "EXECUTE two 1 y");
}

#[test_matrix([At::Own, At::Home, At::HomeOfEntry])]
fn a_commit_whose_connection_cannot_be_set_up_commits_nothing(at: At) {
    let (mut world, session) = world(at);
    start_transaction(&mut world, session);
    refuse(&mut world, "set", Refusal::Failed("some requests fail".into()));
    let fault = world.query(session, "COMMIT").expect_err("the transaction cannot be committed");
    assert!(fault.code.not_run(), "{fault}");
    world.run(500);
    assert_eq!(world.servers["a"].committed, [""; 0]);
}

/// A read-only transaction must not go on at another server either: its reads would see two states.
#[test_matrix([Refusal::Busy, Refusal::Failed("some requests fail".into())], [At::Own, At::Home])]
fn a_read_only_transaction_does_not_change_its_connection(refusal: Refusal, at: At) {
    let (mut world, session) = world(at);
    world.query(session, "PREPARE three READ third").expect("the statement is prepared");
    world.query(session, "BEGIN READ").expect("the transaction begins");
    world.query(session, "READ 1").expect("the read is served");
    refuse(&mut world, "prepare", refusal);
    let fault = world.query(session, "EXECUTE three 1").expect_err("it cannot go on");
    assert_eq!(fault.code, Code::TransactionLost, "{fault}");
}

/// Nothing has run yet: another attempt is safe, and the caller is told nothing.
#[test_matrix(
    ["reset", "set", "prepare", "begin"],
    [Refusal::Failed("some requests fail".into()), Refusal::Busy],
    [At::Own, At::Home, At::HomeOfEntry]
)]
fn a_transaction_that_has_not_started_is_set_up_again(
    step: &'static str,
    refusal: Refusal,
    at: At,
) {
    let (mut world, session) = world(at);
    if step == "reset" {
        let daemon = session.0;
        let other = world.login(daemon, "latest", "key");
        world.query(other, "SET zone a").expect("the value is set");
        world.query(other, "READ 1").expect("the read is served");
    } else {
        world.query(session, "SET zone b").expect("the value is set");
    }
    world.query(session, "BEGIN").expect("the transaction begins");
    refuse(&mut world, step, refusal);
    world.query(session, "EXECUTE one 1 x").expect("the first write is served");
    assert!(world.servers["a"].setup_refusal.is_none(), "the command was refused");
    world.query(session, "EXECUTE two 1 y").expect("the second write is served");
    world.query(session, "COMMIT").expect("the commit is served");
    assert_eq!(world.servers["a"].committed, ["WRITE first 1 x", "WRITE second 1 y"]);
}

#[test_matrix([At::Own, At::Home, At::HomeOfEntry])]
fn a_transaction_whose_setup_is_not_answered_is_lost_whole(at: At) {
    let (mut world, session) = world(at);
    start_transaction(&mut world, session);
    world.server("a").drop_next_answer = true;
    assert_lost_whole(&mut world, session, "EXECUTE two 1 y");
}

#[test_matrix([At::Own, At::Home, At::HomeOfEntry])]
fn a_transaction_whose_server_falls_silent_during_setup_is_lost_whole(at: At) {
    let (mut world, session) = world(at);
    start_transaction(&mut world, session);
    for node in &mut world.nodes {
        node.unreachable.insert("a".into());
    }
    let fault = world.query(session, "EXECUTE two 1 y").expect_err("the server is silent");
    assert!(fault.code.not_run(), "{fault}");
    for node in &mut world.nodes {
        node.unreachable.clear();
    }
    assert_nothing_kept(&mut world, session);
}

/// The server has ended the transaction on its own; a new one must not take its place.
#[test_case(At::Own; "own")]
#[test_case(At::Home; "home")]
fn a_transaction_that_its_server_ended_is_not_begun_anew(at: At) {
    let (mut world, session) = world(at);
    start_transaction(&mut world, session);
    world.end_transactions("a");
    assert_lost_whole(&mut world, session, "EXECUTE two 1 y");
}

/// Statements ran with another client's session values after a `SET` that failed had taken effect.
#[test_matrix([Refusal::Failed("some requests fail".into()), Refusal::Timeout], [At::Own, At::Home])]
fn a_value_that_was_set_by_a_failed_command_reaches_no_other_session(refusal: Refusal, at: At) {
    let (mut world, session) = world(at);
    let other = world.login(session.0, "latest", "key");
    world.query(session, "SET zone b").expect("the value is set");
    fail_late(&mut world, "set", refusal);
    world.send(session, "READ 1");
    world.run(FAILED_SETUP_MS);
    world.query(other, "READ 2").expect("the read is served");
    assert_eq!(values_of(&world, "READ 2"), []);
    world.run(500);
    assert_eq!(values_of(&world, "READ 1"), [("zone".into(), "b".into())]);
}

/// The values that a failed reset has dropped are set again.
#[test_matrix([Refusal::Failed("some requests fail".into()), Refusal::Timeout], [At::Own, At::Home])]
fn values_that_a_failed_reset_dropped_are_set_again(refusal: Refusal, at: At) {
    let (mut world, session) = world(at);
    let other = world.login(session.0, "latest", "key");
    world.query(session, "SET zone b").expect("the value is set");
    world.query(session, "READ 1").expect("the read is served");
    fail_late(&mut world, "reset", refusal);
    world.send(other, "READ 2");
    world.run(FAILED_SETUP_MS);
    assert!(world.servers["a"].setup_refusal.is_none(), "the reset failed");
    world.query(session, "READ 3").expect("the read is served");
    assert_eq!(values_of(&world, "READ 3"), [("zone".into(), "b".into())]);
    world.run(500);
    assert_eq!(values_of(&world, "READ 2"), []);
}

/// A statement whose preparing failed late holds its name on the connection.
#[test_matrix(
    [Refusal::Failed("some requests fail".into()), Refusal::Timeout],
    [At::Own, At::Home],
    [false, true]
)]
fn a_name_that_a_failed_command_prepared_is_not_used_again(
    refusal: Refusal,
    at: At,
    started: bool,
) {
    let (mut world, session) = world(at);
    if started {
        start_transaction(&mut world, session);
        fail_late(&mut world, "prepare", refusal);
        return assert_lost_whole(&mut world, session, "EXECUTE two 1 y");
    }
    fail_late(&mut world, "prepare", refusal);
    world.query(session, "EXECUTE one 1 x").expect("the write is served");
    world.query(session, "EXECUTE two 1 y").expect("the write is served");
    assert_eq!(world.servers["a"].committed, ["WRITE first 1 x", "WRITE second 1 y"]);
}
