//! Reconstructs the course of one request from the logs of daemons on the users' platform.
//!
//! The logs are read twice: first for the lines that name the request, then for state changes around
//! that time that concern its servers, its database or the daemons involved. The cause is derived from
//! the last line that decided the request. Clocks differ between VMs, so lines of several daemons may
//! be out of order by the clock skew.

use indexmap::IndexSet;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::{fmt, time::Duration};

/// How long before a request state changes may explain it: the longest time for which an
/// unresponsive primary is tolerated.
const CONTEXT_BEFORE: Duration = Duration::from_secs(10);
/// How long after a request lines may still explain it: a move is logged when it is complete.
const CONTEXT_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of context lines kept.
const MAX_CONTEXT_LINES: usize = 200;
/// Events of a daemon that affect all its requests.
const DAEMON_EVENTS: [&str; 23] = [
    "started",
    "process started",
    "draining",
    "stopped",
    "store lost",
    "store regained",
    "right gained",
    "right lost",
    "right borrowed",
    "lease not renewed",
    "lease refused",
    "configuration in force",
    "configuration refused",
    "readiness changed",
    "daemon seen",
    "daemon gone",
    "host",
    "entry",
    "hosts known",
    "host suspect",
    "host answers again",
    "no host is heard",
    "lines left out",
];

/// One line of a daemon's log.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Line {
    /// The daemon's wall clock in milliseconds.
    pub at_ms: u64,
    /// Time since the daemon started in milliseconds.
    pub up_ms: u64,
    /// The daemon.
    pub daemon: String,
    /// What happened.
    pub event: String,
    /// The remaining fields: inputs and outcome of the decision.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; text before the JSON object, such as a log collector's prefix, is ignored.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text.get(text.find('{')?..)?.trim_end()).ok()
    }

    /// A field as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A field as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Whether the line names a request; the log writes an id that consists of digits as a number.
    fn is_about(&self, request: &str) -> bool {
        match self.fields.get("request") {
            Some(Value::String(text)) => text == request,
            Some(Value::Number(number)) => number.to_string() == request,
            _ => false,
        }
    }

    fn is_event(&self, event: &str) -> bool {
        self.event == event
    }

    /// Whether one of `fields` has one of `names` as its value.
    fn names_any(&self, fields: &[&str], names: &IndexSet<String>) -> bool {
        fields.iter().filter_map(|field| self.text(field)).any(|name| names.contains(name))
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.daemon, self.event)?;
        for (name, value) in self.fields.iter().filter(|(name, _)| *name != "request") {
            match value {
                Value::String(text) if !text.contains(' ') => write!(f, " {name}={text}")?,
                _ => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// The course of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The lines that name the request, oldest first.
    pub steps: Vec<Line>,
    /// Related state changes around that time, oldest first.
    pub context: Vec<Line>,
    /// The number of context lines beyond the limit.
    pub omitted: usize,
    /// The number of lines that the daemons' logs dropped around that time.
    pub dropped: u64,
    /// The reason for the request's outcome.
    pub cause: String,
}

/// Reconstructs a request from logs. `for_each_line` passes all log lines to its argument and is
/// called twice.
///
/// # Errors
/// `for_each_line` fails.
pub fn explain<E>(
    request: &str,
    for_each_line: impl Fn(&mut dyn FnMut(&str)) -> Result<(), E>,
) -> Result<Outcome, E> {
    let mut steps = Vec::new();
    for_each_line(&mut |text| {
        let named = text.contains(request).then(|| Line::parse(text)).flatten();
        steps.extend(named.filter(|line| line.is_about(request)));
    })?;
    steps.sort_by_key(|line: &Line| line.at_ms);
    let Some(scope) = Scope::around(&steps) else {
        return Ok(Outcome {
            steps,
            context: Vec::new(),
            omitted: 0,
            dropped: 0,
            cause: "No line names this request. Either it never reached these daemons, or its \
                    lines were among those left out: look for `lines left out`."
                .into(),
        });
    };
    let (mut context, mut omitted, mut dropped) = (Vec::new(), 0, 0);
    for_each_line(&mut |text| {
        let Some(line) = Line::parse(text).filter(|line| scope.contains(line)) else { return };
        if line.is_event("lines left out") {
            dropped += line.number("count").unwrap_or(0);
        } else if context.len() < MAX_CONTEXT_LINES {
            context.push(line);
        } else {
            omitted += 1;
        }
    })?;
    context.sort_by_key(|line: &Line| line.at_ms);
    let cause = find_cause(&steps, &context, dropped);
    Ok(Outcome { steps, context, omitted, dropped, cause })
}

/// Selects the context lines that may explain a request.
struct Scope {
    from_ms: u64,
    until_ms: u64,
    daemons: IndexSet<String>,
    servers: IndexSet<String>,
    databases: IndexSet<String>,
}

impl Scope {
    fn around(steps: &[Line]) -> Option<Self> {
        let (first, last) = (steps.first()?, steps.last()?);
        let named = |field: &str| {
            let names = steps.iter().filter_map(|line| line.text(field));
            names.map(ToOwned::to_owned).collect()
        };
        Some(Self {
            from_ms: first.at_ms.saturating_sub(to_ms(CONTEXT_BEFORE)),
            until_ms: last.at_ms + to_ms(CONTEXT_AFTER),
            daemons: steps.iter().map(|line| line.daemon.clone()).collect(),
            servers: named("server"),
            databases: named("database"),
        })
    }

    fn contains(&self, line: &Line) -> bool {
        if !(self.from_ms..=self.until_ms).contains(&line.at_ms) {
            return false;
        }
        if line.fields.contains_key("request") {
            return line.is_event("connection lost") && line.names_any(&["server"], &self.servers);
        }
        let is_involved = self.daemons.contains(&line.daemon);
        is_involved && DAEMON_EVENTS.contains(&line.event.as_str())
            || line.names_any(&["server", "from", "to"], &self.servers)
            || line.names_any(&["database"], &self.databases)
    }
}

fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Derives the reason for a request's outcome from the last line that decided it.
fn find_cause(steps: &[Line], context: &[Line], dropped: u64) -> String {
    // If an entry daemon forwarded the request to hosts, only the entry's own line ends it.
    let entry = steps.iter().find(|line| line.is_event("sent to a host")).map(|line| &line.daemon);
    let ended = steps
        .iter()
        .rfind(|line| line.is_event("ended") && entry.is_none_or(|entry| line.daemon == *entry));
    let is_served = ended.is_some_and(|line| line.text("outcome") == Some("served"));
    let refused =
        |line: &&Line| line.is_event("operation refused") || line.is_event("statement refused");
    if let Some(line) = steps.iter().rfind(refused).filter(|_| !is_served) {
        return explain_refusal(line, context);
    }
    if let Some(line) = steps.iter().rfind(|line| line.is_event("host lost")) {
        return explain_host_lost(steps, line);
    }
    match ended.and_then(|line| line.text("outcome")) {
        Some("served") => explain_served(steps, ended),
        Some("in doubt" | "lost") => explain_lost(steps, context),
        Some("timeout") => {
            let server = steps.iter().rev().find_map(|line| line.text("server"));
            format!(
                "{} did not answer in time. It is a read, so nothing was changed.",
                server.unwrap_or("The server")
            )
        }
        Some("failed") => "The server ran it and answered with an error of its own.".into(),
        Some(other) => format!("It ended as `{other}`."),
        None => format!(
            "The logs do not show its end: it was still running, or its last lines were among the \
             {dropped} left out."
        ),
    }
}

fn explain_served(steps: &[Line], ended: Option<&Line>) -> String {
    let took = ended.and_then(|line| line.number("took"));
    let retries = steps.iter().filter(|line| line.is_event("tried again")).count();
    let took = took.map_or_else(String::new, |took| format!(" in {took} ms"));
    format!("It was served{took}, at try {}.", retries + 1)
}

/// Explains why a request was refused before anything ran.
fn explain_refusal(line: &Line, context: &[Line]) -> String {
    let fault = line.text("fault").unwrap_or_default();
    let code = fault.split(' ').next().unwrap_or_default();
    match code {
        "G120" => explain_rate(line, context),
        "G121" => explain_queue(line),
        "G130" => explain_primary(line, context),
        _ => format!("Refused before anything ran: {fault}."),
    }
}

fn explain_rate(line: &Line, context: &[Line]) -> String {
    let workspace = line.text("workspace").unwrap_or("The workspace");
    let members = line.number("members").unwrap_or(0);
    let changes = |line: &&Line| line.is_event("daemon seen") || line.is_event("daemon gone");
    let changes = context.iter().filter(changes).count();
    let explanation = match changes {
        0 => "no daemon had come or gone, so the workspace was over its rate".to_owned(),
        _ => format!(
            "daemons had come or gone just before ({changes} lines), so the parts were moving"
        ),
    };
    format!(
        "{workspace} had used up this daemon's part of its rate, which {members} daemons share; \
         {explanation}."
    )
}

fn explain_queue(line: &Line) -> String {
    let waited = line.number("waited").unwrap_or(0);
    let tries = line.number("tries").unwrap_or(0);
    let stage = line.text("stage").unwrap_or_default();
    let server = stage.split('"').nth(1).unwrap_or("any server that may run it");
    format!("No connection to {server} became free in {waited} ms, at try {tries}.")
}

/// Explains why no primary could be used: it was being moved, or the daemon lacked the authority to
/// use it.
fn explain_primary(line: &Line, context: &[Line]) -> String {
    let moving = context.iter().rfind(|other| {
        other.is_event("moving the primary") && other.text("database") == line.text("database")
    });
    if let Some(moving) = moving {
        let field = |name| moving.text(name).unwrap_or("?");
        let completed = context.iter().find(|other| {
            other.is_event("primary moved")
                && other.text("database") == moving.text("database")
                && other.at_ms >= moving.at_ms
        });
        let duration = completed.map_or_else(String::new, |completed| {
            format!(", which took {} ms", completed.at_ms - moving.at_ms)
        });
        return format!(
            "The primary of {} was being moved from {} to {} ({}){duration}.",
            field("database"),
            field("from"),
            field("to"),
            field("cause"),
        );
    }
    let authority_loss = context.iter().rfind(|other| {
        let lost = other.is_event("right lost") || other.is_event("lease not renewed");
        lost && other.daemon == line.daemon && other.at_ms <= line.at_ms
    });
    match authority_loss {
        Some(lost) => format!(
            "{} had no right to use primaries: `{lost}`. A daemon that cannot renew its lease \
             needs the loan of one that can.",
            line.daemon
        ),
        None => "No primary was known for the database, and no move of it was under way.".into(),
    }
}

/// Explains why the answer to a statement that was forwarded to a host was lost.
fn explain_host_lost(steps: &[Line], line: &Line) -> String {
    let host = steps.iter().rfind(|line| line.is_event("sent to a host"));
    let host = host.and_then(|line| line.text("host")).unwrap_or("a host");
    let reason = line.text("reason").unwrap_or("for no known reason");
    let ran = steps.iter().any(|line| line.daemon == host && line.is_event("placed"));
    let progress = if ran { "which had sent it to a server" } else { "whose lines do not name it" };
    format!("{} had sent it to {host}, {progress}, and had no answer: {reason}.", line.daemon)
}

/// Explains why the answer to a statement that was sent to a server was lost.
fn explain_lost(steps: &[Line], context: &[Line]) -> String {
    let Some(line) = steps.iter().rfind(|line| line.is_event("connection lost")) else {
        return "Its answer was lost; the line that says how was left out.".into();
    };
    let server = line.text("server").unwrap_or("the server");
    let reason = line.text("reason").unwrap_or("for no known reason");
    let same = |other: &&Line| {
        other.is_event("connection lost")
            && other.text("server") == line.text("server")
            && other.text("request") != line.text("request")
            && other.at_ms.abs_diff(line.at_ms) <= 1_000
    };
    let others = context.iter().filter(same).count();
    let effect = if steps.iter().any(|line| line.text("outcome") == Some("in doubt")) {
        "it may have taken effect"
    } else {
        "it changed nothing that lasts"
    };
    format!(
        "It had been sent to {server} when the connection was lost ({reason}); {effect}. Other \
         statements that lost their connection to {server} within a second: {others}."
    )
}
