//! One soak: starts everything, plays a plan, and checks what callers were told.

use crate::{
    caller::{self, Account, Caller},
    plan::{self, Fault, Path as Way, Size, Step},
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

/// Servers of the stand-in's database.
const SERVERS: usize = 3;
/// Pause between two looks whether the deployment serves again.
const LOOK: Duration = Duration::from_millis(50);
/// How long the store is away before it comes back from a copy.
const RETURN: Duration = Duration::from_millis(300);
/// Time after which servers and operators have written again what the copy lacks.
const WRITTEN_AGAIN: Duration = Duration::from_millis(900);

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Options {
    /// Draws faults and callers.
    pub seed: u64,
    /// Daemons.
    pub daemons: usize,
    /// Callers.
    pub callers: usize,
    /// Faults.
    pub faults: usize,
    /// Times that the store comes back from a copy.
    pub returns: usize,
    /// The daemon's program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub directory: PathBuf,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The faults that were played.
    pub plan: Vec<Step>,
    /// Statements served.
    pub served: u64,
    /// Their times in microseconds.
    pub times: Histogram<u64>,
    /// Statements refused or lost, by the word of the refusal.
    pub refused: IndexMap<String, u64>,
    /// Acknowledged commits that a takeover rolled back, as the servers do not wait for replicas.
    pub rolled_back: usize,
    /// What broke a promise.
    pub broken: Vec<String>,
}

/// The deployment and the proxies before its parts.
struct World {
    deployment: Mutex<Deployment>,
    callers: Vec<Proxy>,
    platform: Vec<Proxy>,
    servers: Vec<(String, Proxy)>,
}

/// Plays a soak.
///
/// # Errors
/// A process or a port cannot be started, or a signal not be sent.
pub async fn run(options: &Options) -> Result<Outcome> {
    let size = Size {
        daemons: options.daemons,
        servers: SERVERS,
        faults: options.faults,
        returns: options.returns,
    };
    let plan = plan::draw(options.seed, size);
    let world = Arc::new(World::start(&options.program, &options.directory, size).await?);
    let entries: Vec<_> = world.callers.iter().map(|proxy| proxy.address).collect();
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..options.callers {
        let caller = Caller::new(options.seed, number, entries.clone());
        callers.spawn(caller.run(stopped.clone()));
    }
    let started = Instant::now();
    let mut faults = JoinSet::new();
    for step in plan.clone() {
        let world = Arc::clone(&world);
        faults.spawn(async move {
            sleep_until(started + step.at).await;
            world.play(step).await
        });
    }
    while let Some(played) = faults.join_next().await {
        played.wrap_err("a fault's task")??;
    }
    world.serves_again().await;
    stop.send_replace(true);
    let accounts = callers.join_all().await;
    world.report(plan, &accounts).await
}

impl World {
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

    /// Begins a fault, waits, and ends it.
    async fn play(&self, step: Step) -> Result<()> {
        match step.fault {
            Fault::Delay(way, delay) => {
                let proxy = self.proxy(way);
                proxy.disturb(|it| it.delay = delay);
                sleep(step.length).await;
                proxy.disturb(|it| it.delay = Duration::ZERO);
            }
            Fault::Reset(way) => self.proxy(way).disturb(|it| it.resets += 1),
            Fault::CutForward(way) => self.cut(way, (true, false), step.length).await,
            Fault::CutBackward(way) => self.cut(way, (false, true), step.length).await,
            Fault::Silence(way) => self.cut(way, (true, true), step.length).await,
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
            Fault::StoreAway => {
                let store = self.deployment.lock().await.store.clone();
                store.set_unavailable(true);
                sleep(step.length).await;
                store.set_unavailable(false);
            }
            Fault::StoreReturns => self.return_store(step.length).await,
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
                // First nobody reaches it and another takes over, then daemons reach it again.
                self.cut(Way::Server(server), (true, true), step.length / 2).await;
                sleep(step.length / 2).await;
                group.rejoin(&id);
            }
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

    /// Has the store come back from a copy of some age.
    async fn return_store(&self, age: Duration) {
        let store = self.deployment.lock().await.store.clone();
        let copy = store.snapshot();
        sleep(age).await;
        store.set_unavailable(true);
        sleep(RETURN).await;
        store.restore(copy, WRITTEN_AGAIN).await;
    }

    fn proxy(&self, way: Way) -> &Proxy {
        match way {
            Way::Callers(daemon) => &self.callers[daemon],
            Way::Platform(daemon) => &self.platform[daemon],
            Way::Server(server) => &self.servers[server].1,
        }
    }

    async fn cut(&self, way: Way, (forward, backward): (bool, bool), length: Duration) {
        let proxy = self.proxy(way);
        proxy.disturb(|it| {
            it.forward_cut |= forward;
            it.backward_cut |= backward;
        });
        sleep(length).await;
        proxy.disturb(|it| {
            it.forward_cut &= !forward;
            it.backward_cut &= !backward;
        });
    }

    async fn signal(&self, daemon: usize, name: &str) -> Result<()> {
        self.deployment.lock().await.daemons[daemon].signal(name)
    }

    /// Stops a daemon as planned, and starts it again once it has ended, unless it was killed and
    /// started meanwhile.
    async fn stop(&self, daemon: usize) -> Result<()> {
        let process = {
            let deployment = self.deployment.lock().await;
            deployment.daemons[daemon].signal("-TERM")?;
            deployment.daemons[daemon].child.id()
        };
        loop {
            sleep(LOOK).await;
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

    /// Waits until every daemon serves a write again.
    async fn serves_again(&self) {
        for (number, proxy) in self.callers.iter().enumerate() {
            let address = proxy.address.to_string();
            let served = async || {
                let mut session = Session::connect(&address, SERVICE, KEY).await?;
                session.query(&format!("WRITE end-{number} done")).await
            };
            while served().await.is_err() {
                sleep(LOOK).await;
            }
        }
    }

    async fn report(&self, plan: Vec<Step>, accounts: &[Account]) -> Result<Outcome> {
        let group = Arc::clone(&self.deployment.lock().await.group);
        let lost = group.lost();
        let rolled_back = lost.rolled_back.into_iter().collect();
        let (mut refused, mut broken) = (IndexMap::new(), Vec::new());
        broken.extend(fallen(&group.promotions()));
        let mut times = Histogram::new(3).wrap_err("a histogram")?;
        let mut kept = 0;
        for account in accounts {
            let none = IndexMap::new();
            broken.extend(account.suspects.iter().filter_map(|suspect| {
                let writes = account.items.get(&suspect.item).unwrap_or(&none);
                suspect.fault(writes, &rolled_back)
            }));
            for (item, writes) in &account.items {
                let committed = group.committed(item);
                broken.extend(caller::audit(item, writes, &committed, &rolled_back));
                let told =
                    |value: &&String| matches!(writes.get(*value), Some(caller::Word::Done(_)));
                kept += rolled_back.iter().filter(told).count();
                let superseded = lost.superseded.iter().filter(told);
                broken.extend(superseded.map(|value| {
                    format!("{value} of {item} was acknowledged by a superseded primary")
                }));
            }
            for time in &account.served {
                let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                times.record(micros).wrap_err("a statement's time")?;
            }
            for (word, count) in &account.refused {
                *refused.entry(word.clone()).or_default() += count;
            }
        }
        Ok(Outcome { plan, served: times.len(), times, refused, rolled_back: kept, broken })
    }
}

/// Orders to promote whose fence is lower than one before, or was another server's.
fn fallen(orders: &[(u64, String)]) -> Vec<String> {
    let pairs = orders.iter().zip(orders.iter().skip(1));
    let wrong = pairs.filter(|(before, after)| {
        after.0 < before.0 || (after.0 == before.0 && after.1 != before.1)
    });
    let told = wrong.map(|(before, after)| {
        format!(
            "{} was promoted with fence {}, after {} with {}",
            after.1, after.0, before.1, before.0
        )
    });
    told.collect()
}
