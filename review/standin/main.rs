//! Stand-ins of the platform, the servers and the clients for the scripts in `review/`.
//!
//! `standin CASE FOLDER` plays a case with the daemon as separate processes, writes
//! `FOLDER/record.txt`, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod client;
mod daemon;
mod database;
mod json;
mod key_moved;
mod reborn;
mod record;
mod revoked;
mod store;
mod successor;

use record::Record;
use std::{env, path::PathBuf, process::ExitCode};

/// The outcome of a case: whether the rule was broken, or why it could not run.
pub type Outcome = Result<bool, String>;

/// What every case gets.
pub struct Setting {
    /// The record.
    pub record: Record,
    /// Whether to play the disruption.
    pub trouble: bool,
    /// A temporary folder.
    pub folder: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&format!("{folder}/record.txt")) else {
        eprintln!("cannot write {folder}/record.txt");
        return ExitCode::from(2);
    };
    let temporary = env::temp_dir().join(format!("goldcrest-review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let setting = Setting { record: record.clone(), trouble, folder: temporary.clone() };
    record.line(&format!("case {case}, trouble {trouble}"));
    let outcome = match case.as_str() {
        "key-moved" => key_moved::run(&setting),
        "reborn" => reborn::run(&setting),
        "revoked" => revoked::run(&setting),
        "successor" => successor::run(&setting),
        _ => Err(format!("there is no case {case}")),
    };
    if env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (text, code) = match outcome {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
