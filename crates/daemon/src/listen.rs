//! The process's listening sockets.

use crate::error::{Role, StartError};
use error_stack::{Report, ResultExt};
use std::io::{self, Write};
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Listens, and says so on standard output.
///
/// # Errors
///
/// If the address can't be had.
pub fn bind(role: Role, address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    let listener = listener::bind(address).change_context(StartError::Bind { role, address })?;
    let bound = listener.local_addr().change_context(StartError::Bind { role, address })?;
    // Nobody may be reading.
    let _ = writeln!(io::stdout(), "listening {role} {bound}");
    Ok(listener)
}
