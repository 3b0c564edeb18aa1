//! Latency and throughput through the daemons, relative to a direct connection in the same run.
//!
//! The same reads go to a stand-in server directly, through one daemon that is both entry (forwards
//! statements) and home (runs those of the server), and through two daemons, the entry and the
//! home. Daemons and stand-ins share this process.

use crate::{
    database::Server,
    deployment::{self, Caller, Deployment, Options},
};
use eyre::{Result, WrapErr, eyre};
use futures::future::try_join_all;
use hdrhistogram::Histogram;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio_postgres::{Client, SimpleQueryMessage};

/// Numbers of concurrent callers, one for each section of the table.
const CALLERS: [usize; 3] = [1, 32, 256];
/// Requests per row before the measurement starts.
const WARM_UP: usize = 50;

/// The route of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Direct,
    OneDaemon,
    TwoDaemons,
}

/// The measurements of one row.
#[derive(Debug)]
struct Row {
    route: Route,
    p50: Duration,
    p99: Duration,
    per_second: f64,
}

/// Measures and prints the table.
///
/// # Errors
/// A request that fails.
pub async fn measure(requests: usize) -> Result<()> {
    let caller = super::caller();
    let options = Options { objects: super::objects(), daemons_per_domain: 1, delays: false };
    let deployment = deployment::start(options).await?;
    let create = "create table item (id int primary key, what text)";
    let client = deployment.wait_until_writable(0, &caller, create).await?;
    client.batch_execute("insert into item values (1, 'rack')").await?;
    let primary = deployment.primary("bench-1").ok_or_else(|| eyre!("no primary"))?;
    let (home, entry) = caller_addresses(&deployment, primary);
    let reads = "select what from item where id = 1";
    println!("reads of one row, {requests} requests a row");
    for callers in CALLERS {
        let mut rows = Vec::new();
        for route in [Route::Direct, Route::OneDaemon, Route::TwoDaemons] {
            let address = match route {
                Route::Direct => primary.address(),
                Route::OneDaemon => home,
                Route::TwoDaemons => entry,
            };
            rows.push(row(route, address, &caller, callers, requests, reads).await?);
        }
        print(callers, &rows);
    }
    Ok(())
}

/// The caller addresses of the primary's home and of another daemon.
fn caller_addresses(deployment: &Deployment, primary: &Server) -> (SocketAddr, SocketAddr) {
    let home = usize::from(!primary.name().ends_with("-a"));
    let caller = |member: usize| deployment.members[member].daemon.caller;
    (caller(home), caller(1 - home))
}

async fn row(
    route: Route,
    address: SocketAddr,
    caller: &Caller,
    callers: usize,
    requests: usize,
    sql: &'static str,
) -> Result<Row> {
    let connects = (0..callers).map(|_| deployment::connect(address, caller));
    let clients = try_join_all(connects).await.wrap_err_with(|| format!("{route:?}"))?;
    let share = requests.div_ceil(callers).max(4);
    try_join_all(clients.iter().map(|client| repeat(client, WARM_UP.div_ceil(callers), sql)))
        .await?;
    let since = Instant::now();
    let tasks = clients
        .into_iter()
        .map(|client| tokio::spawn(async move { repeat(&client, share, sql).await }));
    let mut times = Histogram::<u64>::new(3)?;
    for task_times in try_join_all(tasks).await? {
        times.add(task_times?)?;
    }
    let elapsed = since.elapsed().as_secs_f64();
    let count = f64::from(u32::try_from(times.len())?);
    Ok(Row {
        route,
        p50: Duration::from_nanos(times.value_at_quantile(0.5)),
        p99: Duration::from_nanos(times.value_at_quantile(0.99)),
        per_second: count / elapsed,
    })
}

async fn repeat(client: &Client, count: usize, sql: &str) -> Result<Histogram<u64>> {
    let mut times = Histogram::new(3)?;
    for _ in 0..count {
        let since = Instant::now();
        let messages = client.simple_query(sql).await?;
        times.record(u64::try_from(since.elapsed().as_nanos())?)?;
        let rows = messages.iter().filter(|m| matches!(m, SimpleQueryMessage::Row(_)));
        eyre::ensure!(rows.count() == 1, "the row is missing");
    }
    Ok(times)
}

fn print(callers: usize, rows: &[Row]) {
    let base = &rows[0];
    for row in rows {
        println!(
            "{callers:>4} callers {:<12} p50 {:>8.1?} ({:.2}x) p99 {:>8.1?} ({:.2}x) {:>8.0}/s ({:.2}x)",
            format!("{:?}", row.route),
            row.p50,
            row.p50.as_secs_f64() / base.p50.as_secs_f64(),
            row.p99,
            row.p99.as_secs_f64() / base.p99.as_secs_f64(),
            row.per_second,
            row.per_second / base.per_second,
        );
    }
}
