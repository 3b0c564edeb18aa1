//! Graceful shutdown of daemons, and draining servers.

use super::world::World;
use gcl_core::code::Code;
use gcl_direct::caller::Reply;

#[test]
fn a_graceful_shutdown_interrupts_no_statement() {
    let mut world = World::new(2);
    let idle = world.login(0, "latest", "key");
    let busy = world.login(0, "latest", "key");
    world.query(busy, "BEGIN").expect("BEGIN succeeds");
    world.query(busy, "WRITE 1 x").expect("write succeeds");
    world.stop(0);
    world.run(1);
    assert!(!world.nodes[0].ready, "the balancer sees at once that it is not ready");
    world.query(idle, "READ 1").expect("idle sessions stay open at first");
    world.run(2000);
    world.query(busy, "COMMIT").expect("the transaction can still commit");
    world.run(500);
    assert!(world.is_closed(idle) && world.is_closed(busy));
    assert!(world.nodes[0].exited);
    world.run(100);
    assert!(!world.nodes[1].state.members.contains_key("d0"), "the lease was revoked");
}

#[test]
fn an_open_transaction_is_rolled_back_within_the_grace_period() {
    let mut world = World::new(1);
    world.configure(|config| config.transaction_idle = None);
    world.run(20);
    let session = world.login(0, "latest", "key");
    world.query(session, "BEGIN").expect("BEGIN succeeds");
    world.query(session, "WRITE 1 x").expect("write succeeds");
    world.stop(0);
    world.run(3500);
    let fault = world.query(session, "COMMIT").expect_err("the transaction was rolled back");
    assert_eq!(fault.code, Code::TransactionLost);
    world.run(500);
    assert!(world.nodes[0].exited);
}

#[test]
fn a_draining_server_gets_no_new_statement() {
    let mut world = World::new(1);
    let writer = world.login(0, "latest", "key");
    world.query(writer, "READ 0").expect("read succeeds");
    world.update_entry("b", |entry| entry.draining = true);
    world.update_entry("c", |entry| entry.draining = true);
    world.run(1600);
    world.query(writer, "READ 0").expect("read succeeds");
    let reader = world.login(0, "bounded", "key");
    world.query(reader, "READ 1").expect("read succeeds");
    assert_eq!(world.ran("a", "READ 1"), 1);
}

/// After the last session has ended, the process stays up briefly for its last call to the store.
#[test]
fn a_caller_that_connects_while_the_process_exits_is_refused_and_runs_nothing() {
    let mut world = World::new(2);
    let last = world.login(0, "latest", "key");
    world.stop(0);
    world.run(2250);
    assert!(world.is_closed(last) && world.nodes[0].exited);
    let late = world.login(0, "bounded", "key");
    world.send(late, "READ 1");
    world.run(100);
    assert_eq!(["a", "b", "c"].map(|server| world.ran(server, "READ 1")), [0, 0, 0]);
    assert!(world.is_closed(late));
    let refused = world.take_replies(late).into_iter().any(|reply| {
        matches!(reply, Reply::Error(fault) if fault.code == Code::Draining && fault.code.not_run())
    });
    assert!(refused, "the error says that nothing has run");
}

/// A session that begins in the second half of the grace period might be interrupted by its end.
#[test]
fn a_caller_that_connects_in_the_second_half_of_the_grace_period_is_refused() {
    let mut world = World::new(2);
    let busy = world.login(0, "latest", "key");
    world.query(busy, "BEGIN").expect("BEGIN succeeds");
    world.query(busy, "WRITE 1 x").expect("write succeeds");
    world.stop(0);
    world.run(2500);
    let early = world.login(0, "bounded", "key");
    world.query(early, "READ 1").expect("accepted in the first half");
    world.run(450);
    assert!(!world.nodes[0].exited, "an open transaction keeps the process up");
    world.run(100);
    let late = world.login(0, "bounded", "key");
    world.send(late, "READ 2");
    world.run(50);
    assert!(world.is_closed(late));
    assert_eq!(["a", "b", "c"].map(|server| world.ran(server, "READ 2")), [0, 0, 0]);
}
