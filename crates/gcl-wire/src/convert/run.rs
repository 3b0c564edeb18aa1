//! Conversion of requests.

use super::{Error, Result, batch, join, mark_from_wire, mark_to_wire, millis, split};
use crate::generated::{Access as WireAccess, Run as WireRun, Scope as WireScope, Variable};
use bytes::Bytes;
use gcl_core::run::{Access, Run, Scope};
use std::time::Duration;

pub(super) fn encode(run: Run) -> WireRun {
    let (request_high, request_low) = split(run.request);
    let mut wire = WireRun {
        request_high,
        request_low,
        attempt: run.attempt,
        workspace: run.workspace.into_string(),
        database: run.database.into_string(),
        server: run.server.into_string(),
        revision: run.revision,
        ends: run.ends,
        batch: Some(batch::encode(run.batch)),
        idempotency: run.idempotency.map_or_else(Bytes::new, idempotency_bytes),
        repeatable: run.repeatable,
        budget_ms: millis(run.budget),
        ..WireRun::default()
    };
    wire.variables = run
        .variables
        .into_iter()
        .map(|(name, value)| Variable { name: name.into_string(), value: value.into_string() })
        .collect();
    encode_access(&mut wire, run.access);
    encode_scope(&mut wire, run.scope);
    wire
}

fn idempotency_bytes(id: u128) -> Bytes {
    Bytes::copy_from_slice(&id.to_be_bytes())
}

fn encode_access(wire: &mut WireRun, access: Access) {
    match access {
        Access::Write => wire.set_access(WireAccess::Write),
        Access::Strong => wire.set_access(WireAccess::Strong),
        Access::Replica { floor, max_age, wait } => {
            wire.set_access(WireAccess::Replica);
            wire.max_age_ms = millis(max_age);
            wire.wait_ms = millis(wait);
            wire.floor = floor.map(mark_to_wire);
        }
    }
}

fn encode_scope(wire: &mut WireRun, scope: Scope) {
    match scope {
        Scope::Single => wire.set_scope(WireScope::Single),
        Scope::Begin => wire.set_scope(WireScope::Begin),
        Scope::Within(transaction) => {
            wire.set_scope(WireScope::Within);
            (wire.transaction_high, wire.transaction_low) = split(transaction);
        }
    }
}

pub(super) fn decode(wire: WireRun) -> Result<Run> {
    let access = decode_access(&wire)?;
    let scope = decode_scope(&wire)?;
    let idempotency = decode_idempotency(&wire.idempotency)?;
    let variables = wire.variables.into_iter();
    Ok(Run {
        request: join(wire.request_high, wire.request_low),
        attempt: wire.attempt,
        workspace: wire.workspace.into(),
        database: wire.database.into(),
        server: wire.server.into(),
        revision: wire.revision,
        access,
        scope,
        ends: wire.ends,
        variables: variables.map(|pair| (pair.name.into(), pair.value.into())).collect(),
        batch: batch::decode(wire.batch.ok_or(Error::Missing("batch"))?)?,
        idempotency,
        repeatable: wire.repeatable,
        budget: Duration::from_millis(wire.budget_ms),
    })
}

fn decode_access(wire: &WireRun) -> Result<Access> {
    match WireAccess::try_from(wire.access) {
        Ok(WireAccess::Write) => Ok(Access::Write),
        Ok(WireAccess::Strong) => Ok(Access::Strong),
        Ok(WireAccess::Replica) => Ok(Access::Replica {
            floor: wire.floor.map(mark_from_wire),
            max_age: Duration::from_millis(wire.max_age_ms),
            wait: Duration::from_millis(wire.wait_ms),
        }),
        Err(_) => Err(Error::Invalid("access")),
    }
}

fn decode_scope(wire: &WireRun) -> Result<Scope> {
    match WireScope::try_from(wire.scope) {
        Ok(WireScope::Single) => Ok(Scope::Single),
        Ok(WireScope::Begin) => Ok(Scope::Begin),
        Ok(WireScope::Within) => {
            Ok(Scope::Within(join(wire.transaction_high, wire.transaction_low)))
        }
        Err(_) => Err(Error::Invalid("scope")),
    }
}

fn decode_idempotency(bytes: &Bytes) -> Result<Option<u128>> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let bytes = <[u8; 16]>::try_from(bytes.as_ref());
    let bytes = bytes.map_err(|_length| Error::Invalid("idempotency id"))?;
    Ok(Some(u128::from_be_bytes(bytes)))
}
