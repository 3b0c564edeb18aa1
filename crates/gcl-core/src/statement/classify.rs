//! Classes of statements, and the statements that a shared connection cannot carry.

use super::{
    Class,
    command::{self, Command},
    lexer::{Lexer, Token},
    pure::is_pure,
};
use crate::code::{Code, Fault, Result};

/// Bytes of the longest word that the classifier knows.
const WORD_BYTES: usize = 24;
/// Words of a `CREATE` among which `TEMPORARY` stands.
const TEMPORARY_WORDS: usize = 3;

/// What a text of one or more statements is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No statement at all.
    Empty,
    /// Statements that run on a server.
    Run(Class),
    /// A command that the entry carries out.
    Local(Command),
}

/// A word in lower case; empty when it is longer than any known word.
#[derive(Clone, Copy)]
struct Lower {
    bytes: [u8; WORD_BYTES],
    length: usize,
}

impl Lower {
    fn new(word: &str) -> Self {
        let mut bytes = [0; WORD_BYTES];
        let length = if word.len() <= WORD_BYTES { word.len() } else { 0 };
        for (lower, byte) in bytes.iter_mut().zip(word.bytes()) {
            *lower = byte.to_ascii_lowercase();
        }
        Self { bytes, length }
    }

    fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes[..self.length]).unwrap_or_default()
    }
}

/// Judges SQL text; what cannot be carried counts as a write.
#[must_use]
pub fn classify(sql: &str) -> Class {
    match judge(sql) {
        Ok(Verdict::Run(class)) => class,
        Ok(Verdict::Empty | Verdict::Local(_)) => Class::Read,
        Err(_) => Class::Write,
    }
}

/// Judges SQL text of any number of statements.
///
/// # Errors
/// [`Code::NotSupported`] or [`Code::BadOption`].
pub fn judge(sql: &str) -> Result<Verdict> {
    let mut lexer = Lexer::new(sql);
    let mut total = Total::default();
    loop {
        let from = lexer.position();
        let Some(token) = lexer.next() else { break };
        if token == Token::Symbol(b';') {
            continue;
        }
        let statement = Statement::read(token, &mut lexer);
        let text = sql.get(from..lexer.position()).unwrap_or_default();
        total.add(&statement, text)?;
    }
    total.verdict()
}

/// What the statements of a text amount to.
#[derive(Default)]
struct Total {
    count: usize,
    mix: Mix,
    local: Option<Command>,
}

impl Total {
    fn add(&mut self, statement: &Statement, text: &str) -> Result<()> {
        self.count += 1;
        if let Some(what) = statement.refused {
            return Err(Fault::new(Code::NotSupported, what));
        }
        if statement.local
            && let Some(command) = command::parse(text)?
        {
            self.local = Some(command);
            return Ok(());
        }
        self.mix.add(statement.class)
    }

    fn verdict(self) -> Result<Verdict> {
        match self.local {
            Some(command) if self.count == 1 => Ok(Verdict::Local(command)),
            Some(_) => Err(mixed("a session command is mixed with other statements")),
            None => Ok(self.mix.class().map_or(Verdict::Empty, Verdict::Run)),
        }
    }
}

/// Statements that run together, and the one class that they amount to.
#[derive(Clone, Debug, Default)]
pub struct Mix {
    count: usize,
    class: Option<Class>,
    begins: Option<bool>,
    ended: Option<Class>,
}

impl Mix {
    /// Adds the next statement.
    ///
    /// # Errors
    /// [`Code::NotSupported`] when a transaction begins after, or ends before, another statement.
    pub fn add(&mut self, class: Class) -> Result<()> {
        self.count += 1;
        if self.ended.is_some() {
            return Err(mixed("a statement follows the end of a transaction"));
        }
        match class {
            Class::Begin { .. } if self.count > 1 => {
                return Err(mixed("a transaction begins after another statement"));
            }
            Class::Begin { read_only } => self.begins = Some(read_only),
            Class::Commit | Class::Rollback => self.ended = Some(class),
            _ => self.class = Some(strongest(self.class, class)),
        }
        Ok(())
    }

    /// The class of the whole, `None` without statements.
    #[must_use]
    pub const fn class(&self) -> Option<Class> {
        match (self.begins, self.ended) {
            (None, None) => self.class,
            (Some(read_only), None) => Some(Class::Begin { read_only }),
            (None, Some(end)) => Some(end),
            (Some(_), Some(_)) => Some(Class::Write),
        }
    }
}

fn mixed(what: &str) -> Fault {
    Fault::new(Code::NotSupported, what)
}

/// The class that needs more of a server.
const fn strongest(first: Option<Class>, second: Class) -> Class {
    match (first, second) {
        (Some(Class::Write), _) | (_, Class::Write) => Class::Write,
        (Some(Class::Call), _) | (_, Class::Call) => Class::Call,
        _ => Class::Read,
    }
}

/// One statement of a text.
struct Statement {
    class: Class,
    refused: Option<&'static str>,
    /// Whether the entry may carry it out itself.
    local: bool,
}

impl Statement {
    const fn run(class: Class) -> Self {
        Self { class, refused: None, local: false }
    }

    const fn refused(what: &'static str) -> Self {
        Self { class: Class::Write, refused: Some(what), local: false }
    }

    const fn local(class: Class) -> Self {
        Self { class, refused: None, local: true }
    }

    /// Judges the statement that begins with `first` and reads up to its end.
    fn read(first: Token<'_>, lexer: &mut Lexer<'_>) -> Self {
        let mut first = first;
        while first == Token::Symbol(b'(') {
            match lexer.next() {
                Some(token) => first = token,
                None => return Self::run(Class::Write),
            }
        }
        let verb = match first {
            Token::Word(word) => Lower::new(word),
            _ => Lower::new(""),
        };
        let scan = Scan::read(lexer);
        let mut statement = judge_verb(verb.as_str(), &scan);
        if scan.has(Fact::Advisory) {
            statement = Self::refused("session-level advisory locks");
        }
        statement
    }
}

fn judge_verb(verb: &str, scan: &Scan) -> Statement {
    let second = scan.words[0].as_str();
    match verb {
        "select" | "values" | "table" | "with" => query(scan),
        "explain" => explain(scan),
        "show" => Statement::local(Class::Read),
        "begin" | "start" => Statement::run(Class::Begin { read_only: scan.has(Fact::ReadOnly) }),
        "commit" | "rollback" if second == "prepared" => Statement::refused("two-phase commit"),
        "commit" | "end" | "rollback" | "abort" if scan.has(Fact::Chain) => {
            Statement::refused("AND CHAIN")
        }
        "commit" | "end" => Statement::run(Class::Commit),
        "rollback" if scan.has(Fact::To) => Statement::run(Class::Write),
        "rollback" | "abort" => Statement::run(Class::Rollback),
        "set" => set(second, scan),
        "reset" | "discard" => Statement::local(Class::Write),
        "create" if scan.has(Fact::Temporary) => Statement::refused("temporary tables"),
        "declare" if scan.has(Fact::Hold) => Statement::refused("cursors WITH HOLD"),
        "copy" => Statement::refused("COPY"),
        "listen" | "unlisten" | "notify" => Statement::refused("LISTEN and NOTIFY"),
        "prepare" | "execute" | "deallocate" => Statement::refused("PREPARE and EXECUTE in SQL"),
        "load" => Statement::refused("LOAD"),
        _ => Statement::run(Class::Write),
    }
}

fn query(scan: &Scan) -> Statement {
    if scan.has(Fact::IntoTemporary) {
        return Statement::refused("temporary tables");
    }
    let class = if scan.has(Fact::Modifies) || scan.has(Fact::Into) || scan.has(Fact::Locks) {
        Class::Write
    } else if scan.has(Fact::Calls) {
        Class::Call
    } else {
        Class::Read
    };
    Statement::run(class)
}

fn explain(scan: &Scan) -> Statement {
    if scan.has(Fact::Analyze) { query(scan) } else { Statement::run(Class::Read) }
}

fn set(second: &str, scan: &Scan) -> Statement {
    match second {
        "transaction" | "constraints" => Statement::run(Class::Write),
        "local" if !scan.has(Fact::Own) => Statement::run(Class::Write),
        "role" => Statement::refused("SET ROLE"),
        "session" if matches!(scan.words[1].as_str(), "authorization" | "characteristics") => {
            Statement::refused("SET SESSION AUTHORIZATION and CHARACTERISTICS")
        }
        _ => Statement::local(Class::Write),
    }
}

/// A fact about the words after the verb.
#[derive(Clone, Copy)]
enum Fact {
    Modifies,
    Into,
    IntoTemporary,
    Locks,
    Calls,
    Analyze,
    Temporary,
    Hold,
    To,
    Chain,
    ReadOnly,
    Advisory,
    /// An option of the proxy is named.
    Own,
}

/// What the words after the verb tell.
struct Scan {
    words: [Lower; 2],
    facts: u16,
}

impl Scan {
    const fn has(&self, fact: Fact) -> bool {
        self.facts & (1 << fact as u16) != 0
    }

    fn note(&mut self, fact: Fact, holds: bool) {
        self.facts |= u16::from(holds) << fact as u16;
    }

    fn read(lexer: &mut Lexer<'_>) -> Self {
        let mut scan = Self { words: [Lower::new(""); 2], facts: 0 };
        let mut last = "";
        let mut callable = false;
        let mut count = 0;
        for token in lexer.by_ref() {
            match token {
                Token::Symbol(b';') => break,
                Token::Symbol(b'(') if callable => {
                    scan.note(Fact::Calls, !is_pure(Lower::new(last).as_str()));
                    callable = false;
                }
                Token::Word(word) => {
                    scan.word(count, last, word);
                    if let Some(slot) = scan.words.get_mut(count) {
                        *slot = Lower::new(word);
                    }
                    count += 1;
                    last = word;
                    callable = true;
                }
                Token::Quoted(name) => {
                    scan.note(Fact::Advisory, is_advisory(name));
                    last = name;
                    callable = true;
                }
                _ => callable = false,
            }
        }
        scan
    }

    /// Notes what a word tells; most words are passed over by their length alone.
    fn word(&mut self, count: usize, last: &str, word: &str) {
        let is = |known: &str| word.eq_ignore_ascii_case(known);
        let after = |known: &str| last.eq_ignore_ascii_case(known);
        match word.len() {
            2 => {
                self.note(Fact::To, is("to"));
                self.note(Fact::Locks, is("no") && after("for"));
            }
            3 => self.note(Fact::Locks, is("key") && after("for")),
            4 => {
                self.note(Fact::Modifies, is("call"));
                self.note(Fact::Into, is("into"));
                self.note(Fact::Hold, is("hold") && after("with"));
                self.note(Fact::ReadOnly, is("only") && after("read"));
                self.temporary(count, last, is("temp"));
            }
            5 => {
                self.note(Fact::Modifies, is("merge"));
                self.note(Fact::Locks, is("share") && (after("for") || after("key")));
                self.note(Fact::Chain, is("chain") && after("and"));
            }
            6 => {
                let locks = is("update") && (after("for") || after("key"));
                self.note(Fact::Locks, locks);
                let modifies = is("insert") || is("delete") || is("update");
                self.note(Fact::Modifies, modifies && !locks);
            }
            7 => self.note(Fact::Analyze, is("analyze") || is("analyse")),
            9 => {
                self.temporary(count, last, is("temporary"));
                self.note(Fact::Own, is("goldcrest"));
            }
            _ => self.note(Fact::Advisory, is_advisory(word)),
        }
    }

    fn temporary(&mut self, count: usize, last: &str, found: bool) {
        let after = |known: &str| last.eq_ignore_ascii_case(known);
        self.note(Fact::Temporary, found && count < TEMPORARY_WORDS && !after("table"));
        self.note(Fact::IntoTemporary, found && after("into"));
    }
}

/// Functions that take or give back a lock begin with one of these.
const ADVISORY: [&str; 2] = ["pg_advisory_", "pg_try_advisory_"];
/// What follows where the lock ends with its transaction.
const WITHIN: &str = "xact_";

/// Whether a function takes or gives back a lock of the session.
fn is_advisory(word: &str) -> bool {
    let starts = |text: &str, prefix: &str| {
        text.get(..prefix.len()).is_some_and(|start| start.eq_ignore_ascii_case(prefix))
    };
    let prefix = ADVISORY.iter().find(|prefix| starts(word, prefix));
    prefix.is_some_and(|prefix| !starts(&word[prefix.len()..], WITHIN))
}
