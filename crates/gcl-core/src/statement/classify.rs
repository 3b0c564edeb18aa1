//! Classification of statements, and refusal of those that cannot run on a shared connection.

use super::{
    Class,
    command::{self, Command},
    lexer::{Lexer, Token},
    pure::is_pure,
};
use crate::code::{Code, Fault, Result};

/// Bytes of the longest word that is compared; longer words match no keyword.
const MAX_WORD_BYTES: usize = 24;
/// Words after `CREATE` among which `TEMPORARY` may appear, as in `CREATE OR REPLACE TEMPORARY`.
const TEMPORARY_WORDS: usize = 3;

/// The result of analyzing a text of one or more statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Analysis {
    /// The text contains no statement.
    Empty,
    /// Statements that run on a server, with their combined class.
    Run(Class),
    /// A command that the entry runs itself.
    Local(Command),
}

/// A word in lower case; empty if it is longer than any known word.
#[derive(Clone, Copy)]
struct Lower {
    bytes: [u8; MAX_WORD_BYTES],
    length: usize,
}

impl Lower {
    fn new(word: &str) -> Self {
        let mut bytes = [0; MAX_WORD_BYTES];
        let length = if word.len() <= MAX_WORD_BYTES { word.len() } else { 0 };
        for (lower, byte) in bytes.iter_mut().zip(word.bytes()) {
            *lower = byte.to_ascii_lowercase();
        }
        Self { bytes, length }
    }

    fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes[..self.length]).unwrap_or_default()
    }
}

/// Classifies SQL text; text that is refused counts as a write.
#[must_use]
pub fn classify(sql: &str) -> Class {
    match analyze(sql) {
        Ok(Analysis::Run(class)) => class,
        Ok(Analysis::Empty | Analysis::Local(_)) => Class::Read,
        Err(_) => Class::Write,
    }
}

/// Analyzes SQL text of any number of statements.
///
/// # Errors
/// [`Code::NotSupported`] or [`Code::BadOption`].
pub fn analyze(sql: &str) -> Result<Analysis> {
    let mut lexer = Lexer::new(sql);
    let mut total = Accumulator::default();
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

/// The combined analysis of the statements of a text.
#[derive(Default)]
struct Accumulator {
    count: usize,
    combination: Combination,
    local: Option<Command>,
}

impl Accumulator {
    fn add(&mut self, statement: &Statement, text: &str) -> Result<()> {
        self.count += 1;
        if let Some(reason) = statement.refused {
            return Err(Fault::new(Code::NotSupported, reason));
        }
        if statement.local
            && let Some(command) = command::parse(text)?
        {
            self.local = Some(command);
            return Ok(());
        }
        self.combination.add(statement.class)
    }

    fn verdict(self) -> Result<Analysis> {
        match self.local {
            Some(command) if self.count == 1 => Ok(Analysis::Local(command)),
            Some(_) => Err(unsupported("a session command is mixed with other statements")),
            None => Ok(self.combination.class().map_or(Analysis::Empty, Analysis::Run)),
        }
    }
}

/// The combined class of statements that run together.
#[derive(Clone, Debug, Default)]
pub struct Combination {
    count: usize,
    class: Option<Class>,
    begins: Option<bool>,
    ended: Option<Class>,
}

impl Combination {
    /// Adds the next statement.
    ///
    /// # Errors
    /// [`Code::NotSupported`] if a transaction begins after, or ends before, another statement.
    pub fn add(&mut self, class: Class) -> Result<()> {
        self.count += 1;
        if self.ended.is_some() {
            return Err(unsupported("a statement follows the end of a transaction"));
        }
        match class {
            Class::Begin { .. } if self.count > 1 => {
                return Err(unsupported("a transaction begins after another statement"));
            }
            Class::Begin { read_only } => self.begins = Some(read_only),
            Class::Commit | Class::Rollback => self.ended = Some(class),
            _ => self.class = Some(strongest(self.class, class)),
        }
        Ok(())
    }

    /// The combined class, `None` without statements.
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

fn unsupported(reason: &str) -> Fault {
    Fault::new(Code::NotSupported, reason)
}

/// The class with the stronger requirements for the server.
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
    /// Whether the entry may be able to run it itself.
    local: bool,
}

impl Statement {
    const fn run(class: Class) -> Self {
        Self { class, refused: None, local: false }
    }

    const fn refused(reason: &'static str) -> Self {
        Self { class: Class::Write, refused: Some(reason), local: false }
    }

    const fn local(class: Class) -> Self {
        Self { class, refused: None, local: true }
    }

    /// Reads and classifies the statement that begins with `first`, up to its end.
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
        let mut statement = classify_verb(verb.as_str(), &scan);
        if scan.has(Fact::Advisory) {
            statement = Self::refused("session-level advisory locks");
        }
        statement
    }
}

fn classify_verb(verb: &str, scan: &Scan) -> Statement {
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
    let class = if scan.has(Fact::Writes) || scan.has(Fact::Into) || scan.has(Fact::Locks) {
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
        "local" if !scan.has(Fact::ProxyOption) => Statement::run(Class::Write),
        "role" => Statement::refused("SET ROLE"),
        "session" if matches!(scan.words[1].as_str(), "authorization" | "characteristics") => {
            Statement::refused("SET SESSION AUTHORIZATION and CHARACTERISTICS")
        }
        _ => Statement::local(Class::Write),
    }
}

/// A property of the words after the verb.
#[derive(Clone, Copy)]
enum Fact {
    Writes,
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
    /// Refers to an option of the proxy.
    ProxyOption,
}

/// The first words after the verb, and the facts found in the whole statement, as a bit set.
struct Scan {
    words: [Lower; 2],
    facts: u16,
}

impl Scan {
    const fn has(&self, fact: Fact) -> bool {
        self.facts & (1 << fact as u16) != 0
    }

    fn record(&mut self, fact: Fact, holds: bool) {
        self.facts |= u16::from(holds) << fact as u16;
    }

    fn read(lexer: &mut Lexer<'_>) -> Self {
        let mut scan = Self { words: [Lower::new(""); 2], facts: 0 };
        let mut previous = "";
        let mut callable = false;
        let mut index = 0;
        for token in lexer.by_ref() {
            match token {
                Token::Symbol(b';') => break,
                Token::Symbol(b'(') if callable => {
                    scan.record(Fact::Calls, !is_pure(Lower::new(previous).as_str()));
                    callable = false;
                }
                Token::Word(word) => {
                    scan.record_word(index, previous, word);
                    if let Some(slot) = scan.words.get_mut(index) {
                        *slot = Lower::new(word);
                    }
                    index += 1;
                    previous = word;
                    callable = true;
                }
                Token::Quoted(name) => {
                    scan.record(Fact::Advisory, is_advisory(name));
                    previous = name;
                    callable = true;
                }
                _ => callable = false,
            }
        }
        scan
    }

    /// Records the facts that a word establishes; most words are ruled out by their length alone.
    fn record_word(&mut self, index: usize, previous: &str, word: &str) {
        let is = |known: &str| word.eq_ignore_ascii_case(known);
        let after = |known: &str| previous.eq_ignore_ascii_case(known);
        match word.len() {
            2 => {
                self.record(Fact::To, is("to"));
                self.record(Fact::Locks, is("no") && after("for"));
            }
            3 => self.record(Fact::Locks, is("key") && after("for")),
            4 => {
                self.record(Fact::Writes, is("call"));
                self.record(Fact::Into, is("into"));
                self.record(Fact::Hold, is("hold") && after("with"));
                self.record(Fact::ReadOnly, is("only") && after("read"));
                self.record_temporary(index, previous, is("temp"));
            }
            5 => {
                self.record(Fact::Writes, is("merge"));
                self.record(Fact::Locks, is("share") && (after("for") || after("key")));
                self.record(Fact::Chain, is("chain") && after("and"));
            }
            6 => {
                let locks = is("update") && (after("for") || after("key"));
                self.record(Fact::Locks, locks);
                let writes = is("insert") || is("delete") || is("update");
                self.record(Fact::Writes, writes && !locks);
            }
            7 => self.record(Fact::Analyze, is("analyze") || is("analyse")),
            9 => {
                self.record_temporary(index, previous, is("temporary"));
                self.record(Fact::ProxyOption, is("goldcrest"));
            }
            _ => self.record(Fact::Advisory, is_advisory(word)),
        }
    }

    fn record_temporary(&mut self, index: usize, previous: &str, found: bool) {
        let after = |known: &str| previous.eq_ignore_ascii_case(known);
        self.record(Fact::Temporary, found && index < TEMPORARY_WORDS && !after("table"));
        self.record(Fact::IntoTemporary, found && after("into"));
    }
}

/// Prefixes of the functions that acquire or release an advisory lock.
const ADVISORY_PREFIXES: [&str; 2] = ["pg_advisory_", "pg_try_advisory_"];
/// What follows the prefix if the lock is released at the end of the transaction.
const TRANSACTION_LEVEL: &str = "xact_";

/// Whether a function acquires or releases an advisory lock at session level.
fn is_advisory(word: &str) -> bool {
    let starts = |text: &str, prefix: &str| {
        text.get(..prefix.len()).is_some_and(|start| start.eq_ignore_ascii_case(prefix))
    };
    let prefix = ADVISORY_PREFIXES.iter().find(|prefix| starts(word, prefix));
    prefix.is_some_and(|prefix| !starts(&word[prefix.len()..], TRANSACTION_LEVEL))
}
