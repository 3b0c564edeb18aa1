//! Measures the resident memory of idle caller connections: listener, task and session state.
//!
//! The callers are plain sockets in the same process; their buffers are in the kernel and do not
//! count.

use gcl_core::{
    config::object::Object, event::Event, reduce::reduce, settings, state::State, time::Now,
};
use gcl_daemon::caller::{Listener, Options};
use std::{fs, io::Write as _, net::TcpStream, time::Duration};
use tokio::sync::mpsc::unbounded_channel;

/// Number of connections.
const CONNECTIONS: usize = 4_000;
/// A startup packet for a workspace and a service that needs no key.
const STARTUP: &[u8] = b"\0\0\0\x24\0\x03\0\0user\0altyn\0database\0orders\0\0";
const SETTINGS: &str = r#"{
    "daemon": "d1", "domain": "alpha", "region": "east", "store": "http://127.0.0.1:1",
    "listen": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0"},
}"#;
const OBJECTS: &str = r#"[
    {"kind": "service", "name": "orders"},
    {"kind": "database", "name": "orders-1", "service": "orders"},
    {"kind": "workspace", "name": "altyn", "rate": 10, "burst": 10},
    {"kind": "rule", "name": "open", "service": "orders", "open": true}
]"#;

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime starts").block_on(measure());
}

async fn measure() {
    let settings = settings::parse(SETTINGS).expect("the settings are valid");
    let (events, mut receiver) = unbounded_channel();
    let options = Options {
        address: settings.listen.caller,
        bounds: settings.bounds.clone(),
        tls: None,
        encryption_required: false,
        events,
    };
    let listener = Listener::start(options).expect("a loopback port is free");
    let mut state = State::new(settings, 1);
    let objects: Vec<Object> = serde_json::from_str(OBJECTS).expect("the objects are valid");
    for object in objects {
        state.config.snapshot.put(1, object);
    }
    state.config.snapshot.rebuild_indexes();
    let before = resident();
    let mut callers = Vec::with_capacity(CONNECTIONS);
    for _ in 0..CONNECTIONS {
        let mut caller = TcpStream::connect(listener.address()).expect("the port is open");
        caller.write_all(STARTUP).expect("the startup packet is sent");
        callers.push(caller);
        for _ in 0..2 {
            let (session, event) = receiver.recv().await.expect("the listener is running");
            let now = Now::at(Duration::from_secs(1));
            for effect in reduce(&mut state, now, Event::Caller(session, event)) {
                if let gcl_core::effect::Effect::Caller(session, effect) = effect {
                    listener.apply(session, effect);
                }
            }
        }
    }
    // Gives the connection tasks time to write the last replies.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let after = resident();
    assert_eq!(state.session.sessions.len(), CONNECTIONS, "every caller has a session");
    let each = after.saturating_sub(before) / CONNECTIONS;
    println!("{CONNECTIONS} idle callers: {each} bytes each");
}

/// Resident memory of the process in bytes.
fn resident() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("/proc/self/status is readable");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kilobytes.and_then(|number| number.trim().parse::<usize>().ok()).map_or(0, |kb| kb * 1024)
}
