//! Plans the messages to send for a batch and the answers to expect.

use crate::cache::Cache;
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use gcl_core::batch::{Batch, Frame, Prepared, Step, Target};
use postgres_protocol::{
    IsNull,
    message::frontend::{self, BindError},
};
use std::{collections::VecDeque, io};

/// The result of planning; an error means that a message cannot be encoded.
pub type Result<T> = io::Result<T>;

/// Target byte of a statement in `Describe` and `Close`.
const STATEMENT: u8 = b'S';
/// Target byte of a portal in `Describe` and `Close`.
const PORTAL: u8 = b'P';

/// An expected answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Nothing from the server; this message is forwarded to the caller instead.
    Synthetic(Frame),
    /// The answer to `Parse`.
    Parse {
        /// The statement to add to the cache.
        prepared: Prepared,
        /// Its name on the connection.
        name: CompactString,
        /// Whether to forward the answer: the caller sent the message itself.
        forward: bool,
    },
    /// The answer to `Bind`.
    Bind,
    /// The answer to `Describe`.
    Describe,
    /// The answer to `Execute`.
    Execute,
    /// The answer to `Close`.
    Close {
        /// Whether to forward the answer: the caller sent the message itself.
        forward: bool,
    },
    /// All answers to a simple query, up to `ReadyForQuery`.
    Query,
    /// `ReadyForQuery`.
    Ready,
}

/// The answers expected up to one `ReadyForQuery`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// The expected answers in order.
    pub expected: VecDeque<Expected>,
}

/// Messages to send and the answers expected to them.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The encoded messages.
    pub output: BytesMut,
    /// Offset of the caller's batch in the messages, if they include it.
    pub batch_start: Option<usize>,
    /// The expected answers, one group for each `ReadyForQuery`.
    pub groups: VecDeque<Group>,
}

impl Plan {
    /// Adds a simple query.
    ///
    /// # Errors
    /// The text cannot be encoded.
    pub fn query(&mut self, sql: &str) -> Result<()> {
        frontend::query(sql, &mut self.output)?;
        self.groups.push_back(Group { expected: [Expected::Query].into() });
        Ok(())
    }

    /// Adds the caller's batch.
    ///
    /// # Errors
    /// A message cannot be encoded or refers to a statement that the batch does not have.
    pub fn batch(&mut self, batch: &Batch, cache: &mut Cache) -> Result<()> {
        self.batch_start = Some(self.output.len());
        match batch {
            Batch::Simple(sql) => self.query(sql),
            Batch::Extended { statements, steps } => {
                let synthetic = |_| None;
                self.extended(statements, steps, cache, synthetic)
            }
        }
    }

    /// Adds messages of the extended protocol. `synthetic` returns the answer to an execution, by its
    /// index, that is not to be sent to the server.
    ///
    /// # Errors
    /// As for [`Self::batch`].
    pub fn extended(
        &mut self,
        statements: &[Prepared],
        steps: &[Step],
        cache: &mut Cache,
        synthetic: impl Fn(usize) -> Option<Frame>,
    ) -> Result<()> {
        let mut names = Names::new(statements, cache);
        let mut expected = VecDeque::new();
        for name in cache.evict(names.unprepared(), statements) {
            frontend::close(STATEMENT, &name, &mut self.output)?;
            expected.push_back(Expected::Close { forward: false });
        }
        let mut executions = 0;
        for step in steps {
            if let Step::Execute { .. } = step {
                executions += 1;
                if let Some(frame) = synthetic(executions - 1) {
                    expected.push_back(Expected::Synthetic(frame));
                    continue;
                }
            }
            names.add_step(step, &mut self.output, &mut expected, cache)?;
        }
        frontend::sync(&mut self.output);
        expected.push_back(Expected::Ready);
        self.groups.push_back(Group { expected });
        Ok(())
    }
}

/// The names of a batch's prepared statements on a connection.
struct Names<'a> {
    statements: &'a [Prepared],
    /// The name of each statement; `None` if it is neither prepared nor being prepared.
    names: Vec<Option<CompactString>>,
}

impl<'a> Names<'a> {
    fn new(statements: &'a [Prepared], cache: &mut Cache) -> Self {
        let names = statements.iter().map(|prepared| cache.find(prepared)).collect();
        Self { statements, names }
    }

    fn unprepared(&self) -> usize {
        self.names.iter().filter(|name| name.is_none()).count()
    }

    fn add_step(
        &mut self,
        step: &Step,
        output: &mut BytesMut,
        expected: &mut VecDeque<Expected>,
        cache: &mut Cache,
    ) -> Result<()> {
        match step {
            Step::Parse(index) => {
                if self.names.get(*index).is_some_and(Option::is_some) {
                    expected.push_back(Expected::Synthetic(empty_frame(b'1')));
                } else {
                    self.parse(*index, true, output, expected, cache)?;
                }
            }
            Step::Bind { portal, statement, formats, parameters, results } => {
                let name = self.name(*statement, output, expected, cache)?;
                bind(portal, &name, formats, parameters, results, output)?;
                expected.push_back(Expected::Bind);
            }
            Step::Describe(Target::Statement(index)) => {
                let name = self.name(*index, output, expected, cache)?;
                frontend::describe(STATEMENT, &name, output)?;
                expected.push_back(Expected::Describe);
            }
            Step::Describe(Target::Portal(portal)) => {
                frontend::describe(PORTAL, portal, output)?;
                expected.push_back(Expected::Describe);
            }
            Step::Execute { portal, max_rows } => {
                frontend::execute(portal, *max_rows, output)?;
                expected.push_back(Expected::Execute);
            }
            Step::ClosePortal(portal) => {
                frontend::close(PORTAL, portal, output)?;
                expected.push_back(Expected::Close { forward: true });
            }
            Step::CloseStatement => expected.push_back(Expected::Synthetic(empty_frame(b'3'))),
        }
        Ok(())
    }

    /// The name of a statement, which is prepared first if necessary.
    fn name(
        &mut self,
        index: usize,
        output: &mut BytesMut,
        expected: &mut VecDeque<Expected>,
        cache: &mut Cache,
    ) -> Result<CompactString> {
        match self.names.get(index) {
            Some(Some(name)) => Ok(name.clone()),
            _ => self.parse(index, false, output, expected, cache),
        }
    }

    fn parse(
        &mut self,
        index: usize,
        forward: bool,
        output: &mut BytesMut,
        expected: &mut VecDeque<Expected>,
        cache: &mut Cache,
    ) -> Result<CompactString> {
        let prepared = self.statements.get(index).ok_or(io::ErrorKind::InvalidInput)?;
        let name = cache.unused_name();
        frontend::parse(&name, &prepared.sql, prepared.types.iter().copied(), output)?;
        let prepared = prepared.clone();
        expected.push_back(Expected::Parse { prepared, name: name.clone(), forward });
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

/// Builds a message without a body.
fn empty_frame(tag: u8) -> Frame {
    Frame { tag, body: Bytes::new() }
}
