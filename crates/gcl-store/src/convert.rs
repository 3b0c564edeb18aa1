//! Converts the reducer's calls to messages of the gateway, and the answers back.

use crate::gateway::{
    Blob, Change, Compare, DeleteRequest, Int, KeyValue, Kind, LeaseRequest, PutRequest,
    RangeRequest, Relation, RequestOp, ResponseOp, Target, TxnRequest, TxnResponse,
};
use compact_str::CompactString;
use gcl_core::store::{self, Entry, Failure, Lease, Reply};
use std::time::Duration;

/// The result of a call, with the failure as reported to the reducer.
pub type Result<T> = std::result::Result<T, Failure>;

/// Request to read one key.
pub fn get(key: &str) -> RangeRequest {
    RangeRequest { key: Blob::text(key), ..RangeRequest::default() }
}

/// Request to read all keys with a prefix.
pub fn list(prefix: &str) -> RangeRequest {
    RangeRequest {
        key: Blob::text(prefix),
        range_end: Blob::prefix_end(prefix),
        ..RangeRequest::default()
    }
}

/// Applies `change` if the modification revision of `key` equals `expected`; reads the key
/// otherwise.
pub fn swap(key: &str, expected: u64, change: RequestOp) -> TxnRequest {
    let compare = Compare {
        result: Relation::Equal,
        target: Target::Mod,
        key: Blob::text(key),
        mod_revision: Int(expected),
        ..Compare::default()
    };
    TxnRequest {
        compare: vec![compare],
        success: vec![change],
        failure: vec![RequestOp::RequestRange(get(key))],
    }
}

/// Writes a key and a guard if the modification revision of each is as expected; reads the key
/// otherwise.
///
/// The guard key has an empty value; writing it advances its revision.
pub fn guarded_put(guard: (&str, u64), key: &str, expected: u64, value: &[u8]) -> TxnRequest {
    let (guard, held) = guard;
    let mut request = swap(key, expected, put(key, value, 0));
    let condition = swap(guard, held, put(guard, &[], 0));
    request.compare.extend(condition.compare);
    request.success.extend(condition.success);
    request
}

/// Operation that writes a key; lease 0 means none.
pub fn put(key: &str, value: &[u8], lease: Lease) -> RequestOp {
    RequestOp::RequestPut(PutRequest {
        key: Blob::text(key),
        value: Blob(value.to_vec()),
        lease: Int(lease),
    })
}

/// Operation that deletes a key.
pub fn delete(key: &str) -> RequestOp {
    RequestOp::RequestDeleteRange(DeleteRequest {
        key: Blob::text(key),
        ..DeleteRequest::default()
    })
}

/// Request for a lease; `time` is rounded up to whole seconds, the unit of the store.
pub fn grant(time: Duration) -> LeaseRequest {
    let seconds = time.as_millis().div_ceil(1000).max(1);
    LeaseRequest { ttl: Int(u64::try_from(seconds).unwrap_or(u64::MAX)), id: Int(0) }
}

/// Converts the answer to a compare-and-swap.
pub fn swap_reply(answer: TxnResponse) -> Result<Reply> {
    let revision = answer.header.revision.0;
    if answer.succeeded {
        return Ok(Reply::Changed(revision));
    }
    match answer.responses.into_iter().next() {
        Some(ResponseOp::ResponseRange(range)) => {
            let entry = range.kvs.into_iter().next().map(entry).transpose()?;
            Ok(Reply::Conflict(entry, revision))
        }
        _ => Err(Failure::Lost),
    }
}

/// Converts a key and its value; all keys of the product are UTF-8, so any other is an error.
pub fn entry(kv: KeyValue) -> Result<Entry> {
    Ok(Entry {
        key: text(kv.key)?,
        value: kv.value.0.into(),
        revision: kv.mod_revision.0,
        lease: kv.lease.0,
    })
}

/// Converts a change reported by a watch.
pub fn change(change: Change) -> Result<store::Change> {
    match change.kind {
        Kind::Put => entry(change.kv).map(store::Change::Put),
        Kind::Delete => {
            let revision = change.kv.mod_revision.0;
            Ok(store::Change::Deleted { key: text(change.kv.key)?, revision })
        }
    }
}

fn text(blob: Blob) -> Result<CompactString> {
    CompactString::from_utf8(blob.0).map_err(|_not_text| Failure::Lost)
}
