//! Tests of the commands and exit codes.

use crate::host::{Host, run};
use gcl_core::{key, operation::api::Listing};
use gcl_standin::platform::fault::{Fault, Outage};
use std::{env, fs, path::PathBuf, process::Output};
use test_case::test_case;

fn code(output: &Output) -> i32 {
    output.status.code().unwrap_or_else(|| panic!("{output:?}"))
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the directory is writable");
    path.to_str().expect("the path is text").to_owned()
}

fn example() -> String {
    format!("{}/../../examples/kazyna/objects.jsonc", env!("CARGO_MANIFEST_DIR"))
}

/// A daemon that has the example in force.
fn loaded() -> Host {
    let host = Host::start();
    let apply = || host.run(&["apply", &example(), "--change", "first", "--wait"]);
    // The daemon may not have read the store yet.
    let tries = (0..200).map(|_| apply());
    let mut tries = tries.filter(|output| !stderr(output).contains("G106"));
    let output = tries.next();
    let output = output.expect("the daemon reads the store");
    assert_eq!(code(&output), 0, "{output:?}");
    assert!(stdout(&output).contains("is in force everywhere"), "{output:?}");
    host
}

#[test_case(&["--help"], 0, "Usage: goldcrest")]
#[test_case(&["--version"], 0, "goldcrest 0")]
fn tells_about_itself(words: &[&str], expected: i32, text: &str) {
    let output = run(words);
    assert_eq!(code(&output), expected);
    assert!(stdout(&output).contains(text), "{output:?}");
}

#[test_case(&[]; "no command")]
#[test_case(&["frobnicate"]; "an unknown command")]
#[test_case(&["get", "--bogus", "x"]; "an unknown option")]
#[test_case(&["apply", "/nonexistent"]; "a file that is not there")]
#[test_case(&["--server", "nonsense", "status"]; "a server that is no address")]
fn wrong_usage_ends_with_two(words: &[&str]) {
    assert_eq!(code(&run(words)), 2);
}

#[test]
fn a_daemon_that_is_not_there_ends_with_three() {
    assert_eq!(code(&run(&["--server", "http://127.0.0.1:1", "status"])), 3);
}

#[test]
fn faults_of_a_file_have_line_and_column() {
    let path =
        file("faulty.jsonc", "[\n  {\"kind\": \"service\", \"name\": \"a\", \"x\": 1},\n  7\n]");
    let output = run(&["check", &path]);
    assert_eq!(code(&output), 2);
    let text = stderr(&output);
    assert!(text.contains("faulty.jsonc:2:36: unknown field `x`"), "{text}");
    assert!(text.contains("faulty.jsonc:3:3: expected an object"), "{text}");
}

#[test]
fn a_life_of_objects() {
    let host = loaded();
    let listed = host.run(&["get", "workspace", "-l", "size=large", "--json"]);
    let listing: Listing = serde_json::from_str(&stdout(&listed)).expect("JSON was asked for");
    assert_eq!(listing.objects.len(), 3);
    let again = host.run(&["apply", &example()]);
    assert!(stdout(&again).contains("unchanged") && !stdout(&again).contains("  changed"));
    let label =
        host.run(&["label", "workspace", "-l", "desk=dala", "tier=gold", "size-", "--wait"]);
    assert_eq!(code(&label), 0, "{label:?}");
    let gold = stdout(&host.run(&["get", "workspace", "-l", "tier=gold,!size"]));
    assert!(gold.contains("dala"), "{gold}");
    let gone = host.run(&["delete", "key", "-l", "use=demo", "--change", "clean", "--wait"]);
    assert_eq!(code(&gone), 0, "{gone:?}");
    let keys = stdout(&host.run(&["get", "key"]));
    assert!(!keys.contains("dala-1"), "{keys}");
    let history = stdout(&host.run(&["history"]));
    assert!(history.contains("clean") && history.contains("removed"), "{history}");
    let status = stdout(&host.run(&["status", "-l", "region=astana"]));
    assert!(status.contains("follows the store") && status.contains("orders-3-c"), "{status}");
}

#[test]
fn a_key_is_shown_once_and_only_its_hash_kept() {
    let host = loaded();
    let issued = host.run(&["key", "issue", "--workspace", "dala", "--label", "till=4", "--wait"]);
    assert_eq!(code(&issued), 0, "{issued:?}");
    let text = stdout(&issued);
    let key = text.lines().find_map(|line| line.strip_prefix("key ")).expect("the key is shown");
    let secret = key.split_once('.').expect("a key has two halves").1;
    let stored = stdout(&host.run(&["get", "key", "-l", "till=4", "--json"]));
    assert!(stored.contains(&key::hash(secret)) && !stored.contains(secret), "{stored}");
    let withdrawn = host.run(&["key", "withdraw", "-l", "till=4", "--wait"]);
    assert_eq!(code(&withdrawn), 0, "{withdrawn:?}");
    let stored = stdout(&host.run(&["get", "key", "-l", "till=4", "--json"]));
    assert!(stored.contains("\"withdrawn\": true"), "{stored}");
}

#[test]
fn a_move_is_refused_and_a_conflict_shown() {
    let host = loaded();
    let rule = r#"{"kind": "rule", "name": "orders", "service": "orders-db",
        "databases": "set=other"}"#;
    let moved = file("move.jsonc", &format!("[{rule}]"));
    let refused = host.run(&["apply", &moved]);
    assert_eq!(code(&refused), 1, "{refused:?}");
    assert!(stderr(&refused).contains("G1"), "{refused:?}");
    let old = r#"{"revision": 1, "object": {"kind": "workspace", "name": "dala", "rate": 5,
        "burst": 5}}"#;
    let stale = file("stale.jsonc", &format!("[{old}]"));
    let conflict = host.run(&["apply", &stale]);
    assert_eq!(code(&conflict), 4, "{conflict:?}");
    let text = stdout(&conflict);
    assert!(text.contains("asked for") && text.contains("\"rate\":350"), "{text}");
}

#[test]
fn a_lost_answer_is_no_failure() {
    let host = loaded();
    host.platform().set_fault(Fault { lose: 1, ..Fault::default() });
    let label = host.run(&["label", "workspace", "-l", "desk=dala", "tier=gold"]);
    assert_eq!(code(&label), 0, "{label:?}");
    assert_eq!(host.platform().fault().lose, 0, "the answer was lost");
}

#[test]
fn a_store_that_cannot_be_reached_leaves_the_outcome_open() {
    let host = loaded();
    host.platform().set_fault(Fault { outage: Some(Outage::Refuse), ..Fault::default() });
    let label = host.run(&["label", "workspace", "-l", "desk=dala", "tier=gold"]);
    assert_eq!(code(&label), 5, "{label:?}");
}
