//! Tests of `gcl_audit::read`.

use crate::fixture::{Record, read_all};
use gcl_audit::read::{self, Entry};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};

#[test]
fn log_lines_of_other_targets_are_skipped() {
    let mut lines = Record::of("d1", 2).lines;
    lines.insert(1, r#"{"target":"gcl_daemon","message":"listening"}"#.to_owned());
    lines.insert(0, "plain text".to_owned());
    let mut numbers = Vec::new();
    read_all(&lines, |location, _| numbers.push(location.number));
    assert_eq!(numbers, [2, 4]);
}

#[test]
fn a_damaged_line_of_the_record_is_reported() {
    let line = Record::of("d1", 1).lines.remove(0);
    let cut = line[..line.len() - 9].to_owned();
    let mut entries = Vec::new();
    read_all(&[cut], |_, entry| entries.push(entry));
    assert!(matches!(entries.as_slice(), [Entry::Damaged(_)]), "found {entries:?}");
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..300)) {
        read::read("log", bytes.as_slice(), |_, _| {}).expect("reading from memory succeeds");
    }
}
