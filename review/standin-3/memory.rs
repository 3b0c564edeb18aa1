//! Fault: daemons outgrow the memory of their machines. The platform kills such a process and starts
//! it again.

use crate::{
    Verdict, World,
    client::Client,
    daemon::Daemon,
    record::Record,
    server::{Group, Settings},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: &str = r#"{"kol-howrah":"kolkata","kol-saltlake":"kolkata","sil-main":"siliguri"}"#;
const DATABASES: [&str; 3] = ["ledger-1", "ledger-2", "ledger-3"];
const DAEMONS: [(&str, &str); 3] =
    [("front-howrah-1", "kol-howrah"), ("front-saltlake-1", "kol-saltlake"), ("front-sil-1", "sil-main")];
const TENANTS: usize = 8;
/// Ends of a process from which on it counts, and processes that must have ended as often.
const ENDS: usize = 3;
const MACHINES: usize = 2;
const POLL: Duration = Duration::from_millis(20);
const ANSWER_TIME: Duration = Duration::from_secs(5);

fn config() -> String {
    let routes = DATABASES.map(|name| {
        format!(
            r#"{{"name":"r-{name}","host":"{name}","prefix":"/","kind":"read_your_writes","timeout_ms":800,"target_latency_ms":500,"priority":2,"service":"{name}","max_attempts":2,"max_staleness_ms":2500,"public":false}}"#
        )
    });
    let services = DATABASES.map(|name| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_conns":30,"protocol":"h1","tls":false,"sync_replicas":0}}"#
        )
    });
    let tenants: Vec<_> = (0..TENANTS)
        .map(|it| format!(r#"{{"name":"t{it}","api_keys":["k{it}"],"priority":1}}"#))
        .collect();
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{}],"limits":{{"tx_idle_ms":3000}},"tenants":[{}]}}"#,
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

/// Starts three databases and some of the daemons.
fn start(
    world: &World,
    work: Duration,
    memory_mb: usize,
    daemons: usize,
) -> Option<(Vec<Arc<Group>>, Vec<Daemon>)> {
    let groups = DATABASES.map(|name| {
        let settings = Settings {
            name: name.to_owned(),
            sync_replicas: 0,
            max_conns: 30,
            slots: 2,
            promotion: Duration::from_millis(300),
            far_rate: 3_750_000,
            records: false,
            work: Box::new(move |_| work),
        };
        let ids = ["a", "b", "c"].map(|it| format!("{name}-{it}"));
        let servers = [
            (ids[0].as_str(), "kol-howrah", "kolkata"),
            (ids[1].as_str(), "kol-saltlake", "kolkata"),
            (ids[2].as_str(), "sil-main", "siliguri"),
        ];
        Group::start(settings, world.store.clone(), world.record.clone(), &servers)
    });
    world.store.put("op/config", Some(&config()));
    let daemons = world.daemons(ZONES, &groups, (memory_mb, 4300), &DAEMONS[..daemons]);
    let ready = daemons.iter().all(|it| it.wait_until_ready(Duration::from_secs(20)));
    world.record.line(&format!("all daemons are ready: {ready}"));
    ready.then(|| (groups.to_vec(), daemons))
}

/// Counts of statements.
#[derive(Default)]
struct Counts {
    stop: AtomicBool,
    served: AtomicUsize,
    failed: AtomicUsize,
}

/// A client that reads the same row again and again, and sets a large value now and then.
struct Reader<'a> {
    index: usize,
    front: SocketAddr,
    /// Bytes of a value, and after how many reads it is set.
    value: Option<(usize, usize)>,
    pause: Duration,
    record: &'a Record,
    counts: &'a Counts,
}

impl Reader<'_> {
    fn run(&self) {
        let (index, counts) = (self.index, self.counts);
        let database = DATABASES[index % DATABASES.len()];
        let key = format!("k{}", index % TENANTS);
        let (mut client, mut sent) = (None, 0);
        while !counts.stop.load(Ordering::Relaxed) {
            thread::sleep(self.pause);
            let open: Option<Client> = client
                .take()
                .or_else(|| Client::login(self.front, database, &key, ANSWER_TIME).ok());
            let Some(mut open) = open else {
                thread::sleep(Duration::from_millis(200));
                continue;
            };
            sent += 1;
            if let Some((bytes, every)) = self.value && sent % every == 1 {
                let text = format!("SET pad{} {}", index % 5, "y".repeat(bytes));
                let answer = open.query(&format!("s{index}.{sent}"), &text);
                if sent == 1 {
                    self.record.line(&format!("client {index}: SET of {bytes} bytes: {answer:?}"));
                }
            }
            let answer = open.query(&format!("r{index}.{sent}"), "READ big");
            if sent == 1 {
                let rows = answer.as_ref().ok().and_then(|it| it.rows.first()).map(String::len);
                let result = answer.as_ref().map(|it| &it.result);
                self.record.line(&format!("client {index}: READ big: {result:?}, row {rows:?}"));
            }
            match answer {
                Ok(answer) if answer.result.is_ok() => {
                    counts.served.fetch_add(1, Ordering::Relaxed);
                    client = Some(open);
                }
                Ok(_) => {
                    counts.failed.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(50));
                    client = Some(open);
                }
                Err(_) => {
                    counts.failed.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }
}

/// Plays the platform: ends processes that exceed their memory, and starts them again. Returns
/// whether the rule was broken.
fn watch(
    record: &Record,
    daemons: &mut [Daemon],
    memory_mb: usize,
    time: Duration,
    counts: &Counts,
) -> bool {
    let (mut ends, mut peaks) = (vec![0; daemons.len()], vec![0; daemons.len()]);
    let (end, mut shown) = (Instant::now() + time, Instant::now());
    let broken = |ends: &[usize]| ends.iter().filter(|it| **it >= ENDS).count() >= MACHINES;
    while Instant::now() < end && !broken(&ends) {
        for (index, daemon) in daemons.iter_mut().enumerate() {
            let resident = daemon.resident();
            peaks[index] = peaks[index].max(resident >> 20);
            let ended = daemon.has_ended();
            if ended || resident > memory_mb << 20 {
                daemon.signal("-KILL");
                ends[index] += 1;
                record.line(&format!(
                    "{} ends with {} MiB resident of {memory_mb}; it had ended before: {ended}",
                    daemon.name,
                    resident >> 20
                ));
                daemon.restart();
            }
        }
        if shown.elapsed() > Duration::from_secs(2) {
            shown = Instant::now();
            let resident: Vec<_> = daemons.iter().map(|it| it.resident() >> 20).collect();
            let served = counts.served.load(Ordering::Relaxed);
            let failed = counts.failed.load(Ordering::Relaxed);
            record.line(&format!("resident MiB {resident:?}, served {served}, failed {failed}"));
        }
        thread::sleep(POLL);
    }
    record.say(&format!(
        "statements served {}, failed {}; most MiB resident {peaks:?}; ends {ends:?}",
        counts.served.load(Ordering::Relaxed),
        counts.failed.load(Ordering::Relaxed)
    ));
    broken(&ends)
}

fn write_row(front: SocketAddr, database: &str, bytes: usize) -> Result<(), String> {
    let mut writer =
        Client::login(front, database, "k0", ANSWER_TIME).map_err(|error| format!("{error}"))?;
    let text = format!("WRITE big {}", "x".repeat(bytes));
    let answer = writer.query("w0", &text).map_err(|error| format!("{error}"))?;
    answer.result.map(|_receipt| ())
}

fn play(
    world: &World,
    (groups, mut daemons): (Vec<Arc<Group>>, Vec<Daemon>),
    (row, memory_mb, time): (usize, usize, Duration),
    (sessions, value, pause): (usize, Option<(usize, usize)>, Duration),
) -> Verdict {
    thread::sleep(Duration::from_secs(4));
    for database in DATABASES {
        if let Err(error) = write_row(daemons[0].front, database, row) {
            return Verdict::Unclear(format!("the row of {database} was not written: {error}"));
        }
    }
    thread::sleep(Duration::from_secs(1));
    let counts = Counts::default();
    let fronts: Vec<_> = daemons.iter().map(|it| it.front).collect();
    let broken = thread::scope(|scope| {
        for index in 0..sessions {
            let front = fronts[index % fronts.len()];
            let (record, counts) = (&world.record, &counts);
            let reader = Reader { index, front, value, pause, record, counts };
            scope.spawn(move || reader.run());
        }
        let broken = watch(&world.record, &mut daemons, memory_mb, time, &counts);
        counts.stop.store(true, Ordering::Relaxed);
        broken
    });
    drop(groups);
    if broken { Verdict::Broken } else { Verdict::Held }
}

/// A crowd reads rows of the largest size and sets large values.
pub fn run_crowd(world: &World) -> Verdict {
    /// A message is at most 1 MiB.
    const ROW: usize = (1 << 20) - 64;
    const VALUE: usize = 250_000;
    const EVERY: usize = 10;
    const SESSIONS: usize = 291;
    const MEMORY_MB: usize = 260;
    const TIME: Duration = Duration::from_secs(75);
    let Some(started) = start(world, Duration::from_millis(9), MEMORY_MB, 3) else {
        return Verdict::Unclear("the daemons are not ready".to_owned());
    };
    let (row, value) = if world.trouble { (ROW, Some((VALUE, EVERY))) } else { (1000, None) };
    play(world, started, (row, MEMORY_MB, TIME), (SESSIONS, value, Duration::ZERO))
}

/// Many small reads, one after the other.
pub fn run_long(world: &World) -> Verdict {
    const SESSIONS: usize = 64;
    const MEMORY_MB: usize = 40;
    const TIME: Duration = Duration::from_secs(100);
    let Some(started) = start(world, Duration::ZERO, MEMORY_MB, 2) else {
        return Verdict::Unclear("the daemons are not ready".to_owned());
    };
    // Without the trouble each daemon gets about 110 statements a second, as on an ordinary day.
    let pause = Duration::from_millis(if world.trouble { 0 } else { 290 });
    play(world, started, (16, MEMORY_MB, TIME), (SESSIONS, None, pause))
}
