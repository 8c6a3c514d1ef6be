//! A caller's connection: its socket, and the bytes read ahead from it.

use crate::memory::{HeldBytes, HeldFor, HostMemory};
use clock::Moment;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Most bytes that are read ahead.
const MAX_READ_AHEAD: usize = 256 * 1024;

/// Size of one read.
const READ_BYTES: usize = 16 * 1024;

/// How long what the caller still sends is read and dropped after the last response.
const LINGER: Duration = Duration::from_millis(600);

/// A caller's connection, shared with the tasks that serve its requests.
#[derive(Debug)]
pub struct Caller {
    pub(super) stream: TcpStream,
    inbox: RefCell<Vec<u8>>,
    /// Accounts for the inbox.
    held: HeldBytes,
    pub(super) is_gone: Cell<bool>,
}

impl Caller {
    /// A connection from which nothing was read yet.
    pub(super) fn new(stream: TcpStream, memory: &Rc<HostMemory>) -> Caller {
        let held = memory.hold(HeldFor::ReadAhead);
        Caller { stream, inbox: RefCell::default(), held, is_gone: Cell::new(false) }
    }

    /// Takes bytes from the inbox.
    pub(super) fn take<T>(&self, take: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let mut inbox = self.inbox.borrow_mut();
        let taken = take(&mut inbox);
        self.held.set(inbox.len());
        taken
    }

    /// Bytes that were read ahead.
    pub(super) fn inbox_bytes(&self) -> usize {
        self.inbox.borrow().len()
    }

    /// Reads what has arrived, and returns whether the caller has disconnected.
    pub fn is_gone_now(&self) -> bool {
        self.fill_now();
        self.is_gone.get()
    }

    /// Reads what the runtime knows to have arrived into the inbox.
    pub(super) fn fill(&self) {
        self.fill_by(|chunk| self.stream.try_read(chunk));
    }

    /// Reads all that has arrived into the inbox. The runtime learns of it only when it next waits
    /// for events, which is too late before a connection is closed.
    pub(super) fn fill_now(&self) {
        let socket = socket2::SockRef::from(&self.stream);
        self.fill_by(|chunk| (&*socket).read(chunk));
    }

    fn fill_by(&self, read: impl Fn(&mut [u8]) -> io::Result<usize>) {
        let mut chunk = [0; READ_BYTES];
        let mut inbox = self.inbox.borrow_mut();
        while !self.is_gone.get() && inbox.len() < MAX_READ_AHEAD {
            match read(&mut chunk) {
                Ok(0) => self.is_gone.set(true),
                Ok(read) => {
                    inbox.extend_from_slice(&chunk[..read]);
                    self.held.set(inbox.len());
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.is_gone.set(true),
            }
        }
    }

    /// Whether more may be read ahead.
    pub(super) fn has_room(&self) -> bool {
        self.inbox_bytes() < MAX_READ_AHEAD
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
}

/// Shuts down the write half, and drops what the caller still sends, so that closing doesn't reset
/// the connection before the caller has read the last response. Returns the number of bytes dropped.
pub(super) async fn linger(caller: &Caller) -> usize {
    let mut dropped_bytes = caller.inbox_bytes();
    if caller.is_gone.get()
        || socket2::SockRef::from(&caller.stream).shutdown(std::net::Shutdown::Write).is_err()
    {
        return dropped_bytes;
    }
    let until = Moment::now() + LINGER;
    let mut chunk = [0; READ_BYTES];
    while clock::timeout_at(until, caller.stream.readable()).await.is_ok() {
        match caller.stream.try_read(&mut chunk) {
            Ok(0) => break,
            Ok(read) => dropped_bytes += read,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    dropped_bytes
}
