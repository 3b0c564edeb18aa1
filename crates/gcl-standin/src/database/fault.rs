//! Faults that a server shows on demand.

use super::engine::{Error, Result};
use std::time::Duration;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Clients get no bytes through in either direction.
    IsolateClients,
    /// Servers of the group get no bytes through in either direction.
    IsolateReplication,
    /// Nobody gets bytes through.
    IsolateAll,
    /// The server stands still.
    Freeze,
    /// New connections are closed at once.
    Refuse,
    /// Each statement takes longer.
    Slow(Duration),
    /// Each answer is held back after its effect.
    Late(Duration),
    /// The next answers of transactions that committed are dropped with their connections.
    LoseCommits(u64),
    /// The next answers on control connections are dropped with their connections.
    LoseReports(u64),
    /// Every connection breaks and the port is closed; the log is kept.
    Crash,
}

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A client with data or control connection.
    Client,
    /// Another server of the group.
    Server,
    /// The test bench, which faults do not reach.
    Harness,
}

/// The faults in force.
#[expect(clippy::struct_excessive_bools, reason = "each is on or off by itself")]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    clients_cut: bool,
    replication_cut: bool,
    frozen: bool,
    /// Whether new connections are closed at once.
    pub refusing: bool,
    /// Whether the port is closed.
    pub crashed: bool,
    /// Added to each statement.
    pub slow: Duration,
    /// Held back from each answer.
    pub late: Duration,
    /// Answers of commits still to drop.
    pub lose_commits: u64,
    /// Answers on control connections still to drop.
    pub lose_reports: u64,
}

impl Faults {
    /// Puts a fault in force.
    pub const fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::IsolateClients => self.clients_cut = true,
            Fault::IsolateReplication => self.replication_cut = true,
            Fault::IsolateAll => {
                self.clients_cut = true;
                self.replication_cut = true;
            }
            Fault::Freeze => self.frozen = true,
            Fault::Refuse => self.refusing = true,
            Fault::Slow(delay) => self.slow = delay,
            Fault::Late(delay) => self.late = delay,
            Fault::LoseCommits(count) => self.lose_commits = count,
            Fault::LoseReports(count) => self.lose_reports = count,
            Fault::Crash => self.crashed = true,
        }
    }

    /// Whether the server stands still.
    #[must_use]
    pub const fn frozen(&self) -> bool {
        self.frozen
    }

    /// Whether bytes pass between the server and a peer.
    #[must_use]
    pub const fn passes(&self, peer: Peer) -> bool {
        match peer {
            Peer::Client => !self.clients_cut && !self.frozen,
            Peer::Server => !self.replication_cut && !self.frozen,
            Peer::Harness => true,
        }
    }
}

/// An order to put a fault in force, as text: a name and a number of milliseconds or answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Ends all faults.
    Heal,
    /// Starts one, ending all faults after a time if one is given.
    Inject(Fault, Option<Duration>),
}

/// Reads an order such as `freeze 500`, `late 20` or `heal`.
///
/// # Errors
/// SQLSTATE 22023 for anything else.
pub fn parse(text: &str) -> Result<Command> {
    let mut words = text.split_whitespace();
    let name = words.next().unwrap_or_default();
    let number = words.next().and_then(|word| word.parse::<u64>().ok());
    let time = number.map(Duration::from_millis);
    let fault = match name {
        "heal" => return Ok(Command::Heal),
        "isolate-clients" => Fault::IsolateClients,
        "isolate-replication" => Fault::IsolateReplication,
        "isolate" => Fault::IsolateAll,
        "freeze" => Fault::Freeze,
        "refuse" => Fault::Refuse,
        "crash" => Fault::Crash,
        "slow" => return Ok(Command::Inject(Fault::Slow(time.unwrap_or_default()), None)),
        "late" => return Ok(Command::Inject(Fault::Late(time.unwrap_or_default()), None)),
        "lose-commits" => {
            return Ok(Command::Inject(Fault::LoseCommits(number.unwrap_or(1)), None));
        }
        "lose-reports" => {
            return Ok(Command::Inject(Fault::LoseReports(number.unwrap_or(1)), None));
        }
        _ => return Err(Error::new("22023", format!("unknown fault: {text}"))),
    };
    Ok(Command::Inject(fault, time))
}
