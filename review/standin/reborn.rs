//! A replica starts again under its id and holds nothing of before; then the primary crashes.

use crate::{
    Outcome, Setting,
    client::{Answer, Session},
    daemon::{Fleet, await_ready},
    database::Group,
    store::{Order, Store},
    successor::MANIFEST,
};
use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

/// Sessions that read at each daemon.
const READERS: usize = 4;

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
    let open = |daemon: usize, host: &str| {
        let name = format!("c{daemon}-{host}");
        Session::open(&name, daemons[daemon].front, host, "key-1", record)
            .ok_or_else(|| format!("{name} was refused"))
    };
    let mut writer = open(0, "lepu270")?;
    let stop = Arc::new(AtomicBool::new(false));
    for (daemon, reader) in
        (0..daemons.len()).flat_map(|daemon| (0..READERS).map(move |it| (daemon, it)))
    {
        let (front, record, stop) = (daemons[daemon].front, record.clone(), Arc::clone(&stop));
        thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                let name = format!("r{daemon}{reader}{count}");
                let Some(mut session) = Session::open(&name, front, "xapu221", "key-1", &record)
                else {
                    sleep(Duration::from_millis(200));
                    continue;
                };
                while !stop.load(Ordering::Relaxed)
                    && session.query("READ item1").1 != Answer::Closed
                {
                    sleep(Duration::from_millis(40));
                }
                count += 1;
            }
        });
    }
    for count in 1..=20 {
        let value = format!("w{count}");
        if let (_, Answer::Complete(..)) = writer.query(&format!("WRITE item{count} {value}")) {
            acknowledged.push(value);
        }
        sleep(Duration::from_millis(100));
    }
    if acknowledged.len() < 15 {
        return Err("the service is not served".into());
    }
    // Nothing is written for a while; reads go on.
    let rest = |millis: u64| sleep(Duration::from_millis(millis));
    rest(1500);
    if setting.trouble {
        group.crash("i-2");
        rest(1000);
        group.restart_empty("i-2", Duration::from_secs(3)).map_err(failed)?;
        rest(1500);
        group.crash("i-1");
        rest(7000);
        group.restart("i-1").map_err(failed)?;
        rest(3000);
    } else {
        rest(14_000);
    }
    stop.store(true, Ordering::Relaxed);
    drop(daemons);
    let log = match group.promoted().first() {
        Some((_, server, log)) => {
            record.line(&format!("{server} was promoted with {} commits", log.len()));
            log.iter().map(|commit| commit.value.clone()).collect()
        }
        None => group.log("i-1"),
    };
    let lost: Vec<_> = acknowledged.iter().filter(|value| !log.contains(value)).collect();
    record.line(&format!(
        "{} commits were acknowledged, all before; the log of the server that leads lacked {}",
        acknowledged.len(),
        lost.len()
    ));
    Ok(!lost.is_empty())
}
