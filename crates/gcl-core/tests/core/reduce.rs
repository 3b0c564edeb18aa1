//! Tests of `gcl_core::reduce`.

use crate::fixture::{at, daemon};
use gcl_core::{effect::Effect, event::Event, reduce::reduce, store};

#[test]
fn a_start_lists_the_configuration() {
    let mut state = daemon("d1");
    let effects = reduce(&mut state, at(0), Event::Started);
    let listed = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Store(store::Call { op: store::Op::List(_), .. })));
    assert!(listed, "the start asks the store for the configuration");
}
