//! Tests of `gcl_daemon::caller` with a standard `PostgreSQL` client and with raw bytes.

use crate::echo::{Echo, FAILING_QUERY, value};
use gcl_core::{
    caller::{Effect, Event, Reply},
    code::Code,
    settings::Bounds,
};
use gcl_daemon::caller::codec;
use proptest::{prelude::*, test_runner::RngSeed};
use std::{sync::Arc, time::Duration};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// Time limit for an expected event.
const TIMEOUT: Duration = Duration::from_secs(20);
/// A startup packet of protocol 3.0 with a user name.
const STARTUP: &[u8] = b"\0\0\0\x12\0\x03\0\0user\0abc\0\0";
/// A request for TLS.
const TLS_REQUEST: &[u8] = &[0, 0, 0, 8, 4, 210, 22, 47];

async fn connect(echo: &Echo, password: &str) -> Result<Client, tokio_postgres::Error> {
    let mut config = Config::new();
    config.host("127.0.0.1").port(echo.listener.address().port());
    config.user("kazyna").password(password).dbname("orders");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

fn first(messages: &[SimpleQueryMessage]) -> Option<&str> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    })
}

/// Opens a connection and sends bytes on it.
async fn connect_raw(echo: &Echo, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(echo.listener.address()).await.expect("the port is open");
    stream.write_all(bytes).await.expect("the bytes are sent");
    stream
}

/// Reads until the daemon closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    // A connection reset counts as closed, too.
    let _ = timeout(TIMEOUT, stream.read_to_end(&mut bytes))
        .await
        .expect("the daemon closes the connection");
    bytes
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes.windows(text.len()).any(|window| window == text.as_bytes())
}

fn bounds(change: impl FnOnce(&mut Bounds)) -> Bounds {
    let mut bounds = Bounds::default();
    change(&mut bounds);
    bounds
}

#[tokio::test]
async fn a_standard_client_logs_in_and_queries() {
    let mut echo = Echo::start(Bounds::default(), None, false);
    let client = connect(&echo, "id.secret").await.expect("the key is good");
    let messages = client.simple_query("select 1").await.expect("the query runs");
    assert_eq!(first(&messages), Some("select 1"));
    let rows = client.query("select 2", &[]).await.expect("the extended query runs");
    assert_eq!(rows[0].get::<_, &str>(0), "row");
    drop(client);
    echo.event(|event| *event == Event::Closed).await;
}

#[tokio::test]
async fn an_error_leaves_the_connection_usable() {
    let echo = Echo::start(Bounds::default(), None, false);
    let client = connect(&echo, "id.secret").await.expect("the key is good");
    let error = client.simple_query(FAILING_QUERY).await.expect_err("the query is refused");
    let error = error.as_db_error().expect("the daemon rejects the query");
    assert_eq!(error.code().code(), "0A000");
    assert!(error.message().starts_with("G110 "), "{}", error.message());
    assert!(error.message().ends_with("not run"), "{}", error.message());
    let messages = client.simple_query("again").await.expect("the connection is usable");
    assert_eq!(first(&messages), Some("again"));
}

#[tokio::test]
async fn a_wrong_key_ends_the_connection() {
    let echo = Echo::start(Bounds::default(), None, false);
    let error = connect(&echo, "id.wrong").await.expect_err("the key is wrong");
    assert_eq!(error.code().map(tokio_postgres::error::SqlState::code), Some("28P01"));
}

#[tokio::test]
async fn a_cancel_request_is_passed_on_with_its_cancel_key() {
    let mut echo = Echo::start(Bounds::default(), None, false);
    let client = connect(&echo, "id.secret").await.expect("the key is good");
    client.cancel_token().cancel_query(NoTls).await.expect("the request is sent");
    let cancel = echo.event(|event| matches!(event, Event::Cancel { .. })).await;
    assert_eq!(cancel, Event::Cancel { process: 11, secret: 12 });
}

#[test_case(&[0xff; 64], Code::TooLarge; "garbage")]
#[test_case(&[0, 0, 0, 4, 0, 0, 0, 0], Code::Protocol; "a packet that is too short")]
#[test_case(&[0, 0, 0, 8, 0, 2, 0, 0], Code::Protocol; "an old protocol")]
#[test_case(&[0, 0, 0x40, 0, 0, 3, 0, 0], Code::TooLarge; "a packet that is too large")]
#[test_case(&[0, 0, 0, 12, 4, 210, 22, 46, 0, 0, 0, 1], Code::Protocol; "half a cancel request")]
#[tokio::test]
async fn an_invalid_startup_is_rejected_with_a_code(bytes: &[u8], code: Code) {
    let mut echo = Echo::start(Bounds::default(), None, false);
    let mut stream = connect_raw(&echo, bytes).await;
    assert!(contains(&read_to_end(&mut stream).await, &format!("G{}", code.number())));
    let refused = echo.event(|event| matches!(event, Event::Refused { .. })).await;
    assert!(matches!(refused, Event::Refused { code: seen, .. } if seen == code));
    assert!(connect(&echo, "id.secret").await.is_ok(), "other callers are served");
}

#[test_case(&[]; "nothing")]
#[test_case(&STARTUP[..9]; "half a startup packet")]
#[tokio::test]
async fn a_slow_startup_times_out(bytes: &[u8]) {
    let mut echo = Echo::start(bounds(|bounds| bounds.login_ms = 50), None, false);
    let mut stream = connect_raw(&echo, bytes).await;
    assert!(contains(&read_to_end(&mut stream).await, "G114"));
    echo.event(|event| matches!(event, Event::Refused { code: Code::LoginTimeout, .. })).await;
    assert_eq!(echo.listener.connections(), 0);
}

#[test_case(b"?\0\0\0\x04", "G108"; "an unknown message")]
#[test_case(b"Q\0\0\0\x01", "G108"; "a length below the minimum")]
#[test_case(b"Q\0\0\0\x06ab", "G108"; "a text without its terminator")]
#[test_case(b"Q\0\0\0\x06\xff\0", "G108"; "a text that is not UTF-8")]
#[test_case(b"B\0\0\0\x0a\0\0\0\0\xff\xff", "G108"; "a truncated bind")]
#[test_case(b"S\0\0\0\x05x", "G108"; "trailing bytes")]
#[test_case(b"Q\0\x10\0\0", "G109"; "a message that is too large")]
#[tokio::test]
async fn an_invalid_message_ends_the_connection_with_a_code(bytes: &[u8], code: &str) {
    let mut echo = Echo::start(bounds(|bounds| bounds.message_bytes = 4096), None, false);
    let mut stream = connect_raw(&echo, &[STARTUP, bytes].concat()).await;
    assert!(contains(&read_to_end(&mut stream).await, code));
    echo.event(|event| *event == Event::Closed).await;
    assert!(connect(&echo, "id.secret").await.is_ok(), "other callers are served");
}

#[tokio::test]
async fn an_incomplete_message_ends_the_connection() {
    let mut echo = Echo::start(bounds(|bounds| bounds.read_ms = 50), None, false);
    let mut stream = connect_raw(&echo, &[STARTUP, b"Q\0\0\0\x20sel"].concat()).await;
    read_to_end(&mut stream).await;
    echo.event(|event| *event == Event::Closed).await;
}

#[test_case(|bounds| bounds.connections = 1; "in total")]
#[test_case(|bounds| bounds.connections_per_address = 1; "from one address")]
#[test_case(|bounds| bounds.half_open = 1; "logging in")]
#[tokio::test]
async fn connections_above_a_limit_are_rejected_until_one_closes(change: fn(&mut Bounds)) {
    let mut echo = Echo::start(bounds(change), None, false);
    let first = connect_raw(&echo, STARTUP).await;
    echo.event(|event| matches!(event, Event::Startup(_))).await;
    let mut second = connect_raw(&echo, &[]).await;
    assert!(contains(&read_to_end(&mut second).await, "G113"));
    drop(first);
    echo.event(|event| *event == Event::Closed).await;
    connect(&echo, "id.secret").await.expect("a connection is available again");
}

#[tokio::test]
async fn a_caller_that_does_not_read_is_disconnected() {
    let small = bounds(|bounds| (bounds.write_ms, bounds.answer_bytes) = (100, 1 << 20));
    let mut echo = Echo::start(small, None, false);
    let _stream = connect_raw(&echo, STARTUP).await;
    echo.event(|event| matches!(event, Event::Startup(_))).await;
    let row = value(&vec![b'x'; 1 << 19]);
    for _ in 0..64 {
        echo.listener.apply(1, Effect::Send(vec![Reply::Frames(vec![row.clone()])]));
    }
    echo.event(|event| *event == Event::Closed).await;
    assert_eq!(echo.listener.connections(), 0);
}

#[test_case(true; "paused")]
#[test_case(false; "resumed")]
#[tokio::test]
async fn a_paused_caller_is_not_read_until_it_is_resumed(paused: bool) {
    let mut echo = Echo::start(Bounds::default(), None, false);
    let mut stream = connect_raw(&echo, STARTUP).await;
    echo.event(|event| matches!(event, Event::Startup(_))).await;
    echo.listener.apply(1, Effect::Pause);
    if !paused {
        echo.listener.apply(1, Effect::Resume);
    }
    stream.write_all(b"S\0\0\0\x04").await.expect("the message is sent");
    // Queries of another caller give the listener time to read from the paused connection.
    let client = connect(&echo, "id.secret").await.expect("the key is good");
    for _ in 0..20 {
        client.simple_query("meanwhile").await.expect("the query runs");
    }
    echo.listener.apply(1, Effect::Close);
    let next = echo.event(|event| matches!(event, Event::Sync | Event::Closed)).await;
    assert_eq!(next, if paused { Event::Closed } else { Event::Sync });
}

#[tokio::test]
async fn a_closed_listener_keeps_its_connections() {
    let echo = Echo::start(Bounds::default(), None, false);
    let client = connect(&echo, "id.secret").await.expect("the key is good");
    echo.listener.close_listener();
    let refused = async {
        while TcpStream::connect(echo.listener.address()).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(TIMEOUT, refused).await.expect("the port is closed");
    let messages = client.simple_query("still").await.expect("the connection stays open");
    assert_eq!(first(&messages), Some("still"));
}

/// TLS configurations of server and client, with a self-signed certificate.
fn tls() -> (Arc<rustls::ServerConfig>, Arc<rustls::ClientConfig>) {
    let made = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()])
        .expect("a certificate can be generated");
    let certificate = made.cert.der().clone();
    let key = rustls::pki_types::PrivateKeyDer::try_from(made.signing_key.serialize_der())
        .expect("the key is well formed");
    let server = rustls::ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(vec![certificate.clone()], key)
        .expect("the certificate matches its key");
    let mut roots = rustls::RootCertStore::empty();
    roots.add(certificate).expect("the certificate is well formed");
    let client =
        rustls::ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
    (Arc::new(server), Arc::new(client))
}

#[tokio::test]
async fn an_unencrypted_caller_is_rejected_where_tls_is_required() {
    let (server, client) = tls();
    let mut echo = Echo::start(Bounds::default(), Some(server), true);
    let error = connect(&echo, "id.secret").await.expect_err("the connection is not encrypted");
    assert_eq!(error.code().map(tokio_postgres::error::SqlState::code), Some("28000"));
    let mut stream = connect_raw(&echo, TLS_REQUEST).await;
    assert_eq!(stream.read_u8().await.expect("the daemon answers"), b'S');
    let name = "localhost".try_into().expect("the name is well formed");
    let connector = tokio_rustls::TlsConnector::from(client);
    let mut stream = connector.connect(name, stream).await.expect("the handshake succeeds");
    stream.write_all(STARTUP).await.expect("the startup packet is sent");
    echo.event(|event| matches!(event, Event::Opened { encrypted: true, .. })).await;
    assert_eq!(stream.read_u8().await.expect("the daemon requests the key"), b'R');
}

#[tokio::test]
async fn bytes_before_the_handshake_are_rejected() {
    let (server, _) = tls();
    let echo = Echo::start(Bounds::default(), Some(server), false);
    let mut stream = connect_raw(&echo, &[TLS_REQUEST, STARTUP].concat()).await;
    assert!(contains(&read_to_end(&mut stream).await, "G108"));
}

#[tokio::test]
async fn a_newer_protocol_is_negotiated_down() {
    let echo = Echo::start(Bounds::default(), None, false);
    let mut packet = STARTUP.to_vec();
    packet[7] = 2;
    let mut stream = connect_raw(&echo, &packet).await;
    let mut answer = [0; 13];
    stream.read_exact(&mut answer).await.expect("the daemon answers");
    assert_eq!(answer, *b"v\0\0\0\x0c\0\x03\0\0\0\0\0\0");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(61), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_panic(
        tag in prop::sample::select(b"QPBDCEHSXpFdcfz".to_vec()),
        body in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let length = u32::try_from(body.len() + 4).expect("the body is short");
        let packet = [&[tag][..], &length.to_be_bytes(), &body].concat();
        let _ = codec::take_message(&mut packet[..].into(), 1 << 20);
        let opening = [&(length + 4).to_be_bytes()[..], &[0, 3, 0, 0], &body].concat();
        let _ = codec::take_opening(&mut opening[..].into());
        let cancel = [&(length + 4).to_be_bytes()[..], &[4, 210, 22, 46], &body].concat();
        let _ = codec::take_opening(&mut cancel[..].into());
        let _ = codec::take_opening(&mut body[..].into());
        let _ = codec::take_message(&mut body[..].into(), 1 << 20);
    }
}
