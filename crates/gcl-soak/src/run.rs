//! One run of the soak test: starts the deployment, injects the planned faults, and checks the
//! callers' histories.

use crate::{
    caller::{self, Caller, History},
    plan::{self, Fault, Link, Size, Step},
    proxy::Proxy,
};
use eyre::{Result, WrapErr};
use gcl_platform_standin::{
    caller::Caller as Session,
    deployment::{Deployment, KEY, SERVICE},
};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{Mutex, watch},
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Number of servers of the stand-in's database.
const SERVERS: usize = 3;
/// Interval between polls for a daemon's exit or recovery.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Outage of the store before it is restored from a snapshot.
const RESTORE_OUTAGE: Duration = Duration::from_millis(300);
/// Time after which servers and operators have rewritten the keys missing from the snapshot.
const REWRITE_DELAY: Duration = Duration::from_millis(900);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the faults and the callers.
    pub seed: u64,
    /// Daemons.
    pub daemons: usize,
    /// Callers.
    pub callers: usize,
    /// Faults.
    pub faults: usize,
    /// Restores of the store from a snapshot.
    pub restores: usize,
    /// Evacuations of failure domains.
    pub evacuations: usize,
    /// The daemon's program.
    pub program: PathBuf,
    /// Directory for settings and logs.
    pub directory: PathBuf,
}

/// Outcome of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The faults injected.
    pub plan: Vec<Step>,
    /// Number of statements served.
    pub served: u64,
    /// Their latencies in microseconds.
    pub times: Histogram<u64>,
    /// Number of statements rejected or lost, by error code.
    pub refused: IndexMap<String, u64>,
    /// Acknowledged commits that a failover rolled back, as the servers do not wait for replicas.
    pub rolled_back: usize,
    /// Violations of guarantees.
    pub violations: Vec<String>,
}

/// The deployment and the proxies in front of its components.
struct Cluster {
    deployment: Mutex<Deployment>,
    callers: Vec<Proxy>,
    platform: Vec<Proxy>,
    servers: Vec<(String, Proxy)>,
}

/// Runs the soak test.
///
/// # Errors
/// A process cannot be started, a port cannot be bound, or a signal cannot be sent.
pub async fn run(options: &Options) -> Result<Outcome> {
    let size = Size {
        daemons: options.daemons,
        servers: SERVERS,
        faults: options.faults,
        restores: options.restores,
        evacuations: options.evacuations,
    };
    let plan = plan::generate(options.seed, size);
    let cluster = Arc::new(Cluster::start(&options.program, &options.directory, size).await?);
    let entries: Vec<_> = cluster.callers.iter().map(|proxy| proxy.address).collect();
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..options.callers {
        let caller = Caller::new(options.seed, number, entries.clone());
        callers.spawn(caller.run(stopped.clone()));
    }
    let started = Instant::now();
    let mut faults = JoinSet::new();
    for step in plan.clone() {
        let cluster = Arc::clone(&cluster);
        faults.spawn(async move {
            sleep_until(started + step.at).await;
            cluster.inject(step).await
        });
    }
    while let Some(result) = faults.join_next().await {
        result.wrap_err("a fault's task failed")??;
    }
    cluster.wait_until_writable().await;
    stop.send_replace(true);
    let histories = callers.join_all().await;
    cluster.report(plan, &histories).await
}

impl Cluster {
    async fn start(program: &Path, directory: &Path, size: Size) -> Result<Self> {
        let mut deployment = Deployment::prepare(program, directory).await?;
        let mut servers = Vec::new();
        for (id, address) in deployment.group.addresses() {
            let proxy = Proxy::start(address.parse()?).await?;
            deployment.group.advertise(&id, proxy.address.to_string());
            servers.push((id, proxy));
        }
        let (mut callers, mut platform) = (Vec::new(), Vec::new());
        for number in 0..size.daemons {
            let proxy = Proxy::start(deployment.platform()).await?;
            deployment.add_daemon_with_platform(number, proxy.address)?;
            platform.push(proxy);
        }
        for daemon in &deployment.daemons {
            daemon.wait_for_readiness(true).await;
            callers.push(Proxy::start(daemon.caller_address).await?);
        }
        Ok(Self { deployment: Mutex::new(deployment), callers, platform, servers })
    }

    /// Starts a fault, waits for its duration, and ends it.
    async fn inject(&self, step: Step) -> Result<()> {
        match step.fault {
            Fault::Delay(link, delay) => {
                let proxy = self.proxy(link);
                proxy.disrupt(|it| it.delay = delay);
                sleep(step.length).await;
                proxy.disrupt(|it| it.delay = Duration::ZERO);
            }
            Fault::Reset(link) => self.proxy(link).disrupt(|it| it.resets += 1),
            Fault::BlockForward(link) => self.block(link, (true, false), step.length).await,
            Fault::BlockBackward(link) => self.block(link, (false, true), step.length).await,
            Fault::BlockBoth(link) => self.block(link, (true, true), step.length).await,
            Fault::Pause(daemon) => {
                self.signal(daemon, "-STOP").await?;
                sleep(step.length).await;
                self.signal(daemon, "-CONT").await?;
            }
            Fault::Kill(daemon) => {
                let mut deployment = self.deployment.lock().await;
                deployment.daemons[daemon].signal("-KILL")?;
                deployment.restart(daemon)?;
            }
            Fault::Stop(daemon) => self.stop(daemon).await?,
            Fault::Reload(daemon) => self.signal(daemon, "-HUP").await?,
            Fault::StoreOutage => {
                let store = self.deployment.lock().await.store.clone();
                store.set_unavailable(true);
                sleep(step.length).await;
                store.set_unavailable(false);
            }
            Fault::StoreRestore => self.restore_store(step.length).await,
            Fault::Crash(server) => {
                let group = Arc::clone(&self.deployment.lock().await.group);
                let id = &self.servers[server].0;
                group.crash(id);
                sleep(step.length).await;
                group.restart(id);
            }
            Fault::Isolate => {
                let group = Arc::clone(&self.deployment.lock().await.group);
                let id = group.primary();
                let Some(server) = self.servers.iter().position(|(name, _)| *name == id) else {
                    return Ok(());
                };
                group.isolate(&id);
                // While the daemons cannot reach it either, another server is promoted. Then they
                // reach it again.
                self.block(Link::Server(server), (true, true), step.length / 2).await;
                sleep(step.length / 2).await;
                group.rejoin(&id);
            }
            Fault::Evacuate(server) => self.evacuate(server, step.length).await,
            Fault::Lag(server, lag) => {
                let group = Arc::clone(&self.deployment.lock().await.group);
                let id = &self.servers[server].0;
                group.set_lag(id, lag);
                sleep(step.length).await;
                group.set_lag(id, Duration::ZERO);
            }
        }
        Ok(())
    }

    /// Evacuates the failure domain of a server for a while.
    async fn evacuate(&self, server: usize, length: Duration) {
        let domain = self.deployment.lock().await.group.domain(&self.servers[server].0);
        self.deployment.lock().await.evacuate(&domain, true);
        sleep(length).await;
        self.deployment.lock().await.evacuate(&domain, false);
    }

    /// Restores the store from a snapshot of the given age.
    async fn restore_store(&self, age: Duration) {
        let store = self.deployment.lock().await.store.clone();
        let snapshot = store.snapshot();
        sleep(age).await;
        store.set_unavailable(true);
        sleep(RESTORE_OUTAGE).await;
        store.restore(snapshot, REWRITE_DELAY).await;
    }

    fn proxy(&self, link: Link) -> &Proxy {
        match link {
            Link::Callers(daemon) => &self.callers[daemon],
            Link::Platform(daemon) => &self.platform[daemon],
            Link::Server(server) => &self.servers[server].1,
        }
    }

    async fn block(&self, link: Link, (forward, backward): (bool, bool), length: Duration) {
        let proxy = self.proxy(link);
        proxy.disrupt(|it| {
            it.forward_blocked |= forward;
            it.backward_blocked |= backward;
        });
        sleep(length).await;
        proxy.disrupt(|it| {
            it.forward_blocked &= !forward;
            it.backward_blocked &= !backward;
        });
    }

    async fn signal(&self, daemon: usize, name: &str) -> Result<()> {
        self.deployment.lock().await.daemons[daemon].signal(name)
    }

    /// Stops a daemon gracefully and restarts it once it has exited, unless another fault has
    /// killed and restarted it in the meantime.
    async fn stop(&self, daemon: usize) -> Result<()> {
        let process = {
            let deployment = self.deployment.lock().await;
            deployment.daemons[daemon].signal("-TERM")?;
            deployment.daemons[daemon].child.id()
        };
        loop {
            sleep(POLL_INTERVAL).await;
            let mut deployment = self.deployment.lock().await;
            let child = &mut deployment.daemons[daemon].child;
            if child.id() != process {
                return Ok(());
            }
            if child.try_wait()?.is_some() {
                return deployment.restart(daemon);
            }
        }
    }

    /// Waits until every daemon accepts writes again.
    async fn wait_until_writable(&self) {
        for (number, proxy) in self.callers.iter().enumerate() {
            let address = proxy.address.to_string();
            let write = async || {
                let mut session = Session::connect(&address, SERVICE, KEY).await?;
                session.query(&format!("WRITE end-{number} done")).await
            };
            while write().await.is_err() {
                sleep(POLL_INTERVAL).await;
            }
        }
    }

    async fn report(&self, plan: Vec<Step>, histories: &[History]) -> Result<Outcome> {
        let group = Arc::clone(&self.deployment.lock().await.group);
        let lost = group.lost();
        let rolled_back = lost.rolled_back.into_iter().collect();
        let (mut refused, mut violations) = (IndexMap::new(), Vec::new());
        violations.extend(check_fencing(&group.promotions()));
        let mut times = Histogram::new(3).wrap_err("cannot create the histogram")?;
        let mut lost_acknowledged = 0;
        for history in histories {
            let none = IndexMap::new();
            violations.extend(history.anomalies.iter().filter_map(|anomaly| {
                let writes = history.items.get(&anomaly.item).unwrap_or(&none);
                anomaly.violation(writes, &rolled_back)
            }));
            for (item, writes) in &history.items {
                let committed = group.committed(item);
                violations.extend(caller::check_log(item, writes, &committed, &rolled_back));
                let acknowledged = |value: &&String| {
                    matches!(writes.get(*value), Some(caller::Status::Acknowledged(_)))
                };
                lost_acknowledged += rolled_back.iter().filter(acknowledged).count();
                let superseded = lost.superseded.iter().filter(acknowledged);
                violations.extend(superseded.map(|value| {
                    format!("{value} of {item} was acknowledged by a superseded primary")
                }));
            }
            for time in &history.served {
                let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                times.record(micros).wrap_err("cannot record a statement's latency")?;
            }
            for (code, count) in &history.refused {
                *refused.entry(code.clone()).or_default() += count;
            }
        }
        Ok(Outcome {
            plan,
            served: times.len(),
            times,
            refused,
            rolled_back: lost_acknowledged,
            violations,
        })
    }
}

/// Finds promotions whose fencing token is lower than the previous one, or is the previous one of
/// another server.
fn check_fencing(promotions: &[(u64, String)]) -> Vec<String> {
    let pairs = promotions.iter().zip(promotions.iter().skip(1));
    let wrong = pairs.filter(|(before, after)| {
        after.0 < before.0 || (after.0 == before.0 && after.1 != before.1)
    });
    let messages = wrong.map(|(before, after)| {
        format!(
            "{} was promoted with fencing token {}, after {} with {}",
            after.1, after.0, before.1, before.0
        )
    });
    messages.collect()
}
