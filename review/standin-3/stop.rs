//! LOST around a SIGTERM: statements that the stopped daemon has taken end without an answer.

use crate::{
    Verdict, World,
    client::Client,
    daemon::Daemon,
    server::{Group, Settings},
};
use std::{
    io::{ErrorKind, Read},
    net::TcpStream,
    os::fd::AsRawFd,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const ZONES: &str = r#"{"almaty-a":"almaty","almaty-b":"almaty","astana-a":"astana"}"#;
const SERVERS: [(&str, &str, &str); 3] =
    [("i-a", "almaty-a", "almaty"), ("i-b", "almaty-b", "almaty"), ("i-c", "astana-a", "astana")];
const DAEMONS: [(&str, &str); 3] =
    [("front-almaty-a-1", "almaty-a"), ("front-almaty-b-1", "almaty-b"), ("front-astana-a-1", "astana-a")];
/// The bound of the pages for a stopped daemon, and the time after it in which the rule holds.
const GRACE: Duration = Duration::from_secs(6);
/// Time after a statement's last byte from which on a connection may not end without an answer.
const LOSS_SLACK: Duration = Duration::from_millis(200);

fn config(timeout_ms: u64) -> String {
    format!(
        r#"{{"version":7,"routes":[
{{"name":"r-orders","host":"orders","prefix":"/","kind":"primary","timeout_ms":{timeout_ms},"target_latency_ms":800,"priority":1,"service":"orders-db","max_attempts":2,"public":false}}],
"services":[{{"name":"orders-db","health_path":"/health","max_conns":22,"protocol":"h1","tls":false,"sync_replicas":0}}],
"limits":{{"tx_idle_ms":3000}},
"tenants":[{{"name":"altyn","api_keys":["k1"],"priority":1,"rate_per_s":400,"burst":400}}]}}"#
    )
}

fn start(world: &World, timeout_ms: u64, work: Duration) -> Option<(Arc<Group>, Vec<Daemon>)> {
    let settings = Settings {
        name: "orders-db".to_owned(),
        sync_replicas: 0,
        max_conns: 22,
        slots: 3,
        promotion: Duration::from_millis(1000),
        records: true,
        far_rate: 3_750_000,
        work: Box::new(move |text| {
            if text.contains("slow-") { work } else { Duration::from_millis(8) }
        }),
    };
    let group = Group::start(settings, world.store.clone(), world.record.clone(), &SERVERS);
    world.store.put("op/config", Some(&config(timeout_ms)));
    let daemons = world.daemons(ZONES, &[Arc::clone(&group)], (260, 4200), &DAEMONS);
    let ready = daemons.iter().all(|it| it.wait_until_ready(Duration::from_secs(20)));
    world.record.line(&format!("all daemons are ready: {ready}"));
    ready.then_some((group, daemons))
}

/// Statements that wait for the primary when the daemon exits.
pub fn run_queue(world: &World) -> Verdict {
    /// The time budget of `stock-lookup`.
    const TIMEOUT_MS: u64 = 12_000;
    const WORK: Duration = Duration::from_millis(1500);
    const CLIENTS: usize = 24;
    let record = &world.record;
    let Some((group, daemons)) = start(world, TIMEOUT_MS, WORK) else {
        return Verdict::Unclear("the daemons are not ready".to_owned());
    };
    // No server is impaired, and no daemon but by the SIGTERM.
    thread::sleep(Duration::from_secs(5));
    let stopped = &daemons[1];
    let timeout = Duration::from_millis(TIMEOUT_MS + 2000);
    let clients: Vec<_> = (0..CLIENTS)
        .filter_map(|_| Client::login(stopped.front, "orders", "k1", timeout).ok())
        .collect();
    if clients.len() < CLIENTS {
        return Verdict::Unclear("not all clients could log in".to_owned());
    }
    let origin = Instant::now();
    if world.trouble {
        record.line(&format!("SIGTERM to {}", stopped.name));
        stopped.signal("-TERM");
    }
    thread::sleep(Duration::from_millis(1500));
    let ask = |index: usize, mut client: Client| {
        let id = format!("q{index:02}");
        let _ = client.send(&format!("QUERY {id} READ slow-{index}"));
        let sent = Instant::now();
        record.line(&format!("client {index}: sent {id}"));
        let answer = client.receive();
        let took = sent.elapsed();
        record.line(&format!("client {index}: {id}: {answer:?} after {took:.3?}"));
        (id, answer.is_ok(), took, sent.duration_since(origin))
    };
    let outcomes: Vec<_> = thread::scope(|scope| {
        let asked = clients.into_iter().enumerate().map(|(index, client)| {
            let ask = &ask;
            scope.spawn(move || ask(index, client))
        });
        let asked: Vec<_> = asked.collect();
        asked.into_iter().filter_map(|it| it.join().ok()).collect()
    });
    let mut lost = 0;
    for (id, answered, took, sent) in &outcomes {
        let ended = *sent + *took;
        let reached = group.has_run(id);
        // A statement that its server was still at work on is not counted.
        let counts = !answered
            && !reached
            && *took > LOSS_SLACK
            && took.as_millis() < u128::from(TIMEOUT_MS)
            && ended < GRACE + Duration::from_secs(1);
        lost += usize::from(counts);
        if !answered {
            record.line(&format!("{id}: no answer, reached a server: {reached}, counts: {counts}"));
        }
    }
    let answered = outcomes.iter().filter(|(_, answered, ..)| *answered).count();
    record.say(&format!(
        "{CLIENTS} statements: {answered} answered; {lost} never passed on and ended without an answer"
    ));
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}

/// An answer that its client is still receiving when the daemon exits.
pub fn run_slow(world: &World) -> Verdict {
    const VALUE_BYTES: usize = 900 << 10;
    /// 10 Mbit/s.
    const RATE: usize = 1_250_000;
    const TIMEOUT_MS: u64 = 2000;
    let record = &world.record;
    let Some((_group, daemons)) = start(world, TIMEOUT_MS, Duration::ZERO) else {
        return Verdict::Unclear("the daemons are not ready".to_owned());
    };
    thread::sleep(Duration::from_secs(5));
    let stopped = &daemons[1];
    let timeout = Duration::from_secs(5);
    let Ok(mut writer) = Client::login(stopped.front, "orders", "k1", timeout) else {
        return Verdict::Unclear("the client could not log in".to_owned());
    };
    let value: String = (0..VALUE_BYTES).map(|at| char::from(b'a' + (at % 26) as u8)).collect();
    let written = writer.query("w1", &format!("WRITE report {value}"));
    if !written.as_ref().is_ok_and(|answer| answer.result.is_ok()) {
        return Verdict::Unclear(format!("the value was not written: {written:?}"));
    }
    drop(writer);
    let Ok(mut reader) = Client::login(stopped.front, "orders", "k1", timeout) else {
        return Verdict::Unclear("the client could not log in".to_owned());
    };
    set_receive_buffer(&reader.stream, 64 << 10);
    if world.trouble {
        record.line(&format!("SIGTERM to {}", stopped.name));
        stopped.signal("-TERM");
    }
    let stop = Instant::now();
    thread::sleep(Duration::from_millis(2000));
    let _ = reader.send("QUERY r1 READ report");
    record.line("client: sent r1 READ report");
    let (received, whole, error) = receive_slowly(&reader.stream, RATE, record);
    let at = stop.elapsed();
    record.say(&format!(
        "the client received {received} bytes, a whole answer: {whole}, {error}, {:.2} s after the SIGTERM",
        at.as_secs_f64()
    ));
    let counts = !whole && at < GRACE + Duration::from_secs(1);
    if counts { Verdict::Broken } else { Verdict::Held }
}

/// Reads at a rate until an answer is whole or the connection ends.
fn receive_slowly(
    mut stream: &TcpStream,
    rate: usize,
    record: &crate::record::Record,
) -> (usize, bool, String) {
    const STEP: Duration = Duration::from_millis(10);
    let (mut received, mut tail) = (0, Vec::new());
    let mut chunk = vec![0; rate / 100];
    let mut next = Instant::now();
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return (received, false, "the connection was closed".to_owned()),
            Ok(count) => {
                received += count;
                tail.extend_from_slice(&chunk[..count]);
                let start = tail.len().saturating_sub(64);
                tail.drain(..start);
                if String::from_utf8_lossy(&tail).contains("\r\nREADY ") && tail.ends_with(b"\r\n") {
                    return (received, true, "no error".to_owned());
                }
                if received % (rate / 4) < count {
                    record.line(&format!("client: {received} bytes so far"));
                }
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return (received, false, format!("{error}")),
        }
        next += STEP;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Bounds the receive buffer, so that the kernel takes no more ahead than a slow link holds.
fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the descriptor is open, and the value is an `int` that outlives the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// A statement that was sent ahead of the answer to the one before it.
pub fn run_ahead(world: &World) -> Verdict {
    let record = &world.record;
    let Some((group, daemons)) = start(world, 2000, Duration::from_millis(900)) else {
        return Verdict::Unclear("the daemons are not ready".to_owned());
    };
    thread::sleep(Duration::from_secs(5));
    let stopped = &daemons[1];
    let Ok(mut client) = Client::login(stopped.front, "orders", "k1", Duration::from_secs(5)) else {
        return Verdict::Unclear("the client could not log in".to_owned());
    };
    if world.trouble {
        record.line(&format!("SIGTERM to {}", stopped.name));
        stopped.signal("-TERM");
    }
    thread::sleep(Duration::from_millis(1900));
    let _ = client.send("QUERY a1 READ slow-1");
    let _ = client.send("QUERY a2 READ other");
    let sent = Instant::now();
    let first = client.receive();
    record.say(&format!("a1 {first:?} after {:.2?}", sent.elapsed()));
    let second = client.receive();
    let took = sent.elapsed();
    let reached = group.has_run("a2");
    record.say(&format!("a2 {second:?} after {took:.2?}, reached a server: {reached}"));
    let counts = second.is_err() && took > LOSS_SLACK;
    if counts { Verdict::Broken } else { Verdict::Held }
}
