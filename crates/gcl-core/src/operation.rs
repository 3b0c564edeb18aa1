//! Operators' requests: reading and changing the configuration, and the state of the daemon.

use crate::{
    code::{Code, Fault},
    effect::Effects,
    id,
    operator::{Request, Response},
    state::State as Daemon,
    store,
    time::Now,
};

/// Operations that wait for the store.
#[derive(Clone, Debug, Default)]
pub struct State;

/// Acts on an operator's request; the answer goes out by [`Effects::answer`].
pub fn on_request(
    _daemon: &mut Daemon,
    _now: Now,
    fx: &mut Effects,
    operation: id::Operation,
    request: &Request,
) {
    let fault = Fault::new(Code::NotFound, request.path.clone());
    fx.answer(operation, Response::Error(fault));
}

/// Acts on an event of the store; tells whether it was this module's.
pub fn on_store(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects, _event: &store::Event) -> bool {
    false
}

/// Ends an operation that took too long.
pub fn on_timer(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects, _operation: id::Operation) {}
