//! What is left to send of a request.

use crate::request_body::{RequestBody, Supply};
use crate::serve::Request;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio::net::TcpStream;

/// Most bytes that are sent for one request before other tasks get a turn.
const TURN_BYTES: usize = 64 * 1024;

/// What is left to send of a request: the rest of its head, and of its body.
#[derive(Debug)]
pub struct Unsent {
    head: Vec<u8>,
    sent_of_head: usize,
    body: UnsentBody,
    sent_bytes: usize,
}

#[derive(Debug)]
enum UnsentBody {
    /// None, or a part of `head`.
    None,
    /// The body of this request, from this byte of this segment on.
    Of { request: Rc<Request>, segment: usize, offset: usize },
}

/// What follows a turn of sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendStep {
    /// Nothing is left to send, or the rest will never come.
    Done,
    /// The socket takes no more for now.
    Blocked,
    /// The caller has to send more of the body first.
    AwaitsBody,
    /// Other tasks get a turn first.
    Yields,
}

impl Unsent {
    /// A request that is held as a whole.
    pub fn of_bytes(bytes: &[u8]) -> Unsent {
        let body = UnsentBody::None;
        Unsent { head: bytes.to_vec(), sent_of_head: 0, body, sent_bytes: 0 }
    }

    /// A request with this head, followed by its body unless the head includes it.
    pub fn of_request(head: Vec<u8>, request: Option<Rc<Request>>) -> Unsent {
        let body = match request {
            Some(request) => UnsentBody::Of { request, segment: 0, offset: 0 },
            None => UnsentBody::None,
        };
        Unsent { head, sent_of_head: 0, body, sent_bytes: 0 }
    }

    /// Whether a body follows that may be longer than what the sockets buffer.
    pub fn has_long_body(&self) -> bool {
        matches!(self.body, UnsentBody::Of { .. })
    }

    /// Whether any byte was sent.
    pub fn is_begun(&self) -> bool {
        self.sent_bytes > 0
    }

    /// Whether all of it was sent.
    pub fn is_all_sent(&self) -> bool {
        self.sent_of_head == self.head.len()
            && match &self.body {
                UnsentBody::None => true,
                UnsentBody::Of { request, segment, .. } => match &request.body {
                    RequestBody::Whole(segments) => segments.get(*segment).is_none(),
                    RequestBody::Streamed(stream) => stream.is_sent(),
                },
            }
    }

    /// Sends as much as possible without waiting, and at most a turn's worth.
    ///
    /// # Errors
    ///
    /// If the connection broke.
    pub fn send(&mut self, stream: &TcpStream) -> io::Result<SendStep> {
        let end_bytes = self.sent_bytes + TURN_BYTES;
        while self.sent_bytes < end_bytes {
            let sent = match self.send_next(stream) {
                Ok(Next::Sent(0)) => return Err(ErrorKind::WriteZero.into()),
                Ok(Next::Sent(sent)) => sent,
                Ok(Next::Awaited) => return Ok(SendStep::AwaitsBody),
                Ok(Next::Ended) => return Ok(SendStep::Done),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(SendStep::Blocked),
                Err(e) => return Err(e),
            };
            self.sent_bytes += sent;
        }
        Ok(SendStep::Yields)
    }

    /// Returns once the caller may have sent more of the body.
    pub async fn body_ready(&self) {
        match &self.body {
            UnsentBody::Of { request, .. } => match &request.body {
                RequestBody::Streamed(stream) => stream.ready().await,
                RequestBody::Whole(_) => std::future::pending().await,
            },
            UnsentBody::None => std::future::pending().await,
        }
    }

    fn send_next(&mut self, stream: &TcpStream) -> io::Result<Next> {
        if self.sent_of_head < self.head.len() {
            let sent = stream.try_write(&self.head[self.sent_of_head..])?;
            self.sent_of_head += sent;
            return Ok(Next::Sent(sent));
        }
        let UnsentBody::Of { request, segment, offset } = &mut self.body else {
            return Ok(Next::Ended);
        };
        match &request.body {
            RequestBody::Streamed(body) => match body.supply() {
                Supply::Bytes => body.send(|bytes| stream.try_write(bytes)).map(Next::Sent),
                Supply::Awaited => Ok(Next::Awaited),
                Supply::Ended => Ok(Next::Ended),
            },
            RequestBody::Whole(segments) => {
                let Some(bytes) = segments.get(*segment) else { return Ok(Next::Ended) };
                let sent = stream.try_write(&bytes[*offset..])?;
                *offset += sent;
                if *offset == bytes.len() {
                    (*segment, *offset) = (*segment + 1, 0);
                }
                Ok(Next::Sent(sent))
            }
        }
    }
}

/// What one write did.
enum Next {
    Sent(usize),
    Awaited,
    Ended,
}
