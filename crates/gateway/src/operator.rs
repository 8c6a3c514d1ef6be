//! Readiness for the platform, and metrics and state for operators.

use crate::host::{ACCEPT_PAUSE, Host};
use crate::http1::{RequestHead, ResponseWriter, read_request};
use crate::metrics::StateFigures;
use crate::quarantine;
use dispatch::Warmth;
use dispatch::quarantine::SuspectDump;
use domain::{Millis, PerSecond, RequestFingerprint, ZoneName};
use published::{Eligibility, Entry, PublishedState, Revision, Upstream};
use serde::Serialize;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest head of a question.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Time within which the next question on a connection has to come.
const IDLE: Duration = Duration::from_secs(20);

/// Path under which a request's quarantine is lifted, before its fingerprint.
const LIFT_PATH: &str = "/quarantine/lift/";

/// What a listener answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// The platform: readiness only.
    Platform,
    /// Operators: readiness, `/metrics`, `/state`, and lifting a quarantine.
    Operators,
}

/// State of the process, on request.
#[derive(Debug, Serialize)]
struct StateDump {
    host: String,
    is_ready: bool,
    /// Only some upstreams are known yet.
    is_partial: bool,
    is_stopping: bool,
    open_requests: usize,
    hosts: u32,
    routing_version: Option<String>,
    evacuated_zones: Vec<EvacuationDump>,
    revision: Revision,
    picture_age_ms: Option<Millis>,
    idle_connections: usize,
    /// Requests that upstreams crashed under, those that are held back first.
    quarantine: Vec<SuspectDump>,
    upstreams: Vec<UpstreamDump>,
}

/// A zone that is evacuated, and the change that says so.
#[derive(Debug, Serialize)]
struct EvacuationDump {
    zone: ZoneName,
    revision: Revision,
    /// Upstreams there that get nothing new for it.
    upstreams: usize,
}

#[derive(Debug, Serialize)]
struct UpstreamDump {
    #[serde(flatten)]
    entry: Entry<Arc<Upstream>>,
    open: u32,
    failure_share: f64,
    slowness: f64,
    is_avoided: bool,
    /// Whether it may get new requests, and why not.
    eligibility: Eligibility,
    warmth: Warmth,
    /// For so long this host leaves it alone, as it was asked to.
    backs_off_ms: Option<Millis>,
    /// Requests a second that it takes from all hosts; none if it takes what comes.
    rate_limit: Option<RateLimitDump>,
}

/// A rate of the whole fleet, and for how long it has held.
#[derive(Debug, Serialize)]
struct RateLimitDump {
    per_s: PerSecond,
    age_ms: Millis,
}

/// Answers questions; never ends.
pub async fn listen(host: Rc<Host>, listener: TcpListener, audience: Audience) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let host = Rc::clone(&host);
                tokio::task::spawn_local(async move {
                    // Whoever asked and is gone asks again.
                    let _ = answer_all(&host, stream, audience).await;
                });
            }
            Err(_) => clock::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn answer_all(host: &Host, mut stream: TcpStream, audience: Audience) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        match read_request(&mut buffer, MAX_HEAD_BYTES) {
            Ok(Some(head)) => {
                let bytes = answer(host, &head, audience, !head.keeps_alive);
                stream.write_all(&bytes).await?;
                if !head.keeps_alive {
                    return stream.shutdown().await;
                }
            }
            Ok(None) => {
                let reading = stream.read_buf(&mut buffer);
                match clock::timeout(IDLE, reading).await {
                    Ok(Ok(read)) if read > 0 => {}
                    _ => return Ok(()),
                }
            }
            Err(_) => return Ok(()),
        }
    }
}

fn answer(host: &Host, head: &RequestHead, audience: Audience, closes: bool) -> Vec<u8> {
    let lifted = match head.method.as_str() {
        "POST" if audience == Audience::Operators => head.path().strip_prefix(LIFT_PATH),
        _ => None,
    };
    let (status, kind, body) = match head.path() {
        path if path == host.dialect.ready_path => readiness(host),
        "/metrics" if audience == Audience::Operators => metrics(host),
        "/state" if audience == Audience::Operators => state(host),
        _ => match lifted {
            Some(fingerprint) => lift(host, fingerprint),
            None => (404, "text/plain", "nothing here\n".to_owned()),
        },
    };
    let writer = ResponseWriter::new(status).field("content-type", kind.as_bytes());
    writer.body(status, body.as_bytes(), closes)
}

fn readiness(host: &Host) -> (u16, &'static str, String) {
    match host.is_ready() {
        true => (200, "text/plain", "ready\n".to_owned()),
        false if host.is_stopping() => (503, "text/plain", "stopping\n".to_owned()),
        false => (503, "text/plain", "no routing is known yet\n".to_owned()),
    }
}

/// Lifts the quarantine of a request, on all hosts.
fn lift(host: &Host, fingerprint: &str) -> (u16, &'static str, String) {
    match fingerprint.parse::<RequestFingerprint>().map(|it| quarantine::lift(host, it)) {
        Ok(true) => (200, "text/plain", "lifted on all hosts\n".to_owned()),
        Ok(false) => (404, "text/plain", format!("nothing is held against {fingerprint}\n")),
        Err(e) => (400, "text/plain", format!("{e}: give the 32 digits that /state shows\n")),
    }
}

fn metrics(host: &Host) -> (u16, &'static str, String) {
    host.metrics.record_state(&StateFigures {
        source_calls: host.source_calls.get(),
        log_lines_dropped: host.log.dropped(),
        open_requests: host.open_requests.get() as u64,
        quarantined: host.quarantine.borrow().count_held(host.now_ms()) as u64,
        evacuated_zones: host.published_state().evacuations().in_force().count() as u64,
        cold_upstreams: host.upstreams.borrow().count_cold(host.now_ms()) as u64,
        limited_upstreams: host.upstreams.borrow().backpressure().count_limited() as u64,
        backing_off: host
            .upstreams
            .borrow()
            .backpressure()
            .upstreams_in_backoff(host.now_ms())
            .count() as u64,
        leaving_upstreams: host.upstreams.borrow().backpressure().count_leaving() as u64,
        unread_marks: host.unread_headers.borrow().count_names() as u64,
        picture_age: host.state_age_ms().map(crate::host::to_duration),
    });
    (200, "text/plain; version=0.0.4", host.metrics.render())
}

fn evacuated_zones(picture: &PublishedState) -> Vec<EvacuationDump> {
    let dump = |(zone, revision): (&ZoneName, Revision)| EvacuationDump {
        zone: zone.clone(),
        revision,
        upstreams: picture.upstreams_in(zone),
    };
    picture.evacuations().in_force().map(dump).collect()
}

fn state(host: &Host) -> (u16, &'static str, String) {
    let now_ms = host.now_ms();
    let picture = host.published_state();
    let upstreams = host.upstreams.borrow();
    let dump_upstream = |entry: &Entry<Arc<Upstream>>| {
        let known = upstreams.get(&entry.value.id)?;
        Some(UpstreamDump {
            entry: entry.clone(),
            open: known.in_flight(),
            failure_share: known.failure_rate(now_ms),
            slowness: known.slowness(now_ms, upstreams.load(&entry.value.service)),
            is_avoided: known.is_excluded(now_ms),
            eligibility: known.eligibility,
            warmth: known.warmth(now_ms),
            backs_off_ms: upstreams.remaining_backoff(now_ms, &entry.value.id),
            rate_limit: upstreams.fleet_rate(now_ms, &entry.value.id).map(|limit| RateLimitDump {
                per_s: limit.rate,
                age_ms: now_ms.since(limit.since_ms),
            }),
        })
    };
    let dump = StateDump {
        host: host.settings.borrow().host.to_string(),
        is_ready: host.is_ready(),
        is_partial: host.is_partial(),
        is_stopping: host.is_stopping(),
        open_requests: host.open_requests.get(),
        hosts: host.host_count(),
        evacuated_zones: evacuated_zones(&picture),
        routing_version: picture.routing().map(|entry| entry.value.version.to_string()),
        revision: picture.revision(),
        picture_age_ms: picture.age_ms(now_ms),
        idle_connections: host.pool.borrow().len(),
        quarantine: host.quarantine.borrow().dump(now_ms),
        upstreams: picture.upstreams().filter_map(dump_upstream).collect(),
    };
    match serde_json::to_string_pretty(&dump) {
        Ok(text) => (200, "application/json", text),
        Err(e) => (500, "text/plain", format!("the state can't be written: {e}\n")),
    }
}
