//! A connection to an upstream, or to any other server.
//!
//! A connection serves one exchange at a time. A failed exchange tells whether any byte of the
//! request was sent: only if none was, or if the upstream says so, did the request certainly not run.

use crate::http1::{BodyProgress, BodyReader, Framing, HeadError, ResponseHead, read_response};
use clock::Moment;
use domain::Millis;
use published::RunStart;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// Largest body of a response. Responses are buffered until complete, so that a truncated one is
/// never delivered.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Size of one read.
const READ_BYTES: usize = 16 * 1024;

/// A connection ends if sent bytes aren't acknowledged for this time, as when the other machine has
/// lost power.
const UNACKNOWLEDGED_MS: Millis = Millis(3_000);

/// Idle time after which a connection isn't reused, if the upstream states no `keep-alive` timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(8);

/// Share of a stated idle time that is used. A connection that was idle for long is probed first, so
/// one that was closed early costs no request.
const IDLE_SHARE: f64 = 0.9;

/// Responses to earlier requests that are skipped before the exchange fails.
const MAX_STRAYS: u32 = 4;

/// Why an exchange brought no complete response. The variants are logged under these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke after a byte of the request was sent.
    Broken,
    /// A read timed out after a byte of the request was sent.
    Silent,
    /// The response violates the protocol, or is too large.
    Garbled,
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// Status line and headers.
    pub head: ResponseHead,
    /// Body, without its framing.
    pub body: Vec<u8>,
}

/// What is expected of a response.
#[derive(Debug, Clone, Copy)]
pub struct Expected<'a> {
    /// Whether the response may have a body.
    pub has_body: bool,
    /// Header with the request's id, and the id; responses to other requests are skipped.
    pub id: Option<(&'a str, &'a str)>,
    /// Read timeouts; none if something else limits the time of the exchange.
    pub read_timeouts: Option<ReadTimeouts>,
}

/// Timeouts between bytes received, so that a long response over a slow link isn't cut off.
#[derive(Debug, Clone, Copy)]
pub struct ReadTimeouts {
    /// Before the first byte of the response.
    pub first_byte: Duration,
    /// Between two bytes.
    pub between_bytes: Duration,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    last_used: Moment,
    idle_limit: Duration,
    is_reusable: bool,
    is_doubtful: bool,
    run: RunStart,
}

impl Connection {
    /// Opens a connection, with a timeout.
    pub async fn open(address: SocketAddr, within: Duration) -> io::Result<Connection> {
        let socket = TcpSocket::new_v4()?;
        let connecting = clock::timeout(within, socket.connect(address));
        let stream = connecting.await.map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let unacknowledged = Duration::from_millis(UNACKNOWLEDGED_MS.0);
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(unacknowledged))?;
        Ok(Connection {
            stream,
            buffer: Vec::new(),
            last_used: Moment::now(),
            idle_limit: DEFAULT_IDLE,
            is_reusable: true,
            is_doubtful: false,
            run: RunStart::default(),
        })
    }

    /// The same connection, bound to the run of the upstream that it was opened to.
    pub fn with_run(self, run: RunStart) -> Connection {
        Connection { run, ..self }
    }

    /// The run of the upstream that it was opened to.
    pub fn run(&self) -> RunStart {
        self.run
    }

    /// Whether another exchange may begin: the connection is reusable, hasn't been idle for too long,
    /// and is neither closed nor has unread bytes.
    pub fn is_fresh(&mut self) -> bool {
        if !self.is_unexpired() || !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether it is reusable and hasn't been idle for too long; doesn't check the socket.
    pub fn is_unexpired(&self) -> bool {
        self.is_reusable && self.last_used.elapsed() < self.idle_limit
    }

    /// Time since its last use.
    pub fn idle(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// Whether its last response was an error: the upstream may be about to close it, or may not have
    /// read the whole request. A probe shows whether it is usable.
    pub fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    /// Whether it may be returned to the pool.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable
    }

    /// Sends a request and waits for its complete response. If the future is dropped midway, the
    /// connection must be dropped, too; most upstreams take that as a cancellation.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        expected: Expected<'_>,
    ) -> Result<Response, ExchangeError> {
        self.is_reusable = false;
        let mut unsent = request;
        let mut reader = ResponseReader::new(expected);
        let mut has_received = false;
        loop {
            while !unsent.is_empty() {
                match self.stream.try_write(unsent) {
                    Ok(0) => return Err(broken(unsent.len() < request.len())),
                    Ok(written) => unsent = &unsent[written..],
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return Err(broken(unsent.len() < request.len())),
                }
            }
            match self.read_some() {
                Ok(Some(0)) => return self.at_end(reader, unsent.len() < request.len()),
                Ok(Some(_)) => {
                    has_received = true;
                    if let Some(response) = reader.read_from(&mut self.buffer)? {
                        self.finish(&response, unsent.is_empty());
                        return Ok(response);
                    }
                    continue;
                }
                Ok(None) => {}
                Err(_) => return Err(broken(unsent.len() < request.len())),
            }
            let interest = match unsent.is_empty() {
                true => tokio::io::Interest::READABLE,
                false => tokio::io::Interest::READABLE | tokio::io::Interest::WRITABLE,
            };
            let ready = match expected.read_timeouts {
                None => self.stream.ready(interest).await,
                Some(ReadTimeouts { first_byte, between_bytes }) => {
                    let longest = if has_received { between_bytes } else { first_byte };
                    let ready = clock::timeout(longest, self.stream.ready(interest)).await;
                    ready.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
                }
            };
            let was_sent = unsent.len() < request.len();
            ready.map_err(|e| match e.kind() {
                ErrorKind::TimedOut if was_sent => ExchangeError::Silent,
                _ => broken(was_sent),
            })?;
        }
    }

    /// Reads what is available; returns the number of bytes, zero at the end of the connection, or
    /// none if nothing is available.
    fn read_some(&mut self) -> io::Result<Option<usize>> {
        let mut chunk = [0; READ_BYTES];
        match self.stream.try_read(&mut chunk) {
            Ok(read) => {
                self.buffer.extend_from_slice(&chunk[..read]);
                Ok(Some(read))
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn at_end(
        &mut self,
        reader: ResponseReader<'_>,
        was_sent: bool,
    ) -> Result<Response, ExchangeError> {
        match reader.at_end() {
            Some(response) => Ok(response),
            None => Err(broken(was_sent)),
        }
    }

    /// Prepares the connection for its next exchange. It isn't reused if the response came before the
    /// whole request was sent: the upstream might take the next request for the rest of this one.
    fn finish(&mut self, response: &Response, is_all_sent: bool) {
        self.last_used = Moment::now();
        self.idle_limit = stated_idle(response).unwrap_or(DEFAULT_IDLE);
        self.is_reusable = response.head.keeps_alive && is_all_sent && self.buffer.is_empty();
        self.is_doubtful = response.head.status >= 400;
    }
}

fn broken(was_sent: bool) -> ExchangeError {
    if was_sent { ExchangeError::Broken } else { ExchangeError::NotSent }
}

fn stated_idle(response: &Response) -> Option<Duration> {
    let value = response.head.fields.get("keep-alive")?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: f64 = seconds.trim().parse().ok()?;
    (0.0..1e6).contains(&seconds).then(|| Duration::from_secs_f64(seconds * IDLE_SHARE))
}

/// Reads the expected response from the received bytes, and skips responses to other requests.
#[derive(Debug)]
struct ResponseReader<'a> {
    expected: Expected<'a>,
    head: Option<ResponseHead>,
    body: Option<BodyReader>,
    strays: u32,
}

impl<'a> ResponseReader<'a> {
    fn new(expected: Expected<'a>) -> ResponseReader<'a> {
        ResponseReader { expected, head: None, body: None, strays: 0 }
    }

    fn read_from(&mut self, buffer: &mut Vec<u8>) -> Result<Option<Response>, ExchangeError> {
        loop {
            if self.head.is_none() {
                let head = read_response(buffer, self.expected.has_body).map_err(malformed)?;
                let Some(head) = head else { return Ok(None) };
                self.body = Some(BodyReader::new(head.framing, MAX_BODY_BYTES));
                self.head = Some(head);
            }
            let Some(body) = &mut self.body else { return Ok(None) };
            match body.read_from(buffer).map_err(malformed)? {
                BodyProgress::Partial => return Ok(None),
                BodyProgress::TooLarge => return Err(ExchangeError::Garbled),
                BodyProgress::Whole => {}
            }
            match (self.head.take(), self.body.take()) {
                (Some(head), Some(_)) if self.is_stray(&head) => {
                    self.strays += 1;
                    if self.strays > MAX_STRAYS || !head.keeps_alive {
                        return Err(ExchangeError::Garbled);
                    }
                }
                (Some(head), Some(body)) => {
                    return Ok(Some(Response { head, body: body.into_body() }));
                }
                _ => return Ok(None),
            }
        }
    }

    fn at_end(mut self) -> Option<Response> {
        let (head, body) = (self.head.take()?, self.body.take()?);
        let is_whole = body.framing() == Framing::UntilClose && !self.is_stray(&head);
        is_whole.then(|| Response { head, body: body.into_body() })
    }

    /// Whether a response names another request.
    fn is_stray(&self, head: &ResponseHead) -> bool {
        match self.expected.id {
            Some((header, id)) => head.fields.get(header).is_some_and(|echo| echo != id),
            None => false,
        }
    }
}

fn malformed(_: HeadError) -> ExchangeError {
    ExchangeError::Garbled
}
