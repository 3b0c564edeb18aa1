//! Keys of workspaces, in the form `id.secret`. Only a hash of the secret is stored and compared.

use crate::{
    caller::Credential,
    code::{Code, Fault, Result},
    config::{self, snapshot::Snapshot},
    id,
    state::State as Daemon,
    time::Now,
};
use compact_str::format_compact;
use sha2::{Digest, Sha256};
use std::time::Duration;
use subtle::ConstantTimeEq;

/// Returns the SHA-256 of a secret in hexadecimal.
#[must_use]
pub fn hash(secret: &str) -> String {
    use std::fmt::Write as _;
    let digest = Sha256::digest(secret.as_bytes());
    digest.iter().fold(String::with_capacity(64), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Checks that a key belongs to a workspace and returns its public half.
///
/// # Errors
/// [`Code::UnknownWorkspace`], [`Code::WrongKey`] or [`Code::KeyWithdrawn`].
pub fn authenticate(
    snapshot: &Snapshot,
    workspace: &str,
    credential: &Credential,
) -> Result<id::Key> {
    if !snapshot.workspaces.contains_key(workspace) {
        return Err(Fault::new(Code::UnknownWorkspace, "no such workspace"));
    }
    let wrong = || Fault::new(Code::WrongKey, "the password is not a key of the workspace");
    let key = &snapshot.keys.get(credential.name()).ok_or_else(wrong)?.value;
    let equal = bool::from(credential.hash().as_bytes().ct_eq(key.hash.as_bytes()));
    if !equal || key.workspace != workspace {
        return Err(wrong());
    }
    if key.withdrawn {
        return Err(Fault::new(Code::KeyWithdrawn, "the key was withdrawn"));
    }
    Ok(key.name.clone())
}

/// Delay after which a request refused for a stale configuration may be retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Checks that the configuration is recent enough to trust a key.
///
/// The withdrawal of a key may go unnoticed for at most the daemon's bound, extended by the
/// `offline_ms` that the workspace's owner accepts.
///
/// # Errors
/// [`Code::StaleConfiguration`].
pub fn check_freshness(daemon: &Daemon, now: Now, workspace: &str) -> Result<()> {
    let age = config::age(daemon, now);
    let bound = Duration::from_millis(daemon.settings.bounds.freshness_ms);
    let offline = daemon.config.snapshot.workspaces.get(workspace);
    let offline = offline.map_or(0, |workspace| workspace.value.offline_ms);
    let bound = bound + Duration::from_millis(offline);
    match age {
        Some(age) if age <= bound => Ok(()),
        Some(age) => {
            let age = age.as_millis();
            let detail = format_compact!("the configuration was last confirmed {age} ms ago");
            Err(Fault::new(Code::StaleConfiguration, detail).retry_after(RETRY_DELAY))
        }
        None => {
            let detail = "no configuration was confirmed since the start";
            Err(Fault::new(Code::StaleConfiguration, detail).retry_after(RETRY_DELAY))
        }
    }
}
