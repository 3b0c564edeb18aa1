//! The queue, compared with an ideal fair share that serves all waiting lanes at once.

use gcl_core::home::queue::{Item, Pushed, QUANTUM, Queue};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::time::Duration;

fn item(request: u128) -> Item {
    Item { request, deadline: Duration::from_mins(1), begins: false }
}

/// Runs `turns` requests from lanes that never run empty, given as (weight, slot time of a
/// statement), and returns the slot time that each lane got.
fn serve(lanes: &[(u32, u64)], turns: usize) -> Vec<u64> {
    let mut queue = Queue::default();
    let mut slot_time = vec![0; lanes.len()];
    let names: Vec<_> = (0..lanes.len()).map(|lane| format!("ws-{lane}").into()).collect();
    for (lane, (weight, _)) in lanes.iter().enumerate() {
        for _ in 0..4 {
            queue.push(&names[lane], *weight, item(lane as u128), 1_000);
        }
    }
    for _ in 0..turns {
        let (item, charged) = queue.pop(|_| true).expect("every lane has requests");
        let lane = usize::try_from(item.request).expect("requests are numbered by lane");
        let (weight, micros) = lanes[lane];
        slot_time[lane] += micros;
        queue.settle(&names[lane], weight, charged, Duration::from_micros(micros));
        queue.push(&names[lane], weight, item, 1_000);
    }
    slot_time
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x6a11),
        failure_persistence: None,
        ..Config::default()
    })]

    /// The slot times of two waiting lanes per unit of weight differ by at most one quantum and one
    /// statement each, plus the error of the first estimates.
    #[test]
    fn waiting_lanes_get_their_share(
        lanes in prop::collection::vec((1_u32..5, 100_u64..20_000), 2..6),
    ) {
        let slot_time = serve(&lanes, 600);
        let quantum = u64::try_from(QUANTUM.as_micros()).expect("a quantum is short");
        for (left, (weight, cost)) in slot_time.iter().zip(&lanes) {
            for (right, (other_weight, other_cost)) in slot_time.iter().zip(&lanes) {
                let ideal = right / u64::from(*other_weight);
                let mine = left / u64::from(*weight);
                let bound = 2 * quantum + 2 * (cost + other_cost);
                prop_assert!(mine + bound >= ideal, "slot times {slot_time:?} of lanes {lanes:?}");
            }
        }
    }

    /// However long one workspace's lane is, another's request waits at most for one quantum of
    /// each competitor and the statement that is running.
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
        let mut waited = 0;
        while let Some((taken, charged)) = queue.pop(|_| true) {
            if taken.request == 9_999 {
                break;
            }
            waited += cost;
            queue.settle(&"noisy".into(), 1, charged, Duration::from_micros(cost));
        }
        let quantum = u64::try_from(QUANTUM.as_micros()).expect("a quantum is short");
        prop_assert!(waited <= 2 * quantum + cost, "{waited} us of other statements ran first");
    }
}

#[test]
fn a_full_queue_replaces_a_request_of_the_longest_lane() {
    let mut queue = Queue::default();
    for request in 0..4 {
        let pushed = queue.push(&"a".into(), 1, item(request), 8);
        assert_eq!(pushed, Pushed::Queued);
    }
    assert_eq!(
        queue.push(&"a".into(), 1, item(4), 8),
        Pushed::Full,
        "one lane may fill half of the queue"
    );
    for request in 10..14 {
        queue.push(&"b".into(), 1, item(request), 8);
    }
    assert!(matches!(queue.push(&"c".into(), 1, item(20), 8), Pushed::Displaced(3 | 13)));
    assert_eq!(queue.len(), 8);
}

#[test]
fn statements_of_open_transactions_go_first_and_are_charged() {
    let mut queue = Queue::default();
    queue.push(&"b".into(), 1, item(1), 8);
    queue.push(&"a".into(), 1, item(2), 8);
    queue.push_in_transaction(&"a".into(), 1, item(3));
    assert_eq!(queue.pop_in_transaction().map(|(item, _)| item.request), Some(3));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(|_| true)).collect();
    let order: Vec<_> = order.into_iter().map(|(item, _)| item.request).collect();
    assert_eq!(order, [1, 2], "the lane that was charged waits for another turn");
}

#[test]
fn expired_requests_are_removed() {
    let mut queue = Queue::default();
    queue.push(&"a".into(), 1, Item { deadline: Duration::from_secs(1), ..item(1) }, 8);
    queue.push(&"a".into(), 1, item(2), 8);
    assert_eq!(queue.expire(Duration::from_secs(2)), [1]);
    assert_eq!(queue.len(), 1);
}
