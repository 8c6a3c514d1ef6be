//! Large bodies, and a host with little memory.
#![allow(clippy::unwrap_used, dead_code)]

use super::upstream::StandInUpstream;
use super::{WAIT_TIMEOUT, caller_address, routing, wait_until};
use domain::{ByteCount, Millis};
use gateway::http1::{BodyProgress, BodyReader, ResponseHead, ResponseHeadReader};
use gateway::memory::HostMemory;
use gateway::run::Gateway;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Memory of the host in these tests.
pub const MEMORY_BYTES: usize = 16 << 20;

/// What all requests may hold of it.
pub const MAX_REQUEST_BYTES: usize = MEMORY_BYTES / 32 * 13;

/// Bytes that one read may add once that much is held.
pub const ONE_READ_BYTES: usize = 64 * 1024;

/// Longest body that callers may send.
pub const BODY_BYTES: usize = 32 << 20;

/// How a caller frames its body.
#[derive(Debug, Clone, Copy)]
pub enum Frame {
    Length,
    Chunks(usize),
}

/// A host with little memory that lets requests take their time, and its upstreams.
pub async fn start(upstreams: &[&StandInUpstream]) -> Gateway {
    let published = super::published(upstreams);
    let mut routing = routing(2);
    routing.limits.body_bytes = ByteCount(BODY_BYTES as u64);
    for route in &mut routing.routes {
        route.objective_ms = Millis(8_000);
        route.timeout_ms = Millis(8_000);
    }
    published.write_routing(routing);
    let mut settings = super::settings(&[]);
    settings.memory_bytes = Some(ByteCount(MEMORY_BYTES as u64));
    let gateway = super::start(settings, &published).await;
    wait_until("it is ready", || gateway.host().is_ready()).await;
    gateway
}

/// A request with a body, in the framing of its caller.
pub fn encode(path: &str, id: &str, body: &[u8], frame: Frame) -> Vec<u8> {
    let framing = match frame {
        Frame::Length => format!("Content-Length: {}", body.len()),
        Frame::Chunks(_) => "Transfer-Encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 8000\r\n{framing}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    match frame {
        Frame::Length => bytes.extend_from_slice(body),
        Frame::Chunks(size) => {
            for chunk in body.chunks(size) {
                bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                bytes.extend_from_slice(chunk);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
    }
    bytes
}

/// Text of numbered lines, in which no part repeats.
pub fn text(bytes: usize, salt: usize) -> String {
    let mut text: String = (0..bytes / 16 + 1).map(|line| format!("{salt:6} {line:8}\n")).collect();
    text.truncate(bytes);
    text
}

/// Bytes that the host holds for requests.
pub fn held_for_requests(gateway: &Gateway) -> usize {
    gateway.host().memory.request_bytes()
}

/// Records the most that the host holds, by one of its accounts, while the record exists.
pub fn watch(gateway: &Gateway, held: impl Fn(&HostMemory) -> usize + 'static) -> Rc<Cell<usize>> {
    let most = Rc::new(Cell::new(0));
    let (seen, memory) = (Rc::downgrade(&most), Rc::clone(&gateway.host().memory));
    tokio::task::spawn_local(async move {
        while let Some(seen) = seen.upgrade() {
            seen.set(seen.get().max(held(&memory)));
            tokio::task::yield_now().await;
        }
    });
    most
}

/// Reads one response.
pub async fn receive(stream: &mut TcpStream) -> Option<(ResponseHead, Vec<u8>)> {
    receive_next(stream, &mut Vec::new()).await
}

/// Reads the next response of a pipeline.
pub async fn receive_next(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<(ResponseHead, Vec<u8>)> {
    let receiving = async {
        let head = loop {
            match ResponseHeadReader::new(true).read_from(buffer).unwrap() {
                Some(head) => break head,
                None if stream.read_buf(buffer).await.ok()? == 0 => return None,
                None => {}
            }
        };
        let mut body = BodyReader::new(head.framing, usize::MAX);
        while body.read_from(buffer).unwrap() != BodyProgress::Whole {
            if stream.read_buf(buffer).await.ok()? == 0 {
                return None;
            }
        }
        Some((head, body.into_body()))
    };
    tokio::time::timeout(WAIT_TIMEOUT, receiving).await.expect("no response")
}

/// Callers that state moderate bodies and send none, so that no memory is left for large requests.
pub async fn fill_memory(gateway: &Gateway) -> Vec<TcpStream> {
    let memory = &gateway.host().memory;
    let mut callers = Vec::new();
    for bytes in [1 << 20, 100_000, 17_000] {
        while memory.has_room_for_request(bytes) {
            let before = held_for_requests(gateway);
            let mut stream = TcpStream::connect(caller_address(gateway)).await.unwrap();
            let id = format!("fill-{}", callers.len());
            let head = encode("/once/fill", &id, &vec![b'f'; bytes], Frame::Length);
            stream.write_all(&head[..head.len() - bytes]).await.unwrap();
            wait_until("it is read", || held_for_requests(gateway) >= before + bytes).await;
            callers.push(stream);
        }
    }
    callers
}
