//! The cost of each activity of a daemon by the size of the fleet or of the configuration. Each is
//! measured alone, at several sizes.

use crate::{
    driver::{Driver, Tally, head},
    fleet,
};
use gcl_core::{
    caller,
    config::{Message, document::Document},
    event::Event,
    member::{self, Rumor},
    peer,
    record::anchor,
    store,
};
use std::{hint::black_box, time::Duration};

/// Simulated time of a measurement.
const RUN_TIME: Duration = Duration::from_mins(1);
/// Simulated time before a measurement, in which the daemon reaches a steady state.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Clones of a state whose memory is measured together.
const COPIES: usize = 64;
/// Clones of the groups of one home, which are small.
const GROUP_COPIES: usize = 512;
/// Sessions in all clones whose memory is measured together.
const COPIED_SESSIONS: u64 = 250_000;
/// Simulated time in which rate limit seats are claimed.
const CLAIM_TIME: Duration = Duration::from_mins(2);
/// Rumors about members in one message.
const RUMORS_PER_MESSAGE: usize = 6;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;
/// Configuration changes applied for one figure.
const CHANGES: u64 = 20;
/// Requests for one figure.
const REQUESTS: u64 = 20_000;

/// The mean resident memory of a clone, in bytes.
fn memory<T: Clone>(value: &T, copies: usize) -> u64 {
    let before = resident();
    let count = copies as u64;
    let copies: Vec<T> = (0..copies).map(|_| value.clone()).collect();
    let after = resident();
    black_box(&copies);
    after.saturating_sub(before) * PAGE_BYTES / count
}

fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0)
}

fn per_second(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / RUN_TIME.as_secs_f64()
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn mean_micros(time: Duration, count: u64) -> f64 {
    micros(time) / f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX))
}

/// The cost of the list of members, without rumors and with one rumor per second. The configuration
/// has 4.6 servers for each member.
pub fn membership() {
    println!("(a) membership: 1 run of 60 s simulated, 8 failure domains");
    println!("members | news/s | sent msg/s | sent B/s | received B/s | us/s | longest us | KB");
    for members in [100, 1_000, 3_300] {
        let services = members * 17 / 33;
        let spread = |database, server| (database + server) % 8;
        let snapshot = fleet::snapshot(services, 0, spread);
        for (news, restarts) in [("none", false), ("1 kept", false), ("1 life", true)] {
            let mut driver = fleet::configured(snapshot.clone());
            fleet::add_members(&mut driver, members - 1, |index| index % 8);
            driver.run(SETTLING_TIME);
            driver.tally = Tally::default();
            for second in 0..RUN_TIME.as_secs() {
                if news != "none" {
                    let index = 1 + usize::try_from(second).unwrap_or(0);
                    let mut rumor = fleet::rumor(index, index % 8, 1);
                    rumor.version = u64::from(!restarts);
                    rumor.born += u64::from(restarts);
                    rumor.incarnation += u64::from(restarts);
                    driver.pending_rumors.push(rumor);
                }
                probe(&mut driver, second);
            }
            let tally = &driver.tally;
            let kilobytes = memory(&driver.state.member, COPIES) / 1024;
            println!(
                "{members} | {news} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {kilobytes}",
                per_second(tally.sent.0),
                per_second(tally.sent.1),
                per_second(tally.received.1),
                micros(tally.reducer_time) / RUN_TIME.as_secs_f64(),
                micros(tally.longest_event)
            );
        }
    }
}

/// The cost of learning that all daemons of a failure domain are dead, with six rumors per message.
pub fn domain() {
    println!("\n(a') a failure domain of 3,300 daemons and 5,100 databases is lost: 1 run");
    let snapshot = fleet::snapshot(1_700, 0, |database, server| (database + server) % 8);
    let mut driver = fleet::configured(snapshot);
    fleet::add_members(&mut driver, 3_299, |index| index % 8);
    driver.run(SETTLING_TIME);
    driver.tally = Tally::default();
    let lost: Vec<usize> = (1..3_300).filter(|index| index % 8 == 3).collect();
    let started = driver.clock;
    for part in lost.chunks(RUMORS_PER_MESSAGE) {
        let dead = part
            .iter()
            .map(|index| Rumor { status: member::Status::Dead, ..fleet::rumor(*index, 3, 1) });
        driver.pending_rumors.extend(dead);
        while !driver.pending_rumors.is_empty() {
            driver.run(Duration::from_millis(10));
        }
    }
    println!(
        "{} daemons learnt in {} ms simulated, {:.0} ms in the reducer, longest {:.0} ms",
        lost.len(),
        driver.clock.saturating_sub(started).as_millis(),
        micros(driver.tally.reducer_time) / 1e3,
        micros(driver.tally.longest_event) / 1e3
    );
}

/// Runs one second, in which other daemons probe this daemon as often as it probes them.
fn probe(driver: &mut Driver, second: u64) {
    for part in 0..10 {
        if part % 3 == 0 {
            let number = second * 10 + part;
            let news = serde_json::json!({"own": null, "digest": driver.digest, "rumors": []});
            let text = serde_json::json!({"Ping": {"number": number, "news": news}});
            let ping: member::Message =
                serde_json::from_value(text).expect("the probe is well formed");
            driver.receive("d8", peer::Message::Member(ping));
        }
        driver.run(Duration::from_millis(100));
    }
}

/// The cost of monitoring groups, with one home in each of three failure domains and one server of
/// each group at every home.
pub fn group() {
    println!("\n(b) group: 1 run of 60 s simulated, a third of the servers are primaries");
    println!("servers | questions/s | questions/s a server | us/s | us/s a server | B a group");
    for services in [2, 7, 33] {
        let servers = services * 3;
        let snapshot = fleet::snapshot(services, 0, |database, server| (database + server) % 3);
        let mut driver = fleet::configured(snapshot);
        fleet::add_members(&mut driver, 2, |index| index);
        driver.run(SETTLING_TIME);
        driver.tally = Tally::default();
        driver.run(RUN_TIME);
        let count = f64::from(u32::try_from(servers).unwrap_or(1));
        let (status_requests, reducer_micros) =
            (per_second(driver.tally.status_requests), micros(driver.tally.reducer_time));
        let reducer_micros = reducer_micros / RUN_TIME.as_secs_f64();
        let bytes = memory(&driver.state.group, GROUP_COPIES) / servers as u64;
        println!(
            "{servers} | {status_requests:.1} | {:.2} | {reducer_micros:.0} | {:.1} | {bytes}",
            status_requests / count,
            reducer_micros / count
        );
    }
}

/// The cost of one configuration change by the number of objects.
pub fn configuration() {
    println!("\n(c) configuration: {CHANGES} changes pushed to one daemon among 3,300");
    println!("objects | mean ms a change | longest ms | snapshot KB | push B | list JSON KB");
    for objects in [1_000, 5_000, 20_000, 23_800] {
        let spread = |database, server| (database + server) % 8;
        let snapshot = fleet::snapshot(objects / 14, 1, spread);
        let kilobytes = memory(&snapshot, COPIES) / 1024;
        let json: usize = snapshot.entries().iter().map(|entry| entry.value.len()).sum();
        let mut driver = fleet::configured(snapshot);
        fleet::add_members(&mut driver, 3_299, |index| index % 8);
        driver.run(SETTLING_TIME);
        driver.tally = Tally::default();
        let mut bytes = 0;
        for change in 1..=CHANGES {
            let object = fleet::object(serde_json::json!({"kind": "workspace", "name": "w0",
                "rate": 1_000 + change, "burst": 1_000}));
            let entry = store::Entry {
                key: gcl_core::config::snapshot::store_key(&object),
                value: Document::new(object).encode(),
                revision: fleet::REVISION + change,
                lease: 0,
            };
            let push = Message::Push {
                from: fleet::REVISION + change - 1,
                revision: fleet::REVISION + change,
                changes: vec![store::Change::Put(entry)],
            };
            let push = peer::Message::Config(push);
            bytes = serde_json::to_vec(&push).map_or(0, |bytes| bytes.len());
            driver.receive("d8", push);
        }
        assert_eq!(driver.state.config.snapshot.revision, fleet::REVISION + CHANGES);
        println!(
            "{objects} | {:.2} | {:.2} | {kilobytes} | {bytes} | {}",
            mean_micros(driver.tally.reducer_time, CHANGES) / 1e3,
            micros(driver.tally.longest_event) / 1e3,
            json / 1024
        );
    }
}

/// The cost of strong reads at an entry daemon that is also the home of the server.
pub fn requests() {
    println!("\n(d) strong reads, entry is the home: {REQUESTS} requests, one at a time");
    println!(
        "sessions | workspaces | events a request | ns an event | us a request | B a session | questions a request | longest us"
    );
    for sessions in [1_u64, 1_000, 2_152, 20_000] {
        for workspaces in [5_u64, 100] {
            let mut driver = sole_in_domain(workspaces, 1);
            for session in 1..=sessions {
                fleet::login(&mut driver, session, as_index(session % workspaces));
            }
            let bytes = memory(&driver.state.session, as_index(COPIED_SESSIONS / sessions));
            driver.run(SETTLING_TIME);
            for request in 0..1_000 {
                query(&mut driver, 1 + request % sessions);
            }
            driver.tally = Tally::default();
            for request in 0..REQUESTS {
                query(&mut driver, 1 + request % sessions);
            }
            let tally = &driver.tally;
            println!(
                "{sessions} | {workspaces} | {:.2} | {:.0} | {:.2} | {} | {:.2} | {:.0} | answered {}",
                mean_micros(Duration::from_micros(tally.events), REQUESTS),
                mean_micros(tally.reducer_time, tally.events) * 1e3,
                mean_micros(tally.reducer_time, REQUESTS),
                bytes / sessions,
                mean_micros(Duration::from_micros(tally.status_requests), REQUESTS),
                micros(tally.longest_event),
                tally.answered
            );
        }
    }
}

fn as_index(number: u64) -> usize {
    usize::try_from(number).unwrap_or(0)
}

/// A daemon that is alone in its failure domain and so the home of all servers.
fn sole_in_domain(workspaces: u64, others: usize) -> Driver {
    let snapshot = fleet::snapshot(1, as_index(workspaces), |_, _| 0);
    let mut driver = fleet::configured(snapshot);
    fleet::add_members(&mut driver, others, |index| 1 + index % 7);
    driver.run(SETTLING_TIME);
    driver
}

fn query(driver: &mut Driver, session: u64) {
    let event = caller::Event::Query("SELECT state FROM orders WHERE id = 4711".to_owned());
    driver.feed(Event::Caller(session, event));
    driver.run(Duration::from_millis(5));
}

/// The store calls of one daemon of 3,300 by the number of workspaces in use at it.
pub fn limits() {
    println!("\n(e) store calls of a relay among 3,300: 1 run, 120 s to claim seats, then 60 s");
    println!("workspaces in use | writes while claiming | writes/s | reads/s | us/s | answered");
    for workspaces in [0, 5, 20, 100] {
        let mut driver = sole_in_domain(workspaces.max(1), 3_299);
        for session in 0..workspaces {
            fleet::login(&mut driver, session + 1, as_index(session));
        }
        driver.tally = Tally::default();
        let busy_second = |driver: &mut Driver| {
            let started = driver.clock;
            for session in 1..=workspaces {
                query(driver, session);
            }
            driver.run_until(started + Duration::from_secs(1));
        };
        (0..CLAIM_TIME.as_secs()).for_each(|_| busy_second(&mut driver));
        let first = driver.tally.store.0;
        driver.tally = Tally::default();
        (0..RUN_TIME.as_secs()).for_each(|_| busy_second(&mut driver));
        let tally = &driver.tally;
        println!(
            "{workspaces} | {first} | {:.3} | {:.3} | {:.0} | {}",
            per_second(tally.store.0),
            per_second(tally.store.1),
            micros(tally.reducer_time) / RUN_TIME.as_secs_f64(),
            tally.answered
        );
    }
}

/// The cost of a configuration relay by the number of its children, while the daemon also collects
/// the heads of a failure domain's record chains.
pub fn relay() {
    println!("\n(f) a relay that keeps the anchors of 413 daemons: 1 run of 60 s simulated");
    println!("children | sent B/s | received B/s | us/s | writes/s | reads/s");
    for children in [0, 8, 16] {
        let mut driver = sole_in_domain(1, 3_299);
        driver.tally = Tally::default();
        for round in 0..75 {
            for child in 0..children {
                let name = format!("c{child}");
                let ask = Message::Ask { number: round, revision: fleet::REVISION, whole: true };
                driver.receive(&name, peer::Message::Config(ask));
            }
            for part in 0..6 {
                let name = format!("c{}", (round * 6 + part) % 413);
                let message = anchor::Message::Head(head(&name));
                driver.receive(&name, peer::Message::Anchor(message));
            }
            driver.run(RUN_TIME / 75);
        }
        let tally = &driver.tally;
        println!(
            "{children} | {:.0} | {:.0} | {:.0} | {:.3} | {:.3}",
            per_second(tally.sent.1),
            per_second(tally.received.1),
            micros(tally.reducer_time) / RUN_TIME.as_secs_f64(),
            per_second(tally.store.0),
            per_second(tally.store.1)
        );
    }
}
