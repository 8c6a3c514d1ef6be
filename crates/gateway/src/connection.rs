//! A connection to an upstream, or to any other server.
//!
//! A connection serves one exchange at a time. A failed exchange tells whether any byte of the
//! request was sent: only if none was, or if the upstream says so, did the request certainly not
//! run.
//!
//! A response on a kept connection may belong to an earlier request: upstreams repeat responses,
//! and send late ones. So nothing is sent on a connection with unread bytes; a response that names
//! another request is skipped; and one that names none is taken only where no earlier request was
//! answered. A rejected probe names nobody, and a copy of the rejection could not be told from that
//! of a request: no request that runs at most once is sent behind it.

mod exchange;
mod exchange_end;
mod long_body;
mod response_reader;
mod unsent;

pub use exchange::{
    ExchangeError, Expected, LongResponse, MAX_BODY_BYTES, Naming, ReadTimeouts, Received,
    Response, Sent, Streaming,
};
pub use long_body::{BodyPart, LongBody};
pub use unsent::Unsent;

use crate::memory::{RECEIVE_BUFFER_BYTES, release_if_empty};
use crate::tunnel::Tunnel;
use clock::Moment;
use exchange_end::{Answered, DEFAULT_IDLE, ExchangeEnd};
use published::{Idempotency, RunStart};
use response_reader::ResponseReader;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpSocket, TcpStream};
use unsent::SendStep;

/// Size of one read.
const READ_BYTES: usize = 16 * 1024;

/// Reads of one response before other tasks get a turn.
const READS_PER_TURN: u32 = 4;

/// A connection ends if sent bytes aren't acknowledged for this time, as when the other machine has
/// lost power; or if its window is closed for so long.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// How a connection leads to its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Path {
    /// From this host.
    Direct,
    /// Through a peer.
    Tunnel(Rc<Tunnel>),
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    path: Path,
    stream: TcpStream,
    buffer: Vec<u8>,
    last_used: Moment,
    idle_limit: Duration,
    is_reusable: bool,
    is_doubtful: bool,
    answered: Answered,
    /// Whether a probe was answered without a name.
    has_unnamed_answer: bool,
    /// Whether the present exchange waits longer than others for a window to open.
    awaits_window: bool,
    run: RunStart,
}

impl Connection {
    /// Opens a connection, with a timeout; from this address of the host, or any of them.
    pub async fn open(
        address: SocketAddr,
        from: Option<IpAddr>,
        within: Duration,
    ) -> io::Result<Connection> {
        let socket = TcpSocket::new_v4()?;
        if let Some(from) = from {
            socket.bind((from, 0).into())?;
        }
        // If it fails, the kernel only buffers more.
        let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let connecting = clock::timeout(within, socket.connect(address));
        let stream = connecting.await.map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        Ok(Connection {
            path: Path::Direct,
            stream,
            buffer: Vec::new(),
            last_used: Moment::now(),
            idle_limit: DEFAULT_IDLE,
            is_reusable: true,
            is_doubtful: false,
            answered: Answered::Nothing,
            has_unnamed_answer: false,
            awaits_window: false,
            run: RunStart::default(),
        })
    }

    /// The same connection, bound to the run of the upstream that it was opened to.
    pub fn with_run(self, run: RunStart) -> Connection {
        Connection { run, ..self }
    }

    /// The connection to an upstream that a relay opened, on the connection to the relay.
    pub fn into_tunnel(self, tunnel: Tunnel) -> Connection {
        Connection {
            path: Path::Tunnel(Rc::new(tunnel)),
            last_used: Moment::now(),
            idle_limit: DEFAULT_IDLE,
            answered: Answered::Nothing,
            has_unnamed_answer: false,
            ..self
        }
    }

    /// How it leads to its upstream.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Its socket, to copy bytes.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// The run of the upstream that it was opened to.
    pub fn run(&self) -> RunStart {
        self.run
    }

    /// Whether another exchange may begin: the connection is reusable, hasn't been idle for too
    /// long, and is neither closed nor has unread bytes.
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

    /// Whether its last response was an error: the upstream may be about to close it, or may not
    /// have read the whole request. A probe shows whether it is usable.
    pub fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    /// Whether a request may be sent on it: the response to one that runs at most once must not be
    /// taken for another's.
    pub fn suits(&self, idempotency: Idempotency) -> bool {
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::AtMostOnce => !self.has_unnamed_answer,
        }
    }

    /// Whether it may be returned to the pool.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable
    }

    /// Lets the other side keep its window closed for this time in the next exchange: it may read
    /// slowly. A machine that is gone is noticed as late.
    pub fn await_window(&mut self, longest: Duration) {
        let longest = longest.max(UNACKNOWLEDGED);
        // If it fails, the exchange ends earlier.
        self.awaits_window =
            SockRef::from(&self.stream).set_tcp_user_timeout(Some(longest)).is_ok();
    }

    /// Sends a request and waits for its complete response. If the future is dropped midway, the
    /// connection must be dropped, too; most upstreams take that as a cancellation.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        expected: Expected<'_>,
    ) -> Result<Response, ExchangeError> {
        match self.receive(Unsent::of_bytes(request), expected, None).await? {
            Received::Whole(response) => Ok(response),
            // Not reached: without `streaming`, every response is collected whole.
            Received::Long(_) => Err(ExchangeError::Garbled),
        }
    }

    /// Like [`Connection::exchange`], but returns a long response as soon as `streaming` allows to
    /// pass it on in pieces. The rest of its body is read by [`LongBody`].
    pub async fn exchange_streaming(
        &mut self,
        request: Unsent,
        expected: Expected<'_>,
        streaming: Streaming<'_>,
    ) -> Result<Received, ExchangeError> {
        self.receive(request, expected, Some(streaming)).await
    }

    /// Sends a request and reads its response, up to the head of a long one if `streaming` is
    /// given.
    async fn receive(
        &mut self,
        mut unsent: Unsent,
        expected: Expected<'_>,
        streaming: Option<Streaming<'_>>,
    ) -> Result<Received, ExchangeError> {
        self.is_reusable = false;
        if self.answered != Answered::Nothing && !self.is_silent() {
            return Err(ExchangeError::NotSent);
        }
        let mut reader = ResponseReader::new(expected, self.answered, streaming);
        let mut has_received = false;
        let mut reads: u32 = 0;
        loop {
            let step = unsent.send(&self.stream).map_err(|_| broken(unsent.is_begun()))?;
            match self.read_some() {
                Ok(Some(0)) => {
                    return self.handle_close(reader, unsent.is_begun()).map(Received::Whole);
                }
                Ok(Some(_)) => {
                    has_received = true;
                    reads += 1;
                    if reads.is_multiple_of(READS_PER_TURN) {
                        tokio::task::yield_now().await;
                    }
                    if let Some(response) = reader.read_from(&mut self.buffer)? {
                        let end = ExchangeEnd::new(&response.head, &expected, self.answered);
                        self.finish(end, unsent.is_all_sent());
                        return Ok(Received::Whole(response));
                    }
                    if let Some(Streaming { held, .. }) = streaming {
                        held.set(self.buffer.len() + reader.held_bytes());
                    }
                    if let Some((head, body)) = reader.take_long() {
                        let end = ExchangeEnd::new(&head, &expected, self.answered);
                        return Ok(Received::Long(LongResponse { head, body, unsent, end }));
                    }
                    continue;
                }
                Ok(None) => {}
                Err(_) => return Err(broken(unsent.is_begun())),
            }
            let progress = self.progress(&unsent, step);
            let ready = match expected.read_timeouts {
                None => progress.await,
                Some(ReadTimeouts { first_byte, between_bytes }) => {
                    let longest = if has_received { between_bytes } else { first_byte };
                    let ready = clock::timeout(longest, progress).await;
                    ready.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
                }
            };
            let was_sent = unsent.is_begun();
            ready.map_err(|e| match e.kind() {
                ErrorKind::TimedOut if was_sent => ExchangeError::Silent,
                _ => broken(was_sent),
            })?;
        }
    }

    /// Returns once there may be something to read, or to send after this step.
    async fn progress(&self, unsent: &Unsent, step: SendStep) -> io::Result<()> {
        match step {
            SendStep::Yields => tokio::task::yield_now().await,
            SendStep::Done => self.stream.readable().await?,
            SendStep::Blocked => {
                self.stream.ready(Interest::READABLE | Interest::WRITABLE).await?;
            }
            SendStep::AwaitsBody => tokio::select! {
                ready = self.stream.readable() => ready?,
                () = unsent.body_ready() => {}
            },
        }
        Ok(())
    }

    /// Whether nothing has arrived, not even the end of the connection, since the last response.
    /// Asks the kernel: the runtime learns of it only when it next waits for events.
    fn is_silent(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        self.buffer.is_empty() && matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
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

    fn handle_close(
        &mut self,
        reader: ResponseReader<'_>,
        was_sent: bool,
    ) -> Result<Response, ExchangeError> {
        match reader.complete_at_close() {
            Some(response) => Ok(response),
            None => Err(broken(was_sent)),
        }
    }

    /// Prepares the connection for its next exchange. It isn't reused if the response came before
    /// the whole request was sent: the upstream might take the next request for the rest of this
    /// one. Nor after a response that doesn't name its request: the next one could not be told from
    /// a copy.
    fn finish(&mut self, end: ExchangeEnd, is_all_sent: bool) {
        self.last_used = Moment::now();
        if std::mem::take(&mut self.awaits_window) {
            // If it fails, a machine that is gone is noticed later.
            let _ = SockRef::from(&self.stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        }
        self.idle_limit = end.idle_limit;
        self.answered = end.answered;
        self.has_unnamed_answer |= end.is_unnamed;
        self.is_reusable = end.may_reuse && is_all_sent && self.buffer.is_empty();
        self.is_doubtful = end.is_doubtful;
        release_if_empty(&mut self.buffer);
    }
}

fn broken(was_sent: bool) -> ExchangeError {
    if was_sent { ExchangeError::Broken } else { ExchangeError::NotSent }
}
