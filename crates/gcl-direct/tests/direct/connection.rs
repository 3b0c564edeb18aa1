//! Setup of a connection for sessions with other values and prepared statements.

use gcl_direct::{
    connection::{Connection, Step, Values},
    statement::{Access, Prepared},
};
use std::time::Duration;

fn values(pairs: &[(&str, &str)]) -> Values {
    pairs.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect()
}

fn set_up(connection: &mut Connection, values: &Values, prepared: Option<&Prepared>) -> Vec<Step> {
    let mut steps = Vec::new();
    while let Some(step) = connection.next_setup_step(values, prepared) {
        connection.apply(step.clone());
        steps.push(step);
    }
    steps
}

#[test]
fn session_values_are_set_after_a_reset_if_needed() {
    let mut connection = Connection::new("a".into(), "w".into(), Duration::ZERO);
    let first = values(&[("x", "1"), ("y", "2")]);
    assert_eq!(set_up(&mut connection, &first, None).len(), 2);
    assert_eq!(set_up(&mut connection, &first, None), []);
    let second = values(&[("y", "2")]);
    let steps = set_up(&mut connection, &second, None);
    assert_eq!(steps, [Step::Reset, Step::Set("y".into(), "2".into())]);
}

#[test]
fn sessions_share_prepared_statements_under_the_connections_names() {
    let mut connection = Connection::new("a".into(), "w".into(), Duration::ZERO);
    let read = Prepared { access: Access::Read, template: "q1".into() };
    let write = Prepared { access: Access::Write, template: "q1".into() };
    set_up(&mut connection, &Values::new(), Some(&read));
    set_up(&mut connection, &Values::new(), Some(&write));
    assert_eq!(set_up(&mut connection, &Values::new(), Some(&read)), []);
    assert_ne!(connection.statement_name(&read), connection.statement_name(&write));
}

#[test]
fn a_connection_with_many_prepared_statements_is_reset() {
    let mut connection = Connection::new("a".into(), "w".into(), Duration::ZERO);
    let mut resets = 0;
    for index in 0..200 {
        let prepared = Prepared { access: Access::Read, template: format!("q{index}").into() };
        let steps = set_up(&mut connection, &Values::new(), Some(&prepared));
        resets += steps.iter().filter(|step| **step == Step::Reset).count();
        assert!(connection.statement_name(&prepared).is_some());
    }
    assert_eq!(resets, 3);
}
