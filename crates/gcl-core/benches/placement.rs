//! The cost of routing a request and of checking it at a home, by the size of the configuration.

use criterion::{Criterion, criterion_group, criterion_main};
use gcl_core::{
    batch::Batch,
    config::{object::Object, snapshot::Snapshot},
    route,
    run::{Access, Run, Scope},
};
use std::{hint::black_box, time::Duration};

fn object(value: serde_json::Value) -> Object {
    serde_json::from_value(value).expect("the object has the right fields")
}

/// A configuration of `services` services with three databases and two rules each.
fn snapshot(services: usize) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let mut revision = 0;
    let mut put = |value| {
        revision += 1;
        snapshot.put(revision, object(value));
    };
    for service in 0..services {
        let name = format!("s{service}");
        put(serde_json::json!({"kind": "service", "name": name}));
        for database in 0..3 {
            put(serde_json::json!({"kind": "database", "name": format!("{name}-{database}"),
                "service": name}));
        }
        put(serde_json::json!({"kind": "rule", "name": format!("{name}-a"), "service": name,
            "priority": 1, "workspaces": "desk in (altyn, dala)"}));
        put(serde_json::json!({"kind": "rule", "name": format!("{name}-b"), "service": name}));
        put(serde_json::json!({"kind": "workspace", "name": format!("w{service}"), "rate": 1,
            "burst": 1, "labels": {"desk": "orda"}}));
    }
    snapshot.revision = revision;
    snapshot.rebuild_indexes();
    snapshot
}

fn bench(criterion: &mut Criterion) {
    for services in [1, 1700] {
        let snapshot = snapshot(services);
        let resolve =
            |key: &str| route::resolve(&snapshot, "w0", "s0", key).expect("a route exists");
        criterion.bench_function(&format!("place, {services} services"), |bencher| {
            bencher.iter(|| resolve(black_box("order-4711")));
        });
        let destination = resolve("order-4711");
        let run = Run {
            request: 1,
            attempt: 1,
            workspace: "w0".into(),
            database: destination.database,
            server: "s".into(),
            revision: destination.revision,
            access: Access::Write,
            scope: Scope::Single,
            ends: false,
            variables: Vec::new(),
            batch: Batch::Simple(String::new()),
            idempotency: None,
            repeatable: false,
            budget: Duration::from_secs(1),
        };
        criterion.bench_function(&format!("check, {services} services"), |bencher| {
            bencher.iter(|| route::check_placement(&snapshot, black_box(&run)));
        });
    }
    let large = snapshot(1700);
    criterion.bench_function("index, 1700 services", |bencher| {
        bencher.iter_batched(
            || large.clone(),
            |mut snapshot| snapshot.rebuild_indexes(),
            criterion::BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
