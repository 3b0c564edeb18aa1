//! Decodes messages of the `PostgreSQL` protocol into events and encodes replies.
//!
//! A message is split off the buffer by its length field before its body is decoded. The bodies of
//! query messages are decoded here with checked reads, because the decoders of the `pgwire` library
//! expect well-formed bodies and replace bytes that are not UTF-8.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use compact_str::{CompactString, format_compact};
use gcl_core::{
    caller::{Credential, Event, Kind, Reply},
    code::Fault,
};
use pgwire::{
    error::PgWireResult,
    messages::{
        DecodeContext, Message, ProtocolVersion,
        cancel::CancelRequest,
        data::{DataRow, FieldDescription, RowDescription},
        extendedquery::{CloseComplete, ParseComplete},
        response::{
            CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
        },
        startup::{
            Authentication, BackendKeyData, GssEncRequest, NegotiateProtocolVersion,
            ParameterStatus, SecretKey, SslRequest, Startup,
        },
    },
};
use std::str;

/// Largest startup packet in bytes.
pub const MAX_STARTUP_BYTES: usize = 10_000;
/// Size of a length field in bytes.
const LENGTH_BYTES: usize = 4;
/// Size of a startup packet's length and protocol code in bytes.
const STARTUP_HEAD_BYTES: usize = 8;
/// Size of a message's type and length in bytes.
const HEAD_BYTES: usize = 5;
/// OID of the type `text`.
const TEXT_OID: u32 = 25;
/// Size field of a type of variable length.
const VARIABLE_SIZE: i16 = -1;

/// Errors of decoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The bytes are not a valid message.
    Malformed(CompactString),
    /// The message's length field, in bytes, is above the limit.
    Oversized(u64),
}

/// The result of decoding.
pub type Result<T> = std::result::Result<T, Error>;

/// The first packet of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Requests TLS.
    Tls,
    /// Requests GSS encryption.
    Gss,
    /// Cancels another session.
    Cancel {
        /// The process id in that session's cancel key.
        process: i32,
        /// The secret in that session's cancel key.
        secret: i32,
    },
    /// Starts a session.
    Startup {
        /// The session's parameters.
        parameters: Vec<(CompactString, CompactString)>,
        /// Unsupported protocol options, if the client requested options or a version above 3.0.
        negotiate: Option<Vec<String>>,
    },
}

fn malformed(what: &str) -> Error {
    Error::Malformed(what.into())
}

/// Splits the first packet of a connection off `buffer`; `None` if it is not complete.
///
/// # Errors
/// [`Error::Oversized`] above [`MAX_STARTUP_BYTES`], otherwise [`Error::Malformed`].
pub fn take_opening(buffer: &mut BytesMut) -> Result<Option<Opening>> {
    let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_STARTUP_BYTES {
        return Err(Error::Oversized(length as u64));
    }
    if length < STARTUP_HEAD_BYTES {
        return Err(malformed("the startup packet is too short"));
    }
    if buffer.len() < length {
        return Ok(None);
    }
    decode_opening(buffer.split_to(length)).map(Some)
}

fn decode_opening(mut packet: BytesMut) -> Result<Opening> {
    if SslRequest::is_ssl_request_packet(&packet) {
        return Ok(Opening::Tls);
    }
    if GssEncRequest::is_gss_enc_request_packet(&packet) {
        return Ok(Opening::Gss);
    }
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    let invalid = |_| malformed("the startup packet is broken");
    if CancelRequest::is_cancel_request_packet(&packet) {
        let cancel = CancelRequest::decode(&mut packet, &context).map_err(invalid)?;
        let cancel = cancel.ok_or_else(|| malformed("the cancel request is too short"))?;
        let secret = cancel.secret_key.as_i32();
        let secret = secret.ok_or_else(|| malformed("the cancel secret has a wrong length"))?;
        return Ok(Opening::Cancel { process: cancel.pid, secret });
    }
    let startup = Startup::decode(&mut packet, &context).map_err(invalid)?;
    let startup = startup.ok_or_else(|| malformed("the startup packet is too short"))?;
    Ok(session_startup(startup))
}

fn session_startup(startup: Startup) -> Opening {
    let (options, parameters): (Vec<_>, Vec<_>) =
        startup.parameters.into_iter().partition(|(name, _)| name.starts_with("_pq_."));
    let must_negotiate = startup.protocol_number_minor > 0 || !options.is_empty();
    let negotiate = must_negotiate.then(|| options.into_iter().map(|(name, _)| name).collect());
    let parameters =
        parameters.into_iter().map(|(name, value)| (name.into(), value.into())).collect();
    Opening::Startup { parameters, negotiate }
}

/// Splits one message off `buffer`; `None` if it is not complete.
///
/// # Errors
/// [`Error::Oversized`] above `limit` bytes, otherwise [`Error::Malformed`].
pub fn take_message(buffer: &mut BytesMut, limit: usize) -> Result<Option<Event>> {
    let Some(&[tag, ref length @ ..]) = buffer.first_chunk::<HEAD_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length < LENGTH_BYTES {
        return Err(malformed("the message length is too short"));
    }
    if length > limit {
        return Err(Error::Oversized(length as u64));
    }
    if buffer.len() < length + 1 {
        return Ok(None);
    }
    let mut packet = buffer.split_to(length + 1).freeze();
    packet.advance(HEAD_BYTES);
    decode(tag, packet).map(Some)
}

fn decode(tag: u8, mut body: Bytes) -> Result<Event> {
    let event = match tag {
        b'Q' => Event::Query(text(&mut body)?.to_owned_string()),
        b'P' => parse(&mut body)?,
        b'B' => bind(&mut body)?,
        b'D' => {
            let (kind, name) = target(&mut body)?;
            Event::Describe(kind, name)
        }
        b'C' => {
            let (kind, name) = target(&mut body)?;
            Event::Close(kind, name)
        }
        b'E' => {
            let portal = name(&mut body)?;
            Event::Execute { portal, max_rows: body.try_get_i32().map_err(truncated)? }
        }
        b'H' => Event::Flush,
        b'S' => Event::Sync,
        b'X' => Event::Terminate,
        b'p' => Event::Password(Credential::new(&text(&mut body)?.to_owned_string())),
        b'F' | b'd' | b'c' | b'f' => return Ok(Event::Unsupported(tag)),
        _ => return Err(Error::Malformed(format_compact!("unknown message type {tag:#04x}"))),
    };
    if body.has_remaining() {
        return Err(malformed("the message has bytes left over"));
    }
    Ok(event)
}

fn truncated(_: bytes::TryGetError) -> Error {
    malformed("the message is cut short")
}

/// Validated UTF-8 text that shares its message's buffer.
struct Text(Bytes);

impl Text {
    fn as_str(&self) -> &str {
        str::from_utf8(&self.0).unwrap_or_default()
    }

    fn to_owned_string(&self) -> String {
        self.as_str().to_owned()
    }
}

fn text(body: &mut Bytes) -> Result<Text> {
    let end = body.iter().position(|byte| *byte == 0);
    let end = end.ok_or_else(|| malformed("a text is not terminated"))?;
    let text = body.split_to(end);
    body.advance(1);
    if str::from_utf8(&text).is_err() {
        return Err(malformed("a text is not UTF-8"));
    }
    Ok(Text(text))
}

fn name(body: &mut Bytes) -> Result<CompactString> {
    text(body).map(|text| CompactString::from(text.as_str()))
}

fn parse(body: &mut Bytes) -> Result<Event> {
    let name = name(body)?;
    let sql = text(body)?.to_owned_string();
    let count = body.try_get_u16().map_err(truncated)?;
    let types = (0..count).map(|_| body.try_get_u32().map_err(truncated)).collect::<Result<_>>()?;
    Ok(Event::Parse { name, sql, types })
}

fn bind(body: &mut Bytes) -> Result<Event> {
    let portal = name(body)?;
    let statement = name(body)?;
    let formats = formats(body)?;
    let count = body.try_get_u16().map_err(truncated)?;
    let parameters = (0..count).map(|_| parameter(body)).collect::<Result<_>>()?;
    let results = self::formats(body)?;
    Ok(Event::Bind { portal, statement, formats, parameters, results })
}

fn formats(body: &mut Bytes) -> Result<Vec<i16>> {
    let count = body.try_get_u16().map_err(truncated)?;
    (0..count).map(|_| body.try_get_i16().map_err(truncated)).collect()
}

fn parameter(body: &mut Bytes) -> Result<Option<Bytes>> {
    let length = body.try_get_i32().map_err(truncated)?;
    if length == -1 {
        return Ok(None);
    }
    let length = usize::try_from(length).ok().filter(|length| *length <= body.len());
    let length = length.ok_or_else(|| malformed("a parameter is cut short"))?;
    Ok(Some(body.split_to(length)))
}

fn target(body: &mut Bytes) -> Result<(Kind, CompactString)> {
    let kind = match body.try_get_u8().map_err(truncated)? {
        b'S' => Kind::Statement,
        b'P' => Kind::Portal,
        _ => return Err(malformed("neither a statement nor a portal is named")),
    };
    Ok((kind, name(body)?))
}

/// Appends a reply to `buffer`.
///
/// # Errors
/// A text is longer than the protocol allows.
pub fn encode(reply: Reply, buffer: &mut BytesMut) -> PgWireResult<()> {
    match reply {
        Reply::AskPassword => Authentication::CleartextPassword.encode(buffer),
        Reply::Welcome => Authentication::Ok.encode(buffer),
        Reply::Parameter(name, value) => {
            ParameterStatus::new(name.into(), value.into()).encode(buffer)
        }
        Reply::CancelKey { process, secret } => {
            BackendKeyData::new(process, SecretKey::I32(secret)).encode(buffer)
        }
        Reply::Frames(frames) => {
            for frame in frames {
                buffer.put_u8(frame.tag);
                let length = frame.body.len() + LENGTH_BYTES;
                buffer.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
                buffer.put(frame.body);
            }
            Ok(())
        }
        Reply::ParseComplete => ParseComplete::new().encode(buffer),
        Reply::CloseComplete => CloseComplete::new().encode(buffer),
        Reply::EmptyQuery => EmptyQueryResponse::new().encode(buffer),
        Reply::Complete(tag) => CommandComplete::new(tag.into()).encode(buffer),
        Reply::Row { column, value } => row(column.into(), &value, buffer),
        Reply::Error { fault, fatal } => error(&fault, fatal).encode(buffer),
        Reply::Ready(status) => {
            let status = match status {
                gcl_core::batch::Status::Idle => TransactionStatus::Idle,
                gcl_core::batch::Status::Open => TransactionStatus::Transaction,
                gcl_core::batch::Status::Failed => TransactionStatus::Error,
            };
            ReadyForQuery::new(status).encode(buffer)
        }
    }
}

/// Appends the answer to a client that requested options or a version above 3.0.
///
/// # Errors
/// The options are longer than the protocol allows.
pub fn encode_version(options: Vec<String>, buffer: &mut BytesMut) -> PgWireResult<()> {
    let version = i32::from(ProtocolVersion::PROTOCOL3_0);
    NegotiateProtocolVersion::new(version, options).encode(buffer)
}

fn row(column: String, value: &str, buffer: &mut BytesMut) -> PgWireResult<()> {
    let field = FieldDescription::new(column, 0, 0, TEXT_OID, VARIABLE_SIZE, -1, 0);
    RowDescription::new(vec![field]).encode(buffer)?;
    let mut data = BytesMut::with_capacity(LENGTH_BYTES + value.len());
    data.put_u32(u32::try_from(value.len()).unwrap_or(u32::MAX));
    data.put_slice(value.as_bytes());
    DataRow::new(data, 1).encode(buffer)
}

fn error(fault: &Fault, fatal: bool) -> ErrorResponse {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let run = if fault.code.not_run() { "; not run" } else { "" };
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', fault.code.sqlstate().to_owned()),
        (b'M', format!("{fault}{run}")),
    ];
    if let Some(after) = fault.retry_after {
        fields.push((b'H', format!("Retry after {} ms.", after.as_millis())));
    }
    ErrorResponse::new(fields)
}
