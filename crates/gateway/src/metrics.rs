//! Metrics of the process, in the format of Prometheus.

use crate::event_log::RetryCharge;
use crate::memory::HeldFor;
use dispatch::attempts::Cause;
use dispatch::rejections::RejectionState;
use dispatch::scheduler::QueueFigures;
use domain::{ByteCount, ServiceName};
use error_stack::{Report, ResultExt};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::fmt;
use std::time::Duration;

/// Bucket bounds of the latency histogram in seconds, around the objectives of 0.2 s to 1 s.
const LATENCY_BOUNDS_S: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0];

/// The instruments could not be set up.
#[derive(Debug)]
pub struct MetricsError;

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the metrics can't be set up: report it, this is a fault of the program")
    }
}

impl std::error::Error for MetricsError {}

/// The instruments of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    responses: Counter<u64>,
    refusals: Counter<u64>,
    refusals_after_rejections: Counter<u64>,
    latency: Histogram<f64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    retries_denied: Counter<u64>,
    budget_hosts: Gauge<u64>,
    probes: Counter<u64>,
    connections: Counter<u64>,
    source_calls: Gauge<u64>,
    peer_bytes: Counter<u64>,
    tunnels_requested: Counter<u64>,
    open_tunnels: Gauge<u64>,
    links_down: Gauge<u64>,
    callers_hung_up: Counter<u64>,
    bodies_passed_on: Counter<u64>,
    broken_off: Counter<u64>,
    state_age: Gauge<f64>,
    log_lines_dropped: Gauge<u64>,
    open_requests: Gauge<u64>,
    quarantined: Gauge<u64>,
    evacuated_zones: Gauge<u64>,
    cold_upstreams: Gauge<u64>,
    excluded_upstreams: Gauge<u64>,
    unreached_upstreams: Gauge<u64>,
    upstream_silence: Gauge<f64>,
    limited_upstreams: Gauge<u64>,
    backing_off: Gauge<u64>,
    leaving_upstreams: Gauge<u64>,
    queued_work_ms: Gauge<u64>,
    reserved_slots: Gauge<u64>,
    unread_headers: Gauge<u64>,
    response_bytes: Gauge<u64>,
    held_bytes: Gauge<u64>,
    memory_bytes: Gauge<u64>,
    resident_bytes: Gauge<u64>,
}

impl Metrics {
    /// Instruments at zero.
    pub fn new() -> Result<Metrics, Report<MetricsError>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .change_context(MetricsError)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jujubedeal");
        let counter = |name, about| meter.u64_counter(name).with_description(about).build();
        let gauge = |name, about| meter.u64_gauge(name).with_description(about).build();
        let latency = meter
            .f64_histogram("gateway_answer_seconds")
            .with_boundaries(LATENCY_BOUNDS_S.to_vec())
            .with_description("Time from a request's arrival to its final answer")
            .build();
        let state_age = meter
            .f64_gauge("gateway_picture_age_seconds")
            .with_description("Age of what is believed to be published")
            .build();
        let upstream_silence = meter
            .f64_gauge("gateway_upstream_silence_seconds")
            .with_description("Time since any upstream responded to this host")
            .build();
        Ok(Metrics {
            upstream_silence,
            responses: counter(
                "gateway_answers",
                "Upstreams' answers passed on, by route and class",
            ),
            refusals: counter("gateway_refusals", "Final answers of the host, by route and cause"),
            refusals_after_rejections: counter(
                "gateway_refusals_after_rejections",
                "Refusals whose retry was timed by what upstreams rejected, by state",
            ),
            latency,
            attempts: counter("gateway_sendings", "Sendings to upstreams"),
            retries: counter(
                "gateway_repeats",
                "Sendings beyond a request's first, by service and whether they were charged",
            ),
            retries_denied: counter(
                "gateway_repeats_denied",
                "Requests that were not sent again, as no repeat was left, by service",
            ),
            budget_hosts: gauge(
                "gateway_budget_hosts",
                "Hosts by which the fixed part of the repeats is divided",
            ),
            probes: counter("gateway_health_checks", "Health checks sent to upstreams"),
            connections: counter("gateway_connections_opened", "Connections opened to upstreams"),
            source_calls: gauge("gateway_source_calls", "Calls to the source of what is published"),
            peer_bytes: counter("gateway_peer_bytes", "Bytes sent to peers"),
            tunnels_requested: counter(
                "gateway_tunnels_requested",
                "Connections to upstreams that peers were asked to open, by result",
            ),
            open_tunnels: gauge(
                "gateway_open_tunnels",
                "Connections to upstreams that this host keeps open for peers",
            ),
            links_down: gauge(
                "gateway_links_down",
                "Services of which peers reach upstreams and this host reaches none",
            ),
            bodies_passed_on: counter(
                "gateway_bodies_passed_on",
                "Bodies of requests that were passed on while they arrived",
            ),
            callers_hung_up: counter("gateway_callers_gone", "Requests whose caller hung up"),
            broken_off: counter(
                "gateway_broken_off",
                "Requests that an upstream broke off, by whether it crashed",
            ),
            state_age,
            log_lines_dropped: gauge("gateway_log_lines_dropped", "Log lines dropped"),
            open_requests: gauge("gateway_open_requests", "Requests without a final answer"),
            quarantined: gauge(
                "gateway_quarantined",
                "Requests that are held back, by fingerprint",
            ),
            evacuated_zones: gauge(
                "gateway_evacuated_zones",
                "Availability zones that are evacuated",
            ),
            cold_upstreams: gauge(
                "gateway_cold_upstreams",
                "Upstreams that are cold, or may be, as far as this host knows",
            ),
            excluded_upstreams: gauge(
                "gateway_excluded_upstreams",
                "Upstreams that this host, and its schedulers, leave out for a while",
            ),
            unreached_upstreams: gauge(
                "gateway_unreached_upstreams",
                "Upstreams that this host could not reach since any responded to it",
            ),
            limited_upstreams: gauge(
                "gateway_limited_upstreams",
                "Upstreams that limit the requests that they take from all hosts",
            ),
            backing_off: gauge(
                "gateway_backing_off",
                "Upstreams that this host leaves alone, as they asked it to",
            ),
            leaving_upstreams: gauge(
                "gateway_leaving_upstreams",
                "Upstreams that said in their answers that they are leaving",
            ),
            queued_work_ms: gauge(
                "gateway_queued_work_ms",
                "Sum of the service times of the requests that wait at this host's schedulers",
            ),
            reserved_slots: gauge(
                "gateway_reserved_slots",
                "Slots that this host's schedulers keep free for urgent requests",
            ),
            unread_headers: gauge(
                "gateway_unread_marks",
                "Names of marks on upstreams' answers that nothing reads",
            ),
            response_bytes: gauge("gateway_response_bytes", "Bytes held for upstreams' responses"),
            held_bytes: gauge("gateway_held_bytes", "Bytes held for others, by what for"),
            memory_bytes: gauge(
                "gateway_memory_bytes",
                "Memory of the host, as its settings state",
            ),
            resident_bytes: gauge(
                "gateway_resident_bytes",
                "Memory of the process that is resident",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Counts an upstream's response that was forwarded, and records its latency.
    pub fn response_forwarded(&self, route: &str, status: u16, after: Duration) {
        let class = KeyValue::new("class", i64::from(status / 100));
        let route = KeyValue::new("route", route.to_owned());
        self.latency.record(after.as_secs_f64(), std::slice::from_ref(&route));
        self.responses.add(1, &[route, class]);
    }

    /// Counts a request that the host refused.
    pub fn request_refused(&self, route: &str, cause: Cause) {
        let cause = KeyValue::new("cause", cause.as_str());
        self.refusals.add(1, &[KeyValue::new("route", route.to_owned()), cause]);
    }

    /// Counts a refusal whose retry was timed by what upstreams rejected.
    pub fn refused_after_rejections(&self, state: RejectionState) {
        self.refusals_after_rejections.add(1, &[KeyValue::new("state", state.as_str())]);
    }

    /// Counts an attempt that was sent to an upstream; a retry by its charge.
    pub fn attempt_sent(&self, service: &ServiceName, charge: Option<RetryCharge>) {
        self.attempts.add(1, &[]);
        if let Some(charge) = charge {
            let service = KeyValue::new("service", service.to_string());
            self.retries.add(1, &[service, KeyValue::new("charge", charge.as_str())]);
        }
    }

    /// Counts a request that was not retried, as no retry was left for its service.
    pub fn retry_denied(&self, service: &ServiceName) {
        self.retries_denied.add(1, &[KeyValue::new("service", service.to_string())]);
    }

    /// Counts a probe that was sent to an upstream.
    pub fn probe_sent(&self) {
        self.probes.add(1, &[]);
    }

    /// Counts a connection that was opened to an upstream.
    pub fn connection_opened(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts bytes that were sent to peers.
    pub fn peer_bytes_sent(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
    }

    /// Counts a connection that peers were asked to open.
    pub fn tunnel_requested(&self, result: TunnelResult) {
        self.tunnels_requested.add(1, &[KeyValue::new("result", result.as_str())]);
    }

    /// Counts a request whose caller disconnected.
    pub fn caller_hung_up(&self) {
        self.callers_hung_up.add(1, &[]);
    }

    /// Counts a body that is passed on while it arrives.
    pub fn body_passed_on(&self) {
        self.bodies_passed_on.add(1, &[]);
    }

    /// Counts an attempt whose connection broke, by whether the upstream crashed.
    pub fn upstream_broke_off(&self, has_crashed: bool) {
        self.broken_off.add(1, &[KeyValue::new("has_crashed", has_crashed)]);
    }

    /// Sets the gauges, which is done only when metrics are fetched.
    pub fn record_state(&self, state: &StateFigures) {
        self.source_calls.record(state.source_calls, &[]);
        self.budget_hosts.record(u64::from(state.budget_hosts), &[]);
        self.log_lines_dropped.record(state.log_lines_dropped, &[]);
        self.open_requests.record(state.open_requests, &[]);
        self.quarantined.record(state.quarantined, &[]);
        self.evacuated_zones.record(state.evacuated_zones, &[]);
        self.cold_upstreams.record(state.cold_upstreams, &[]);
        self.excluded_upstreams.record(state.excluded_upstreams, &[]);
        self.unreached_upstreams.record(state.unreached_upstreams, &[]);
        self.links_down.record(state.links_down, &[]);
        self.open_tunnels.record(state.open_tunnels, &[]);
        self.limited_upstreams.record(state.limited_upstreams, &[]);
        self.backing_off.record(state.backing_off, &[]);
        self.leaving_upstreams.record(state.leaving_upstreams, &[]);
        self.queued_work_ms.record(state.queue.work_ms.0, &[]);
        self.reserved_slots.record(u64::from(state.queue.reserved_slots), &[]);
        self.unread_headers.record(state.unread_headers, &[]);
        self.response_bytes.record(state.held_bytes[HeldFor::Responses as usize], &[]);
        for (held_for, bytes) in HeldFor::ALL.into_iter().zip(state.held_bytes) {
            self.held_bytes.record(bytes, &[KeyValue::new("for", held_for.as_str())]);
        }
        if let Some(bytes) = state.memory_bytes {
            self.memory_bytes.record(bytes.0, &[]);
        }
        if let Some(bytes) = state.resident_bytes {
            self.resident_bytes.record(bytes.0, &[]);
        }
        if let Some(silence) = state.upstream_silence {
            self.upstream_silence.record(silence.as_secs_f64(), &[]);
        }
        if let Some(age) = state.state_age {
            self.state_age.record(age.as_secs_f64(), &[]);
        }
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        // Encoding fails only for a metric family without samples, and none is gathered.
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// What became of a request for a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelResult {
    /// A peer opened it.
    Opened,
    /// A peer couldn't reach the upstream either.
    Unreachable,
    /// No peer could help.
    NoRelay,
}

impl TunnelResult {
    fn as_str(self) -> &'static str {
        match self {
            TunnelResult::Opened => "opened",
            TunnelResult::Unreachable => "unreachable",
            TunnelResult::NoRelay => "no-relay",
        }
    }
}

/// The values of the gauges.
#[derive(Debug, Clone, Copy)]
pub struct StateFigures {
    /// Calls to the source.
    pub source_calls: u64,
    /// Hosts by which the fixed part of the retries is divided.
    pub budget_hosts: u32,
    /// Log lines dropped.
    pub log_lines_dropped: u64,
    /// Requests without a final response.
    pub open_requests: u64,
    /// Requests in quarantine.
    pub quarantined: u64,
    /// Availability zones that are evacuated.
    pub evacuated_zones: u64,
    /// Upstreams that are cold, or may be.
    pub cold_upstreams: u64,
    /// Upstreams that are left out after they could not be reached.
    pub excluded_upstreams: u64,
    /// Upstreams that could not be reached since any responded.
    pub unreached_upstreams: u64,
    /// Time since any upstream responded.
    pub upstream_silence: Option<Duration>,
    /// Services to which this host's links are down.
    pub links_down: u64,
    /// Tunnels that it serves to peers.
    pub open_tunnels: u64,
    /// Upstreams that state a rate limit.
    pub limited_upstreams: u64,
    /// Upstreams that asked this host to back off.
    pub backing_off: u64,
    /// Upstreams that state that they are leaving.
    pub leaving_upstreams: u64,
    /// What waits at this host's schedulers.
    pub queue: QueueFigures,
    /// Names of headers of upstreams' responses that nothing reads.
    pub unread_headers: u64,
    /// Bytes held for others, in the order of [`HeldFor::ALL`].
    pub held_bytes: [u64; HeldFor::ALL.len()],
    /// Memory of the host; none if it isn't stated.
    pub memory_bytes: Option<ByteCount>,
    /// Memory of the process that is resident.
    pub resident_bytes: Option<ByteCount>,
    /// Age of the published state, as this host knows it.
    pub state_age: Option<Duration>,
}
