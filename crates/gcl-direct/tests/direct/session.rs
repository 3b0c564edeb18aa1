//! Logins, withdrawn keys, and transactions of sessions.

use super::world::World;
use gcl_core::{batch::Status, code::Code};
use gcl_direct::caller::Reply;
use test_case::test_case;

#[test]
fn an_unknown_key_or_service_is_rejected() {
    let mut world = World::new(1);
    for (service, key, code) in
        [("latest", "no-key", Code::WrongKey), ("nothing", "key", Code::UnknownService)]
    {
        let session = world.login(0, service, key);
        let replies = world.take_replies(session);
        assert!(matches!(&*replies, [Reply::Error(fault)] if fault.code == code), "{replies:?}");
        assert!(world.is_closed(session));
    }
}

#[test]
fn a_withdrawn_key_ends_idle_sessions_and_refuses_the_others() {
    let mut world = World::new(1);
    let idle = world.login(0, "latest", "key");
    let open = world.login(0, "latest", "key");
    world.query(open, "BEGIN").expect("BEGIN succeeds");
    world.query(open, "WRITE 1 x").expect("write succeeds");
    world.configure(|config| {
        config.keys.swap_remove("key");
    });
    world.run(20);
    assert!(world.is_closed(idle));
    assert!(!world.is_closed(open), "an open transaction gets an error first");
    let fault = world.query(open, "COMMIT").expect_err("the key is withdrawn");
    assert_eq!(fault.code, Code::KeyWithdrawn);
    assert!(world.is_closed(open));
    assert_eq!(world.ran("a", "COMMIT"), 0);
}

/// The workspaces for which a server ran a statement.
fn workspaces(world: &World, text: &str) -> Vec<String> {
    let runs = world.servers["a"].ran.iter().filter(|(_, it)| it == text);
    runs.map(|(workspace, _)| workspace.to_string()).collect()
}

/// Gives the key of most tests to another workspace.
fn move_key(world: &mut World) {
    world.configure(|config| {
        config.keys.swap_remove("key");
    });
    world.configure(|config| {
        config.keys.insert("key".into(), "v".into());
    });
    world.run(20);
}

/// A session that was within a transaction went on as the workspace that had lost its key.
#[test_case(1; "on its own connection")]
#[test_case(8; "at the home of the primary")]
fn a_transaction_of_a_key_that_changed_its_workspace_is_rolled_back(daemons: usize) {
    let mut world = World::new(daemons);
    world.run(2000);
    let sessions: Vec<_> =
        (0..daemons).map(|daemon| world.login(daemon, "latest", "key")).collect();
    for session in &sessions {
        world.query(*session, "BEGIN").expect("BEGIN succeeds");
        world.query(*session, "WRITE 1 x").expect("the write succeeds");
    }
    move_key(&mut world);
    for session in &sessions {
        let fault = world.query(*session, "COMMIT").expect_err("it has run for another workspace");
        assert_eq!(fault.code, Code::TransactionLost);
        world.query(*session, "WRITE 2 x").expect("the session goes on");
    }
    assert_eq!(world.ran("a", "COMMIT"), 0);
    assert_eq!(workspaces(&world, "WRITE 2 x"), vec!["v"; daemons]);
}

/// Nothing of the session is lost where nothing has run for the earlier workspace.
#[test_case(&[]; "outside a transaction")]
#[test_case(&["BEGIN"]; "after BEGIN alone")]
fn a_session_follows_its_key_to_another_workspace(before: &[&str]) {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "READ 1").expect("the read succeeds");
    for text in before {
        world.query(session, text).expect("the statement succeeds");
    }
    world.configure(|config| {
        config.keys.insert("key".into(), "v".into());
    });
    world.run(20);
    world.query(session, "READ 2").expect("the read succeeds");
    assert!(!world.is_closed(session));
    assert_eq!(workspaces(&world, "READ 1"), ["w"]);
    assert_eq!(workspaces(&world, "READ 2"), ["v"]);
}

/// A transaction keeps its route, and with it that the route is public.
#[test]
fn a_transaction_goes_on_when_its_route_becomes_public() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("BEGIN succeeds");
    world.query(session, "WRITE 1 x").expect("the write succeeds");
    world.configure(|config| {
        let route = config.routes.get_mut("latest").expect("the route exists");
        std::sync::Arc::make_mut(route).public = true;
    });
    world.run(20);
    world.query(session, "COMMIT").expect("the transaction keeps its route");
    world.query(session, "READ 2").expect("the read succeeds");
    assert_eq!(workspaces(&world, "READ 2"), [""]);
}

#[test]
fn a_new_route_applies_from_the_next_transaction_on() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("BEGIN succeeds");
    world.query(session, "READ 1").expect("read succeeds");
    world.configure(|config| {
        config.routes.swap_remove("latest");
    });
    world.run(20);
    world.query(session, "READ 2").expect("the transaction keeps its route");
    world.query(session, "COMMIT").expect("the transaction keeps its route");
    let fault = world.query(session, "READ 3").expect_err("the route is gone");
    assert_eq!(fault.code, Code::UnknownService);
}

#[test]
fn an_older_configuration_does_not_replace_a_newer_one() {
    let mut world = World::new(1);
    world.configure(|config| {
        config.keys.insert("new-key".into(), "w".into());
    });
    world.run(20);
    world.config.version -= 1;
    world.config.keys.swap_remove("new-key");
    world.outage(None, true);
    world.run(500);
    world.outage(None, false);
    world.run(3000);
    let session = world.login(0, "latest", "new-key");
    assert!(matches!(world.take_replies(session)[..], [Reply::Ready(Status::Idle, _)]));
}

#[test]
fn an_idle_transaction_is_rolled_back_after_its_timeout() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("BEGIN succeeds");
    world.query(session, "WRITE 1 x").expect("write succeeds");
    world.run(3500);
    let fault = world.query(session, "COMMIT").expect_err("the transaction was rolled back");
    assert_eq!(fault.code, Code::TransactionLost);
    world.query(session, "READ 1").expect("the session stays open");
}

#[test]
fn only_the_end_of_a_failed_transaction_is_accepted() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("BEGIN succeeds");
    world.run(3500);
    let lost = world.query(session, "READ 1").expect_err("the transaction was rolled back");
    assert_eq!(lost.code, Code::TransactionLost, "the caller has not seen this error yet");
    let fault = world.query(session, "READ 2").expect_err("the transaction has failed");
    assert_eq!(fault.code, Code::Protocol);
    world.query(session, "ROLLBACK").expect("ROLLBACK succeeds");
    world.query(session, "READ 1").expect("the session stays open");
}

#[test]
fn a_transaction_is_rolled_back_when_its_caller_disconnects() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("BEGIN succeeds");
    world.query(session, "WRITE 1 x").expect("write succeeds");
    world.disconnect(session);
    world.run(50);
    let next = world.login(0, "latest", "key");
    world.query(next, "READ 1").expect("the connection is outside the transaction");
    assert_eq!(world.servers["a"].log, 100, "nothing was committed");
}
