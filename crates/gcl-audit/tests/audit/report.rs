//! Tests of `gcl_audit::report`.

use crate::fixture::{Record, read_all};
use gcl_audit::report::{Counter, Options};
use gcl_core::{
    code::Code,
    record::{Kind, Line},
};

#[test]
fn refusals_are_counted_by_workspace_code_and_time() {
    let refusal = |workspace: &str, code| Line {
        workspace: workspace.into(),
        code: Some(code),
        ..Line::new(Kind::Refusal)
    };
    let mut record = Record::new("d1");
    record.line(999, &refusal("altyn", Code::RateLimited));
    record.line(1_000, &refusal("altyn", Code::RateLimited));
    record.line(1_500, &refusal("altyn", Code::RateLimited));
    record.line(1_600, &refusal("altyn", Code::WrongKey));
    record.line(1_700, &refusal("dala", Code::RateLimited));
    record.line(2_000, &refusal("altyn", Code::RateLimited));
    let options = Options { workspace: Some("altyn".into()), from_ms: 1_000, to_ms: 2_000 };
    let mut counter = Counter::new(options);
    read_all(&record.lines, |location, entry| counter.add(location, &entry));
    let rows = counter.finish();
    let found: Vec<_> = rows.iter().map(|row| (row.code, row.count, row.last_ms)).collect();
    assert_eq!(found, [(Some(101), 1, 1_600), (Some(120), 2, 1_500)]);
}
