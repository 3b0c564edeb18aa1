//! `goldcrest explain`: explains the outcome of a request from the logs of the daemons involved.

use crate::{
    exit::{Failure, Result},
    input,
};
use gcl_audit::{
    read,
    timeline::{self, Line, Outcome},
};

/// Usage text of the command.
const USAGE: &str = "Usage: goldcrest explain REQUEST FILE...

Joins the logs of daemons on the users' platform: the lines that name the request, what the
daemons believed around that time, and the cause.
Exit codes: 0 the request was found, 1 no line names it, 2 usage or a log that cannot be read.";

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// [`Failure::Refused`] when no line names the request, [`Failure::Usage`] for a log that cannot be
/// read.
pub fn run(args: &[String]) -> Result<()> {
    if args.iter().any(|word| word == "--help" || word == "-h") {
        println!("{USAGE}");
        return Ok(());
    }
    let [request, files @ ..] = args else { return Err(Failure::Usage(USAGE.to_owned())) };
    if files.is_empty() {
        return Err(Failure::Usage(USAGE.to_owned()));
    }
    let outcome = timeline::explain(request, |handle_line| {
        for path in files {
            let read = read::lines(path, input::file(path)?, |_location, line| {
                handle_line(&String::from_utf8_lossy(line));
            });
            read.map_err(|error| Failure::Usage(error.to_string()))?;
        }
        Ok(())
    })?;
    if outcome.steps.is_empty() {
        return Err(Failure::Refused(outcome.cause));
    }
    print(&outcome);
    Ok(())
}

fn print(outcome: &Outcome) {
    println!("The request:");
    let start_ms = outcome.steps.first().map_or(0, |line| line.at_ms);
    outcome.steps.iter().for_each(|line| print_line(start_ms, line));
    if !outcome.context.is_empty() {
        println!("What the daemons saw:");
        outcome.context.iter().for_each(|line| print_line(start_ms, line));
    }
    if outcome.omitted > 0 {
        println!("  ... and {} lines more", outcome.omitted);
    }
    if outcome.dropped > 0 {
        println!("  {} lines of that time were left out of the logs", outcome.dropped);
    }
    println!("Cause: {}", outcome.cause);
}

/// Prints a line with its time relative to the request's first line.
fn print_line(start_ms: u64, line: &Line) {
    let (sign, offset) = if line.at_ms < start_ms {
        ('-', start_ms - line.at_ms)
    } else {
        ('+', line.at_ms - start_ms)
    };
    println!("  {:>9} {line}", format!("{sign}{offset} ms"));
}
