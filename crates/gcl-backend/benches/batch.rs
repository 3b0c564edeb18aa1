//! Compares statements through the adapter with statements through `tokio-postgres`, on one
//! connection to the stand-in server.

use criterion::{Criterion, criterion_group, criterion_main};
use gcl_backend::client::{Client, Options};
use gcl_core::{
    batch::{Batch, Prepared, Step, Target},
    id,
    server::{Call, Completion, Event},
};
use gcl_standin::database::{self, Boot, Server};
use std::cell::RefCell;
use tokio::{
    runtime::Runtime,
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
};
use tokio_postgres::{Config, NoTls};

const SELECT: &str = "SELECT who FROM booking WHERE id = 1";
const INSERT: &str = "INSERT INTO booking (who) VALUES ('asha')";

/// An adapter client with one open connection.
struct Adapter {
    client: Client,
    events: UnboundedReceiver<(id::Server, Event)>,
    request: id::Request,
}

impl Adapter {
    async fn open(server: &Server) -> Self {
        let (sender, events) = unbounded_channel();
        let client = Client::new(Options::default(), sender);
        client.call("s".into(), Call::Open { connection: 1, address: server.address() });
        let mut adapter = Self { client, events, request: 0 };
        let opened = adapter.events.recv().await.expect("the client is running").1;
        assert_eq!(opened, Event::Opened(1));
        adapter
    }

    async fn run(&mut self, batch: Batch, idempotency: Option<id::Idempotency>) {
        self.request += 1;
        self.client.call(
            "s".into(),
            Call::Run {
                connection: 1,
                request: self.request,
                term: Some(1),
                read_only: false,
                variables: Vec::new(),
                idempotency,
                batch,
            },
        );
        let ended = self.events.recv().await.expect("the client is running").1;
        let answered =
            matches!(ended, Event::Ended { ended: Completion::Answered { error: None, .. }, .. });
        assert!(answered, "{ended:?}");
    }
}

fn extended(sql: &str) -> Batch {
    let statements = vec![Prepared { sql: sql.to_owned(), types: Vec::new() }];
    let steps = vec![
        Step::Parse(0),
        Step::Bind {
            portal: "".into(),
            statement: 0,
            formats: Vec::new(),
            parameters: Vec::new(),
            results: Vec::new(),
        },
        Step::Describe(Target::Portal("".into())),
        Step::Execute { portal: "".into(), max_rows: 0 },
    ];
    Batch::Extended { statements, steps }
}

fn statement(criterion: &mut Criterion) {
    let runtime = Runtime::new().expect("a runtime starts");
    let options = database::Options { boot: Boot::Primary, ..database::Options::default() };
    let server = runtime.block_on(Server::start(options)).expect("a port is free");
    let mut config = Config::new();
    config.host("127.0.0.1").port(server.address().port()).user("bench");
    let (driver, connection) = runtime.block_on(config.connect(NoTls)).expect("the server listens");
    runtime.spawn(connection);
    let create = "CREATE TABLE booking (id integer PRIMARY KEY, who text); ";
    runtime.block_on(driver.batch_execute(&[create, INSERT].concat())).expect("a new table");
    let adapter = RefCell::new(runtime.block_on(Adapter::open(&server)));
    let run = |batch: Batch, idempotency| {
        runtime.block_on(adapter.borrow_mut().run(batch, idempotency));
    };
    let mut group = criterion.benchmark_group("statement");
    group.bench_function("driver simple read", |bencher| {
        bencher.iter(|| runtime.block_on(driver.simple_query(SELECT)).expect("a row"));
    });
    group.bench_function("adapter simple read", |bencher| {
        bencher.iter(|| run(Batch::Simple(SELECT.to_owned()), None));
    });
    group.bench_function("adapter prepared read", |bencher| {
        bencher.iter(|| run(extended(SELECT), None));
    });
    group.bench_function("driver simple write", |bencher| {
        bencher.iter(|| runtime.block_on(driver.simple_query(INSERT)).expect("a new row"));
    });
    group.bench_function("adapter simple write", |bencher| {
        bencher.iter(|| run(Batch::Simple(INSERT.to_owned()), None));
    });
    let mut request = 0;
    group.bench_function("adapter idempotent write", |bencher| {
        bencher.iter(|| {
            request += 1;
            run(Batch::Simple(INSERT.to_owned()), Some(request));
        });
    });
    group.finish();
}

criterion_group!(benches, statement);
criterion_main!(benches);
