//! Shares of a server's connections, and how a pool opens and assigns them.

use super::world::World;
use gcl_direct::{caller::Reply, pool::share};
use test_case::test_case;

#[test_case(22, 9 => 11; "9 daemons of the kazyna example")]
#[test_case(30, 7 => 15; "7 daemons of the basu example")]
#[test_case(72, 67 => 67; "one each with more daemons than half of the connections")]
#[test_case(72, 105 => 36; "fewer connections than daemons")]
fn half_of_a_servers_connections_are_divided_among_daemons(
    connections: usize,
    members: usize,
) -> usize {
    (0..members).map(|rank| share(connections, members, rank).retained).sum()
}

#[test]
fn a_connection_carries_one_workspace_only() {
    let mut world = World::new(1);
    for key in ["key", "other-key", "key"] {
        let session = world.login(0, "latest", key);
        world.query(session, &format!("READ {key}")).expect("the read is served");
    }
    for (workspace, text) in &world.servers["a"].ran {
        let expected = if text == "READ key" { "w" } else { "v" };
        assert_eq!(workspace, expected, "{text}");
    }
}

#[test]
fn a_full_server_is_not_retried_at_once() {
    let mut world = World::new(1);
    let session = world.login(0, "latest", "key");
    world.server("a").full = true;
    world.send(session, "READ 1");
    world.run(2000);
    let replies = world.take_replies(session);
    assert!(
        matches!(&replies[1..], [Reply::Error(fault), Reply::Ready(..)] if fault.code.not_run())
    );
    assert!(world.nodes[0].state.last_id < 40, "{} ids used", world.nodes[0].state.last_id);
}

#[test]
fn a_burst_of_sessions_opens_few_connections_at_a_time() {
    let mut world = World::new(1);
    let sessions: Vec<_> = (0..40).map(|_| world.login(0, "latest", "key")).collect();
    let before = world.nodes[0].state.connections.len();
    for session in &sessions {
        world.send(*session, "READ 1");
    }
    let opening = world.nodes[0].state.connections.len() - before;
    assert!(opening <= 3, "{opening} opening at once");
    world.run(400);
    for session in sessions {
        assert!(matches!(
            world.take_replies(session)[..],
            [.., Reply::Complete(_), Reply::Ready(..)]
        ));
    }
}
