//! A caller's connection: its socket, and the bytes read ahead from it.

use crate::memory::{CONNECTION_BYTES, HeldBytes, HeldFor, HostMemory, release_if_empty};
use clock::Moment;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Most bytes that are read ahead.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Bytes that are read ahead though large requests fill the memory for them.
const MIN_READ_AHEAD: usize = 16 * 1024;

/// Size of one read.
const READ_BYTES: usize = 16 * 1024;

/// How long what the caller still sends is read and dropped after the last response.
const LINGER: Duration = Duration::from_millis(600);

/// The same, while it keeps sending a body whose request was answered early.
const MAX_LINGER: Duration = Duration::from_secs(5);

/// A caller's connection, shared with the tasks that serve its requests.
#[derive(Debug)]
pub struct Caller {
    pub(super) stream: TcpStream,
    inbox: RefCell<Vec<u8>>,
    /// Accounts for the connection and its inbox.
    held: HeldBytes,
    /// Bytes that may be read ahead in any case but an exhausted memory.
    min_read_ahead: Cell<usize>,
    is_gone: Cell<bool>,
    /// Notified when it is found to be gone.
    left: Notify,
}

impl Caller {
    /// A connection from which nothing was read yet.
    pub(super) fn new(stream: TcpStream, memory: &Rc<HostMemory>) -> Caller {
        let held = memory.hold(HeldFor::ReadAhead);
        held.set(CONNECTION_BYTES);
        Caller {
            stream,
            inbox: RefCell::default(),
            held,
            min_read_ahead: Cell::new(MIN_READ_AHEAD),
            is_gone: Cell::new(false),
            left: Notify::new(),
        }
    }

    /// The host's accounts.
    pub fn memory(&self) -> &Rc<HostMemory> {
        self.held.memory()
    }

    /// Whether the caller is known to have disconnected.
    pub fn is_gone(&self) -> bool {
        self.is_gone.get()
    }

    /// Reads what has arrived, and returns whether the caller has disconnected.
    pub fn is_gone_now(&self) -> bool {
        self.fill_now();
        self.is_gone.get()
    }

    /// Returns once the caller was found to be gone after this call.
    pub(super) async fn left(&self) {
        self.left.notified().await;
    }

    pub(super) fn set_gone(&self) {
        self.is_gone.set(true);
        self.left.notify_waiters();
    }

    /// Allows to read ahead a head of this size in any case.
    pub(super) fn allow_head(&self, head_bytes: usize) {
        self.min_read_ahead.set(head_bytes.max(MIN_READ_AHEAD));
    }

    /// Takes bytes from the inbox.
    pub fn take<T>(&self, take: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let mut inbox = self.inbox.borrow_mut();
        let taken = take(&mut inbox);
        release_if_empty(&mut inbox);
        self.record_held(&inbox);
        taken
    }

    /// Bytes that were read ahead.
    pub(super) fn inbox_bytes(&self) -> usize {
        self.inbox.borrow().len()
    }

    /// Reads what the runtime knows to have arrived into the inbox; returns the number of bytes.
    pub fn fill(&self) -> usize {
        self.fill_by(|chunk| self.stream.try_read(chunk))
    }

    /// Reads all that has arrived into the inbox. The runtime learns of it only when it next waits
    /// for events, which is too late before a connection is closed.
    pub(super) fn fill_now(&self) {
        let socket = socket2::SockRef::from(&self.stream);
        let _ = self.fill_by(|chunk| (&*socket).read(chunk));
    }

    fn fill_by(&self, read: impl Fn(&mut [u8]) -> io::Result<usize>) -> usize {
        let mut chunk = [0; READ_BYTES];
        let mut read_bytes = 0;
        let mut inbox = self.inbox.borrow_mut();
        while !self.is_gone.get() && inbox.len() < self.max_read_ahead() {
            match read(&mut chunk) {
                Ok(0) => self.set_gone(),
                Ok(read) => {
                    read_bytes += read;
                    inbox.extend_from_slice(&chunk[..read]);
                    self.record_held(&inbox);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.set_gone(),
            }
        }
        read_bytes
    }

    fn record_held(&self, inbox: &[u8]) {
        self.held.set(CONNECTION_BYTES + inbox.len());
    }

    /// Whether more may be read ahead.
    pub(super) fn has_room(&self) -> bool {
        self.inbox_bytes() < self.max_read_ahead()
    }

    /// Returns once there is room, and may be something to read.
    pub async fn readable(&self) {
        if !self.has_room() {
            self.memory().small_requests_have_room().await;
        }
        // The next read finds the error.
        let _ = self.stream.readable().await;
    }

    /// Most bytes that may be read ahead now.
    fn max_read_ahead(&self) -> usize {
        let memory = self.memory();
        if memory.has_room_for_request(READ_BYTES) {
            MAX_READ_AHEAD
        } else if memory.has_room_for_small_request() {
            self.min_read_ahead.get()
        } else {
            0
        }
    }

    /// Writes all bytes.
    pub(super) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut unsent = bytes;
        while !unsent.is_empty() {
            match self.stream.try_write(unsent) {
                Ok(written) => unsent = &unsent[written..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.stream.writable().await?,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Reads and drops once what has arrived; returns the number of bytes, zero at the end.
    fn drop_arrived(&self) -> io::Result<usize> {
        self.stream.try_read(&mut [0; READ_BYTES])
    }
}

/// Shuts down the write half, and drops what the caller still sends, so that closing doesn't reset
/// the connection before the caller has read the last response. Returns the number of bytes dropped.
pub(super) async fn linger(caller: &Caller) -> usize {
    let mut dropped_bytes = caller.take(std::mem::take).len();
    if caller.is_gone()
        || socket2::SockRef::from(&caller.stream).shutdown(std::net::Shutdown::Write).is_err()
    {
        return dropped_bytes;
    }
    let last = Moment::now() + MAX_LINGER;
    let mut until = Moment::now() + LINGER;
    while clock::timeout_at(until.min(last), caller.stream.readable()).await.is_ok() {
        match caller.drop_arrived() {
            Ok(0) => break,
            Ok(read) => {
                dropped_bytes += read;
                until = Moment::now() + LINGER;
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    dropped_bytes
}
