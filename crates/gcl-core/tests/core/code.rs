//! Tests of `gcl_core::code`.

use gcl_core::code::Code;
use std::collections::BTreeSet;

/// The columns of a row of the table: number, state and name.
fn row(line: &str) -> Option<(u16, &str, &str)> {
    let columns: Vec<&str> = line.split('|').map(str::trim).collect();
    let number = columns.get(1)?.strip_prefix('G')?.parse().ok()?;
    Some((number, columns.get(2)?.trim_matches('`'), columns.get(3)?.trim_matches('`')))
}

#[test]
fn the_page_lists_every_code_and_no_other() {
    let page = include_str!("../../../../docs/CODES.md");
    let listed: Vec<(u16, String, String)> = page
        .lines()
        .filter_map(row)
        .map(|(number, state, name)| (number, state.to_owned(), name.to_owned()))
        .collect();
    let wanted = Code::ALL.iter();
    let wanted: Vec<(u16, String, String)> = wanted
        .map(|code| (code.number(), code.sqlstate().to_owned(), format!("{code:?}")))
        .collect();
    assert_eq!(listed, wanted);
}

#[test]
fn numbers_are_unique_and_states_have_five_characters() {
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    assert!(Code::ALL.iter().all(|code| code.sqlstate().len() == 5));
}
