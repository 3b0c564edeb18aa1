//! A server that misbehaves on purpose.

use crate::fixture::{Bench, answered, extended, simple};
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

/// What a server sends after a startup packet: accepted, key for cancel requests, ready.
const WELCOME: &[u8] = b"R\0\0\0\x08\0\0\0\0K\0\0\0\x0c\0\0\0\x01\0\0\0\x02Z\0\0\0\x05I";
/// An answer to a simple query.
const DONE: &[u8] = b"C\0\0\0\x0dSELECT 0\0Z\0\0\0\x05I";

/// Listens, and hands each connection to `serve` once its startup packet was read.
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
    // The end of the stream shows at the next write.
    let _ = stream.read(&mut [0; 4096]);
}

fn write(stream: &mut TcpStream, bytes: &[u8]) {
    // The client may have hung up already.
    let _ = stream.write_all(bytes);
}

#[tokio::test]
async fn a_batch_for_a_connection_that_was_closed_did_not_leave() {
    let (close, on_close) = mpsc::channel();
    let (closed, on_closed) = mpsc::channel();
    let address = listen(move |mut stream| {
        write(&mut stream, WELCOME);
        // The test may be over.
        let _ = on_close.recv();
        drop(stream);
        let _ = closed.send(());
    });
    let mut bench = Bench::at(address);
    for round in 0..32 {
        let connection = bench.open().await;
        close.send(()).expect("the server waits");
        // Blocks the only thread, so that the client does not notice before the batch is sent.
        on_closed.recv().expect("the server closes it");
        let ended = bench.run(connection, simple("SELECT 1")).await;
        assert_eq!(ended, Completion::Lost { sent: false }, "round {round}");
        if let Some(event) = bench.try_event() {
            assert_eq!(event, Event::Closed(connection));
        }
    }
}

#[tokio::test]
async fn an_unexpected_message_breaks_the_connection() {
    let address = listen(|mut stream| {
        write(&mut stream, WELCOME);
        read_some(&mut stream);
        // The answer to a `Bind` that was never sent.
        write(&mut stream, b"2\0\0\0\x04");
        write(&mut stream, DONE);
        read_some(&mut stream);
    });
    let mut bench = Bench::at(address);
    let connection = bench.open().await;
    let ended = bench.run(connection, simple("SELECT 1")).await;
    assert_eq!(ended, Completion::Lost { sent: true });
}

#[tokio::test]
async fn an_answer_without_a_question_closes_the_connection() {
    let (told, on_told) = mpsc::channel();
    let address = listen(move |mut stream| {
        write(&mut stream, WELCOME);
        // The test may be over.
        let _ = on_told.recv();
        write(&mut stream, DONE);
        read_some(&mut stream);
    });
    let mut bench = Bench::at(address);
    let connection = bench.open().await;
    told.send(()).expect("the server waits");
    assert_eq!(bench.event().await, Event::Closed(connection));
}

#[tokio::test]
async fn a_silent_server_does_not_open() {
    let address = listen(|mut stream| read_some(&mut stream));
    let mut bench = Bench::at(address);
    bench.call(Call::Open { connection: 1, address });
    assert_eq!(bench.event().await, Event::Failed { connection: 1, full: false });
    let asked = bench.question(Ask::Status, Duration::from_millis(50));
    let lost = bench.event().await;
    let Event::Answered { question, result: Err(Failure::Lost(_)) } = lost else {
        panic!("no report: {lost:?}");
    };
    assert_eq!(question, asked);
}

#[tokio::test]
async fn a_cancel_that_is_not_taken_closes_the_connection_after_the_batch() {
    let (cancelled, on_cancelled) = mpsc::channel::<()>();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let Ok((mut data, _)) = listener.accept() else { return };
        read_some(&mut data);
        write(&mut data, WELCOME);
        read_some(&mut data);
        // The cancel request gets no answer while the batch does.
        let held = listener.accept();
        write(&mut data, DONE);
        let _ = on_cancelled.recv();
        drop(held);
    });
    let options = Options { cancel_timeout: Duration::from_millis(50), ..Options::default() };
    let mut bench = Bench::at_with(address, options);
    let connection = bench.open().await;
    let request = bench.start_run(connection, simple("SELECT 1"));
    bench.call(Call::Cancel(connection));
    assert_eq!(answered(bench.ended(request).await).kinds, "C");
    assert_eq!(bench.event().await, Event::Closed(connection));
    drop(cancelled);
}

/// Bytes that are mostly well-formed messages of any kind.
fn garbage() -> impl Strategy<Value = Vec<u8>> {
    let tag = proptest::sample::select(b"1234ACDEGHIKNRSTVZcdnst\0\xff".to_vec());
    let message = (tag, vec(any::<u8>(), 0..24)).prop_map(|(tag, body)| {
        let length = u32::try_from(body.len() + 4).expect("a short body");
        [&[tag][..], &length.to_be_bytes(), &body].concat()
    });
    let noise = vec(any::<u8>(), 0..24);
    let known = proptest::sample::select(vec![WELCOME.to_vec(), DONE.to_vec()]);
    vec(prop_oneof![4 => message, 1 => noise, 2 => known], 0..6).prop_map(|parts| parts.concat())
}

#[test]
fn garbage_ends_in_an_event_and_never_in_a_panic() {
    let seed = RngSeed::Fixed(4);
    let config =
        Config { cases: 256, rng_seed: seed, failure_persistence: None, ..Config::default() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    let inputs = (any::<bool>(), garbage(), garbage());
    let run = |(welcomed, login, answer): (bool, Vec<u8>, Vec<u8>)| {
        runtime.block_on(async {
            let address = listen(move |mut stream| {
                write(&mut stream, if welcomed { WELCOME } else { &login });
                if welcomed {
                    read_some(&mut stream);
                    write(&mut stream, &answer);
                }
            });
            let mut bench = Bench::at(address);
            let ask = bench.ask(Ask::Status).await;
            assert!(!matches!(ask, Err(Failure::Refused(_))), "no report was sent: {ask:?}");
            bench.call(Call::Open { connection: 1, address });
            let opened = bench.event().await;
            if opened == Event::Opened(1) {
                let request = bench.start_run(1, extended("SELECT 1", &[]));
                while !matches!(bench.event().await, Event::Ended { request: ended, .. } if ended == request) {}
            } else {
                assert!(matches!(opened, Event::Failed { connection: 1, .. }), "{opened:?}");
            }
        });
        Ok(())
    };
    TestRunner::new(config).run(&inputs, run).expect("every case ends");
}
