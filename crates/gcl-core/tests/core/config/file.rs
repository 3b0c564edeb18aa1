//! Tests of `gcl_core::config::file`.

use gcl_core::config::file::{Fault, parse, parse_snapshot};
use proptest::{
    prelude::{ProptestConfig, proptest},
    test_runner::RngSeed,
};
use test_case::test_case;

fn faults(text: &str) -> Vec<(usize, usize)> {
    let faults = parse(text).expect_err("the file has faults");
    faults.iter().map(|fault| (fault.line, fault.column)).collect()
}

#[test_case("", (1, 1); "nothing")]
#[test_case("{}", (1, 1); "no list")]
#[test_case("[\n  1\n]", (2, 3); "no object")]
#[test_case("[\n  {\"kind\": \"service\"\n", (2, 3); "an open brace")]
#[test_case("[{\"kind\": \"thing\", \"name\": \"a\"}]", (1, 3); "an unknown kind")]
#[test_case("[{\"kind\": \"service\"}]", (1, 2); "a missing field")]
#[test_case("[{\"kind\": \"service\", \"name\": \"a\", \"colour\": 1}]", (1, 35); "an unknown field")]
#[test_case("[\n{\"kind\": \"workspace\", \"name\": \"a\",\n  \"rate\": \"x\", \"burst\": 1}]", (3, 3); "a wrong type")]
#[test_case("[\n// ÄÖ\n/* é */ {\"kind\": \"service\", \"name\": \"\"}]", (3, 9); "columns count characters")]
#[test_case("[{\"kind\": \"service\", \"name\": \"a\"} {}]", (1, 34); "a missing comma")]
#[test_case("[{\"object\": {\"kind\": \"service\", \"name\": \"a\"}}]", (1, 2); "no revision")]
fn a_fault_has_a_position(text: &str, position: (usize, usize)) {
    assert_eq!(faults(text), [position], "{:?}", parse(text));
}

#[test]
fn every_fault_is_reported() {
    let text = "[\n{\"kind\": \"service\"},\n{\"kind\": \"domain\", \"name\": \"a\"},\n\
        {\"kind\": \"service\", \"name\": \"b\"},\n{\"kind\": \"service\", \"name\": \"b\"},]";
    assert_eq!(faults(text), [(2, 1), (3, 1), (5, 1)]);
}

#[test]
fn an_object_may_carry_its_revision() {
    let text = r#"[{"revision": 7, "object": {"kind": "service", "name": "a"}}, // listed
        {"kind": "service", "name": "b"}]"#;
    let items = parse(text).expect("the file is well formed");
    let revisions: Vec<_> = items.iter().map(|item| item.revision).collect();
    assert_eq!(revisions, [Some(7), None]);
}

#[test]
fn a_dangling_reference_has_a_position() {
    let text = "[{\"kind\": \"service\", \"name\": \"s\"},\n\
        {\"kind\": \"database\", \"name\": \"d\", \"service\": \"t\"}]";
    let Fault { line, column, detail } = &parse_snapshot(text).expect_err("t does not exist")[0];
    assert_eq!((*line, *column), (2, 1));
    assert!(detail.contains("service t does not exist"), "{detail}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500, rng_seed: RngSeed::Fixed(9), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_parsed_or_rejected(text in r#"[\[\]{}":,a-zé0-9 /*\n]{0,80}"#) {
        let _ = parse(&text);
    }
}
