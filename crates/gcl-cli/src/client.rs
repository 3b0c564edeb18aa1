//! HTTP client for a daemon's operator port.

use crate::{
    arguments::Arguments,
    exit::{Failure, Result},
};
use gcl_core::code::Code;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{fs, time::Duration};

/// Timeout of a request; longer than the daemon's own timeouts, so that the daemon answers first.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(40);
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// A client of a daemon's operator port.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    token: Option<String>,
    http: reqwest::Client,
}

impl Client {
    /// Creates a client of the daemon that the command line names.
    ///
    /// # Errors
    /// The token file cannot be read, or the HTTP client cannot be built.
    pub fn new(arguments: &Arguments) -> Result<Self> {
        let read = |file: &String| {
            let text = fs::read_to_string(file);
            let text = text.map_err(|error| Failure::Usage(format!("{file}: {error}")))?;
            Ok(text.trim().to_owned())
        };
        let http =
            reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).timeout(REQUEST_TIMEOUT);
        let http = http.no_proxy().build();
        Ok(Self {
            base: arguments.server.trim_end_matches('/').to_owned(),
            token: arguments.token_file.as_ref().map(read).transpose()?,
            http: http.map_err(|error| unreachable(&error))?,
        })
    }

    /// Requests a document.
    ///
    /// # Errors
    /// The address is invalid, the daemon cannot be reached, or it refused the request.
    pub async fn get<T: DeserializeOwned>(&self, path: &str, query: &[(&str, &str)]) -> Result<T> {
        let url = self.url(path, query)?;
        self.send(self.http.get(url)).await
    }

    /// Posts a document and returns the answer.
    ///
    /// # Errors
    /// As for [`Self::get`].
    pub async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T> {
        let url = self.url(path, &[])?;
        self.send(self.http.post(url).json(body)).await
    }

    fn url(&self, path: &str, query: &[(&str, &str)]) -> Result<reqwest::Url> {
        let text = format!("{}/v1/{path}", self.base);
        let mut url: reqwest::Url =
            text.parse().map_err(|error| Failure::Usage(format!("{text}: {error}")))?;
        for (name, value) in query.iter().filter(|(_, value)| !value.is_empty()) {
            url.query_pairs_mut().append_pair(name, value);
        }
        Ok(url)
    }

    async fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let request = match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        };
        let response = request.send().await.map_err(|error| unreachable(&error))?;
        read(response).await
    }
}

async fn read<T: DeserializeOwned>(response: Response) -> Result<T> {
    let status = response.status();
    let text = response.text().await.map_err(|error| unreachable(&error))?;
    if status.is_success() {
        let body = serde_json::from_str(&text);
        return body.map_err(|error| Failure::Unreachable(format!("invalid answer: {error}")));
    }
    let refusal = serde_json::from_str::<Refusal>(&text);
    Err(refusal.map_or_else(|_malformed| unexpected_answer(status, &text), Refusal::failure))
}

/// The body of an answer that refuses a request.
#[derive(Debug, Deserialize)]
struct Refusal {
    code: u16,
    text: String,
    detail: String,
    retry_after_ms: Option<u64>,
}

impl Refusal {
    fn failure(self) -> Failure {
        let Self { code, text, detail, retry_after_ms } = self;
        let retry = retry_after_ms.map(|ms| format!(" (retry after {ms} ms)"));
        let text = format!("G{code} {text}: {detail}{}", retry.unwrap_or_default());
        if code == Code::ChangeUnknown.number() { Failure::Unknown } else { Failure::Refused(text) }
    }
}

fn unexpected_answer(status: StatusCode, text: &str) -> Failure {
    Failure::Unreachable(format!("{status}: {}", text.lines().next().unwrap_or_default()))
}

fn unreachable(error: &reqwest::Error) -> Failure {
    Failure::Unreachable(error.to_string())
}
