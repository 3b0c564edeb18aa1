//! Authorization of requests at the operator port.
//!
//! A token's hash is compared in constant time with those in the configuration. While the
//! configuration holds no token at all, a daemon whose operator port listens on a loopback address
//! permits every request, so that a fleet can be set up; any other daemon rejects them.

use crate::{
    code::{Code, Fault, Result},
    config::object::Role,
    state::State as Daemon,
};
use compact_str::CompactString;
use subtle::ConstantTimeEq;

/// Name recorded for operators while no token exists.
const LOOPBACK: CompactString = CompactString::const_new("loopback");

/// Checks that a token, given its hash, has one of the roles; returns the token's name.
///
/// # Errors
/// [`Code::Forbidden`].
pub fn authorize(daemon: &Daemon, hash: &str, roles: &[Role]) -> Result<CompactString> {
    let tokens = &daemon.config.snapshot.tokens;
    if tokens.is_empty() {
        return authorize_without_tokens(daemon);
    }
    let mut admitted = None;
    for token in tokens.values().map(|token| &token.value) {
        let equal = bool::from(token.hash.as_bytes().ct_eq(hash.as_bytes()));
        if equal && token.roles.iter().any(|role| roles.contains(role)) {
            admitted = Some(token.name.clone());
        }
    }
    admitted.ok_or_else(|| Fault::new(Code::Forbidden, "the token is wrong or lacks the role"))
}

fn authorize_without_tokens(daemon: &Daemon) -> Result<CompactString> {
    if daemon.config.snapshot.revision == 0 {
        return Err(Fault::new(Code::StaleConfiguration, "no configuration has been read yet"));
    }
    if daemon.settings.listen.operator.ip().is_loopback() {
        return Ok(LOOPBACK);
    }
    let detail = "the configuration holds no token and the operator port is not on loopback";
    Err(Fault::new(Code::Forbidden, detail))
}
