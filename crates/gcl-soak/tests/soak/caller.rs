use gcl_soak::caller::{Suspect, Word, audit, stale};
use indexmap::{IndexMap, IndexSet};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Writes `a`, `b` and so on: `d` acknowledged, `n` not run, `?` in doubt, each a second apart.
fn writes(words: &str, began: Instant) -> IndexMap<String, Word> {
    let names = ('a'..='z').map(String::from);
    let words = names.zip(words.chars()).enumerate().map(|(number, (name, word))| {
        let at = began + Duration::from_secs(number as u64);
        let word = match word {
            'd' => Word::Done(at),
            'n' => Word::NotRun,
            _ => Word::Doubt,
        };
        (name, word)
    });
    words.collect()
}

#[test_case("dd", Some("b"), 0, true; "the newest")]
#[test_case("dd", Some("a"), 0, false; "an older one")]
#[test_case("dd", Some("a"), 1500, true; "an older one that is young enough")]
#[test_case("dd", None, 1500, false; "nothing")]
#[test_case("nn", None, 0, true; "nothing was kept")]
#[test_case("dn", Some("b"), 0, false; "one that was not run")]
#[test_case("?d", Some("a"), 0, true; "one in doubt that took effect late")]
#[test_case("d", Some("z"), 0, false; "one that nobody wrote")]
fn a_read_shows_what_it_may(words: &str, seen: Option<&str>, age_ms: u64, allowed: bool) {
    let first = Instant::now();
    let began = first + Duration::from_secs(2);
    let age = Duration::from_millis(age_ms);
    let found = stale(&writes(words, first), seen, began, age, &IndexSet::new());
    assert_eq!(found.is_none(), allowed, "{found:?}");
}

#[test_case("dn?", &["a"], &[], true; "kept as told")]
#[test_case("dn?", &["a", "c"], &[], true; "one in doubt was kept")]
#[test_case("d", &[], &[], false; "an acknowledged one is gone")]
#[test_case("d", &[], &["a"], true; "an acknowledged one was rolled back")]
#[test_case("d", &["a", "a"], &[], false; "one ran twice")]
#[test_case("?", &["a", "a"], &[], false; "one in doubt ran twice")]
#[test_case("n", &["a"], &[], false; "one ran that was refused")]
#[test_case("dd", &["b", "a"], &[], false; "out of order")]
fn the_log_agrees_with_what_was_told(
    words: &str,
    committed: &[&str],
    rolled_back: &[&str],
    fine: bool,
) {
    let committed: Vec<String> = committed.iter().map(ToString::to_string).collect();
    let rolled_back: IndexSet<String> = rolled_back.iter().map(ToString::to_string).collect();
    let broken = audit("item", &writes(words, Instant::now()), &committed, &rolled_back);
    assert_eq!(broken.is_empty(), fine, "{broken:?}");
}

#[test_case(&["b"], true; "what it lacks was rolled back")]
#[test_case(&["a"], false; "something else was")]
#[test_case(&["b", "c"], true; "all of it was")]
#[test_case(&["c"], false; "the last only")]
fn a_read_may_lack_what_a_takeover_rolled_back(rolled_back: &[&str], fine: bool) {
    let first = Instant::now();
    let suspect = Suspect {
        statement: "statement 1".into(),
        item: "item".into(),
        seen: Some("a".into()),
        began: first + Duration::from_millis(1_500),
        age: Duration::ZERO,
    };
    let rolled_back = rolled_back.iter().map(ToString::to_string).collect();
    let fault = suspect.fault(&writes("ddd", first), &rolled_back);
    assert_eq!(fault.is_none(), fine, "{fault:?}");
}
