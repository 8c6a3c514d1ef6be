//! A small deployment: a store, instances of two services, and one entry host.

use crate::front::Front;
use crate::instance::{Instance, SLOTS};
use crate::record::Record;
use crate::store::Store;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// `Host` header of the routes.
pub const HOST: &str = "jepu9.example";

/// Instances of each service.
const INSTANCES: usize = 6;

/// A service with its only route.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// Name of the service and of the route.
    pub name: &'static str,
    /// `safe` or `unsafe`.
    pub kind: &'static str,
    /// Prefix of the route.
    pub prefix: &'static str,
    /// The route's `slo`.
    pub objective_ms: u64,
    /// The route's `timeout`.
    pub timeout_ms: u64,
    /// How long an instance works on a request.
    pub work_ms: u64,
}

/// The deployment. Dropping it ends the entry host.
pub struct Site {
    /// The entry host.
    pub front: Front,
    /// All instances.
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

impl Site {
    /// Starts all of it.
    pub fn start(root: &Path, services: &[Service], record: &Record) -> io::Result<Site> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (store, store_address) = Store::start(any)?;
        store.put("op/config", config(services));
        let mut instances = Vec::new();
        for service in services {
            for index in 0..INSTANCES {
                let id = format!("i-{}{index}", service.name);
                let work = Duration::from_millis(service.work_ms);
                let (instance, address) = Instance::start(&id, any, work, record)?;
                store.put(&format!("servers/{id}"), entry(service.name, address));
                instances.push(instance);
            }
        }
        let front = Front::start(root, &folder, machine_ip(), store_address)?;
        record.note(format!("the entry host is ready, and takes {} MB", front.memory_mb()));
        Ok(Site { front, instances, folder })
    }

    /// Runs of a request at all instances.
    pub fn runs_of(&self, id: &str) -> Vec<crate::instance::Run> {
        let runs = self.instances.iter().flat_map(Instance::runs);
        runs.filter(|run| run.id == id).collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.front.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address of the loopback network of its own, as metrics have a fixed port.
fn machine_ip() -> IpAddr {
    let id = std::process::id();
    let octet = |shift: u32| u8::try_from((id >> shift) % 200 + 20).unwrap_or(20);
    IpAddr::V4(Ipv4Addr::new(127, 60, octet(8), octet(0)))
}

fn config(services: &[Service]) -> String {
    let rules: Vec<String> = services.iter().map(rule).collect();
    let clusters: Vec<String> = services.iter().map(cluster).collect();
    let (rules, clusters) = (rules.join(","), clusters.join(","));
    format!(
        r#"{{"version":"00000007","limits":{{"headerBytes":16384,"bodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"listeners":[{{"host":"{HOST}","routeRules":[{rules}]}}],"clusters":[{clusters}]}}"#
    )
}

fn rule(service: &Service) -> String {
    let Service { name, kind, prefix, objective_ms, timeout_ms, .. } = service;
    format!(
        r#"{{"name":"r-{name}","kind":"{kind}","slo":"{objective_ms}ms","priority":1,"match":{{"prefix":"{prefix}"}},"action":{{"service":"{name}","timeout":"{timeout_ms}ms","attempts":2}}}}"#
    )
}

fn cluster(service: &Service) -> String {
    let name = service.name;
    format!(
        r#"{{"name":"{name}","healthPath":"/healthz","maxConns":260,"protocol":"h1","tls":false}}"#
    )
}

fn entry(service: &str, address: SocketAddr) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"kariakoo","version":"v1","maxConcurrency":{SLOTS},"state":"ready","warmupLeft":"0ms","sequence":1}}"#
    )
}
