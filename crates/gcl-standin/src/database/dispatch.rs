//! Handling of the messages of a session: simple queries, prepared statements and portals.

use super::{
    connection::Connection,
    engine::{Column, Description, Error, Result},
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

/// Target byte of a prepared statement in `Describe` and `Close`.
const STATEMENT: u8 = b'S';

/// A prepared statement.
#[derive(Clone, Debug, Default)]
struct Prepared {
    /// `None` for an empty statement.
    text: Option<Text>,
    description: Description,
}

/// A bound statement.
#[derive(Clone, Debug, Default)]
struct Portal {
    prepared: Prepared,
    parameters: Vec<Value>,
    formats: Vec<i16>,
    /// The reply once executed, and the number of its rows sent so far.
    result: Option<(Reply, usize)>,
}

/// The named objects of a session.
#[derive(Debug, Default)]
struct Objects {
    statements: IndexMap<String, Prepared>,
    portals: IndexMap<String, Portal>,
    /// Whether messages are skipped until the next `Sync`, after an error.
    skipping: bool,
}

/// Handles messages until the connection is closed.
///
/// # Errors
/// A socket or protocol error, or a response dropped by a fault.
pub async fn run(connection: &mut Connection) -> io::Result<()> {
    let mut objects = Objects::default();
    while let Some(message) = connection.link.next().await? {
        match message {
            In::Query(query) => {
                simple(connection, &mut objects, &query.query).await?;
                connection.finish_batch().await?;
            }
            In::Sync(_) => {
                objects.skipping = false;
                if let Err(error) = connection.session.finish() {
                    connection.link.buffer_error(&error)?;
                }
                if connection.session.status() == gcl_core::batch::Status::Idle {
                    objects.portals.clear();
                }
                connection.finish_batch().await?;
            }
            In::Flush(_) => connection.link.flush().await?,
            In::Terminate(_) => return Ok(()),
            _ if objects.skipping => {}
            message => {
                if let Err(error) = extended(connection, &mut objects, message).await? {
                    connection.session.fail();
                    connection.link.buffer_error(&error)?;
                    objects.skipping = true;
                }
            }
        }
    }
    Ok(())
}

async fn simple(connection: &mut Connection, objects: &mut Objects, text: &str) -> io::Result<()> {
    let statements = sql::split(text);
    if statements.is_empty() {
        connection.link.buffer(&Out::EmptyQueryResponse(EmptyQueryResponse::new()))?;
    }
    let last = statements.len().saturating_sub(1);
    for (index, statement) in statements.iter().enumerate() {
        let mut reply = connection.session.run(statement, &[]).await;
        if index == last
            && reply.is_ok()
            && let Err(error) = connection.session.finish()
        {
            reply = Err(error);
        }
        match reply {
            Ok(reply) => simple_reply(connection, &reply).await?,
            Err(error) => {
                connection.session.fail();
                return connection.link.buffer_error(&error);
            }
        }
        deallocate(objects, &statement.sql);
    }
    Ok(())
}

/// Removes prepared statements for `DISCARD ALL` and `DEALLOCATE`.
fn deallocate(objects: &mut Objects, sql: &str) {
    let words = sql::words(sql);
    match words.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["DISCARD" | "DEALLOCATE", "ALL"] => objects.statements.clear(),
        ["DEALLOCATE", ..] => {
            let name = sql::tokens(sql).last().copied().map(sql::literal).unwrap_or_default();
            objects.statements.shift_remove(&name);
        }
        _ => {}
    }
}

async fn simple_reply(connection: &mut Connection, reply: &Reply) -> io::Result<()> {
    if !reply.rows.columns.is_empty() {
        connection.link.buffer(&Out::RowDescription(row_description(&reply.rows.columns, &[])))?;
        for row in &reply.rows.rows {
            connection.link.buffer(&Out::DataRow(data_row(row, &reply.rows.columns, &[])))?;
            connection.link.flush_if_large().await?;
        }
    }
    complete(connection, reply, reply.rows.rows.len())
}

fn complete(connection: &mut Connection, reply: &Reply, sent: usize) -> io::Result<()> {
    let tag = if reply.tag == "SELECT" { format!("SELECT {sent}") } else { reply.tag.clone() };
    connection.link.buffer(&Out::CommandComplete(CommandComplete::new(tag)))
}

async fn extended(
    connection: &mut Connection,
    objects: &mut Objects,
    message: In,
) -> io::Result<Result<()>> {
    match message {
        In::Parse(parse) => Ok(on_parse(connection, objects, &parse)),
        In::Bind(bind) => Ok(on_bind(connection, objects, &bind)),
        In::Describe(describe) => Ok(on_describe(connection, objects, &describe)),
        In::Execute(execute) => on_execute(connection, objects, &execute).await,
        In::Close(close) => on_close(connection, objects, close).map(Ok),
        _ => Ok(Err(Error::new("08P01", "unexpected message"))),
    }
}

fn on_parse(connection: &mut Connection, objects: &mut Objects, parse: &Parse) -> Result<()> {
    let mut statements = sql::split(&parse.query);
    if statements.len() > 1 {
        return Err(Error::new("42601", "cannot prepare more than one statement"));
    }
    let name = parse.name.clone().unwrap_or_default();
    if !name.is_empty() && objects.statements.contains_key(&name) {
        return Err(Error::new("42P05", format!("prepared statement \"{name}\" already exists")));
    }
    let text = statements.pop();
    let description = text.as_ref().map(|text| connection.session.describe(text, &parse.type_oids));
    let description = description.transpose()?.unwrap_or_default();
    objects.statements.insert(name, Prepared { text, description });
    send(connection, &Out::ParseComplete(ParseComplete::new()))
}

fn on_bind(connection: &mut Connection, objects: &mut Objects, bind: &Bind) -> Result<()> {
    let name = bind.statement_name.clone().unwrap_or_default();
    let prepared = objects.statements.get(&name).cloned();
    let prepared = prepared.ok_or_else(|| {
        Error::new("26000", format!("prepared statement \"{name}\" does not exist"))
    })?;
    let kinds = &prepared.description.parameters;
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
    let portal = Portal { prepared, parameters, formats, result: None };
    objects.portals.insert(bind.portal_name.clone().unwrap_or_default(), portal);
    send(connection, &Out::BindComplete(BindComplete::new()))
}

fn on_describe(connection: &mut Connection, objects: &Objects, describe: &Describe) -> Result<()> {
    let name = describe.name.clone().unwrap_or_default();
    let (description, formats) = if describe.target_type == STATEMENT {
        let prepared = objects.statements.get(&name).ok_or_else(|| {
            Error::new("26000", format!("prepared statement \"{name}\" does not exist"))
        })?;
        let types = prepared.description.parameters.clone();
        send(connection, &Out::ParameterDescription(ParameterDescription::new(types)))?;
        (&prepared.description, &[][..])
    } else {
        let portal = objects.portals.get(&name);
        let portal = portal.ok_or_else(|| no_portal(&name))?;
        (&portal.prepared.description, portal.formats.as_slice())
    };
    if description.columns.is_empty() {
        send(connection, &Out::NoData(NoData::new()))
    } else {
        send(connection, &Out::RowDescription(row_description(&description.columns, formats)))
    }
}

async fn on_execute(
    connection: &mut Connection,
    objects: &mut Objects,
    execute: &Execute,
) -> io::Result<Result<()>> {
    let name = execute.name.clone().unwrap_or_default();
    let Some(portal) = objects.portals.get_mut(&name) else {
        return Ok(Err(no_portal(&name)));
    };
    let Some(text) = &portal.prepared.text else {
        return connection.link.buffer(&Out::EmptyQueryResponse(EmptyQueryResponse::new())).map(Ok);
    };
    if portal.result.is_none() {
        match connection.session.run(text, &portal.parameters).await {
            Ok(reply) => portal.result = Some((reply, 0)),
            Err(error) => return Ok(Err(error)),
        }
    }
    let Some((reply, sent)) = &mut portal.result else {
        return Ok(Ok(()));
    };
    let columns = &portal.prepared.description.columns;
    let max_rows = usize::try_from(execute.max_rows).unwrap_or(0);
    let remaining = if columns.is_empty() { 0 } else { reply.rows.rows.len() - *sent };
    let count = if max_rows == 0 { remaining } else { remaining.min(max_rows) };
    for row in &reply.rows.rows[*sent..*sent + count] {
        connection.link.buffer(&Out::DataRow(data_row(row, columns, &portal.formats)))?;
        connection.link.flush_if_large().await?;
    }
    *sent += count;
    if max_rows > 0 && count == max_rows {
        return connection.link.buffer(&Out::PortalSuspended(PortalSuspended::new())).map(Ok);
    }
    let sql = text.sql.clone();
    complete(connection, reply, count)?;
    deallocate(objects, &sql);
    Ok(Ok(()))
}

fn on_close(connection: &mut Connection, objects: &mut Objects, close: Close) -> io::Result<()> {
    let name = close.name.unwrap_or_default();
    if close.target_type == STATEMENT {
        objects.statements.shift_remove(&name);
    } else {
        objects.portals.shift_remove(&name);
    }
    connection.link.buffer(&Out::CloseComplete(CloseComplete::new()))
}

fn send(connection: &mut Connection, message: &Out) -> Result<()> {
    connection.link.buffer(message).map_err(|error| Error::new("54000", error.to_string()))
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
