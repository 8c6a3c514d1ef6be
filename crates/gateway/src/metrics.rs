//! What the process counts, as Prometheus reads it.

use dispatch::attempts::Cause;
use error_stack::{Report, ResultExt};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::fmt;
use std::time::Duration;

/// Bounds of the latency histogram, in seconds: around the objectives of 0.2 s to 1 s.
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

/// Instruments of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    latency: Histogram<f64>,
    sendings: Counter<u64>,
    repeats: Counter<u64>,
    asks: Counter<u64>,
    connections: Counter<u64>,
    source_calls: Gauge<u64>,
    peer_bytes: Counter<u64>,
    callers_gone: Counter<u64>,
    broken_off: Counter<u64>,
    picture_age: Gauge<f64>,
    log_lines_dropped: Gauge<u64>,
    open_requests: Gauge<u64>,
    quarantined: Gauge<u64>,
    evacuated_zones: Gauge<u64>,
    cold_upstreams: Gauge<u64>,
    limited_upstreams: Gauge<u64>,
    backing_off: Gauge<u64>,
    leaving_upstreams: Gauge<u64>,
    unread_marks: Gauge<u64>,
}

impl Metrics {
    /// Instruments that stand at zero.
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
        let picture_age = meter
            .f64_gauge("gateway_picture_age_seconds")
            .with_description("Age of what is believed to be published")
            .build();
        Ok(Metrics {
            answers: counter("gateway_answers", "Upstreams' answers passed on, by route and class"),
            refusals: counter("gateway_refusals", "Final answers of the host, by route and cause"),
            latency,
            sendings: counter("gateway_sendings", "Sendings to upstreams"),
            repeats: counter("gateway_repeats", "Sendings beyond a request's first"),
            asks: counter("gateway_health_checks", "Health checks sent to upstreams"),
            connections: counter("gateway_connections_opened", "Connections opened to upstreams"),
            source_calls: gauge("gateway_source_calls", "Calls to the source of what is published"),
            peer_bytes: counter("gateway_peer_bytes", "Bytes sent to peers"),
            callers_gone: counter("gateway_callers_gone", "Requests whose caller hung up"),
            broken_off: counter(
                "gateway_broken_off",
                "Requests that an upstream broke off, by whether it crashed",
            ),
            picture_age,
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
            unread_marks: gauge(
                "gateway_unread_marks",
                "Names of marks on upstreams' answers that nothing reads",
            ),
            registry,
            _provider: provider,
        })
    }

    /// An upstream's answer was passed on.
    pub fn response_forwarded(&self, route: &str, status: u16, after: Duration) {
        let class = KeyValue::new("class", i64::from(status / 100));
        let route = KeyValue::new("route", route.to_owned());
        self.latency.record(after.as_secs_f64(), std::slice::from_ref(&route));
        self.answers.add(1, &[route, class]);
    }

    /// The host gave a final answer of its own.
    pub fn request_refused(&self, route: &str, cause: Cause) {
        let cause = KeyValue::new("cause", cause.as_str());
        self.refusals.add(1, &[KeyValue::new("route", route.to_owned()), cause]);
    }

    /// A request left for an upstream.
    pub fn attempt_sent(&self, is_retry: bool) {
        self.sendings.add(1, &[]);
        if is_retry {
            self.repeats.add(1, &[]);
        }
    }

    /// A health check was sent.
    pub fn probe_sent(&self) {
        self.asks.add(1, &[]);
    }

    /// A connection to an upstream was opened.
    pub fn connection_opened(&self) {
        self.connections.add(1, &[]);
    }

    /// Bytes went to peers.
    pub fn peer_bytes_sent(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
    }

    /// A caller hung up.
    pub fn caller_hung_up(&self) {
        self.callers_gone.add(1, &[]);
    }

    /// An upstream broke off a request, and crashed or is still there.
    pub fn upstream_broke_off(&self, has_crashed: bool) {
        self.broken_off.add(1, &[KeyValue::new("has_crashed", has_crashed)]);
    }

    /// Notes what is only looked at when asked.
    pub fn record_state(&self, state: &StateFigures) {
        self.source_calls.record(state.source_calls, &[]);
        self.log_lines_dropped.record(state.log_lines_dropped, &[]);
        self.open_requests.record(state.open_requests, &[]);
        self.quarantined.record(state.quarantined, &[]);
        self.evacuated_zones.record(state.evacuated_zones, &[]);
        self.cold_upstreams.record(state.cold_upstreams, &[]);
        self.limited_upstreams.record(state.limited_upstreams, &[]);
        self.backing_off.record(state.backing_off, &[]);
        self.leaving_upstreams.record(state.leaving_upstreams, &[]);
        self.unread_marks.record(state.unread_marks, &[]);
        if let Some(age) = state.picture_age {
            self.picture_age.record(age.as_secs_f64(), &[]);
        }
    }

    /// Everything, as text.
    pub fn render(&self) -> String {
        // Text of gathered families can't fail but for a family without samples, which is none.
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// Figures that are noted when metrics are asked for.
#[derive(Debug, Clone, Copy)]
pub struct StateFigures {
    /// Calls to the source.
    pub source_calls: u64,
    /// Log lines dropped.
    pub log_lines_dropped: u64,
    /// Requests without a final answer.
    pub open_requests: u64,
    /// Requests that are held back.
    pub quarantined: u64,
    /// Availability zones that are evacuated.
    pub evacuated_zones: u64,
    /// Upstreams that are cold, or may be.
    pub cold_upstreams: u64,
    /// Upstreams that limit the requests that they take.
    pub limited_upstreams: u64,
    /// Upstreams that this host leaves alone, as they asked it to.
    pub backing_off: u64,
    /// Upstreams that said that they are leaving.
    pub leaving_upstreams: u64,
    /// Names of marks on upstreams' answers that nothing reads.
    pub unread_marks: u64,
    /// Age of the picture.
    pub picture_age: Option<Duration>,
}
