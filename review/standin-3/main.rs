//! Cases of the third review: each starts the project's daemons as processes before stand-ins of the
//! platform, its servers and clients, disrupts them as the pages allow, and checks one rule.
//!
//! Usage: case NAME FOLDER. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. TROUBLE=0 leaves the disruption out.

mod client;
mod daemon;
mod http;
mod json;
mod memory;
mod record;
mod server;
mod stop;
mod store;
mod sync;

use daemon::{Daemon, Settings};
use record::Record;
use server::Group;
use std::{
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    thread,
    time::Duration,
};
use store::Store;

/// The longest that a case may run.
const TIME_LIMIT: Duration = Duration::from_secs(117);

/// What a case starts with.
pub struct World {
    pub store: Store,
    pub record: Record,
    pub trouble: bool,
    folder: PathBuf,
}

/// The verdict of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    Unclear(String),
}

impl World {
    /// Starts the platform in front of `groups`, and daemons, each given by name and zone.
    pub fn daemons(
        &self,
        zones: &'static str,
        groups: &[Arc<Group>],
        limits: (usize, usize),
        daemons: &[(&str, &str)],
    ) -> Vec<Daemon> {
        let store = self.store.clone();
        let store = http::serve(move |request| store.answer(&request));
        let promoted = groups.to_vec();
        let cloud = http::serve(move |request| {
            let body = json::Json::parse(&request.body).unwrap_or(json::Json::Null);
            let group = promoted.iter().find(|it| it.settings.name == body.get("service").text());
            let fence = request.headers.get("x-fencing-token").cloned().unwrap_or_default();
            let running = group.is_some_and(|it| it.promote(body.get("id").text(), &fence));
            (if running { 200 } else { 409 }, "{}".to_owned())
        });
        let (memory_mb, max_fds) = limits;
        let settings = Settings { zones, store, cloud, memory_mb, max_fds };
        let start = |(name, zone): &(&str, &str)| Daemon::start(name, zone, &settings, &self.folder);
        daemons.iter().map(start).collect()
    }
}

fn main() -> ExitCode {
    let arguments: Vec<_> = env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: case NAME FOLDER");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        daemon::kill_all();
        std::process::exit(2);
    });
    let scratch = env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&scratch) {
        eprintln!("{}: {error}", scratch.display());
        return ExitCode::from(2);
    }
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(&format!("case {name}, trouble {trouble}"));
    let world =
        World { store: Store::start(), record: record.clone(), trouble, folder: scratch.clone() };
    let verdict = match name.as_str() {
        "again" => sync::run_again(&world),
        "unseen" => sync::run_unseen(&world),
        "refill" => sync::run_refill(&world),
        "crowd" => memory::run_crowd(&world),
        "long" => memory::run_long(&world),
        "stop-queue" => stop::run_queue(&world),
        "stop-ahead" => stop::run_ahead(&world),
        "stop-slow" => stop::run_slow(&world),
        _ => Verdict::Unclear("no case has this name".to_owned()),
    };
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&scratch);
    }
    match verdict {
        Verdict::Held => {
            record.say("held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("broken");
            ExitCode::from(1)
        }
        Verdict::Unclear(reason) => {
            record.say(&format!("could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
