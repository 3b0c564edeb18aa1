//! The settings file of the `database` command.

use super::{Boot, Lag, Options};
use eyre::WrapErr;
use serde::Deserialize;
use std::{net::SocketAddr, path::PathBuf, time::Duration};

/// Result of parsing settings.
pub type Result<T> = eyre::Result<T>;

/// The settings of one server, as JSON with comments.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The server's name.
    pub name: String,
    /// Its listen address, `ip:port`.
    pub address: SocketAddr,
    /// Maximum number of data connections.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Maximum number of concurrent statements.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Time to open a data connection, in milliseconds.
    #[serde(default)]
    pub open_delay_ms: u64,
    /// Delay added to each statement, in milliseconds.
    #[serde(default)]
    pub statement_delay_ms: u64,
    /// Lag between the commit on the primary and the receipt of its entry, in milliseconds.
    #[serde(default)]
    pub receive_lag_ms: u64,
    /// Lag between the receipt of an entry and its visibility to reads, in milliseconds.
    #[serde(default)]
    pub apply_lag_ms: u64,
    /// Its role at the first start: `"empty"`, `"primary"` or
    /// `{"follow": {"server": NAME, "address": "ip:port"}}`.
    #[serde(default)]
    pub boot: Boot,
    /// File that preserves the server's state when the process is killed.
    #[serde(default)]
    pub journal: Option<PathBuf>,
}

fn connections() -> usize {
    Options::default().connections
}

fn slots() -> usize {
    Options::default().slots
}

impl Settings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// The text is not valid; the error names the place.
    pub fn parse(text: &str) -> Result<Self> {
        let options = jsonc_parser::ParseOptions::default();
        let settings = jsonc_parser::parse_to_serde_value::<Self>(text, &options);
        settings.wrap_err("the settings are not valid")
    }

    /// Converts the settings to options.
    #[must_use]
    pub fn options(self) -> Options {
        Options {
            name: self.name,
            address: self.address,
            connections: self.connections,
            slots: self.slots,
            open_delay: Duration::from_millis(self.open_delay_ms),
            statement_delay: Duration::from_millis(self.statement_delay_ms),
            lag: Lag {
                receive: Duration::from_millis(self.receive_lag_ms),
                apply: Duration::from_millis(self.apply_lag_ms),
            },
            boot: self.boot,
            journal: self.journal,
        }
    }
}
