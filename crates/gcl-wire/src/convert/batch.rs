//! Conversion of statement batches.

use super::{Error, Result};
use crate::generated::{
    Batch as WireBatch, Bind, Execute, Prepared as WirePrepared, Step as WireStep, Value,
    step::Kind,
};
use gcl_core::batch::{Batch, Prepared, Step, Target};

pub(super) fn encode(batch: Batch) -> WireBatch {
    match batch {
        Batch::Simple(sql) => WireBatch { simple: Some(sql), ..WireBatch::default() },
        Batch::Extended { statements, steps } => WireBatch {
            simple: None,
            statements: statements.into_iter().map(encode_prepared).collect(),
            steps: steps.into_iter().map(encode_step).collect(),
        },
    }
}

fn encode_prepared(prepared: Prepared) -> WirePrepared {
    WirePrepared { sql: prepared.sql, types: prepared.types }
}

fn index(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

fn encode_step(step: Step) -> WireStep {
    let kind = match step {
        Step::Parse(statement) => Kind::Parse(index(statement)),
        Step::Bind { portal, statement, formats, parameters, results } => Kind::Bind(Bind {
            portal: portal.into_string(),
            statement: index(statement),
            formats: formats.into_iter().map(i32::from).collect(),
            parameters: parameters.into_iter().map(|bytes| Value { bytes }).collect(),
            results: results.into_iter().map(i32::from).collect(),
        }),
        Step::Describe(Target::Statement(statement)) => Kind::DescribeStatement(index(statement)),
        Step::Describe(Target::Portal(portal)) => Kind::DescribePortal(portal.into_string()),
        Step::Execute { portal, max_rows } => {
            Kind::Execute(Execute { portal: portal.into_string(), max_rows })
        }
        Step::ClosePortal(portal) => Kind::ClosePortal(portal.into_string()),
        Step::CloseStatement => Kind::CloseStatement(true),
    };
    WireStep { kind: Some(kind) }
}

pub(super) fn decode(batch: WireBatch) -> Result<Batch> {
    if let Some(sql) = batch.simple {
        return Ok(Batch::Simple(sql));
    }
    let statements: Vec<Prepared> = batch.statements.into_iter().map(decode_prepared).collect();
    let statement_count = statements.len();
    let steps = batch.steps.into_iter().map(|step| decode_step(step, statement_count));
    let steps = steps.collect::<Result<Vec<Step>>>()?;
    Ok(Batch::Extended { statements, steps })
}

fn decode_prepared(prepared: WirePrepared) -> Prepared {
    Prepared { sql: prepared.sql, types: prepared.types }
}

fn decode_step(step: WireStep, statement_count: usize) -> Result<Step> {
    Ok(match step.kind.ok_or(Error::Missing("step"))? {
        Kind::Parse(statement) => Step::Parse(decode_index(statement, statement_count)?),
        Kind::Bind(bind) => decode_bind(bind, statement_count)?,
        Kind::DescribeStatement(statement) => {
            Step::Describe(Target::Statement(decode_index(statement, statement_count)?))
        }
        Kind::DescribePortal(portal) => Step::Describe(Target::Portal(portal.into())),
        Kind::Execute(Execute { portal, max_rows }) => {
            Step::Execute { portal: portal.into(), max_rows }
        }
        Kind::ClosePortal(portal) => Step::ClosePortal(portal.into()),
        Kind::CloseStatement(_) => Step::CloseStatement,
    })
}

fn decode_index(statement: u32, statement_count: usize) -> Result<usize> {
    let statement = statement as usize;
    if statement < statement_count { Ok(statement) } else { Err(Error::Invalid("statement index")) }
}

fn decode_bind(bind: Bind, statement_count: usize) -> Result<Step> {
    Ok(Step::Bind {
        portal: bind.portal.into(),
        statement: decode_index(bind.statement, statement_count)?,
        formats: decode_formats(bind.formats)?,
        parameters: bind.parameters.into_iter().map(|value| value.bytes).collect(),
        results: decode_formats(bind.results)?,
    })
}

fn decode_formats(formats: Vec<i32>) -> Result<Vec<i16>> {
    let formats = formats.into_iter().map(i16::try_from);
    let formats = formats.collect::<std::result::Result<Vec<i16>, _>>();
    formats.map_err(|_range| Error::Invalid("format code"))
}
