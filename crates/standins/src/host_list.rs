//! The platform's list of entry hosts, which may lag behind what was written to it.

use crate::history::History;
use crate::server::{
    Running, StartError, close_connection, lock, read_json, write_json, write_text,
};
use clap::Args;
use decision_core::{HostList, ListedHost};
use domain::{Millis, SiteName, Version};
use error_stack::Report;
use salvo::handler;
use salvo::http::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

const HOSTS_PREFIX: &str = "/v1/hosts/";

/// What the host list is told at its start.
#[derive(Debug, Clone, Args)]
pub struct HostListSettings {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
}

/// Faults of the host list; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListFaults {
    /// Closes the connection of every reader without an answer.
    pub down: bool,
    /// Serves each list as it was this long ago.
    pub lag_ms: Millis,
}

/// What replaces a site's list; the version that it may carry is not looked at.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Replacement {
    #[serde(default, rename = "version")]
    _version: Version,
    hosts: Vec<ListedHost>,
}

/// Starts the host list.
///
/// # Errors
///
/// [`StartError::Listen`] if the address can't be listened on.
pub async fn start(settings: HostListSettings) -> Result<HostListHandle, Report<StartError>> {
    let state = Arc::new(ListState::new());
    let service = ListService { state: Arc::clone(&state) };
    let running = Running::start(settings.listen, service, || true)?;
    Ok(HostListHandle { address: running.address, state, _running: running })
}

/// A running host list; dropping it cuts every connection.
#[derive(Debug)]
pub struct HostListHandle {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<ListState>,
    _running: Running,
}

impl HostListHandle {
    /// Replaces a site's list and gives its version.
    pub fn replace(&self, site: SiteName, hosts: Vec<ListedHost>) -> Version {
        self.state.replace(site, hosts)
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: HostListFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Reads of lists so far, failed ones included.
    pub fn reads(&self) -> u64 {
        *lock(&self.state.reads)
    }
}

#[derive(Debug)]
struct ListState {
    started: Instant,
    sites: Mutex<BTreeMap<SiteName, History<Option<HostList>>>>,
    faults: Mutex<HostListFaults>,
    reads: Mutex<u64>,
}

impl ListState {
    fn new() -> ListState {
        ListState {
            started: Instant::now(),
            sites: Mutex::default(),
            faults: Mutex::default(),
            reads: Mutex::default(),
        }
    }

    fn replace(&self, site: SiteName, hosts: Vec<ListedHost>) -> Version {
        let mut sites = lock(&self.sites);
        let history = sites.entry(site).or_insert_with(|| History::new(self.started, None));
        let now = Instant::now();
        let newest = history.as_of(now, Millis::ZERO).as_ref();
        let version = Version(newest.map_or(0, |list| list.version.0) + 1);
        history.record(now, Some(HostList { version, hosts }));
        version
    }

    fn list(&self, site: &SiteName, lag_ms: Millis) -> Option<HostList> {
        lock(&self.sites).get(site)?.as_of(Instant::now(), lag_ms).clone()
    }
}

struct ListService {
    state: Arc<ListState>,
}

/// What a request is for.
enum Endpoint {
    Read(SiteName),
    Replace(SiteName),
    Faults,
    SetFaults,
    Unknown,
}

impl Endpoint {
    fn of(req: &Request) -> Endpoint {
        let path = req.uri().path();
        let site = path.strip_prefix(HOSTS_PREFIX).and_then(|site| site.parse().ok());
        match (req.method(), path, site) {
            (&Method::GET, _, Some(site)) => Endpoint::Read(site),
            (&Method::PUT, _, Some(site)) => Endpoint::Replace(site),
            (&Method::GET, "/standin/faults", _) => Endpoint::Faults,
            (&Method::POST, "/standin/faults", _) => Endpoint::SetFaults,
            _ => Endpoint::Unknown,
        }
    }
}

#[handler]
impl ListService {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match Endpoint::of(req) {
            Endpoint::Read(site) => self.read(&site, req, res).await,
            Endpoint::Replace(site) => self.replace(site, req, res).await,
            Endpoint::Faults => write_json(res, StatusCode::OK, &*lock(&self.state.faults)),
            Endpoint::SetFaults => self.set_faults(req, res).await,
            Endpoint::Unknown => {
                write_text(res, StatusCode::NOT_FOUND, "ask for /v1/hosts/<site>");
            }
        }
    }
}

impl ListService {
    async fn read(&self, site: &SiteName, req: &Request, res: &mut Response) {
        *lock(&self.state.reads) += 1;
        let faults = lock(&self.state.faults).clone();
        if faults.down {
            return close_connection(req).await;
        }
        match self.state.list(site, faults.lag_ms) {
            Some(list) => write_json(res, StatusCode::OK, &list),
            None => write_text(res, StatusCode::NOT_FOUND, "no list of this site yet"),
        }
    }

    async fn replace(&self, site: SiteName, req: &mut Request, res: &mut Response) {
        if let Some(Replacement { hosts, .. }) = read_json(req, res).await {
            let version = self.state.replace(site, hosts);
            write_text(res, StatusCode::OK, version.to_string());
        }
    }

    async fn set_faults(&self, req: &mut Request, res: &mut Response) {
        if let Some(faults) = read_json(req, res).await {
            *lock(&self.state.faults) = faults;
            write_text(res, StatusCode::OK, "set");
        }
    }
}
