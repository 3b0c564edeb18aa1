//! The `goldcrest` tool for operators.
//!
//! Exit codes: 0 done, 1 refused, 2 wrong usage or a faulty file, 3 the daemon is unreachable,
//! 4 a conflict with another change, 5 the outcome is unknown.

mod arguments;
mod audit;
mod client;
mod command;
mod exit;
mod explain;
mod log;
mod replay;
mod secret;
mod table;

use self::{
    arguments::{Arguments, Outcome},
    exit::Failure,
};
use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let result = match words.split_first() {
        Some((word, rest)) if word == "audit" => audit::run(rest),
        Some((word, rest)) if word == "explain" => explain::run(rest),
        Some((word, rest)) if word == "replay" => replay::run(rest),
        _ => operate(&words),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("goldcrest: {failure}");
            failure.code()
        }
    }
}

/// Runs a command that a daemon answers.
fn operate(words: &[String]) -> exit::Result<()> {
    match arguments::parse(words)? {
        Outcome::Text(text) => {
            print!("{text}");
            Ok(())
        }
        Outcome::Run(arguments) => run(&arguments),
    }
}

fn run(arguments: &Arguments) -> exit::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Failure::Usage(format!("no runtime: {error}")))?;
    runtime.block_on(command::run(arguments))
}
