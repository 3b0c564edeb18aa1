use gcl_soak::proxy::Proxy;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// A pair of streams connected through a proxy.
async fn pair() -> (Proxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let target = listener.local_addr().expect("the listener is bound");
    let proxy = Proxy::start(target).await.expect("a port is free");
    let near = TcpStream::connect(proxy.address).await.expect("the proxy listens");
    let (far, _) = listener.accept().await.expect("the proxy connects");
    (proxy, near, far)
}

async fn read(stream: &mut TcpStream) -> u8 {
    stream.read_u8().await.expect("a byte arrives")
}

#[tokio::test]
async fn data_sent_in_a_blocked_direction_arrives_after_the_block() {
    let (proxy, mut near, mut far) = pair().await;
    proxy.disrupt(|it| it.forward_blocked = true);
    near.write_u8(1).await.expect("the byte can be written");
    far.write_u8(2).await.expect("the byte can be written");
    assert_eq!(read(&mut near).await, 2, "the other direction is open");
    let nothing = far.try_read(&mut [0]).expect_err("nothing has arrived");
    assert_eq!(nothing.kind(), std::io::ErrorKind::WouldBlock);
    proxy.disrupt(|it| it.forward_blocked = false);
    assert_eq!(read(&mut far).await, 1);
}

#[tokio::test]
async fn a_reset_closes_open_connections_only() {
    let (proxy, mut near, _far) = pair().await;
    proxy.disrupt(|it| it.resets += 1);
    assert!(!matches!(near.read(&mut [0]).await, Ok(1..)), "the connection was reset");
    let next = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    proxy.retarget(next.local_addr().expect("the listener is bound"));
    let mut near = TcpStream::connect(proxy.address).await.expect("the proxy listens");
    let (mut far, _) = next.accept().await.expect("new connections reach the new target");
    far.write_u8(3).await.expect("the byte can be written");
    assert_eq!(read(&mut near).await, 3);
}
