//! A fake of the platform's key-value store with a global revision, compare-and-swap and leases.

use gcl_core::{
    id,
    store::{Call, Entry, Event, Lease, Op, Reply},
};
use indexmap::IndexMap;
use std::time::Duration;

/// The contents of the store, with counts of the calls.
#[derive(Default)]
pub struct Platform {
    pub entries: IndexMap<String, Entry>,
    pub writes: u64,
    pub reads: u64,
    leases: IndexMap<Lease, (Duration, Duration)>,
    revision: id::Revision,
}

impl Platform {
    /// Executes a call at time `now` and returns its response; watches and lists of VMs have none.
    pub fn answer(&mut self, now: Duration, call: &Call) -> Option<Event> {
        self.expire(now);
        let reply = match &call.op {
            Op::Get(key) => {
                self.reads += 1;
                Reply::Value(self.entries.get(key.as_str()).cloned(), self.revision)
            }
            Op::List(prefix) => {
                self.reads += 1;
                let found = self.entries.values().filter(|entry| entry.key.starts_with(&**prefix));
                Reply::List(found.cloned().collect(), self.revision)
            }
            Op::Put { key, expected, value, lease } => {
                self.writes += 1;
                let known = self.entries.get(key.as_str());
                if known.map_or(0, |entry| entry.revision) == *expected {
                    self.revision += 1;
                    let (key, value, revision) = (key.clone(), value.clone(), self.revision);
                    let entry = Entry { key, value, revision, lease: *lease };
                    self.entries.insert(entry.key.to_string(), entry);
                    Reply::Changed(self.revision)
                } else {
                    Reply::Conflict(known.cloned(), self.revision)
                }
            }
            Op::Grant(ttl) => {
                self.writes += 1;
                let lease = self.leases.len() as u64 + 1;
                self.leases.insert(lease, (*ttl, now + *ttl));
                Reply::Lease(lease)
            }
            Op::Renew(lease) => {
                self.writes += 1;
                match self.leases.get_mut(lease).filter(|(ttl, _)| !ttl.is_zero()) {
                    Some((ttl, expires_at)) => {
                        *expires_at = now + *ttl;
                        Reply::Lease(*lease)
                    }
                    None => Reply::NoLease,
                }
            }
            _ => return None,
        };
        Some(Event::Answered { call: call.call, result: Ok(reply) })
    }

    fn expire(&mut self, now: Duration) {
        for (lease, (ttl, expires_at)) in &mut self.leases {
            if *expires_at <= now && !ttl.is_zero() {
                *ttl = Duration::ZERO;
                self.entries.retain(|_, entry| entry.lease != *lease);
            }
        }
    }
}
