//! The messages of a session: simple queries, prepared statements and portals.

use super::{
    connection::Door,
    engine::{Column, Error, Result, Shape},
    session::Reply,
    sql::{self, Text},
    value::{self, Format, Value},
};
use bytes::{BufMut, BytesMut};
use indexmap::IndexMap;
use pgwire::messages::{
    PgWireBackendMessage as Out, PgWireFrontendMessage as In,
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{
        Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
        PortalSuspended,
    },
    response::{CommandComplete, EmptyQueryResponse},
};
use std::io;

/// The target byte of a statement in `Describe` and `Close`.
const STATEMENT: u8 = b'S';

/// A prepared statement.
#[derive(Clone, Debug, Default)]
struct Prepared {
    /// `None` for an empty statement.
    text: Option<Text>,
    shape: Shape,
}

/// A bound statement.
#[derive(Clone, Debug, Default)]
struct Portal {
    prepared: Prepared,
    parameters: Vec<Value>,
    formats: Vec<i16>,
    /// What it answered, and how many rows of it were sent.
    run: Option<(Reply, usize)>,
}

/// The named things of a session.
#[derive(Debug, Default)]
struct Names {
    statements: IndexMap<String, Prepared>,
    portals: IndexMap<String, Portal>,
    /// Whether messages are skipped up to the next `Sync`, after an error.
    skipping: bool,
}

/// Serves messages until the connection ends.
///
/// # Errors
/// Why it broke.
pub async fn run(door: &mut Door) -> io::Result<()> {
    let mut names = Names::default();
    while let Some(message) = door.link.next().await? {
        match message {
            In::Query(query) => {
                simple(door, &mut names, &query.query).await?;
                door.ready().await?;
            }
            In::Sync(_) => {
                names.skipping = false;
                if let Err(error) = door.session.finish() {
                    door.link.error(&error)?;
                }
                if door.session.status() == gcl_core::batch::Status::Idle {
                    names.portals.clear();
                }
                door.ready().await?;
            }
            In::Flush(_) => door.link.flush().await?,
            In::Terminate(_) => return Ok(()),
            _ if names.skipping => {}
            message => {
                if let Err(error) = extended(door, &mut names, message).await? {
                    door.session.fail();
                    door.link.error(&error)?;
                    names.skipping = true;
                }
            }
        }
    }
    Ok(())
}

async fn simple(door: &mut Door, names: &mut Names, text: &str) -> io::Result<()> {
    let statements = sql::split(text);
    if statements.is_empty() {
        door.link.put(&Out::EmptyQueryResponse(EmptyQueryResponse::new()))?;
    }
    let last = statements.len().saturating_sub(1);
    for (index, statement) in statements.iter().enumerate() {
        let mut reply = door.session.run(statement, &[]).await;
        if index == last
            && reply.is_ok()
            && let Err(error) = door.session.finish()
        {
            reply = Err(error);
        }
        match reply {
            Ok(reply) => simple_reply(door, &reply).await?,
            Err(error) => {
                door.session.fail();
                return door.link.error(&error);
            }
        }
        forget(names, &statement.sql);
    }
    Ok(())
}

/// Drops prepared statements as `DISCARD ALL` and `DEALLOCATE` ask.
fn forget(names: &mut Names, sql: &str) {
    let words = sql::words(sql);
    match words.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["DISCARD" | "DEALLOCATE", "ALL"] => names.statements.clear(),
        ["DEALLOCATE", ..] => {
            let name = sql::tokens(sql).last().copied().map(sql::literal).unwrap_or_default();
            names.statements.shift_remove(&name);
        }
        _ => {}
    }
}

async fn simple_reply(door: &mut Door, reply: &Reply) -> io::Result<()> {
    if !reply.rows.columns.is_empty() {
        door.link.put(&Out::RowDescription(row_description(&reply.rows.columns, &[])))?;
        for row in &reply.rows.rows {
            door.link.put(&Out::DataRow(data_row(row, &reply.rows.columns, &[])))?;
            door.link.relieve().await?;
        }
    }
    complete(door, reply, reply.rows.rows.len())
}

fn complete(door: &mut Door, reply: &Reply, sent: usize) -> io::Result<()> {
    let tag = if reply.tag == "SELECT" { format!("SELECT {sent}") } else { reply.tag.clone() };
    door.link.put(&Out::CommandComplete(CommandComplete::new(tag)))
}

async fn extended(door: &mut Door, names: &mut Names, message: In) -> io::Result<Result<()>> {
    match message {
        In::Parse(parse) => Ok(on_parse(door, names, &parse)),
        In::Bind(bind) => Ok(on_bind(door, names, &bind)),
        In::Describe(describe) => Ok(on_describe(door, names, &describe)),
        In::Execute(execute) => on_execute(door, names, &execute).await,
        In::Close(close) => on_close(door, names, close).map(Ok),
        _ => Ok(Err(Error::new("08P01", "unexpected message"))),
    }
}

fn on_parse(door: &mut Door, names: &mut Names, parse: &Parse) -> Result<()> {
    let mut statements = sql::split(&parse.query);
    if statements.len() > 1 {
        return Err(Error::new("42601", "cannot prepare more than one statement"));
    }
    let name = parse.name.clone().unwrap_or_default();
    if !name.is_empty() && names.statements.contains_key(&name) {
        return Err(Error::new("42P05", format!("prepared statement \"{name}\" already exists")));
    }
    let text = statements.pop();
    let shape = text.as_ref().map(|text| door.session.describe(text, &parse.type_oids));
    let shape = shape.transpose()?.unwrap_or_default();
    names.statements.insert(name, Prepared { text, shape });
    send(door, &Out::ParseComplete(ParseComplete::new()))
}

fn on_bind(door: &mut Door, names: &mut Names, bind: &Bind) -> Result<()> {
    let name = bind.statement_name.clone().unwrap_or_default();
    let prepared = names.statements.get(&name).cloned();
    let prepared = prepared.ok_or_else(|| {
        Error::new("26000", format!("prepared statement \"{name}\" does not exist"))
    })?;
    let kinds = &prepared.shape.parameters;
    if bind.parameters.len() != kinds.len() {
        let (given, wanted) = (bind.parameters.len(), kinds.len());
        let message = format!("{given} parameters given where {wanted} are wanted");
        return Err(Error::new("08P01", message));
    }
    let mut parameters = Vec::with_capacity(kinds.len());
    for (index, (kind, bytes)) in kinds.iter().zip(&bind.parameters).enumerate() {
        let format = Format::at(&bind.parameter_format_codes, index);
        let value = value::decode(*kind, format, bytes.as_ref());
        parameters.push(value.ok_or_else(|| {
            Error::new("22P02", format!("parameter {} does not fit its type", index + 1))
        })?);
    }
    let formats = bind.result_column_format_codes.clone();
    let portal = Portal { prepared, parameters, formats, run: None };
    names.portals.insert(bind.portal_name.clone().unwrap_or_default(), portal);
    send(door, &Out::BindComplete(BindComplete::new()))
}

fn on_describe(door: &mut Door, names: &Names, describe: &Describe) -> Result<()> {
    let name = describe.name.clone().unwrap_or_default();
    let (shape, formats) = if describe.target_type == STATEMENT {
        let prepared = names.statements.get(&name).ok_or_else(|| {
            Error::new("26000", format!("prepared statement \"{name}\" does not exist"))
        })?;
        let types = prepared.shape.parameters.clone();
        send(door, &Out::ParameterDescription(ParameterDescription::new(types)))?;
        (&prepared.shape, &[][..])
    } else {
        let portal = names.portals.get(&name);
        let portal = portal.ok_or_else(|| no_portal(&name))?;
        (&portal.prepared.shape, portal.formats.as_slice())
    };
    if shape.columns.is_empty() {
        send(door, &Out::NoData(NoData::new()))
    } else {
        send(door, &Out::RowDescription(row_description(&shape.columns, formats)))
    }
}

async fn on_execute(
    door: &mut Door,
    names: &mut Names,
    execute: &Execute,
) -> io::Result<Result<()>> {
    let name = execute.name.clone().unwrap_or_default();
    let Some(portal) = names.portals.get_mut(&name) else {
        return Ok(Err(no_portal(&name)));
    };
    let Some(text) = &portal.prepared.text else {
        return door.link.put(&Out::EmptyQueryResponse(EmptyQueryResponse::new())).map(Ok);
    };
    if portal.run.is_none() {
        match door.session.run(text, &portal.parameters).await {
            Ok(reply) => portal.run = Some((reply, 0)),
            Err(error) => return Ok(Err(error)),
        }
    }
    let Some((reply, sent)) = &mut portal.run else {
        return Ok(Ok(()));
    };
    let columns = &portal.prepared.shape.columns;
    let most = usize::try_from(execute.max_rows).unwrap_or(0);
    let left = if columns.is_empty() { 0 } else { reply.rows.rows.len() - *sent };
    let count = if most == 0 { left } else { left.min(most) };
    for row in &reply.rows.rows[*sent..*sent + count] {
        door.link.put(&Out::DataRow(data_row(row, columns, &portal.formats)))?;
        door.link.relieve().await?;
    }
    *sent += count;
    if most > 0 && count == most {
        return door.link.put(&Out::PortalSuspended(PortalSuspended::new())).map(Ok);
    }
    let sql = text.sql.clone();
    complete(door, reply, count)?;
    forget(names, &sql);
    Ok(Ok(()))
}

fn on_close(door: &mut Door, names: &mut Names, close: Close) -> io::Result<()> {
    let name = close.name.unwrap_or_default();
    if close.target_type == STATEMENT {
        names.statements.shift_remove(&name);
    } else {
        names.portals.shift_remove(&name);
    }
    door.link.put(&Out::CloseComplete(CloseComplete::new()))
}

fn send(door: &mut Door, message: &Out) -> Result<()> {
    door.link.put(message).map_err(|error| Error::new("54000", error.to_string()))
}

fn no_portal(name: &str) -> Error {
    Error::new("34000", format!("portal \"{name}\" does not exist"))
}

fn row_description(columns: &[Column], formats: &[i16]) -> RowDescription {
    let field = |(index, column): (usize, &Column)| {
        let format = Format::at(formats, index).code();
        FieldDescription::new(column.name.clone(), 0, 0, column.kind, -1, -1, format)
    };
    RowDescription::new(columns.iter().enumerate().map(field).collect())
}

fn data_row(row: &[Value], columns: &[Column], formats: &[i16]) -> DataRow {
    let mut data = BytesMut::new();
    let mut count = 0;
    for (index, (value, column)) in row.iter().zip(columns).enumerate() {
        count += 1;
        match value::encode(value, column.kind, Format::at(formats, index)) {
            Some(bytes) => {
                data.put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
                data.put_slice(&bytes);
            }
            None => data.put_i32(-1),
        }
    }
    DataRow::new(data, count)
}
