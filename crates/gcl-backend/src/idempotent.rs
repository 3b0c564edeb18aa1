//! Writes with an id: recorded in the transaction that they make, and not run twice.
//!
//! The table `goldcrest_request` holds a row for each id with the command tags that answered it. The
//! row is inserted first, so that its key keeps a second run of the same id out.

use crate::{
    answer::{self, Part},
    data::{self, Broken, Data, Result, Run},
    plan::Plan,
    prelude::{Prelude, literal},
};
use compact_str::{CompactString, ToCompactString};
use gcl_core::{
    batch::{Batch, Frame, Status, Step},
    id,
    server::Completion,
};
use std::io;

/// Creates the table of ids.
const CREATE: &str =
    "CREATE TABLE IF NOT EXISTS goldcrest_request (id text PRIMARY KEY, answer text NOT NULL)";
/// SQLSTATE of a key that exists.
const DUPLICATE: &str = "23505";
/// SQLSTATE of a table that does not exist.
const NO_TABLE: &str = "42P01";
/// Attempts to insert the id: one to find the table missing, one to lose the race to create it.
const ATTEMPTS: usize = 3;

/// Runs a batch outside a transaction in one of its own, together with the record of its id.
pub async fn record(
    data: &mut Data,
    mut prelude: Option<Prelude>,
    run: &Run,
    id: id::Idempotency,
) -> Result<Completion> {
    let mut last_error = None;
    for _ in 0..ATTEMPTS {
        let mut plan = Plan::default();
        let pipelined = is_single(&run.batch);
        if let Err(error) = open(data, &mut plan, prelude.as_ref(), run, id, pipelined) {
            return Ok(data.refusal("22021", &error.to_string()));
        }
        let mut parts = data.send(prelude.take(), plan).await?;
        let opening = parts.remove(0);
        learn_table(data, &opening);
        let Some(code) = opening.error.clone() else {
            return finish(data, run, id, parts.pop()).await;
        };
        query(data, "ROLLBACK").await?;
        match code.as_str() {
            DUPLICATE => {
                if let Some(tags) = stored(data, id).await? {
                    return repeat(data, run, &tags).await;
                }
            }
            NO_TABLE => {
                let created = query(data, CREATE).await?;
                if let Some(code) = created.error.as_deref().filter(|code| *code != DUPLICATE) {
                    let code = code.to_compact_string();
                    return Ok(refused(data, &created, code));
                }
            }
            _ => return Ok(refused(data, &opening, code)),
        }
        last_error = Some((opening, code));
    }
    let Some((opening, code)) = last_error else {
        return Err(Broken { sent: false });
    };
    Ok(refused(data, &opening, code))
}

fn open(
    data: &mut Data,
    plan: &mut Plan,
    prelude: Option<&Prelude>,
    run: &Run,
    id: id::Idempotency,
    pipelined: bool,
) -> io::Result<()> {
    if let Some(prelude) = prelude {
        plan.query(&prelude.sql)?;
    }
    plan.query(&format!("BEGIN; {}", insert(id, "")))?;
    if pipelined {
        plan.batch(&run.batch, &mut data.cache)?;
    }
    Ok(())
}

/// Runs the batch if it did not run yet, stores its tags and commits.
async fn finish(
    data: &mut Data,
    run: &Run,
    id: id::Idempotency,
    batch: Option<Part>,
) -> Result<Completion> {
    let part = if let Some(part) = batch {
        part
    } else {
        let mut plan = Plan::default();
        if let Err(error) = plan.batch(&run.batch, &mut data.cache) {
            query(data, "ROLLBACK").await?;
            return Ok(data.refusal("22021", &error.to_string()));
        }
        data::last(data.send(None, plan).await?)?
    };
    data.learn(&part);
    match part.status {
        // The batch ended the transaction by itself.
        Status::Idle => Ok(data.ended(part)),
        Status::Failed => {
            let rolled_back = query(data, "ROLLBACK").await.map_err(after)?;
            Ok(data.ended(Part { status: rolled_back.status, ..part }))
        }
        Status::Open => commit_tags(data, id, part).await,
    }
}

async fn commit_tags(data: &mut Data, id: id::Idempotency, part: Part) -> Result<Completion> {
    let (tags, name) = (literal(&part.tags.join("\n")), name(id));
    let commit =
        format!("UPDATE goldcrest_request SET answer = {tags} WHERE id = '{name}'; COMMIT");
    let committed = query(data, &commit).await.map_err(after)?;
    let Some(error) = committed.error_frame().cloned() else {
        return Ok(data.ended(Part { status: committed.status, ..part }));
    };
    let mut failed = Part { status: committed.status, error: committed.error, ..part };
    if failed.status != Status::Idle {
        failed.status = query(data, "ROLLBACK").await.map_err(after)?.status;
    }
    replace_completion(&mut failed.frames, error);
    Ok(data.ended(failed))
}

/// Runs a batch that commits the open transaction, with the record of its id before it.
///
/// A commit after a failed insert rolls back, so both can be sent at once.
pub async fn commit(
    data: &mut Data,
    prelude: Option<Prelude>,
    run: &Run,
    id: id::Idempotency,
) -> Result<Completion> {
    let mut plan = Plan::default();
    if let Err(error) = open_commit(data, &mut plan, prelude.as_ref(), run, id) {
        return Ok(data.refusal("22021", &error.to_string()));
    }
    let mut parts = data.send(prelude, plan).await?;
    let recorded = parts.remove(0);
    let mut part = data::last(parts)?;
    learn_table(data, &recorded);
    let Some(code) = recorded.error.clone() else {
        return Ok(data.ended(part));
    };
    if code == DUPLICATE
        && let Some(tags) = stored(data, id).await.map_err(after)?
    {
        let tag = tags.last().map_or("COMMIT", CompactString::as_str);
        replace_completion(&mut part.frames, data::complete_frame(tag));
        return Ok(data.ended(part));
    }
    if let Some(error) = recorded.error_frame() {
        replace_completion(&mut part.frames, error.clone());
    }
    part.error = Some(code);
    Ok(data.ended(part))
}

fn open_commit(
    data: &mut Data,
    plan: &mut Plan,
    prelude: Option<&Prelude>,
    run: &Run,
    id: id::Idempotency,
) -> io::Result<()> {
    if let Some(prelude) = prelude {
        plan.query(&prelude.sql)?;
    }
    let insert = insert(id, "COMMIT");
    if data.shared.has_table(&data.server) {
        plan.query(&insert)?;
    } else {
        plan.query(&format!("{CREATE}; {insert}"))?;
    }
    plan.batch(&run.batch, &mut data.cache)
}

/// The tags stored for an id.
async fn stored(data: &mut Data, id: id::Idempotency) -> Result<Option<Vec<CompactString>>> {
    let name = name(id);
    let select = format!("SELECT answer FROM goldcrest_request WHERE id = '{name}'");
    let part = query(data, &select).await.map_err(after)?;
    let row = part.frames.iter().find(|frame| frame.tag == answer::ROW).and_then(answer::row);
    let tags = row.and_then(|row| row.into_iter().next()).flatten();
    Ok(tags.map(|tags| tags.lines().map(CompactString::from).collect()))
}

/// Answers a batch from the tags stored; its statements are described but not run.
async fn repeat(data: &mut Data, run: &Run, tags: &[CompactString]) -> Result<Completion> {
    let tag = |index: usize| tags.get(index).map_or("", CompactString::as_str);
    let Batch::Extended { statements, steps } = &run.batch else {
        let frames = tags.iter().map(|tag| data::complete_frame(tag)).collect();
        let part = Part { frames, status: data.session.status, ..Part::default() };
        return Ok(data.ended(part));
    };
    let mut plan = Plan::default();
    let given = |index: usize| Some(data::complete_frame(tag(index)));
    if plan.extended(statements, steps, &mut data.cache, given).is_err() {
        return Err(Broken { sent: true });
    }
    let part = data::last(data.send(None, plan).await.map_err(after)?)?;
    data.learn(&part);
    Ok(data.ended(part))
}

/// Learns from an insert whether the server has the table.
fn learn_table(data: &Data, inserted: &Part) {
    match inserted.error.as_deref() {
        None | Some(DUPLICATE) => data.shared.set_table(&data.server, true),
        Some(NO_TABLE) => data.shared.set_table(&data.server, false),
        Some(_) => {}
    }
}

/// Runs a statement of this module's own.
async fn query(data: &mut Data, sql: &str) -> Result<Part> {
    let mut plan = Plan::default();
    plan.query(sql).map_err(|_invalid| Broken { sent: false })?;
    data::last(data.send(None, plan).await?)
}

/// The account of a batch whose id could not be recorded.
fn refused(data: &Data, part: &Part, code: CompactString) -> Completion {
    let frames = part.error_frame().cloned().into_iter().collect();
    let status = data.session.status;
    data.ended(Part { frames, status, error: Some(code), ..Part::default() })
}

/// A break after the batch ran, or after its id was found to have run before.
const fn after(_broken: Broken) -> Broken {
    Broken { sent: true }
}

/// Puts a message in the place of the last completion and what follows it.
fn replace_completion(frames: &mut Vec<Frame>, frame: Frame) {
    let is_end = |frame: &Frame| frame.tag == answer::COMPLETE || frame.tag == answer::ERROR;
    if let Some(at) = frames.iter().rposition(is_end) {
        frames.truncate(at);
    }
    frames.push(frame);
}

fn insert(id: id::Idempotency, answer: &str) -> String {
    format!("INSERT INTO goldcrest_request (id, answer) VALUES ('{}', '{answer}')", name(id))
}

/// The id as a UUID.
fn name(id: id::Idempotency) -> String {
    let digits = format!("{id:032x}");
    [&digits[..8], &digits[8..12], &digits[12..16], &digits[16..20], &digits[20..]].join("-")
}

/// Whether a batch is a `COMMIT` and nothing else.
pub fn is_commit(batch: &Batch) -> bool {
    let is_commit = |sql: &str| matches!(first_word(sql).as_deref(), Some("COMMIT" | "END"));
    match batch {
        Batch::Simple(sql) => is_commit(sql) && !has_more(sql),
        Batch::Extended { statements, steps } => {
            let executions = steps.iter().filter(|step| matches!(step, Step::Execute { .. }));
            executions.count() == 1
                && statements.len() == 1
                && statements.iter().all(|prepared| is_commit(&prepared.sql))
        }
    }
}

/// Whether a batch does nothing in a failed transaction, so that it can be sent before it is known
/// whether its id is new.
fn is_single(batch: &Batch) -> bool {
    let ends = |sql: &str| {
        let word = first_word(sql);
        word.is_none_or(|word| {
            ["COMMIT", "END", "ROLLBACK", "ABORT", "PREPARE"].contains(&word.as_str())
        })
    };
    match batch {
        Batch::Simple(sql) => !ends(sql) && !has_more(sql),
        Batch::Extended { statements, .. } => {
            !statements.iter().any(|prepared| ends(&prepared.sql))
        }
    }
}

/// Whether text may hold more than one statement.
fn has_more(sql: &str) -> bool {
    sql.trim_end().trim_end_matches(';').contains(';')
}

/// The first word of a statement in upper case, after its leading comments.
fn first_word(mut sql: &str) -> Option<String> {
    loop {
        sql = sql.trim_start();
        if let Some(rest) = sql.strip_prefix("--") {
            sql = rest.split_once('\n')?.1;
        } else if let Some(rest) = sql.strip_prefix("/*") {
            sql = rest.split_once("*/")?.1;
        } else {
            let end = sql.find(|c: char| !c.is_ascii_alphabetic()).unwrap_or(sql.len());
            return (end > 0).then(|| sql[..end].to_ascii_uppercase());
        }
    }
}
