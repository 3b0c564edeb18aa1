//! Messages of an open session: simple queries, and the extended protocol up to each `Sync`.

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
    statement::{self, Class, Command, Mix, Options, Verdict},
    time::Now,
};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;

/// Most prepared statements, and portals, of a session.
const STATEMENTS: usize = 1_000;
/// Most bytes of prepared statements, in largest messages.
const STATEMENT_MESSAGES: usize = 4;
/// Most steps of one batch.
const STEPS: usize = 10_000;

/// A prepared statement as the entry knows it.
#[derive(Clone, Debug)]
struct Statement {
    prepared: batch::Prepared,
    verdict: Verdict,
    options: Options,
}

/// A portal as the entry knows it.
#[derive(Clone, Debug)]
struct Portal {
    verdict: Verdict,
    options: Options,
}

/// Prepared statements and portals by name, and the batch that is being sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Prepared {
    statements: IndexMap<CompactString, Statement>,
    portals: IndexMap<CompactString, Portal>,
    bytes: usize,
    build: Build,
}

impl Prepared {
    /// Forgets every statement and portal.
    pub fn clear(&mut self) {
        self.statements.clear();
        self.portals.clear();
        self.bytes = 0;
    }
}

/// A step of the batch that is being sent.
#[derive(Clone, Debug)]
enum Item {
    /// For a server.
    Remote(Step),
    /// For the entry.
    Local(Local),
    /// For either.
    Close,
}

/// The batch that is being sent.
#[derive(Clone, Debug, Default)]
struct Build {
    statements: Vec<batch::Prepared>,
    indexes: IndexMap<CompactString, usize>,
    items: Vec<Item>,
    bytes: usize,
    mix: Mix,
    executed: bool,
    options: Options,
    fault: Option<Fault>,
}

/// Takes a message of a session.
pub(super) fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    id: id::Session,
    event: Event,
) {
    let limit = daemon.settings.bounds.message_bytes.saturating_mul(STATEMENT_MESSAGES);
    let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
    if session.phase != Phase::Open {
        let fault = Fault::new(Code::Protocol, "a message before the end of the login");
        return end(daemon, now, fx, id, &fault);
    }
    let job = match event {
        Event::Query(sql) => Some(Job { work: simple(sql), ready: true }),
        Event::Sync => Some(Job { work: finish(session), ready: true }),
        Event::Flush => flush(session),
        // A function call ends with its own `ReadyForQuery`; stray COPY data is ignored.
        Event::Unsupported(b'F') => {
            let fault = Fault::new(Code::NotSupported, "function calls by message");
            Some(Job { work: Work::Refuse(fault), ready: true })
        }
        Event::Unsupported(_) => None,
        event => {
            extend(session, event, limit);
            None
        }
    };
    if let Some(job) = job {
        queue::push(daemon, now, fx, id, job);
    }
}

fn simple(sql: String) -> Work {
    let judged = statement::judge(&sql).and_then(|verdict| Ok((verdict, options(&sql)?)));
    match judged {
        Ok((Verdict::Empty, _)) => Work::Local(vec![Local::Query(None)]),
        Ok((Verdict::Local(command), _)) => Work::Local(vec![Local::Query(Some(command))]),
        Ok((Verdict::Run(class), options)) => {
            Work::Run { batch: Batch::Simple(sql), class, options }
        }
        Err(fault) => Work::Refuse(fault),
    }
}

fn options(sql: &str) -> Result<Options> {
    statement::leading(sql)
}

/// Adds a message of the extended protocol to the batch; after a fault, none counts up to `Sync`.
fn extend(session: &mut Session, event: Event, limit: usize) {
    let prepared = &mut session.prepared;
    if prepared.build.fault.is_some() {
        return;
    }
    if let Err(fault) = add(prepared, event, limit) {
        prepared.build = Build { fault: Some(fault), ..Build::default() };
    }
}

fn add(prepared: &mut Prepared, event: Event, limit: usize) -> Result<()> {
    if prepared.build.items.len() >= STEPS || prepared.build.bytes > limit {
        return Err(Fault::new(Code::TooLarge, "too much was sent without a Sync"));
    }
    match event {
        Event::Parse { name, sql, types } => {
            add_parse(prepared, &name, batch::Prepared { sql, types }, limit)
        }
        Event::Bind { portal, statement, formats, parameters, results } => {
            add_bind(prepared, portal, &statement, (formats, parameters, results))
        }
        Event::Describe(Kind::Statement, name) => {
            let index = prepared.build.index(&prepared.statements, &name)?;
            let verdict = &found(&prepared.statements, &name)?.verdict;
            let remote = Step::Describe(Target::Statement(index));
            let item =
                item(verdict, remote, |command| Local::Describe { statement: true, command });
            prepared.build.items.push(item);
            Ok(())
        }
        Event::Describe(Kind::Portal, name) => {
            let verdict = prepared.portals.get(&name).map(|portal| &portal.verdict);
            let remote = Step::Describe(Target::Portal(name.clone()));
            let local = |command| Local::Describe { statement: false, command };
            let item = item(verdict.unwrap_or(&Verdict::Run(Class::Read)), remote, local);
            prepared.build.items.push(item);
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

/// A step for whoever carries the statement out.
fn item(verdict: &Verdict, remote: Step, local: impl FnOnce(Option<Command>) -> Local) -> Item {
    match verdict {
        Verdict::Run(_) => Item::Remote(remote),
        Verdict::Empty => Item::Local(local(None)),
        Verdict::Local(command) => Item::Local(local(Some(command.clone()))),
    }
}

fn found<'a>(
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
    limit: usize,
) -> Result<()> {
    let verdict = statement::judge(&text.sql)?;
    let options = options(&text.sql)?;
    let old = prepared.statements.get(name).map_or(0, |old| old.prepared.sql.len());
    let bytes = prepared.bytes + text.sql.len() - old;
    let full = prepared.statements.len() >= STATEMENTS && old == 0;
    if full || bytes > limit {
        return Err(Fault::new(Code::TooLarge, "too many prepared statements"));
    }
    prepared.bytes = bytes;
    let statement = Statement { prepared: text, verdict, options };
    prepared.statements.insert(name.clone(), statement);
    prepared.build.indexes.swap_remove(name);
    let index = prepared.build.index(&prepared.statements, name)?;
    let verdict = &found(&prepared.statements, name)?.verdict;
    let item = item(verdict, Step::Parse(index), |_| Local::Parse);
    prepared.build.items.push(item);
    Ok(())
}

fn add_bind(
    prepared: &mut Prepared,
    portal: CompactString,
    name: &CompactString,
    (formats, parameters, results): (Vec<i16>, Vec<Option<Bytes>>, Vec<i16>),
) -> Result<()> {
    let statement = prepared.build.index(&prepared.statements, name)?;
    let known = found(&prepared.statements, name)?;
    if prepared.portals.len() >= STATEMENTS {
        prepared.portals.clear();
    }
    let entry = Portal { verdict: known.verdict.clone(), options: known.options.clone() };
    prepared.portals.insert(portal.clone(), entry);
    prepared.build.bytes += parameters.iter().flatten().map(Bytes::len).sum::<usize>();
    let step = Step::Bind { portal, statement, formats, parameters, results };
    prepared.build.items.push(item(&known.verdict, step, |_| Local::Bind));
    Ok(())
}

fn add_execute(prepared: &mut Prepared, portal: CompactString, max_rows: i32) -> Result<()> {
    let unknown = Portal { verdict: Verdict::Run(Class::Write), options: Options::default() };
    let known = prepared.portals.get(&portal).unwrap_or(&unknown);
    let build = &mut prepared.build;
    if let Verdict::Run(class) = known.verdict {
        build.mix.add(class)?;
        build.executed = true;
        build.options = known.options.clone().or(&build.options);
    }
    let step = Step::Execute { portal, max_rows };
    build.items.push(item(&known.verdict, step, Local::Execute));
    Ok(())
}

fn add_close(prepared: &mut Prepared, kind: Kind, name: CompactString) {
    match kind {
        Kind::Statement => {
            if let Some(old) = prepared.statements.swap_remove(&name) {
                prepared.bytes -= old.prepared.sql.len();
            }
            prepared.build.indexes.swap_remove(&name);
            prepared.build.items.push(Item::Close);
        }
        Kind::Portal => {
            let known = prepared.portals.swap_remove(&name);
            let verdict = known.map_or(Verdict::Run(Class::Read), |portal| portal.verdict);
            let item = item(&verdict, Step::ClosePortal(name), |_| Local::Close);
            prepared.build.items.push(item);
        }
    }
}

impl Build {
    /// The index in the batch of a prepared statement, whose text is added at its first use.
    fn index(
        &mut self,
        statements: &IndexMap<CompactString, Statement>,
        name: &CompactString,
    ) -> Result<usize> {
        if let Some(index) = self.indexes.get(name) {
            return Ok(*index);
        }
        let statement = found(statements, name)?;
        if !matches!(statement.verdict, Verdict::Run(_)) {
            return Ok(0);
        }
        self.bytes += statement.prepared.sql.len();
        self.statements.push(statement.prepared.clone());
        self.indexes.insert(name.clone(), self.statements.len() - 1);
        Ok(self.statements.len() - 1)
    }
}

/// Ends the batch at a `Sync`.
fn finish(session: &mut Session) -> Work {
    let build = std::mem::take(&mut session.prepared.build);
    if let Some(fault) = build.fault {
        return Work::Refuse(fault);
    }
    let remote = build.items.iter().any(|item| matches!(item, Item::Remote(_)));
    let local = build.items.iter().any(|item| matches!(item, Item::Local(_)));
    if remote && local {
        let what = "a session command is mixed with other statements";
        return Work::Refuse(Fault::new(Code::NotSupported, what));
    }
    if !remote {
        return Work::Local(build.items.into_iter().filter_map(Item::local).collect());
    }
    let steps = build.items.into_iter().filter_map(Item::remote).collect();
    let batch = Batch::Extended { statements: build.statements, steps };
    // A batch that runs nothing only describes.
    let class = build.mix.class().unwrap_or(Class::Read);
    Work::Run { batch, class, options: build.options }
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

/// Answers what was sent so far. Where that would commit a part of an implicit transaction, the
/// answers wait for the `Sync` instead.
fn flush(session: &mut Session) -> Option<Job> {
    let build = &session.prepared.build;
    if build.fault.is_none() && (build.items.is_empty() || build.executed) {
        return None;
    }
    let fault = build.fault.clone();
    let work = finish(session);
    session.prepared.build.fault = fault;
    Some(Job { work, ready: false })
}
