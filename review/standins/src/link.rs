//! A link to a server that can be cut: a proxy that holds the bytes of both directions meanwhile.
//!
//! What is held is lost if its sender resets the connection before the cut ends. The other side
//! then learns of neither, as the reset is lost, too.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Time between two looks whether a cut is over.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Bytes that one read of a link takes.
const READ_BYTES: usize = 64 * 1024;

/// Switches the links of one machine off and on, all at once.
#[derive(Clone, Default)]
pub struct Cut {
    is_cut: Arc<AtomicBool>,
}

impl Cut {
    /// Cuts the links: what is sent is held, and new connections lead nowhere.
    pub fn begin(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    /// Ends the cut: what was held arrives.
    pub fn end(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// Waits until the links are not cut; returns whether they were.
    fn wait(&self) -> bool {
        let was_cut = self.is_cut.load(Ordering::SeqCst);
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(LOOK_INTERVAL);
        }
        was_cut
    }
}

/// Cuts the links once this many bytes have passed towards the server on one connection, as when
/// the rest of what the client has sent is still on its way.
#[derive(Clone, Default)]
pub struct CutAfter {
    bytes: Arc<AtomicUsize>,
}

impl CutAfter {
    /// Arms it for the next bytes.
    pub fn arm(&self, bytes: usize) {
        self.bytes.store(bytes, Ordering::SeqCst);
    }
}

/// Starts a link to `server`; returns the address that leads over it.
pub fn start(
    address: SocketAddr,
    server: SocketAddr,
    cut: &Cut,
    cut_after: &CutAfter,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let (cut, cut_after) = (cut.clone(), cut_after.clone());
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let (cut, cut_after) = (cut.clone(), cut_after.clone());
            thread::spawn(move || carry(client, server, &cut, &cut_after));
        }
    });
    Ok(address)
}

fn carry(
    client: TcpStream,
    server: SocketAddr,
    cut: &Cut,
    cut_after: &CutAfter,
) -> io::Result<()> {
    cut.wait();
    let server = TcpStream::connect(server)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_server, to_client) = (server.try_clone()?, client.try_clone()?);
    let back = cut.clone();
    thread::spawn(move || copy(from_server, to_client, &back, &CutAfter::default()));
    copy(client, server, cut, cut_after)
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    cut: &Cut,
    cut_after: &CutAfter,
) -> io::Result<()> {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let read = from.read(&mut buffer);
        let is_lost = cut.wait() && is_reset(&from, &read);
        if is_lost {
            return forget(to);
        }
        let Ok(read @ 1..) = read else {
            // If it fails, the other side is gone, too.
            let _ = to.shutdown(Shutdown::Write);
            return Ok(());
        };
        let before_cut = cut_after.bytes.swap(0, Ordering::SeqCst).min(read);
        if before_cut > 0 {
            to.write_all(&buffer[..before_cut])?;
            cut.begin();
            cut.wait();
            if is_reset(&from, &Ok(read)) {
                return forget(to);
            }
        }
        to.write_all(&buffer[before_cut..read])?;
    }
}

/// Whether the sender has reset the connection.
fn is_reset(from: &TcpStream, read: &io::Result<usize>) -> bool {
    let is_by_reset = |e: &io::Error| e.kind() == ErrorKind::ConnectionReset;
    match read {
        Err(e) => is_by_reset(e),
        Ok(_) => matches!(from.take_error(), Ok(Some(e)) if is_by_reset(&e)),
    }
}

/// Leaves a connection open for the rest of the run.
fn forget(to: TcpStream) -> io::Result<()> {
    std::mem::forget(to);
    Ok(())
}
