use gcl_soak::proxy::Proxy;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// A pair of streams with a proxy between them.
async fn pair() -> (Proxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("it is bound");
    let proxy = Proxy::start(target).await.expect("a free port");
    let near = TcpStream::connect(proxy.address).await.expect("the proxy listens");
    let (far, _) = listener.accept().await.expect("the proxy connects");
    (proxy, near, far)
}

async fn read(stream: &mut TcpStream) -> u8 {
    stream.read_u8().await.expect("a byte comes")
}

#[tokio::test]
async fn one_way_is_cut_and_what_was_sent_comes_after_that() {
    let (proxy, mut near, mut far) = pair().await;
    proxy.disturb(|it| it.forward_cut = true);
    near.write_u8(1).await.expect("it can be written");
    far.write_u8(2).await.expect("it can be written");
    assert_eq!(read(&mut near).await, 2, "the other way is open");
    let nothing = far.try_read(&mut [0]).expect_err("nothing has come");
    assert_eq!(nothing.kind(), std::io::ErrorKind::WouldBlock);
    proxy.disturb(|it| it.forward_cut = false);
    assert_eq!(read(&mut far).await, 1);
}

#[tokio::test]
async fn a_reset_ends_open_connections_only() {
    let (proxy, mut near, _far) = pair().await;
    proxy.disturb(|it| it.resets += 1);
    assert!(!matches!(near.read(&mut [0]).await, Ok(1..)), "it has ended");
    let next = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    proxy.retarget(next.local_addr().expect("it is bound"));
    let mut near = TcpStream::connect(proxy.address).await.expect("the proxy listens");
    let (mut far, _) = next.accept().await.expect("new connections go elsewhere");
    far.write_u8(3).await.expect("it can be written");
    assert_eq!(read(&mut near).await, 3);
}
