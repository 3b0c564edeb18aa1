//! Rates and bursts of workspaces, counted over the whole fleet.
//!
//! Every token is minted at exactly one seat. A workspace has [`bucket::SEATS`] seats, each with an
//! equal share of its rate and burst, recorded in the store ([`seat`]). The number is the same for
//! all daemons and workspaces, so that a change of rate or of the fleet never splits a share anew:
//! while daemons know different rates, their sum lies between the old rate and the new. Seats go to
//! a few daemons in each failure domain, all of them in a small fleet; the others borrow ([`lend`])
//! ahead of their demand, so that no request waits for the store and few wait for a peer.
//!
//! What may be spent at a moment is bounded by construction: a bucket, and what it has lent and not
//! been told spent, together stay within its share of the burst. A holder that cannot renew its
//! lease ([`lease`]) mints only its reserve of three quarters of each seat, and lends no more than
//! that reserve holds. Only the last quarter can be taken by another daemon, after the lease lapsed.
//! A reserve moves when it was given back, when the next incarnation of its VM claims it, or when
//! its VM has been gone from the fleet for longer than any of its tokens live.
//!
//! Store calls do not grow with requests. A daemon has one lease for all its seats, renewed every
//! 5 s in a small fleet and every 30 s from 3,000 daemons on, which is 110 writes a second at 3,300.
//! A workspace's seats are read in one call and claimed once, when it comes into use, and are given
//! back after ten idle minutes: 1,200 restarts a day with 25 seats each make 60,000 writes, fewer
//! than one a second. Daemons read again only while they are short of tokens, at intervals that
//! double up to ten minutes. All of it is jittered, so that the end of an outage meets no stampede.

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

/// Time between two rounds of regular work.
const UPKEEP: Duration = Duration::from_secs(1);

/// Messages that lend tokens between seats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for tokens of a workspace.
    Borrow {
        /// The workspace.
        workspace: id::Workspace,
        /// The sender's life.
        life: id::Incarnation,
        /// Counts the sender's questions; only the answer to the last to a lender is taken.
        number: u64,
        /// How much of what the receiver lent is unspent.
        held: bucket::Amount,
        /// How much of it is given back with this message.
        returned: bucket::Amount,
        /// How much more is asked for.
        wanted: bucket::Amount,
    },
    /// Answers [`Message::Borrow`].
    Lend {
        /// The workspace.
        workspace: id::Workspace,
        /// The number of the question.
        number: u64,
        /// How much is lent.
        amount: bucket::Amount,
    },
    /// Seats of a workspace were given back.
    Freed(id::Workspace),
    /// Asks which life of the sender the receiver knows, after a pause.
    Check,
    /// Answers [`Message::Check`] by the newest life known, zero for none.
    Checked(id::Incarnation),
}

/// Whether a request may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has its token.
    Granted,
    /// Tokens are being claimed, minted or borrowed; [`crate::request::on_admission`] follows.
    Waiting,
    /// It is over the rate.
    Refused(Fault),
}

/// Seats and tokens that this daemon holds.
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

/// Starts to claim seats.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    daemon.limit.clock.seen(now);
    arm_by(daemon, fx, now.mono + UPKEEP);
}

/// Takes a token for a request of a workspace.
pub fn admit(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    workspace: &id::Workspace,
    request: id::Request,
) -> Admission {
    lease::watch_clock(daemon, now, fx);
    if !account::open(daemon, now, workspace) {
        return Admission::Refused(Fault::new(Code::UnknownWorkspace, "no such workspace"));
    }
    seat::come_into_use(daemon, now, fx, workspace);
    let active = lease::active(daemon, now);
    let Some(account) = daemon.limit.accounts.get_mut(workspace) else {
        return Admission::Waiting;
    };
    account.arrive(now);
    let granted = account.waiters.is_empty() && account.take(now, active);
    lend::borrow_ahead(daemon, now, fx, workspace);
    if granted {
        fx.count("limit_granted", workspace.clone(), 1);
        return Admission::Granted;
    }
    let account = daemon.limit.accounts.get_mut(workspace);
    let admission = account.map(|account| account.wait(now, active, request));
    if let Some(refused @ Admission::Refused(_)) = admission {
        count_refusal(daemon, now, fx, workspace);
        return refused;
    }
    lend::borrow_ahead(daemon, now, fx, workspace);
    arm_waiting(daemon, now, fx, workspace);
    Admission::Waiting
}

/// Counts a refusal, and whether it may be our fault: seats are unclaimed, paused or on reserve.
fn count_refusal(daemon: &Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
    fx.count("limit_refused", workspace.clone(), 1);
    let account = daemon.limit.accounts.get(workspace);
    let whole = account.is_some_and(Account::all_seats_held);
    if !whole || !lease::active(daemon, now).flexible {
        fx.count("limit_refused_doubtful", workspace.clone(), 1);
    }
}

/// Lets waiting requests of a workspace go on, and refuses those that waited long enough.
fn serve(daemon: &mut Daemon, now: Now, fx: &mut Effects, workspace: &id::Workspace) {
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
    if let Some(at) = account.and_then(|account| account.next_turn(now, active)) {
        arm_by(daemon, fx, at);
    }
}

fn arm_by(daemon: &mut Daemon, fx: &mut Effects, at: Duration) {
    if daemon.limit.armed.is_none_or(|armed| at < armed) {
        daemon.limit.armed = Some(at);
        fx.arm(timer::Key::Seat, at);
    }
}

/// Acts on the seat timer.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    daemon.limit.armed = None;
    lease::watch_clock(daemon, now, fx);
    let waiting = daemon.limit.accounts.iter().filter(|(_, account)| !account.waiters.is_empty());
    let waiting: Vec<_> = waiting.map(|(workspace, _)| workspace.clone()).collect();
    for workspace in waiting {
        lend::borrow_ahead(daemon, now, fx, &workspace);
        serve(daemon, now, fx, &workspace);
    }
    if daemon.limit.clock.upkeep_due(now, UPKEEP) {
        lease::upkeep(daemon, now, fx);
        seat::upkeep(daemon, now, fx);
    }
    arm_by(daemon, fx, now.mono + UPKEEP);
}

/// Acts on a message of another daemon.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: Message,
) {
    lease::watch_clock(daemon, now, fx);
    match message {
        Message::Borrow { workspace, life, number, held, returned, wanted } => {
            let question = lend::Question { life, number, held, returned, wanted };
            lend::on_borrow(daemon, now, fx, from, &workspace, question);
        }
        Message::Lend { workspace, number, amount } => {
            lend::on_lend(daemon, now, from, &workspace, number, amount);
            serve(daemon, now, fx, &workspace);
            lend::borrow_ahead(daemon, now, fx, &workspace);
        }
        Message::Freed(workspace) => release::on_freed(daemon, now, &workspace),
        Message::Check => {
            let known = daemon.member.members.get(from).map_or(0, |member| member.incarnation);
            tell(daemon, fx, from, Message::Checked(known));
        }
        Message::Checked(known) => lease::on_checked(daemon, now, known),
    }
}

fn tell(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon, message: Message) {
    crate::member::send(daemon, fx, to, peer::Message::Limit(message));
}

/// Acts on an event of the store; tells whether it was this module's.
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
            serve(daemon, now, fx, &workspace);
        }
    }
    true
}

/// Gives seats back before the daemon stops.
pub fn drain(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    release::drain(daemon, now, fx);
}
