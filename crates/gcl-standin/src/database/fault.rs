//! Faults that a server injects on request.

use super::engine::{Error, Result};
use std::time::Duration;

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No data passes between the server and clients, in either direction.
    IsolateClients,
    /// No data passes between the server and other servers of the group, in either direction.
    IsolateReplication,
    /// No data passes between the server and any peer.
    IsolateAll,
    /// The server is frozen.
    Freeze,
    /// New connections are closed immediately.
    Refuse,
    /// Each statement is delayed.
    Slow(Duration),
    /// Each response is delayed after its effect.
    Late(Duration),
    /// The next responses to committed transactions are dropped and their connections closed.
    LoseCommits(u64),
    /// The next responses on control connections are dropped and their connections closed.
    LoseReports(u64),
    /// All connections break and the port is closed; the log is kept.
    Crash,
}

/// The kind of peer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A client with a data or control connection.
    Client,
    /// Another server of the group.
    Server,
    /// The test harness, which is not affected by faults.
    Harness,
}

/// The faults in force.
#[expect(clippy::struct_excessive_bools, reason = "each is on or off by itself")]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    clients_isolated: bool,
    replication_isolated: bool,
    frozen: bool,
    /// Whether new connections are closed immediately.
    pub refusing: bool,
    /// Whether the port is closed.
    pub crashed: bool,
    /// Delay of each statement.
    pub slow: Duration,
    /// Delay of each response.
    pub late: Duration,
    /// Number of responses to commits still to drop.
    pub lose_commits: u64,
    /// Number of responses on control connections still to drop.
    pub lose_reports: u64,
}

impl Faults {
    /// Adds a fault.
    pub const fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::IsolateClients => self.clients_isolated = true,
            Fault::IsolateReplication => self.replication_isolated = true,
            Fault::IsolateAll => {
                self.clients_isolated = true;
                self.replication_isolated = true;
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

    /// Whether the server is frozen.
    #[must_use]
    pub const fn frozen(&self) -> bool {
        self.frozen
    }

    /// Whether data passes between the server and a peer.
    #[must_use]
    pub const fn passes(&self, peer: Peer) -> bool {
        match peer {
            Peer::Client => !self.clients_isolated && !self.frozen,
            Peer::Server => !self.replication_isolated && !self.frozen,
            Peer::Harness => true,
        }
    }
}

/// A fault command. Its text is a name and a number of milliseconds or responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Ends all faults.
    Heal,
    /// Injects a fault, and ends all faults after a duration if one is given.
    Inject(Fault, Option<Duration>),
}

/// Parses a fault command such as `freeze 500`, `late 20` or `heal`.
///
/// # Errors
/// SQLSTATE 22023 if the command is unknown.
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
