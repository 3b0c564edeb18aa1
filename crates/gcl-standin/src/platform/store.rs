//! The key-value store: revisions, transactions, leases and history. Does no I/O.

use gcl_store::gateway::{
    Blob, Change, Compare, DeleteRequest, DeleteResponse, Header, Int, KeyValue, Kind,
    LeaseRequest, LeaseResponse, PutRequest, PutResponse, RangeRequest, RangeResponse, Relation,
    RequestOp, ResponseOp, Target, TxnRequest, TxnResponse,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Maximum size of a value in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Errors of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The lease does not exist.
    NoLease,
    /// The revision has been compacted.
    Compacted,
    /// The revision is in the future.
    Future,
    /// The value is too large.
    TooLarge,
}

/// The outcome of a call.
pub type Result<T> = std::result::Result<T, Error>;

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expiry: Instant,
}

/// The keys, their history and the leases.
#[derive(Clone, Debug)]
pub struct Store {
    revision: u64,
    compacted: u64,
    keys: BTreeMap<Blob, KeyValue>,
    history: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl Default for Store {
    /// An empty store at revision one, as in etcd.
    fn default() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
        }
    }
}

/// Whether a range contains a key.
#[must_use]
pub fn contains(start: &Blob, end: &Blob, key: &Blob) -> bool {
    if end.is_empty() {
        return key == start;
    }
    key >= start && (end.0 == [0] || key < end)
}

impl Store {
    /// The revision of the last change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Discards the history up to a revision.
    pub fn compact(&mut self, revision: u64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        let kept = self.compacted;
        self.history.retain(|change| change.kv.mod_revision.0 > kept);
    }

    /// Reads a range of keys, `stale` revisions behind the newest.
    ///
    /// # Errors
    /// The requested revision has been compacted or is in the future.
    pub fn range(&self, request: &RangeRequest, stale: u64) -> Result<RangeResponse> {
        let newest = self.revision.saturating_sub(stale).max(self.compacted);
        let revision = if request.revision.is_zero() { newest } else { request.revision.0 };
        if revision < self.compacted {
            return Err(Error::Compacted);
        }
        if revision > self.revision {
            return Err(Error::Future);
        }
        let keys = self.keys_at(revision);
        let keys_in_range =
            keys.into_values().filter(|kv| contains(&request.key, &request.range_end, &kv.key));
        let kvs: Vec<KeyValue> = keys_in_range.collect();
        let count = Int(kvs.len() as u64);
        Ok(RangeResponse { header: header(newest), kvs, count })
    }

    fn keys_at(&self, revision: u64) -> BTreeMap<Blob, KeyValue> {
        if revision == self.revision {
            return self.keys.clone();
        }
        let mut keys = self.keys.clone();
        keys.retain(|_, kv| kv.mod_revision.0 <= revision);
        for change in self.history.iter().filter(|change| change.kv.mod_revision.0 <= revision) {
            match change.kind {
                Kind::Put => keys.insert(change.kv.key.clone(), change.kv.clone()),
                Kind::Delete => keys.remove(&change.kv.key),
            };
        }
        keys
    }

    /// Writes a key.
    ///
    /// # Errors
    /// The lease does not exist or the value is too large.
    pub fn put(&mut self, request: &PutRequest) -> Result<PutResponse> {
        self.check(request)?;
        self.revision += 1;
        self.write(request);
        Ok(PutResponse { header: header(self.revision) })
    }

    fn check(&self, request: &PutRequest) -> Result<()> {
        if request.value.0.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge);
        }
        let valid = request.lease.is_zero() || self.leases.contains_key(&request.lease.0);
        if valid { Ok(()) } else { Err(Error::NoLease) }
    }

    fn write(&mut self, request: &PutRequest) {
        let old = self.keys.get(&request.key);
        let kv = KeyValue {
            key: request.key.clone(),
            create_revision: old.map_or(Int(self.revision), |old| old.create_revision),
            mod_revision: Int(self.revision),
            version: Int(old.map_or(1, |old| old.version.0 + 1)),
            value: request.value.clone(),
            lease: request.lease,
        };
        self.history.push(Change { kind: Kind::Put, kv: kv.clone() });
        self.keys.insert(kv.key.clone(), kv);
    }

    /// Removes a range of keys. The revision grows only if a key was removed.
    pub fn delete(&mut self, request: &DeleteRequest) -> DeleteResponse {
        let keys = self.keys_in_range(&request.key, &request.range_end);
        if !keys.is_empty() {
            self.revision += 1;
            self.remove(&keys);
        }
        DeleteResponse { header: header(self.revision), deleted: Int(keys.len() as u64) }
    }

    fn keys_in_range(&self, start: &Blob, end: &Blob) -> Vec<Blob> {
        self.keys.keys().filter(|key| contains(start, end, key)).cloned().collect()
    }

    fn remove(&mut self, keys: &[Blob]) {
        for key in keys {
            self.keys.remove(key);
            let kv = KeyValue {
                key: key.clone(),
                mod_revision: Int(self.revision),
                ..KeyValue::default()
            };
            self.history.push(Change { kind: Kind::Delete, kv });
        }
    }

    /// Executes one of two lists of operations at one revision, depending on the comparisons.
    ///
    /// # Errors
    /// An operation is rejected. Writes are checked before any operation runs, so none takes effect
    /// then.
    pub fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse> {
        let succeeded = request.compare.iter().all(|compare| self.compare(compare));
        let operations = if succeeded { &request.success } else { &request.failure };
        for operation in operations {
            if let RequestOp::RequestPut(put) = operation {
                self.check(put)?;
            }
        }
        let changes = operations.iter().any(|operation| self.modifies(operation));
        self.revision += u64::from(changes);
        let done = operations.iter().map(|operation| self.execute(operation));
        let responses = done.collect::<Result<Vec<_>>>()?;
        Ok(TxnResponse { header: header(self.revision), succeeded, responses })
    }

    fn modifies(&self, operation: &RequestOp) -> bool {
        match operation {
            RequestOp::RequestRange(_) => false,
            RequestOp::RequestPut(_) => true,
            RequestOp::RequestDeleteRange(delete) => {
                !self.keys_in_range(&delete.key, &delete.range_end).is_empty()
            }
        }
    }

    fn execute(&mut self, operation: &RequestOp) -> Result<ResponseOp> {
        Ok(match operation {
            RequestOp::RequestRange(range) => ResponseOp::ResponseRange(self.range(range, 0)?),
            RequestOp::RequestPut(put) => {
                self.write(put);
                ResponseOp::ResponsePut(PutResponse { header: header(self.revision) })
            }
            RequestOp::RequestDeleteRange(delete) => {
                let keys = self.keys_in_range(&delete.key, &delete.range_end);
                self.remove(&keys);
                let deleted = Int(keys.len() as u64);
                ResponseOp::ResponseDeleteRange(DeleteResponse {
                    header: header(self.revision),
                    deleted,
                })
            }
        })
    }

    fn compare(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let (have, want) = match compare.target {
            Target::Version => (kv.map(|kv| kv.version), compare.version),
            Target::Create => (kv.map(|kv| kv.create_revision), compare.create_revision),
            Target::Mod => (kv.map(|kv| kv.mod_revision), compare.mod_revision),
        };
        let have = have.unwrap_or_default();
        match compare.result {
            Relation::Equal => have == want,
            Relation::Greater => have > want,
            Relation::Less => have < want,
            Relation::NotEqual => have != want,
        }
    }

    /// Creates a lease.
    pub fn grant(&mut self, request: LeaseRequest, now: Instant) -> LeaseResponse {
        let id = if request.id.is_zero() { self.last_lease + 1 } else { request.id.0 };
        self.last_lease = self.last_lease.max(id);
        let ttl = Duration::from_secs(request.ttl.0.max(1));
        self.leases.insert(id, Lease { ttl, expiry: now + ttl });
        LeaseResponse { header: header(self.revision), id: Int(id), ttl: Int(ttl.as_secs()) }
    }

    /// Renews a lease. The time to live in the response is zero if the lease does not exist.
    pub fn renew(&mut self, request: LeaseRequest, now: Instant) -> LeaseResponse {
        let lease = self.leases.get_mut(&request.id.0);
        let ttl = lease.map_or(Int(0), |lease| {
            lease.expiry = now + lease.ttl;
            Int(lease.ttl.as_secs())
        });
        LeaseResponse { header: header(self.revision), id: request.id, ttl }
    }

    /// Revokes a lease and removes its keys.
    ///
    /// # Errors
    /// The lease does not exist.
    pub fn revoke(&mut self, lease: u64) -> Result<LeaseResponse> {
        self.leases.get(&lease).ok_or(Error::NoLease)?;
        self.release(lease);
        Ok(LeaseResponse { header: header(self.revision), ..LeaseResponse::default() })
    }

    fn release(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.keys.values().filter(|kv| kv.lease.0 == lease);
        let keys: Vec<Blob> = held.map(|kv| kv.key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            self.remove(&keys);
        }
    }

    /// Removes expired leases with their keys. Returns whether any keys were removed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.revision;
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expiry <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.release(lease);
        }
        self.revision != before
    }

    /// The changes in a range, starting at a revision.
    ///
    /// # Errors
    /// [`Error::Compacted`] if some of these changes may have been discarded.
    pub fn changes_from(&self, start: &Blob, end: &Blob, from: u64) -> Result<Vec<Change>> {
        if from <= self.compacted {
            return Err(Error::Compacted);
        }
        let first = self.history.partition_point(|change| change.kv.mod_revision.0 < from);
        let later = self.history[first..].iter();
        Ok(later.filter(|change| contains(start, end, &change.kv.key)).cloned().collect())
    }

    /// The first revision whose history is available.
    #[must_use]
    pub const fn first(&self) -> u64 {
        self.compacted + 1
    }
}

const fn header(revision: u64) -> Header {
    Header { revision: Int(revision) }
}
