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

/// Asks a server to cancel what runs on a connection; returns once the server has taken it.
///
/// The server hangs up when it has passed the request on. Until then it may still hit a later batch
/// of the connection.
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
