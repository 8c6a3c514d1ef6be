//! Serves readiness checks to the platform, and metrics and the state dump to operators.

use crate::host::{ACCEPT_PAUSE, Host};
use crate::http1::{BodyProgress, BodyReader, Framing, RequestHead, ResponseWriter, read_request};
use crate::memory::{self, HeldFor};
use crate::metrics::StateFigures;
use crate::quarantine;
use dispatch::Warmth;
use dispatch::quarantine::SuspectDump;
use dispatch::quota::QuotaDump;
use domain::{Millis, PerSecond, RequestFingerprint, ZoneName};
use published::{Eligibility, Entry, PublishedState, Revision, Upstream};
use serde::Serialize;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Largest body of a request. No request needs one, but clients may send it, and it must not be
/// taken for the next request.
const MAX_BODY_BYTES: usize = 8 * 1024;

/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Prefix of the path that lifts a request's quarantine; the fingerprint follows.
const LIFT_PATH: &str = "/quarantine/lift/";

/// Who a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// The platform: readiness only.
    Platform,
    /// Operators: readiness, `/metrics`, `/state`, and lifting a quarantine.
    Operators,
}

/// State of the process, which `/state` shows under these field names.
#[derive(Debug, Serialize)]
struct StateDump {
    host: String,
    is_ready: bool,
    /// Buckets of the quotas that this host owns.
    quotas: Vec<QuotaDump>,
    /// Part of the fleet that it reaches, as the owner of a quota.
    quota_reach: f64,
    /// Whether only some upstreams are known yet.
    is_partial: bool,
    is_stopping: bool,
    open_requests: usize,
    hosts: u32,
    routing_version: Option<String>,
    evacuated_zones: Vec<EvacuationDump>,
    revision: Revision,
    picture_age_ms: Option<Millis>,
    idle_connections: usize,
    /// Requests that crashed upstreams, quarantined ones first.
    quarantine: Vec<SuspectDump>,
    upstreams: Vec<UpstreamDump>,
}

/// A zone that is evacuated, and the revision at which that was published.
#[derive(Debug, Serialize)]
struct EvacuationDump {
    zone: ZoneName,
    revision: Revision,
    /// Number of upstreams in the zone, which get no new requests.
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
    /// Whether it may get new requests, or why not.
    eligibility: Eligibility,
    warmth: Warmth,
    /// Time for which this host still backs off, as the upstream asked it to.
    backs_off_ms: Option<Millis>,
    /// Limit on the rate of requests from all hosts, if the upstream stated one.
    rate_limit: Option<RateLimitDump>,
}

/// A rate limit that applies to the whole fleet, and since when.
#[derive(Debug, Serialize)]
struct RateLimitDump {
    per_s: PerSecond,
    age_ms: Millis,
}

/// Accepts connections and serves them. Never returns.
pub async fn listen(host: Rc<Host>, listener: TcpListener, audience: Audience) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let host = Rc::clone(&host);
                tokio::task::spawn_local(async move {
                    // After an error the client connects again.
                    let _ = serve_connection(&host, stream, audience).await;
                });
            }
            Err(_) => clock::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(
    host: &Host,
    mut stream: TcpStream,
    audience: Audience,
) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        match read_request(&mut buffer, MAX_HEAD_BYTES) {
            Ok(Some(head)) => {
                let body = read_body(&mut stream, &mut buffer, head.framing).await?;
                let (response, should_close) = match body {
                    BodyProgress::Whole => (respond(host, &head, audience), !head.keeps_alive),
                    BodyProgress::TooLarge => (body_too_large(), true),
                    // The client is gone, and may have meant to send another request.
                    BodyProgress::Partial => return Ok(()),
                };
                stream.write_all(&render(&head, &response, should_close)).await?;
                if should_close {
                    return stream.shutdown().await;
                }
            }
            Ok(None) => {
                if !read_more(&mut stream, &mut buffer).await? {
                    return Ok(());
                }
            }
            Err(_) => return Ok(()),
        }
    }
}

/// Reads and drops a request's body; `Partial` if the client stops sending it.
async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    framing: Framing,
) -> std::io::Result<BodyProgress> {
    let mut body = BodyReader::new(framing, MAX_BODY_BYTES);
    loop {
        let progress = body.read_from(buffer).map_err(|_| ErrorKind::InvalidData)?;
        if progress != BodyProgress::Partial || !read_more(stream, buffer).await? {
            return Ok(progress);
        }
    }
}

/// Reads more bytes; false at the end of the connection, or if it is idle for too long.
async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<bool> {
    match clock::timeout(IDLE_TIMEOUT, stream.read_buf(buffer)).await {
        Ok(read) => Ok(read? > 0),
        Err(_) => Ok(false),
    }
}

/// A response before it is serialized.
struct Response {
    status: u16,
    content_type: &'static str,
    body: String,
}

impl Response {
    fn text(status: u16, body: String) -> Response {
        Response { status, content_type: "text/plain", body }
    }
}

fn body_too_large() -> Response {
    let text = format!("no request here needs a body: send at most {MAX_BODY_BYTES} bytes\n");
    Response::text(413, text)
}

fn render(head: &RequestHead, response: &Response, should_close: bool) -> Vec<u8> {
    let Response { status, content_type, body } = response;
    let writer = ResponseWriter::new(*status).field("content-type", content_type.as_bytes());
    match head.method == "HEAD" {
        true => writer.no_body(Some(body.len().to_string().as_bytes()), should_close),
        false => writer.body(*status, body.as_bytes(), should_close),
    }
}

fn respond(host: &Host, head: &RequestHead, audience: Audience) -> Response {
    let fingerprint_to_lift = match head.method.as_str() {
        "POST" if audience == Audience::Operators => head.path().strip_prefix(LIFT_PATH),
        _ => None,
    };
    match head.path() {
        path if path == host.dialect.ready_path => readiness(host),
        "/metrics" if audience == Audience::Operators => metrics(host),
        "/state" if audience == Audience::Operators => state(host),
        _ => match fingerprint_to_lift {
            Some(fingerprint) => lift(host, fingerprint),
            None => Response::text(404, "nothing here\n".to_owned()),
        },
    }
}

fn readiness(host: &Host) -> Response {
    match host.is_ready() {
        true => Response::text(200, "ready\n".to_owned()),
        false if host.is_stopping() => Response::text(503, "stopping\n".to_owned()),
        false => Response::text(503, "no routing is known yet\n".to_owned()),
    }
}

/// Lifts the quarantine of a request, on all hosts.
fn lift(host: &Host, fingerprint: &str) -> Response {
    match fingerprint.parse::<RequestFingerprint>().map(|it| quarantine::lift(host, it)) {
        Ok(true) => Response::text(200, "lifted on all hosts\n".to_owned()),
        Ok(false) => Response::text(404, format!("nothing is held against {fingerprint}\n")),
        Err(e) => Response::text(400, format!("{e}: give the 32 digits that /state shows\n")),
    }
}

fn metrics(host: &Host) -> Response {
    host.metrics.record_state(&StateFigures {
        source_calls: host.source_calls.get(),
        budget_hosts: host.sharing_hosts().unwrap_or(0),
        log_lines_dropped: host.log.dropped(),
        open_requests: host.open_requests.get() as u64,
        quarantined: host.quarantine.borrow().count_held(host.now_ms()) as u64,
        evacuated_zones: host.published_state().evacuations().in_force().count() as u64,
        cold_upstreams: host.upstreams.borrow().count_cold(host.now_ms()) as u64,
        excluded_upstreams: host.upstreams.borrow().count_excluded(host.now_ms()) as u64,
        unreached_upstreams: host.links.borrow().unreached_count() as u64,
        upstream_silence: host
            .links
            .borrow()
            .silence_ms(host.now_ms())
            .map(crate::host::to_duration),
        links_down: host.links.borrow().down_count() as u64,
        open_tunnels: host.open_tunnels.get() as u64,
        limited_upstreams: host.upstreams.borrow().backpressure().count_limited() as u64,
        backing_off: host
            .upstreams
            .borrow()
            .backpressure()
            .upstreams_in_backoff(host.now_ms())
            .count() as u64,
        leaving_upstreams: host.upstreams.borrow().backpressure().count_leaving() as u64,
        queue: host.placement.schedulers.borrow().queue_figures(),
        unread_headers: host.unread_headers.borrow().count_names() as u64,
        held_bytes: HeldFor::ALL.map(|held_for| host.memory.held_bytes(held_for) as u64),
        memory_bytes: host.memory.limit_bytes(),
        resident_bytes: memory::resident_bytes(),
        state_age: host.state_age_ms().map(crate::host::to_duration),
    });
    Response { status: 200, content_type: "text/plain; version=0.0.4", body: host.metrics.render() }
}

fn evacuated_zones(published: &PublishedState) -> Vec<EvacuationDump> {
    let dump = |(zone, revision): (&ZoneName, Revision)| EvacuationDump {
        zone: zone.clone(),
        revision,
        upstreams: published.upstreams_in(zone),
    };
    published.evacuations().in_force().map(dump).collect()
}

fn state(host: &Host) -> Response {
    let now_ms = host.now_ms();
    let published = host.published_state();
    let upstreams = host.upstreams.borrow();
    let dump_upstream = |entry: &Entry<Arc<Upstream>>| {
        let state = upstreams.get(&entry.value.id)?;
        Some(UpstreamDump {
            entry: entry.clone(),
            open: state.in_flight(),
            failure_share: state.failure_rate(now_ms),
            slowness: state.slowness(now_ms, upstreams.load(&entry.value.service)),
            is_avoided: state.is_excluded(now_ms),
            eligibility: state.eligibility,
            warmth: state.warmth(now_ms),
            backs_off_ms: upstreams.remaining_backoff(now_ms, &entry.value.id),
            rate_limit: upstreams.fleet_rate(now_ms, &entry.value.id).map(|limit| RateLimitDump {
                per_s: limit.rate,
                age_ms: now_ms.since(limit.since_ms),
            }),
        })
    };
    let dump = StateDump {
        host: host.settings.borrow().host.to_string(),
        quotas: host.quotas.dump(now_ms),
        quota_reach: host.quotas.reach(host.host_count(), host.fleet_size().hosts),
        is_ready: host.is_ready(),
        is_partial: host.is_partial(),
        is_stopping: host.is_stopping(),
        open_requests: host.open_requests.get(),
        hosts: host.host_count(),
        evacuated_zones: evacuated_zones(&published),
        routing_version: published.routing().map(|entry| entry.value.version.to_string()),
        revision: published.revision(),
        picture_age_ms: published.age_ms(now_ms),
        idle_connections: host.pool.borrow().len(),
        quarantine: host.quarantine.borrow().dump(now_ms),
        upstreams: published.upstreams().filter_map(dump_upstream).collect(),
    };
    match serde_json::to_string_pretty(&dump) {
        Ok(body) => Response { status: 200, content_type: "application/json", body },
        Err(e) => Response::text(500, format!("the state can't be written: {e}\n")),
    }
}
