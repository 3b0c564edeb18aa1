//! Tests of `gcl_audit::explain`.

use crate::fixture::{Record, read_all};
use gcl_audit::explain::Search;
use gcl_core::record::{self, Kind, Line};

#[test]
fn lines_about_a_request_are_sorted_by_time_across_daemons() {
    let line =
        |kind, request| Line { request: record::format_request_id(request), ..Line::new(kind) };
    let mut entry = Record::new("d1");
    entry.line(1_000, &line(Kind::Route, 255));
    entry.line(1_001, &line(Kind::Route, 256));
    entry.line(1_020, &line(Kind::Outcome, 255));
    let mut home = Record::new("d2");
    home.line(1_010, &line(Kind::Placement, 255));
    let mut lines = entry.lines;
    lines.extend(home.lines);
    let mut search = Search::new("ff");
    read_all(&lines, |location, entry| search.add(location, &entry));
    let steps = search.finish();
    let found: Vec<_> = steps.iter().map(|step| (step.daemon.as_str(), step.wall_ms)).collect();
    assert_eq!(found, [("d1", 1_000), ("d2", 1_010), ("d1", 1_020)]);
}
