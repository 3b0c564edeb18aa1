use super::world::World;
use gcl_core::{batch::Status, code::Code};
use gcl_direct::caller::Reply;

#[test]
fn an_unknown_key_or_service_opens_nothing() {
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
    world.query(open, "BEGIN").expect("it begins");
    world.query(open, "WRITE 1 x").expect("it is written");
    world.configure(|config| {
        config.keys.swap_remove("key");
    });
    world.run(20);
    assert!(world.is_closed(idle));
    assert!(!world.is_closed(open), "a transaction is not cut without a word");
    let fault = world.query(open, "COMMIT").expect_err("the key opens nothing any more");
    assert_eq!(fault.code, Code::KeyWithdrawn);
    assert!(world.is_closed(open));
    assert_eq!(world.ran("a", "COMMIT"), 0);
}

#[test]
fn a_new_route_binds_from_the_next_transaction_on() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("it begins");
    world.query(session, "READ 1").expect("it is served");
    world.configure(|config| {
        config.routes.swap_remove("latest");
    });
    world.run(20);
    world.query(session, "READ 2").expect("the transaction goes on");
    world.query(session, "COMMIT").expect("the transaction goes on");
    let fault = world.query(session, "READ 3").expect_err("the route is gone");
    assert_eq!(fault.code, Code::UnknownService);
}

#[test]
fn an_older_configuration_never_comes_back() {
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
fn a_transaction_that_rests_too_long_is_rolled_back() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("it begins");
    world.query(session, "WRITE 1 x").expect("it is written");
    world.run(3500);
    let fault = world.query(session, "COMMIT").expect_err("it was rolled back");
    assert_eq!(fault.code, Code::TransactionLost);
    world.query(session, "READ 1").expect("the session goes on");
}

#[test]
fn only_the_end_of_a_failed_transaction_is_accepted() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("it begins");
    world.run(3500);
    let lost = world.query(session, "READ 1").expect_err("the transaction was rolled back");
    assert_eq!(lost.code, Code::TransactionLost, "the caller did not know yet");
    let fault = world.query(session, "READ 2").expect_err("the transaction has failed");
    assert_eq!(fault.code, Code::Protocol);
    world.query(session, "ROLLBACK").expect("it ends");
    world.query(session, "READ 1").expect("the session goes on");
}

#[test]
fn a_caller_that_leaves_takes_its_transaction_along() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("it begins");
    world.query(session, "WRITE 1 x").expect("it is written");
    world.disconnect(session);
    world.run(50);
    let next = world.login(0, "latest", "key");
    world.query(next, "READ 1").expect("the connection is free and outside the transaction");
    assert_eq!(world.servers["a"].log, 100, "nothing was committed");
}
