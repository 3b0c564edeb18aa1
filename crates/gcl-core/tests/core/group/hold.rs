//! Which reports of a replica count as holding a commit. A replica at another term, or whose last
//! entry is of another term, may have a diverged log even if its position is higher.

use crate::fixture::{at, daemon};
use gcl_core::{
    config::object::{Object, Server},
    effect::{Effect, Effects},
    group,
    mark::Mark,
    server::{Ask, Call, Report, Role},
    state::State,
};
use test_case::test_case;

fn home() -> State {
    let mut state = daemon("h1");
    for name in ["s1", "s2", "s3"] {
        let server = Server {
            name: name.into(),
            database: "db".into(),
            domain: "alpha".into(),
            address: "127.0.0.1:1".parse().expect("the address is well formed"),
            slots: 1,
            connections: 1,
            leaving: false,
            labels: indexmap::IndexMap::new(),
        };
        state.config.snapshot.put(1, Object::Server(server));
    }
    state.config.snapshot.rebuild_indexes();
    state
}

/// Answers the open status questions: s1 is primary at term 2, s2 reports `replica`, s3 is silent.
fn answer(state: &mut State, effects: Vec<Effect>, replica: &Report) {
    let mut fx = Effects::default();
    for effect in effects {
        let Effect::Server(server, Call::Ask { question, ask: Ask::Status, .. }) = effect else {
            continue;
        };
        let mark = Mark::new(2, 60);
        let primary = Report { term: 2, role: Role::Primary, received: mark, applied: mark };
        match server.as_str() {
            "s1" => group::on_report(state, at(2), &mut fx, question, Ok(primary)),
            "s2" => group::on_report(state, at(2), &mut fx, question, Ok(replica.clone())),
            _ => {}
        }
    }
}

#[test_case(2, Mark::new(2, 50), true; "the commit itself")]
#[test_case(2, Mark::new(2, 49), false; "a lower position")]
#[test_case(2, Mark::new(1, 90), false; "a higher position of an older term, not rewound yet")]
#[test_case(3, Mark::new(2, 50), false; "a server that was fenced at a higher term")]
fn a_commit_counts_only_at_its_own_term(term: u64, received: Mark, held: bool) {
    let mut state = home();
    let mut fx = Effects::default();
    group::on_config(&mut state, at(1), &mut fx);
    group::on_timer(&mut state, at(1), &mut fx, &"db".into());
    let replica = Report { term, role: Role::Replica, received, applied: received };
    let effects = fx.take();
    answer(&mut state, effects, &replica);
    group::await_majority(&mut state, at(3), &mut fx, &"db".into(), Mark::new(2, 50), 7);
    let waits = fx.as_slice().iter().any(|effect| {
        matches!(effect, Effect::Server(_, Call::Ask { ask: Ask::Await { .. }, .. }))
    });
    assert_eq!(!waits, held, "a home asks the replicas only for commits that no majority holds");
}
