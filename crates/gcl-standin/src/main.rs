//! The `goldcrest-standin` program: its first word names the stand-in to run.

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
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
