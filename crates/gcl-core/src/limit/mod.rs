//! Rate limits of workspaces, enforced over the whole fleet.
//!
//! A workspace's rate and burst are divided into [`bucket::SEATS`] equal seats, recorded in the
//! store ([`seat`]). Each share of a seat has at most one holder, whose token bucket it refills, so
//! every token is generated exactly once. The number of seats is the same for all daemons and
//! workspaces, so that a change of a rate or of the fleet never changes how a rate is divided:
//! while daemons have different configurations, the sum of their rates lies between the old rate
//! and the new one. In each failure domain a few daemons hold seats (in a small fleet, all of
//! them). The others borrow tokens from them ([`lend`]) ahead of their demand, so that no request
//! waits for the store and few wait for a peer.
//!
//! The amount that can be spent at any time is bounded by construction: the tokens in a bucket and
//! those that it has lent and that were not yet reported spent together stay within its part of the
//! burst. Each seat consists of four shares: a reserve of three, and one flexible share. A holder
//! that cannot renew its lease ([`lease`]) uses only the reserve of each seat, and lends no more
//! than the reserve holds. Another daemon can take only the flexible share, and only after the
//! lease has lapsed. A reserve moves to another holder when it was released, when the next
//! incarnation on the holder's VM claims it, or when that VM has been gone from the fleet for
//! longer than any of its tokens remain valid.
//!
//! The number of store calls does not depend on the number of requests. A daemon has one lease for
//! all its seats, renewed every 5 s in a small fleet and every 30 s from 3,000 daemons on, which is
//! 110 writes per second at 3,300. A workspace's seats are read in one call and claimed once, when
//! the workspace comes into use, and are released after ten idle minutes: 1,200 restarts a day with
//! 25 seats each make 60,000 writes, fewer than one per second. Daemons read the seats again only
//! while they are short of tokens, at intervals that double up to ten minutes. All calls are
//! jittered, so that the end of an outage does not cause a burst of calls.

pub mod account;
pub mod bucket;
mod claim;
pub mod lease;
pub mod lend;
mod release;
pub mod seat;

use self::account::Account;
use crate::{
    code::{Code, Fault},
    effect::Effects,
    id, peer, request,
    state::State as Daemon,
    store,
    time::Now,
    timer,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time between two rounds of periodic work.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Messages between daemons about the lending of tokens and about seats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests tokens of a workspace, or returns some.
    Borrow {
        /// The workspace.
        workspace: id::Workspace,
        /// The sender's incarnation.
        life: id::Incarnation,
        /// The number of the request. Only the answer to the latest request to a lender is
        /// accepted.
        number: u64,
        /// The amount lent by the receiver that is still unspent.
        held: bucket::Amount,
        /// The amount that this message returns.
        returned: bucket::Amount,
        /// The amount requested.
        wanted: bucket::Amount,
    },
    /// Answers [`Message::Borrow`].
    Lend {
        /// The workspace.
        workspace: id::Workspace,
        /// The number of the request that this answers.
        number: u64,
        /// The amount lent.
        amount: bucket::Amount,
    },
    /// Announces that seats of a workspace were released.
    Freed(id::Workspace),
    /// Asks for the latest incarnation of the sender that the receiver knows, after a pause of the
    /// sender's process.
    Check,
    /// Answers [`Message::Check`] with the latest incarnation known, or zero for none.
    Checked(id::Incarnation),
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request has its token.
    Granted,
    /// The request waits for a token; the decision follows by [`crate::request::on_admission`].
    Waiting,
    /// The request is over the rate.
    Refused(Fault),
}

/// The seats and tokens that this daemon holds.
#[derive(Clone, Debug, Default)]
pub struct State {
    accounts: IndexMap<id::Workspace, Account>,
    calls: IndexMap<id::Call, seat::Purpose>,
    lease: lease::Lease,
    clock: lease::Clock,
    armed: Option<Duration>,
}

impl State {
    /// The account of a workspace that is in use here.
    #[must_use]
    pub fn account(&self, workspace: &str) -> Option<&Account> {
        self.accounts.get(workspace)
    }
}

/// Starts the periodic work.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    daemon.limit.clock.observe(now);
    arm_by(daemon, fx, now.mono + UPKEEP_INTERVAL);
}

/// Takes a token for a request of a workspace.
pub fn admit(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    request: id::Request,
) -> Admission {
    lease::check_clock(daemon, now, fx);
    if !account::open(daemon, now, workspace) {
        return Admission::Refused(Fault::new(Code::UnknownWorkspace, "no such workspace"));
    }
    seat::activate(daemon, now, fx, workspace);
    let active = lease::active(daemon, now);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return Admission::Waiting;
    };
    account.record_request(now);
    let granted = account.waiters.is_empty() && account.take(now, active);
    lend::borrow_ahead(daemon, now, fx, workspace);
    if granted {
        fx.count("limit_granted", workspace.clone(), 1);
        return Admission::Granted;
    }
    let account = daemon.limit.accounts.get_mut(workspace);
    let admission = account.map(|account| account.enqueue(now, active, request));
    if let Some(refused @ Admission::Refused(_)) = admission {
        count_refusal(daemon, now, fx, workspace);
        return refused;
    }
    lend::borrow_ahead(daemon, now, fx, workspace);
    arm_waiting(daemon, now, fx, workspace);
    Admission::Waiting
}

/// Counts a refusal. It is also counted as doubtful if it may be due to the limiter and not to the
/// workspace: some seats are unclaimed, or this daemon was paused or can use only its reserves.
fn count_refusal(daemon: &Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    fx.count("limit_refused", workspace.clone(), 1);
    let account = daemon.limit.accounts.get(workspace);
    let all_held = account.is_some_and(Account::all_seats_held);
    if !all_held || !lease::active(daemon, now).flexible {
        fx.count("limit_refused_doubtful", workspace.clone(), 1);
    }
}

/// Admits waiting requests of a workspace as far as there are tokens, and refuses those past their
/// deadline.
fn serve_waiters(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    account::open(daemon, now, workspace);
    let active = lease::active(daemon, now);
    while let Some(account) = daemon.limit.accounts.get_mut(workspace) {
        let Some((request, deadline)) = account.waiters.front().copied() else { break };
        if account.take(now, active) {
            account.waiters.pop_front();
            fx.count("limit_granted", workspace.clone(), 1);
            request::on_admission(daemon, now, fx, request, Ok(()));
        } else if deadline <= now.mono {
            account.waiters.pop_front();
            let fault = account.refusal(now, active);
            count_refusal(daemon, now, fx, workspace);
            request::on_admission(daemon, now, fx, request, Err(fault));
        } else {
            break;
        }
    }
    arm_waiting(daemon, now, fx, workspace);
}

/// Arms the timer for the first waiting request of a workspace.
fn arm_waiting(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    let active = lease::active(daemon, now);
    let account = daemon.limit.accounts.get(workspace);
    if let Some(at) = account.and_then(|account| account.next_wakeup(now, active)) {
        arm_by(daemon, fx, at);
    }
}

fn arm_by(daemon: &mut Daemon, fx: &mut Effects, at: Duration) {
    if daemon.limit.armed.is_none_or(|armed| at < armed) {
        daemon.limit.armed = Some(at);
        fx.arm(timer::Key::Seat, at);
    }
}

/// Handles the seat timer.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    daemon.limit.armed = None;
    lease::check_clock(daemon, now, fx);
    let waiting = daemon.limit.accounts.iter().filter(|(_, account)| !account.waiters.is_empty());
    let waiting: Vec<_> = waiting.map(|(workspace, _)| workspace.clone()).collect();
    for workspace in waiting {
        lend::borrow_ahead(daemon, now, fx, &workspace);
        serve_waiters(daemon, now, fx, &workspace);
    }
    if daemon.limit.clock.upkeep_due(now, UPKEEP_INTERVAL) {
        lease::upkeep(daemon, now, fx);
        seat::upkeep(daemon, now, fx);
    }
    arm_by(daemon, fx, now.mono + UPKEEP_INTERVAL);
}

/// Handles a message from another daemon.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: Message,
) {
    lease::check_clock(daemon, now, fx);
    match message {
        Message::Borrow { workspace, life, number, held, returned, wanted } => {
            let request = lend::Request { life, number, held, returned, wanted };
            lend::on_borrow(daemon, now, fx, from, &workspace, request);
        }
        Message::Lend { workspace, number, amount } => {
            lend::on_lend(daemon, now, from, &workspace, number, amount);
            serve_waiters(daemon, now, fx, &workspace);
            lend::borrow_ahead(daemon, now, fx, &workspace);
        }
        Message::Freed(workspace) => release::on_freed(daemon, now, &workspace),
        Message::Check => {
            let known = daemon.member.members.get(from).map_or(0, |member| member.incarnation);
            send(daemon, fx, from, Message::Checked(known));
        }
        Message::Checked(known) => lease::on_checked(daemon, now, known),
    }
}

fn send(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon, message: Message) {
    crate::member::send(daemon, fx, to, peer::Message::Limit(message));
}

/// Handles an event of the store. Returns whether it was for this module.
pub fn on_store(daemon: &mut Daemon, now: Now, fx: &mut Effects, event: &store::Event) -> bool {
    let store::Event::Answered { call, result } = event else {
        return false;
    };
    let Some(purpose) = daemon.limit.calls.swap_remove(call) else {
        return false;
    };
    match purpose {
        seat::Purpose::Lease(step) => lease::on_answer(daemon, now, fx, step, result),
        seat::Purpose::Seat(workspace, step) => {
            seat::on_answer(daemon, now, fx, &workspace, step, result);
            serve_waiters(daemon, now, fx, &workspace);
        }
    }
    true
}

/// Releases all seats before the daemon stops.
pub fn drain(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    release::drain(daemon, now, fx);
}
