//! The write gap: the longest time without an acknowledged write during a change of primary.
//!
//! One caller at each of three daemons books at a steady rate and sends each booking once, with its
//! own request id. Every run starts a new deployment. The gap is the longest time between two
//! consecutive acknowledgements over all callers.

use super::{caller, objects};
use crate::{
    database::fault::Fault,
    deployment::{self, Caller, Deployment, Options},
    platform::fault::{self, Outage},
};
use eyre::{Result, eyre};
use gcl_core::{config::object::Object, operation::api};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Pause between two bookings of a caller.
const BOOKING_INTERVAL: Duration = Duration::from_millis(4);
/// Time before the change of primary.
const BEFORE: Duration = Duration::from_millis(600);
/// Time after the change during which bookings continue.
const AFTER: Duration = Duration::from_secs(4);

/// The cause of the change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    None,
    Crash,
    Isolate,
    Freeze,
    CrashWithoutStore,
    Planned,
}

/// Measures and prints the table.
///
/// # Errors
/// A deployment cannot be started.
pub async fn measure(runs: usize) -> Result<()> {
    println!("write gap, {runs} runs a row, 3 daemons, 3 servers, callers at each daemon");
    for change in [
        Change::None,
        Change::Crash,
        Change::Isolate,
        Change::Freeze,
        Change::CrashWithoutStore,
        Change::Planned,
    ] {
        let mut gaps = Vec::new();
        let mut failed = 0;
        for _ in 0..runs {
            let (gap, failures) = run(change).await?;
            gaps.push(gap);
            failed += failures;
        }
        gaps.sort();
        let at = |share: usize| gaps[(gaps.len() - 1) * share / 100];
        println!(
            "{:<18} p50 {:>7.1?} most {:>7.1?}; bookings not acknowledged {failed}",
            format!("{change:?}"),
            at(50),
            at(100)
        );
    }
    Ok(())
}

async fn run(change: Change) -> Result<(Duration, usize)> {
    let mut objects = objects();
    // A third failure domain, so that each server has a different home.
    let domain = serde_json::json!({"kind": "domain", "name": "c", "region": "here"});
    objects.insert(0, serde_json::from_value(domain)?);
    if let Some(Object::Server(last)) = objects.last_mut() {
        last.domain = "c".into();
    }
    let options = Options { objects, daemons_per_domain: 1, delays: true };
    let deployment = deployment::start(options).await?;
    let caller = caller();
    deployment.wait_until_writable(0, &caller, "create table booking (id int, what text)").await?;
    let since = Instant::now();
    let writers: Vec<_> = (0..deployment.members.len())
        .map(|member| {
            let address = deployment.members[member].daemon.caller;
            tokio::spawn(book(address, caller.clone(), member, since))
        })
        .collect();
    tokio::time::sleep(BEFORE).await;
    start(&deployment, change).await?;
    let mut times = Vec::new();
    let mut failures = 0;
    for writer in writers {
        let (acknowledged, failed) = writer.await??;
        times.extend(acknowledged);
        failures += failed;
    }
    times.sort();
    let gaps = times.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    let gap = gaps.max().ok_or_else(|| eyre!("no booking was acknowledged"))?;
    Ok((gap, failures))
}

async fn book(
    address: SocketAddr,
    caller: Caller,
    member: usize,
    since: Instant,
) -> Result<(Vec<Duration>, usize)> {
    let client = deployment::connect(address, &caller).await?;
    let (mut acknowledged, mut failed, mut number) = (Vec::new(), 0, 0);
    while since.elapsed() < BEFORE + AFTER {
        number += 1;
        let sql = format!(
            "/* goldcrest: request=00000000-0000-4000-800{member}-{number:012} */ \
             insert into booking values ({number}, 'rack')"
        );
        match client.batch_execute(&sql).await {
            Ok(()) => acknowledged.push(since.elapsed()),
            Err(_refused) => failed += 1,
        }
        tokio::time::sleep(BOOKING_INTERVAL).await;
    }
    Ok((acknowledged, failed))
}

async fn start(deployment: &Deployment, change: Change) -> Result<()> {
    let primary = deployment.primary("bench-1").ok_or_else(|| eyre!("no primary"))?;
    match change {
        Change::None => {}
        Change::Crash => primary.inject(Fault::Crash),
        Change::Isolate => primary.inject(Fault::IsolateAll),
        Change::Freeze => primary.inject(Fault::Freeze),
        Change::CrashWithoutStore => {
            let outage = Some(Outage::Refuse);
            let fault = fault::Fault { outage, ..fault::Fault::default() };
            deployment.platform.platform().set_fault(fault);
            primary.inject(Fault::Crash);
        }
        Change::Planned => {
            let replicas = deployment.servers.iter();
            let other =
                replicas.map(crate::database::Server::name).find(|name| *name != primary.name());
            let to = format!("name={}", other.unwrap_or_default());
            let body = api::Move { database: "".into(), to: to.into() };
            let operator = deployment.members[0].daemon.operator;
            let url = format!("http://{operator}/v1/primary/move");
            let response = reqwest::Client::new().post(url).json(&body).send().await?;
            eyre::ensure!(response.status().is_success(), "{}", response.text().await?);
        }
    }
    Ok(())
}
