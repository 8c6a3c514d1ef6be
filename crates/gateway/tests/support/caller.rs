//! A caller's connection.

use super::WAIT_TIMEOUT;
use gateway::http1::{BodyProgress, BodyReader, ResponseHeadReader};
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// A response as a caller receives it.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    pub status: u16,
    pub id: String,
    pub cause: String,
    pub retry_after: Option<f64>,
    pub is_sealed: bool,
    pub closes: bool,
    pub body: String,
}

pub struct Caller {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

pub fn get(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1200\r\n\r\n"
    )
}

pub fn post(path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Caller {
        Caller { stream: TcpStream::connect(address).await.unwrap(), buffer: Vec::new() }
    }

    /// None if the host doesn't accept the connection.
    pub async fn try_connect(address: SocketAddr) -> Option<Caller> {
        let stream = TcpStream::connect(address).await.ok()?;
        Some(Caller { stream, buffer: Vec::new() })
    }

    /// A caller that connects from another address of this machine.
    pub async fn connect_from(own: Ipv4Addr, address: SocketAddr) -> Caller {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind((own, 0).into()).unwrap();
        Caller { stream: socket.connect(address).await.unwrap(), buffer: Vec::new() }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Returns the next response; none if the connection ends first.
    pub async fn receive(&mut self) -> Option<CallerResponse> {
        tokio::time::timeout(WAIT_TIMEOUT, self.read()).await.expect("no response")
    }

    /// Sends a request and returns its response.
    pub async fn exchange(&mut self, text: &str) -> CallerResponse {
        self.send(text).await;
        self.receive().await.expect("the connection ended without a response")
    }

    async fn read(&mut self) -> Option<CallerResponse> {
        let head = loop {
            match ResponseHeadReader::new(true)
                .read_from(&mut self.buffer)
                .expect("a malformed response")
            {
                Some(head) => break head,
                None => self.fill().await?,
            }
        };
        let mut body = BodyReader::new(head.framing, 1 << 20);
        while body.read_from(&mut self.buffer).unwrap() != BodyProgress::Whole {
            self.fill().await?;
        }
        let field = |name: &str| head.fields.get(name).unwrap_or_default().to_owned();
        Some(CallerResponse {
            status: head.status,
            id: field("x-request-id"),
            cause: field("x-refusal-cause"),
            retry_after: field("retry-after").parse().ok(),
            is_sealed: head.fields.get("x-upstream-seal").is_some(),
            closes: head.fields.lists("connection", "close"),
            body: String::from_utf8(body.into_body()).unwrap(),
        })
    }

    async fn fill(&mut self) -> Option<()> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(read) if read > 0 => Some(()),
            _ => None,
        }
    }
}
