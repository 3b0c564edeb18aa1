//! Secrets drawn from the system's source of randomness.

use crate::exit::{Failure, Result};
use std::{fmt::Write as _, fs::File, io::Read as _};

/// The system's source of randomness.
const SOURCE: &str = "/dev/urandom";
/// Bytes of a key's secret half.
pub const SECRET_BYTES: usize = 32;
/// Bytes of a key's public half and of a change's name.
pub const NAME_BYTES: usize = 6;

/// Random bytes in hexadecimal.
pub fn draw(bytes: usize) -> Result<String> {
    let mut buffer = vec![0; bytes];
    let read = File::open(SOURCE).and_then(|mut source| source.read_exact(&mut buffer));
    read.map_err(|error| Failure::Usage(format!("{SOURCE}: {error}")))?;
    Ok(buffer.iter().fold(String::new(), |mut text, byte| {
        // Writing to text cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    }))
}
