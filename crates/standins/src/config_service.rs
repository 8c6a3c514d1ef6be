//! The configuration service: versioned values that are read and watched.
//!
//! Writing belongs to the stand-in's own control surface and works also while the
//! service is down for its readers.

use crate::server::{
    Running, StartError, close_connection, header, lock, parsed_header, read_json, set_header,
    write_body, write_json, write_text,
};
use clap::Args;
use domain::{ByteCount, Millis, Version};
use error_stack::Report;
use salvo::handler;
use salvo::http::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Largest value.
pub const MAX_VALUE_BYTES: ByteCount = ByteCount(1 << 20);

/// Longest watch.
const MAX_WAIT_MS: Millis = Millis(60_000);

const ONE_SECOND: Duration = Duration::from_secs(1);
const VALUES_PREFIX: &str = "/v1/values/";

/// What the configuration service is told at its start.
#[derive(Debug, Clone, Args)]
pub struct ConfigServiceSettings {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
}

/// Name of a value: `base` or `overlay/<site>`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ValueKey {
    /// The base of all sites.
    Base,
    /// One site's overlay.
    Overlay(domain::SiteName),
}

impl ValueKey {
    fn of_path(path: &str) -> Option<ValueKey> {
        match path.strip_prefix(VALUES_PREFIX)?.split_once('/') {
            None if path.ends_with("/base") => Some(ValueKey::Base),
            Some(("overlay", site)) => site.parse().ok().map(ValueKey::Overlay),
            _ => None,
        }
    }
}

/// Faults of the configuration service; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigFaults {
    /// Closes the connection of every reader without an answer, waiting ones included.
    pub down: bool,
    /// Serves no version newer than this.
    pub stale_at: Option<Version>,
    /// The only reader, by its `x-reader`, that `stale_at` holds for; all if unset.
    pub stale_reader: Option<String>,
    /// Answers this much later.
    pub delay_ms: Millis,
    /// Reads beyond this are answered by 429; unlimited if unset.
    pub reads_per_second: Option<u32>,
}

/// Calls of readers; a waiting watch counts as one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// All of them.
    pub calls: u64,
    /// Of them, those that may wait.
    pub watches: u64,
    /// Of them, answered by 429.
    pub refused: u64,
}

/// Why a value is not published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishError {
    /// It has more than [`MAX_VALUE_BYTES`].
    TooLarge,
    /// It is no UTF-8 text.
    NotText,
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::TooLarge => {
                write!(f, "the value is too large: publish at most {MAX_VALUE_BYTES} bytes")
            }
            PublishError::NotText => write!(f, "the value is no text: publish it in UTF-8"),
        }
    }
}

impl std::error::Error for PublishError {}

/// Starts the configuration service.
///
/// # Errors
///
/// [`StartError::Listen`] if the address can't be listened on.
pub async fn start(
    settings: ConfigServiceSettings,
) -> Result<ConfigServiceHandle, Report<StartError>> {
    let state = Arc::new(ConfigState::new());
    let service = ConfigService { state: Arc::clone(&state) };
    let running = Running::start(settings.listen, service, || true)?;
    Ok(ConfigServiceHandle { address: running.address, state, _running: running })
}

/// A running configuration service; dropping it cuts every connection.
#[derive(Debug)]
pub struct ConfigServiceHandle {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<ConfigState>,
    _running: Running,
}

impl ConfigServiceHandle {
    /// Publishes a value and gives its version.
    ///
    /// # Errors
    ///
    /// [`PublishError::TooLarge`] beyond [`MAX_VALUE_BYTES`].
    pub fn publish(&self, key: ValueKey, text: &str) -> Result<Version, PublishError> {
        self.state.publish(key, text.as_bytes())
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ConfigFaults) {
        self.state.set_faults(faults);
    }

    /// Calls of readers so far.
    pub fn calls(&self) -> Calls {
        lock(&self.state.shelf).calls
    }
}

#[derive(Debug)]
struct ConfigState {
    shelf: Mutex<Shelf>,
    /// Wakes the watches after each change of values or faults.
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct Shelf {
    values: BTreeMap<ValueKey, Vec<Arc<str>>>,
    faults: ConfigFaults,
    calls: Calls,
    second_began: Instant,
    reads_this_second: u32,
}

/// What one read finds.
enum Found {
    Value(Version, Arc<str>),
    Unchanged,
    Missing,
    Down,
}

/// What a reader asks for.
struct Read {
    key: ValueKey,
    reader: Option<String>,
    after: Option<Version>,
    wait_ms: Millis,
}

impl ConfigState {
    fn new() -> ConfigState {
        let shelf = Shelf {
            values: BTreeMap::new(),
            faults: ConfigFaults::default(),
            calls: Calls::default(),
            second_began: Instant::now(),
            reads_this_second: 0,
        };
        ConfigState { shelf: Mutex::new(shelf), changed: watch::Sender::new(()) }
    }

    fn publish(&self, key: ValueKey, value: &[u8]) -> Result<Version, PublishError> {
        if value.len() as u64 > MAX_VALUE_BYTES.0 {
            return Err(PublishError::TooLarge);
        }
        let text = std::str::from_utf8(value).map_err(|_| PublishError::NotText)?;
        let version = lock(&self.shelf).append(key, text);
        self.changed.send_replace(());
        Ok(version)
    }

    fn set_faults(&self, faults: ConfigFaults) {
        lock(&self.shelf).faults = faults;
        self.changed.send_replace(());
    }

    /// Reads at once, or as soon as there is something newer.
    async fn read(&self, read: &Read) -> Found {
        let until = Instant::now() + Duration::from_millis(read.wait_ms.min(MAX_WAIT_MS).0);
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let found = lock(&self.shelf).find(read);
            match (&found, read.after) {
                (Found::Unchanged, _) | (Found::Missing, Some(_)) => {}
                _ => return found,
            }
            if timeout_at(until, changed.changed()).await.is_err() {
                return found;
            }
        }
    }
}

impl Shelf {
    /// The first version is 1; each next one is greater by one.
    fn append(&mut self, key: ValueKey, text: &str) -> Version {
        let versions = self.values.entry(key).or_default();
        versions.push(text.into());
        Version(versions.len() as u64)
    }

    fn find(&self, read: &Read) -> Found {
        if self.faults.down {
            return Found::Down;
        }
        let versions = self.values.get(&read.key).map_or(&[][..], Vec::as_slice);
        let newest = Version(versions.len() as u64).min(self.newest_shown(read));
        match newest.0.checked_sub(1).and_then(|index| versions.get(index as usize)) {
            None => Found::Missing,
            Some(_) if read.after.is_some_and(|after| newest <= after) => Found::Unchanged,
            Some(text) => Found::Value(newest, Arc::clone(text)),
        }
    }

    /// The newest version that this reader may see.
    fn newest_shown(&self, read: &Read) -> Version {
        match (self.faults.stale_at, &self.faults.stale_reader) {
            (Some(version), None) => version,
            (Some(version), reader) if *reader == read.reader => version,
            _ => Version(u64::MAX),
        }
    }

    /// Counts a call; false if it is one too many in this second.
    fn admit(&mut self, is_watch: bool) -> bool {
        self.calls.calls += 1;
        self.calls.watches += u64::from(is_watch);
        if self.second_began.elapsed() >= ONE_SECOND {
            self.second_began = Instant::now();
            self.reads_this_second = 0;
        }
        self.reads_this_second += 1;
        let limit = self.faults.reads_per_second.unwrap_or(u32::MAX);
        let is_admitted = self.reads_this_second <= limit;
        self.calls.refused += u64::from(!is_admitted);
        is_admitted
    }
}

struct ConfigService {
    state: Arc<ConfigState>,
}

/// What a request is for.
enum Endpoint {
    Read(ValueKey),
    Publish(ValueKey),
    Calls,
    Faults,
    SetFaults,
    Unknown,
}

impl Endpoint {
    fn of(req: &Request) -> Endpoint {
        let path = req.uri().path();
        match (req.method(), path, ValueKey::of_path(path)) {
            (&Method::GET, _, Some(key)) => Endpoint::Read(key),
            (&Method::PUT, _, Some(key)) => Endpoint::Publish(key),
            (&Method::GET, "/standin/calls", _) => Endpoint::Calls,
            (&Method::GET, "/standin/faults", _) => Endpoint::Faults,
            (&Method::POST, "/standin/faults", _) => Endpoint::SetFaults,
            _ => Endpoint::Unknown,
        }
    }
}

#[handler]
impl ConfigService {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match Endpoint::of(req) {
            Endpoint::Read(key) => self.read(key, req, res).await,
            Endpoint::Publish(key) => self.publish(key, req, res).await,
            Endpoint::Calls => write_json(res, StatusCode::OK, &lock(&self.state.shelf).calls),
            Endpoint::Faults => write_json(res, StatusCode::OK, &lock(&self.state.shelf).faults),
            Endpoint::SetFaults => self.set_faults(req, res).await,
            Endpoint::Unknown => {
                write_text(res, StatusCode::NOT_FOUND, "ask for base or overlay/<site>");
            }
        }
    }
}

impl ConfigService {
    async fn read(&self, key: ValueKey, req: &mut Request, res: &mut Response) {
        let after = req.query("after").map(Version);
        let wait_ms = Millis(req.query("wait_ms").unwrap_or(0));
        let reader = header(req, "x-reader").map(str::to_owned);
        let read = Read { key, reader, after, wait_ms };
        let is_admitted = lock(&self.state.shelf).admit(read.wait_ms > Millis::ZERO);
        let delay_ms = lock(&self.state.shelf).faults.delay_ms;
        sleep(Duration::from_millis(delay_ms.0)).await;
        if !is_admitted {
            set_header(res, "retry-after", "1");
            write_text(res, StatusCode::TOO_MANY_REQUESTS, "read less often");
            return;
        }
        match self.state.read(&read).await {
            Found::Value(version, text) => {
                set_header(res, "x-version", &version.to_string());
                write_body(res, StatusCode::OK, "application/json", text.as_ref().to_owned());
            }
            Found::Unchanged => {
                res.status_code(StatusCode::NOT_MODIFIED);
            }
            Found::Missing => write_text(res, StatusCode::NOT_FOUND, "never published"),
            Found::Down => close_connection(req).await,
        }
    }

    async fn publish(&self, key: ValueKey, req: &mut Request, res: &mut Response) {
        let declared_bytes: u64 = parsed_header(req, "content-length").unwrap_or(0);
        let result = match req.payload_with_max_size(MAX_VALUE_BYTES.0 as usize).await {
            Ok(body) => self.state.publish(key, body),
            Err(error) if declared_bytes <= MAX_VALUE_BYTES.0 => {
                return write_text(res, StatusCode::BAD_REQUEST, error.to_string());
            }
            Err(_) => Err(PublishError::TooLarge),
        };
        match result {
            Ok(version) => {
                set_header(res, "x-version", &version.to_string());
                write_text(res, StatusCode::OK, version.to_string());
            }
            Err(error @ PublishError::TooLarge) => {
                write_text(res, StatusCode::PAYLOAD_TOO_LARGE, error.to_string());
            }
            Err(error @ PublishError::NotText) => {
                write_text(res, StatusCode::BAD_REQUEST, error.to_string());
            }
        }
    }

    async fn set_faults(&self, req: &mut Request, res: &mut Response) {
        if let Some(faults) = read_json(req, res).await {
            self.state.set_faults(faults);
            write_text(res, StatusCode::OK, "set");
        }
    }
}
