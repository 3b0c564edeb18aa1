//! JSON with comments, as settings and object files are written, and where a fault in it stands.

use compact_str::{CompactString, format_compact};
use jsonc_parser::{ParseOptions, errors::ParseError};
use std::fmt;

/// A fault in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line, counted from one.
    pub line: usize,
    /// The column, counted in characters from one.
    pub column: usize,
    /// What is wrong.
    pub detail: CompactString,
}

impl Fault {
    /// A fault at a byte position of a text.
    #[must_use]
    pub fn at(text: &str, position: usize, detail: CompactString) -> Self {
        let before = text.get(..position).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |end| end + 1);
        Self { line, column: before[start..].chars().count() + 1, detail }
    }

    /// A fault of the text's form.
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

/// JSON with comments and trailing commas, and no other leniency.
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
