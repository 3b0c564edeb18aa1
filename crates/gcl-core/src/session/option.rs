//! Options of the proxy and variables of the server that belong to a session.

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
const OWN: &str = "goldcrest.";
/// Most bytes of a variable's value.
const VALUE_BYTES: usize = 256;

/// Variables that a session may set; none of them changes what a statement may write.
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

/// Parameters reported at login, by the variable that changes them, with their defaults.
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

/// Sets an option or variable by its name in lower case; gives what is to be reported.
///
/// # Errors
/// [`Code::BadOption`], [`Code::BadToken`] or [`Code::NotSupported`].
pub(super) fn set(session: &mut Session, name: &str, value: &str) -> Result<Option<Reply>> {
    if let Some(own) = name.strip_prefix(OWN) {
        if own == "session" {
            session.floor.adopt(&Floor::decode(value)?);
            return Ok(Some(super::reply::token(session)));
        }
        statement::assign(&mut session.options, own, value)?;
        return Ok(None);
    }
    check(name, value)?;
    session.variables.insert(name.into(), value.into());
    Ok(report(name, value))
}

fn check(name: &str, value: &str) -> Result<()> {
    if !VARIABLES.contains(&name) {
        let detail = format_compact!("the variable {name:?} cannot be set");
        return Err(Fault::new(Code::NotSupported, detail));
    }
    if value.len() > VALUE_BYTES || value.contains('\0') {
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

fn report(name: &str, value: &str) -> Option<Reply> {
    let reported = REPORTED.iter().find(|(variable, ..)| *variable == name)?;
    Some(Reply::Parameter(reported.1.into(), value.into()))
}

/// The parameters reported at login.
pub(super) fn reported(session: &Session) -> Vec<Reply> {
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

/// Sets what the `options` of a startup packet name: `-c name=value` or `--name=value`.
///
/// # Errors
/// As [`set`], and [`Code::BadOption`] for other arguments.
pub(super) fn set_all(session: &mut Session, text: &str) -> Result<()> {
    let mut words = split(text).into_iter();
    while let Some(word) = words.next() {
        let pair = match word.strip_prefix("-c") {
            Some("") => words.next().ok_or_else(|| bad("-c lacks an assignment"))?,
            Some(pair) => pair.to_owned(),
            None => match word.strip_prefix("--") {
                Some(pair) => pair.replace('-', "_"),
                None => return Err(bad(format_compact!("unknown argument {word:?}"))),
            },
        };
        let (name, value) =
            pair.split_once('=').ok_or_else(|| bad("an assignment lacks its value"))?;
        set(session, &name.to_ascii_lowercase(), value)?;
    }
    Ok(())
}

/// Splits at blanks; a backslash keeps the character after it.
fn split(text: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        let last = words.last_mut();
        match (character, last) {
            ('\\', Some(word)) => word.extend(characters.next()),
            (blank, Some(word)) if blank.is_whitespace() && word.is_empty() => {}
            (blank, _) if blank.is_whitespace() => words.push(String::new()),
            (other, Some(word)) => word.push(other),
            (_, None) => {}
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

/// Carries out a session command; gives a value to show and what is to be reported.
///
/// # Errors
/// As [`set`].
pub(super) fn run(
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
            Ok((None, reported(session)))
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
        _ if name.starts_with(OWN) => return Err(bad(format_compact!("unknown option {name:?}"))),
        _ => {
            session.variables.swap_remove(name);
            let reported = REPORTED.iter().find(|(variable, ..)| *variable == name);
            return Ok(reported.and_then(|found| report(name, found.2)).into_iter().collect());
        }
    }
    Ok(Vec::new())
}

fn show(session: &Session, name: &str) -> Result<CompactString> {
    let options = &session.options;
    let length = |length: Option<Duration>| {
        length.map_or_else(CompactString::default, |length| {
            format_compact!("{}ms", length.as_millis())
        })
    };
    Ok(match name {
        "goldcrest.session" => session.floor.encode().to_compact_string(),
        "goldcrest.max_age" => length(options.max_age),
        "goldcrest.timeout" => length(options.timeout),
        "goldcrest.route" => options.route.clone().unwrap_or_default(),
        "goldcrest.repeatable" => match options.repeatable {
            Some(true) => "yes".into(),
            Some(false) => "no".into(),
            None => CompactString::default(),
        },
        _ => return Err(bad(format_compact!("unknown option {name:?}"))),
    })
}
