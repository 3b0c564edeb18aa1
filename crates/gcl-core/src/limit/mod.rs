//! Rates and bursts of workspaces, counted over the whole fleet.

use crate::{code::Fault, effect::Effects, id, state::State as Daemon, store, time::Now};
use serde::{Deserialize, Serialize};

/// Messages that lend tokens between seats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for tokens of a workspace.
    Borrow {
        /// The workspace.
        workspace: id::Workspace,
        /// How many.
        tokens: u32,
    },
}

/// Whether a request may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has its token.
    Granted,
    /// Tokens are being borrowed; [`crate::request::on_admission`] follows.
    Waiting,
    /// It is over the rate.
    Refused(Fault),
}

/// Seats and tokens that this daemon holds.
#[derive(Clone, Debug, Default)]
pub struct State;

/// Starts to claim seats.
pub fn start(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects) {}

/// Takes a token for a request of a workspace.
pub fn admit(
    _daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _workspace: &id::Workspace,
    _request: id::Request,
) -> Admission {
    Admission::Granted
}

/// Acts on the seat timer.
pub fn on_timer(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects) {}

/// Acts on a message of another daemon.
pub fn on_message(
    _daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _from: &id::Daemon,
    _message: Message,
) {
}

/// Acts on an event of the store; tells whether it was this module's.
pub fn on_store(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects, _event: &store::Event) -> bool {
    false
}

/// Gives seats back before the daemon stops.
pub fn drain(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects) {}
