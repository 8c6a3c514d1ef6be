//! A relay before a listener, which can be cut.
//!
//! While it is cut, bytes stay where they are and connections stay open, as in a network
//! partition: neither side is told anything.

use crate::error::FleetError;
use error_stack::{Report, ResultExt};
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const BUFFER_BYTES: usize = 16 << 10;

/// A running relay; stops when dropped.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(target: SocketAddr) -> Result<Relay, Report<FleetError>> {
        let fail = || FleetError::Start { process: format!("relay to {target}") };
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(any_port).await.change_context_lazy(fail)?;
        let address = listener.local_addr().change_context_lazy(fail)?;
        let (cut, is_cut) = watch::channel(false);
        let task = tokio::spawn(accept(listener, target, is_cut));
        Ok(Relay { address, cut, task })
    }

    /// Cuts or mends it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, is_cut: watch::Receiver<bool>) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(connect(near, target, is_cut.clone()));
    }
}

async fn connect(near: TcpStream, target: SocketAddr, mut is_cut: watch::Receiver<bool>) {
    if is_cut.wait_for(|cut| !cut).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::spawn(pump(near_read, far_write, is_cut.clone()));
    tokio::spawn(pump(far_read, near_write, is_cut));
}

/// Copies one direction until either side closes or the relay is dropped.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut is_cut: watch::Receiver<bool>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        if is_cut.wait_for(|cut| !cut).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
