//! A client of a daemon.

use crate::record::Record;
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A session.
pub struct Session {
    name: String,
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    record: Record,
    last: u64,
}

/// The answer to a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The receipt, and the rows.
    Complete(String, Vec<String>),
    /// An error code with its text.
    Error(String),
    /// The connection ended without an answer.
    Closed,
}

impl Answer {
    /// Whether a server's receipt came.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Complete(..))
    }
}

impl Session {
    /// Logs in; `None` if that is refused.
    pub fn open(
        name: &str,
        address: SocketAddr,
        host: &str,
        key: &str,
        record: &Record,
    ) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
        let writer = stream.try_clone().ok()?;
        let mut session = Self {
            name: name.into(),
            reader: BufReader::new(stream),
            writer,
            record: record.clone(),
            last: 0,
        };
        record.line(&format!("{name} sends STARTUP {host} {key}"));
        session.writer.write_all(format!("STARTUP {host} {key}\r\n").as_bytes()).ok()?;
        let line = session.line()?;
        record.line(&format!("{name} gets {line}"));
        line.starts_with("READY").then_some(session)
    }

    /// Changes the prefix of the ids that it gives to statements.
    pub fn rename(&mut self, name: &str) {
        self.name = name.into();
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let size = self.reader.read_line(&mut line).ok()?;
        (size > 0).then(|| line.trim_end().to_owned())
    }

    /// Sends a statement and waits for its answer; returns its id as well.
    pub fn query(&mut self, text: &str) -> (String, Answer) {
        self.last += 1;
        let id = format!("{}-{}", self.name, self.last);
        self.record.line(&format!("{} sends {id} {text}", self.name));
        let answer = self.exchange(&id, text);
        self.record.line(&format!("{} gets {id} {answer:?}", self.name));
        (id, answer)
    }

    fn exchange(&mut self, id: &str, text: &str) -> Answer {
        if self.writer.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).is_err() {
            return Answer::Closed;
        }
        let (mut rows, mut result) = (Vec::new(), Answer::Closed);
        while let Some(line) = self.line() {
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "DATAROW" => rows.push(rest.to_owned()),
                "COMPLETE" => result = Answer::Complete(rest.to_owned(), std::mem::take(&mut rows)),
                "ERROR" => result = Answer::Error(rest.to_owned()),
                "READY" => return result,
                _ => return Answer::Closed,
            }
        }
        match result {
            Answer::Error(text) => Answer::Error(text),
            _ => Answer::Closed,
        }
    }
}
