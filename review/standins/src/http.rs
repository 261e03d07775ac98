//! HTTP/1.1 with MessagePack bodies: a server for the stand-ins and a client for workers and users.

use std::{convert::Infallible, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// An answer: status and body. `None`: the request is never answered.
pub type Answer = Option<(u16, Value)>;

pub fn encode(value: &Value) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("plain data")
}

pub fn decode(body: &[u8]) -> Option<Value> {
    rmp_serde::from_slice(body).ok()
}

/// A request to a stand-in.
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Bytes,
}

impl Call {
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Listens on any free port of 127.0.0.1.
pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("non-blocking");
    let addr = listener.local_addr().expect("an address");
    (TcpListener::from_std(listener).expect("a listener"), addr)
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let high = rest.next().unwrap_or(b'0') as char;
            let low = rest.next().unwrap_or(b'0') as char;
            let digit = |c: char| c.to_digit(16).unwrap_or(0) as u8;
            bytes.push(digit(high) * 16 + digit(low));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Serves requests until the runtime ends.
pub fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Call) -> R + 'static,
    R: Future<Output = Answer> + 'static,
{
    let handler = Rc::new(handler);
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let handler = handler.clone();
                async move { respond(request, &*handler).await }
            });
            tokio::task::spawn_local(async move {
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
}

async fn respond<F, R>(
    request: Request<Incoming>,
    handler: &F,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    F: Fn(Call) -> R,
    R: Future<Output = Answer>,
{
    let method = request.method().as_str().to_owned();
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or("").split('&');
    let query = query
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), unescape(value)))
        .collect();
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    };
    let incoming = Call {
        method,
        path,
        query,
        body,
    };
    let Some((status, body)) = handler(incoming).await else {
        std::future::pending::<()>().await;
        unreachable!()
    };
    let mut response = Response::new(Full::new(Bytes::from(encode(&body))));
    *response.status_mut() = hyper::StatusCode::from_u16(status).expect("a status");
    Ok(response)
}

/// A client's connection, opened when it is needed.
pub struct Client {
    addr: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        Client { addr, stream: None }
    }

    pub fn go_to(&mut self, addr: SocketAddr) {
        self.addr = addr;
        self.stream = None;
    }

    /// Sends a request; `None`: no answer within `timeout`, or the connection failed.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> Answer {
        let bytes = body.map(encode).unwrap_or_default();
        let result = tokio::time::timeout(timeout, self.exchange(method, path, &bytes)).await;
        match result {
            Ok(Ok((status, body, close))) => {
                if close {
                    self.stream = None;
                }
                Some((status, decode(&body).unwrap_or(Value::Null)))
            }
            _ => {
                self.stream = None;
                None
            }
        }
    }

    async fn exchange(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> std::io::Result<(u16, Vec<u8>, bool)> {
        if let Some(stream) = &self.stream {
            // The node may have closed the connection while it was not in use.
            let mut probe = [0; 1];
            if !matches!(stream.try_read(&mut probe), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
            {
                self.stream = None;
            }
        }
        if self.stream.is_none() {
            let stream = TcpStream::connect(self.addr).await?;
            stream.set_nodelay(true)?;
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut().expect("a connection");
        let mut request = format!(
            "{method} {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n\r\n",
            self.addr,
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(body);
        let sent = stream.write_all(&request).await;
        // A node that refuses a body may answer and close before it has read all of it.
        let answer = read_answer(stream).await;
        if answer.is_err() {
            sent?;
        }
        answer
    }
}

async fn read_answer(stream: &mut TcpStream) -> std::io::Result<(u16, Vec<u8>, bool)> {
    let mut data = Vec::new();
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = data.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&data[..end]).to_ascii_lowercase();
            let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
            let header = |name: &str| {
                head.lines()
                    .find_map(|line| line.strip_prefix(name).map(|value| value.trim().to_owned()))
            };
            let length: usize = header("content-length:")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let close = header("connection:").is_some_and(|value| value.contains("close"));
            while data.len() < end + 4 + length {
                let read = stream.read(&mut chunk).await?;
                if read == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
                data.extend_from_slice(&chunk[..read]);
            }
            let body = data[end + 4..end + 4 + length].to_vec();
            return Ok((status.unwrap_or(0), body, close));
        }
        let read = stream.read(&mut chunk).await?;
        if read == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        data.extend_from_slice(&chunk[..read]);
    }
}
