//! Listening sockets.

use crate::error::{Role, StartError};
use error_stack::{Report, ResultExt};
use std::io::Write;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens, and says so on standard output.
///
/// # Errors
///
/// If the address can't be had.
pub fn bind(role: Role, address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    let listener = listen(address).change_context(StartError::Bind { role, address })?;
    let bound = listener.local_addr().change_context(StartError::Bind { role, address })?;
    // Nobody may be reading.
    let _ = writeln!(std::io::stdout(), "listening {role} {bound}");
    Ok(listener)
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
