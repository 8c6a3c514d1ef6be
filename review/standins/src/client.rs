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
    /// Its bytes, with the length of the body.
    pub fn encode(&self) -> Vec<u8> {
        let length = self.body.len();
        [self.head(&format!("Content-Length: {length}")).as_slice(), self.body].concat()
    }

    /// Its bytes, with the body in chunks of this size.
    pub fn encode_in_chunks(&self, chunk_bytes: usize) -> Vec<u8> {
        let mut bytes = self.head("Transfer-Encoding: chunked");
        for chunk in self.body.chunks(chunk_bytes) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        bytes
    }

    fn head(&self, framing: &str) -> Vec<u8> {
        let Request { id, method, prefix, deadline, fields, .. } = self;
        let deadline_ms = deadline.as_millis();
        let head = format!(
            "{method} {prefix}{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Jujubedeal-Request-Id: {id}\r\n\
             X-Jujubedeal-Deadline-Ms: {deadline_ms}\r\n{fields}{framing}\r\n\r\n"
        );
        head.into_bytes()
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

    /// Sends bytes of a request.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// The same; an error if they can't be sent within `limit`.
    pub fn send_within(&mut self, bytes: &[u8], limit: Duration) -> io::Result<()> {
        self.writer.set_write_timeout(Some(limit))?;
        self.send_bytes(bytes)
    }

    /// Reads the next answer; an error of the kind `WouldBlock` if there is none within `limit`.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Option<HttpMessage>> {
        self.writer.set_read_timeout(Some(limit))?;
        self.reader.read()
    }
}
