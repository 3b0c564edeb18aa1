//! A client of the wire protocol.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Client {
    reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

/// The answer to a statement: its rows, and its receipt or error.
#[derive(Debug)]
pub struct Answer {
    pub rows: Vec<String>,
    pub result: Result<String, String>,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    /// Connects and logs in.
    pub fn login(
        address: SocketAddr,
        service: &str,
        key: &str,
        timeout: Duration,
    ) -> io::Result<Self> {
        let mut client = Self::connect(address, timeout)?;
        client.send(&format!("STARTUP {service} {key}"))?;
        let answer = client.receive()?;
        match answer.result {
            Err(error) if !error.is_empty() => Err(io::Error::other(error)),
            _ => Ok(client),
        }
    }

    pub fn send(&mut self, line: &str) -> io::Result<()> {
        self.stream.write_all(format!("{line}\r\n").as_bytes())
    }

    pub fn query(&mut self, id: &str, text: &str) -> io::Result<Answer> {
        self.send(&format!("QUERY {id} {text}"))?;
        self.receive()
    }

    /// Receives the next answer.
    pub fn receive(&mut self) -> io::Result<Answer> {
        let (mut rows, mut result) = (Vec::new(), Err(String::new()));
        loop {
            let mut line = String::new();
            let count = self.reader.read_line(&mut line)?;
            if count == 0 || !line.ends_with('\n') {
                let error = result.err().filter(|error| !error.is_empty());
                return Err(io::Error::other(error.unwrap_or_else(|| "closed".to_owned())));
            }
            let line = line.trim_end();
            match line.split_once(' ').unwrap_or((line, "")) {
                ("DATAROW", row) => rows.push(row.to_owned()),
                ("COMPLETE", receipt) => result = Ok(receipt.to_owned()),
                ("ERROR", error) => result = Err(error.to_owned()),
                ("READY", _) => return Ok(Answer { rows, result }),
                _ => return Err(io::Error::other(format!("unexpected: {line}"))),
            }
        }
    }
}
