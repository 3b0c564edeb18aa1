//! A primary that is replaced crashes while the chosen successor receives nothing.

use crate::{
    Outcome, Setting,
    client::{Answer, Session},
    daemon::{Fleet, await_ready},
    database::Group,
    store::{Order, Store},
};
use std::{
    sync::{Arc, OnceLock},
    thread::{self, sleep},
    time::Duration,
};

/// A manifest with a service whose commits are acknowledged once a replica has received them.
pub const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"r-1","host":"lepu270","prefix":"/","kind":"primary","timeout_ms":1000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":2,"public":false},
{"name":"r-2","host":"xapu221","prefix":"/","kind":"bounded","timeout_ms":2000,"target_latency_ms":800,"priority":2,"service":"huvo11a","max_attempts":2,"max_staleness_ms":1500,"public":false}],
"services":[{"name":"huvo11a","health_path":"/health","max_conns":22,"protocol":"h1","tls":false,"sync_replicas":1}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000},
"tenants":[{"name":"altyn","api_keys":["key-1"],"priority":1,"rate_per_s":1000,"burst":1000}]}"#;

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_secs(7);

/// Plays the case.
pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let failed = |error: std::io::Error| error.to_string();
    let group: Arc<OnceLock<Group>> = Arc::default();
    let (ordered, recorded) = (Arc::clone(&group), record.clone());
    let promote = move |(service, id, holder, fence): Order| {
        let status = ordered.get().map_or(503, |group| group.promote(&id));
        recorded.line(&format!("promote {service} {id} by {holder}, fence {fence}: {status}"));
        status
    };
    let (store, platform) = Store::start(record, Box::new(promote)).map_err(failed)?;
    store.put("op/config", MANIFEST);
    let group = group.get_or_init(|| Group::new("huvo11a", true, &store, record)).clone();
    for (id, primary) in [("i-1", true), ("i-2", false), ("i-3", false)] {
        group.add(id, "z-a", primary).map_err(failed)?;
    }
    let fleet =
        Fleet { platform, folder: setting.folder.clone(), zones: r#"{"z-a":"r1"}"#.to_owned() };
    let mut daemons = Vec::new();
    for name in ["d-1", "d-2", "d-3"] {
        daemons.push(fleet.start(name, "z-a").map_err(failed)?);
    }
    if !await_ready(&daemons, record) {
        return Err("the daemons did not become ready".into());
    }
    sleep(Duration::from_secs(2));
    let mut acknowledged = Vec::new();
    let mut count = 0;
    let mut session = None;
    let mut write = |acknowledged: &mut Vec<String>| {
        count += 1;
        let value = format!("w{count}");
        if session.is_none() {
            let name = format!("c{count}");
            session = Session::open(&name, daemons[0].front, "lepu270", "key-1", record);
        }
        let Some(open) = &mut session else { return };
        match open.query(&format!("WRITE item{count} {value}")).1 {
            Answer::Complete(..) => acknowledged.push(value),
            Answer::Closed => session = None,
            Answer::Error(_) => {}
        }
    };
    for _ in 0..10 {
        write(&mut acknowledged);
        sleep(Duration::from_millis(200));
    }
    if acknowledged.len() < 8 {
        return Err("the service is not served".into());
    }
    // The release: the new server starts first, then the primary drains.
    group.add("i-9", "z-a", false).map_err(failed)?;
    sleep(Duration::from_secs(2));
    group.drain("i-1", DRAIN);
    if setting.trouble {
        group.set_deaf("i-2", true);
        let group = group.clone();
        thread::spawn(move || {
            sleep(Duration::from_millis(2500));
            group.crash("i-1");
            sleep(Duration::from_millis(3500));
            group.set_deaf("i-2", false);
            sleep(Duration::from_millis(3500));
            let _ = group.restart("i-1");
        });
    }
    // The client rests for a moment, as before the release.
    sleep(Duration::from_millis(400));
    let until = record.now() + 14_000;
    while record.now() < until {
        write(&mut acknowledged);
        sleep(Duration::from_millis(100));
    }
    drop(daemons);
    let promoted = group.promoted();
    let Some((at, server, log)) = promoted.first() else {
        return Err("no server was promoted".into());
    };
    let before: Vec<_> = acknowledged
        .iter()
        .filter(|value| {
            let run = group.runs().into_iter().find(|run| run.text.ends_with(&format!(" {value}")));
            run.is_some_and(|run| run.at < *at)
        })
        .collect();
    let lost: Vec<_> =
        before.iter().filter(|value| !log.iter().any(|commit| commit.value == ***value)).collect();
    let third = group.log("i-3");
    record.line(&format!(
        "{} commits were acknowledged before {server} led; its log lacked {}: {lost:?}",
        before.len(),
        lost.len()
    ));
    let held = lost.iter().filter(|value| third.contains(value));
    record.line(&format!("of these i-3 holds at the end: {}", held.count()));
    Ok(!lost.is_empty())
}
