//! Session commands, which the entry of a session runs itself.

use super::lexer::{Lexer, Token};
use crate::code::{Code, Fault, Result};
use compact_str::{CompactString, ToCompactString as _};

/// Prefix of the names of the proxy's own options.
const PREFIX: &str = "goldcrest.";

/// The value that a `SET` assigns.
pub type Value = CompactString;

/// A session command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Assigns an option of the proxy or a variable; names are in lower case.
    Set(CompactString, Value),
    /// Resets an option or variable to its default.
    Reset(CompactString),
    /// Resets all options and variables to their defaults.
    ResetAll,
    /// Shows an option of the proxy.
    Show(CompactString),
    /// Discards options, variables and prepared statements.
    DiscardAll,
}

impl Command {
    /// The tag of its `CommandComplete` message.
    #[must_use]
    pub const fn tag(&self) -> &'static str {
        match self {
            Self::Set(..) => "SET",
            Self::Reset(_) | Self::ResetAll => "RESET",
            Self::Show(_) => "SHOW",
            Self::DiscardAll => "DISCARD ALL",
        }
    }
}

/// Parses a session command; `None` for one that a server runs.
///
/// # Errors
/// [`Code::BadOption`] or [`Code::NotSupported`].
pub fn parse(text: &str) -> Result<Option<Command>> {
    let mut lexer = Lexer::new(text).filter(|token| *token != Token::Symbol(b';'));
    let verb = word(lexer.next()).unwrap_or_default();
    match verb.as_str() {
        "set" => set(lexer).map(Some),
        "reset" => {
            let name = name(&mut lexer)?.0;
            Ok(Some(if name == "all" { Command::ResetAll } else { Command::Reset(name) }))
        }
        "show" => {
            let name = name(&mut lexer)?.0;
            Ok(name.starts_with(PREFIX).then_some(Command::Show(name)))
        }
        _ if word(lexer.next()).as_deref() == Some("all") => Ok(Some(Command::DiscardAll)),
        _ => Err(Fault::new(Code::NotSupported, "DISCARD other than ALL")),
    }
}

fn word(token: Option<Token<'_>>) -> Option<CompactString> {
    match token {
        Some(Token::Word(word) | Token::Quoted(word)) => Some(word.to_ascii_lowercase().into()),
        _ => None,
    }
}

fn bad(what: &str) -> Fault {
    Fault::new(Code::BadOption, what)
}

/// Reads a dotted name and the token after it.
fn name<'a>(
    lexer: &mut impl Iterator<Item = Token<'a>>,
) -> Result<(CompactString, Option<Token<'a>>)> {
    let mut name = word(lexer.next()).ok_or_else(|| bad("a name is missing"))?;
    loop {
        match lexer.next() {
            Some(Token::Symbol(b'.')) => {
                name.push('.');
                name.push_str(&word(lexer.next()).ok_or_else(|| bad("a name is missing"))?);
            }
            next => return Ok((name, next)),
        }
    }
}

fn set<'a>(mut lexer: impl Iterator<Item = Token<'a>>) -> Result<Command> {
    let (mut name, mut next) = name(&mut lexer)?;
    if (name == "session" || name == "local")
        && let Some(Token::Word(first) | Token::Quoted(first)) = next
    {
        if name == "local" {
            return Err(bad("an option of the proxy cannot be set for one transaction"));
        }
        let mut rest = std::iter::once(Token::Word(first)).chain(lexer.by_ref());
        (name, next) = self::name(&mut rest)?;
    }
    match (name.as_str(), next) {
        ("time", Some(Token::Word(zone))) if zone.eq_ignore_ascii_case("zone") => {
            parse_value("timezone".into(), lexer)
        }
        ("names", Some(Token::Text(value) | Token::Word(value))) => {
            Ok(Command::Set("client_encoding".into(), value.into()))
        }
        (_, Some(Token::Symbol(b'='))) => parse_value(name, lexer),
        (_, Some(Token::Word(to))) if to.eq_ignore_ascii_case("to") => parse_value(name, lexer),
        _ => Err(bad("an assignment is malformed")),
    }
}

fn parse_value<'a>(
    name: CompactString,
    mut lexer: impl Iterator<Item = Token<'a>>,
) -> Result<Command> {
    let negative = |token: Option<Token<'a>>| match token {
        Some(Token::Number(number)) => Ok(compact_str::format_compact!("-{number}")),
        _ => Err(bad("a value is malformed")),
    };
    let value = match lexer.next() {
        Some(Token::Word(word)) if word.eq_ignore_ascii_case("default") => {
            return Ok(Command::Reset(name));
        }
        Some(Token::Word(value) | Token::Quoted(value) | Token::Number(value)) => value.into(),
        Some(Token::Text(value)) => value.replace("''", "'").to_compact_string(),
        Some(Token::Symbol(b'-')) => negative(lexer.next())?,
        _ => return Err(bad("a value is missing")),
    };
    if lexer.next().is_some() {
        return Err(bad("lists of values are not supported"));
    }
    Ok(Command::Set(name, value))
}
