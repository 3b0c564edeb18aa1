//! Tests of `gcl_audit::verify`.

use crate::fixture::{Record, read_all};
use gcl_audit::verify::{Checker, Fault, Outcome, confirmed};
use gcl_core::record::{
    Kind, Line,
    anchor::{Anchor, Statement},
};
use indexmap::IndexMap;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn check(lines: &[String]) -> Outcome {
    let mut checker = Checker::default();
    read_all(lines, |location, entry| checker.check(location, &entry));
    checker.finish()
}

/// Verifies as the tool does: a first pass collects the anchors, a second checks the chains.
fn check_anchored(lines: &[String], anchors: &IndexMap<gcl_core::id::Domain, Anchor>) -> Outcome {
    let mut first = Checker::default();
    read_all(lines, |location, entry| first.check(location, &entry));
    let (statements, faults) = confirmed(first.statements(), anchors);
    let mut second = Checker::default();
    second.expect_heads(&statements);
    read_all(lines, |location, entry| second.check(location, &entry));
    let mut outcome = second.finish();
    outcome.faults.extend(faults);
    outcome
}

#[test]
fn intact_records_have_no_faults() {
    let mut lines = Record::of("d1", 20).lines;
    lines.extend(Record::of("d2", 30).lines);
    let outcome = check(&lines);
    assert_eq!((outcome.lines, outcome.chains, outcome.faults.len()), (50, 2, 0));
}

fn config() -> Config {
    let rng_seed = RngSeed::Fixed(3);
    Config { rng_seed, failure_persistence: None, cases: 128, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn an_altered_line_is_reported_with_its_location(at in 0_usize..20, digit in 0_u8..10) {
        let mut lines = Record::of("d1", 20).lines;
        let altered = lines[at].replace("outcome ", &format!("outcome {digit}"));
        prop_assume!(altered != lines[at]);
        lines[at] = altered;
        let faults = check(&lines).faults;
        let place = format!("log:{}", at + 1);
        let sequence = at as u64 + 1;
        prop_assert_eq!(&faults[0], &Fault::Altered { place, daemon: "d1".into(), sequence });
    }

    #[test]
    fn removed_lines_are_reported(at in 0_usize..15, count in 1_usize..5) {
        let mut lines = Record::of("d1", 20).lines;
        lines.drain(at..at + count);
        let (from, to) = (at as u64 + 1, (at + count) as u64);
        let place = format!("log:{}", at + 1);
        let missing = Fault::Missing { place, daemon: "d1".into(), from, to };
        prop_assert_eq!(check(&lines).faults, vec![missing]);
    }

    #[test]
    fn swapped_lines_are_reported(a in 0_usize..20, b in 0_usize..20) {
        prop_assume!(a != b);
        let mut lines = Record::of("d1", 20).lines;
        lines.swap(a, b);
        prop_assert!(!check(&lines).faults.is_empty());
    }
}

/// Builds a record whose head was anchored after 10 lines, and the store's anchors.
fn anchored() -> (Record, IndexMap<gcl_core::id::Domain, Anchor>) {
    let mut record = Record::of("d1", 10);
    let heads = vec![record.head.clone()];
    let statement = Statement { domain: "alpha".into(), before: Anchor::default(), heads };
    let reason = serde_json::to_string(&statement).expect("a statement serialises to JSON");
    record.line(2_000, &Line { reason: reason.into(), ..Line::new(Kind::Anchor) });
    let anchors = IndexMap::from([("alpha".into(), statement.anchor())]);
    (record, anchors)
}

#[test]
fn lines_after_the_last_anchor_are_counted() {
    let (record, anchors) = anchored();
    let outcome = check_anchored(&record.lines, &anchors);
    assert_eq!((outcome.faults.len(), outcome.open), (0, 1));
}

#[test]
fn a_rewritten_chain_does_not_match_its_anchor() {
    let (record, anchors) = anchored();
    let mut forged = Record::new("d1");
    for number in 0..10 {
        let reason = compact_str::format_compact!("forged {number}");
        forged.line(1_000, &Line { reason, ..Line::new(Kind::Outcome) });
    }
    let statement = record.lines.last().expect("the record has lines").clone();
    forged.lines.push(statement);
    let faults = check_anchored(&forged.lines, &anchors).faults;
    let found = Fault::Forged { daemon: "d1".into(), incarnation: 7, sequence: 10 };
    assert!(faults.contains(&found), "found {faults:?}");
}

#[test]
fn a_truncated_chain_is_reported_through_its_anchor() {
    let (record, anchors) = anchored();
    let other = Record::of("d2", 3);
    let mut lines: Vec<String> = record.lines[..8].to_vec();
    lines.extend(other.lines);
    // The statement is in another daemon's record, as in a deployment with several daemons.
    let mut collector = Record::new("d3");
    let heads = vec![head_at(&record, 10)];
    let statement = Statement { domain: "alpha".into(), before: Anchor::default(), heads };
    let reason = serde_json::to_string(&statement).expect("a statement serialises to JSON");
    collector.line(2_000, &Line { reason: reason.into(), ..Line::new(Kind::Anchor) });
    lines.extend(collector.lines);
    let faults = check_anchored(&lines, &anchors).faults;
    let cut = Fault::Cut { daemon: "d1".into(), incarnation: 7, last: 8, anchored: 10 };
    assert_eq!(faults, [cut]);
}

fn head_at(record: &Record, sequence: usize) -> gcl_core::record::chain::Head {
    let line: gcl_core::record::chain::Sealed =
        serde_json::from_str(&record.lines[sequence - 1]).expect("the line is a sealed line");
    gcl_core::record::chain::Head {
        daemon: line.daemon,
        incarnation: line.incarnation,
        sequence: line.sequence,
        hash: line.hash,
    }
}

#[test]
fn a_removed_statement_is_reported_through_the_store() {
    let (record, anchors) = anchored();
    let faults = check_anchored(&record.lines[..10], &anchors).faults;
    assert_eq!(faults, [Fault::Unanchored { domain: "alpha".into(), count: 1 }]);
}

#[test]
fn a_reported_gap_is_counted_but_is_not_a_fault() {
    let mut record = Record::of("d1", 3);
    let reason = "12 lines are missing".into();
    record.line(2_000, &Line { reason, ..Line::new(Kind::Gap) });
    let outcome = check(&record.lines);
    assert_eq!((outcome.gaps, outcome.faults.len()), (12, 0));
}
