//! The `database` command: runs one server in a separate process.

use super::{Server, settings::Settings};
use eyre::{WrapErr, eyre};
use getopts::{Options, ParsingStyle};

/// Result of the command.
pub type Result<T> = eyre::Result<T>;

/// Runs the command with the arguments after its name, until the process is interrupted.
///
/// # Errors
/// Invalid arguments or settings, or a port that cannot be bound.
pub async fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.parsing_style(ParsingStyle::FloatingFrees);
    options.optopt("", "settings", "settings in JSON with comments", "FILE");
    options.optflag("h", "help", "print this help");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: goldcrest-standin database --settings FILE"));
        return Ok(());
    }
    let file = matches.opt_str("settings").ok_or_else(|| eyre!("--settings is missing"))?;
    let text = std::fs::read_to_string(&file).wrap_err_with(|| format!("cannot read {file}"))?;
    let server = Server::start(Settings::parse(&text)?.options()).await?;
    println!("listening on {}", server.address());
    tokio::signal::ctrl_c().await?;
    Ok(())
}
