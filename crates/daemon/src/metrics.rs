//! What the process counts, as Prometheus reads it.

use crate::error::StartError;
use decision_core::{AttemptEnd, FailureStage, RunOutcome};
use error_stack::{Report, ResultExt};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::time::Duration;

/// Instruments of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    calls: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    probes: Counter<u64>,
    control_bytes: Counter<u64>,
    call_bytes: Counter<u64>,
    peer_messages_refused: Counter<u64>,
    peer_messages_dropped: Counter<u64>,
    platform_reads: Counter<u64>,
    call_duration: Histogram<f64>,
}

/// How a call ended, for the counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// An upstream's answer was passed on.
    Answered,
    /// Refused; surely not run.
    NotRun,
    /// Refused; it ran.
    Run,
    /// Refused; it may have run.
    Unknown,
    /// The caller hung up first.
    CallerGone,
}

impl CallOutcome {
    fn label(self) -> &'static str {
        match self {
            CallOutcome::Answered => "answered",
            CallOutcome::NotRun => "not-run",
            CallOutcome::Run => "run",
            CallOutcome::Unknown => "unknown",
            CallOutcome::CallerGone => "caller-gone",
        }
    }
}

impl From<RunOutcome> for CallOutcome {
    fn from(outcome: RunOutcome) -> CallOutcome {
        match outcome {
            RunOutcome::Run => CallOutcome::Run,
            RunOutcome::NotRun => CallOutcome::NotRun,
            RunOutcome::Unknown => CallOutcome::Unknown,
        }
    }
}

/// Which way bytes went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From peers.
    In,
    /// To peers.
    Out,
}

impl Direction {
    fn label(self) -> KeyValue {
        let direction = match self {
            Direction::In => "in",
            Direction::Out => "out",
        };
        KeyValue::new("direction", direction)
    }
}

/// Borders of the latency buckets, in milliseconds.
const DURATION_BORDERS_MS: [f64; 14] =
    [0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, 2000.0, 5000.0, 10000.0];

impl Metrics {
    /// All counters at zero.
    ///
    /// # Errors
    ///
    /// If the exporter can't be registered.
    pub fn new() -> Result<Metrics, Report<StartError>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .change_context(StartError::Machine { what: "a metrics exporter" })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jujubedeal");
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        Ok(Metrics {
            calls: counter("jujubedeal_calls", "Calls by how they ended"),
            refusals: counter("jujubedeal_refusals", "The entry host's own answers by cause"),
            attempts: counter("jujubedeal_attempts", "Sendings by how they ended"),
            probes: counter("jujubedeal_probes", "Health requests to upstreams"),
            control_bytes: counter(
                "jujubedeal_control_bytes",
                "Bytes of peer messages, but for those that go with single calls",
            ),
            call_bytes: counter(
                "jujubedeal_call_bytes",
                "Bytes of peer messages that go with single calls: claims of keys",
            ),
            peer_messages_refused: counter(
                "jujubedeal_peer_messages_refused",
                "Peer messages refused by cause",
            ),
            peer_messages_dropped: counter(
                "jujubedeal_peer_messages_dropped",
                "Peer messages dropped because the peer is slow or out of reach",
            ),
            platform_reads: counter(
                "jujubedeal_platform_reads",
                "Reads of the configuration service and the host list",
            ),
            call_duration: meter
                .f64_histogram("jujubedeal_call_duration_ms")
                .with_description("Time from a call's arrival to its answer's head")
                .with_boundaries(DURATION_BORDERS_MS.to_vec())
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// A call ended.
    pub fn call(&self, outcome: CallOutcome, took: Duration) {
        self.calls.add(1, &[KeyValue::new("outcome", outcome.label())]);
        self.call_duration.record(took.as_secs_f64() * 1000.0, &[]);
    }

    /// The entry host answered itself.
    pub fn refusal(&self, cause: String) {
        self.refusals.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// An attempt ended.
    pub fn attempt(&self, end: AttemptEnd) {
        self.attempts.add(1, &[KeyValue::new("end", end_label(end))]);
    }

    /// A probe goes out.
    pub fn probe(&self) {
        self.probes.add(1, &[]);
    }

    /// Peer messages of control travelled.
    pub fn control_bytes(&self, direction: Direction, bytes: usize) {
        self.control_bytes.add(bytes as u64, &[direction.label()]);
    }

    /// Peer messages travelled that go with single calls.
    pub fn call_bytes(&self, direction: Direction, bytes: usize) {
        self.call_bytes.add(bytes as u64, &[direction.label()]);
    }

    /// A peer message was refused.
    pub fn peer_message_refused(&self, cause: &'static str) {
        self.peer_messages_refused.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Peer messages were dropped.
    pub fn peer_messages_dropped(&self, count: usize) {
        self.peer_messages_dropped.add(count as u64, &[]);
    }

    /// The platform is read.
    pub fn platform_read(&self) {
        self.platform_reads.add(1, &[]);
    }

    /// Everything as Prometheus text.
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

fn end_label(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Completed => "completed",
        AttemptEnd::Failed { stage: FailureStage::BeforeSending } => "failed-before-sending",
        AttemptEnd::Failed { stage: FailureStage::AfterSending } => "failed-after-sending",
        AttemptEnd::Failed { stage: FailureStage::TimedOut } => "timed-out",
        AttemptEnd::Failed { stage: FailureStage::AnswerCut } => "answer-cut",
        AttemptEnd::Cancelled { unsent: true } => "cancelled-unsent",
        AttemptEnd::Cancelled { unsent: false } => "cancelled",
    }
}
