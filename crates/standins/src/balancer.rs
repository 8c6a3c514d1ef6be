//! The platform's balancer, at the HTTP level and in the simplest way.
//!
//! Each request goes over a connection of its own: a request can then only fail to be
//! connected, in which case it surely was not sent, or fail later, in which case it is
//! never sent again.

use crate::server::{Running, StartError, lock, read_json, set_header, write_json, write_text};
use bytes::Bytes;
use clap::Args;
use domain::HostId;
use error_stack::{Report, ResultExt};
use futures_util::future::join_all;
use reqwest::Client;
use salvo::handler;
use salvo::http::header::{CONNECTION, HOST, HeaderMap, HeaderName};
use salvo::http::{Method, Request, ResBody, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const STOP_LIMIT: Duration = Duration::from_secs(10);
const MAX_BODY_BYTES: usize = 16 << 20;

/// Headers that end at a connection; those that `Connection` names are added.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What the balancer is told at its start.
#[derive(Debug, Clone, Args)]
pub struct BalancerSettings {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Entry hosts, each as `id=callerip:port=operatorip:port`.
    #[arg(long = "entry", num_args = 1..)]
    pub entries: Vec<Entry>,
}

/// An entry host as the balancer knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its id.
    pub host: HostId,
    /// Where callers' requests go.
    pub caller_address: SocketAddr,
    /// Where `/readyz` is asked.
    pub operator_address: SocketAddr,
}

/// A text that is no [`Entry`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseEntryError;

impl fmt::Display for ParseEntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not an entry host: write id=callerip:port=operatorip:port")
    }
}

impl std::error::Error for ParseEntryError {}

impl FromStr for Entry {
    type Err = ParseEntryError;

    fn from_str(text: &str) -> Result<Entry, ParseEntryError> {
        let mut parts = text.split('=');
        let entry = Entry {
            host: parse_part(parts.next())?,
            caller_address: parse_part(parts.next())?,
            operator_address: parse_part(parts.next())?,
        };
        match parts.next() {
            None => Ok(entry),
            Some(_) => Err(ParseEntryError),
        }
    }
}

fn parse_part<T: FromStr>(part: Option<&str>) -> Result<T, ParseEntryError> {
    part.and_then(|text| text.parse().ok()).ok_or(ParseEntryError)
}

/// An entry host and whether it was ready at the last check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryStatus {
    /// The entry host.
    pub entry: Entry,
    /// Its `/readyz` said yes.
    pub ready: bool,
}

/// Starts the balancer; it has checked each entry host once when this returns.
///
/// # Errors
///
/// [`StartError`] if the address can't be listened on or no HTTP client can be built.
pub async fn start(settings: BalancerSettings) -> Result<BalancerHandle, Report<StartError>> {
    let client = build_client().change_context(StartError::Client)?;
    let state =
        Arc::new(BalancerState { client, next: AtomicUsize::new(0), entries: Mutex::default() });
    state.replace(settings.entries).await;
    let service = BalancerService { state: Arc::clone(&state) };
    let running = Running::start(settings.listen, service, || true)?;
    let checks = tokio::spawn(check_for_ever(Arc::clone(&state)));
    Ok(BalancerHandle { address: running.address, state, running, checks })
}

/// Sends each request once: no redirects, no proxies, no retries, no pooled connections.
fn build_client() -> Result<Client, reqwest::Error> {
    Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .pool_max_idle_per_host(0)
        .tcp_nodelay(true)
        .http1_only()
        .connect_timeout(CONNECT_TIMEOUT)
        .build()
}

/// A running balancer; dropping it cuts every connection.
#[derive(Debug)]
pub struct BalancerHandle {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<BalancerState>,
    running: Running,
    checks: JoinHandle<()>,
}

impl BalancerHandle {
    /// Replaces the entry hosts and checks each of them once.
    pub async fn replace_entries(&self, entries: Vec<Entry>) {
        self.state.replace(entries).await;
    }

    /// The entry hosts as of the last checks.
    pub fn entries(&self) -> Vec<EntryStatus> {
        lock(&self.state.entries).clone()
    }

    /// Stops listening and waits for a while until the requests in progress have ended.
    pub async fn stop(mut self) {
        self.running.stop(Some(STOP_LIMIT)).await;
    }
}

impl Drop for BalancerHandle {
    fn drop(&mut self) {
        self.checks.abort();
    }
}

#[derive(Debug)]
struct BalancerState {
    client: Client,
    next: AtomicUsize,
    entries: Mutex<Vec<EntryStatus>>,
}

impl BalancerState {
    async fn replace(&self, entries: Vec<Entry>) {
        let unchecked = entries.into_iter().map(|entry| EntryStatus { entry, ready: false });
        *lock(&self.entries) = unchecked.collect();
        self.check_all().await;
    }

    async fn check_all(&self) {
        let entries = lock(&self.entries).clone();
        join_all(entries.iter().map(|status| self.check(&status.entry))).await;
    }

    async fn check(&self, entry: &Entry) {
        let url = format!("http://{}/readyz", entry.operator_address);
        let answer = self.client.get(url).timeout(CHECK_TIMEOUT).send().await;
        let ready = answer.is_ok_and(|answer| answer.status().is_success());
        for status in lock(&self.entries).iter_mut().filter(|status| status.entry == *entry) {
            status.ready = ready;
        }
    }

    /// The ready entry hosts, beginning with the one whose turn it is.
    fn in_turn(&self) -> Vec<Entry> {
        let entries = lock(&self.entries);
        let mut ready: Vec<Entry> = entries
            .iter()
            .filter(|status| status.ready)
            .map(|status| status.entry.clone())
            .collect();
        if !ready.is_empty() {
            let turn = self.next.fetch_add(1, Ordering::Relaxed) % ready.len();
            ready.rotate_left(turn);
        }
        ready
    }
}

async fn check_for_ever(state: Arc<BalancerState>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        state.check_all().await;
    }
}

struct BalancerService {
    state: Arc<BalancerState>,
}

/// A caller's request, held so that it can be offered to the next entry host.
struct Held {
    method: Method,
    target: String,
    headers: HeaderMap,
    body: Bytes,
}

/// How a request fared with the entry hosts.
enum Forwarded {
    Answered(reqwest::Response),
    /// No connection could be established: it was not sent.
    NotSent,
    /// It broke off after the connection was established.
    BrokeOff(reqwest::Error),
}

#[handler]
impl BalancerService {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/standin/entries") => {
                write_json(res, StatusCode::OK, &*lock(&self.state.entries));
            }
            (&Method::PUT, "/standin/entries") => self.set_entries(req, res).await,
            _ => self.forward(req, res).await,
        }
    }
}

impl BalancerService {
    async fn set_entries(&self, req: &mut Request, res: &mut Response) {
        if let Some(entries) = read_json(req, res).await {
            self.state.replace(entries).await;
            write_text(res, StatusCode::OK, "set");
        }
    }

    async fn forward(&self, req: &mut Request, res: &mut Response) {
        let Some(held) = hold(req, res).await else { return };
        match self.send(&held).await {
            Forwarded::Answered(answer) => pass_back(res, answer),
            Forwarded::NotSent => {
                set_header(res, "x-outcome", "not-run");
                write_text(res, StatusCode::SERVICE_UNAVAILABLE, "no entry host takes requests");
            }
            Forwarded::BrokeOff(error) => {
                log::info!("balancer: an entry host broke off: {error}");
                set_header(res, "x-outcome", "unknown");
                write_text(res, StatusCode::BAD_GATEWAY, "the entry host broke off");
            }
        }
    }

    async fn send(&self, held: &Held) -> Forwarded {
        for entry in self.state.in_turn() {
            let url = format!("http://{}{}", entry.caller_address, held.target);
            let request = self
                .state
                .client
                .request(held.method.clone(), url)
                .headers(held.headers.clone())
                .body(held.body.clone());
            match request.send().await {
                Ok(answer) => return Forwarded::Answered(answer),
                Err(error) if error.is_connect() => {
                    log::info!("balancer: {} can't be connected", entry.host);
                }
                Err(error) => return Forwarded::BrokeOff(error),
            }
        }
        Forwarded::NotSent
    }
}

async fn hold(req: &mut Request, res: &mut Response) -> Option<Held> {
    let method = req.method().clone();
    let target = req.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let mut headers = end_to_end(req.headers());
    headers.remove(HOST);
    match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(body) => Some(Held { method, target, headers, body: body.clone() }),
        Err(error) => {
            set_header(res, "x-outcome", "not-run");
            write_text(res, StatusCode::BAD_REQUEST, format!("the body can't be read: {error}"));
            None
        }
    }
}

/// Passes an answer on as it comes; if it breaks off, so does the caller's.
fn pass_back(res: &mut Response, answer: reqwest::Response) {
    res.status_code(answer.status());
    res.set_headers(end_to_end(answer.headers()));
    res.body(ResBody::stream(answer.bytes_stream()));
}

fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    for name in named.flat_map(|names| names.split(',')) {
        if let Ok(name) = HeaderName::from_str(name.trim()) {
            kept.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}
