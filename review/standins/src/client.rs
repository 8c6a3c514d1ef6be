//! A client's connection.

use crate::http::{HttpMessage, Reader};
use crate::site::HOST;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request.
pub struct Request<'a> {
    /// Its id.
    pub id: &'a str,
    /// `GET` or `POST`.
    pub method: &'a str,
    /// Prefix of its route.
    pub prefix: &'a str,
    /// How long its client waits.
    pub deadline: Duration,
    /// Further header lines, each with its line end.
    pub fields: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let Request { id, method, prefix, deadline, fields, body } = self;
        let (deadline_ms, length) = (deadline.as_millis(), body.len());
        let head = format!(
            "{method} {prefix}{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Jujubedeal-Request-Id: {id}\r\n\
             X-Jujubedeal-Deadline-Ms: {deadline_ms}\r\n{fields}Content-Length: {length}\r\n\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}

/// An open connection to the entry host.
pub struct Client {
    writer: TcpStream,
    reader: Reader,
}

impl Client {
    /// Connects.
    pub fn connect(entry: SocketAddr) -> io::Result<Client> {
        let writer = TcpStream::connect(entry)?;
        writer.set_nodelay(true)?;
        let reader = Reader::new(writer.try_clone()?);
        Ok(Client { writer, reader })
    }

    /// Sends a request.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<()> {
        self.send_bytes(&request.encode())
    }

    /// Sends bytes of a request.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// Reads the next answer; an error of the kind `WouldBlock` if there is none within `limit`.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Option<HttpMessage>> {
        self.writer.set_read_timeout(Some(limit))?;
        self.reader.read()
    }
}
