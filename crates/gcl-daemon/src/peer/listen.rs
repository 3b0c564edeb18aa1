//! Incoming streams from other daemons.

use super::{ENVELOPE_OVERHEAD, KEEPALIVE_INTERVAL, KEEPALIVE_TIMEOUT, Keys, WINDOW};
use gcl_core::peer::Event;
use gcl_wire::generated::{
    Envelope, Receipt,
    peer_server::{Peer, PeerServer},
};
use std::net::SocketAddr;
use tokio::{net::TcpListener, sync::mpsc::UnboundedSender};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{
    Request, Response, Status, Streaming,
    transport::{Server, ServerTlsConfig},
};

/// Options for opening the peer port.
#[derive(Debug)]
pub struct Options {
    /// Where to listen.
    pub address: SocketAddr,
    /// Keys for mutual TLS; without them the port serves plain HTTP/2.
    pub keys: Option<Keys>,
    /// Largest answer accepted in a message, in bytes.
    pub answer_bytes: usize,
    /// Channel for received messages to the reducer.
    pub events: UnboundedSender<Event>,
}

struct Service {
    events: UnboundedSender<Event>,
}

#[tonic::async_trait]
impl Peer for Service {
    async fn deliver(
        &self,
        request: Request<Streaming<Envelope>>,
    ) -> Result<Response<Receipt>, Status> {
        let mut envelopes = request.into_inner();
        while let Some(envelope) = envelopes.message().await? {
            let (from, incarnation, message) = gcl_wire::decode(envelope)
                .map_err(|error| Status::invalid_argument(error.to_string()))?;
            let event = Event::Received { from, incarnation, message };
            if self.events.send(event).is_err() {
                return Err(Status::unavailable("the daemon has stopped"));
            }
        }
        Ok(Response::new(Receipt {}))
    }
}

/// Opens the peer port and returns its address.
///
/// # Errors
/// The port cannot be bound, or the keys are invalid.
pub async fn start(options: Options) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind(options.address).await?;
    let address = listener.local_addr()?;
    let service = PeerServer::new(Service { events: options.events })
        .max_decoding_message_size(options.answer_bytes + ENVELOPE_OVERHEAD);
    let mut server = Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .initial_stream_window_size(WINDOW)
        .initial_connection_window_size(WINDOW);
    if let Some(keys) = options.keys {
        let tls = ServerTlsConfig::new().identity(keys.identity).client_ca_root(keys.authority);
        server = server.tls_config(tls)?;
    }
    let incoming = TcpListenerStream::new(listener);
    tokio::spawn(async move {
        if let Err(error) = server.add_service(service).serve_with_incoming(incoming).await {
            tracing::error!(%error, "the peer port failed");
        }
    });
    Ok(address)
}
