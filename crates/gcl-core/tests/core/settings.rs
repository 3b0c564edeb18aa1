//! Tests of `gcl_core::settings`.

use gcl_core::settings::{
    Settings, parse,
    schema::{Shape, paths},
};
use proptest::{prelude::*, test_runner::RngSeed};
use test_case::test_case;

const VALID: &str = r#"{
    // Who it is.
    "daemon": "almaty-a-1", "domain": "almaty-a", "region": "almaty",
    "listen": {"caller": "127.0.0.1:6432", "peer": "127.0.0.1:6433", "operator": "127.0.0.1:6434"},
    "store": "http://127.0.0.1:2379",
    "seeds": [{"daemon": "almaty-b-1", "domain": "almaty-b", "address": "127.0.0.1:7433"}],
    "bounds": {"idle_ms": 60000}, /* the rest by default */
}"#;

fn faults(text: &str) -> Vec<String> {
    let problems = parse(text).expect_err("the settings have faults");
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn reads_settings_with_comments_and_defaults() {
    let settings = parse(VALID).expect("the settings are valid");
    assert_eq!(settings.daemon, "almaty-a-1");
    assert_eq!(settings.bounds.idle_ms, 60_000);
    assert_eq!(settings.bounds.queue, 512);
}

#[test]
fn finds_each_fault_with_its_line_and_column() {
    let text = "{\n  \"daemon\": \"a b\",\n  \"domain\": 7, \"colour\": 1,\n  \
                \"region\": \"r\", \"region\": \"r\",\n  \"bounds\": {\"queue\": 0, \"é\": 1, \
                \"idle_ms\": 1.5},\n  \"store\": \"ftp://x\",\n  \"seeds\": [3]\n}";
    let found = faults(text);
    let name = "a name of 1 to 63 letters, digits, dots, hyphens and underscores";
    let expected = [
        "1:1: listen is missing".to_owned(),
        format!("2:13: daemon is {name}"),
        format!("3:13: domain is {name}"),
        "3:16: colour is not a setting".to_owned(),
        "4:18: region is given twice".to_owned(),
        "5:23: bounds.queue is a whole number from 1 to 100000".to_owned(),
        "5:26: bounds.é is not a setting".to_owned(),
        "5:45: bounds.idle_ms is a whole number from 10 to 604800000 ms".to_owned(),
        "6:12: store is a URL like \"http://ip:port\"".to_owned(),
        "7:13: seeds[0] is an object".to_owned(),
    ];
    assert_eq!(found, expected);
}

#[test_case("", "1:1"; "nothing")]
#[test_case("[]", "1:1"; "a list")]
#[test_case("{\n  \"daemon\": \n}", "3:1"; "a value missing")]
#[test_case("{\"daemon\": 'x'}", "1:12"; "single quotes")]
fn rejects_what_is_not_an_object(text: &str, position: &str) {
    assert!(faults(text)[0].starts_with(position), "{:?}", faults(text));
}

#[test_case(
    "\"peer\": \"127",
    "\"peer\": \"10",
    "4:52: a peer port beyond loopback needs peer_tls"
)]
#[test_case(
    "\"caller\": \"127",
    "\"caller\": \"10",
    "4:26: a caller port beyond loopback needs caller_tls or plain_caller"
)]
#[test_case(
    "\"operator\": \"127",
    "\"operator\": \"10",
    "4:82: an operator port beyond loopback needs operator_tls or plain_operator"
)]
#[test_case("6433", "6432", "4:15: two ports share an address")]
#[test_case("60000", "60000, \"half_open\": 50000", "7:47: half_open is at most connections")]
#[test_case(
    "\"idle_ms\": 60000",
    "\"idle_ms\": 20000",
    "7:15: transaction_idle_ms is at most idle_ms"
)]
fn rejects_contradictory_settings(part: &str, other: &str, fault: &str) {
    assert_eq!(faults(&VALID.replacen(part, other, 1)), [fault]);
}

#[test_case("\"plain_caller\": true, \"listen\"", "\"caller\": \"10"; "without encryption")]
#[test_case("\"caller_tls\": {\"certificate\": \"c\", \"key\": \"k\"}, \"listen\"",
    "\"caller\": \"10"; "with encryption")]
fn accepts_callers_from_beyond_loopback(setting: &str, caller: &str) {
    let text = VALID.replacen("\"listen\"", setting, 1).replacen("\"caller\": \"127", caller, 1);
    assert!(parse(&text).is_ok(), "{:?}", parse(&text));
}

/// A value in the middle of what a field accepts.
fn sample(shape: &Shape) -> serde_json::Value {
    match shape {
        Shape::Name | Shape::Path => "x".into(),
        Shape::Address => "127.0.0.1:0".into(),
        Shape::Url => "http://127.0.0.1:1".into(),
        Shape::Flag => true.into(),
        Shape::Number { range, .. } => (*range.end()).into(),
        Shape::Decimal { max, .. } => (*max).into(),
        Shape::Names => serde_json::json!({"x": "y"}),
        Shape::Ports => serde_json::json!([1, 2]),
        Shape::Object(fields) => object(fields),
        Shape::List(fields) => vec![object(fields)].into(),
    }
}

fn object(fields: &[gcl_core::settings::schema::Field]) -> serde_json::Value {
    let pairs = fields.iter().map(|field| (field.name.to_owned(), sample(&field.shape)));
    serde_json::Value::Object(pairs.collect())
}

#[test]
fn the_schema_and_the_settings_name_the_same_fields() {
    let full = object(gcl_core::settings::schema::SETTINGS);
    let mut read: Settings = serde_json::from_value(full.clone()).expect("no field is unknown");
    read.advertise = Some("127.0.0.1:0".into());
    let written = serde_json::to_value(&read).expect("settings are plain data");
    assert_eq!(written, full, "no field is missing from the schema");
}

#[test]
fn the_page_names_every_field_with_its_range_and_default() {
    let page = include_str!("../../../../docs/SETTINGS.md");
    let defaults = serde_json::to_value(gcl_core::settings::Bounds::default()).expect("plain data");
    for (path, field) in paths() {
        let row = page.lines().find(|line| line.starts_with(&format!("| `{path}` |")));
        let row = row.unwrap_or_else(|| panic!("{path} has no row"));
        let default = path.strip_prefix("bounds.").and_then(|name| defaults.get(name));
        let Shape::Number { unit, range } = &field.shape else { continue };
        assert!(row.contains(&format!("{} to {}", range.start(), range.end())), "{row}");
        assert!(row.contains(unit), "{row}");
        let default = default.expect("a number has a default");
        assert!(row.contains(&format!("| {default} |")), "{row}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(51), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn no_text_makes_the_parser_panic(text in ".{0,100}", at in 0..VALID.len()) {
        let _ = parse(&text);
        let _ = parse(&format!("{}{text}{}", &VALID[..at], &VALID[at..]));
        let _ = parse(&VALID[..at]);
    }
}
