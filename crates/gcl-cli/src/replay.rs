//! `goldcrest replay`: runs a recorded trace through the reducer again.

use crate::exit::{Failure, Result};
use gcl_audit::replay::{Outcome, replay};
use std::{
    fs::File,
    io::{self, BufRead, BufReader},
};

/// Usage of the command.
const USAGE: &str = "Usage: goldcrest replay FILE

Feeds the events of a trace to the reducer and compares every effect with the recorded one.
Exit codes: 0 the same decisions, 1 a decision differs, 2 usage or a damaged trace.";

/// Runs the command with the arguments after its name.
///
/// # Errors
/// [`Failure::Refused`] when a decision differs, [`Failure::Usage`] for a trace that cannot be read.
pub fn run(words: &[String]) -> Result<()> {
    let [path] = words else { return Err(Failure::Usage(USAGE.to_owned())) };
    if path == "--help" || path == "-h" {
        println!("{USAGE}");
        return Ok(());
    }
    let trace: Box<dyn BufRead> = if path == "-" {
        Box::new(io::stdin().lock())
    } else {
        let file = File::open(path);
        let file = file.map_err(|error| Failure::Usage(format!("{path}: {error}")))?;
        Box::new(BufReader::new(file))
    };
    match replay(trace) {
        Ok(Outcome { steps, difference: None }) => {
            println!("{steps} events led to the same decisions");
            Ok(())
        }
        Ok(Outcome { difference: Some(difference), .. }) => {
            println!("{difference}");
            Err(Failure::Refused(format!("line {} of the trace differs", difference.line)))
        }
        Err(error) => Err(Failure::Usage(format!("{path}: {error}"))),
    }
}
