//! JSON with comments, the syntax of settings and object files, and the location of errors in it.

use compact_str::{CompactString, format_compact};
use jsonc_parser::{ParseOptions, errors::ParseError};
use std::fmt;

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line, counted from one.
    pub line: usize,
    /// The column, counted in characters from one.
    pub column: usize,
    /// The description of the error.
    pub detail: CompactString,
}

impl Fault {
    /// An error at a byte offset of `text`.
    #[must_use]
    pub fn at(text: &str, position: usize, detail: CompactString) -> Self {
        let before = text.get(..position).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |end| end + 1);
        Self { line, column: before[start..].chars().count() + 1, detail }
    }

    /// A syntax error reported by the parser.
    #[must_use]
    pub fn syntax(text: &str, error: &ParseError) -> Self {
        Self::at(text, error.range().start, format_compact!("{}", error.kind()))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.detail)
    }
}

impl std::error::Error for Fault {}

/// Parser options that allow comments and trailing commas, and no other extension of JSON.
#[must_use]
pub const fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
