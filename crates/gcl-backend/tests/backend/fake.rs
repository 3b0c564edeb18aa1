//! Tests against servers that violate the protocol or time out.

use crate::fixture::{Fixture, answered, extended, simple};
use gcl_backend::client::Options;
use gcl_core::server::{Ask, Call, Completion, Event, Failure};
use proptest::{
    collection::vec,
    prelude::{Strategy, any, prop_oneof},
    test_runner::{Config, RngSeed, TestRunner},
};
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

/// Answer to a startup packet: `AuthenticationOk`, `BackendKeyData`, `ReadyForQuery`.
const STARTUP_ANSWER: &[u8] = b"R\0\0\0\x08\0\0\0\0K\0\0\0\x0c\0\0\0\x01\0\0\0\x02Z\0\0\0\x05I";
/// Answer to a simple query: `CommandComplete`, `ReadyForQuery`.
const QUERY_ANSWER: &[u8] = b"C\0\0\0\x0dSELECT 0\0Z\0\0\0\x05I";

/// Listens and passes each connection to `serve` after its startup packet has been read.
fn listen(serve: impl Fn(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            read_some(&mut stream);
            serve(stream);
        }
    });
    address
}

fn read_some(stream: &mut TcpStream) {
    // The next write fails if the stream has ended.
    let _ = stream.read(&mut [0; 4096]);
}

fn write(stream: &mut TcpStream, bytes: &[u8]) {
    // The client may have closed the connection already.
    let _ = stream.write_all(bytes);
}

#[tokio::test]
async fn a_batch_on_a_closed_connection_is_not_sent() {
    let (close, on_close) = mpsc::channel();
    let (closed, on_closed) = mpsc::channel();
    let address = listen(move |mut stream| {
        write(&mut stream, STARTUP_ANSWER);
        // The test may be over.
        let _ = on_close.recv();
        drop(stream);
        let _ = closed.send(());
    });
    let mut fixture = Fixture::for_address(address);
    for round in 0..32 {
        let connection = fixture.open().await;
        close.send(()).expect("the server waits");
        // Blocks the only thread, so that the client cannot notice the closure before it runs the
        // batch.
        on_closed.recv().expect("the server closes the connection");
        let ended = fixture.run(connection, simple("SELECT 1")).await;
        assert_eq!(ended, Completion::Lost { sent: false }, "round {round}");
        if let Some(event) = fixture.try_event() {
            assert_eq!(event, Event::Closed(connection));
        }
    }
}

#[tokio::test]
async fn an_unexpected_message_breaks_the_connection() {
    let address = listen(|mut stream| {
        write(&mut stream, STARTUP_ANSWER);
        read_some(&mut stream);
        // The answer to a `Bind` that was never sent.
        write(&mut stream, b"2\0\0\0\x04");
        write(&mut stream, QUERY_ANSWER);
        read_some(&mut stream);
    });
    let mut fixture = Fixture::for_address(address);
    let connection = fixture.open().await;
    let ended = fixture.run(connection, simple("SELECT 1")).await;
    assert_eq!(ended, Completion::Lost { sent: true });
}

#[tokio::test]
async fn an_unsolicited_answer_closes_the_connection() {
    let (trigger, on_trigger) = mpsc::channel();
    let address = listen(move |mut stream| {
        write(&mut stream, STARTUP_ANSWER);
        // The test may be over.
        let _ = on_trigger.recv();
        write(&mut stream, QUERY_ANSWER);
        read_some(&mut stream);
    });
    let mut fixture = Fixture::for_address(address);
    let connection = fixture.open().await;
    trigger.send(()).expect("the server waits");
    assert_eq!(fixture.event().await, Event::Closed(connection));
}

#[tokio::test]
async fn opening_a_connection_to_a_silent_server_times_out() {
    let address = listen(|mut stream| read_some(&mut stream));
    let mut fixture = Fixture::for_address(address);
    fixture.call(Call::Open { connection: 1, address });
    assert_eq!(fixture.event().await, Event::Failed { connection: 1, full: false });
    let asked = fixture.start_question(Ask::Status, Duration::from_millis(50));
    let lost = fixture.event().await;
    let Event::Answered { question, result: Err(Failure::Lost(_)) } = lost else {
        panic!("expected a lost answer: {lost:?}");
    };
    assert_eq!(question, asked);
}

#[tokio::test]
async fn an_unconfirmed_cancel_closes_the_connection_after_the_batch() {
    let (test_ended, on_test_ended) = mpsc::channel::<()>();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let Ok((mut data, _)) = listener.accept() else { return };
        read_some(&mut data);
        write(&mut data, STARTUP_ANSWER);
        read_some(&mut data);
        // The batch is answered, but the cancel request is not.
        let held = listener.accept();
        write(&mut data, QUERY_ANSWER);
        let _ = on_test_ended.recv();
        drop(held);
    });
    let options = Options { cancel_timeout: Duration::from_millis(50), ..Options::default() };
    let mut fixture = Fixture::for_address_with(address, options);
    let connection = fixture.open().await;
    let request = fixture.start_run(connection, simple("SELECT 1"));
    fixture.call(Call::Cancel(connection));
    assert_eq!(answered(fixture.ended(request).await).kinds, "C");
    assert_eq!(fixture.event().await, Event::Closed(connection));
    drop(test_ended);
}

/// Generates bytes that are mostly well-formed messages of any type.
fn malformed_messages() -> impl Strategy<Value = Vec<u8>> {
    let tag = proptest::sample::select(b"1234ACDEGHIKNRSTVZcdnst\0\xff".to_vec());
    let message = (tag, vec(any::<u8>(), 0..24)).prop_map(|(tag, body)| {
        let length = u32::try_from(body.len() + 4).expect("a short body");
        [&[tag][..], &length.to_be_bytes(), &body].concat()
    });
    let noise = vec(any::<u8>(), 0..24);
    let known = proptest::sample::select(vec![STARTUP_ANSWER.to_vec(), QUERY_ANSWER.to_vec()]);
    vec(prop_oneof![4 => message, 1 => noise, 2 => known], 0..6).prop_map(|parts| parts.concat())
}

#[test]
fn malformed_messages_end_in_an_event_and_never_in_a_panic() {
    let seed = RngSeed::Fixed(4);
    let config =
        Config { cases: 256, rng_seed: seed, failure_persistence: None, ..Config::default() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    let inputs = (any::<bool>(), malformed_messages(), malformed_messages());
    let run = |(completes_startup, login, answer): (bool, Vec<u8>, Vec<u8>)| {
        runtime.block_on(async {
            let address = listen(move |mut stream| {
                write(&mut stream, if completes_startup { STARTUP_ANSWER } else { &login });
                if completes_startup {
                    read_some(&mut stream);
                    write(&mut stream, &answer);
                }
            });
            let mut fixture = Fixture::for_address(address);
            let ask = fixture.ask(Ask::Status).await;
            assert!(!matches!(ask, Err(Failure::Refused(_))), "no report was sent: {ask:?}");
            fixture.call(Call::Open { connection: 1, address });
            let opened = fixture.event().await;
            if opened == Event::Opened(1) {
                let request = fixture.start_run(1, extended("SELECT 1", &[]));
                while !matches!(fixture.event().await, Event::Ended { request: ended, .. } if ended == request) {}
            } else {
                assert!(matches!(opened, Event::Failed { connection: 1, .. }), "{opened:?}");
            }
        });
        Ok(())
    };
    TestRunner::new(config).run(&inputs, run).expect("every case ends");
}
