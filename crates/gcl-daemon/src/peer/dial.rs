//! Outgoing streams to other daemons.

use super::{KEEPALIVE_INTERVAL, KEEPALIVE_TIMEOUT, Keys, SERVER_NAME, WINDOW};
use compact_str::CompactString;
use futures::Stream;
use gcl_core::{
    id,
    peer::{Event, Message},
};
use gcl_wire::generated::{Envelope, peer_client::PeerClient};
use indexmap::IndexMap;
use std::{
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Duration,
};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a stream that failed is opened again.
const REDIAL_DELAY: Duration = Duration::from_millis(200);

/// Sends messages to other daemons, over one stream each.
#[derive(Debug)]
pub struct Handle {
    from: id::Daemon,
    incarnation: id::Incarnation,
    keys: Option<Keys>,
    events: UnboundedSender<Event>,
    streams: IndexMap<id::Daemon, Outgoing>,
}

#[derive(Debug)]
struct Outgoing {
    address: CompactString,
    messages: UnboundedSender<Message>,
}

impl Handle {
    /// Creates a handle; a stream is opened with the first message to a daemon.
    #[must_use]
    pub fn new(
        from: id::Daemon,
        incarnation: id::Incarnation,
        keys: Option<Keys>,
        events: UnboundedSender<Event>,
    ) -> Self {
        Self { from, incarnation, keys, events, streams: IndexMap::new() }
    }

    /// Queues a message to a daemon; opens a new stream if there is none to `address`.
    ///
    /// Without an address the message is reported as lost.
    pub fn send(&mut self, to: id::Daemon, address: CompactString, message: Message) {
        if address.is_empty() {
            let _ = self.events.send(Event::Lost(to));
            return;
        }
        let reusable = self.streams.get(&to).is_some_and(|stream| stream.address == address);
        if !reusable {
            let stream = self.dial(to.clone(), address);
            self.streams.insert(to.clone(), stream);
        }
        if let Some(stream) = self.streams.get(&to) {
            let _ = stream.messages.send(message);
        }
    }

    fn dial(&self, to: id::Daemon, address: CompactString) -> Outgoing {
        let (messages, receiver) = unbounded_channel();
        let task = Task {
            to,
            from: self.from.clone(),
            incarnation: self.incarnation,
            address: address.clone(),
            keys: self.keys.clone(),
            messages: Arc::new(Mutex::new(receiver)),
            events: self.events.clone(),
        };
        tokio::spawn(task.serve());
        Outgoing { address, messages }
    }
}

struct Task {
    to: id::Daemon,
    from: id::Daemon,
    incarnation: id::Incarnation,
    address: CompactString,
    keys: Option<Keys>,
    messages: Arc<Mutex<UnboundedReceiver<Message>>>,
    events: UnboundedSender<Event>,
}

impl Task {
    async fn serve(self) {
        while let Some(first) = self.receive().await {
            if let Err(error) = self.deliver(first).await {
                tracing::debug!(to = %self.to, %error, "stream to another daemon broke");
            }
            self.discard();
            if self.events.send(Event::Lost(self.to.clone())).is_err() {
                return;
            }
            tokio::time::sleep(REDIAL_DELAY).await;
        }
    }

    async fn receive(&self) -> Option<Message> {
        std::future::poll_fn(|context| poll(&self.messages, context)).await
    }

    /// Drops the messages queued for a broken stream; [`Event::Lost`] reports them to the reducer.
    fn discard(&self) {
        let mut messages = self.messages.lock().unwrap_or_else(PoisonError::into_inner);
        while messages.try_recv().is_ok() {}
    }

    async fn deliver(&self, first: Message) -> eyre::Result<()> {
        let channel = self.connect().await?;
        let mut client = PeerClient::new(channel);
        client.deliver(self.envelopes(first)).await?;
        Ok(())
    }

    async fn connect(&self) -> eyre::Result<Channel> {
        let scheme = if self.keys.is_some() { "https" } else { "http" };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{}", self.address))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_TIMEOUT)
            .initial_stream_window_size(WINDOW)
            .initial_connection_window_size(WINDOW);
        if let Some(keys) = &self.keys {
            let tls = ClientTlsConfig::new()
                .domain_name(SERVER_NAME)
                .identity(keys.identity.clone())
                .ca_certificate(keys.authority.clone());
            endpoint = endpoint.tls_config(tls)?;
        }
        Ok(endpoint.connect().await?)
    }

    fn envelopes(&self, first: Message) -> impl Stream<Item = Envelope> + Send + 'static {
        let messages = Arc::clone(&self.messages);
        let (from, incarnation) = (self.from.clone(), self.incarnation);
        let mut first = Some(first);
        futures::stream::poll_fn(move |context| {
            loop {
                let message = match first.take() {
                    Some(message) => message,
                    None => match std::task::ready!(poll(&messages, context)) {
                        Some(message) => message,
                        None => return Poll::Ready(None),
                    },
                };
                match gcl_wire::encode(&from, incarnation, message) {
                    Ok(envelope) => return Poll::Ready(Some(envelope)),
                    Err(error) => tracing::error!(%error, "cannot encode a message"),
                }
            }
        })
    }
}

fn poll(
    messages: &Mutex<UnboundedReceiver<Message>>,
    context: &mut Context<'_>,
) -> Poll<Option<Message>> {
    messages.lock().unwrap_or_else(PoisonError::into_inner).poll_recv(context)
}
