//! Tests of `gcl_core::code`.

use gcl_core::code::Code;
use std::collections::BTreeSet;

/// Parses a row of the table into number, SQLSTATE and name.
fn row(line: &str) -> Option<(u16, &str, &str)> {
    let columns: Vec<&str> = line.split('|').map(str::trim).collect();
    let number = columns.get(1)?.strip_prefix('G')?.parse().ok()?;
    Some((number, columns.get(2)?.trim_matches('`'), columns.get(3)?.trim_matches('`')))
}

#[test]
fn the_documentation_lists_exactly_the_existing_codes() {
    let page = include_str!("../../../../docs/CODES.md");
    let listed: Vec<(u16, String, String)> = page
        .lines()
        .filter_map(row)
        .map(|(number, sqlstate, name)| (number, sqlstate.to_owned(), name.to_owned()))
        .collect();
    let expected = Code::ALL.iter();
    let expected: Vec<(u16, String, String)> = expected
        .map(|code| (code.number(), code.sqlstate().to_owned(), format!("{code:?}")))
        .collect();
    assert_eq!(listed, expected);
}

#[test]
fn numbers_are_unique_and_sqlstates_have_five_characters() {
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    assert!(Code::ALL.iter().all(|code| code.sqlstate().len() == 5));
}
