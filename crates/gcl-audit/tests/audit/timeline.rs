//! Tests of `gcl_audit::timeline`.

use gcl_audit::timeline::{self, Line, Outcome};
use std::convert::Infallible;
use test_case::test_case;

fn explain_request(request: &str, logs: &[&str]) -> Outcome {
    let outcome = timeline::explain(request, |take| -> Result<(), Infallible> {
        logs.iter().flat_map(|log| log.lines()).for_each(take);
        Ok(())
    });
    outcome.expect("the logs are in memory")
}

fn explain(logs: &[&str]) -> Outcome {
    explain_request("r1", logs)
}

fn line(at: u64, daemon: &str, event: &str, rest: &str) -> String {
    let up = at - 500;
    format!(r#"{{"at_ms":{at},"up_ms":{up},"daemon":"{daemon}","event":"{event}"{rest}}}"#) + "\n"
}

#[test_case(
    &[("operation refused", r#","request":"r1","members":7,"workspace":"ws","fault":"G120 over"}"#)],
    "ws had used up this daemon's part of its rate, which 7 daemons share; no daemon had come or \
     gone, so the workspace was over its rate.";
    "over the rate"
)]
#[test_case(
    &[
        ("daemon gone", r#","member":"d2"}"#),
        ("operation refused", r#","request":"r1","members":6,"workspace":"ws","fault":"G120 over"}"#),
    ],
    "ws had used up this daemon's part of its rate, which 6 daemons share; daemons had come or gone \
     just before (1 lines), so the parts were moving.";
    "over the rate after a departure"
)]
#[test_case(
    &[(
        "statement refused",
        r#","request":"r1","tries":2,"stage":"Queued(\"s1\")","waited":464,"fault":"G121 full"}"#,
    )],
    "No connection to s1 became free in 464 ms, at try 2.";
    "no connection"
)]
#[test_case(
    &[
        ("lease not renewed", r#","failure":"Lost"}"#),
        ("statement refused", r#","request":"r1","database":"db","fault":"G130 no right"}"#),
    ],
    "d1 had no right to use primaries: `d1 lease not renewed failure=Lost`. A daemon that cannot \
     renew its lease needs the loan of one that can.";
    "no right"
)]
#[test_case(
    &[("statement refused", r#","request":"r1","database":"db","fault":"G130 none"}"#)],
    "No primary was known for the database, and no move of it was under way.";
    "no primary"
)]
#[test_case(
    &[("placed", r#","request":"r1","server":"s1"}"#), ("ended", r#","request":"r1","outcome":"timeout"}"#)],
    "s1 did not answer in time. It is a read, so nothing was changed.";
    "a silent server"
)]
#[test_case(
    &[("placed", r#","request":"r1","server":"s1"}"#), ("ended", r#","request":"r1","outcome":"served","took":9}"#)],
    "It was served in 9 ms, at try 1.";
    "served"
)]
#[test_case(
    &[("placed", r#","request":"r1","server":"s1"}"#), ("lines left out", r#","count":12}"#)],
    "The logs do not show its end: it was still running, or its last lines were among the 12 left \
     out.";
    "lines left out"
)]
#[test_case(
    &[("placed", r#","request":"r2","server":"s1"}"#)],
    "No line names this request. Either it never reached these daemons, or its lines were among \
     those left out: look for `lines left out`.";
    "unknown"
)]
fn the_last_deciding_line_gives_the_cause(lines: &[(&str, &str)], cause: &str) {
    let lines = lines.iter().zip(1_000..);
    let log: String = lines
        .map(|((event, rest), at)| line(at, "d1", event, rest.trim_end_matches('}')))
        .collect();
    assert_eq!(explain(&[&log]).cause, cause);
}

#[test]
fn a_move_by_another_daemon_explains_a_refusal() {
    let refused = line(
        5_000,
        "d1",
        "statement refused",
        r#","request":"r1","database":"db","fault":"G130 moved""#,
    );
    let other = [
        line(
            4_900,
            "d2",
            "moving the primary",
            r#","database":"db","from":"s1","to":"s2","cause":"Silent""#,
        ),
        line(4_950, "d2", "primary moved", r#","database":"other","to":"s9""#),
        line(5_400, "d2", "primary moved", r#","database":"db","to":"s2""#),
        line(5_500, "d2", "store lost", ""),
    ];
    let outcome = explain(&[&refused, &other.concat()]);
    assert_eq!(
        outcome.cause,
        "The primary of db was being moved from s1 to s2 (Silent), which took 500 ms."
    );
    let context: Vec<&str> = outcome.context.iter().map(|line| line.event.as_str()).collect();
    assert_eq!(
        context,
        ["moving the primary", "primary moved"],
        "only lines that concern the request"
    );
}

#[test]
fn a_lost_answer_counts_other_losses_on_its_server() {
    let lost = |request: &str, server: &str| {
        let rest = format!(r#","request":"{request}","server":"{server}","reason":"closed""#);
        line(5_000, "d1", "connection lost", &rest)
    };
    let ended = line(5_001, "d1", "ended", r#","request":"r1","outcome":"in doubt""#);
    let log = [lost("r1", "s1"), lost("r2", "s1"), lost("r3", "s2"), ended].concat();
    assert_eq!(
        explain(&[&log]).cause,
        "It had been sent to s1 when the connection was lost (closed); it may have taken effect. \
         Other statements that lost their connection to s1 within a second: 1."
    );
}

#[test]
fn text_that_is_not_a_line_is_skipped() {
    let log = format!(
        "noise r1\n\u{fffd}{{r1\nd1| {}",
        line(5_000, "d1", "placed", r#","request":"r1""#)
    );
    let outcome = explain(&[&log]);
    assert_eq!(outcome.steps.len(), 1, "a collector's prefix is ignored: {outcome:?}");
    assert_eq!(Line::parse("no object"), None);
}

#[test]
fn a_numeric_request_id_is_found() {
    let log = line(5_000, "d1", "placed", r#","request":4096,"server":"s1""#);
    assert_eq!(explain_request("4096", &[&log]).steps.len(), 1);
    assert_eq!(explain_request("409", &[&log]).steps.len(), 0);
}

#[test]
fn a_refusal_by_one_host_does_not_decide_the_outcome() {
    let lines = [
        line(1000, "e", "sent to a host", r#","request":"r1","host":"h1""#),
        line(1001, "h1", "statement refused", r#","request":"r1","fault":"G133 The server: gone""#),
        line(1002, "h1", "ended", r#","request":"r1","outcome":"refused""#),
        line(1003, "e", "sent to a host", r#","request":"r1","host":"h2""#),
        line(1004, "h2", "placed", r#","request":"r1","server":"s""#),
        line(1010, "h2", "ended", r#","request":"r1","outcome":"served","took":6"#),
        line(1011, "e", "ended", r#","request":"r1","outcome":"served","took":11"#),
    ];
    let log = lines.join("\n");
    assert_eq!(explain_request("r1", &[&log]).cause, "It was served in 11 ms, at try 1.");
}

#[test]
fn a_lost_host_is_named_with_its_progress() {
    let lines = [
        line(1000, "e", "sent to a host", r#","request":"r1","host":"h1""#),
        line(1001, "h1", "placed", r#","request":"r1","server":"s""#),
        line(1002, "e", "host lost", r#","request":"r1","reason":"the host was lost""#),
        line(1002, "e", "ended", r#","request":"r1","outcome":"in doubt""#),
    ];
    let log = lines.join("\n");
    let cause = "e had sent it to h1, which had sent it to a server, and had no answer: the host was \
                 lost.";
    assert_eq!(explain_request("r1", &[&log]).cause, cause);
}
