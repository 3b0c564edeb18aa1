//! Messages of an open session: simple queries and batches of the extended protocol.

use super::{
    Phase, Session, end,
    queue::{self, Job, Local, Work},
};
use crate::{
    batch::{self, Batch, Step, Target},
    caller::{Event, Kind},
    code::{Code, Fault, Result},
    effect::Effects,
    id,
    state::State as Daemon,
    statement::{self, Analysis, Class, Combination, Command, Options},
    time::Now,
};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;

/// Limit on a session's prepared statements, and on its portals.
const MAX_STATEMENTS: usize = 1_000;
/// Limit on the bytes of prepared statements, and on those of a batch, as a multiple of the
/// message size limit.
const STATEMENT_BYTES_FACTOR: usize = 4;
/// Limit on the steps of one batch.
const MAX_STEPS: usize = 10_000;

/// A prepared statement with its analysis.
#[derive(Clone, Debug)]
struct Statement {
    prepared: batch::Prepared,
    analysis: Analysis,
    options: Options,
}

/// The analysis of the statement that a portal is bound to.
#[derive(Clone, Debug)]
struct Portal {
    analysis: Analysis,
    options: Options,
}

/// Prepared statements and portals by name, and the batch under construction.
#[derive(Clone, Debug, Default)]
pub(super) struct Prepared {
    statements: IndexMap<CompactString, Statement>,
    portals: IndexMap<CompactString, Portal>,
    bytes: usize,
    builder: Builder,
}

impl Prepared {
    /// Removes every statement and portal.
    pub fn clear(&mut self) {
        self.statements.clear();
        self.portals.clear();
        self.bytes = 0;
    }
}

/// A step of the batch under construction.
#[derive(Clone, Debug)]
enum Item {
    /// Run by a server.
    Remote(Step),
    /// Run by the entry.
    Local(Local),
    /// Closes a statement; run where the other steps of the batch are run.
    Close,
}

/// The batch under construction: the messages received since the last `Sync` or `Flush`.
#[derive(Clone, Debug, Default)]
struct Builder {
    statements: Vec<batch::Prepared>,
    indexes: IndexMap<CompactString, usize>,
    items: Vec<Item>,
    bytes: usize,
    combination: Combination,
    executed: bool,
    options: Options,
    fault: Option<Fault>,
}

/// Handles a message of an open session.
pub(super) fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    id: id::Session,
    event: Event,
) {
    let max_bytes = daemon.settings.bounds.message_bytes.saturating_mul(STATEMENT_BYTES_FACTOR);
    let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
    if session.phase != Phase::Open {
        let fault = Fault::new(Code::Protocol, "a message before the end of the login");
        return end(daemon, now, fx, id, &fault);
    }
    let job = match event {
        Event::Query(sql) => Some(Job { work: simple_query(sql), ready: true }),
        Event::Sync => Some(Job { work: finish(session), ready: true }),
        Event::Flush => flush(session),
        // A function call ends with its own `ReadyForQuery`; stray COPY data is ignored.
        Event::Unsupported(b'F') => {
            let fault = Fault::new(Code::NotSupported, "function calls by message");
            Some(Job { work: Work::Refuse(fault), ready: true })
        }
        Event::Unsupported(_) => None,
        event => {
            extend(session, event, max_bytes);
            None
        }
    };
    if let Some(job) = job {
        queue::push(daemon, now, fx, id, job);
    }
}

fn simple_query(sql: String) -> Work {
    let parsed = statement::analyze(&sql).and_then(|analysis| Ok((analysis, options(&sql)?)));
    match parsed {
        Ok((Analysis::Empty, _)) => Work::Local(vec![Local::Query(None)]),
        Ok((Analysis::Local(command), _)) => Work::Local(vec![Local::Query(Some(command))]),
        Ok((Analysis::Run(class), options)) => {
            Work::Run { batch: Batch::Simple(sql), class, options }
        }
        Err(fault) => Work::Refuse(fault),
    }
}

fn options(sql: &str) -> Result<Options> {
    statement::parse_comment(sql)
}

/// Adds a message of the extended protocol to the batch. After a fault, messages are ignored up to
/// the next `Sync`.
fn extend(session: &mut Session, event: Event, max_bytes: usize) {
    let prepared = &mut session.prepared;
    if prepared.builder.fault.is_some() {
        return;
    }
    if let Err(fault) = add(prepared, event, max_bytes) {
        prepared.builder = Builder { fault: Some(fault), ..Builder::default() };
    }
}

fn add(prepared: &mut Prepared, event: Event, max_bytes: usize) -> Result<()> {
    if prepared.builder.items.len() >= MAX_STEPS || prepared.builder.bytes > max_bytes {
        return Err(Fault::new(Code::TooLarge, "too much was sent without a Sync"));
    }
    match event {
        Event::Parse { name, sql, types } => {
            add_parse(prepared, &name, batch::Prepared { sql, types }, max_bytes)
        }
        Event::Bind { portal, statement, formats, parameters, results } => {
            add_bind(prepared, portal, &statement, (formats, parameters, results))
        }
        Event::Describe(Kind::Statement, name) => {
            let index = prepared.builder.index(&prepared.statements, &name)?;
            let analysis = &find_statement(&prepared.statements, &name)?.analysis;
            let remote = Step::Describe(Target::Statement(index));
            let item =
                item(analysis, remote, |command| Local::Describe { statement: true, command });
            prepared.builder.items.push(item);
            Ok(())
        }
        Event::Describe(Kind::Portal, name) => {
            let analysis = prepared.portals.get(&name).map(|portal| &portal.analysis);
            let remote = Step::Describe(Target::Portal(name.clone()));
            let local = |command| Local::Describe { statement: false, command };
            let item = item(analysis.unwrap_or(&Analysis::Run(Class::Read)), remote, local);
            prepared.builder.items.push(item);
            Ok(())
        }
        Event::Execute { portal, max_rows } => add_execute(prepared, portal, max_rows),
        Event::Close(kind, name) => {
            add_close(prepared, kind, name);
            Ok(())
        }
        _ => Err(Fault::new(Code::Protocol, "an unexpected message")),
    }
}

/// Returns the `remote` step, or the `local` one if the entry runs the statement itself.
fn item(analysis: &Analysis, remote: Step, local: impl FnOnce(Option<Command>) -> Local) -> Item {
    match analysis {
        Analysis::Run(_) => Item::Remote(remote),
        Analysis::Empty => Item::Local(local(None)),
        Analysis::Local(command) => Item::Local(local(Some(command.clone()))),
    }
}

fn find_statement<'a>(
    statements: &'a IndexMap<CompactString, Statement>,
    name: &str,
) -> Result<&'a Statement> {
    let unknown = || {
        let detail = format_compact!("there is no prepared statement {name:?}");
        Fault::new(Code::UnknownStatement, detail)
    };
    statements.get(name).ok_or_else(unknown)
}

fn add_parse(
    prepared: &mut Prepared,
    name: &CompactString,
    text: batch::Prepared,
    max_bytes: usize,
) -> Result<()> {
    let analysis = statement::analyze(&text.sql)?;
    let options = options(&text.sql)?;
    let old = prepared.statements.get(name).map_or(0, |old| old.prepared.sql.len());
    let bytes = prepared.bytes + text.sql.len() - old;
    let full = prepared.statements.len() >= MAX_STATEMENTS && old == 0;
    if full || bytes > max_bytes {
        return Err(Fault::new(Code::TooLarge, "too many prepared statements"));
    }
    prepared.bytes = bytes;
    let statement = Statement { prepared: text, analysis, options };
    prepared.statements.insert(name.clone(), statement);
    prepared.builder.indexes.swap_remove(name);
    let index = prepared.builder.index(&prepared.statements, name)?;
    let analysis = &find_statement(&prepared.statements, name)?.analysis;
    let item = item(analysis, Step::Parse(index), |_| Local::Parse);
    prepared.builder.items.push(item);
    Ok(())
}

fn add_bind(
    prepared: &mut Prepared,
    portal: CompactString,
    name: &CompactString,
    (formats, parameters, results): (Vec<i16>, Vec<Option<Bytes>>, Vec<i16>),
) -> Result<()> {
    let statement = prepared.builder.index(&prepared.statements, name)?;
    let known = find_statement(&prepared.statements, name)?;
    if prepared.portals.len() >= MAX_STATEMENTS {
        prepared.portals.clear();
    }
    let entry = Portal { analysis: known.analysis.clone(), options: known.options.clone() };
    prepared.portals.insert(portal.clone(), entry);
    prepared.builder.bytes += parameters.iter().flatten().map(Bytes::len).sum::<usize>();
    let step = Step::Bind { portal, statement, formats, parameters, results };
    prepared.builder.items.push(item(&known.analysis, step, |_| Local::Bind));
    Ok(())
}

fn add_execute(prepared: &mut Prepared, portal: CompactString, max_rows: i32) -> Result<()> {
    let unknown = Portal { analysis: Analysis::Run(Class::Write), options: Options::default() };
    let known = prepared.portals.get(&portal).unwrap_or(&unknown);
    let builder = &mut prepared.builder;
    if let Analysis::Run(class) = known.analysis {
        builder.combination.add(class)?;
        builder.executed = true;
        builder.options = known.options.clone().or(&builder.options);
    }
    let step = Step::Execute { portal, max_rows };
    builder.items.push(item(&known.analysis, step, Local::Execute));
    Ok(())
}

fn add_close(prepared: &mut Prepared, kind: Kind, name: CompactString) {
    match kind {
        Kind::Statement => {
            if let Some(old) = prepared.statements.swap_remove(&name) {
                prepared.bytes -= old.prepared.sql.len();
            }
            prepared.builder.indexes.swap_remove(&name);
            prepared.builder.items.push(Item::Close);
        }
        Kind::Portal => {
            let known = prepared.portals.swap_remove(&name);
            let analysis = known.map_or(Analysis::Run(Class::Read), |portal| portal.analysis);
            let item = item(&analysis, Step::ClosePortal(name), |_| Local::Close);
            prepared.builder.items.push(item);
        }
    }
}

impl Builder {
    /// The index of a prepared statement in the batch; its text is added at the first use.
    fn index(
        &mut self,
        statements: &IndexMap<CompactString, Statement>,
        name: &CompactString,
    ) -> Result<usize> {
        if let Some(index) = self.indexes.get(name) {
            return Ok(*index);
        }
        let statement = find_statement(statements, name)?;
        if !matches!(statement.analysis, Analysis::Run(_)) {
            return Ok(0);
        }
        self.bytes += statement.prepared.sql.len();
        self.statements.push(statement.prepared.clone());
        self.indexes.insert(name.clone(), self.statements.len() - 1);
        Ok(self.statements.len() - 1)
    }
}

/// Takes the batch under construction and returns the work that it requires.
fn finish(session: &mut Session) -> Work {
    let builder = std::mem::take(&mut session.prepared.builder);
    if let Some(fault) = builder.fault {
        return Work::Refuse(fault);
    }
    let remote = builder.items.iter().any(|item| matches!(item, Item::Remote(_)));
    let local = builder.items.iter().any(|item| matches!(item, Item::Local(_)));
    if remote && local {
        let what = "a session command is mixed with other statements";
        return Work::Refuse(Fault::new(Code::NotSupported, what));
    }
    if !remote {
        return Work::Local(builder.items.into_iter().filter_map(Item::local).collect());
    }
    let steps = builder.items.into_iter().filter_map(Item::remote).collect();
    let batch = Batch::Extended { statements: builder.statements, steps };
    // Without an `Execute`, a batch only prepares and describes.
    let class = builder.combination.class().unwrap_or(Class::Read);
    Work::Run { batch, class, options: builder.options }
}

impl Item {
    fn local(self) -> Option<Local> {
        match self {
            Self::Local(local) => Some(local),
            Self::Close => Some(Local::Close),
            Self::Remote(_) => None,
        }
    }

    fn remote(self) -> Option<Step> {
        match self {
            Self::Remote(step) => Some(step),
            Self::Close => Some(Step::CloseStatement),
            Self::Local(_) => None,
        }
    }
}

/// Submits the messages so far. After an `Execute` this waits for the `Sync`, because it would
/// commit a part of an implicit transaction.
fn flush(session: &mut Session) -> Option<Job> {
    let builder = &session.prepared.builder;
    if builder.fault.is_none() && (builder.items.is_empty() || builder.executed) {
        return None;
    }
    let fault = builder.fault.clone();
    let work = finish(session);
    session.prepared.builder.fault = fault;
    Some(Job { work, ready: false })
}
