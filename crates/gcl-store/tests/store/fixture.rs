//! A client connected to a platform stand-in.

use gcl_core::store::{Call, Event, Failure, Op, Reply};
use gcl_standin::platform::{Options, Server, fault::Fault};
use gcl_store::client::Client;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Timeout of calls that must get an answer.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A client with its events, and the stand-in that it calls.
pub struct Fixture {
    pub server: Server,
    pub client: Client,
    pub events: UnboundedReceiver<Event>,
    last: u64,
}

impl Fixture {
    pub fn start() -> Self {
        let server = Server::start(Options::default()).expect("a loopback port is free");
        let (sender, events) = unbounded_channel();
        let client = Client::new(&server.url(), sender).expect("the HTTP client can be built");
        Self { server, client, events, last: 0 }
    }

    pub fn send(&mut self, op: Op, timeout: Duration) -> u64 {
        self.last += 1;
        self.client.call(Call { call: self.last, op, timeout });
        self.last
    }

    pub async fn ask(&mut self, op: Op) -> Result<Reply, Failure> {
        self.ask_within(op, TIMEOUT).await
    }

    pub async fn ask_within(&mut self, op: Op, timeout: Duration) -> Result<Reply, Failure> {
        let sent = self.send(op, timeout);
        loop {
            match self.events.recv().await.expect("the client is running") {
                Event::Answered { call, result } if call == sent => return result,
                _ => {}
            }
        }
    }

    pub fn fault(&self, fault: Fault) {
        self.server.platform().set_fault(fault);
    }

    pub async fn put(&mut self, key: &str, expected: u64, value: &str) -> Result<Reply, Failure> {
        let value = value.as_bytes().to_vec().into();
        self.ask(Op::Put { key: key.into(), expected, value, lease: 0 }).await
    }
}
