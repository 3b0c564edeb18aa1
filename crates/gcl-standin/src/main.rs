//! The `goldcrest-standin` program; its first argument is the command to run.

use eyre::{Result, bail};
use gcl_standin::{bench, database, demo, platform};
use std::{env, process::ExitCode};
use tokio::runtime::Runtime;

const USAGE: &str = "Usage: goldcrest-standin bench [options]
       goldcrest-standin demo [kazyna|basu]
       goldcrest-standin database --settings FILE
       goldcrest-standin platform [options]";

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &[String]) -> Result<()> {
    let Some((name, rest)) = arguments.split_first() else { bail!("{USAGE}") };
    match name.as_str() {
        "database" => Runtime::new()?.block_on(database::command::run(rest)),
        "bench" => bench::run(rest),
        "demo" => demo::run(rest),
        "platform" => platform::command::run(rest),
        "--help" | "-h" => {
            println!("{USAGE}");
            Ok(())
        }
        _ => bail!("{USAGE}"),
    }
}
