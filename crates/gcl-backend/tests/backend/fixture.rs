//! Fixture: a client of the adapter, connected to a stand-in server.

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

/// Timeout while waiting for an event; reached only by a failing test.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a control question.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of a control question.
pub type Answer = std::result::Result<Report, Failure>;

/// A server and a client that is connected to it.
pub struct Fixture {
    server: Option<Server>,
    pub client: Client,
    pub address: SocketAddr,
    events: UnboundedReceiver<(id::Server, Event)>,
    counter: u64,
}

impl Fixture {
    /// Starts a server that is primary at term one.
    pub async fn start() -> Self {
        Self::with_options(database::Options::default(), Options::default()).await
    }

    /// Starts a server with the given options that is primary at term one.
    pub async fn with_options(server: database::Options, client: Options) -> Self {
        let server = Server::start(server).await.expect("a port is free");
        let mut fixture = Self::for_server(server, client);
        fixture.ask(Ask::Fence(1)).await.expect("a higher term");
        fixture.ask(Ask::Promote(1)).await.expect("a fenced term");
        fixture
    }

    /// Creates a client of a server, whose role stays as it is.
    pub fn for_server(server: Server, client: Options) -> Self {
        let fixture = Self::for_address_with(server.address(), client);
        Self { server: Some(server), ..fixture }
    }

    /// Creates a client of any server that listens at an address.
    pub fn for_address(address: SocketAddr) -> Self {
        let options = Options { open_timeout: Duration::from_millis(500), ..Options::default() };
        Self::for_address_with(address, options)
    }

    /// Creates a client with the given options of any server that listens at an address.
    pub fn for_address_with(address: SocketAddr, options: Options) -> Self {
        let (sender, events) = unbounded_channel();
        let client = Client::new(options, sender);
        Self { server: None, client, address, events, counter: 0 }
    }

    /// The stand-in server.
    pub fn server(&self) -> &Server {
        self.server.as_ref().expect("the fixture has a stand-in server")
    }

    /// Waits for the next event.
    pub async fn event(&mut self) -> Event {
        let event = tokio::time::timeout(EVENT_TIMEOUT, self.events.recv()).await;
        event.expect("an event arrives in time").expect("the client is running").1
    }

    /// Returns an event if one is available.
    pub fn try_event(&mut self) -> Option<Event> {
        self.events.try_recv().ok().map(|event| event.1)
    }

    /// Makes a call to the server.
    pub fn call(&self, call: Call) {
        self.client.call("s".into(), call);
    }

    /// Sends a control question without waiting for the answer.
    pub fn start_question(&mut self, ask: Ask, timeout: Duration) -> id::Question {
        self.counter += 1;
        let question = self.counter;
        self.call(Call::Ask { question, address: self.address, ask, timeout });
        question
    }

    /// Sends a control question and waits for the answer.
    pub async fn ask(&mut self, ask: Ask) -> Answer {
        let asked = self.start_question(ask, QUESTION_TIMEOUT);
        match self.event().await {
            Event::Answered { question, result } if question == asked => result,
            event => panic!("expected an answer: {event:?}"),
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

    /// Waits until a batch ends.
    pub async fn ended(&mut self, started: id::Request) -> Completion {
        match self.event().await {
            Event::Ended { request, ended, .. } if request == started => ended,
            event => panic!("expected the end of the batch: {event:?}"),
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

/// A batch and the parameters of its run.
pub struct Run {
    pub term: Option<id::Term>,
    pub read_only: bool,
    pub variables: Vec<(CompactString, CompactString)>,
    pub idempotency: Option<id::Idempotency>,
    pub batch: Batch,
}

/// A run of a simple query.
pub fn simple(sql: &str) -> Run {
    batch(Batch::Simple(sql.to_owned()))
}

/// A run of a batch with default parameters.
pub fn batch(batch: Batch) -> Run {
    Run { term: None, read_only: false, variables: Vec::new(), idempotency: None, batch }
}

/// A run of a statement over the extended protocol with text parameters, as drivers send it.
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
    /// The type bytes of the messages, in order.
    pub kinds: String,
    /// The frames.
    pub frames: Vec<Frame>,
    pub status: Status,
    pub mark: Option<Mark>,
    pub error: Option<CompactString>,
}

impl Answered {
    /// The text of the first column of each row.
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

/// Returns the answer of a completed batch.
pub fn answered(ended: Completion) -> Answered {
    match ended {
        Completion::Answered { frames, status, mark, error } => {
            let kinds = frames.iter().map(|frame| char::from(frame.tag)).collect();
            Answered { kinds, frames, status, mark, error }
        }
        ended => panic!("expected an answer: {ended:?}"),
    }
}
