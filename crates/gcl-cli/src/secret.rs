//! Generates random secrets and names.

use crate::exit::{Failure, Result};
use std::{fmt::Write as _, fs::File, io::Read as _};

/// The operating system's random number generator.
const RANDOM_SOURCE: &str = "/dev/urandom";
/// Length of a key's secret half in bytes.
pub const SECRET_BYTES: usize = 32;
/// Length of a key's public half and of a change's name in bytes.
pub const NAME_BYTES: usize = 6;

/// Generates random bytes, in hexadecimal.
///
/// # Errors
/// The random number generator cannot be read.
pub fn generate(bytes: usize) -> Result<String> {
    let mut buffer = vec![0; bytes];
    let read = File::open(RANDOM_SOURCE).and_then(|mut source| source.read_exact(&mut buffer));
    read.map_err(|error| Failure::Usage(format!("{RANDOM_SOURCE}: {error}")))?;
    Ok(buffer.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    }))
}
