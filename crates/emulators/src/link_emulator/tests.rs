use super::*;
use crate::responses::bind_any_port;

async fn echo() -> SocketAddr {
    let (listener, addr) = bind_any_port();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    addr
}

#[tokio::test]
async fn link_delays_bytes_and_drops_all_while_partitioned() {
    const DELAY: Duration = Duration::from_millis(40);
    let (listener, addr) = bind_any_port();
    let link = EmulatedLink::start(listener, echo().await, DELAY);
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let sent_at = Instant::now();
    stream.write_all(b"hello").await.unwrap();
    let mut received = [0; 5];
    stream.read_exact(&mut received).await.unwrap();
    assert_eq!(&received, b"hello");
    assert!(sent_at.elapsed() >= 2 * DELAY, "{:?}", sent_at.elapsed());
    assert_eq!(link.connections_and_bytes(), (1, 10));
    link.set_partitioned(true);
    assert_eq!(
        stream.read(&mut received).await.unwrap_or(0),
        0,
        "connection closed"
    );
    let mut refused = TcpStream::connect(addr).await.unwrap();
    let _ = refused.write_all(b"hello").await;
    assert_eq!(
        refused.read(&mut received).await.unwrap_or(0),
        0,
        "connection closed"
    );
    link.set_partitioned(false);
    let mut restored = TcpStream::connect(addr).await.unwrap();
    restored.write_all(b"again").await.unwrap();
    restored.read_exact(&mut received).await.unwrap();
    assert_eq!(&received, b"again");
}
