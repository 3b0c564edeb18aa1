//! Parses the command line.

use crate::exit::{Failure, Result};
use getopts::{Matches, Options};
use std::env;

/// The daemon's address if neither the option nor the variable is set.
const DEFAULT_SERVER: &str = "http://127.0.0.1:7403";
/// Environment variable with the daemon's address.
const SERVER_VARIABLE: &str = "GOLDCREST_SERVER";
/// Help text that precedes the list of options.
const BRIEF: &str = "Usage: goldcrest [options] COMMAND

Commands:
    get KIND                    list objects: domain, service, database, server,
                                workspace, key, rule, token or all
    apply FILE                  put the objects of a file in force
    diff FILE                   tell what apply would change and move
    check FILE                  check a file of a whole configuration, without a daemon
    label KIND [NAME=VALUE|NAME-]...
                                set and remove labels of selected objects
    delete KIND                 remove selected objects
    history                     list changes that the daemon remembers
    key issue                   make a key of a workspace and print it once
    key withdraw                withdraw selected keys
    primary move                move the primaries of selected databases to one of
                                the servers that --to selects
    status                      show the daemon, its members and the homes of servers
    wait                        wait until a revision is in force everywhere
    explain REQUEST FILE...     why a request ended as it did, from daemons' logs
    audit, replay               read records and traces; each has a --help

Exit codes: 0 done, 1 refused, 2 wrong usage or faulty file, 3 daemon unreachable,
4 conflict, 5 outcome unknown.
";

/// The command to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    Get(String),
    Apply { file: String, dry_run: bool },
    Check(String),
    Label { kind: String, changes: Vec<String> },
    Delete(String),
    History,
    Issue,
    Move,
    Withdraw,
    Status,
    Wait,
}

/// The parsed command line.
#[derive(Clone, Debug)]
pub struct Arguments {
    pub command: Command,
    pub server: String,
    pub token_file: Option<String>,
    pub json: bool,
    pub wait: bool,
    pub selector: String,
    pub change: Option<String>,
    pub workspace: Option<String>,
    pub name: Option<String>,
    pub labels: Vec<String>,
    pub revision: Option<String>,
    pub timeout_ms: Option<String>,
    pub to: String,
}

/// The outcome of parsing the command line.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A text to print.
    Text(String),
    /// A command to run.
    Run(Box<Arguments>),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt("", "server", "the daemon's operator port", "URL");
    options.optopt("", "token-file", "file that holds the operator's token", "FILE");
    options.optflag("", "json", "print JSON");
    options.optflag("", "dry-run", "with apply, as diff");
    options.optflag("", "wait", "wait until the change is in force everywhere");
    options.optopt("l", "selector", "selects objects by their labels", "SELECTOR");
    options.optopt("", "change", "names the change, by default at random", "NAME");
    options.optopt("", "workspace", "the workspace of a new key", "NAME");
    options.optopt("", "name", "the public half of a new key, by default at random", "NAME");
    options.optmulti("", "label", "a label of a new key", "NAME=VALUE");
    options.optopt("", "revision", "the revision to wait for", "N");
    options.optopt("", "to", "with primary move, selects the servers to move to", "SELECTOR");
    options.optopt("", "timeout-ms", "longest wait in milliseconds", "N");
    options
}

/// Parses the command line.
///
/// # Errors
/// [`Failure::Usage`] for an unknown command or option.
pub fn parse(args: &[String]) -> Result<Outcome> {
    let options = options();
    let matches = options.parse(args).map_err(|error| usage(&error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Outcome::Text(options.usage(BRIEF)));
    }
    if matches.opt_present("version") {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Outcome::Text(format!("goldcrest {version}\n")));
    }
    let server = matches.opt_str("server").or_else(|| env::var(SERVER_VARIABLE).ok());
    Ok(Outcome::Run(Box::new(Arguments {
        command: command(&matches)?,
        server: server.unwrap_or_else(|| DEFAULT_SERVER.to_owned()),
        token_file: matches.opt_str("token-file"),
        json: matches.opt_present("json"),
        wait: matches.opt_present("wait"),
        selector: matches.opt_str("selector").unwrap_or_default(),
        change: matches.opt_str("change"),
        workspace: matches.opt_str("workspace"),
        name: matches.opt_str("name"),
        labels: matches.opt_strs("label"),
        revision: matches.opt_str("revision"),
        timeout_ms: matches.opt_str("timeout-ms"),
        to: matches.opt_str("to").unwrap_or_default(),
    })))
}

fn command(matches: &Matches) -> Result<Command> {
    let args: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let dry_run = matches.opt_present("dry-run");
    Ok(match args.as_slice() {
        ["get", kind] => Command::Get((*kind).to_owned()),
        ["apply", file] => Command::Apply { file: (*file).to_owned(), dry_run },
        ["diff", file] => Command::Apply { file: (*file).to_owned(), dry_run: true },
        ["check", file] => Command::Check((*file).to_owned()),
        ["label", kind, changes @ ..] if !changes.is_empty() => Command::Label {
            kind: (*kind).to_owned(),
            changes: changes.iter().map(|change| (*change).to_owned()).collect(),
        },
        ["delete", kind] => Command::Delete((*kind).to_owned()),
        ["history"] => Command::History,
        ["key", "issue"] => Command::Issue,
        ["key", "withdraw"] => Command::Withdraw,
        ["primary", "move"] => Command::Move,
        ["status"] => Command::Status,
        ["wait"] => Command::Wait,
        [] => return Err(usage("no command")),
        _ => return Err(usage(&format!("unknown command '{}'", args.join(" ")))),
    })
}

fn usage(text: &str) -> Failure {
    Failure::Usage(format!("{text}; see goldcrest --help"))
}
