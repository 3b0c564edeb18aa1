//! Fields at the end of messages between daemons that the release before does not send.
//!
//! The encoding is positional and has no field names: an older release ignores bytes after the last
//! field that it knows, and a message that it sends ends before a field that was added since. Such
//! fields therefore stand at the end of a whole message, and are read with [`or_default`].

use serde::{Deserialize, Deserializer};

/// Reads a field, or its default if the message ends before it or it is malformed.
///
/// # Errors
/// None; the signature is that of `deserialize_with`.
pub fn or_default<'de, D, T>(deserializer: D) -> std::result::Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
