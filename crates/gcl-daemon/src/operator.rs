//! The operator port: HTTP for operators, health checks and metrics.

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, http::StatusCode, http::header, web};
use compact_str::CompactString;
use gcl_core::{
    code::{Code, Fault},
    id, key,
    operator::{Method, Request, Response},
};
use indexmap::IndexMap;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::{mpsc::UnboundedSender, oneshot};

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time limit for answering an operator's request.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Sends the reducer's responses and the readiness to the operator port.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    ready: AtomicBool,
    next_operation: AtomicU64,
    pending: Mutex<IndexMap<id::Operation, oneshot::Sender<Response>>>,
    events: UnboundedSender<(id::Operation, Request)>,
    metrics: Option<PrometheusHandle>,
}

impl Handle {
    /// Sends the response to an operator's request.
    pub fn answer(&self, operation: id::Operation, response: Response) {
        let mut pending = self.shared.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = pending.swap_remove(&operation) {
            // Fails if the operator has disconnected.
            let _ = sender.send(response);
        }
    }

    /// Sets the answer of the readiness check; returns whether it changed.
    #[must_use]
    pub fn set_ready(&self, ready: bool) -> bool {
        self.shared.ready.swap(ready, Ordering::Relaxed) != ready
    }
}

/// Options for opening the operator port.
#[derive(Debug)]
pub struct Options {
    /// Where to listen.
    pub address: SocketAddr,
    /// TLS configuration, if the settings name a certificate.
    pub tls: Option<rustls::ServerConfig>,
    /// Renders the metrics.
    pub metrics: Option<PrometheusHandle>,
    /// Channel for requests to the reducer.
    pub events: UnboundedSender<(id::Operation, Request)>,
}

/// Opens the port and returns its address; must be called within an actix system.
///
/// # Errors
/// The port cannot be bound.
pub fn start(options: Options) -> eyre::Result<(Handle, SocketAddr)> {
    let shared = Arc::new(Shared {
        ready: AtomicBool::new(false),
        next_operation: AtomicU64::new(1),
        pending: Mutex::default(),
        events: options.events,
        metrics: options.metrics,
    });
    let handle = Handle { shared: Arc::clone(&shared) };
    let data = web::Data::from(shared);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/live", web::get().to(live))
            .route("/ready", web::get().to(ready))
            .route("/metrics", web::get().to(metrics))
            .route("/v1/{path:.*}", web::get().to(handle_request))
            .route("/v1/{path:.*}", web::post().to(handle_request))
    });
    let server = server.workers(1).disable_signals();
    let server = match options.tls {
        Some(tls) => server.bind_rustls_0_23(options.address, tls)?,
        None => server.bind(options.address)?,
    };
    let address = server.addrs().first().copied().unwrap_or(options.address);
    actix_rt::spawn(server.run());
    Ok((handle, address))
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(shared: web::Data<Shared>) -> HttpResponse {
    if shared.ready.load(Ordering::Relaxed) {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn metrics(shared: web::Data<Shared>) -> HttpResponse {
    let text = shared.metrics.as_ref().map(PrometheusHandle::render).unwrap_or_default();
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text)
}

async fn handle_request(
    shared: web::Data<Shared>,
    path: web::Path<String>,
    http: HttpRequest,
    body: String,
) -> HttpResponse {
    let request = Request {
        method: if http.method() == actix_web::http::Method::POST {
            Method::Post
        } else {
            Method::Get
        },
        path: path.into_inner().into(),
        query: query(&http),
        token: token(&http),
        body,
    };
    let operation = shared.next_operation.fetch_add(1, Ordering::Relaxed);
    let (sender, answer) = oneshot::channel();
    shared.pending.lock().unwrap_or_else(PoisonError::into_inner).insert(operation, sender);
    let stopped = || Response::Error(Fault::new(Code::Draining, "the daemon has stopped"));
    if shared.events.send((operation, request)).is_err() {
        return respond(&stopped());
    }
    match tokio::time::timeout(TIMEOUT, answer).await {
        Ok(answer) => respond(&answer.unwrap_or_else(|_closed| stopped())),
        Err(_elapsed) => {
            shared.pending.lock().unwrap_or_else(PoisonError::into_inner).swap_remove(&operation);
            respond(&Response::Error(Fault::new(Code::ChangeUnknown, "no answer in time")))
        }
    }
}

fn query(http: &HttpRequest) -> Vec<(CompactString, CompactString)> {
    web::Query::<Vec<(CompactString, CompactString)>>::from_query(http.query_string())
        .map(web::Query::into_inner)
        .unwrap_or_default()
}

/// The SHA-256 of the bearer token; the token itself is not passed on.
fn token(http: &HttpRequest) -> CompactString {
    let value = http.headers().get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let bearer = value.and_then(|value| value.strip_prefix("Bearer "));
    bearer.map(|token| key::hash(token.trim()).into()).unwrap_or_default()
}

/// JSON body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    code: u16,
    text: &'a str,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

fn respond(response: &Response) -> HttpResponse {
    match response {
        Response::Json(json) => {
            HttpResponse::Ok().content_type("application/json").body(json.clone())
        }
        Response::Error(fault) => HttpResponse::build(status(fault.code)).json(ErrorBody {
            code: fault.code.number(),
            text: fault.code.text().trim(),
            detail: &fault.detail,
            retry_after_ms: fault.retry_after.map(|after| after.as_millis()),
        }),
    }
}

const fn status(code: Code) -> StatusCode {
    match code {
        Code::Forbidden => StatusCode::FORBIDDEN,
        Code::NotFound => StatusCode::NOT_FOUND,
        Code::Conflict => StatusCode::CONFLICT,
        Code::ChangeUnknown => StatusCode::GATEWAY_TIMEOUT,
        Code::StoreUnavailable | Code::Draining => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_REQUEST,
    }
}
