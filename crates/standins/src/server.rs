//! The HTTP server that every stand-in runs on.

use crate::connections::{Admission, Connections};
use error_stack::{Report, ResultExt};
use listener::{CloseHandle, Listener};
use salvo::conn::ConnCtrl;
use salvo::http::{Request, Response, StatusCode};
use salvo::server::ServerHandle;
use salvo::{Handler, Router, Server};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Largest body of a request to a control path.
const MAX_CONTROL_BYTES: usize = 4 << 20;

/// Why a stand-in did not start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartError {
    /// The address can't be listened on.
    Listen(SocketAddr),
    /// The HTTP client can't be built.
    Client,
    /// The signal can't be waited for.
    Signal,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address) => {
                write!(f, "can't listen on {address}: choose a free port, or 0 for any")
            }
            StartError::Client => write!(f, "can't build the HTTP client: look at the cause below"),
            StartError::Signal => write!(f, "can't wait for SIGTERM: look at the cause below"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running server; dropping it cuts every connection.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) address: SocketAddr,
    closing: CloseHandle,
    connections: Connections,
    control: ServerHandle,
    task: JoinHandle<()>,
}

impl Running {
    /// Listens and serves; `admits` decides on each new connection.
    pub(crate) fn start(
        listen: SocketAddr,
        goal: impl Handler,
        admits: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Result<Running, Report<StartError>> {
        let refused = || StartError::Listen(listen);
        let socket = listener::bind(listen).change_context_lazy(refused)?;
        let address = socket.local_addr().change_context_lazy(refused)?;
        let (listener, closing) = Listener::new(socket).change_context_lazy(refused)?;
        let connections = Connections::default();
        let admission = Admission { connections: connections.clone(), admits };
        let mut server = Server::new(listener).fuse_policy(admission);
        // An idle connection stays open: only faults and a stop close it.
        server.http1_mut().header_read_timeout(None);
        let control = server.handle();
        let router = Router::with_path("{**rest}").goal(goal);
        let task = tokio::spawn(async move {
            if let Err(error) = server.try_serve(router).await {
                log::error!("server: stopped with an error: {error}");
            }
        });
        Ok(Running { address, closing, connections, control, task })
    }

    /// Stops listening and waits until the requests in progress have ended.
    pub(crate) async fn stop(&mut self, limit: Option<Duration>) {
        self.closing.close().await;
        self.control.stop_graceful(limit);
        self.connections.close_silent();
        if let Err(error) = (&mut self.task).await {
            log::error!("server: its task failed: {error}");
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Locks, also after a panic elsewhere: the stand-ins' state is never left half written.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A header's value as text.
pub(crate) fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

/// A header's value read as a number or id.
pub(crate) fn parsed_header<T: std::str::FromStr>(req: &Request, name: &str) -> Option<T> {
    header(req, name)?.parse().ok()
}

/// Reads a control request's JSON body; answers 400 if it is none of the type.
pub(crate) async fn read_json<T: DeserializeOwned>(
    req: &mut Request,
    res: &mut Response,
) -> Option<T> {
    let parsed = match req.payload_with_max_size(MAX_CONTROL_BYTES).await {
        Ok(body) => serde_json::from_slice(body).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match parsed {
        Ok(value) => Some(value),
        Err(error) => {
            write_text(res, StatusCode::BAD_REQUEST, format!("mend the JSON body: {error}"));
            None
        }
    }
}

/// Answers with a JSON body.
pub(crate) fn write_json(res: &mut Response, status: StatusCode, value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => write_body(res, status, "application/json", text),
        Err(error) => {
            write_text(res, StatusCode::INTERNAL_SERVER_ERROR, format!("not JSON: {error}"));
        }
    }
}

/// Answers with a line of text.
pub(crate) fn write_text(res: &mut Response, status: StatusCode, text: impl Into<String>) {
    write_body(res, status, "text/plain", text.into());
}

/// Answers with a body that is given as it is.
pub(crate) fn write_body(res: &mut Response, status: StatusCode, kind: &str, text: String) {
    res.status_code(status);
    set_header(res, "content-type", kind);
    res.body(text);
}

/// Sets a header; a value that is none is left out.
pub(crate) fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Err(error) = res.add_header(name, value, true) {
        log::warn!("server: header {name} left out: {error}");
    }
}

/// Closes the request's connection without an answer. Never returns: the server drops
/// the request together with its connection.
pub(crate) async fn close_connection(req: &Request) {
    match req.extensions().get::<ConnCtrl>() {
        Some(connection) => connection.abort(),
        None => log::error!("server: the connection can't be reached"),
    }
    std::future::pending::<()>().await;
}
