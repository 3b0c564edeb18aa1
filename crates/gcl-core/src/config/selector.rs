//! Selectors over labels: requirements joined by commas, all of which have to be met.
//!
//! The forms are `desk=altyn`, `desk!=altyn`, `desk in (altyn, dala)`, `desk notin (dala)`, `desk`
//! and `!desk`. An object without the label meets `!=`, `notin` and `!desk` only. The empty
//! selector matches every object.

use super::object::Labels;
use compact_str::CompactString;
use std::fmt;

/// Longest selector in bytes.
const MAX_BYTES: usize = 4096;

/// A syntax error in a selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The column, counted in characters from one.
    pub column: usize,
    /// What was expected there.
    pub expected: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "column {}: expected {}", self.column, self.expected)
    }
}

impl std::error::Error for Error {}

/// Result of parsing a selector.
pub type Result<T> = std::result::Result<T, Error>;

/// Condition on a label.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Condition {
    Exists,
    Absent,
    In(Vec<CompactString>),
    NotIn(Vec<CompactString>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Requirement {
    label: CompactString,
    condition: Condition,
}

/// Requirements that all have to be met.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    requirements: Vec<Requirement>,
}

impl Selector {
    /// Parses a selector.
    ///
    /// # Errors
    /// The first syntax error with its column.
    pub fn parse(text: &str) -> Result<Self> {
        let mut scanner = Scanner { text, position: 0 };
        if text.len() > MAX_BYTES {
            return Err(Error { column: MAX_BYTES, expected: "a selector of at most 4096 bytes" });
        }
        let mut requirements = Vec::new();
        if scanner.peek().is_none() {
            return Ok(Self { requirements });
        }
        loop {
            requirements.push(scanner.requirement()?);
            match scanner.peek() {
                None => return Ok(Self { requirements }),
                Some(',') => scanner.advance(),
                Some(_) => return Err(scanner.error("a comma or the end")),
            }
        }
    }

    /// Whether it has no requirements and thus matches every object.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.requirements.is_empty()
    }

    /// Whether it matches an object with these labels.
    #[must_use]
    pub fn matches(&self, labels: &Labels) -> bool {
        self.requirements.iter().all(|requirement| requirement.holds(labels))
    }
}

impl Requirement {
    fn holds(&self, labels: &Labels) -> bool {
        let value = labels.get(&self.label);
        match &self.condition {
            Condition::Exists => value.is_some(),
            Condition::Absent => value.is_none(),
            Condition::In(values) => value.is_some_and(|value| values.contains(value)),
            Condition::NotIn(values) => value.is_none_or(|value| !values.contains(value)),
        }
    }
}

struct Scanner<'a> {
    text: &'a str,
    position: usize,
}

impl Scanner<'_> {
    /// Skips white space and returns the next character without consuming it.
    fn peek(&mut self) -> Option<char> {
        let rest = &self.text[self.position..];
        self.position += rest.len() - rest.trim_start().len();
        self.text[self.position..].chars().next()
    }

    fn advance(&mut self) {
        let next = self.text[self.position..].chars().next();
        self.position += next.map_or(0, char::len_utf8);
    }

    fn error(&self, expected: &'static str) -> Error {
        Error { column: self.text[..self.position].chars().count() + 1, expected }
    }

    fn expect(&mut self, wanted: char, expected: &'static str) -> Result<()> {
        if self.peek() != Some(wanted) {
            return Err(self.error(expected));
        }
        self.advance();
        Ok(())
    }

    fn word(&mut self, expected: &'static str) -> Result<CompactString> {
        self.peek();
        let rest = &self.text[self.position..];
        let end = rest.find(|next| !is_label_char(next)).unwrap_or(rest.len());
        if end == 0 {
            return Err(self.error(expected));
        }
        self.position += end;
        Ok(rest[..end].into())
    }

    fn requirement(&mut self) -> Result<Requirement> {
        if self.peek() == Some('!') {
            self.advance();
            let label = self.word("a label")?;
            return Ok(Requirement { label, condition: Condition::Absent });
        }
        let label = self.word("a label")?;
        let condition = self.condition()?;
        Ok(Requirement { label, condition })
    }

    fn condition(&mut self) -> Result<Condition> {
        match self.peek() {
            None | Some(',') => Ok(Condition::Exists),
            Some('=') => {
                self.advance();
                Ok(Condition::In(vec![self.word("a value")?]))
            }
            Some('!') => {
                self.advance();
                self.expect('=', "'=' after '!'")?;
                Ok(Condition::NotIn(vec![self.word("a value")?]))
            }
            Some(_) => self.set_condition(),
        }
    }

    fn set_condition(&mut self) -> Result<Condition> {
        let start = self.position;
        let operator = self.word("'=', '!=', 'in' or 'notin'")?;
        let condition: fn(Vec<CompactString>) -> Condition = match operator.as_str() {
            "in" => Condition::In,
            "notin" => Condition::NotIn,
            _ => {
                self.position = start;
                return Err(self.error("'=', '!=', 'in' or 'notin'"));
            }
        };
        self.expect('(', "'('")?;
        let mut values = vec![self.word("a value")?];
        while self.peek() == Some(',') {
            self.advance();
            values.push(self.word("a value")?);
        }
        self.expect(')', "a comma or ')'")?;
        Ok(condition(values))
    }
}

/// Whether a character is allowed in a label or a value.
#[must_use]
pub fn is_label_char(character: char) -> bool {
    character.is_alphanumeric() || matches!(character, '-' | '_' | '.' | '/')
}
