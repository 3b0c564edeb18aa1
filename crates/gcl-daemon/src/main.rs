//! The goldcrestd daemon.

use eyre::{WrapErr, bail};
use gcl_core::settings::{self, Settings};
use gcl_daemon::{daemon, direct, log};
use gcl_platform::settings::{self as platform, Process};
use getopts::Options;
use metrics_exporter_prometheus::PrometheusBuilder;
use std::{
    collections::hash_map::RandomState,
    env, fs,
    hash::{BuildHasher, Hasher},
    process::ExitCode,
};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 3;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let options = options();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("goldcrestd: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("goldcrestd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let positional: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match positional.as_slice() {
        ["check", path] => check(path),
        ["run", path] => run(path, matches.opt_str("record")),
        ["platform"] => run_on_platform(),
        ["platform", "check"] => check_platform(None),
        ["platform", "check", path] => check_platform(Some(path)),
        _ => {
            eprint!("{}", options.usage(USAGE));
            ExitCode::from(EXIT_USAGE)
        }
    }
}

const USAGE: &str = "Usage: goldcrestd [options] run FILE
       goldcrestd [options] check FILE
       goldcrestd platform
       goldcrestd platform check [FILE]

Runs a daemon with the settings in FILE, checks the settings, or runs a daemon
on the platform that names its settings file in the environment. A check prints
every fault with its line and column; the platform's file is the one that the
environment names unless another is given.
Exit codes: 0 success, 1 failure, 2 usage, 3 faults in the settings.";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt("", "record", "write a trace of every decision, - for standard output", "FILE");
    options
}

/// Reads a settings file; prints every fault in it and returns the exit code if it is invalid.
fn read_settings(path: &str) -> Result<Settings, ExitCode> {
    let text = fs::read_to_string(path).map_err(|error| {
        eprintln!("goldcrestd: cannot read {path}: {error}");
        ExitCode::FAILURE
    })?;
    settings::parse(&text).map_err(|problems| {
        for problem in problems {
            eprintln!("{path}:{problem}");
        }
        ExitCode::from(EXIT_SETTINGS)
    })
}

fn check(path: &str) -> ExitCode {
    match read_settings(path) {
        Ok(settings) => {
            println!("{path}: the settings of {} are valid", settings.daemon);
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn run(path: &str, trace: Option<String>) -> ExitCode {
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let system = actix_rt::System::with_tokio_rt(log::runtime);
    match system.block_on(serve(settings, trace)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("goldcrestd: {error:?}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the platform's settings file, by default the one named in the environment.
fn read_platform(path: Option<&str>) -> platform::Result<(String, Process)> {
    let path = path.map_or_else(platform::path, |path| Ok(path.to_owned()))?;
    let process = platform::read(&path)?;
    Ok((path, process))
}

/// Prints why the platform's settings cannot be used and returns the exit code.
fn report_platform_error(error: &platform::Error) -> ExitCode {
    match error {
        platform::Error::Malformed(..) => eprintln!("{error}"),
        _ => eprintln!("goldcrestd: {error}"),
    }
    ExitCode::from(EXIT_SETTINGS)
}

fn check_platform(path: Option<&str>) -> ExitCode {
    match read_platform(path) {
        Ok((path, process)) => {
            println!("{path}: the settings of {} are valid", process.settings.daemon);
            ExitCode::SUCCESS
        }
        Err(error) => report_platform_error(&error),
    }
}

fn run_on_platform() -> ExitCode {
    let (path, process) = match read_platform(None) {
        Ok(read) => read,
        Err(error) => return report_platform_error(&error),
    };
    let system = actix_rt::System::with_tokio_rt(direct::runtime);
    match system.block_on(direct::run(path, process, seed())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("goldcrestd: {error:?}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: Settings, trace: Option<String>) -> eyre::Result<()> {
    log::init();
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let name = settings.daemon.clone();
    let options = daemon::Options { settings, seed: seed(), trace, metrics: Some(metrics) };
    let mut outcome = daemon::start(options).await.wrap_err("the daemon did not start")?;
    tracing::info!(
        daemon = %name,
        caller = %outcome.caller,
        peer = %outcome.peer,
        operator = %outcome.operator,
        "the daemon is listening"
    );
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = outcome.wait_stopped() => bail!("the daemon stopped unexpectedly"),
    }
    tracing::info!(daemon = %name, "draining");
    outcome.stop();
    outcome.wait_stopped().await;
    Ok(())
}

/// Draws a random seed from the operating system, through the random keys of the standard hasher.
fn seed() -> u64 {
    RandomState::new().build_hasher().finish()
}
