//! A stand-in server with a client of the adapter.

use compact_str::CompactString;
use gcl_backend::client::{Client, Options};
use gcl_core::{
    batch::{Batch, Frame, Prepared, Status, Step, Target},
    id,
    mark::Mark,
    server::{Ask, Call, Completion, Event, Failure, Report},
};
use gcl_standin::database::{self, Server};
use std::{net::SocketAddr, time::Duration};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Longest wait for an event; only a failing test reaches it.
const PATIENCE: Duration = Duration::from_secs(10);
/// Longest time for an answer to a question.
const ASK: Duration = Duration::from_secs(5);

/// What a question ended with.
pub type Answer = std::result::Result<Report, Failure>;

/// A server and a client to it.
pub struct Bench {
    server: Option<Server>,
    pub client: Client,
    pub address: SocketAddr,
    events: UnboundedReceiver<(id::Server, Event)>,
    counter: u64,
}

impl Bench {
    /// A server that is primary at term one.
    pub async fn start() -> Self {
        Self::with(database::Options::default(), Options::default()).await
    }

    /// A server with options, primary at term one.
    pub async fn with(server: database::Options, client: Options) -> Self {
        let server = Server::start(server).await.expect("a port is free");
        let mut bench = Self::to(server, client);
        bench.ask(Ask::Fence(1)).await.expect("a higher term");
        bench.ask(Ask::Promote(1)).await.expect("a fenced term");
        bench
    }

    /// A client to a server as it is.
    pub fn to(server: Server, client: Options) -> Self {
        let bench = Self::at_with(server.address(), client);
        Self { server: Some(server), ..bench }
    }

    /// A client to whatever listens at an address.
    pub fn at(address: SocketAddr) -> Self {
        let options = Options { open_timeout: Duration::from_millis(500), ..Options::default() };
        Self::at_with(address, options)
    }

    /// A client with options to whatever listens at an address.
    pub fn at_with(address: SocketAddr, options: Options) -> Self {
        let (sender, events) = unbounded_channel();
        let client = Client::new(options, sender);
        Self { server: None, client, address, events, counter: 0 }
    }

    /// The stand-in.
    pub fn server(&self) -> &Server {
        self.server.as_ref().expect("the bench has a stand-in")
    }

    /// The next event.
    pub async fn event(&mut self) -> Event {
        let event = tokio::time::timeout(PATIENCE, self.events.recv()).await;
        event.expect("an event comes in time").expect("the client lives").1
    }

    /// An event that has come already.
    pub fn try_event(&mut self) -> Option<Event> {
        self.events.try_recv().ok().map(|event| event.1)
    }

    /// Calls the server.
    pub fn call(&self, call: Call) {
        self.client.call("s".into(), call);
    }

    /// Asks a question without waiting.
    pub fn question(&mut self, ask: Ask, timeout: Duration) -> id::Question {
        self.counter += 1;
        let question = self.counter;
        self.call(Call::Ask { question, address: self.address, ask, timeout });
        question
    }

    /// Asks a question.
    pub async fn ask(&mut self, ask: Ask) -> Answer {
        let asked = self.question(ask, ASK);
        match self.event().await {
            Event::Answered { question, result } if question == asked => result,
            event => panic!("not an answer: {event:?}"),
        }
    }

    /// Opens a data connection.
    pub async fn open(&mut self) -> id::Connection {
        self.counter += 1;
        let connection = self.counter;
        self.call(Call::Open { connection, address: self.address });
        assert_eq!(self.event().await, Event::Opened(connection));
        connection
    }

    /// Starts a batch.
    pub fn start_run(&mut self, connection: id::Connection, run: Run) -> id::Request {
        self.counter += 1;
        let request = u128::from(self.counter);
        self.call(Call::Run {
            connection,
            request,
            term: run.term,
            read_only: run.read_only,
            variables: run.variables,
            idempotency: run.idempotency,
            batch: run.batch,
        });
        request
    }

    /// The end of a batch.
    pub async fn ended(&mut self, started: id::Request) -> Completion {
        match self.event().await {
            Event::Ended { request, ended, .. } if request == started => ended,
            event => panic!("not the end of the batch: {event:?}"),
        }
    }

    /// Runs a batch.
    pub async fn run(&mut self, connection: id::Connection, run: Run) -> Completion {
        let request = self.start_run(connection, run);
        self.ended(request).await
    }

    /// Runs a simple query and returns its answer.
    pub async fn sql(&mut self, connection: id::Connection, sql: &str) -> Answered {
        let ended = self.run(connection, simple(sql)).await;
        answered(ended)
    }
}

/// A batch with what goes with it.
pub struct Run {
    pub term: Option<id::Term>,
    pub read_only: bool,
    pub variables: Vec<(CompactString, CompactString)>,
    pub idempotency: Option<id::Idempotency>,
    pub batch: Batch,
}

/// A simple query.
pub fn simple(sql: &str) -> Run {
    batch(Batch::Simple(sql.to_owned()))
}

/// A batch alone.
pub fn batch(batch: Batch) -> Run {
    Run { term: None, read_only: false, variables: Vec::new(), idempotency: None, batch }
}

/// A statement of the extended protocol with text parameters, as a driver runs it in one go.
pub fn extended(sql: &str, parameters: &[&str]) -> Run {
    let prepared = Prepared { sql: sql.to_owned(), types: Vec::new() };
    let steps = vec![
        Step::Parse(0),
        bind(0, parameters),
        Step::Describe(Target::Portal("".into())),
        Step::Execute { portal: "".into(), max_rows: 0 },
    ];
    batch(Batch::Extended { statements: vec![prepared], steps })
}

/// Binds text parameters to the unnamed portal.
pub fn bind(statement: usize, parameters: &[&str]) -> Step {
    let parameters = parameters.iter().map(|text| Some(text.as_bytes().to_vec().into()));
    Step::Bind {
        portal: "".into(),
        statement,
        formats: Vec::new(),
        parameters: parameters.collect(),
        results: Vec::new(),
    }
}

/// An answer up to `ReadyForQuery`.
#[derive(Debug, PartialEq, Eq)]
pub struct Answered {
    /// The type bytes of the messages.
    pub kinds: String,
    /// The frames.
    pub frames: Vec<Frame>,
    pub status: Status,
    pub mark: Option<Mark>,
    pub error: Option<CompactString>,
}

impl Answered {
    /// The text of the only column of each row.
    pub fn column(&self) -> Vec<String> {
        let rows = self.frames.iter().filter(|frame| frame.tag == b'D');
        rows.map(|frame| String::from_utf8_lossy(&frame.body[6..]).into_owned()).collect()
    }

    /// The command tags.
    pub fn tags(&self) -> Vec<String> {
        let tags = self.frames.iter().filter(|frame| frame.tag == b'C');
        let text =
            |frame: &Frame| String::from_utf8_lossy(&frame.body).trim_end_matches('\0').into();
        tags.map(text).collect()
    }
}

/// The answer that a batch ended with.
pub fn answered(ended: Completion) -> Answered {
    match ended {
        Completion::Answered { frames, status, mark, error } => {
            let kinds = frames.iter().map(|frame| char::from(frame.tag)).collect();
            Answered { kinds, frames, status, mark, error }
        }
        ended => panic!("no answer: {ended:?}"),
    }
}
