//! The queue against an ideal fair share that serves all waiting lanes at once.

use gcl_core::home::queue::{Item, Pushed, QUANTUM, Queue};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::time::Duration;

fn item(request: u128) -> Item {
    Item { request, deadline: Duration::from_mins(1), begins: false }
}

/// Serves `turns` requests of always waiting lanes and gives the slot time that each got.
fn serve(lanes: &[(u32, u64)], turns: usize) -> Vec<u64> {
    let mut queue = Queue::default();
    let mut got = vec![0; lanes.len()];
    let names: Vec<_> = (0..lanes.len()).map(|lane| format!("ws-{lane}").into()).collect();
    for (lane, (weight, _)) in lanes.iter().enumerate() {
        for _ in 0..4 {
            queue.push(&names[lane], *weight, item(lane as u128), 1_000);
        }
    }
    for _ in 0..turns {
        let (item, charged) = queue.pop(|_| true).expect("every lane waits");
        let lane = usize::try_from(item.request).expect("requests are numbered by lane");
        let (weight, micros) = lanes[lane];
        got[lane] += micros;
        queue.settle(&names[lane], weight, charged, Duration::from_micros(micros));
        queue.push(&names[lane], weight, item, 1_000);
    }
    got
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x6a11),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Per unit of weight, two waiting lanes differ by one quantum and one statement each, and by
    /// what the first estimates were wrong.
    #[test]
    fn waiting_lanes_get_their_share(
        lanes in prop::collection::vec((1_u32..5, 100_u64..20_000), 2..6),
    ) {
        let got = serve(&lanes, 600);
        let quantum = u64::try_from(QUANTUM.as_micros()).expect("a quantum is short");
        for (left, (weight, cost)) in got.iter().zip(&lanes) {
            for (right, (other_weight, other_cost)) in got.iter().zip(&lanes) {
                let ideal = right / u64::from(*other_weight);
                let mine = left / u64::from(*weight);
                let bound = 2 * quantum + 2 * (cost + other_cost);
                prop_assert!(mine + bound >= ideal, "{got:?} of {lanes:?}");
            }
        }
    }

    /// However long one workspace's lane is, another's request starts within one quantum of each
    /// competitor and the statement at the server.
    #[test]
    fn a_long_lane_does_not_delay_another(backlog in 1_usize..250, cost in 200_u64..2_000) {
        let mut queue = Queue::default();
        for request in 0..backlog {
            queue.push(&"noisy".into(), 1, item(request as u128), 512);
        }
        for _ in 0..8 {
            if let Some((_, charged)) = queue.pop(|_| true) {
                queue.settle(&"noisy".into(), 1, charged, Duration::from_micros(cost));
            }
        }
        queue.push(&"calm".into(), 1, item(9_999), 512);
        let mut before = 0;
        while let Some((taken, charged)) = queue.pop(|_| true) {
            if taken.request == 9_999 {
                break;
            }
            before += cost;
            queue.settle(&"noisy".into(), 1, charged, Duration::from_micros(cost));
        }
        let quantum = u64::try_from(QUANTUM.as_micros()).expect("a quantum is short");
        prop_assert!(before <= 2 * quantum + cost, "{before} us went before");
    }
}

#[test]
fn a_full_queue_takes_a_newcomer_in_place_of_the_longest_lane() {
    let mut queue = Queue::default();
    for request in 0..4 {
        let pushed = queue.push(&"a".into(), 1, item(request), 8);
        assert_eq!(pushed, Pushed::Queued);
    }
    assert_eq!(queue.push(&"a".into(), 1, item(4), 8), Pushed::Full, "a lane has half the room");
    for request in 10..14 {
        queue.push(&"b".into(), 1, item(request), 8);
    }
    assert!(matches!(queue.push(&"c".into(), 1, item(20), 8), Pushed::Displaced(3 | 13)));
    assert_eq!(queue.len(), 8);
}

#[test]
fn open_transactions_go_first_and_pay() {
    let mut queue = Queue::default();
    queue.push(&"b".into(), 1, item(1), 8);
    queue.push(&"a".into(), 1, item(2), 8);
    queue.push_in_transaction(&"a".into(), 1, item(3));
    assert_eq!(queue.pop_in_transaction().map(|(item, _)| item.request), Some(3));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(|_| true)).collect();
    let order: Vec<_> = order.into_iter().map(|(item, _)| item.request).collect();
    assert_eq!(order, [1, 2], "the lane that paid waits a turn longer");
}

#[test]
fn expired_requests_leave() {
    let mut queue = Queue::default();
    queue.push(&"a".into(), 1, Item { deadline: Duration::from_secs(1), ..item(1) }, 8);
    queue.push(&"a".into(), 1, item(2), 8);
    assert_eq!(queue.expire(Duration::from_secs(2)), [1]);
    assert_eq!(queue.len(), 1);
}
