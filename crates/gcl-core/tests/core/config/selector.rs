//! Tests of `gcl_core::config::selector`.

use gcl_core::config::{object::Labels, selector::Selector};
use proptest::{
    prelude::{ProptestConfig, any, prop_assert_eq, proptest},
    test_runner::RngSeed,
};
use test_case::test_case;

fn labels() -> Labels {
    [("desk", "altyn"), ("region", "east")].map(|(name, value)| (name.into(), value.into())).into()
}

#[test_case("", true)]
#[test_case("desk=altyn", true)]
#[test_case(" desk = altyn , region=east ", true)]
#[test_case("desk=altyn,region=west", false)]
#[test_case("desk!=altyn", false)]
#[test_case("desk!=dala", true)]
#[test_case("floor!=1", true; "a missing label differs")]
#[test_case("desk in (dala, altyn)", true)]
#[test_case("desk in (dala)", false)]
#[test_case("floor in (1)", false; "a missing label is in no set")]
#[test_case("desk notin (dala)", true)]
#[test_case("desk notin(dala,altyn)", false)]
#[test_case("floor notin (1)", true; "a missing label is outside of every set")]
#[test_case("desk", true)]
#[test_case("floor", false)]
#[test_case("!desk", false)]
#[test_case("!floor", true)]
#[test_case("in=1,!notin", false; "operators may be labels")]
fn holds(text: &str, expected: bool) {
    let selector = Selector::parse(text).expect("the selector is well formed");
    assert_eq!(selector.matches(&labels()), expected);
}

#[test_case("=a", 1)]
#[test_case("desk=", 6)]
#[test_case("desk==a", 6)]
#[test_case("desk=a,", 8)]
#[test_case("desk!a", 6)]
#[test_case("desk a", 6)]
#[test_case("desk in altyn", 9)]
#[test_case("desk in ()", 10)]
#[test_case("desk in (a", 11)]
#[test_case("desk in (a b)", 12)]
#[test_case("desk=a;b", 7)]
#[test_case("стол=а;", 7; "columns count characters")]
fn faults_have_a_column(text: &str, column: usize) {
    let error = Selector::parse(text).expect_err("the selector is malformed");
    assert_eq!(error.column, column, "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000, rng_seed: RngSeed::Fixed(5), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_parsed_or_rejected(text in any::<String>()) {
        let _ = Selector::parse(&text);
    }

    #[test]
    fn in_and_notin_test_membership(values in proptest::collection::vec("[a-c]", 1..4), value in "[a-d]") {
        let list = values.join(", ");
        let labels: Labels = [("k".into(), value.as_str().into())].into();
        let within = Selector::parse(&format!("k in ({list})")).expect("well formed");
        let outside = Selector::parse(&format!("k notin ({list})")).expect("well formed");
        let naive = values.contains(&value);
        prop_assert_eq!((within.matches(&labels), outside.matches(&labels)), (naive, !naive));
    }
}
