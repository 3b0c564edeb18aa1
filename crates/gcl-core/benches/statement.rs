//! The cost of classifying a statement, which is part of every request, and of encoding and
//! decoding a session token.

use criterion::{Criterion, criterion_group, criterion_main};
use gcl_core::{
    mark::Mark,
    statement::{analyze, parse_comment},
    token::Floor,
};
use std::hint::black_box;

/// Statements of typical order and booking applications.
const STATEMENTS: [(&str, &str); 4] = [
    ("point_read", "SELECT id, state, due FROM orders WHERE id = $1"),
    (
        "report",
        "SELECT o.id, o.due, count(*) AS parts, sum(l.amount) FROM orders o JOIN lines l ON \
         l.order_id = o.id WHERE o.dealer = $1 AND o.due BETWEEN $2 AND $3 AND o.state IN ('open', \
         'packed') GROUP BY o.id, o.due ORDER BY o.due LIMIT 50",
    ),
    ("insert", "INSERT INTO bookings (id, counter, starts, tables) VALUES ($1, $2, $3, $4)"),
    ("commented", "/* goldcrest: max_age=2s, route=17 */ SELECT name FROM drops WHERE day = $1"),
];

fn statements(criterion: &mut Criterion) {
    for (name, sql) in STATEMENTS {
        criterion.bench_function(&format!("judge/{name}"), |bencher| {
            bencher
                .iter(|| (analyze(black_box(sql)).is_ok(), parse_comment(black_box(sql)).is_ok()));
        });
    }
}

fn tokens(criterion: &mut Criterion) {
    let mut floor = Floor::initial();
    for database in ["orders-1", "orders-2", "orders-3"] {
        floor.raise(&database.into(), Mark::new(17, 123_456_789));
    }
    let token = floor.encode();
    criterion.bench_function("token/encode", |bencher| bencher.iter(|| black_box(&floor).encode()));
    criterion.bench_function("token/decode", |bencher| {
        bencher.iter(|| Floor::decode(black_box(&token)).is_ok());
    });
}

criterion_group!(benches, statements, tokens);
criterion_main!(benches);
