//! What passes between the operators' HTTP port and the reducer.

use crate::code::Fault;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The method of an operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Method {
    /// Reads.
    Get,
    /// Changes.
    Post,
}

/// An operator's request, with its bearer token reduced to a hash by the shell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The method.
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

/// The answer to an operator's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// A JSON document.
    Json(String),
    /// A refusal.
    Error(Fault),
}
