//! Puts configuration objects from a file into the store.

use super::server::Platform;
use eyre::{Result, WrapErr, eyre};
use gcl_core::config::{object::Object, snapshot};
use gcl_store::gateway::{Blob, Int, PutRequest};
use jsonc_parser::ParseOptions;
use std::{fs, path::Path};

/// Loads a list of objects, JSON with comments; gives how many.
///
/// # Errors
/// When the file cannot be read or holds anything but a list of objects.
pub fn load(platform: &Platform, path: &Path) -> Result<usize> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("reading {}", path.display()))?;
    let objects: Vec<Object> = jsonc_parser::parse_to_serde_value(&text, &ParseOptions::default())
        .map_err(|error| eyre!("{}: {error}", path.display()))?;
    for object in &objects {
        put(platform, object)?;
    }
    Ok(objects.len())
}

/// Puts one object into the store, as an operator's change would.
///
/// # Errors
/// When the store refuses it.
pub fn put(platform: &Platform, object: &Object) -> Result<()> {
    let value = Blob(serde_json::to_vec(object)?);
    let key = Blob::text(&snapshot::key_of(object));
    let put = PutRequest { key, value, lease: Int(0) };
    platform.store(|store| store.put(&put)).map_err(|error| eyre!("{error:?}"))?;
    Ok(())
}
