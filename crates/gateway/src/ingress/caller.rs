//! A caller's connection.

use clock::Moment;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::net::TcpStream;

/// Bytes that are read ahead of the requests in progress.
const MAX_READ_AHEAD: usize = 256 * 1024;

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// After the last answer, what the caller still sends is read for so long.
const LINGER: Duration = Duration::from_millis(600);

/// A caller's connection, as its requests see it.
#[derive(Debug)]
pub struct Caller {
    pub(super) stream: TcpStream,
    pub(super) inbox: RefCell<Vec<u8>>,
    pub(super) is_gone: Cell<bool>,
}

impl Caller {
    /// Reads what is there, and tells whether the caller hung up.
    pub fn is_gone_now(&self) -> bool {
        self.fill();
        self.is_gone.get()
    }

    /// Reads what is there.
    pub(super) fn fill(&self) {
        let mut chunk = [0; READ_BYTES];
        let mut inbox = self.inbox.borrow_mut();
        while !self.is_gone.get() && inbox.len() < MAX_READ_AHEAD {
            match self.stream.try_read(&mut chunk) {
                Ok(0) => self.is_gone.set(true),
                Ok(read) => inbox.extend_from_slice(&chunk[..read]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.is_gone.set(true),
            }
        }
    }

    /// Whether more may be read ahead.
    pub(super) fn has_room(&self) -> bool {
        self.inbox.borrow().len() < MAX_READ_AHEAD
    }

    /// Writes all of it.
    pub(super) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut left = bytes;
        while !left.is_empty() {
            match self.stream.try_write(left) {
                Ok(written) => left = &left[written..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.stream.writable().await?,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// Closes gently; see the module's head.
pub(super) async fn linger(caller: &Caller) {
    if caller.is_gone.get()
        || socket2::SockRef::from(&caller.stream).shutdown(std::net::Shutdown::Write).is_err()
    {
        return;
    }
    let until = Moment::now() + LINGER;
    let mut chunk = [0; READ_BYTES];
    while clock::timeout_at(until, caller.stream.readable()).await.is_ok() {
        match caller.stream.try_read(&mut chunk) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
