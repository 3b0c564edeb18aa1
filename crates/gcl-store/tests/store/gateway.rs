//! Tests of `gcl_store::gateway` with JSON as the real etcd gateway sends it.

use gcl_store::gateway::{Blob, Int, KeyValue, RangeResponse, RequestOp, TxnRequest};
use test_case::test_case;

#[test]
fn a_range_answer_of_the_real_gateway_is_read() {
    let text = r#"{"header":{"cluster_id":"14841639068965178418","member_id":"10276657743932975437",
        "revision":"6","raft_term":"2"},"kvs":[{"key":"Zm9v","create_revision":"2",
        "mod_revision":"6","version":"5","value":"YmFy"}],"count":"1"}"#;
    let answer: RangeResponse = serde_json::from_str(text).expect("the answer is well formed");
    let kv = KeyValue {
        key: Blob::text("foo"),
        create_revision: Int(2),
        mod_revision: Int(6),
        version: Int(5),
        value: Blob::text("bar"),
        lease: Int(0),
    };
    assert_eq!((answer.header.revision, answer.kvs), (Int(6), vec![kv]));
}

#[test]
fn operation_names_may_be_snake_or_camel_case() {
    for name in ["requestPut", "request_put"] {
        let text = format!(
            r#"{{"compare":[{{"key":"Zm9v","result":"EQUAL","target":"MOD","mod_revision":"7"}}],
            "success":[{{"{name}":{{"key":"Zm9v","value":"YmFy"}}}}]}}"#
        );
        let txn: TxnRequest = serde_json::from_str(&text).expect("the request is well formed");
        assert_eq!(txn.compare[0].mod_revision, Int(7));
        assert!(matches!(txn.success[..], [RequestOp::RequestPut(_)]), "{name}");
    }
}

#[test_case("gcl/", "gcl0"; "the last byte is incremented")]
#[test_case("", "\0"; "an empty prefix covers all keys")]
fn the_end_of_a_prefix(prefix: &str, end: &str) {
    assert_eq!(Blob::prefix_end(prefix), Blob::text(end));
}
