//! `goldcrest replay`: replays a recorded trace through the reducer and compares the effects.

use crate::{
    exit::{Failure, Result},
    input,
};
use gcl_audit::replay::{Outcome, replay};

/// Usage text of the command.
const USAGE: &str = "Usage: goldcrest replay FILE

Feeds the events of a trace to the reducer and compares every effect with the recorded one.
Exit codes: 0 the same decisions, 1 a decision differs, 2 usage or a damaged trace.";

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// [`Failure::Refused`] if an effect differs, [`Failure::Usage`] for a trace that cannot be read.
pub fn run(args: &[String]) -> Result<()> {
    let [path] = args else { return Err(Failure::Usage(USAGE.to_owned())) };
    if path == "--help" || path == "-h" {
        println!("{USAGE}");
        return Ok(());
    }
    match replay(input::open(path)?) {
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
