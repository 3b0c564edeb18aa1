//! Tests of `gcl_core::value`.

use gcl_core::store::Entry;
use test_case::test_case;

#[test_case(b"{\"a\": \"\xc3\xa9\"}", "\"{\\\"a\\\": \\\"\u{e9}\\\"}\""; "text")]
#[test_case(b"", "\"\""; "no bytes")]
#[test_case(b"\xff\x00", "[255,0]"; "bytes that are not UTF-8")]
fn survives_a_round_trip(value: &'static [u8], written: &str) {
    let entry = Entry { key: "k".into(), value: value.into(), revision: 1, lease: 0 };
    let text = serde_json::to_string(&entry).expect("an entry can be serialized");
    assert!(text.contains(&format!("\"value\":{written}")), "{text}");
    let back: Entry = serde_json::from_str(&text).expect("the entry was just serialized");
    assert_eq!(back, entry);
}

#[test]
fn text_as_numbers_is_accepted() {
    let text = r#"{"key": "k", "value": [123, 125], "revision": 1, "lease": 0}"#;
    let entry: Entry =
        serde_json::from_str(text).expect("the older form, a list of numbers, is accepted");
    assert_eq!(entry.value, "{}");
}
