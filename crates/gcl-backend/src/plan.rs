//! What is sent for a batch, and what is expected in answer.

use crate::cache::Cache;
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use gcl_core::batch::{Batch, Frame, Prepared, Step, Target};
use postgres_protocol::{
    IsNull,
    message::frontend::{self, BindError},
};
use std::{collections::VecDeque, io};

/// What planning returns.
pub type Result<T> = io::Result<T>;

/// The target byte of a statement.
const STATEMENT: u8 = b'S';
/// The target byte of a portal.
const PORTAL: u8 = b'P';

/// The next thing that a server is to answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expect {
    /// Nothing: this message is passed on in its place.
    Given(Frame),
    /// The answer to `Parse`.
    Parse {
        /// The statement to record.
        prepared: Prepared,
        /// Its name on the connection.
        name: CompactString,
        /// Whether the caller sent the message.
        shown: bool,
    },
    /// The answer to `Bind`.
    Bind,
    /// The answer to `Describe`.
    Describe,
    /// The answer to `Execute`.
    Execute,
    /// The answer to `Close`.
    Close {
        /// Whether the caller sent the message.
        shown: bool,
    },
    /// Everything up to `ReadyForQuery`, for a simple query.
    Query,
    /// `ReadyForQuery`.
    Ready,
}

/// What is expected up to one `ReadyForQuery`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// The answers in order.
    pub expects: VecDeque<Expect>,
}

/// Messages to send with the answers that they bring.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The messages.
    pub output: BytesMut,
    /// Where the batch begins in them, if they hold it.
    pub start: Option<usize>,
    /// The expected answers, one group for each `ReadyForQuery`.
    pub groups: VecDeque<Group>,
}

impl Plan {
    /// Adds a simple query.
    pub fn query(&mut self, sql: &str) -> Result<()> {
        frontend::query(sql, &mut self.output)?;
        self.groups.push_back(Group { expects: [Expect::Query].into() });
        Ok(())
    }

    /// Adds a batch; what is added before it is not part of it.
    pub fn batch(&mut self, batch: &Batch, cache: &mut Cache) -> Result<()> {
        self.start = Some(self.output.len());
        match batch {
            Batch::Simple(sql) => self.query(sql),
            Batch::Extended { statements, steps } => {
                let answered = |_| None;
                self.extended(statements, steps, cache, answered)
            }
        }
    }

    /// Adds messages of the extended protocol; `answered` gives the tags of the executions that are
    /// answered without being run.
    pub fn extended(
        &mut self,
        statements: &[Prepared],
        steps: &[Step],
        cache: &mut Cache,
        answered: impl Fn(usize) -> Option<Frame>,
    ) -> Result<()> {
        let mut names = Names::new(statements, cache);
        let mut expects = VecDeque::new();
        for name in cache.evict(names.missing(), statements) {
            frontend::close(STATEMENT, &name, &mut self.output)?;
            expects.push_back(Expect::Close { shown: false });
        }
        let mut executions = 0;
        for step in steps {
            if let Step::Execute { .. } = step {
                executions += 1;
                if let Some(frame) = answered(executions - 1) {
                    expects.push_back(Expect::Given(frame));
                    continue;
                }
            }
            names.step(step, &mut self.output, &mut expects, cache)?;
        }
        frontend::sync(&mut self.output);
        expects.push_back(Expect::Ready);
        self.groups.push_back(Group { expects });
        Ok(())
    }
}

/// The names on a connection of a batch's statements.
struct Names<'a> {
    statements: &'a [Prepared],
    /// The name of each statement that is prepared or being prepared.
    names: Vec<Option<CompactString>>,
}

impl<'a> Names<'a> {
    fn new(statements: &'a [Prepared], cache: &mut Cache) -> Self {
        let names = statements.iter().map(|prepared| cache.find(prepared)).collect();
        Self { statements, names }
    }

    fn missing(&self) -> usize {
        self.names.iter().filter(|name| name.is_none()).count()
    }

    fn step(
        &mut self,
        step: &Step,
        output: &mut BytesMut,
        expects: &mut VecDeque<Expect>,
        cache: &mut Cache,
    ) -> Result<()> {
        match step {
            Step::Parse(index) => {
                if self.names.get(*index).is_some_and(Option::is_some) {
                    expects.push_back(Expect::Given(empty(b'1')));
                } else {
                    self.parse(*index, true, output, expects, cache)?;
                }
            }
            Step::Bind { portal, statement, formats, parameters, results } => {
                let name = self.name(*statement, output, expects, cache)?;
                bind(portal, &name, formats, parameters, results, output)?;
                expects.push_back(Expect::Bind);
            }
            Step::Describe(Target::Statement(index)) => {
                let name = self.name(*index, output, expects, cache)?;
                frontend::describe(STATEMENT, &name, output)?;
                expects.push_back(Expect::Describe);
            }
            Step::Describe(Target::Portal(portal)) => {
                frontend::describe(PORTAL, portal, output)?;
                expects.push_back(Expect::Describe);
            }
            Step::Execute { portal, max_rows } => {
                frontend::execute(portal, *max_rows, output)?;
                expects.push_back(Expect::Execute);
            }
            Step::ClosePortal(portal) => {
                frontend::close(PORTAL, portal, output)?;
                expects.push_back(Expect::Close { shown: true });
            }
            Step::CloseStatement => expects.push_back(Expect::Given(empty(b'3'))),
        }
        Ok(())
    }

    /// The name of a statement, prepared first if it is not yet.
    fn name(
        &mut self,
        index: usize,
        output: &mut BytesMut,
        expects: &mut VecDeque<Expect>,
        cache: &mut Cache,
    ) -> Result<CompactString> {
        match self.names.get(index) {
            Some(Some(name)) => Ok(name.clone()),
            _ => self.parse(index, false, output, expects, cache),
        }
    }

    fn parse(
        &mut self,
        index: usize,
        shown: bool,
        output: &mut BytesMut,
        expects: &mut VecDeque<Expect>,
        cache: &mut Cache,
    ) -> Result<CompactString> {
        let prepared = self.statements.get(index).ok_or(io::ErrorKind::InvalidInput)?;
        let name = cache.fresh_name();
        frontend::parse(&name, &prepared.sql, prepared.types.iter().copied(), output)?;
        let prepared = prepared.clone();
        expects.push_back(Expect::Parse { prepared, name: name.clone(), shown });
        self.names[index] = Some(name.clone());
        Ok(name)
    }
}

fn bind(
    portal: &str,
    statement: &str,
    formats: &[i16],
    parameters: &[Option<Bytes>],
    results: &[i16],
    output: &mut BytesMut,
) -> Result<()> {
    let serialise = |value: &Option<Bytes>, output: &mut BytesMut| match value {
        Some(bytes) => {
            output.extend_from_slice(bytes);
            Ok(IsNull::No)
        }
        None => Ok(IsNull::Yes),
    };
    let (formats, results) = (formats.iter().copied(), results.iter().copied());
    frontend::bind(portal, statement, formats, parameters, serialise, results, output).map_err(
        |error| match error {
            BindError::Conversion(error) => io::Error::other(error),
            BindError::Serialization(error) => error,
        },
    )
}

/// A message without a body.
fn empty(tag: u8) -> Frame {
    Frame { tag, body: Bytes::new() }
}
