//! The record of a database's members in the store.
//!
//! A daemon that starts while members are missing knows neither them nor how many there are. The
//! record tells it. Daemons that saw a change write it, ranked like those that move primaries. A
//! member that leaves the record has been dropped by a daemon that found its log superseded.

use super::{CatchUp, LostLog, Member};
use crate::{
    effect::Effects,
    failover, lease,
    line::Line,
    state::State as Daemon,
    store::{Call, Item, Result, Topic, Written},
    timer,
};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use gcl_core::{id, time::Now};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefix of the keys of members.
pub const PREFIX: &str = "goldcrest/members/";

/// The members of a database, as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The established members, with the start times in Unix milliseconds of the incarnations that have
    /// their logs.
    pub servers: IndexMap<id::Server, u64>,
    /// The members that are joining.
    #[serde(default)]
    pub joining: IndexMap<id::Server, u64>,
}

impl Record {
    fn new(members: &IndexMap<id::Server, Member>) -> Self {
        let mut record = Self::default();
        for (server, member) in members {
            let is_joining = member.joining.is_some();
            let part = if is_joining { &mut record.joining } else { &mut record.servers };
            part.insert(server.clone(), member.started_ms);
        }
        record
    }

    fn contains(&self, server: &id::Server) -> bool {
        self.servers.contains_key(server) || self.joining.contains_key(server)
    }
}

/// What is known of a database's record.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The record as it was last read.
    known: Option<Record>,
    /// The revision of the key, zero for absent.
    revision: id::Revision,
    /// The write in flight.
    call: Option<id::Call>,
    /// Since when the members differ from the record.
    differs_since: Option<Duration>,
    /// When this daemon last wrote it.
    written_at: Option<Duration>,
}

impl State {
    /// Whether the store has a record.
    pub(super) const fn exists(&self) -> bool {
        self.known.is_some()
    }
}

/// The key of a database's record.
#[must_use]
pub fn key(database: &str) -> CompactString {
    format_compact!("{PREFIX}{database}")
}

/// Writes the members to the store if they differ from the record, in the order of the daemons'
/// ranks.
pub(super) fn write(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let rank_delay = failover::rank_delay(daemon, database);
    let may_write = daemon.lease.is_valid(now.mono);
    let Some(group) = daemon.groups.get_mut(database) else {
        return;
    };
    let members = &mut group.members;
    let record = Record::new(&members.servers);
    if members.servers.is_empty() || members.record.known.as_ref() == Some(&record) {
        members.record.differs_since = None;
        return;
    }
    let since = *members.record.differs_since.get_or_insert(now.mono);
    let last = members.record.written_at.map(|at| at + lease::RETRY_INTERVAL);
    let due = (since + rank_delay).max(last.unwrap_or_default());
    if now.mono < due || members.record.call.is_some() || !may_write {
        let at = due.max(now.mono + super::POLL_INTERVAL);
        return daemon.timers.arm_by(timer::Key::Failover(database.clone()), at);
    }
    let value = match serde_json::to_vec(&record) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            let line = Line::state_change("members cannot be encoded").with("database", database);
            return fx.log(line.with("error", error));
        }
    };
    let expected = members.record.revision;
    let line = Line::state_change("members recorded").with("database", database);
    fx.log(line.with("servers", record.servers.len()).with("expected", expected));
    let call = daemon.next_id();
    if let Some(group) = daemon.groups.get_mut(database) {
        let record = &mut group.members.record;
        (record.call, record.written_at) = (Some(call), Some(now.mono));
    }
    fx.store(Call::Write { call, key: key(database), expected, value, lease: 0 });
}

/// Handles the outcome of a write of a record. Returns whether the call was one.
pub fn on_written(
    daemon: &mut Daemon,
    fx: &mut Effects,
    call: id::Call,
    result: &Result<Written>,
) -> bool {
    let mut groups = daemon.groups.iter_mut();
    let Some((database, group)) = groups.find(|(_, it)| it.members.record.call == Some(call))
    else {
        return false;
    };
    group.members.record.call = None;
    if !matches!(result, Ok(Written::Done(_))) {
        let line = Line::state_change("members not recorded").with("database", database);
        fx.log(line.with("result", format_args!("{result:?}")));
        fx.store(Call::Read(Topic::Coordination));
    }
    true
}

/// Handles a record as it was read. Members that another daemon knows are added, and those that
/// another daemon has dropped are removed.
pub fn on_key(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &str, item: &Item) {
    let record = match item.value.as_deref().map(serde_json::from_slice::<Record>).transpose() {
        Ok(record) => record,
        Err(error) => {
            let line = Line::state_change("members unreadable").with("database", database);
            fx.log(line.with("error", error));
            None
        }
    };
    let directory = &daemon.directory;
    let group = daemon.groups.entry(id::Database::from(database)).or_default();
    let state = &mut group.members.record;
    if item.revision < state.revision {
        return;
    }
    state.revision = item.value.as_ref().map_or(0, |_| item.revision);
    let before = std::mem::replace(&mut state.known, record.clone());
    let Some(record) = record else {
        return;
    };
    let servers = &mut group.members.servers;
    let previous = before.as_ref();
    let was_established =
        |server: &id::Server| previous.is_some_and(|it| it.servers.contains_key(server));
    let dropped = |server: &id::Server| {
        previous.is_some_and(|it| it.contains(server)) && !record.contains(server)
    };
    servers.retain(|server, _| directory.contains_key(server) || !dropped(server));
    for (server, member) in servers.iter_mut() {
        // One that was dropped and has returned since joins like a new one.
        let rejoined = was_established(server) && !record.servers.contains_key(server);
        if let (Some(entry), true) = (directory.get(server), rejoined) {
            let joining = Some(CatchUp::new(now));
            *member = Member { started_ms: entry.started_ms, joining, lost: None };
        }
    }
    let established =
        record.servers.iter().map(|(server, started_ms)| (server, *started_ms, false));
    let joining = record.joining.iter().map(|(server, started_ms)| (server, *started_ms, true));
    for (server, started_ms, is_joining) in established.chain(joining) {
        let listed = directory.get(server).map(|entry| entry.started_ms);
        let recorded = Member {
            started_ms,
            joining: is_joining.then(|| CatchUp::new(now)),
            lost: (listed != Some(started_ms)).then(|| LostLog::new(now, None, true)),
        };
        let known = servers.entry(server.clone()).or_insert(recorded);
        if !is_joining {
            known.joining = None;
        }
        // Another daemon has seen that the listed incarnation has the log, or that it has not.
        let is_accepted = listed == Some(started_ms) && known.started_ms != started_ms;
        if is_accepted || (before.is_none() && known.lost.is_none()) {
            *known = recorded;
        }
    }
}

/// Handles a full read of the store's keys without the record, which a restore has removed.
pub fn on_unlisted(daemon: &mut Daemon, listed: impl Fn(&str) -> bool) {
    for (database, group) in &mut daemon.groups {
        if !listed(&key(database)) {
            (group.members.record.known, group.members.record.revision) = (None, 0);
        }
    }
}
