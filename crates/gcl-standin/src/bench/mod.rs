//! The `bench` command: measurements of complete deployments in this process.

mod failover;
mod latency;
mod replica;

use crate::deployment::Caller;
use eyre::{Result, bail};
use gcl_core::config::object::Object;
use getopts::Options as Flags;

/// Maximum connections per server, high enough for the direct callers.
const CONNECTIONS: u32 = 300;
/// Concurrent statements per server.
const SLOTS: u32 = 16;
/// Rate and burst of the workspace in requests, high enough that no request is rate limited.
const RATE: u32 = 4_000_000;
const USAGE: &str = "Usage: goldcrest-standin bench [options] path|gap|replica

path     latency and throughput directly and through one or two daemons
gap      time without acknowledged writes during a change of primary
replica  share of reads served by replicas, by accepted age";

/// Runs the command with the arguments after its name.
///
/// # Errors
/// Bad arguments, or a measurement that fails.
pub fn run(arguments: &[String]) -> Result<()> {
    let mut flags = Flags::new();
    flags.optopt("", "requests", "path, replica: requests per row, 4000 and 1000 by default", "N");
    flags.optopt("", "runs", "gap: runs per row, 10 by default", "N");
    flags.optflag("", "log", "write the daemons' logs to standard output");
    flags.optflag("h", "help", "print this help");
    let matches = flags.parse(arguments)?;
    if matches.opt_present("help") {
        print!("{}", flags.usage(USAGE));
        return Ok(());
    }
    if matches.opt_present("log") {
        gcl_daemon::log::init();
    }
    let system = actix_rt::System::with_tokio_rt(gcl_daemon::log::runtime);
    match matches.free.first().map(String::as_str) {
        Some("path") => {
            system.block_on(latency::measure(matches.opt_get_default("requests", 4_000)?))
        }
        Some("gap") => system.block_on(failover::measure(matches.opt_get_default("runs", 10)?)),
        Some("replica") => {
            system.block_on(replica::measure(matches.opt_get_default("requests", 1_000)?))
        }
        _ => bail!("{USAGE}"),
    }
}

/// The caller used in the measurements.
fn caller() -> Caller {
    Caller::example("bench", "bench-db")
}

/// One database of three servers in two failure domains.
fn objects() -> Vec<Object> {
    let mut objects = vec![
        serde_json::json!({"kind": "domain", "name": "a", "region": "here"}),
        serde_json::json!({"kind": "domain", "name": "b", "region": "here"}),
        serde_json::json!({"kind": "service", "name": "bench-db"}),
        serde_json::json!({"kind": "database", "name": "bench-1", "service": "bench-db"}),
        serde_json::json!({"kind": "workspace", "name": "bench", "rate": RATE, "burst": RATE}),
        serde_json::json!({"kind": "key", "name": "bench-1", "workspace": "bench",
            "hash": gcl_core::key::hash("demo-bench")}),
        serde_json::json!({"kind": "rule", "name": "all", "service": "bench-db"}),
    ];
    for domain in ["a", "b", "b"] {
        let name = format!("bench-1-{}-{domain}", objects.len());
        objects.push(serde_json::json!({"kind": "server", "name": name, "database": "bench-1",
            "domain": domain, "address": "127.0.0.1:1", "slots": SLOTS,
            "connections": CONNECTIONS, "labels": {"name": name}}));
    }
    objects.into_iter().filter_map(|object| serde_json::from_value(object).ok()).collect()
}
