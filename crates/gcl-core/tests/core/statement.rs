//! Tests of `gcl_core::statement`.

use gcl_core::{
    code::Code,
    statement::{Analysis, Class, Command, analyze, classify, parse_comment},
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::time::Duration;
use test_case::test_case;

const BEGIN: Class = Class::Begin { read_only: false };

#[test_case("select 1", Class::Read)]
#[test_case("  INSERT INTO t VALUES (1)", Class::Write)]
#[test_case("commit", Class::Commit)]
#[test_case("(select a from t) union (values (1))", Class::Read; "in parentheses")]
#[test_case("select count(*), lower(a) from t where b in (1, 2)", Class::Read; "pure functions")]
#[test_case("select nextval('s')", Class::Call; "a function that writes")]
#[test_case("select \"Odd\"(1)", Class::Call; "a quoted function")]
#[test_case("select a from t for update", Class::Write; "for update")]
#[test_case("select a from t for no key update", Class::Write; "for no key update")]
#[test_case("select a from t for key share", Class::Write; "for key share")]
#[test_case("select a into b from t", Class::Write; "select into")]
#[test_case("with x as (delete from t returning a) select a from x", Class::Write; "with delete")]
#[test_case("with x as (select 1) select * from x", Class::Read; "with select")]
#[test_case("explain delete from t", Class::Read; "explain")]
#[test_case("explain analyze delete from t", Class::Write; "explain analyze")]
#[test_case("explain (analyze, buffers) select 1", Class::Read; "explain analyze of a read")]
#[test_case("table t", Class::Read; "table")]
#[test_case("show timezone", Class::Read; "show")]
#[test_case("begin", BEGIN; "begin")]
#[test_case("start transaction isolation level serializable, read only",
    Class::Begin { read_only: true }; "read only")]
#[test_case("end", Class::Commit; "end")]
#[test_case("abort", Class::Rollback; "abort")]
#[test_case("rollback to savepoint s", Class::Write; "rollback to")]
#[test_case("savepoint s", Class::Write; "savepoint")]
#[test_case("select 'it''s; delete' /* ; update */ -- drop\n, $$;delete$$, $a$'$a$, e'\\';'",
    Class::Read; "keywords in literals and comments")]
#[test_case("select /* /* nested */ delete */ 1", Class::Read; "nested comments")]
#[test_case("select 1; update t set a = 1", Class::Write; "several statements")]
#[test_case("begin; insert into t values (1); commit", Class::Write; "a whole transaction")]
#[test_case("begin; insert into t values (1)", BEGIN; "the start of a transaction")]
#[test_case("insert into t values (1); commit", Class::Commit; "the end of a transaction")]
#[test_case("vacuum", Class::Write; "anything else")]
#[test_case("create table temp (a int)", Class::Write; "a table named temp")]
fn classifies_statements(sql: &str, class: Class) {
    assert_eq!((classify(sql), analyze(sql).is_ok()), (class, true));
}

#[test_case("commit; select 1"; "a statement after the end")]
#[test_case("prepare transaction 'x'"; "two-phase commit")]
#[test_case("commit and chain"; "a chain")]
#[test_case("select a into temp b from t"; "select into a temporary table")]
#[test_case("create or replace temporary view v as select 1"; "a temporary view")]
#[test_case("set role postgres"; "another role")]
#[test_case("set session authorization postgres"; "another user")]
#[test_case("select pg_catalog.\"pg_try_advisory_lock\"(1)"; "a lock by a quoted name")]
fn refuses_statements_that_need_a_dedicated_connection(sql: &str) {
    assert_eq!(analyze(sql).map_err(|fault| fault.code), Err(Code::NotSupported));
}

#[test_case("SET goldcrest.max_age TO '2s';", "goldcrest.max_age", "2s"; "an option")]
#[test_case("set session \"TimeZone\" = 'UTC'", "timezone", "UTC"; "quoted")]
#[test_case("set extra_float_digits = -3", "extra_float_digits", "-3"; "negative")]
#[test_case("set names 'utf8'", "client_encoding", "utf8"; "names")]
#[test_case("set application_name = 'it''s'", "application_name", "it's"; "a doubled quote")]
fn parses_assignments(sql: &str, name: &str, value: &str) {
    let command = Command::Set(name.into(), value.into());
    assert_eq!(analyze(sql), Ok(Analysis::Local(command)));
}

#[test_case("discard all", Command::DiscardAll)]
#[test_case("reset all", Command::ResetAll)]
#[test_case("reset timezone", Command::Reset("timezone".into()))]
#[test_case("set timezone to default", Command::Reset("timezone".into()))]
#[test_case("show goldcrest.session", Command::Show("goldcrest.session".into()))]
fn parses_session_commands(sql: &str, command: Command) {
    assert_eq!(analyze(sql), Ok(Analysis::Local(command)));
}

#[test]
fn parses_the_leading_comment() {
    let sql = "/* goldcrest: max_age=2s, repeatable=no, route=17, timeout=500ms */ select 1";
    let options = parse_comment(sql).expect("the comment is well formed");
    assert_eq!(options.max_age, Some(Duration::from_secs(2)));
    assert_eq!(options.repeatable, Some(false));
    assert_eq!(options.route.as_deref(), Some("17"));
    assert_eq!(options.timeout, Some(Duration::from_millis(500)));
    assert_eq!(
        parse_comment("/* a remark */ select 1"),
        Ok(gcl_core::statement::Options::default())
    );
}

#[test_case("/* goldcrest: max_age=2 */"; "no unit")]
#[test_case("/* goldcrest: max_age=-1s */"; "negative")]
#[test_case("/* goldcrest: max_age=25000h */"; "an unknown unit")]
#[test_case("/* goldcrest: timeout=0 */"; "a zero timeout")]
#[test_case("/* goldcrest: request=17 */"; "an invalid uuid")]
#[test_case("/* goldcrest: repeatable=perhaps */"; "an invalid flag")]
#[test_case("/* goldcrest: colour=red */"; "an unknown option")]
#[test_case("/* goldcrest: max_age */"; "no value")]
#[test_case("/* goldcrest: max_age=2s"; "an unterminated comment")]
fn refuses_an_invalid_comment(sql: &str) {
    assert_eq!(parse_comment(sql).map_err(|fault| fault.code), Err(Code::BadOption));
}

/// Generates a statement together with its expected class.
fn statement() -> impl Strategy<Value = (Vec<&'static str>, Class)> {
    let tail = prop_oneof![
        Just((vec![], Class::Read)),
        Just((vec!["where", "a", "in", "(", "1", ")"], Class::Read)),
        Just((vec!["where", "a", "=", "setval", "(", "'s'", ",", "1", ")"], Class::Call)),
        Just((vec!["for", "update"], Class::Write)),
        Just((vec!["for", "share"], Class::Write)),
    ];
    let head = prop_oneof![
        Just((vec!["select", "a", ",", "'delete'", "from", "t"], Class::Read)),
        Just((vec!["select", "max", "(", "a", ")", "from", "\"update\""], Class::Read)),
        Just((vec!["with", "x", "as", "(", "select", "1", ")", "table", "x"], Class::Read)),
        Just((vec!["update", "t", "set", "a", "=", "$$select$$"], Class::Write)),
    ];
    (head, tail).prop_map(|((mut words, first), (tail, second))| {
        words.extend(tail);
        let class = match (first, second) {
            (Class::Write, _) | (_, Class::Write) => Class::Write,
            (_, Class::Call) => Class::Call,
            _ => Class::Read,
        };
        (words, class)
    })
}

fn separator() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just(" "), Just("\n\t"), Just(" /* delete ; */ "), Just(" -- for update\n")]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn whitespace_comments_and_case_do_not_affect_the_class(
        (words, class) in statement(),
        separators in prop::collection::vec(separator(), 24),
        upper: bool,
    ) {
        let cased = |word: &str| {
            let keep = word.starts_with(['\'', '"', '$']);
            if upper && !keep { word.to_uppercase() } else { word.to_owned() }
        };
        let pieces = words.iter().zip(separators.iter().cycle());
        let sql: String =
            pieces.flat_map(|(word, gap)| [cased(word), (*gap).to_owned()]).collect();
        prop_assert_eq!(classify(&sql), class, "{}", sql);
    }

    #[test]
    fn no_text_makes_the_analysis_panic(sql in "[ a-z0-9'\"$;()/*\\\\.=,\u{e9}-]{0,80}") {
        let _ = analyze(&sql);
        let _ = parse_comment(&sql);
    }

    #[test]
    fn no_unicode_makes_the_analysis_panic(sql in ".{0,80}") {
        let _ = analyze(&format!("set {sql}"));
        let _ = parse_comment(&format!("/* goldcrest: {sql}"));
    }
}
