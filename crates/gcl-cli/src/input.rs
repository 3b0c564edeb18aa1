//! Opens input files.

use crate::exit::{Failure, Result};
use std::{
    fs::File,
    io::{self, BufRead, BufReader},
};

/// Opens a file, or standard input for `-`.
///
/// # Errors
/// [`Failure::Usage`] for a file that cannot be opened.
pub fn open(path: &str) -> Result<Box<dyn BufRead>> {
    match path {
        "-" => Ok(Box::new(io::stdin().lock())),
        path => Ok(Box::new(file(path)?)),
    }
}

/// Opens a file.
///
/// # Errors
/// As for [`open`].
pub fn file(path: &str) -> Result<BufReader<File>> {
    let file = File::open(path);
    file.map(BufReader::new).map_err(|error| Failure::Usage(format!("{path}: {error}")))
}
