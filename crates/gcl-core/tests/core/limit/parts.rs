//! Single promises of the limits, each with the fault that would break it.

use super::fleet::Fleet;
use crate::{fixture, platform::Platform};
use gcl_core::{
    effect::{Effect, Effects},
    id,
    limit::{
        self, Admission, Message,
        bucket::{Amount, QUARTERS, RESERVE_QUARTERS, SEATS, TOKEN},
    },
    peer,
    state::State,
    time::Now,
};
use std::time::Duration;

const WS: &str = "altyn";
/// The rate and burst of the workspace in the fixture.
const RATE: i64 = 100_000;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn one(rate: u32, burst: u32) -> Fleet {
    Fleet::new(&[("a", "north")], &[("ws", rate, burst)], 9)
}

fn granted(fleet: &mut Fleet, from: u64, to: u64) -> u64 {
    fleet.run_until(ms(from));
    let before = fleet.tallies["ws"].granted;
    fleet.run_until(ms(to));
    fleet.tallies["ws"].granted - before
}

#[test]
fn without_its_lease_a_holder_mints_three_quarters() {
    let mut fleet = one(100, 10);
    fleet.traffic("ws", 300.0, &[1], 60);
    fleet.run_until(ms(10_000));
    fleet.faults.outage = true;
    let outage = granted(&mut fleet, 40_000, 50_000);
    assert!((730..=755).contains(&outage), "{outage} of 750");
}

#[test]
fn the_next_incarnation_waits_until_old_loans_have_expired() {
    let mut fleet = one(100, 10);
    fleet.traffic("ws", 300.0, &[1], 30);
    fleet.run_until(ms(10_000));
    fleet.restart(0);
    assert_eq!(granted(&mut fleet, 10_000, 12_500), 0, "loans of the former life may be spent");
    assert!(granted(&mut fleet, 15_000, 16_000) >= 95);
}

#[test]
fn what_a_drained_daemon_keeps_is_its_successors_debt() {
    let mut fleet = Fleet::new(&[("a", "north"), ("b", "north")], &[("ws", 100, 100)], 9);
    fleet.traffic("ws", 20.0, &[1, 1], 20);
    fleet.run_until(ms(10_000));
    fleet.drain(0);
    for step in 0..100 {
        fleet.run_until(ms(10_000 + step * 50));
        let now = fleet.now;
        let spendable = i32::try_from(fleet.spendable("ws")).expect("a small burst");
        let level = fleet.tallies["ws"].oracle.fill(now);
        assert!(f64::from(spendable) <= level, "{spendable} of {level} at {now:?}");
    }
}

/// A daemon that takes a leaving holder's seats serves at once, though that holder's bucket of half
/// the burst was full.
#[test]
fn a_successor_of_a_full_holder_serves_at_once() {
    let places = [("alpha", "north"), ("beta", "north"), ("beta", "north"), ("alpha", "north")];
    let mut fleet = Fleet::new(&places, &[("ws", 100_000, 100_000)], 9);
    fleet.kill(3);
    fleet.run_until(ms(1_000));
    fleet.ask(ms(1_000), 0, "ws");
    fleet.run_until(ms(1_200));
    fleet.restart(3);
    fleet.ask(ms(1_200), 3, "ws");
    fleet.run_until(ms(1_201));
    fleet.drain(0);
    fleet.kill(0);
    for step in 0..50 {
        fleet.ask(ms(1_210 + step * 4), 3, "ws");
    }
    fleet.run_until(ms(1_600));
    let tally = &fleet.tallies["ws"];
    assert_eq!((tally.granted, tally.refused), (52, 0), "nobody was over the rate");
}

/// A leaving holder keeps what its own callers still need, not its whole bucket, so the daemon that
/// takes its place serves at once though nobody else can lend.
#[test]
fn a_leaving_holder_leaves_no_more_debt_than_it_may_spend() {
    let mut fleet = Fleet::new(&[("a", "north"), ("a", "north")], &[("ws", 100, 100)], 9);
    fleet.kill(1);
    fleet.traffic("ws", 10.0, &[1, 0], 9);
    fleet.run_until(ms(10_000));
    fleet.restart(1);
    fleet.drain(0);
    fleet.kill(0);
    let (before, refused) = (fleet.tallies["ws"].granted, fleet.tallies["ws"].refused);
    for step in 0..20 {
        fleet.ask(ms(10_010 + step * 50), 1, "ws");
    }
    fleet.run_until(ms(12_000));
    let tally = &fleet.tallies["ws"];
    assert_eq!((tally.granted - before, tally.refused - refused), (20, 0), "a fifth of the rate");
}

/// A daemon that is alone holds every seat, full.
fn holder() -> State {
    let mut state = fixture::configured("d1");
    state.member.members.clear();
    state.limit = limit::State::default();
    let mut platform = Platform::default();
    let mut fx = Effects::default();
    let _ = limit::admit(&mut state, Now::default(), &mut fx, &WS.into(), 0);
    let mut effects = fx.take();
    while let Some(effect) = effects.pop() {
        if let Effect::Store(call) = effect
            && let Some(event) = platform.answer(Duration::ZERO, &call)
        {
            limit::on_store(&mut state, Now::default(), &mut fx, &event);
            effects.extend(fx.take());
        }
    }
    state
}

fn borrow(state: &mut State, at: Duration, number: u64, held: Amount) -> Option<Amount> {
    let mut fx = Effects::default();
    let workspace = WS.into();
    let (life, returned, wanted) = (1, 0, Amount::MAX);
    let message = Message::Borrow { workspace, life, number, held, returned, wanted };
    limit::on_message(state, Now::at(at), &mut fx, &"d2".into(), message);
    fx.take().into_iter().find_map(|effect| match effect {
        Effect::Peer { message: peer::Message::Limit(Message::Lend { amount, .. }), .. } => {
            Some(amount)
        }
        _ => None,
    })
}

#[test]
fn a_lender_lends_no_more_than_its_reserve_in_all() {
    let mut state = holder();
    let reserve = RATE * TOKEN / QUARTERS * RESERVE_QUARTERS * i64::from(SEATS);
    let first = borrow(&mut state, ms(1_000), 5, 0).expect("it answers");
    assert!(first > 0 && first <= reserve);
    assert_eq!(borrow(&mut state, ms(1_000), 5, 0), None, "a repeated question gets nothing");
    assert_eq!(borrow(&mut state, ms(1_000), 4, 0), None, "nor does a late one");
    let second = borrow(&mut state, ms(6_000), 6, first).expect("it answers");
    assert!(first + second <= reserve, "{second} on top of {first}");
    let third = borrow(&mut state, ms(8_000), 7, 0).expect("it answers");
    assert!(third > second, "what was spent is lent anew");
}

/// The numbers of the questions that a request makes a daemon ask.
fn questions(state: &mut State, at: Duration) -> Vec<(id::Daemon, u64)> {
    let mut fx = Effects::default();
    let admission = limit::admit(state, Now::at(at), &mut fx, &WS.into(), 1);
    assert_eq!(admission, Admission::Waiting);
    let asked = fx.take().into_iter().filter_map(|effect| match effect {
        Effect::Peer {
            to, message: peer::Message::Limit(Message::Borrow { number, .. }), ..
        } => Some((to, number)),
        _ => None,
    });
    asked.collect()
}

#[test]
fn only_the_answer_to_the_last_question_is_taken() {
    let mut state = fixture::configured("d1");
    state.limit = limit::State::default();
    let (lender, old) = questions(&mut state, ms(0)).first().cloned().expect("it asks");
    questions(&mut state, ms(900));
    let again = questions(&mut state, ms(950));
    let new = again.iter().find(|(name, _)| *name == lender).expect("it asks again").1;
    let lend = |state: &mut State, number| {
        let (workspace, amount) = (WS.into(), 50 * TOKEN);
        let mut fx = Effects::default();
        let message = Message::Lend { workspace, number, amount };
        limit::on_message(state, Now::at(ms(951)), &mut fx, &lender, message);
        let account = state.limit.account(WS).expect("it is in use");
        account.available(Now::at(ms(951)))
    };
    assert_eq!(lend(&mut state, old), 0, "the lender no longer counts it");
    assert!(lend(&mut state, new) > 40 * TOKEN);
    let held = lend(&mut state, new);
    assert!(held < 50 * TOKEN, "a repeated answer adds nothing");
}
