//! Replies that the entry generates itself.

use super::Session;
use crate::{batch::Frame, caller::Reply};
use bytes::{BufMut as _, Bytes, BytesMut};

/// Name of the parameter that carries the session token.
const TOKEN: &str = "goldcrest.session";
/// Type OID of text.
const TEXT_OID: u32 = 25;
/// Type size that marks a variable-width type.
const VARIABLE_SIZE: i16 = -1;

/// Reports the session token.
pub(super) fn token(session: &Session) -> Reply {
    Reply::Parameter(TOKEN.into(), session.floor.encode().into())
}

/// A message without a body.
pub(super) fn empty(tag: u8) -> Reply {
    frame(tag, Bytes::new())
}

fn frame(tag: u8, body: Bytes) -> Reply {
    Reply::Frames(vec![Frame { tag, body }])
}

/// A `ParameterDescription` without parameters.
pub(super) fn no_parameters() -> Reply {
    frame(b't', Bytes::from_static(&[0, 0]))
}

/// A `RowDescription` of one text column.
pub(super) fn column(name: &str) -> Reply {
    let mut body = BytesMut::new();
    body.put_i16(1);
    body.put_slice(name.as_bytes());
    body.put_u8(0);
    body.put_i32(0);
    body.put_i16(0);
    body.put_u32(TEXT_OID);
    body.put_i16(VARIABLE_SIZE);
    body.put_i32(-1);
    body.put_i16(0);
    frame(b'T', body.freeze())
}

/// A `DataRow` of one text column.
pub(super) fn row(value: &str) -> Reply {
    let mut body = BytesMut::new();
    body.put_i16(1);
    body.put_u32(u32::try_from(value.len()).unwrap_or(u32::MAX));
    body.put_slice(value.as_bytes());
    frame(b'D', body.freeze())
}
