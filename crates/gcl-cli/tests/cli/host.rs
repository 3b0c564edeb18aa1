//! Hosts one daemon's reducer: operator port in front, platform stand-in behind, nothing else.

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, rt::System, web};
use gcl_core::{
    effect::Effect,
    event::Event,
    key,
    operator::{Method, Request, Response},
    reduce::reduce,
    settings::{Bounds, Listen, Settings},
    state::State,
    time::Now,
    timer,
};
use gcl_standin::platform::{Options, Platform, Server};
use gcl_store::client::Client;
use std::{
    collections::HashMap,
    net::SocketAddr,
    process::{Command, Output},
    sync::mpsc,
    thread,
};
use tokio::{
    sync::{
        mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        oneshot,
    },
    task::AbortHandle,
    time::{Instant, sleep_until},
};

enum Input {
    Event(Event),
    Ask(Request, oneshot::Sender<Response>),
}

/// A daemon that answers operators.
pub struct Host {
    address: SocketAddr,
    server: Server,
}

impl Host {
    pub fn start() -> Self {
        let server = Server::start(Options::default()).expect("loopback has a free port");
        let (started, address) = mpsc::channel();
        let store = server.url();
        thread::spawn(move || System::new().block_on(serve(store, started)));
        let address = address.recv().expect("the host starts");
        Self { address, server }
    }

    pub fn platform(&self) -> &Platform {
        self.server.platform()
    }

    /// Runs the tool against the daemon.
    pub fn run(&self, words: &[&str]) -> Output {
        let url = format!("http://{}", self.address);
        run(&[&["--server", url.as_str()], words].concat())
    }
}

/// Runs the tool.
pub fn run(words: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_goldcrest");
    Command::new(program).args(words).output().expect("the tool runs")
}

async fn serve(store: String, started: mpsc::Sender<SocketAddr>) {
    let (sender, receiver) = unbounded_channel();
    let data = web::Data::new(sender.clone());
    let server = HttpServer::new(move || {
        App::new().app_data(data.clone()).route("/v1/{path:.*}", web::route().to(ask))
    });
    let server = server.workers(1).disable_signals().bind("127.0.0.1:0").expect("a free port");
    started.send(server.addrs()[0]).expect("the test waits");
    actix_web::rt::spawn(host(store, sender, receiver));
    server.run().await.expect("the server runs");
}

async fn ask(
    request: HttpRequest,
    path: web::Path<String>,
    query: web::Query<Vec<(String, String)>>,
    body: String,
    host: web::Data<UnboundedSender<Input>>,
) -> HttpResponse {
    let header = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    let token = header.and_then(|value| value.strip_prefix("Bearer "));
    let method = if request.method() == "GET" { Method::Get } else { Method::Post };
    let query = query.iter().map(|(name, value)| (name.into(), value.into()));
    let request = Request {
        method,
        path: path.as_str().into(),
        query: query.collect(),
        token: token.map(key::hash).unwrap_or_default().into(),
        body,
    };
    let (reply, answer) = oneshot::channel();
    assert!(host.send(Input::Ask(request, reply)).is_ok(), "the host lives");
    match answer.await.expect("the reducer answers") {
        Response::Json(text) => HttpResponse::Ok().body(text),
        Response::Error(fault) => HttpResponse::BadRequest().json(fault),
    }
}

async fn host(store: String, sender: UnboundedSender<Input>, mut inputs: UnboundedReceiver<Input>) {
    let (store_sender, mut store_events) = unbounded_channel();
    let client = Client::new(&store, store_sender).expect("the client needs no files");
    let mut state = State::new(settings(), 7);
    let start = Instant::now();
    let mut timers: HashMap<timer::Key, AbortHandle> = HashMap::new();
    let mut asking: HashMap<u64, oneshot::Sender<Response>> = HashMap::new();
    let mut operation = 0;
    let mut next = Some(Input::Event(Event::Started));
    loop {
        let event = match next.take() {
            Some(Input::Event(event)) => event,
            Some(Input::Ask(request, reply)) => {
                operation += 1;
                asking.insert(operation, reply);
                Event::Operator(operation, request)
            }
            None => {
                next = tokio::select! {
                    input = inputs.recv() => input,
                    event = store_events.recv() => event.map(|event| Input::Event(Event::Store(event))),
                };
                continue;
            }
        };
        for effect in reduce(&mut state, Now::at(start.elapsed()), event) {
            match effect {
                Effect::Store(call) => client.call(call),
                Effect::Operator(operation, response) => {
                    let reply = asking.remove(&operation).expect("answered once");
                    drop(reply.send(response));
                }
                Effect::Timer(timer::Effect::Arm { key, at }) => {
                    let (sender, fired) = (sender.clone(), key.clone());
                    let task = tokio::task::spawn_local(async move {
                        sleep_until(start + at).await;
                        drop(sender.send(Input::Event(Event::Timer(fired))));
                    });
                    if let Some(old) = timers.insert(key, task.abort_handle()) {
                        old.abort();
                    }
                }
                Effect::Timer(timer::Effect::Cancel(key)) => {
                    if let Some(old) = timers.remove(&key) {
                        old.abort();
                    }
                }
                _ => {}
            }
        }
    }
}

fn settings() -> Settings {
    let address = "127.0.0.1:1".parse().expect("the address is well formed");
    Settings {
        daemon: "d1".into(),
        domain: "almaty-a".into(),
        region: "almaty".into(),
        listen: Listen { caller: address, peer: address, operator: address },
        advertise: None,
        store: String::new(),
        seeds: Vec::new(),
        bounds: Bounds::default(),
        caller_tls: None,
        peer_tls: None,
        operator_tls: None,
        plain_caller: false,
        plain_operator: false,
    }
}
