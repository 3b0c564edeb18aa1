//! Command line of the soak test.

use eyre::{Result, WrapErr};
use gcl_soak::run::{self, Options as Soak, Outcome};
use getopts::{Matches, Options};
use std::{env, fs, path::PathBuf, process::ExitCode, str::FromStr};
use tokio::runtime::Builder;

const USAGE: &str = "Usage: gcl-soak [options]

Runs daemons as processes, injects faults, and checks the guarantees given to callers.
Build the daemon first: cargo build -p gcl-daemon.
Exit codes: 0 no violation, 1 violations found or the test could not run, 2 usage error.";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "seed", "the first seed, by default 1", "N");
    options.optopt("", "seeds", "how many consecutive seeds to run, by default 1", "N");
    options.optopt("", "daemons", "daemons, by default 3", "N");
    options.optopt("", "callers", "callers, by default 12", "N");
    options.optopt("", "faults", "faults per seed, by default 20", "N");
    options.optopt("", "returns", "restores of the store from a snapshot, by default 2", "N");
    options.optopt("", "evacuations", "evacuations of failure domains, by default 2", "N");
    options.optopt("", "daemon", "the daemon's program", "FILE");
    options.optflag("", "plan", "print the faults of each seed");
    options
}

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("gcl-soak: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    match run_seeds(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("gcl-soak: {error:?}");
            ExitCode::FAILURE
        }
    }
}

fn number<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    match matches.opt_str(name) {
        Some(text) => text.parse().wrap_err_with(|| format!("--{name} {text}")),
        None => Ok(default),
    }
}

/// Runs the soak test for each seed. Returns whether no guarantee was violated.
fn run_seeds(matches: &Matches) -> Result<bool> {
    let first: u64 = number(matches, "seed", 1)?;
    let seeds: u64 = number(matches, "seeds", 1)?;
    let default = env::current_exe()?.with_file_name("goldcrestd");
    let program = matches.opt_str("daemon").map_or(default, PathBuf::from);
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    let mut passed = true;
    for seed in first..first + seeds {
        let directory =
            env::temp_dir().join(format!("goldcrest-soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&directory).wrap_err("cannot create the directory for the logs")?;
        let soak = Soak {
            seed,
            daemons: number(matches, "daemons", 3)?,
            callers: number(matches, "callers", 12)?,
            faults: number(matches, "faults", 20)?,
            restores: number(matches, "returns", 2)?,
            evacuations: number(matches, "evacuations", 2)?,
            program: program.clone(),
            directory: directory.clone(),
        };
        let outcome = runtime.block_on(run::run(&soak))?;
        print(seed, &outcome, matches.opt_present("plan"));
        if outcome.violations.is_empty() {
            fs::remove_dir_all(&directory)?;
        } else {
            println!("  logs: {}", directory.display());
            passed = false;
        }
    }
    Ok(passed)
}

fn print(seed: u64, outcome: &Outcome, plan: bool) {
    let millis = |quantile| outcome.times.value_at_quantile(quantile) / 1_000;
    let refused: Vec<_> =
        outcome.refused.iter().map(|(code, count)| format!("{code} {count}")).collect();
    println!(
        "seed {seed}: {} faults, {} statements served (p50 {} ms, p99 {} ms, max {} ms), {} \
         acknowledged commits rolled back, not served: {}; {} violations",
        outcome.plan.len(),
        outcome.served,
        millis(0.5),
        millis(0.99),
        millis(1.0),
        outcome.rolled_back,
        refused.join(", "),
        outcome.violations.len(),
    );
    if plan || !outcome.violations.is_empty() {
        for step in &outcome.plan {
            println!("  at {:?} for {:?}: {:?}", step.at, step.length, step.fault);
        }
    }
    for violation in &outcome.violations {
        println!("  VIOLATION: {violation}");
    }
}
