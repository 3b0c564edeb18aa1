//! Fixture: a daemon with a stand-in for the platform, and functions to run the tool against it.

use actix_rt::System;
use gcl_core::settings::{Bounds, Listen, Settings};
use gcl_daemon::daemon;
use gcl_standin::platform::{Options, Platform, Server};
use std::{
    net::SocketAddr,
    process::{Command, Output},
    sync::mpsc,
    thread,
};

/// A daemon with an operator port; it runs until the test process ends.
pub struct Fixture {
    operator: SocketAddr,
    server: Server,
}

impl Fixture {
    pub fn start() -> Self {
        let server = Server::start(Options::default()).expect("loopback has a free port");
        let settings = settings(server.url());
        let (started, operator) = mpsc::channel();
        thread::spawn(move || System::new().block_on(serve(settings, started)));
        let operator = operator.recv().expect("the daemon starts");
        Self { operator, server }
    }

    pub fn platform(&self) -> &Platform {
        self.server.platform()
    }

    /// Runs the tool against the daemon.
    pub fn run(&self, args: &[&str]) -> Output {
        let url = format!("http://{}", self.operator);
        run(&[&["--server", url.as_str()], args].concat())
    }
}

/// Runs the tool.
pub fn run(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_goldcrest");
    Command::new(program).args(args).output().expect("the tool runs")
}

async fn serve(settings: Settings, started: mpsc::Sender<SocketAddr>) {
    let options = daemon::Options { settings, seed: 7, trace: None, metrics: None };
    let mut daemon = daemon::start(options).await.expect("loopback has free ports");
    started.send(daemon.operator).expect("the test waits");
    daemon.wait_stopped().await;
}

fn settings(store: String) -> Settings {
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    Settings {
        daemon: "d1".into(),
        domain: "almaty-a".into(),
        region: "almaty".into(),
        listen: Listen { caller: address, peer: address, operator: address },
        advertise: None,
        store,
        seeds: Vec::new(),
        bounds: Bounds::default(),
        caller_tls: None,
        peer_tls: None,
        operator_tls: None,
        plain_caller: false,
        plain_operator: false,
    }
}
