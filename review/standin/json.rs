//! A small JSON reader for the bodies that daemons send to the store and to the platform.

use std::{collections::BTreeMap, iter::Peekable, str::Chars};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`; the text.
    Word(String),
    /// A number, as text.
    Number(String),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Json>),
    /// An object.
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// Reads a value; `None` if the text is malformed.
    pub fn parse(text: &str) -> Option<Json> {
        value(&mut text.chars().peekable())
    }

    /// A member of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(members) => members.get(name),
            _ => None,
        }
    }

    /// The elements of an array.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    /// A string's text.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// A whole number; zero for anything else.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }
}

fn skip(chars: &mut Peekable<Chars>) {
    while chars.peek().is_some_and(|it| it.is_whitespace()) {
        chars.next();
    }
}

fn value(chars: &mut Peekable<Chars>) -> Option<Json> {
    skip(chars);
    match *chars.peek()? {
        '{' => {
            chars.next();
            let mut members = BTreeMap::new();
            loop {
                skip(chars);
                match chars.peek()? {
                    '}' => {
                        chars.next();
                        return Some(Json::Map(members));
                    }
                    ',' => {
                        chars.next();
                    }
                    _ => {
                        let Json::Text(name) = value(chars)? else { return None };
                        skip(chars);
                        (chars.next()? == ':').then_some(())?;
                        members.insert(name, value(chars)?);
                    }
                }
            }
        }
        '[' => {
            chars.next();
            let mut list = Vec::new();
            loop {
                skip(chars);
                match chars.peek()? {
                    ']' => {
                        chars.next();
                        return Some(Json::List(list));
                    }
                    ',' => {
                        chars.next();
                    }
                    _ => list.push(value(chars)?),
                }
            }
        }
        '"' => {
            chars.next();
            let mut text = String::new();
            loop {
                match chars.next()? {
                    '"' => return Some(Json::Text(text)),
                    '\\' => match chars.next()? {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let code: String = (0..4).filter_map(|_| chars.next()).collect();
                            text.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                        }
                        other => text.push(other),
                    },
                    other => text.push(other),
                }
            }
        }
        first => {
            let mut text = String::new();
            while chars.peek().is_some_and(|it| !",]} \r\n\t".contains(*it)) {
                text.push(chars.next()?);
            }
            let number = first == '-' || first.is_ascii_digit();
            Some(if number { Json::Number(text) } else { Json::Word(text) })
        }
    }
}

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() { char::from(letter) } else { '=' });
        }
    }
    text
}
