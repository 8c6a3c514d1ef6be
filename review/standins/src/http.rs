//! Just enough of HTTP/1.1 for the stand-ins.

use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

/// A message: its head, and its body without framing.
#[derive(Debug, Clone)]
pub struct HttpMessage {
    /// Request line or status line.
    pub start_line: String,
    headers: Vec<(String, String)>,
    /// The body, as framed by a length; a message without one has no body.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// First value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the target of a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// The second word of the first line as a number: the status of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }
}

/// Reads messages from a connection, one after the other.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    /// Reads from this connection.
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads the next message; none if the connection ends before it.
    pub fn read(&mut self) -> io::Result<Option<HttpMessage>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.read_more()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end);
        let mut lines = head.split("\r\n");
        let start_line = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = HttpMessage { start_line, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or_default();
        while self.buffer.len() < length {
            if !self.read_more()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    fn read_more(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 64 * 1024];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }
}
