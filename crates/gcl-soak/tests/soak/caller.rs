use gcl_soak::caller::{Anomaly, Status, check_log, check_read};
use indexmap::{IndexMap, IndexSet};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Writes of `a`, `b` and so on, one second apart, with a status each: `d` is acknowledged, `n` not
/// run, `?` unknown.
fn writes(statuses: &str, began: Instant) -> IndexMap<String, Status> {
    let names = ('a'..='z').map(String::from);
    let writes = names.zip(statuses.chars()).enumerate().map(|(number, (name, status))| {
        let at = began + Duration::from_secs(number as u64);
        let status = match status {
            'd' => Status::Acknowledged(at),
            'n' => Status::NotRun,
            _ => Status::Unknown,
        };
        (name, status)
    });
    writes.collect()
}

#[test_case("dd", Some("b"), 0, true; "the newest")]
#[test_case("dd", Some("a"), 0, false; "an older one")]
#[test_case("dd", Some("a"), 1500, true; "an older one within the allowed staleness")]
#[test_case("dd", None, 1500, false; "nothing")]
#[test_case("nn", None, 0, true; "nothing was committed")]
#[test_case("dn", Some("b"), 0, false; "one that was not run")]
#[test_case("?d", Some("a"), 0, true; "an unknown one that took effect late")]
#[test_case("d", Some("z"), 0, false; "one that was never written")]
fn a_read_returns_an_allowed_value(statuses: &str, seen: Option<&str>, age_ms: u64, allowed: bool) {
    let first = Instant::now();
    let began = first + Duration::from_secs(2);
    let age = Duration::from_millis(age_ms);
    let found = check_read(&writes(statuses, first), seen, began, age, &IndexSet::new());
    assert_eq!(found.is_none(), allowed, "{found:?}");
}

#[test_case("dn?", &["a"], &[], true; "committed as reported")]
#[test_case("dn?", &["a", "c"], &[], true; "an unknown one was committed")]
#[test_case("d", &[], &[], false; "an acknowledged one is missing")]
#[test_case("d", &[], &["a"], true; "an acknowledged one was rolled back")]
#[test_case("d", &["a", "a"], &[], false; "one was committed twice")]
#[test_case("?", &["a", "a"], &[], false; "an unknown one was committed twice")]
#[test_case("n", &["a"], &[], false; "a rejected one was committed")]
#[test_case("dd", &["b", "a"], &[], false; "out of order")]
fn the_log_agrees_with_the_reported_statuses(
    statuses: &str,
    committed: &[&str],
    rolled_back: &[&str],
    allowed: bool,
) {
    let committed: Vec<String> = committed.iter().map(ToString::to_string).collect();
    let rolled_back: IndexSet<String> = rolled_back.iter().map(ToString::to_string).collect();
    let violations = check_log("item", &writes(statuses, Instant::now()), &committed, &rolled_back);
    assert_eq!(violations.is_empty(), allowed, "{violations:?}");
}

#[test_case(&["b"], true; "the missing write was rolled back")]
#[test_case(&["a"], false; "another write was rolled back")]
#[test_case(&["b", "c"], true; "all newer writes were rolled back")]
#[test_case(&["c"], false; "only the last write was rolled back")]
fn a_read_may_miss_writes_that_a_failover_rolled_back(rolled_back: &[&str], allowed: bool) {
    let first = Instant::now();
    let anomaly = Anomaly {
        statement: "statement 1".into(),
        item: "item".into(),
        seen: Some("a".into()),
        began: first + Duration::from_millis(1_500),
        age: Duration::ZERO,
    };
    let rolled_back = rolled_back.iter().map(ToString::to_string).collect();
    let violation = anomaly.violation(&writes("ddd", first), &rolled_back);
    assert_eq!(violation.is_none(), allowed, "{violation:?}");
}
