//! The `goldcrest` tool for operators.
//!
//! Exit codes: 0 done, 1 refused, 2 wrong usage or a faulty file, 3 the daemon is unreachable,
//! 4 a conflict with another change, 5 the outcome is unknown.

mod arguments;
mod client;
mod command;
mod exit;
mod secret;
mod table;

use self::{
    arguments::{Arguments, Outcome},
    exit::Failure,
};
use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let result = match arguments::parse(&words) {
        Ok(Outcome::Text(text)) => {
            print!("{text}");
            Ok(())
        }
        Ok(Outcome::Run(arguments)) => run(&arguments),
        Err(failure) => Err(failure),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("goldcrest: {failure}");
            failure.code()
        }
    }
}

fn run(arguments: &Arguments) -> exit::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Failure::Usage(format!("no runtime: {error}")))?;
    runtime.block_on(command::run(arguments))
}
