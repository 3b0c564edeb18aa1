//! Requests and responses of the operators' HTTP port.

use crate::code::Fault;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The HTTP method of an operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Method {
    /// Reads state.
    Get,
    /// Changes state.
    Post,
}

/// An operator's request; the shell has replaced the bearer token by its hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// The path below `/v1/`.
    pub path: CompactString,
    /// Query parameters.
    pub query: Vec<(CompactString, CompactString)>,
    /// SHA-256 of the bearer token in hexadecimal, empty without one.
    pub token: CompactString,
    /// The JSON body, empty for none.
    pub body: String,
}

/// The response to an operator's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// A JSON document.
    Json(String),
    /// An error.
    Error(Fault),
}
