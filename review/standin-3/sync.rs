//! LOST with synchronous replicas: a replica that started again empty is promoted although it has
//! not been sent its log again in full.

use crate::{
    Verdict, World,
    client::Client,
    server::{Group, Settings},
};
use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: &str = r#"{"almaty-a":"almaty","almaty-b":"almaty","astana-a":"astana"}"#;
const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-orders","host":"orders","prefix":"/","kind":"primary","timeout_ms":1000,"target_latency_ms":400,"priority":1,"service":"orders-db","max_attempts":2,"public":false}],
"services":[{"name":"orders-db","health_path":"/health","max_conns":22,"protocol":"h1","tls":false,"sync_replicas":1}],
"limits":{"tx_idle_ms":3000},
"tenants":[{"name":"altyn","api_keys":["k1"],"priority":1,"rate_per_s":400,"burst":400}]}"#;

/// Size of a written value.
const VALUE_BYTES: usize = 48 << 10;
/// Pause of each writer between its writes.
const PAUSE: Duration = Duration::from_millis(100);
const WRITERS: usize = 4;
/// 30 Mbit/s between the regions.
const FAR_RATE: usize = 3_750_000;

pub fn run(world: &World) -> Verdict {
    let World { record, store, trouble, .. } = world;
    let settings = Settings {
        name: "orders-db".to_owned(),
        sync_replicas: 1,
        max_conns: 22,
        slots: 3,
        promotion: Duration::from_millis(1000),
        records: true,
        far_rate: FAR_RATE,
        work: Box::new(|_| Duration::from_millis(8)),
    };
    let servers =
        [("i-a", "almaty-a", "almaty"), ("i-b", "almaty-b", "almaty"), ("i-c", "astana-a", "astana")];
    let group = Group::start(settings, store.clone(), record.clone(), &servers);
    store.put("op/config", Some(CONFIG));
    let groups = [Arc::clone(&group)];
    let daemons = [("front-almaty-a-1", "almaty-a"), ("front-almaty-b-1", "almaty-b"), ("front-astana-a-1", "astana-a")];
    let daemons = world.daemons(ZONES, &groups, (260, 4200), &daemons);
    if !daemons.iter().all(|it| it.wait_until_ready(Duration::from_secs(20))) {
        return Verdict::Unclear("the daemons are not ready".to_owned());
    }
    record.line("all daemons are ready");
    let (stop, number) = (AtomicBool::new(false), AtomicUsize::new(0));
    let acknowledged = Mutex::new(Vec::new());
    let write = |index: usize| {
        let address = daemons[index % daemons.len()].front;
        let mut client = None;
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(PAUSE);
            let open = client.take().or_else(|| {
                Client::login(address, "orders", "k1", Duration::from_secs(3)).ok()
            });
            let Some(mut open) = open else { continue };
            let item = format!("o{}", number.fetch_add(1, Ordering::Relaxed));
            let text = format!("WRITE {item} {}", "x".repeat(VALUE_BYTES));
            match open.query(&item, &text) {
                Ok(answer) => {
                    let result = answer.result.as_deref();
                    record.line(&format!("client {index}: WRITE {item}: {result:?}"));
                    if answer.result.is_ok() {
                        acknowledged.lock().expect("no panic").push(item);
                    }
                    client = Some(open);
                }
                Err(error) => record.line(&format!("client {index}: WRITE {item}: {error}")),
            }
        }
    };
    thread::scope(|scope| {
        for index in 0..WRITERS {
            let write = &write;
            scope.spawn(move || write(index));
        }
        thread::sleep(Duration::from_secs(8));
        if *trouble {
            disrupt(&group);
        } else {
            thread::sleep(Duration::from_secs(5));
        }
        thread::sleep(Duration::from_secs(12));
        stop.store(true, Ordering::Relaxed);
    });
    for daemon in &daemons {
        let words = ["state discarded", "moving the primary", "successor", "promotion", "primary moved"];
        daemon.keep_log(record, &words);
    }
    let acknowledged = acknowledged.into_inner().expect("no panic");
    record.say(&format!("{} writes acknowledged", acknowledged.len()));
    if acknowledged.is_empty() {
        return Verdict::Unclear("no write was acknowledged".to_owned());
    }
    let mut broken = false;
    for (server, items) in group.promotions() {
        let items: BTreeSet<_> = items.into_iter().collect();
        // A later promotion of the same log has more; writes after this one are not in it.
        let newest = items.iter().filter_map(|it| it[1..].parse::<usize>().ok()).max().unwrap_or(0);
        let before = group.acknowledged_before(&server);
        let told: BTreeSet<_> = acknowledged.iter().collect();
        let before = before.iter().filter(|it| told.contains(it));
        let lost: Vec<_> = before.filter(|it| !items.contains(*it)).collect();
        record.say(&format!(
            "{server} was promoted with {} writes, the newest o{newest}; {} acknowledged earlier are not among them",
            items.len(), lost.len()
        ));
        record.line(&format!("lost: {lost:?}"));
        broken |= !lost.is_empty();
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}

/// One replica receives nothing for a while; the other starts again empty, and the primary ends while
/// it is sent its log again.
fn disrupt(group: &Group) {
    group.set_deaf("i-b", true);
    thread::sleep(Duration::from_secs(3));
    let (before, _) = group.received("i-c");
    group.crash("i-c");
    thread::sleep(Duration::from_millis(200));
    group.restart("i-c", true);
    let end = Instant::now() + Duration::from_secs(10);
    while group.received("i-c").0 * 100 < before * 97 && Instant::now() < end {
        thread::sleep(Duration::from_millis(2));
    }
    group.crash("i-a");
    thread::sleep(Duration::from_secs(2));
    group.set_deaf("i-b", false);
    thread::sleep(Duration::from_secs(5));
    group.restart("i-a", false);
}
