//! A small HTTP/1.1 server and client over TCP, with bodies of a known length.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::value::V;

/// A request, its body decoded.
pub struct Request {
    pub method: String,
    /// The path without its query.
    pub path: String,
    query: Vec<(String, String)>,
    pub body: V,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.iter();
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| &value[..])
    }
}

/// What a server answers: a status and a body, or nothing.
pub enum Answer {
    Reply(u16, V),
    /// The connection stays open and is never answered.
    Never,
}

/// Serves requests with `handler`, on a thread for each connection.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query
                .map(|(key, value)| (key.to_owned(), unescape(value)))
                .collect(),
            body: V::unpack(&body).unwrap_or(V::Null),
        };
        match handler(request) {
            Answer::Reply(status, value) => {
                let body = value.pack();
                let head = format!(
                    "HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let message = [head.as_bytes(), &body].concat();
                writer.write_all(&message).ok()?;
            }
            Answer::Never => loop {
                thread::sleep(Duration::from_secs(3600));
            },
        }
        if headers
            .iter()
            .any(|(name, value)| name == "connection" && value == "close")
        {
            return None;
        }
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match code {
            Some(code) if bytes[at] == b'%' => {
                plain.push(code);
                at += 3;
            }
            _ => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

/// Reads the first line, the headers and the body of a message.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_ascii_lowercase()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, headers, body))
}

/// A response, its body decoded.
pub struct Response {
    pub status: u16,
    pub body: V,
    pub retry_after_s: Option<u64>,
}

/// A client's connection, which it opens when needed and keeps as long as both sides do.
pub struct Connection {
    addr: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Connection {
    pub fn new(addr: SocketAddr) -> Self {
        Connection { addr, stream: None }
    }

    /// Goes to another address with the next request.
    pub fn redirect(&mut self, addr: SocketAddr) {
        if addr != self.addr {
            self.addr = addr;
        }
        self.stream = None;
    }

    /// Sends a request and waits for the response; `None`: none came, and the connection is closed. A kept connection
    /// that the server closed in the meantime is opened anew.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: Option<&V>,
        timeout: Duration,
    ) -> Option<Response> {
        let kept = self.stream.is_some();
        let response = self.exchange(method, path, body, timeout);
        if let Err(closed_before) = response {
            self.stream = None;
            if kept && closed_before {
                let second = self.exchange(method, path, body, timeout);
                if second.is_err() {
                    self.stream = None;
                }
                return second.ok();
            }
        }
        response.ok()
    }

    /// The error says whether the connection was already closed when the request was sent.
    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        body: Option<&V>,
        timeout: Duration,
    ) -> Result<Response, bool> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.addr, timeout).map_err(|_| false)?;
            let _ = stream.set_nodelay(true);
            self.stream = Some(BufReader::new(stream));
        }
        let Some(reader) = &mut self.stream else {
            return Err(false);
        };
        let body = body.map(V::pack).unwrap_or_default();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n\r\n",
            self.addr,
            body.len()
        );
        let message = [head.as_bytes(), &body].concat();
        let _ = reader.get_ref().set_read_timeout(Some(timeout));
        let _ = reader.get_ref().set_write_timeout(Some(timeout));
        reader.get_mut().write_all(&message).map_err(|_| true)?;
        match reader.fill_buf() {
            Ok([]) => return Err(true),
            Ok(_) => {}
            Err(error) => return Err(error.kind() == std::io::ErrorKind::ConnectionReset),
        }
        let (first, headers, body) = read_message(reader).ok_or(false)?;
        let header = |wanted: &str| {
            let mut matching = headers.iter().filter(|(name, _)| name == wanted);
            matching.next().map(|(_, value)| value.clone())
        };
        let response = Response {
            status: first
                .split(' ')
                .nth(1)
                .and_then(|word| word.parse().ok())
                .ok_or(false)?,
            body: V::unpack(&body).unwrap_or(V::Null),
            retry_after_s: header("retry-after").and_then(|value| value.parse().ok()),
        };
        if header("connection").is_some_and(|value| value == "close") {
            self.stream = None;
        }
        Ok(response)
    }
}
