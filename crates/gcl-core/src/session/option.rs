//! Options of the proxy and server variables that a session sets.

use super::Session;
use crate::{
    caller::Reply,
    code::{Code, Fault, Result},
    statement::{self, Command, Options},
    token::Floor,
};
use compact_str::{CompactString, ToCompactString as _, format_compact};
use std::time::Duration;

/// Prefix of the proxy's own options.
const PREFIX: &str = "goldcrest.";
/// Limit on the bytes of a variable's value.
const MAX_VALUE_BYTES: usize = 256;

/// Server variables that a session may set; none of them affects what a statement may write.
const VARIABLES: &[&str] = &[
    "application_name",
    "bytea_output",
    "client_encoding",
    "client_min_messages",
    "datestyle",
    "default_transaction_isolation",
    "extra_float_digits",
    "idle_in_transaction_session_timeout",
    "intervalstyle",
    "jit",
    "lc_monetary",
    "lc_numeric",
    "lc_time",
    "lock_timeout",
    "search_path",
    "standard_conforming_strings",
    "statement_timeout",
    "timezone",
    "work_mem",
    "xmlbinary",
];

/// Parameters reported at login: the variable that changes each, its reported name, its default.
const REPORTED: &[(&str, &str, &str)] = &[
    ("", "server_version", "16.0"),
    ("", "server_encoding", "UTF8"),
    ("", "integer_datetimes", "on"),
    ("", "is_superuser", "off"),
    ("application_name", "application_name", ""),
    ("client_encoding", "client_encoding", "UTF8"),
    ("datestyle", "DateStyle", "ISO, MDY"),
    ("intervalstyle", "IntervalStyle", "postgres"),
    ("standard_conforming_strings", "standard_conforming_strings", "on"),
    ("timezone", "TimeZone", "UTC"),
];

fn bad(detail: impl Into<CompactString>) -> Fault {
    Fault::new(Code::BadOption, detail)
}

/// Sets an option or variable by its name in lower case; returns the parameter to report, if any.
///
/// # Errors
/// [`Code::BadOption`], [`Code::BadToken`] or [`Code::NotSupported`].
pub(super) fn set(session: &mut Session, name: &str, value: &str) -> Result<Option<Reply>> {
    if let Some(option) = name.strip_prefix(PREFIX) {
        if option == "session" {
            session.floor.adopt(&Floor::decode(value)?);
            return Ok(Some(super::reply::token(session)));
        }
        statement::set_option(&mut session.options, option, value)?;
        return Ok(None);
    }
    check_variable(name, value)?;
    session.variables.insert(name.into(), value.into());
    Ok(parameter_report(name, value))
}

fn check_variable(name: &str, value: &str) -> Result<()> {
    if !VARIABLES.contains(&name) {
        let detail = format_compact!("the variable {name:?} cannot be set");
        return Err(Fault::new(Code::NotSupported, detail));
    }
    if value.len() > MAX_VALUE_BYTES || value.contains('\0') {
        return Err(bad("the value is too long"));
    }
    match name {
        "client_encoding" if !matches!(value.to_ascii_lowercase().as_str(), "utf8" | "utf-8") => {
            Err(bad("the client encoding is UTF8"))
        }
        "standard_conforming_strings" if !value.eq_ignore_ascii_case("on") => {
            Err(bad("standard_conforming_strings is on"))
        }
        _ => Ok(()),
    }
}

fn parameter_report(name: &str, value: &str) -> Option<Reply> {
    let reported = REPORTED.iter().find(|(variable, ..)| *variable == name)?;
    Some(Reply::Parameter(reported.1.into(), value.into()))
}

/// The parameters reported at login.
pub(super) fn reported_parameters(session: &Session) -> Vec<Reply> {
    let value = |variable: &str, default: &str| {
        session.variables.get(variable).cloned().unwrap_or_else(|| default.into())
    };
    let parameter = |(variable, name, default): &(&str, &str, &str)| {
        Reply::Parameter((*name).into(), value(variable, default))
    };
    let mut replies: Vec<Reply> = REPORTED.iter().map(parameter).collect();
    replies.push(Reply::Parameter("session_authorization".into(), session.workspace.clone()));
    replies
}

/// Applies the `options` of a startup packet: `-c name=value` or `--name=value`.
///
/// # Errors
/// As [`set`], and [`Code::BadOption`] for other arguments.
pub(super) fn set_startup_options(session: &mut Session, text: &str) -> Result<()> {
    let mut arguments = split_arguments(text).into_iter();
    while let Some(argument) = arguments.next() {
        let pair = match argument.strip_prefix("-c") {
            Some("") => arguments.next().ok_or_else(|| bad("-c lacks an assignment"))?,
            Some(pair) => pair.to_owned(),
            None => match argument.strip_prefix("--") {
                Some(pair) => pair.replace('-', "_"),
                None => return Err(bad(format_compact!("unknown argument {argument:?}"))),
            },
        };
        let (name, value) =
            pair.split_once('=').ok_or_else(|| bad("an assignment lacks its value"))?;
        set(session, &name.to_ascii_lowercase(), value)?;
    }
    Ok(())
}

/// Splits at whitespace; a backslash escapes the next character.
fn split_arguments(text: &str) -> Vec<String> {
    let mut arguments = vec![String::new()];
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        let last = arguments.last_mut();
        match (character, last) {
            ('\\', Some(argument)) => argument.extend(characters.next()),
            (space, Some(argument)) if space.is_whitespace() && argument.is_empty() => {}
            (space, _) if space.is_whitespace() => arguments.push(String::new()),
            (other, Some(argument)) => argument.push(other),
            (_, None) => {}
        }
    }
    arguments.retain(|argument| !argument.is_empty());
    arguments
}

/// Runs a session command; returns the value that a `SHOW` displays and the parameters to report.
///
/// # Errors
/// As [`set`].
pub(super) fn run_command(
    session: &mut Session,
    command: &Command,
) -> Result<(Option<CompactString>, Vec<Reply>)> {
    match command {
        Command::Set(name, value) => Ok((None, set(session, name, value)?.into_iter().collect())),
        Command::Reset(name) => reset(session, name).map(|reply| (None, reply)),
        Command::ResetAll | Command::DiscardAll => {
            session.options = Options::default();
            session.variables.clear();
            if *command == Command::DiscardAll {
                session.prepared.clear();
            }
            Ok((None, reported_parameters(session)))
        }
        Command::Show(name) => Ok((Some(show(session, name)?), Vec::new())),
    }
}

fn reset(session: &mut Session, name: &str) -> Result<Vec<Reply>> {
    let options = &mut session.options;
    match name {
        "goldcrest.session" => {
            session.floor = Floor::default();
            return Ok(vec![super::reply::token(session)]);
        }
        "goldcrest.max_age" => options.max_age = None,
        "goldcrest.repeatable" => options.repeatable = None,
        "goldcrest.route" => options.route = None,
        "goldcrest.timeout" => options.timeout = None,
        _ if name.starts_with(PREFIX) => {
            return Err(bad(format_compact!("unknown option {name:?}")));
        }
        _ => {
            session.variables.swap_remove(name);
            let reported = REPORTED.iter().find(|(variable, ..)| *variable == name);
            return Ok(reported
                .and_then(|found| parameter_report(name, found.2))
                .into_iter()
                .collect());
        }
    }
    Ok(Vec::new())
}

fn show(session: &Session, name: &str) -> Result<CompactString> {
    let options = &session.options;
    let duration = |duration: Option<Duration>| {
        duration.map_or_else(CompactString::default, |duration| {
            format_compact!("{}ms", duration.as_millis())
        })
    };
    Ok(match name {
        "goldcrest.session" => session.floor.encode().to_compact_string(),
        "goldcrest.max_age" => duration(options.max_age),
        "goldcrest.timeout" => duration(options.timeout),
        "goldcrest.route" => options.route.clone().unwrap_or_default(),
        "goldcrest.repeatable" => match options.repeatable {
            Some(true) => "yes".into(),
            Some(false) => "no".into(),
            None => CompactString::default(),
        },
        _ => return Err(bad(format_compact!("unknown option {name:?}"))),
    })
}
