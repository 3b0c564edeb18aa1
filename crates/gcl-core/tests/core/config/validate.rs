//! Tests of `gcl_core::config::validate`.

use gcl_core::{
    code::Code,
    config::{object::Object, snapshot::Snapshot, validate},
};
use test_case::test_case;

fn object(text: &str) -> Object {
    serde_json::from_str(text).expect("the object has the right fields")
}

#[test_case(r#"{"kind":"service","name":""}"#, "name ''")]
#[test_case(r#"{"kind":"service","name":"a b"}"#, "name 'a b'")]
#[test_case(r#"{"kind":"service","name":"a","labels":{"x y":"1"}}"#, "label 'x y'")]
#[test_case(r#"{"kind":"workspace","name":"a","rate":0,"burst":1}"#, "rate from 1")]
#[test_case(r#"{"kind":"workspace","name":"a","rate":1,"burst":0}"#, "burst from 1")]
#[test_case(r#"{"kind":"workspace","name":"a","rate":1,"burst":1,"weight":0}"#, "weight from 1")]
#[test_case(
    r#"{"kind":"workspace","name":"a","rate":1,"burst":1,"offline_ms":86400001}"#,
    "offline_ms"
)]
#[test_case(r#"{"kind":"key","name":"a","workspace":"b","hash":"xyz"}"#, "SHA-256")]
#[test_case(r#"{"kind":"rule","name":"a","service":"s","workspaces":"x=="}"#, "column 3")]
#[test_case(r#"{"kind":"rule","name":"a","service":"s","next":"x"}"#, "phase is closing")]
#[test_case(r#"{"kind":"server","name":"a","database":"d","domain":"z","address":"127.0.0.1:1","slots":2,"connections":1}"#, "as many connections")]
fn invalid_objects(text: &str, detail: &str) {
    let problems = validate::object(&object(text));
    assert!(problems.iter().any(|problem| problem.fault.detail.contains(detail)), "{problems:?}");
    assert!(problems.iter().all(|problem| problem.fault.code == Code::BadObject), "{problems:?}");
}

#[test_case(r#"{"kind":"database","name":"a","service":"s"}"#, "service s does not exist")]
#[test_case(r#"{"kind":"key","name":"a","workspace":"w","hash":""}"#, "workspace w does not exist")]
#[test_case(r#"{"kind":"rule","name":"a","service":"s"}"#, "service s does not exist")]
#[test_case(r#"{"kind":"server","name":"a","database":"d","domain":"z","address":"127.0.0.1:1","slots":1,"connections":1}"#, "domain z does not exist")]
fn dangling_references(text: &str, detail: &str) {
    let problems = validate::references(&Snapshot::default(), &object(text));
    let found = problems.iter().find(|problem| problem.fault.detail.contains(detail));
    assert_eq!(found.map(|problem| problem.fault.code), Some(Code::NotFound), "{problems:?}");
}
