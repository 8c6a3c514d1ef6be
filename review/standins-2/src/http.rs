//! As much of HTTP/1.1 as the stand-ins need, on blocking sockets.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Start line and headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.field("content-length")?.parse().ok()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut parts = self.start.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

/// A connection with what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
    /// At an instance: whether a request arrived on it, other than a health check.
    pub has_served: bool,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new(), has_served: false }
    }

    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Connection::new)
    }

    /// Reads once; zero at the end of the connection.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 64 * 1024];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    fn fill_or_fail(&mut self) -> io::Result<()> {
        match self.fill()? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..at + 4).collect();
                return Ok(parse_head(&String::from_utf8_lossy(&bytes)));
            }
            self.fill_or_fail()?;
        }
    }

    pub fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill_or_fail()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..at]).into_owned());
            }
            self.fill_or_fail()?;
        }
    }

    /// Reads a whole response; an error if it ends early.
    pub fn read_response(&mut self) -> io::Result<(Head, Vec<u8>)> {
        let head = self.read_head()?;
        if let Some(length) = head.length() {
            let body = self.read_exactly(length)?;
            return Ok((head, body));
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            body.extend(self.read_exactly(size)?);
            self.read_line()?;
            if size == 0 {
                return Ok((head, body));
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for `span`; false as soon as the other side has closed the connection.
    pub fn stays_open_for(&self, span: Duration) -> bool {
        let end = Instant::now() + span;
        let mut byte = [0; 1];
        let is_open = loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break true;
            }
            let _ = self.stream.set_read_timeout(Some(left.min(Duration::from_millis(20))));
            match self.stream.peek(&mut byte) {
                Ok(0) => break false,
                // More of the request: nothing to wait for.
                Ok(_) => std::thread::sleep(left.min(Duration::from_millis(5))),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break false,
            }
        };
        let _ = self.stream.set_read_timeout(None);
        is_open
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let field = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    };
    Head { start, fields: lines.filter_map(field).collect() }
}

/// A request of a client.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body_bytes: usize,
}

/// Host of all routes.
pub const ROUTE_HOST: &str = "desk.example";

impl Request<'_> {
    pub fn head(&self) -> Vec<u8> {
        let Request { method, path, id, deadline_ms, body_bytes } = self;
        let length = match *method {
            "POST" => format!("Content-Length: {body_bytes}\r\n"),
            _ => String::new(),
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nX-Jujubedeal-Request-Id: {id}\r\n\
             X-Jujubedeal-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
        )
        .into_bytes()
    }
}
