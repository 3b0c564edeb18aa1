//! Tests of the peer port: only daemons of the fleet are heard.

use gcl_core::{
    peer::{Event, Message},
    request,
    settings::Tls,
};
use gcl_daemon::peer::{Handle, Keys, Options, start};
use rcgen::{BasicConstraints, Certificate, CertificateParams, IsCa, Issuer, KeyPair};
use std::{fs, path::PathBuf};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Bytes of an answer that the port takes.
const ANSWER_BYTES: usize = 1 << 20;

/// An authority that signs certificates of daemons.
struct Authority {
    name: &'static str,
    certificate: Certificate,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new(name: &'static str) -> Self {
        let key = KeyPair::generate().expect("a key can be made");
        let mut parameters = CertificateParams::new(Vec::new()).expect("no names are given");
        parameters.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = parameters.self_signed(&key).expect("the authority signs itself");
        Self { name, certificate, issuer: Issuer::new(parameters, key) }
    }

    /// The keys of a daemon, read back from files as the settings name them.
    fn keys(&self) -> Keys {
        let key = KeyPair::generate().expect("a key can be made");
        let names = vec!["goldcrest.peer".to_owned()];
        let parameters = CertificateParams::new(names).expect("the name is valid");
        let certificate = parameters.signed_by(&key, &self.issuer).expect("the authority signs");
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

/// A peer port of the fleet, and what it hears.
async fn port(keys: Option<Keys>) -> (String, UnboundedReceiver<Event>) {
    let (events, heard) = unbounded_channel();
    let address = "127.0.0.1:0".parse().expect("the address is well formed");
    let options = Options { address, keys, answer_bytes: ANSWER_BYTES, events };
    let address = start(options).await.expect("the port opens");
    (address.to_string(), heard)
}

/// Sends a message with some keys; gives what the sender is told of a failure.
fn send(address: &str, keys: Option<Keys>) -> (Handle, UnboundedReceiver<Event>) {
    let (events, told) = unbounded_channel();
    let mut handle = Handle::new("d1".into(), 9, keys, events);
    let message = Message::Request(request::Message::Cancel(7));
    handle.send("d2".into(), address.into(), message);
    (handle, told)
}

#[tokio::test]
async fn daemons_of_one_authority_hear_each_other() {
    let fleet = Authority::new("one");
    let (address, mut heard) = port(Some(fleet.keys())).await;
    let (_handle, _told) = send(&address, Some(fleet.keys()));
    let event = heard.recv().await.expect("the port stays open");
    assert!(matches!(event, Event::Received { from, incarnation: 9, .. } if from == "d1"));
}

#[tokio::test]
async fn a_stranger_is_not_heard() {
    let fleet = Authority::new("fleet");
    let (address, mut heard) = port(Some(fleet.keys())).await;
    for keys in [None, Some(Authority::new("stranger").keys())] {
        let (_handle, mut told) = send(&address, keys);
        let event = told.recv().await.expect("the sender is told");
        assert!(matches!(event, Event::Lost(daemon) if daemon == "d2"));
        assert!(heard.try_recv().is_err(), "nothing reaches the daemon");
    }
}
