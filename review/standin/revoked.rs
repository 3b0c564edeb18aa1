//! Two primaries are replaced while a daemon that renews its lease has heard of neither move.

use crate::{
    Outcome, Setting,
    client::{Answer, Session},
    daemon::{Daemon, Fleet, await_ready},
    database::Group,
    store::{Order, Store},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"r-1","host":"lepu270","prefix":"/","kind":"primary","timeout_ms":1000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":2,"public":false},
{"name":"r-2","host":"xapu221","prefix":"/","kind":"primary","timeout_ms":1000,"target_latency_ms":400,"priority":1,"service":"kafi81c","max_attempts":2,"public":false}],
"services":[{"name":"huvo11a","health_path":"/health","max_conns":22,"protocol":"h1","tls":false,"sync_replicas":0},{"name":"kafi81c","health_path":"/health","max_conns":22,"protocol":"h1","tls":false,"sync_replicas":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000},
"tenants":[{"name":"altyn","api_keys":["key-1"],"priority":1,"rate_per_s":144,"burst":144}]}"#;

/// `drain_ms` of the settings, and the time that the servers go on after it.
const DRAIN: Duration = Duration::from_secs(7);
/// How long a leaving server goes on serving after `drain_ms`.
const LONGER: Duration = Duration::from_secs(12);

/// Writes that were acknowledged: the value and when its answer came.
type Acknowledged = Arc<Mutex<Vec<(String, u64)>>>;

/// Writes to a service through one daemon until `stop`.
fn keep_writing(
    (name, front, host): (&'static str, SocketAddr, &'static str),
    setting: &Setting,
    stop: &Arc<AtomicBool>,
    acknowledged: &Acknowledged,
) {
    let (record, stop, acknowledged) =
        (setting.record.clone(), Arc::clone(stop), Arc::clone(acknowledged));
    thread::spawn(move || {
        let (mut session, mut count) = (None, 0);
        while !stop.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(60));
            count += 1;
            if session.is_none() {
                session = Session::open(&format!("{name}{count}"), front, host, "key-1", &record);
            }
            let Some(open) = &mut session else { continue };
            let value = format!("{name}-w{count}");
            match open.query(&format!("WRITE 1a4 {value}")).1 {
                Answer::Complete(..) => {
                    let mut list = acknowledged.lock().unwrap_or_else(|broken| broken.into_inner());
                    list.push((value, record.now()));
                }
                Answer::Closed => session = None,
                Answer::Error(_) => {}
            }
        }
    });
}

/// Plays the case in two deployments that have nothing in common. Whether a daemon still sends
/// writes when the promotion takes effect depends on when it renews its lease, which differs.
pub fn run(setting: &Setting) -> Outcome {
    let plays: Vec<_> = ["one", "two"]
        .into_iter()
        .map(|name| {
            let folder = setting.folder.join(name);
            let (record, trouble) = (setting.record.clone(), setting.trouble);
            let play = thread::spawn(move || {
                std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
                play(&Setting { record: record.of(name), trouble, folder })
            });
            sleep(Duration::from_millis(700));
            play
        })
        .collect();
    let mut broken = false;
    for play in plays {
        broken |= play.join().map_err(|_panic| "a deployment failed".to_owned())??;
    }
    Ok(broken)
}

/// Plays one deployment.
fn play(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let failed = |error: std::io::Error| error.to_string();
    let groups: Arc<OnceLock<[Group; 2]>> = Arc::default();
    let (ordered, recorded) = (Arc::clone(&groups), record.clone());
    let promote = move |(service, id, holder, fence): Order| {
        let group = ordered.get().and_then(|all| all.iter().find(|it| it.service() == service));
        let status = group.map_or(503, |group| group.promote(&id));
        recorded.line(&format!("promote {service} {id} by {holder}, fence {fence}: {status}"));
        status
    };
    let (store, platform) = Store::start(record, Box::new(promote)).map_err(failed)?;
    store.put("op/config", MANIFEST);
    let [first, second] = groups
        .get_or_init(|| ["huvo11a", "kafi81c"].map(|name| Group::new(name, false, &store, record)))
        .clone();
    for (group, ids) in [(&first, ["i-1", "i-2", "i-3"]), (&second, ["i-4", "i-5", "i-6"])] {
        for (rank, id) in ids.into_iter().enumerate() {
            group.add(id, "z-a", rank == 0).map_err(failed)?;
        }
    }
    let fleet =
        Fleet { platform, folder: setting.folder.clone(), zones: r#"{"z-a":"r1"}"#.to_owned() };
    let mut daemons: Vec<Daemon> = Vec::new();
    for name in ["d-1", "d-2", "d-3"] {
        daemons.push(fleet.start(name, "z-a").map_err(failed)?);
    }
    if !await_ready(&daemons, record) {
        return Err("the daemons did not become ready".into());
    }
    // The last changes before a quiet time: a manifest, and a replica that joins.
    let until = |at: u64| sleep(Duration::from_millis(at.saturating_sub(record.now())));
    until(5000);
    store.put("op/config", &MANIFEST.replace(r#""version":1"#, r#""version":2"#));
    second.add("i-9", "z-a", false).map_err(failed)?;
    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged = Acknowledged::default();
    let front = daemons[2].front;
    keep_writing(("third", front, "xapu221"), setting, &stop, &acknowledged);
    until(32_300);
    if setting.trouble {
        store.set_silent(true);
    }
    until(35_700);
    store.set_silent(false);
    // Planned work: the first two daemons are restarted in turn, then both primaries are replaced.
    until(37_000);
    for index in [0, 1] {
        record.line(&format!("SIGTERM to daemon {}", index + 1));
        daemons[index].roll().map_err(failed)?;
    }
    if !await_ready(&daemons[..2], record) {
        return Err("the restarted daemons did not become ready".into());
    }
    for (group, old, new) in [(&first, "i-1", "i-7"), (&second, "i-4", "i-8")] {
        group.add(new, "z-a", false).map_err(failed)?;
        sleep(Duration::from_secs(1));
        group.drain(old, DRAIN + LONGER);
        sleep(Duration::from_secs(2));
    }
    let end = record.now() + 12_000;
    until(end);
    stop.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(200));
    drop(daemons);
    let acknowledged = acknowledged.lock().unwrap_or_else(|broken| broken.into_inner()).clone();
    let promoted = second.promoted();
    let Some((at, server, _)) = promoted.first() else {
        return if setting.trouble { Ok(false) } else { Err("no server was promoted".into()) };
    };
    let stale: Vec<_> = second
        .runs()
        .into_iter()
        .filter(|run| run.at > *at && run.server == "i-4" && run.text.starts_with("WRITE"))
        .filter(|run| acknowledged.iter().any(|(value, _)| run.text.ends_with(value.as_str())))
        .collect();
    record.line(&format!(
        "{server} led kafi81c from {at} ms; i-4 committed {} writes later that were acknowledged",
        stale.len()
    ));
    for run in stale.iter().take(4) {
        record.line(&format!("at {} {} ran {} {}", run.at, run.server, run.id, run.text));
    }
    Ok(!stale.is_empty())
}
