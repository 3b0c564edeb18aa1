//! Idempotent writes: the request's id is stored in the transaction of the write, so that a repeat
//! is answered without running again.
//!
//! The table `goldcrest_request` holds a row for each id with the command tags of its answer. The row
//! is inserted before the batch runs, so that its primary key excludes a concurrent run of the same
//! id.

use crate::{
    answer::{self, Answer},
    data::{self, Broken, Connection, Result, Run},
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
/// SQLSTATE of a unique violation.
const DUPLICATE: &str = "23505";
/// SQLSTATE of an undefined table.
const NO_TABLE: &str = "42P01";
/// Attempts to insert the id: the first may find the table missing, the second may lose the race to
/// create it.
const ATTEMPTS: usize = 3;

/// Runs a batch in a new transaction that also stores its id.
///
/// # Errors
/// The connection failed.
pub async fn record(
    connection: &mut Connection,
    mut prelude: Option<Prelude>,
    run: &Run,
    id: id::Idempotency,
) -> Result<Completion> {
    let mut last_error = None;
    for _ in 0..ATTEMPTS {
        let mut plan = Plan::default();
        let pipelined = is_pipelinable(&run.batch);
        if let Err(error) = plan_record(connection, &mut plan, prelude.as_ref(), run, id, pipelined)
        {
            return Ok(connection.error_completion("22021", &error.to_string()));
        }
        let mut answers = connection.send(prelude.take(), plan).await?;
        let inserted = answers.remove(0);
        update_has_table(connection, &inserted);
        let Some(code) = inserted.error.clone() else {
            return finish(connection, run, id, answers.pop()).await;
        };
        query(connection, "ROLLBACK").await?;
        match code.as_str() {
            DUPLICATE => {
                if let Some(tags) = stored_tags(connection, id).await? {
                    return answer_repeat(connection, run, &tags).await;
                }
            }
            NO_TABLE => {
                let created = query(connection, CREATE).await?;
                if let Some(code) = created.error.as_deref().filter(|code| *code != DUPLICATE) {
                    let code = code.to_compact_string();
                    return Ok(insert_failure(connection, &created, code));
                }
            }
            _ => return Ok(insert_failure(connection, &inserted, code)),
        }
        last_error = Some((inserted, code));
    }
    let Some((inserted, code)) = last_error else {
        return Err(Broken { sent: false });
    };
    Ok(insert_failure(connection, &inserted, code))
}

fn plan_record(
    connection: &mut Connection,
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
        plan.batch(&run.batch, &mut connection.cache)?;
    }
    Ok(())
}

/// Runs the batch unless it was pipelined, stores its tags and commits.
async fn finish(
    connection: &mut Connection,
    run: &Run,
    id: id::Idempotency,
    batch: Option<Answer>,
) -> Result<Completion> {
    let answer = if let Some(answer) = batch {
        answer
    } else {
        let mut plan = Plan::default();
        if let Err(error) = plan.batch(&run.batch, &mut connection.cache) {
            query(connection, "ROLLBACK").await?;
            return Ok(connection.error_completion("22021", &error.to_string()));
        }
        data::last_answer(connection.send(None, plan).await?)?
    };
    connection.observe(&answer);
    match answer.status {
        // The batch itself ended the transaction.
        Status::Idle => Ok(connection.completion(answer)),
        Status::Failed => {
            let rolled_back = query(connection, "ROLLBACK").await.map_err(as_sent)?;
            Ok(connection.completion(Answer { status: rolled_back.status, ..answer }))
        }
        Status::Open => commit_tags(connection, id, answer).await,
    }
}

async fn commit_tags(
    connection: &mut Connection,
    id: id::Idempotency,
    answer: Answer,
) -> Result<Completion> {
    let (tags, uuid) = (literal(&answer.tags.join("\n")), uuid(id));
    let commit =
        format!("UPDATE goldcrest_request SET answer = {tags} WHERE id = '{uuid}'; COMMIT");
    let committed = query(connection, &commit).await.map_err(as_sent)?;
    let Some(error) = committed.error_frame().cloned() else {
        return Ok(connection.completion(Answer { status: committed.status, ..answer }));
    };
    let mut failed = Answer { status: committed.status, error: committed.error, ..answer };
    if failed.status != Status::Idle {
        failed.status = query(connection, "ROLLBACK").await.map_err(as_sent)?.status;
    }
    replace_completion(&mut failed.frames, error);
    Ok(connection.completion(failed))
}

/// Runs a batch that commits the open transaction, after an insert of its id.
///
/// The server rolls back on `COMMIT` if the insert failed, so both are sent in one go.
///
/// # Errors
/// The connection failed.
pub async fn commit(
    connection: &mut Connection,
    prelude: Option<Prelude>,
    run: &Run,
    id: id::Idempotency,
) -> Result<Completion> {
    let mut plan = Plan::default();
    if let Err(error) = plan_commit(connection, &mut plan, prelude.as_ref(), run, id) {
        return Ok(connection.error_completion("22021", &error.to_string()));
    }
    let mut answers = connection.send(prelude, plan).await?;
    let recorded = answers.remove(0);
    let mut answer = data::last_answer(answers)?;
    update_has_table(connection, &recorded);
    let Some(code) = recorded.error.clone() else {
        return Ok(connection.completion(answer));
    };
    if code == DUPLICATE
        && let Some(tags) = stored_tags(connection, id).await.map_err(as_sent)?
    {
        let tag = tags.last().map_or("COMMIT", CompactString::as_str);
        replace_completion(&mut answer.frames, data::complete_frame(tag));
        return Ok(connection.completion(answer));
    }
    if let Some(error) = recorded.error_frame() {
        replace_completion(&mut answer.frames, error.clone());
    }
    answer.error = Some(code);
    Ok(connection.completion(answer))
}

fn plan_commit(
    connection: &mut Connection,
    plan: &mut Plan,
    prelude: Option<&Prelude>,
    run: &Run,
    id: id::Idempotency,
) -> io::Result<()> {
    if let Some(prelude) = prelude {
        plan.query(&prelude.sql)?;
    }
    let insert = insert(id, "COMMIT");
    if connection.shared.has_table(&connection.server) {
        plan.query(&insert)?;
    } else {
        plan.query(&format!("{CREATE}; {insert}"))?;
    }
    plan.batch(&run.batch, &mut connection.cache)
}

/// The tags stored for an id.
async fn stored_tags(
    connection: &mut Connection,
    id: id::Idempotency,
) -> Result<Option<Vec<CompactString>>> {
    let uuid = uuid(id);
    let select = format!("SELECT answer FROM goldcrest_request WHERE id = '{uuid}'");
    let answer = query(connection, &select).await.map_err(as_sent)?;
    let row = answer.frames.iter().find(|frame| frame.tag == answer::ROW).and_then(answer::row);
    let tags = row.and_then(|row| row.into_iter().next()).flatten();
    Ok(tags.map(|tags| tags.lines().map(CompactString::from).collect()))
}

/// Answers a repeated batch from the stored tags; its statements are described but not run.
async fn answer_repeat(
    connection: &mut Connection,
    run: &Run,
    tags: &[CompactString],
) -> Result<Completion> {
    let tag = |index: usize| tags.get(index).map_or("", CompactString::as_str);
    let Batch::Extended { statements, steps } = &run.batch else {
        let frames = tags.iter().map(|tag| data::complete_frame(tag)).collect();
        let answer = Answer { frames, status: connection.session.status, ..Answer::default() };
        return Ok(connection.completion(answer));
    };
    let mut plan = Plan::default();
    let synthetic = |index: usize| Some(data::complete_frame(tag(index)));
    if plan.extended(statements, steps, &mut connection.cache, synthetic).is_err() {
        return Err(Broken { sent: true });
    }
    let answer = data::last_answer(connection.send(None, plan).await.map_err(as_sent)?)?;
    connection.observe(&answer);
    Ok(connection.completion(answer))
}

/// Records whether the server has the table, as shown by the answer to an insert.
fn update_has_table(connection: &Connection, inserted: &Answer) {
    match inserted.error.as_deref() {
        None | Some(DUPLICATE) => connection.shared.set_has_table(&connection.server, true),
        Some(NO_TABLE) => connection.shared.set_has_table(&connection.server, false),
        Some(_) => {}
    }
}

/// Runs a statement that is not part of the caller's batch.
async fn query(connection: &mut Connection, sql: &str) -> Result<Answer> {
    let mut plan = Plan::default();
    plan.query(sql).map_err(|_invalid| Broken { sent: false })?;
    data::last_answer(connection.send(None, plan).await?)
}

/// The completion of a batch whose id could not be stored.
fn insert_failure(connection: &Connection, answer: &Answer, code: CompactString) -> Completion {
    let frames = answer.error_frame().cloned().into_iter().collect();
    let status = connection.session.status;
    connection.completion(Answer { frames, status, error: Some(code), ..Answer::default() })
}

/// Marks the batch as sent: it has run, or its id was found to have run before.
const fn as_sent(_broken: Broken) -> Broken {
    Broken { sent: true }
}

/// Replaces the last `CommandComplete` or `ErrorResponse`, and any messages after it.
fn replace_completion(frames: &mut Vec<Frame>, frame: Frame) {
    let is_end = |frame: &Frame| frame.tag == answer::COMPLETE || frame.tag == answer::ERROR;
    if let Some(at) = frames.iter().rposition(is_end) {
        frames.truncate(at);
    }
    frames.push(frame);
}

fn insert(id: id::Idempotency, answer: &str) -> String {
    format!("INSERT INTO goldcrest_request (id, answer) VALUES ('{}', '{answer}')", uuid(id))
}

/// Formats the id as a UUID.
fn uuid(id: id::Idempotency) -> String {
    let digits = format!("{id:032x}");
    [&digits[..8], &digits[8..12], &digits[12..16], &digits[16..20], &digits[20..]].join("-")
}

/// Whether a batch consists of a single `COMMIT`.
pub fn is_commit(batch: &Batch) -> bool {
    let is_commit = |sql: &str| matches!(first_keyword(sql).as_deref(), Some("COMMIT" | "END"));
    match batch {
        Batch::Simple(sql) => is_commit(sql) && !may_have_multiple(sql),
        Batch::Extended { statements, steps } => {
            let executions = steps.iter().filter(|step| matches!(step, Step::Execute { .. }));
            executions.count() == 1
                && statements.len() == 1
                && statements.iter().all(|prepared| is_commit(&prepared.sql))
        }
    }
}

/// Whether a batch has no effect in a failed transaction, so that it can be sent before the answer to
/// the insert of its id is known.
fn is_pipelinable(batch: &Batch) -> bool {
    let ends_transaction = |sql: &str| {
        let word = first_keyword(sql);
        word.is_none_or(|word| {
            ["COMMIT", "END", "ROLLBACK", "ABORT", "PREPARE"].contains(&word.as_str())
        })
    };
    match batch {
        Batch::Simple(sql) => !ends_transaction(sql) && !may_have_multiple(sql),
        Batch::Extended { statements, .. } => {
            !statements.iter().any(|prepared| ends_transaction(&prepared.sql))
        }
    }
}

/// Whether text may contain more than one statement.
fn may_have_multiple(sql: &str) -> bool {
    sql.trim_end().trim_end_matches(';').contains(';')
}

/// The first keyword of a statement in upper case; leading comments are skipped.
fn first_keyword(mut sql: &str) -> Option<String> {
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
