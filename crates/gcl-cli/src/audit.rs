//! `goldcrest audit`: verifies and searches collected records.

use crate::{
    exit::{Failure, Result},
    input,
};
use gcl_audit::{
    explain::Search,
    read::{self, Entry, Location},
    report::{Counter, Options as Selection, Row},
    verify::{Checker, Outcome, confirmed},
};
use gcl_core::{id, record::anchor::Anchor};
use getopts::{Matches, Options};
use indexmap::IndexMap;
use std::{
    fs,
    io::{self, IsTerminal},
};

/// Usage text of the command.
const USAGE: &str = "Usage: goldcrest audit verify [--anchors FILE] FILE...
       goldcrest audit explain REQUEST FILE...
       goldcrest audit report [--workspace NAME] [--from MS] [--to MS] FILE...

Reads the standard output of daemons; - reads standard input. FILE of --anchors holds a JSON object
with the store's value of each key below gcl/anchor/, by failure domain. Times are milliseconds
since the Unix epoch. Exit codes: 0 whole or found, 1 faults or nothing found, 2 usage.";
/// Number of lines between two progress messages on a terminal.
const PROGRESS_LINES: u64 = 1 << 20;

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// [`Failure::Usage`] for invalid arguments or files, [`Failure::Refused`] for a record with faults or
/// a request that was not found.
pub fn run(args: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this help");
    options.optopt("", "anchors", "the store's anchors", "FILE");
    options.optopt("", "workspace", "only this workspace", "NAME");
    options.optopt("", "from", "first millisecond", "MS");
    options.optopt("", "to", "millisecond after the last", "MS");
    let matches = options.parse(args).map_err(|error| Failure::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        println!("{USAGE}");
        return Ok(());
    }
    match matches.free.split_first() {
        Some((name, files)) if name == "verify" && !files.is_empty() => verify(&matches, files),
        Some((name, rest)) if name == "explain" && rest.len() > 1 => explain(&matches, rest),
        Some((name, files)) if name == "report" && !files.is_empty() => report(&matches, files),
        _ => Err(Failure::Usage(USAGE.to_owned())),
    }
}

fn verify(matches: &Matches, files: &[String]) -> Result<()> {
    let mut first = Checker::default();
    scan(files, |location, entry| first.check(location, entry))?;
    let (statements, unanchored) = match matches.opt_str("anchors") {
        Some(path) => confirmed(first.statements(), &anchors(&path)?),
        None => (first.statements().to_vec(), Vec::new()),
    };
    let mut second = Checker::default();
    second.expect_heads(&statements);
    scan(files, |location, entry| second.check(location, entry))?;
    let mut outcome = second.finish();
    outcome.faults.extend(unanchored);
    show(matches, &outcome, format_outcome)?;
    if outcome.faults.is_empty() {
        Ok(())
    } else {
        Err(Failure::Refused(format!("the record has {} faults", outcome.faults.len())))
    }
}

fn anchors(path: &str) -> Result<IndexMap<id::Domain, Anchor>> {
    let text = fs::read_to_string(path);
    let text = text.map_err(|error| Failure::Usage(format!("{path}: {error}")))?;
    serde_json::from_str(&text).map_err(|error| Failure::Usage(format!("{path}:{error}")))
}

fn format_outcome(outcome: &Outcome) -> String {
    let faults: Vec<String> = outcome.faults.iter().map(ToString::to_string).collect();
    let Outcome { lines, chains, gaps, open, .. } = outcome;
    let count = outcome.faults.len();
    let mut text = faults.join("\n");
    if count > 0 {
        text.push('\n');
    }
    text + &format!(
        "{lines} lines in {chains} chains, {gaps} stated as not written, \
         {open} not anchored yet, {count} faults\n"
    )
}

fn explain(matches: &Matches, rest: &[String]) -> Result<()> {
    let mut search = Search::new(&rest[0]);
    scan(&rest[1..], |location, entry| search.add(location, entry))?;
    let steps = search.finish();
    show(matches, &steps, |steps| {
        let lines = steps.iter().map(|step| {
            let line = &step.line;
            let code = line.code.map(|code| format!(" {code}")).unwrap_or_default();
            format!(
                "{} {} {:?}{code} workspace={} key={} rule={} database={} server={}: {}\n",
                step.wall_ms,
                step.daemon,
                line.kind,
                line.workspace,
                line.key,
                line.rule,
                line.database,
                line.server,
                line.reason
            )
        });
        lines.collect()
    })?;
    if steps.is_empty() {
        return Err(Failure::Refused("no line of the record is about the request".to_owned()));
    }
    Ok(())
}

fn report(matches: &Matches, files: &[String]) -> Result<()> {
    let number = |name: &str| {
        let text = matches.opt_str(name).unwrap_or_else(|| "0".to_owned());
        text.parse().map_err(|_error| Failure::Usage(format!("--{name} is not a number: {text}")))
    };
    let selection = Selection {
        workspace: matches.opt_str("workspace").map(Into::into),
        from_ms: number("from")?,
        to_ms: number("to")?,
    };
    let mut counter = Counter::new(selection);
    scan(files, |location, entry| counter.add(location, entry))?;
    show(matches, &counter.finish(), |rows: &Vec<Row>| {
        let lines = rows.iter().map(|row| {
            let code = row.code.map_or_else(|| "-".to_owned(), |code| format!("G{code}"));
            format!("{:<16} {code:<5} {:>10}  {}\n", row.workspace, row.count, row.text)
        });
        lines.collect()
    })
}

fn show<T: serde::Serialize>(
    matches: &Matches,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<()> {
    if matches.opt_present("json") {
        let json = serde_json::to_string_pretty(value);
        println!("{}", json.map_err(|error| Failure::Usage(error.to_string()))?);
    } else {
        print!("{}", text(value));
    }
    Ok(())
}

/// Calls `handle` for each line of the record in the files; shows progress on a terminal.
fn scan(files: &[String], mut handle: impl FnMut(&Location, &Entry)) -> Result<()> {
    let progress = io::stderr().is_terminal();
    let mut lines = 0;
    for file in files {
        let read = read::read(file, input::open(file)?, |location, entry| {
            lines += 1;
            if progress && lines % PROGRESS_LINES == 0 {
                eprintln!("{lines} lines of the record read, now at {location}");
            }
            handle(location, &entry);
        });
        read.map_err(|error| Failure::Usage(error.to_string()))?;
    }
    Ok(())
}
