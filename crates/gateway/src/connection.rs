//! One connection to an upstream, or to any other server.
//!
//! A connection serves one exchange at a time. Whether a byte of the request left is
//! known at its end, since only that, or the upstream's word, proves that it did not run.

use crate::http1::{BodyProgress, BodyReader, Framing, HeadError, ResponseHead, read_response};
use clock::Moment;
use domain::Millis;
use published::RunStart;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// Largest answer that is held. Answers are held until whole, so that one that is cut
/// short never looks complete.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// Unanswered bytes end a connection after this time: a peer without power says nothing.
const UNANSWERED_MS: Millis = Millis(3_000);

/// Idle time after which a connection isn't trusted where the upstream states none.
const UNSTATED_IDLE: Duration = Duration::from_secs(8);

/// Part of a stated idle time that is used. A question goes first on each kept connection, so
/// one that was closed early costs no request; with 0.6 a third more were opened.
const IDLE_PART: f64 = 0.9;

/// Answers of earlier requests that are skipped before the connection is given up.
const MAX_STRAYS: u32 = 4;

/// Why an exchange brought no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request left.
    NotSent,
    /// Something of the request left, and the connection broke.
    Broken,
    /// Something of the request left, and the other side said nothing for too long.
    TimedOut,
    /// The answer is no answer in the protocol.
    Malformed,
}

/// A whole answer.
#[derive(Debug)]
pub struct Response {
    /// Its head.
    pub head: ResponseHead,
    /// Its body.
    pub body: Vec<u8>,
}

/// What an exchange expects.
#[derive(Debug, Clone, Copy)]
pub struct Expected<'a> {
    /// Whether the answer may have a body.
    pub has_body: bool,
    /// Header of a request's id, and the id; answers to others are skipped.
    pub id: Option<(&'a str, &'a str)>,
    /// How long the other side may say nothing; none where somebody else looks at the time.
    pub read_timeouts: Option<ReadTimeouts>,
}

/// How long the other side of a connection may say nothing. A long answer over a narrow link
/// is not silent.
#[derive(Debug, Clone, Copy)]
pub struct ReadTimeouts {
    /// Before the first byte.
    pub first_byte: Duration,
    /// Between two bytes.
    pub between_bytes: Duration,
}

/// A connection that is open.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    used: Moment,
    idle: Duration,
    is_reusable: bool,
    is_doubtful: bool,
    run: RunStart,
}

impl Connection {
    /// Opens one.
    pub async fn open(address: SocketAddr, within: Duration) -> io::Result<Connection> {
        let socket = TcpSocket::new_v4()?;
        let connecting = clock::timeout(within, socket.connect(address));
        let stream = connecting.await.map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let unanswered = Duration::from_millis(UNANSWERED_MS.0);
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(unanswered))?;
        Ok(Connection {
            stream,
            buffer: Vec::new(),
            used: Moment::now(),
            idle: UNSTATED_IDLE,
            is_reusable: true,
            is_doubtful: false,
            run: RunStart::default(),
        })
    }

    /// The same, opened to a run of an upstream.
    pub fn belonging_to(self, run: RunStart) -> Connection {
        Connection { run, ..self }
    }

    /// The run of the upstream that it was opened to.
    pub fn run(&self) -> RunStart {
        self.run
    }

    /// Whether another exchange may begin: nothing came since the last, and it isn't idle for too long.
    pub fn is_fresh(&mut self) -> bool {
        if !self.is_kept() || !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether its other side is taken to keep it: that is looked at no further.
    pub fn is_kept(&self) -> bool {
        self.is_reusable && self.used.elapsed() < self.idle
    }

    /// Time since its last use.
    pub fn idle(&self) -> Duration {
        self.used.elapsed()
    }

    /// Whether its last answer was a failure: the upstream may be about to close it, or not have
    /// read all of the request. A question tells.
    pub fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    /// Whether it may go back to the pool.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable
    }

    /// Sends a request and waits for its whole answer. Dropped midway, the connection must
    /// be dropped too, which most upstreams take as a cancellation.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        expected: Expected<'_>,
    ) -> Result<Response, ExchangeError> {
        self.is_reusable = false;
        let mut left = request;
        let mut reader = ResponseReader::new(expected);
        let mut has_heard = false;
        loop {
            while !left.is_empty() {
                match self.stream.try_write(left) {
                    Ok(0) => return Err(broken(left.len() < request.len())),
                    Ok(written) => left = &left[written..],
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return Err(broken(left.len() < request.len())),
                }
            }
            match self.read_some() {
                Ok(Some(0)) => return self.at_end(reader, left.len() < request.len()),
                Ok(Some(_)) => {
                    has_heard = true;
                    if let Some(answer) = reader.read_from(&mut self.buffer)? {
                        self.finish(&answer, left.is_empty());
                        return Ok(answer);
                    }
                    continue;
                }
                Ok(None) => {}
                Err(_) => return Err(broken(left.len() < request.len())),
            }
            let interest = match left.is_empty() {
                true => tokio::io::Interest::READABLE,
                false => tokio::io::Interest::READABLE | tokio::io::Interest::WRITABLE,
            };
            let ready = match expected.read_timeouts {
                None => self.stream.ready(interest).await,
                Some(ReadTimeouts { first_byte, between_bytes }) => {
                    let longest = if has_heard { between_bytes } else { first_byte };
                    let ready = clock::timeout(longest, self.stream.ready(interest)).await;
                    ready.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
                }
            };
            let was_sent = left.len() < request.len();
            ready.map_err(|e| match e.kind() {
                ErrorKind::TimedOut if was_sent => ExchangeError::TimedOut,
                _ => broken(was_sent),
            })?;
        }
    }

    /// Bytes read; none if there are none now, zero at the end.
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
            Some(answer) => Ok(answer),
            None => Err(broken(was_sent)),
        }
    }

    /// An answer that came before the request was out ends the connection: the upstream may
    /// read on and must not take the next request for the rest of this one.
    fn finish(&mut self, answer: &Response, is_all_sent: bool) {
        self.used = Moment::now();
        self.idle = stated_idle(answer).unwrap_or(UNSTATED_IDLE);
        self.is_reusable = answer.head.keeps_alive && is_all_sent && self.buffer.is_empty();
        self.is_doubtful = answer.head.status >= 400;
    }
}

fn broken(was_sent: bool) -> ExchangeError {
    if was_sent { ExchangeError::Broken } else { ExchangeError::NotSent }
}

fn stated_idle(answer: &Response) -> Option<Duration> {
    let value = answer.head.fields.get("keep-alive")?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: f64 = seconds.trim().parse().ok()?;
    (0.0..1e6).contains(&seconds).then(|| Duration::from_secs_f64(seconds * IDLE_PART))
}

/// Cuts the expected answer out of what the connection brings.
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
                self.body = Some(BodyReader::new(head.framing, MAX_ANSWER_BYTES));
                self.head = Some(head);
            }
            let Some(body) = &mut self.body else { return Ok(None) };
            match body.read_from(buffer).map_err(malformed)? {
                BodyProgress::Partial => return Ok(None),
                BodyProgress::TooLarge => return Err(ExchangeError::Malformed),
                BodyProgress::Whole => {}
            }
            match (self.head.take(), self.body.take()) {
                (Some(head), Some(_)) if self.is_stray(&head) => {
                    self.strays += 1;
                    if self.strays > MAX_STRAYS || !head.keeps_alive {
                        return Err(ExchangeError::Malformed);
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

    /// An answer that names another request, or none where one is expected by name.
    fn is_stray(&self, head: &ResponseHead) -> bool {
        match self.expected.id {
            Some((header, id)) => head.fields.get(header).is_some_and(|echo| echo != id),
            None => false,
        }
    }
}

fn malformed(_: HeadError) -> ExchangeError {
    ExchangeError::Malformed
}
