//! A minimal tokenizer of SQL text: statements, words, parameters and casts.

/// A cast of a parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cast {
    /// The parameter's number.
    pub number: usize,
    /// The type's name.
    pub kind: String,
}

/// A reference to a column in a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Column {
    /// By its name.
    Named(String),
    /// By its index in a table, from zero.
    Nth {
        /// The table's name.
        table: String,
        /// The index.
        index: usize,
    },
}

/// The column that a parameter is written to or compared with, from which its type is inferred.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hint {
    /// The parameter's number.
    pub number: usize,
    /// The column.
    pub column: Column,
}

/// One statement, without casts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Text {
    /// The text for `SQLite`.
    pub sql: String,
    /// The casts that were removed.
    pub casts: Vec<Cast>,
}

/// The number of a parameter `$n`.
#[must_use]
pub fn parameter(name: &str) -> Option<usize> {
    name.strip_prefix('$')?.parse().ok().filter(|number| *number > 0)
}

/// Splits text at semicolons and removes casts and comments. Empty statements are dropped.
#[must_use]
pub fn split(text: &str) -> Vec<Text> {
    let mut statements = vec![Text::default()];
    let mut rest = text;
    let mut last = "";
    while !rest.is_empty() {
        let token = &rest[..token_length(rest)];
        rest = &rest[token.len()..];
        let Some(statement) = statements.last_mut() else { break };
        if token == ";" {
            statements.push(Text::default());
        } else if token == "::" {
            let kind = &rest[..token_length(rest)];
            rest = &rest[kind.len()..];
            let casts = parameter(last).map(|number| Cast { number, kind: kind.to_owned() });
            statement.casts.extend(casts);
        } else if is_comment(token) {
            statement.sql.push(' ');
        } else if is_escaped(token) {
            let text = literal(token).replace('\'', "''");
            statement.sql.extend(["'", text.as_str(), "'"]);
        } else {
            statement.sql.push_str(token);
            last = token;
        }
    }
    for statement in &mut statements {
        statement.sql = statement.sql.trim().to_owned();
    }
    statements.retain(|statement| !statement.sql.is_empty());
    statements
}

/// The tokens of a statement, without white space and comments.
#[must_use]
pub fn tokens(mut text: &str) -> Vec<&str> {
    let mut tokens = Vec::new();
    while !text.is_empty() {
        let token = &text[..token_length(text)];
        text = &text[token.len()..];
        if !token.trim().is_empty() && !is_comment(token) {
            tokens.push(token);
        }
    }
    tokens
}

/// The tokens of a statement in upper case.
#[must_use]
pub fn words(text: &str) -> Vec<String> {
    tokens(text).iter().map(|token| token.to_ascii_uppercase()).collect()
}

/// A literal without its quotes.
#[must_use]
pub fn literal(token: &str) -> String {
    let quoted = |quote: char| token.strip_prefix(quote).and_then(|rest| rest.strip_suffix(quote));
    if is_escaped(token) {
        unescape(token.get(2..token.len() - 1).unwrap_or_default())
    } else if let Some(inner) = quoted('\'') {
        inner.replace("''", "'")
    } else if let Some(inner) = quoted('"') {
        inner.replace("\"\"", "\"")
    } else {
        token.to_owned()
    }
}

/// The columns that the parameters of a statement are written to or compared with.
#[must_use]
pub fn hints(sql: &str) -> Vec<Hint> {
    let tokens = tokens(sql);
    let mut hints = insert_hints(&tokens);
    for (index, token) in tokens.iter().enumerate() {
        let Some(number) = parameter(token) else { continue };
        let before = |back: usize| index.checked_sub(back).and_then(|at| tokens.get(at));
        let column = match before(1).map(|sign| sign.to_ascii_uppercase()).as_deref() {
            Some("=" | "<" | ">" | "<=" | ">=" | "<>" | "!=" | "+" | "-" | "LIKE") => before(2),
            Some("LIMIT" | "OFFSET") => before(1),
            _ => None,
        };
        if let Some(column) = column {
            hints.push(Hint { number, column: Column::Named(literal(column)) });
        }
    }
    hints
}

/// Matches the parameters of `INSERT INTO t (a, b) VALUES ($1, $2)` to columns by position, with or
/// without a column list.
fn insert_hints(tokens: &[&str]) -> Vec<Hint> {
    let find = |word: &str| tokens.iter().position(|token| token.eq_ignore_ascii_case(word));
    let (Some(into), Some(values)) = (find("INTO"), find("VALUES")) else {
        return Vec::new();
    };
    let inside = |tokens: &[&str]| -> Vec<String> {
        let open = tokens.iter().position(|token| *token == "(").unwrap_or(tokens.len());
        let tail = tokens.get(open + 1..).unwrap_or_default();
        let list = tail.iter().take_while(|token| **token != ")");
        list.filter(|token| **token != ",").map(|token| (*token).to_owned()).collect()
    };
    let columns = inside(&tokens[..values]);
    let table = tokens.get(into + 1).map(|table| literal(table)).unwrap_or_default();
    let tuples = tokens[values..].split(|token| *token == "(").skip(1);
    let tuple = |tuple: &[&str]| -> Vec<Hint> {
        let fields = tuple.split(|token| *token == "," || *token == ")");
        let hint = |(index, field): (usize, &[&str])| {
            let number = field.first().copied().and_then(parameter)?;
            let column = if columns.is_empty() {
                Column::Nth { table: table.clone(), index }
            } else {
                Column::Named(literal(columns.get(index)?))
            };
            Some(Hint { number, column })
        };
        fields.enumerate().filter_map(hint).collect()
    };
    tuples.flat_map(tuple).collect()
}

/// Whether a token is an escape string literal, `E'...'`.
fn is_escaped(token: &str) -> bool {
    token.starts_with("E'") || token.starts_with("e'")
}

fn unescape(inner: &str) -> String {
    let mut text = String::with_capacity(inner.len());
    let mut chars = inner.chars();
    while let Some(c) = chars.next() {
        if c == '\\' || c == '\'' {
            text.extend(chars.next());
        } else {
            text.push(c);
        }
    }
    text
}

fn is_comment(token: &str) -> bool {
    token.starts_with("--") || token.starts_with("/*")
}

/// The length in bytes of the first token of a non-empty text.
fn token_length(text: &str) -> usize {
    let first = text.chars().next().unwrap_or(' ');
    let span = |test: fn(char) -> bool| text.find(|c| !test(c)).unwrap_or(text.len());
    let until = |end: &str, from: usize| {
        let tail = text.get(from..).unwrap_or("");
        tail.find(end).map_or(text.len(), |at| from + at + end.len())
    };
    match first {
        c if c.is_whitespace() => span(char::is_whitespace),
        '\'' | '"' => quoted_length(text, first, false),
        _ if is_escaped(text) => 1 + quoted_length(&text[1..], '\'', true),
        '$' => 1 + text[1..].find(|c| !is_word(c)).unwrap_or(text.len() - 1),
        c if is_word(c) => span(is_word),
        _ if text.starts_with("--") => until("\n", 2),
        _ if text.starts_with("/*") => until("*/", 2),
        _ if ["::", "<=", ">=", "<>", "!=", "||"].iter().any(|sign| text.starts_with(sign)) => 2,
        c => c.len_utf8(),
    }
}

fn is_word(c: char) -> bool {
    c.is_alphanumeric() || c == '_' || c == '.'
}

fn quoted_length(text: &str, quote: char, escaped: bool) -> usize {
    let mut chars = text.char_indices().skip(1).peekable();
    while let Some((at, c)) = chars.next() {
        if escaped && c == '\\' {
            chars.next();
        } else if c == quote {
            if chars.peek().is_some_and(|(_, next)| *next == quote) {
                chars.next();
            } else {
                return at + c.len_utf8();
            }
        }
    }
    text.len()
}
