//! A listener with a minimal reducer that answers every query with the query's text.

use bytes::{BufMut, Bytes, BytesMut};
use gcl_core::{
    batch::{Frame, Status},
    caller::{Credential, Effect, Event, Kind, Reply},
    code::{Code, Fault},
    id,
    settings::Bounds,
};
use gcl_daemon::caller::{Listener, Options};
use std::sync::Arc;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// A query that is answered with an error.
pub const FAILING_QUERY: &str = "broken";

/// A listener and the events that its reducer has handled.
pub struct Echo {
    pub listener: Listener,
    pub events: UnboundedReceiver<(id::Session, Event)>,
}

impl Echo {
    /// Starts a listener on a free loopback port.
    pub fn start(bounds: Bounds, tls: Option<Arc<rustls::ServerConfig>>, required: bool) -> Self {
        let (sender, mut receiver) = unbounded_channel();
        let address = "127.0.0.1:0".parse().expect("the address is well formed");
        let options =
            Options { address, bounds, tls, encryption_required: required, events: sender };
        let listener = Listener::start(options).expect("a loopback port is free");
        let (seen, events) = unbounded_channel();
        let shell = listener.clone();
        tokio::spawn(async move {
            while let Some((session, event)) = receiver.recv().await {
                for effect in answer(&event) {
                    shell.apply(session, effect);
                }
                let _ = seen.send((session, event));
            }
        });
        Self { listener, events }
    }

    /// Waits for an event that matches `wanted`.
    pub async fn event(&mut self, wanted: impl Fn(&Event) -> bool) -> Event {
        loop {
            let (_, event) = self.events.recv().await.expect("the reducer is running");
            if wanted(&event) {
                return event;
            }
        }
    }
}

fn answer(event: &Event) -> Vec<Effect> {
    let fatal = |code| {
        let fault = Fault::new(code, "refused");
        vec![Effect::Send(vec![Reply::Error { fault, fatal: true }]), Effect::Close]
    };
    match event {
        Event::Startup(_) => vec![Effect::Send(vec![Reply::AskPassword])],
        Event::Password(secret) if *secret != Credential::new("id.secret") => fatal(Code::WrongKey),
        Event::Password(_) => vec![Effect::Send(welcome())],
        Event::Query(sql) => vec![Effect::Send(simple(sql))],
        Event::Parse { .. } => vec![Effect::Send(vec![Reply::ParseComplete])],
        Event::Describe(Kind::Statement, _) => {
            vec![Effect::Send(vec![Reply::Frames(vec![frame(b't', &[0, 0]), columns()])])]
        }
        Event::Bind { .. } => vec![Effect::Send(vec![Reply::Frames(vec![frame(b'2', &[])])])],
        Event::Execute { .. } => {
            let done = Reply::Complete("SELECT 1".into());
            vec![Effect::Send(vec![Reply::Frames(vec![value(b"row")]), done])]
        }
        Event::Close(..) => vec![Effect::Send(vec![Reply::CloseComplete])],
        Event::Sync => vec![Effect::Send(vec![Reply::Ready(Status::Idle)])],
        Event::Malformed(_) => fatal(Code::Protocol),
        Event::Oversized(_) => fatal(Code::TooLarge),
        _ => Vec::new(),
    }
}

fn welcome() -> Vec<Reply> {
    let cancel = Reply::CancelKey { process: 11, secret: 12 };
    let version = Reply::Parameter("server_version".into(), "16.0".into());
    vec![Reply::Welcome, version, cancel, Reply::Ready(Status::Idle)]
}

fn simple(sql: &str) -> Vec<Reply> {
    let ready = Reply::Ready(Status::Idle);
    if sql == FAILING_QUERY {
        let fault = Fault::new(Code::NotSupported, "the query is broken");
        return vec![Reply::Error { fault, fatal: false }, ready];
    }
    let row = Reply::Row { column: "text".into(), value: sql.into() };
    vec![row, Reply::Complete("SELECT 1".into()), ready]
}

fn frame(tag: u8, body: &[u8]) -> Frame {
    Frame { tag, body: Bytes::copy_from_slice(body) }
}

/// A row description of one text column.
fn columns() -> Frame {
    let mut body = BytesMut::new();
    body.put_i16(1);
    body.put_slice(b"text\0");
    body.put_i32(0);
    body.put_i16(0);
    body.put_u32(25);
    body.put_i16(-1);
    body.put_i32(-1);
    body.put_i16(0);
    Frame { tag: b'T', body: body.freeze() }
}

/// A row of one value.
pub fn value(bytes: &[u8]) -> Frame {
    let mut body = BytesMut::new();
    body.put_i16(1);
    body.put_u32(u32::try_from(bytes.len()).expect("the value is short"));
    body.put_slice(bytes);
    Frame { tag: b'D', body: body.freeze() }
}
