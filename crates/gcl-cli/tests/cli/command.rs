//! Tests of the commands and exit codes.

use crate::fixture::{Fixture, run};
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
    path.to_str().expect("the path is UTF-8").to_owned()
}

fn example() -> String {
    format!("{}/../../examples/kazyna/objects.jsonc", env!("CARGO_MANIFEST_DIR"))
}

/// Starts a daemon and applies the example.
fn start_with_example() -> Fixture {
    let fixture = Fixture::start();
    let apply = || fixture.run(&["apply", &example(), "--change", "first", "--wait"]);
    // The daemon may not have read the store yet.
    let attempts = (0..200).map(|_| apply());
    let mut attempts = attempts.filter(|output| !stderr(output).contains("G106"));
    let output = attempts.next();
    let output = output.expect("the daemon reads the store");
    assert_eq!(code(&output), 0, "{output:?}");
    assert!(stdout(&output).contains("is in force everywhere"), "{output:?}");
    fixture
}

#[test_case(&["--help"], 0, "Usage: goldcrest")]
#[test_case(&["--version"], 0, "goldcrest 0")]
fn help_and_version_are_printed(args: &[&str], expected: i32, text: &str) {
    let output = run(args);
    assert_eq!(code(&output), expected);
    assert!(stdout(&output).contains(text), "{output:?}");
}

#[test_case(&[]; "no command")]
#[test_case(&["frobnicate"]; "an unknown command")]
#[test_case(&["get", "--bogus", "x"]; "an unknown option")]
#[test_case(&["apply", "/nonexistent"]; "a missing file")]
#[test_case(&["--server", "nonsense", "status"]; "an invalid server address")]
fn wrong_usage_exits_with_2(args: &[&str]) {
    assert_eq!(code(&run(args)), 2);
}

#[test]
fn an_unreachable_daemon_exits_with_3() {
    assert_eq!(code(&run(&["--server", "http://127.0.0.1:1", "status"])), 3);
}

#[test]
fn faults_of_a_file_are_reported_with_line_and_column() {
    let path =
        file("faulty.jsonc", "[\n  {\"kind\": \"service\", \"name\": \"a\", \"x\": 1},\n  7\n]");
    let output = run(&["check", &path]);
    assert_eq!(code(&output), 2);
    let text = stderr(&output);
    assert!(text.contains("faulty.jsonc:2:36: unknown field `x`"), "{text}");
    assert!(text.contains("faulty.jsonc:3:3: expected an object"), "{text}");
}

#[test]
fn objects_are_applied_labelled_listed_and_deleted() {
    let fixture = start_with_example();
    let listed = fixture.run(&["get", "workspace", "-l", "size=large", "--json"]);
    let listing: Listing = serde_json::from_str(&stdout(&listed)).expect("the listing is JSON");
    assert_eq!(listing.objects.len(), 3);
    let again = fixture.run(&["apply", &example()]);
    assert!(stdout(&again).contains("unchanged") && !stdout(&again).contains("  changed"));
    let label =
        fixture.run(&["label", "workspace", "-l", "desk=dala", "tier=gold", "size-", "--wait"]);
    assert_eq!(code(&label), 0, "{label:?}");
    let gold = stdout(&fixture.run(&["get", "workspace", "-l", "tier=gold,!size"]));
    assert!(gold.contains("dala"), "{gold}");
    let gone = fixture.run(&["delete", "key", "-l", "use=demo", "--change", "clean", "--wait"]);
    assert_eq!(code(&gone), 0, "{gone:?}");
    let keys = stdout(&fixture.run(&["get", "key"]));
    assert!(!keys.contains("dala-1"), "{keys}");
    let history = stdout(&fixture.run(&["history"]));
    assert!(history.contains("clean") && history.contains("removed"), "{history}");
    let status = stdout(&fixture.run(&["status", "-l", "region=astana"]));
    assert!(status.contains("follows the store") && status.contains("orders-3-c"), "{status}");
}

#[test]
fn a_key_is_shown_once_and_only_its_hash_is_stored() {
    let fixture = start_with_example();
    let issued =
        fixture.run(&["key", "issue", "--workspace", "dala", "--label", "till=4", "--wait"]);
    assert_eq!(code(&issued), 0, "{issued:?}");
    let text = stdout(&issued);
    let key = text.lines().find_map(|line| line.strip_prefix("key ")).expect("the key is printed");
    let secret = key.split_once('.').expect("a key has two halves").1;
    let stored = stdout(&fixture.run(&["get", "key", "-l", "till=4", "--json"]));
    assert!(stored.contains(&key::hash(secret)) && !stored.contains(secret), "{stored}");
    let withdrawn = fixture.run(&["key", "withdraw", "-l", "till=4", "--wait"]);
    assert_eq!(code(&withdrawn), 0, "{withdrawn:?}");
    let stored = stdout(&fixture.run(&["get", "key", "-l", "till=4", "--json"]));
    assert!(stored.contains("\"withdrawn\": true"), "{stored}");
}

#[test]
fn a_refused_move_exits_with_1_and_a_conflict_with_4() {
    let fixture = start_with_example();
    let rule = r#"{"kind": "rule", "name": "orders", "service": "orders-db",
        "databases": "set=other"}"#;
    let moved = file("move.jsonc", &format!("[{rule}]"));
    let refused = fixture.run(&["apply", &moved]);
    assert_eq!(code(&refused), 1, "{refused:?}");
    assert!(stderr(&refused).contains("G1"), "{refused:?}");
    let old = r#"{"revision": 1, "object": {"kind": "workspace", "name": "dala", "rate": 5,
        "burst": 5}}"#;
    let stale = file("stale.jsonc", &format!("[{old}]"));
    let conflict = fixture.run(&["apply", &stale]);
    assert_eq!(code(&conflict), 4, "{conflict:?}");
    let text = stdout(&conflict);
    assert!(text.contains("asked for") && text.contains("\"rate\":350"), "{text}");
}

#[test]
fn a_lost_answer_of_the_store_is_not_a_failure() {
    let fixture = start_with_example();
    fixture.platform().set_fault(Fault { lose: 1, ..Fault::default() });
    let label = fixture.run(&["label", "workspace", "-l", "desk=dala", "tier=gold"]);
    assert_eq!(code(&label), 0, "{label:?}");
    assert_eq!(fixture.platform().fault().lose, 0, "the answer was lost");
}

#[test]
fn an_unreachable_store_leaves_the_outcome_unknown() {
    let fixture = start_with_example();
    fixture.platform().set_fault(Fault { outage: Some(Outage::Refuse), ..Fault::default() });
    let label = fixture.run(&["label", "workspace", "-l", "desk=dala", "tier=gold"]);
    assert_eq!(code(&label), 5, "{label:?}");
}
