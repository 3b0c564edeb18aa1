//! The cases.

use crate::{
    server::{Commit, Foreign, Grey},
    world::{Answer, Client, KEY, MEMORY_MB, World},
};
use std::{
    collections::{HashMap, HashSet},
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

fn pause(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

/// Waits until a time after the beginning of traffic.
fn wait_until(begin: Instant, milliseconds: u64) {
    thread::sleep((begin + Duration::from_millis(milliseconds)) - Instant::now());
}

fn written(log: &[Commit]) -> HashSet<(String, String)> {
    log.iter().flat_map(|commit| commit.writes.iter().cloned()).collect()
}

/// A transaction that was acknowledged, and its two writes.
struct Acknowledged {
    client: String,
    writes: [(String, String); 2],
}

/// One client that repeats a transaction of two prepared writes.
fn write_pairs(
    world: &World,
    number: usize,
    stop: &AtomicBool,
    acknowledged: &Mutex<Vec<Acknowledged>>,
) {
    let mut session: Option<Client> = None;
    for round in 0_u32.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let name = format!("c{number}r{round}");
        let Some(client) = &mut session else {
            session = Client::connect(world, number % 3, &name, "desk", KEY).ok();
            pause(50);
            continue;
        };
        let writes = ["first", "second"].map(|it| (format!("{name}{it}"), format!("data{round}")));
        let mut run = |text: &str| client.query(text).is_complete();
        let committed = run(&format!("PREPARE one WRITE shape{name}one"))
            && run(&format!("PREPARE two WRITE shape{name}two"))
            && run("BEGIN")
            && run(&format!("EXECUTE one {} {}", writes[0].0, writes[0].1))
            && run(&format!("EXECUTE two {} {}", writes[1].0, writes[1].1))
            && run("COMMIT");
        pause(10);
        if committed {
            let client = format!("c{number} round {round}");
            acknowledged.lock().unwrap().push(Acknowledged { client, writes });
        } else if client.state != 'I' && !client.query("ROLLBACK").is_complete() {
            session = None;
        } else {
            pause(10);
        }
    }
}

/// PINNED: a server fails a part of its requests for 6.5 s. A `PREPARE` of the system inside a
/// client's transaction is among them.
pub fn transaction(world: &mut World) -> Option<bool> {
    let (stop, acknowledged) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    let begin = Instant::now();
    thread::scope(|scope| {
        for number in 0..6 {
            let (world, stop, acknowledged) = (&*world, &stop, &acknowledged);
            scope.spawn(move || write_pairs(world, number, stop, acknowledged));
        }
        wait_until(begin, 4000);
        if world.trouble {
            world.group.set_grey("i-a", Some((Grey::Errors, 40)));
        }
        wait_until(begin, 10_500);
        world.group.set_grey("i-a", None);
        wait_until(begin, 14_000);
        stop.store(true, Ordering::Relaxed);
    });
    let acknowledged = acknowledged.into_inner().unwrap();
    if acknowledged.len() < 100 || world.group.primary() != "i-a" {
        world.record.line("too few transactions, or the primary was moved");
        return None;
    }
    let kept = written(&world.group.log_of("i-a"));
    let mut missing = 0;
    for Acknowledged { client, writes } in &acknowledged {
        for write in writes.iter().filter(|write| !kept.contains(*write)) {
            missing += 1;
            world
                .record
                .line(&format!("missing: {} {} of {client}, acknowledged", write.0, write.1));
        }
    }
    let count = acknowledged.len();
    world
        .record
        .line(&format!("{count} transactions acknowledged, {missing} of their writes missing"));
    println!("{count} transactions acknowledged, {missing} of their writes missing");
    Some(missing > 0)
}

/// LOST: the service has one synchronous replica. The other replica receives nothing for 6.5 s, and
/// the primary and the synchronous replica, both in one zone, are down for 7 s.
pub fn lost(world: &mut World) -> Option<bool> {
    let (stop, acknowledged) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    let begin = Instant::now();
    thread::scope(|scope| {
        for number in 0..3 {
            let (world, stop, acknowledged) = (&*world, &stop, &acknowledged);
            scope.spawn(move || {
                let mut session: Option<Client> = None;
                for round in 0_u32.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    pause(10);
                    let Some(client) = &mut session else {
                        let name = format!("c{number}r{round}");
                        session = Client::connect(world, number, &name, "desk", KEY).ok();
                        continue;
                    };
                    let write = (format!("c{number}r{round}"), format!("data{round}"));
                    match client.query(&format!("WRITE {} {}", write.0, write.1)) {
                        Answer::Complete(_) => acknowledged.lock().unwrap().push(write),
                        Answer::Error(_) => pause(100),
                        Answer::None => session = None,
                    }
                }
            });
        }
        wait_until(begin, 4000);
        if world.trouble {
            world.group.set_deaf("i-c", true);
        }
        wait_until(begin, 6000);
        if world.trouble {
            world.group.crash(&["i-a", "i-b"]);
        }
        wait_until(begin, 10_500);
        world.group.set_deaf("i-c", false);
        wait_until(begin, 13_000);
        if world.trouble {
            world.group.restart(&["i-a", "i-b"]);
        }
        wait_until(begin, 24_000);
        stop.store(true, Ordering::Relaxed);
    });
    let acknowledged = acknowledged.into_inner().unwrap();
    if acknowledged.len() < 100 {
        return None;
    }
    let primary = world.group.primary();
    let kept = written(&world.group.log_of(&primary));
    let missing: Vec<_> = acknowledged.iter().filter(|write| !kept.contains(*write)).collect();
    for write in &missing {
        world.record.line(&format!("missing in the log of {primary}: {} {}", write.0, write.1));
    }
    let text = format!(
        "{} writes acknowledged, {} of them missing in the log of {primary}, the primary",
        acknowledged.len(),
        missing.len()
    );
    world.record.line(&text);
    println!("{text}");
    Some(!missing.is_empty())
}

/// One client that sends large prepared statements, each of legal size, in one transaction, until the
/// platform ends the process. Returns whether it did.
fn outgrow(world: &World, daemon: usize, round: u32) -> Option<bool> {
    let size = if world.trouble { 900_000 } else { 20 };
    let name = format!("h{daemon}r{round}");
    let mut client = Client::connect(world, daemon, &name, "lookup", KEY).ok()?;
    client.query("BEGIN READ").is_complete().then_some(())?;
    let mut answers = 0;
    for number in 0..600 {
        let shape = format!("{number:06}{}", "x".repeat(size));
        let prepared = client.query(&format!("PREPARE h READ {shape}"));
        let executed = client.query("EXECUTE h item");
        if prepared == Answer::None || executed == Answer::None {
            break;
        }
        if client.state == 'E' {
            // A transaction that ran at a host whose process was ended.
            let _ = (client.query("ROLLBACK"), client.query("BEGIN READ"));
        }
        answers += u32::from(prepared.is_complete() && executed.is_complete());
        if let Some(used) = world.end_if_too_large(daemon) {
            world.record.line(&format!(
                "d{daemon} used {used} KiB of {} KiB after {answers} statements of {name}: ended by the platform",
                MEMORY_MB << 10
            ));
            return Some(true);
        }
    }
    world.record.line(&format!("{name}: {answers} statements answered"));
    (answers > 50).then_some(false)
}

/// Fault: on two of three machines, processes outgrow the memory of their VM three times.
pub fn memory(world: &mut World) -> Option<bool> {
    let ends: Vec<Option<u32>> = thread::scope(|scope| {
        let playing = (0..2).map(|daemon| {
            let world = &*world;
            scope.spawn(move || {
                let mut ends = 0;
                for round in 0..3 {
                    if !outgrow(world, daemon, round)? {
                        continue;
                    }
                    ends += 1;
                    world.restart(daemon)?;
                }
                Some(ends)
            })
        });
        let playing: Vec<_> = playing.collect();
        playing.into_iter().map(|it| it.join().ok().flatten()).collect()
    });
    let text = format!("ends of the processes of two machines: {ends:?}");
    world.record.line(&text);
    println!("{text}");
    let ends: Option<Vec<u32>> = ends.into_iter().collect();
    Some(ends?.iter().all(|count| *count >= 3))
}

/// What clients were told in a span of time.
#[derive(Default)]
struct Served {
    asked: u32,
    served: u32,
}

/// RECOVER: a server leaves a part of its requests unanswered for 6.5 s, and is well afterwards.
pub fn hang(world: &mut World) -> Option<bool> {
    let stop = AtomicBool::new(false);
    let spans = Mutex::new([Served::default(), Served::default()]);
    let begin = Instant::now();
    let (before, after) = (4_000, 25_000);
    thread::scope(|scope| {
        for number in 0..6 {
            let (world, stop, spans) = (&*world, &stop, &spans);
            scope.spawn(move || {
                let mut session: Option<Client> = None;
                for round in 0_u32.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let name = format!("c{number}r{round}");
                    let Some(client) = &mut session else {
                        session = Client::connect(world, number % 3, &name, "desk", KEY).ok();
                        pause(50);
                        continue;
                    };
                    let at = begin.elapsed().as_millis();
                    let mut run = |text: &str| client.query(text).is_complete();
                    let end = if round % 3 == 0 { "COMMIT" } else { "ROLLBACK" };
                    let done = run("BEGIN") && run(&format!("WRITE {name} data")) && run(end);
                    pause(10);
                    let span = if at < before { 0 } else { 1 };
                    if at < before || at >= after {
                        let mut spans = spans.lock().unwrap();
                        spans[span].asked += 1;
                        spans[span].served += u32::from(done);
                    }
                    if !done {
                        if client.state != 'I' && !client.query("ROLLBACK").is_complete() {
                            session = None;
                        }
                        pause(100);
                    }
                }
            });
        }
        wait_until(begin, 4000);
        if world.trouble {
            world.group.set_grey("i-a", Some((Grey::Hang, 45)));
        }
        wait_until(begin, 10_500);
        world.group.set_grey("i-a", None);
        wait_until(begin, 45_000);
        stop.store(true, Ordering::Relaxed);
    });
    let [first, last] = spans.into_inner().unwrap();
    let text = format!(
        "before: {} of {} transactions served; 14.5 s to 34.5 s after the server was well again: {} of {}",
        first.served, first.asked, last.served, last.asked
    );
    world.record.line(&text);
    println!("{text}");
    if first.asked == 0 || first.served * 4 < first.asked || last.asked == 0 {
        return None;
    }
    Some(last.served * 4 < last.asked)
}

/// PINNED: as in `transaction`, but a SET that fails has run, and single statements are sent. Not a case of
/// its own.
pub fn values(world: &mut World) -> Option<bool> {
    let stop = AtomicBool::new(false);
    let served = std::sync::atomic::AtomicU64::new(0);
    let begin = Instant::now();
    thread::scope(|scope| {
        for number in 0..6 {
            let (world, stop, served) = (&*world, &stop, &served);
            scope.spawn(move || {
                let name = format!("c{number}");
                let Ok(mut client) = Client::connect(world, number % 3, &name, "desk", KEY) else {
                    return;
                };
                let set = HashMap::from([("v".to_owned(), format!("of-{name}"))]);
                if client.query(&format!("SET v of-{name}")).is_complete() {
                    world.group.acknowledge(&name, &set);
                }
                while !stop.load(Ordering::Relaxed) {
                    pause(20);
                    let done = client.query("READ item").is_complete();
                    served.fetch_add(u64::from(done), Ordering::Relaxed);
                }
            });
        }
        wait_until(begin, 4000);
        if world.trouble {
            world.group.set_grey("i-a", Some((Grey::Ran, 40)));
        }
        wait_until(begin, 10_500);
        world.group.set_grey("i-a", None);
        wait_until(begin, 14_000);
        stop.store(true, Ordering::Relaxed);
    });
    let (served, other) = (served.into_inner(), world.group.other_values());
    let text = format!(
        "{served} statements served, {other} ran with the session values of another client"
    );
    world.record.line(&text);
    println!("{text}");
    (served > 500).then_some(other > 0)
}

/// ROUTE: an entry of another writer names a service that is in no manifest.
pub fn foreign(world: &mut World) -> Option<bool> {
    let record = &world.record;
    let foreign = Foreign::listen(record);
    if world.trouble {
        record.line("another writer registers servers/x-1 of the service payments");
        world.store.set_foreign("payments", foreign.entry("primary"));
        world.store.put("servers/x-1", &foreign.entry("replica"));
    }
    let begin = Instant::now();
    let mut served = 0;
    let mut client = Client::connect(world, 0, "c", "desk", KEY).ok()?;
    while begin.elapsed() < Duration::from_secs(20) {
        served += u32::from(client.query("WRITE item data").is_complete());
        pause(500);
    }
    let (run, orders) = (foreign.run(), world.store.orders_of("payments"));
    let text = format!(
        "{served} writes served; requests run by the server of payments: {run}; orders to promote in payments: {orders}"
    );
    record.line(&text);
    println!("{text}");
    (served > 20).then_some(run + orders > 0)
}
