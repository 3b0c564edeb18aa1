//! A key is taken from one tenant and given to another while a client is connected with it.

use crate::{
    Outcome, Setting,
    client::{Answer, Session},
    daemon::{Fleet, await_ready},
    database::Group,
    store::Store,
};
use std::{thread::sleep, time::Duration};

/// `config_apply_ms` of the settings.
const CONFIG_APPLY_MS: u64 = 3000;

/// A manifest; `tenants` are pairs of a name and its keys.
fn manifest(version: u64, tenants: &[(&str, &[&str])]) -> String {
    let tenants: Vec<_> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<_> = keys.iter().map(|key| format!(r#""{key}""#)).collect();
            format!(
                r#"{{"name":"{name}","api_keys":[{}],"priority":1,"rate_per_s":144,"burst":144}}"#,
                keys.join(",")
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"lepu270","prefix":"/","kind":"primary","timeout_ms":1000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":2,"public":false}}],
"services":[{{"name":"huvo11a","health_path":"/health","max_conns":22,"protocol":"h1","tls":false,"sync_replicas":0}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000}},
"tenants":[{}]}}"#,
        tenants.join(",")
    )
}

/// Plays the case.
pub fn run(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let failed = |error: std::io::Error| error.to_string();
    let (store, platform) = Store::start(record, Box::new(|_order| 503)).map_err(failed)?;
    let zones = r#"{"z-a":"r1","z-b":"r1"}"#.to_owned();
    store.put("op/config", &manifest(1, &[("altyn", &["key-1", "key-2"]), ("dala", &["key-3"])]));
    let group = Group::new("huvo11a", false, &store, record);
    for (id, zone, primary) in [("i-1", "z-a", true), ("i-2", "z-b", false), ("i-3", "z-a", false)]
    {
        group.add(id, zone, primary).map_err(failed)?;
    }
    let fleet = Fleet { platform, folder: setting.folder.clone(), zones };
    let mut daemons = Vec::new();
    for (name, zone) in [("d-1", "z-a"), ("d-2", "z-b"), ("d-3", "z-a")] {
        daemons.push(fleet.start(name, zone).map_err(failed)?);
    }
    if !await_ready(&daemons, record) {
        return Err("the daemons did not become ready".into());
    }
    sleep(Duration::from_secs(2));
    let open = |name: &str| {
        Session::open(name, daemons[0].front, "lepu270", "key-1", record)
            .ok_or_else(|| format!("{name} was refused"))
    };
    // `idle` rests between operations. `busy` is within a transaction when the manifests change.
    let (mut idle, mut busy) = (open("idle")?, open("busy")?);
    if !idle.query("READ 1a4").1.is_success() || !busy.query("BEGIN").1.is_success() {
        return Err("the service is not served".into());
    }
    busy.query("READ 1a4");
    let mut version = 1;
    let mut change = |tenants: &[(&str, &[&str])]| {
        version += 1;
        let revision = store.put("op/config", &manifest(version, tenants));
        record.line(&format!("manifest {version} acknowledged at {revision}: {tenants:?}"));
    };
    if setting.trouble {
        change(&[("altyn", &["key-2"]), ("dala", &["key-3"])]);
        sleep(Duration::from_millis(300));
        change(&[("altyn", &["key-2"]), ("dala", &["key-3", "key-1"])]);
    } else {
        change(&[("altyn", &["key-1", "key-2"]), ("dala", &["key-3"])]);
        sleep(Duration::from_millis(300));
        change(&[("altyn", &["key-1", "key-2"]), ("dala", &["key-3", "key-4"])]);
    }
    let holder = if setting.trouble { "dala" } else { "altyn" };
    let acknowledged = record.now();
    sleep(Duration::from_millis(400));
    busy.query("READ 1a4");
    busy.query("COMMIT");
    // Clients whose session was closed connect again, as clients do.
    let mut sessions = [("idle", idle, 0), ("busy", busy, 0)];
    while record.now() < acknowledged + CONFIG_APPLY_MS + 5000 {
        sleep(Duration::from_millis(400));
        for (name, session, count) in &mut sessions {
            *count += 1;
            let statement = if *count % 2 == 0 {
                "READ 1a4".into()
            } else {
                format!("WRITE 1a4 {name}{count}")
            };
            let (_, answer) = session.query(&statement);
            let refused = matches!(&answer, Answer::Error(text) if text.starts_with("AUTHFAIL"));
            if refused || answer == Answer::Closed {
                if let Some(again) =
                    Session::open(name, daemons[0].front, "lepu270", "key-1", record)
                {
                    *session = again;
                    // Ids of the new session do not repeat those of the old one.
                    session.rename(&format!("{name}{count}"));
                }
            }
        }
    }
    drop(daemons);
    let late =
        group.runs().into_iter().filter(|run| run.at > acknowledged + CONFIG_APPLY_MS + 1000);
    let late: Vec<_> = late.collect();
    let foreign: Vec<_> = late.iter().filter(|run| run.who != holder).collect();
    record.line(&format!(
        "statements run later than config_apply_ms + 1000 after the last manifest: {}; for another tenant than {holder}, which holds the key: {}",
        late.len(),
        foreign.len()
    ));
    for run in foreign.iter().take(4) {
        record.line(&format!(
            "at {} {} ran {} {} for {}",
            run.at, run.server, run.id, run.text, run.who
        ));
    }
    if late.is_empty() {
        return Err("nothing was run after the change".into());
    }
    Ok(!foreign.is_empty())
}
