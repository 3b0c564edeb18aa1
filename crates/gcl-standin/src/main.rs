//! The `goldcrest-standin` program: its first word names the stand-in to run.

<<<<<<< HEAD
use eyre::{Result, bail};
use gcl_standin::{database, platform};
use std::{env, process::ExitCode};
use tokio::runtime::Runtime;

const USAGE: &str = "Usage: goldcrest-standin database --settings FILE
       goldcrest-standin platform [options]";

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match run(&arguments) {
=======
use eyre::eyre;
use std::process::ExitCode;

const USAGE: &str = "Usage: goldcrest-standin database --settings FILE";

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let done = match arguments.split_first() {
        Some((name, rest)) if name == "database" => gcl_standin::database::command::run(rest).await,
        Some((name, _)) if name == "--help" || name == "-h" => {
            println!("{USAGE}");
            Ok(())
        }
        _ => Err(eyre!("{USAGE}")),
    };
    match done {
>>>>>>> h/backend
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
<<<<<<< HEAD

fn run(arguments: &[String]) -> Result<()> {
    let Some((name, rest)) = arguments.split_first() else { bail!("{USAGE}") };
    match name.as_str() {
        "database" => Runtime::new()?.block_on(database::command::run(rest)),
        "platform" => platform::command::run(rest),
        "--help" | "-h" => {
            println!("{USAGE}");
            Ok(())
        }
        _ => bail!("{USAGE}"),
    }
}
=======
>>>>>>> h/backend
