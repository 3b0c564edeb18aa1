//! LOST with synchronous replicas: a replica is promoted that has started again empty, that has not
//! been sent its log again in full since, or that never received the last commits.

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
/// How long a replica receives nothing.
const DEAF: Duration = Duration::from_millis(6500);
/// 30 Mbit/s between the regions.
const FAR_RATE: usize = 3_750_000;

/// The server that is to take over starts again empty before it leads.
pub fn run_again(world: &World) -> Verdict {
    run(world, "almaty-b", disrupt_target)
}

/// A replica starts again empty, and the primary ends while that is sent the log.
pub fn run_refill(world: &World) -> Verdict {
    run(world, "almaty-b", disrupt_refill)
}

/// A replica that was gone returns while the store is down, and is not seen.
pub fn run_unseen(world: &World) -> Verdict {
    let store = world.store.clone();
    // It ends together with the primary, as the servers of one zone.
    run(world, "almaty-a", move |group| disrupt_unseen(group, &store))
}

fn run(world: &World, zone: &str, disrupt: impl Fn(&Group)) -> Verdict {
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
        [("i-a", "almaty-a", "almaty"), ("i-b", zone, "almaty"), ("i-c", "astana-a", "astana")];
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
        thread::sleep(Duration::from_secs(5));
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
    let told: BTreeSet<_> = acknowledged.iter().collect();
    for promotion in group.promotions() {
        let server = &promotion.server;
        let items: BTreeSet<_> = promotion.items.iter().collect();
        let before = &promotion.acknowledged;
        let before = before.iter().filter(|it| told.contains(it));
        let lost: Vec<_> = before.filter(|it| !items.contains(*it)).collect();
        record.say(&format!(
            "{server} was promoted with {} writes; {} acknowledged earlier are not among them",
            items.len(),
            lost.len()
        ));
        record.line(&format!("lost: {lost:?}"));
        broken |= !lost.is_empty();
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}

/// One replica receives nothing for a while; the other starts again empty, and the primary ends while
/// it is sent its log again.
fn disrupt_refill(group: &Group) {
    let start = Instant::now();
    group.set_deaf("i-b", true);
    thread::sleep(Duration::from_millis(1500));
    let (before, _) = group.received("i-c");
    group.crash("i-c");
    thread::sleep(Duration::from_millis(200));
    group.restart("i-c", true);
    while group.received("i-c").0 * 100 < before * 96 && start.elapsed() < DEAF {
        thread::sleep(Duration::from_millis(2));
    }
    // It ends just after a check-in, so that its entry stays for the longest time.
    group.register("i-a");
    group.crash("i-a");
    let back = Instant::now() + Duration::from_secs(7);
    thread::sleep(DEAF.saturating_sub(start.elapsed()));
    group.set_deaf("i-b", false);
    thread::sleep(back.saturating_duration_since(Instant::now()));
    group.restart("i-a", false);
}

/// The primary ends, and the server that is to take over starts again empty before it leads.
fn disrupt_target(group: &Group) {
    let before = group.requests();
    group.crash("i-a");
    let end = Instant::now() + Duration::from_secs(7);
    while group.requests() == before && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(300));
    if let Some(target) = group.last_request() {
        group.crash(&target);
        thread::sleep(Duration::from_millis(500));
        group.restart(&target, true);
    }
    thread::sleep(end.saturating_duration_since(Instant::now()));
    group.restart("i-a", false);
}

/// One replica is gone until the daemons have dropped it. It returns while the store is down, and alone
/// receives the next commits; then it and the primary end together, and the store is back.
fn disrupt_unseen(group: &Group, store: &crate::store::Store) {
    group.crash("i-b");
    thread::sleep(Duration::from_secs(7));
    store.set_down(true);
    group.restart("i-b", false);
    thread::sleep(Duration::from_millis(500));
    group.set_deaf("i-c", true);
    thread::sleep(Duration::from_millis(2000));
    group.crash("i-a");
    group.crash("i-b");
    thread::sleep(Duration::from_millis(1500));
    store.set_down(false);
    thread::sleep(Duration::from_millis(2500));
    group.set_deaf("i-c", false);
    thread::sleep(Duration::from_millis(3000));
    group.restart("i-a", false);
    group.restart("i-b", false);
}
