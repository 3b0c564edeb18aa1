//! Tests of the peer port: it accepts messages only from daemons with a certificate of the fleet's
//! authority.

use gcl_core::{
    peer::{Event, Message},
    request,
    settings::Tls,
};
use gcl_daemon::peer::{Handle, Keys, Options, start};
use rcgen::{BasicConstraints, Certificate, CertificateParams, IsCa, Issuer, KeyPair};
use std::{fs, path::PathBuf};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Largest answer that the port accepts, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// A certificate authority for daemons.
struct Authority {
    name: &'static str,
    certificate: Certificate,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new(name: &'static str) -> Self {
        let key = KeyPair::generate().expect("a key can be generated");
        let mut parameters = CertificateParams::new(Vec::new()).expect("no names are given");
        parameters.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate =
            parameters.self_signed(&key).expect("the authority can sign its own certificate");
        Self { name, certificate, issuer: Issuer::new(parameters, key) }
    }

    /// Issues keys for a daemon, written to files and read as named in the settings.
    fn keys(&self) -> Keys {
        let key = KeyPair::generate().expect("a key can be generated");
        let names = vec!["goldcrest.peer".to_owned()];
        let parameters = CertificateParams::new(names).expect("the name is valid");
        let certificate =
            parameters.signed_by(&key, &self.issuer).expect("the authority can sign a certificate");
        let file = |part: &str, pem: &str| {
            let name = format!("{}-{}-{part}.pem", std::process::id(), self.name);
            let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
            fs::write(&path, pem).expect("the file is written");
            path.to_string_lossy().into_owned()
        };
        let tls = Tls {
            certificate: file("certificate", &certificate.pem()),
            key: file("key", &key.serialize_pem()),
            authority: Some(file("authority", &self.certificate.pem())),
        };
        Keys::read(&tls).expect("the files are valid")
    }
}

/// Opens a peer port; returns its address and the messages that it receives.
async fn port(keys: Option<Keys>) -> (String, UnboundedReceiver<Event>) {
    let (events, received) = unbounded_channel();
    let address = "127.0.0.1:0".parse().expect("the address is well formed");
    let options = Options { address, keys, answer_bytes: ANSWER_BYTES, events };
    let address = start(options).await.expect("the port can be opened");
    (address.to_string(), received)
}

/// Sends a message with the given keys; returns the sender's events, which report a lost message.
fn send(address: &str, keys: Option<Keys>) -> (Handle, UnboundedReceiver<Event>) {
    let (events, sender_events) = unbounded_channel();
    let mut handle = Handle::new("d1".into(), 9, keys, events);
    let message = Message::Request(request::Message::Cancel(7));
    handle.send("d2".into(), address.into(), message);
    (handle, sender_events)
}

#[tokio::test]
async fn daemons_of_one_authority_exchange_messages() {
    let fleet = Authority::new("one");
    let (address, mut received) = port(Some(fleet.keys())).await;
    let (_handle, _sender_events) = send(&address, Some(fleet.keys()));
    let event = received.recv().await.expect("the port stays open");
    assert!(matches!(event, Event::Received { from, incarnation: 9, .. } if from == "d1"));
}

#[tokio::test]
async fn a_daemon_without_a_certificate_of_the_authority_is_rejected() {
    let fleet = Authority::new("fleet");
    let (address, mut received) = port(Some(fleet.keys())).await;
    for keys in [None, Some(Authority::new("stranger").keys())] {
        let (_handle, mut sender_events) = send(&address, keys);
        let event = sender_events.recv().await.expect("the loss is reported to the sender");
        assert!(matches!(event, Event::Lost(daemon) if daemon == "d2"));
        assert!(received.try_recv().is_err(), "the message is not delivered");
    }
}
