//! `goldcrest`, the operators' command-line tool.
//!
//! Exit codes: 0 success, 1 refused, 2 invalid usage or file, 3 daemon unreachable, 4 conflict with
//! another change, 5 outcome unknown.

mod arguments;
mod audit;
mod client;
mod command;
mod exit;
mod explain;
mod input;
mod replay;
mod secret;
mod table;

use self::{
    arguments::{Arguments, Outcome},
    exit::Failure,
};
use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let result = match args.split_first() {
        Some((command, rest)) if command == "audit" => audit::run(rest),
        Some((command, rest)) if command == "explain" => explain::run(rest),
        Some((command, rest)) if command == "replay" => replay::run(rest),
        _ => run_daemon_command(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("goldcrest: {failure}");
            failure.code()
        }
    }
}

/// Runs a command that needs a daemon, or prints the help or version.
fn run_daemon_command(args: &[String]) -> exit::Result<()> {
    match arguments::parse(args)? {
        Outcome::Text(text) => {
            print!("{text}");
            Ok(())
        }
        Outcome::Run(arguments) => run(&arguments),
    }
}

fn run(arguments: &Arguments) -> exit::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime
        .map_err(|error| Failure::Usage(format!("cannot start the async runtime: {error}")))?;
    runtime.block_on(command::run(arguments))
}
