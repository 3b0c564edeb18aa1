//! A burst before two connections, and what its callers get.

use gcl_core::id;
use gcl_direct::queue::{Waiter, expected_wait, past_deadline, rank};
use std::time::Duration;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn waiter(session: id::Session, workspace: &str, priority: u32, arrived: u64) -> Waiter {
    let target = ms(arrived + 400);
    Waiter { session, workspace: workspace.into(), priority, arrived: ms(arrived), target }
}

/// Plays waiters before two connections that each serve one statement in 50 ms; gives, by session,
/// when it was served.
fn play(waiting: Vec<Waiter>) -> Vec<(id::Session, u64)> {
    let (mut waiting, mut served, mut now) = (waiting, Vec::new(), 0);
    let mut running: Vec<id::Workspace> = Vec::new();
    while !waiting.is_empty() {
        running.clear();
        for _ in 0..2 {
            let held = |it: &Waiter| running.iter().filter(|name| **name == it.workspace).count();
            let ready = waiting.iter().enumerate().filter(|(_, it)| it.arrived <= ms(now));
            let next = ready.min_by_key(|(_, it)| rank(it, ms(now), held(it)));
            if let Some(next) = next.map(|(index, _)| index) {
                let waiter = waiting.remove(next);
                running.push(waiter.workspace);
                served.push((waiter.session, now));
            }
        }
        now += 50;
    }
    served
}

#[test]
fn a_burst_serves_those_first_who_can_still_be_in_time() {
    let mut waiting: Vec<_> = (0..40).map(|session| waiter(session, "w", 2, 0)).collect();
    waiting.extend((40..48).map(|session| waiter(session, "w", 2, 450)));
    let served = play(waiting);
    let late = served.iter().filter(|(session, at)| *session >= 40 && *at > 450 + 400).count();
    assert_eq!(late, 0, "callers who came later were kept behind callers who were late already");
}

#[test]
fn a_hot_workspace_does_not_take_all_connections() {
    let mut waiting: Vec<_> = (0..60).map(|session| waiter(session, "hot", 2, 0)).collect();
    waiting.extend((60..66).map(|session| waiter(session, "calm", 2, 1)));
    let served = play(waiting);
    let calm = served.iter().filter(|(session, at)| *session >= 60 && *at <= 400).count();
    assert_eq!(calm, 6, "every statement of the calm workspace is in time");
}

#[test]
fn a_higher_priority_goes_first_among_those_in_time() {
    let served = play(vec![waiter(0, "w", 2, 0), waiter(1, "w", 2, 0), waiter(2, "w", 1, 0)]);
    assert_eq!(served[0].0, 2);
}

#[test]
fn the_expected_wait_grows_with_those_ahead() {
    assert_eq!(expected_wait(0, ms(30), 3), ms(10));
    assert_eq!(expected_wait(9, ms(30), 1), ms(300));
    assert_eq!(expected_wait(9, ms(30), 0), ms(300));
}

#[test]
fn who_is_pushed_too_far_back_is_refused_and_makes_room() {
    // Two lanes and 50 ms a turn: places 0 and 1 wait 25 ms and 50 ms, and so on.
    let times = [100, 40, 100, 60, 100].map(ms);
    let refused: Vec<_> = past_deadline(times.into_iter(), ms(50), 2);
    assert_eq!(refused, [(1, ms(50)), (3, ms(75))], "the last waits 75 ms as two are gone");
}
