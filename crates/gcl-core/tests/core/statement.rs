//! Tests of `gcl_core::statement`.

use gcl_core::statement::{Class, classify};
use test_case::test_case;

#[test_case("select 1", Class::Read)]
#[test_case("  INSERT INTO t VALUES (1)", Class::Write)]
#[test_case("commit", Class::Commit)]
fn judges_plain_statements(sql: &str, class: Class) {
    assert_eq!(classify(sql), class);
}
