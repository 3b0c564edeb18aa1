//! Loads configuration objects from a file into the store.

use super::server::Platform;
use eyre::{Result, WrapErr, eyre};
use gcl_core::config::{file, object::Object, snapshot};
use gcl_store::gateway::{Blob, Int, PutRequest};
use std::{fs, path::Path};

/// Loads a list of objects from a file of JSON with comments, and returns their number.
///
/// # Errors
/// The file cannot be read or is not a list of valid objects.
pub fn load(platform: &Platform, path: &Path) -> Result<usize> {
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let items = file::parse(&text).map_err(|faults| {
        let faults = faults.iter().map(|fault| format!("{}:{fault}", path.display()));
        eyre!(
            "{}",
            faults.collect::<Vec<_>>().join(
                "
"
            )
        )
    })?;
    for item in &items {
        put(platform, &item.object)?;
    }
    Ok(items.len())
}

/// Writes an object to the store, as a change by an operator does.
///
/// # Errors
/// The store rejects the write.
pub fn put(platform: &Platform, object: &Object) -> Result<()> {
    let value = Blob(serde_json::to_vec(object)?);
    let key = Blob::text(&snapshot::store_key(object));
    let put = PutRequest { key, value, lease: Int(0) };
    platform.store(|store| store.put(&put)).map_err(|error| eyre!("{error:?}"))?;
    Ok(())
}
