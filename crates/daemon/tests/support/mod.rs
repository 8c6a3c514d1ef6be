//! Stand-ins on raw sockets, so that a test decides about every byte.
#![allow(dead_code)]

pub mod daemon;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Generous limit on anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// What the upstream does with a request that has arrived in full.
#[derive(Debug, Clone)]
pub enum Behaviour {
    /// Writes these bytes and keeps the connection.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Says nothing until the other side closes.
    Silent,
    /// Writes the first bytes; the rest only after [`RawUpstream::release`].
    WriteThenWait(Vec<u8>, Vec<u8>),
}

impl Behaviour {
    pub fn write(text: &str) -> Behaviour {
        Behaviour::Write(text.as_bytes().to_vec())
    }

    pub fn write_and_close(text: &str) -> Behaviour {
        Behaviour::WriteAndClose(text.as_bytes().to_vec())
    }

    pub fn ok() -> Behaviour {
        Behaviour::write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
    }
}

/// What the upstream saw.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Seen {
    /// Complete requests, as text.
    pub requests: Vec<String>,
    /// Connections accepted.
    pub connections: usize,
    /// Connections that the other side closed.
    pub closed: usize,
    /// Bytes received in all.
    pub bytes: usize,
}

/// An upstream that plays one behaviour per request; the last one stays.
#[derive(Debug, Clone)]
pub struct RawUpstream {
    pub address: SocketAddr,
    seen: Arc<watch::Sender<Seen>>,
    script: Arc<Mutex<Vec<Behaviour>>>,
    released: Arc<watch::Sender<bool>>,
}

impl RawUpstream {
    pub async fn start(script: Vec<Behaviour>) -> RawUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut script = script;
        script.reverse();
        let upstream = RawUpstream {
            address: listener.local_addr().unwrap(),
            seen: Arc::new(watch::Sender::new(Seen::default())),
            script: Arc::new(Mutex::new(script)),
            released: Arc::new(watch::Sender::new(false)),
        };
        let accepting = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.seen.send_modify(|seen| seen.connections += 1);
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        upstream
    }

    pub fn seen(&self) -> Seen {
        self.seen.borrow().clone()
    }

    pub fn release(&self) {
        self.released.send_replace(true);
    }

    /// Waits until what was seen meets a condition.
    pub async fn wait_for(&self, condition: impl FnMut(&Seen) -> bool) -> Seen {
        let mut seen = self.seen.subscribe();
        tokio::time::timeout(PATIENCE, seen.wait_for(condition))
            .await
            .expect("the upstream never saw it")
            .unwrap()
            .clone()
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = self.read_request(&mut stream, &mut buffer).await {
            self.seen.send_modify(|seen| seen.requests.push(request));
            match self.next_behaviour() {
                Behaviour::Write(bytes) => stream.write_all(&bytes).await.unwrap_or_default(),
                Behaviour::WriteAndClose(bytes) => {
                    stream.write_all(&bytes).await.unwrap_or_default();
                    return;
                }
                Behaviour::Silent => {}
                Behaviour::WriteThenWait(first, rest) => {
                    stream.write_all(&first).await.unwrap_or_default();
                    let mut released = self.released.subscribe();
                    tokio::select! {
                        _ = released.wait_for(|released| *released) => {}
                        _ = stream.readable() => {}
                    }
                    stream.write_all(&rest).await.unwrap_or_default();
                }
            }
        }
        self.seen.send_modify(|seen| seen.closed += 1);
    }

    fn next_behaviour(&self) -> Behaviour {
        let mut script = self.script.lock().unwrap();
        match script.len() {
            1 => script[0].clone(),
            _ => script.pop().unwrap(),
        }
    }

    async fn read_request(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
        loop {
            if let Some(length) = request_length(buffer) {
                let request = buffer.drain(..length).collect();
                return Some(String::from_utf8(request).unwrap());
            }
            let mut chunk = vec![0; 4096];
            match stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return None,
                Ok(n) => {
                    self.seen.send_modify(|seen| seen.bytes += n);
                    buffer.extend_from_slice(&chunk[..n]);
                }
            }
        }
    }
}

/// Length of the complete request at the start of a buffer.
fn request_length(buffer: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(buffer);
    let head = text.find("\r\n\r\n")? + 4;
    let body = header(&text[..head], "content-length").map_or(0, |value| value.parse().unwrap());
    (buffer.len() >= head + body).then_some(head + body)
}

/// A header of a request or answer as text.
pub fn header<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    let head = message.split("\r\n\r\n").next()?;
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// Reads from a connection until it ends; tells what came and whether the end was clean.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = async {
        let mut chunk = vec![0; 65536];
        while let Ok(n @ 1..) = stream.read(&mut chunk).await {
            bytes.extend_from_slice(&chunk[..n]);
        }
    };
    tokio::time::timeout(PATIENCE, reading).await.expect("the connection never ended");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends raw bytes, then reads until the connection ends.
pub async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    read_to_end(&mut stream).await
}
