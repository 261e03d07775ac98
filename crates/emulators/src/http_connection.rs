//! A persistent HTTP/1.1 client connection, and counters of its traffic.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, header::HOST};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Counters of the bytes and requests of any number of connections.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes read from and written to sockets, including headers.
    pub bytes: AtomicU64,
    /// Requests sent or received.
    pub requests: AtomicU64,
}

impl Traffic {
    /// Counts one request.
    pub fn count_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of requests and of bytes so far.
    pub fn totals(&self) -> (u64, u64) {
        let requests = self.requests.load(Ordering::Relaxed);
        (requests, self.bytes.load(Ordering::Relaxed))
    }
}

/// A stream whose bytes are counted.
pub struct CountingStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl CountingStream {
    /// Adds the bytes of `stream` to `traffic`.
    pub fn new(stream: TcpStream, traffic: Arc<Traffic>) -> Self {
        CountingStream { stream, traffic }
    }

    fn count(&self, bytes: usize) {
        let bytes = bytes as u64;
        self.traffic.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.count(buffer.filled().len() - before);
        result
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = result {
            self.count(written);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A connection that is opened on first use and reopened after an error.
pub struct HttpConnection {
    target: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    traffic: Arc<Traffic>,
}

impl HttpConnection {
    /// A connection to `addr`, not yet open.
    pub fn new(addr: SocketAddr, traffic: Arc<Traffic>) -> Self {
        HttpConnection {
            target: addr,
            sender: None,
            traffic,
        }
    }

    /// Closes the connection; further requests go to `addr`.
    pub fn redirect_to(&mut self, addr: SocketAddr) {
        self.target = addr;
        self.sender = None;
    }

    /// Sends a request and returns status and body of the response. `None`: an error, or no response within `timeout`;
    /// the connection is closed in both cases.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Option<(u16, Bytes)> {
        self.traffic.count_request();
        let exchange = self.exchange(method, path, body);
        let response = tokio::time::timeout(timeout, exchange).await.ok().flatten();
        if response.is_none() {
            self.sender = None;
        }
        response
    }

    async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Option<(u16, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.target.to_string())
            .header("content-type", "application/msgpack")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let sender = self.open().await?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    }

    async fn open(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        let usable = match &mut self.sender {
            Some(sender) => sender.ready().await.is_ok(),
            None => false,
        };
        if !usable {
            let stream = TcpStream::connect(self.target).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let counting_stream = CountingStream::new(stream, self.traffic.clone());
            let (sender, connection) = handshake(TokioIo::new(counting_stream)).await.ok()?;
            tokio::spawn(connection);
            self.sender = Some(sender);
        }
        self.sender.as_mut()
    }
}
