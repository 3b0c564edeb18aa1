//! Constraints between the fields of the settings.

use super::Settings;
use indexmap::IndexSet;
use std::net::SocketAddr;

/// The path of the faulty field, and what is wrong.
type Fault = (String, String);

/// Checks the fields against each other.
pub(super) fn check(settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut fault = |path: &str, detail: &str| faults.push((path.to_owned(), detail.to_owned()));
    check_ports(settings, &mut fault);
    check_bounds(settings, &mut fault);
    check_seeds(settings, &mut fault);
    faults
}

fn check_ports(settings: &Settings, fault: &mut impl FnMut(&str, &str)) {
    let listen = &settings.listen;
    if is_exposed(listen.peer) {
        match &settings.peer_tls {
            None => fault("listen.peer", "a peer port beyond loopback needs peer_tls"),
            Some(tls) if tls.authority.is_none() => {
                fault("peer_tls", "peer_tls needs the authority that signs the other daemons");
            }
            Some(_) => {}
        }
    }
    if is_exposed(listen.caller) && settings.caller_tls.is_none() && !settings.plain_caller {
        let detail = "a caller port beyond loopback needs caller_tls or plain_caller";
        fault("listen.caller", detail);
    }
    if is_exposed(listen.operator) && settings.operator_tls.is_none() && !settings.plain_operator {
        let detail = "an operator port beyond loopback needs operator_tls or plain_operator";
        fault("listen.operator", detail);
    }
    let ports = [listen.caller, listen.peer, listen.operator];
    let fixed: Vec<&SocketAddr> = ports.iter().filter(|address| address.port() != 0).collect();
    if fixed.iter().collect::<IndexSet<_>>().len() != fixed.len() {
        fault("listen", "two ports share an address");
    }
    let advertised: Option<SocketAddr> =
        settings.advertise.as_ref().and_then(|address| address.parse().ok());
    if listen.peer.ip().is_unspecified() && advertised.is_none() {
        fault("listen.peer", "a peer port on every address needs advertise");
    }
    if advertised.is_some_and(|address| address.ip().is_unspecified() || address.port() == 0) {
        fault("advertise", "advertise is an address that others can dial");
    }
}

fn is_exposed(address: SocketAddr) -> bool {
    !address.ip().is_loopback()
}

fn check_bounds(settings: &Settings, fault: &mut impl FnMut(&str, &str)) {
    let bounds = &settings.bounds;
    if bounds.connections_per_address > bounds.connections {
        let detail = "connections_per_address is at most connections";
        fault("bounds.connections_per_address", detail);
    }
    if bounds.half_open > bounds.connections {
        fault("bounds.half_open", "half_open is at most connections");
    }
    if bounds.transaction_idle_ms > bounds.idle_ms {
        fault("bounds.transaction_idle_ms", "transaction_idle_ms is at most idle_ms");
    }
}

fn check_seeds(settings: &Settings, fault: &mut impl FnMut(&str, &str)) {
    let mut names = IndexSet::new();
    for (index, seed) in settings.seeds.iter().enumerate() {
        if !names.insert(&seed.daemon) {
            fault(&format!("seeds[{index}]"), "a daemon is listed twice among the seeds");
        }
    }
}
