//! A minimal SQL lexer: it recognizes words, literals and symbols and skips whitespace and
//! comments.

/// A lexical unit of SQL text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token<'a> {
    /// A keyword or unquoted identifier.
    Word(&'a str),
    /// A quoted identifier, without its quotes.
    Quoted(&'a str),
    /// A string literal, without its quotes.
    Text(&'a str),
    /// A number or a parameter such as `$1`.
    Number(&'a str),
    /// Any other character.
    Symbol(u8),
}

/// An iterator over the tokens of a text.
#[derive(Clone, Debug)]
pub struct Lexer<'a> {
    text: &'a str,
    at: usize,
}

impl<'a> Lexer<'a> {
    /// Creates a lexer at the start of `text`.
    pub const fn new(text: &'a str) -> Self {
        Self { text, at: 0 }
    }

    /// The byte offset from which the next token is read.
    pub const fn position(&self) -> usize {
        self.at
    }

    fn byte(&self, at: usize) -> u8 {
        self.text.as_bytes().get(at).copied().unwrap_or(0)
    }

    fn slice(&self, from: usize, to: usize) -> &'a str {
        self.text.get(from..to).unwrap_or_default()
    }

    fn skip_whitespace(&mut self) {
        loop {
            let byte = self.byte(self.at);
            if byte > b'/' {
                return;
            }
            match (byte, self.byte(self.at + 1)) {
                (b' ' | b'\t' | b'\n' | b'\r' | 0x0c, _) => self.at += 1,
                (b'-', b'-') => {
                    let rest = self.text.as_bytes().get(self.at..).unwrap_or_default();
                    let end = rest.iter().position(|byte| *byte == b'\n');
                    self.at = end.map_or(self.text.len(), |end| self.at + end + 1);
                }
                (b'/', b'*') => self.skip_comment(),
                _ => return,
            }
        }
    }

    fn skip_comment(&mut self) {
        let mut depth = 0_usize;
        while self.at < self.text.len() {
            match (self.byte(self.at), self.byte(self.at + 1)) {
                (b'/', b'*') => depth += 1,
                (b'*', b'/') => depth -= 1,
                _ => {
                    self.at += 1;
                    continue;
                }
            }
            self.at += 2;
            if depth == 0 {
                return;
            }
        }
    }

    fn take_while(&mut self, predicate: impl Fn(u8) -> bool) -> &'a str {
        let from = self.at;
        let rest = self.text.as_bytes().get(from..).unwrap_or_default();
        let length = rest.iter().position(|byte| !predicate(*byte)).unwrap_or(rest.len());
        self.at = from + length;
        self.slice(from, self.at)
    }

    /// Reads up to the closing quote; a doubled quote is part of the text, and so is a character
    /// after a backslash if `escapes` is set.
    fn quoted(&mut self, quote: u8, escapes: bool) -> &'a str {
        let from = self.at + 1;
        self.at = from;
        while self.at < self.text.len() {
            let byte = self.byte(self.at);
            if byte == b'\\' && escapes {
                self.at += 2;
            } else if byte != quote {
                self.at += 1;
            } else if self.byte(self.at + 1) == quote {
                self.at += 2;
            } else {
                self.at += 1;
                return self.slice(from, self.at - 1);
            }
        }
        self.at = self.text.len();
        self.slice(from, self.at)
    }

    /// Reads a dollar-quoted string, if one begins at the current position.
    fn dollar(&mut self) -> Option<&'a str> {
        let rest = self.text.get(self.at..)?;
        let end = rest.bytes().skip(1).position(|byte| !is_name(byte))? + 1;
        if self.byte(self.at + end) != b'$' || self.byte(self.at + 1).is_ascii_digit() {
            return None;
        }
        let tag = rest.get(..=end)?;
        let from = self.at + tag.len();
        let length = self.text.get(from..)?.find(tag);
        let to = length.map_or(self.text.len(), |length| from + length);
        self.at = (to + tag.len()).min(self.text.len());
        Some(self.slice(from, to))
    }

    fn word(&mut self) -> Token<'a> {
        let word = self.take_while(|byte| is_name(byte) || byte == b'$');
        if word.len() == 1 && self.byte(self.at) == b'\'' {
            let escapes = matches!(word.as_bytes(), b"e" | b"E");
            return Token::Text(self.quoted(b'\'', escapes));
        }
        Token::Word(word)
    }
}

/// Lookup table: whether each byte may be part of a name.
const IS_NAME_BYTE: [bool; 256] = name_byte_table();

const fn name_byte_table() -> [bool; 256] {
    let mut table = [false; 256];
    let mut byte = 0_u8;
    loop {
        table[byte as usize] = byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80;
        if byte == u8::MAX {
            return table;
        }
        byte += 1;
    }
}

const fn is_name(byte: u8) -> bool {
    IS_NAME_BYTE[byte as usize]
}

impl<'a> Iterator for Lexer<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        self.skip_whitespace();
        if self.at >= self.text.len() {
            return None;
        }
        let token = match self.byte(self.at) {
            b'\'' => Token::Text(self.quoted(b'\'', false)),
            b'"' => Token::Quoted(self.quoted(b'"', false)),
            b'$' => match self.dollar() {
                Some(text) => Token::Text(text),
                None => Token::Number(self.take_while(|byte| is_name(byte) || byte == b'$')),
            },
            byte if byte.is_ascii_digit() => {
                Token::Number(self.take_while(|byte| is_name(byte) || byte == b'.'))
            }
            byte if is_name(byte) => self.word(),
            byte => {
                self.at += 1;
                Token::Symbol(byte)
            }
        };
        Some(token)
    }
}
