//! Runs commands against a daemon.

use crate::{
    arguments::{Arguments, Command},
    client::Client,
    exit::{Failure, Result},
    secret::{self, NAME_BYTES, SECRET_BYTES},
    table,
};
use compact_str::CompactString;
use gcl_core::{
    config::{
        file,
        object::{Key, Labels},
    },
    key,
    operation::{
        api::{
            Apply, Delete, History, Issue, Item, Label, Listing, Move, Moves, Outcome, Overview,
            Report, Status, Wait,
        },
        plan::{MAX_OBJECTS, dependency_rank},
    },
};
use serde::Serialize;
use std::fs;

/// Runs the command.
///
/// # Errors
/// The command line or a file is invalid, the daemon cannot be reached, or the command did not succeed
/// in full.
pub async fn run(arguments: &Arguments) -> Result<()> {
    let client = Client::new(arguments)?;
    match &arguments.command {
        Command::Get(kind) => get(arguments, &client, kind).await,
        Command::Apply { file, dry_run } => apply(arguments, &client, file, *dry_run).await,
        Command::Check(file) => check(file),
        Command::Label { kind, changes } => label(arguments, &client, kind, changes).await,
        Command::Delete(kind) => delete(arguments, &client, "delete", kind).await,
        Command::Withdraw => delete(arguments, &client, "key/withdraw", "key").await,
        Command::Issue => issue(arguments, &client).await,
        Command::Move => move_primaries(arguments, &client).await,
        Command::History => {
            let history: History = client.get("history", &[]).await?;
            show(arguments, &history, table::history);
            Ok(())
        }
        Command::Status => {
            let query = [("selector", arguments.selector.as_str())];
            let overview: Overview = client.get("status", &query).await?;
            show(arguments, &overview, table::overview);
            Ok(())
        }
        Command::Wait => wait(arguments, &client, arguments.revision.as_deref()).await,
    }
}

fn show<T: Serialize>(arguments: &Arguments, document: &T, table: fn(&T) -> String) {
    if arguments.json {
        let text = serde_json::to_string_pretty(document);
        println!("{}", text.expect("documents serialise to JSON"));
    } else {
        print!("{}", table(document));
    }
}

async fn get(arguments: &Arguments, client: &Client, kind: &str) -> Result<()> {
    let query = [("selector", arguments.selector.as_str())];
    let listing: Listing = client.get(&format!("get/{kind}"), &query).await?;
    show(arguments, &listing, table::listing);
    Ok(())
}

fn read_file(file: &str) -> Result<String> {
    fs::read_to_string(file).map_err(|error| Failure::Usage(format!("{file}: {error}")))
}

fn faults(file: &str, faults: &[file::Fault]) -> Failure {
    let lines = faults.iter().map(|fault| format!("{file}:{fault}"));
    Failure::Usage(lines.collect::<Vec<_>>().join("\ngoldcrest: "))
}

fn check(path: &str) -> Result<()> {
    let text = read_file(path)?;
    let snapshot = file::parse_snapshot(&text).map_err(|found| faults(path, &found))?;
    println!("{path}: {} objects", snapshot.objects().len());
    Ok(())
}

fn change_name(arguments: &Arguments) -> Result<CompactString> {
    match &arguments.change {
        Some(change) => Ok(change.into()),
        None => secret::generate(NAME_BYTES).map(Into::into),
    }
}

async fn apply(arguments: &Arguments, client: &Client, path: &str, dry_run: bool) -> Result<()> {
    let text = read_file(path)?;
    let mut items = file::parse(&text).map_err(|found| faults(path, &found))?;
    items.sort_by_key(|item| dependency_rank(&item.object));
    let change = change_name(arguments)?;
    let chunks: Vec<&[Item]> = items.chunks(MAX_OBJECTS).collect();
    for chunk in chunks {
        let body = Apply { change: change.clone(), objects: chunk.to_vec() };
        let path = if dry_run { "diff" } else { "apply" };
        let report: Report = client.post(path, &body).await?;
        report_and_wait(arguments, client, &report, dry_run).await?;
    }
    Ok(())
}

async fn label(
    arguments: &Arguments,
    client: &Client,
    kind: &str,
    changes: &[String],
) -> Result<()> {
    let unset = changes.iter().filter_map(|change| change.strip_suffix('-'));
    let set = changes.iter().filter(|change| !change.ends_with('-'));
    let body = Label {
        change: change_name(arguments)?,
        kind: kind.into(),
        selector: arguments.selector.as_str().into(),
        set: parse_labels(set)?,
        unset: unset.map(Into::into).collect(),
    };
    let report: Report = client.post("label", &body).await?;
    report_and_wait(arguments, client, &report, false).await
}

fn parse_labels<'a>(texts: impl Iterator<Item = &'a String>) -> Result<Labels> {
    let parse_label = |text: &String| match text.split_once('=') {
        Some((name, value)) => Ok((name.into(), value.into())),
        None => Err(Failure::Usage(format!("'{text}' is not NAME=VALUE"))),
    };
    texts.map(parse_label).collect()
}

async fn move_primaries(arguments: &Arguments, client: &Client) -> Result<()> {
    let body =
        Move { database: arguments.selector.as_str().into(), to: arguments.to.as_str().into() };
    let moves: Moves = client.post("primary/move", &body).await?;
    show(arguments, &moves, table::moves);
    if moves.moves.iter().any(|moved| moved.refusal.is_some()) {
        return Err(Failure::Incomplete);
    }
    Ok(())
}

async fn delete(arguments: &Arguments, client: &Client, path: &str, kind: &str) -> Result<()> {
    let body = Delete {
        change: change_name(arguments)?,
        kind: kind.into(),
        selector: arguments.selector.as_str().into(),
    };
    let report: Report = client.post(path, &body).await?;
    report_and_wait(arguments, client, &report, false).await
}

async fn issue(arguments: &Arguments, client: &Client) -> Result<()> {
    let workspace = arguments.workspace.as_deref();
    let workspace =
        workspace.ok_or_else(|| Failure::Usage("key issue needs --workspace".into()))?;
    let name = match &arguments.name {
        Some(name) => name.clone(),
        None => secret::generate(NAME_BYTES)?,
    };
    let secret = secret::generate(SECRET_BYTES)?;
    let key = Key {
        name: name.as_str().into(),
        workspace: workspace.into(),
        hash: key::hash(&secret).into(),
        withdrawn: false,
        labels: parse_labels(arguments.labels.iter())?,
    };
    let body = Issue { change: change_name(arguments)?, key };
    let report: Report = client.post("key/issue", &body).await?;
    let changed = |done: &Outcome| matches!(done.status, Status::Changed | Status::Unknown);
    if report.results.iter().any(changed) {
        // The secret is stored nowhere else, so it is printed before anything can fail.
        println!("key {name}.{secret}");
    }
    report_and_wait(arguments, client, &report, false).await
}

/// Prints a report and, with `--wait`, waits until the change is in force everywhere.
async fn report_and_wait(
    arguments: &Arguments,
    client: &Client,
    report: &Report,
    dry_run: bool,
) -> Result<()> {
    show(arguments, report, table::report);
    let any = |status| report.results.iter().any(|done| done.status == status);
    if any(Status::Conflict) {
        return Err(Failure::Conflict);
    }
    if any(Status::Unknown) {
        return Err(Failure::Unknown);
    }
    if any(Status::Failed) {
        return Err(Failure::Incomplete);
    }
    if let Some(refusal) = &report.refusal {
        return Err(Failure::Refused(refusal.to_string()));
    }
    let newest = report.results.iter().map(|done| done.revision).max();
    match newest {
        Some(revision) if arguments.wait && !dry_run => {
            wait(arguments, client, Some(&revision.to_string())).await
        }
        _ => Ok(()),
    }
}

async fn wait(arguments: &Arguments, client: &Client, revision: Option<&str>) -> Result<()> {
    let query = [
        ("revision", revision.unwrap_or_default()),
        ("timeout_ms", arguments.timeout_ms.as_deref().unwrap_or_default()),
    ];
    let wait: Wait = client.get("config/wait", &query).await?;
    show(arguments, &wait, table::wait);
    if wait.in_force { Ok(()) } else { Err(Failure::NotInForce) }
}
