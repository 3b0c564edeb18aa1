//! Runs one of the stand-ins as a process: the first word names it.

use eyre::{Result, bail};
use gcl_standin::platform;
use std::env;

/// What can be run.
const USAGE: &str = "goldcrest-standin platform [options]";

fn main() -> Result<()> {
    let mut words = env::args().skip(1);
    let command = words.next().unwrap_or_default();
    let rest: Vec<String> = words.collect();
    match command.as_str() {
        "platform" => platform::command::run(&rest),
        _ => bail!("usage: {USAGE}"),
    }
}
