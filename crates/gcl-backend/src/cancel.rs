//! Cancel requests.

use crate::{client::Options, login::CancelKey};
use bytes::BytesMut;
use postgres_protocol::message::frontend;
use std::{io, net::SocketAddr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Sends a cancel request for a connection; returns once the server has processed it.
///
/// The server closes the stream after it has signalled the connection. Until then, the request may
/// still cancel a later batch of the connection.
///
/// # Errors
/// The request could not be sent, or the server did not close the stream in time.
pub async fn cancel(options: &Options, address: SocketAddr, key: CancelKey) -> io::Result<()> {
    let request = async {
        let mut stream = TcpStream::connect(address).await?;
        let mut output = BytesMut::new();
        frontend::cancel_request(key.process, key.secret, &mut output);
        stream.write_all_buf(&mut output).await?;
        stream.read(&mut [0]).await.map(drop)
    };
    timeout(options.cancel_timeout, request).await?
}
