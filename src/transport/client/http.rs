//! A pool of HTTP connections, and the requests and responses sent over it.

use std::{cell::RefCell, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, header::CONNECTION};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::de::DeserializeOwned;

use crate::protocol;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An HTTP request.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body, encoded as MessagePack; may be empty.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// A GET request without a body.
    pub fn get(path: impl Into<String>) -> Self {
        HttpRequest {
            method: Method::GET,
            path: path.into(),
            body: Vec::new(),
        }
    }

    /// A POST request with a body encoded as MessagePack.
    pub fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        HttpRequest {
            method: Method::POST,
            path: path.into(),
            body,
        }
    }

    /// A DELETE request without a body.
    pub fn delete(path: impl Into<String>) -> Self {
        HttpRequest {
            method: Method::DELETE,
            path: path.into(),
            body: Vec::new(),
        }
    }
}

/// An HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Decodes the body as a message; `None` if it is malformed.
    pub(super) fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        protocol::decode(&self.body).ok()
    }
}

/// An HTTP client with one pool of connections. If all of them lead to a single host, a request that
/// times out discards the pool: in a network partition, the idle connections are as dead as the one
/// that was used.
pub struct HttpClient {
    client: RefCell<Client<HttpConnector, Full<Bytes>>>,
    idle_per_host: usize,
    idle_timeout: Duration,
    single_host: bool,
}

impl HttpClient {
    /// A client that keeps up to `idle_per_host` unused connections to each host for `idle_timeout`.
    ///
    /// `single_host`: all requests go to one host, so a timeout on one connection discards all of
    /// them.
    pub fn new(idle_per_host: usize, idle_timeout: Duration, single_host: bool) -> Self {
        HttpClient {
            client: RefCell::new(Self::build_client(idle_per_host, idle_timeout)),
            idle_per_host,
            idle_timeout,
            single_host,
        }
    }

    fn build_client(
        idle_per_host: usize,
        idle_timeout: Duration,
    ) -> Client<HttpConnector, Full<Bytes>> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(idle_per_host)
            .build(connector)
    }

    /// Sends a request to `addr` and reads the whole response.
    ///
    /// Returns `None` if there is no response within `timeout` or the connection fails; the request
    /// may have been executed. `keep_alive`: whether the connection may be reused. Dropping the
    /// future closes the connection.
    pub async fn call(
        &self,
        addr: &str,
        request: HttpRequest,
        keep_alive: bool,
        timeout: Duration,
    ) -> Option<HttpResponse> {
        let request = build_request(addr, request, keep_alive)?;
        let client = self.client.borrow().clone();
        let exchange = async {
            let response = client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some(HttpResponse { status, body })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(response) => response,
            Err(_) => {
                self.discard_connections();
                None
            }
        }
    }

    /// If all connections lead to the host that did not respond, replaces the pool by an empty one.
    fn discard_connections(&self) {
        if self.single_host {
            *self.client.borrow_mut() = Self::build_client(self.idle_per_host, self.idle_timeout);
        }
    }
}

fn build_request(
    addr: &str,
    request: HttpRequest,
    keep_alive: bool,
) -> Option<Request<Full<Bytes>>> {
    let HttpRequest { method, path, body } = request;
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header("content-type", "application/msgpack")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    if !keep_alive {
        let close = HeaderValue::from_static("close");
        request.headers_mut().insert(CONNECTION, close);
    }
    Some(request)
}

/// Percent-encodes the bytes that are not allowed in a query value.
pub(super) fn percent_encode(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'/' => {
                escaped.push(byte as char)
            }
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}
