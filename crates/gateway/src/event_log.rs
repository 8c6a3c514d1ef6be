//! Structured logs: one JSON object a line, on standard output.
//!
//! A line never blocks: it goes to a bounded buffer that is written out when the reader
//! of standard output takes it. Past half of the buffer, lines of plain successes are
//! dropped; past all of it, the others too. The next line that is taken says how many.
//! `log` and `env_logger` write sentences and block, so they serve the tools only.

use dispatch::attempts::Refusal;
use dispatch::{AskFailure, SendFailure, Verdict};
use domain::{HostId, Incarnation, Millis, ServiceName, UpstreamId, Version};
use published::{Belief, Revision};
use serde::Serialize;
use std::cell::RefCell;
use std::fs::File;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Most bytes that wait for the reader of standard output.
const MAX_WAITING_BYTES: usize = 256 * 1024;

/// Lines of one flush interval are written at once: one system call for some ten requests.
const FLUSH: Duration = Duration::from_millis(100);

/// How much a line matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Weight {
    Routine,
    Telling,
}

/// One decision.
#[expect(missing_docs, reason = "the fields are the inputs, named as the log names them")]
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case", rename_all_fields = "snake_case")]
pub enum LogEvent<'a> {
    /// The process began to serve.
    Started { incarnation: Incarnation, version: &'a str, callers: String, seeds: usize },
    /// The process was asked to stop.
    Stopping { open_requests: usize },
    /// The process ends.
    Stopped { open_requests: usize },
    /// Settings were read again.
    Reloaded { changed: bool },
    /// Settings could not be read again; the last good ones stay.
    ReloadFailed { problem: &'a str },
    /// No caller's connection could be taken.
    AcceptFailed { problem: String },
    /// The address for metrics can't be listened on.
    NoMetrics { problem: String },
    /// A peer's message can't be read.
    PeerUnreadable { from: String, problem: String },
    /// Readiness changed.
    Ready { is_ready: bool, reason: &'a str },
    /// The process stood still and looks at the world anew.
    Paused { for_ms: Millis },
    /// Something else is believed.
    Belief {
        #[serde(flatten)]
        belief: &'a Belief,
        from: &'a str,
    },
    /// A published value can't be read; the last good one stays.
    Unreadable { key: &'a str, revision: Revision, problem: &'a str },
    /// The source answers.
    SourceRegained { after_ms: Millis, revision: Revision },
    /// The source doesn't answer.
    SourceLost { problem: String, picture_age_ms: Option<Millis> },
    /// This host reads for the others from now on, or no longer.
    Reading { is_reading: bool, rank: usize, picture_age_ms: Option<Millis> },
    /// A peer was heard of for the first time, or in a new run.
    PeerHeard { peer: &'a HostId, hosts: u32 },
    /// A peer left or was silent for long.
    PeerGone { peer: &'a HostId, hosts: u32 },
    /// The picture was fetched from a peer.
    Fetched { peer: &'a str, revision: Revision, is_done: bool },
    /// A request was taken and routed.
    Routed {
        id: &'a str,
        route: &'a str,
        service: &'a ServiceName,
        routing: Version,
        left_ms: Millis,
        picture_age_ms: Option<Millis>,
    },
    /// Upstreams were asked and one was chosen.
    Chosen {
        id: &'a str,
        upstream: &'a UpstreamId,
        expected_work: f64,
        cost: f64,
        asked: usize,
        answered: usize,
        report_age_ms: Option<Millis>,
        is_other_zone: bool,
    },
    /// The best offer of a round was declined.
    Declined {
        id: &'a str,
        upstream: &'a UpstreamId,
        expected_ms: Option<Millis>,
        asked: usize,
        answered: usize,
        objective_left_ms: Millis,
        verdict: Verdict,
    },
    /// Asking an upstream failed.
    AskFailed { upstream: &'a UpstreamId, failure: AskFailureName },
    /// A request left for an upstream.
    Sent { id: &'a str, upstream: &'a UpstreamId, sending: u32, left_ms: Millis },
    /// A sending failed.
    SendFailed {
        id: &'a str,
        upstream: &'a UpstreamId,
        failure: SendFailureName,
        after_ms: Millis,
        status: Option<u16>,
        is_not_run: bool,
        repeats_left: f64,
    },
    /// An answer was handed to the caller.
    Delivered {
        id: &'a str,
        upstream: &'a UpstreamId,
        status: u16,
        after_ms: Millis,
        objective_ms: Millis,
        sendings: u32,
    },
    /// The host gave a final answer of its own.
    Refused {
        id: &'a str,
        status: u16,
        #[serde(flatten)]
        refusal: Refusal,
        after_ms: Millis,
        sendings: u32,
        picture_age_ms: Option<Millis>,
    },
    /// The caller hung up.
    CallerGone { id: &'a str, after_ms: Millis, sendings: u32, runs_on: bool },
}

/// Names of [`AskFailure`] in logs.
#[expect(missing_docs, reason = "named as the failures themselves")]
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AskFailureName {
    Unreachable,
    Unwell,
    OtherUpstream,
    Silent,
}

impl From<AskFailure> for AskFailureName {
    fn from(failure: AskFailure) -> AskFailureName {
        match failure {
            AskFailure::Unreachable => AskFailureName::Unreachable,
            AskFailure::Unwell => AskFailureName::Unwell,
            AskFailure::OtherUpstream => AskFailureName::OtherUpstream,
            AskFailure::Silent => AskFailureName::Silent,
        }
    }
}

/// Names of [`SendFailure`] in logs.
#[expect(missing_docs, reason = "named as the failures themselves")]
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SendFailureName {
    ErrorAnswer,
    Shed,
    Broken,
    Silent,
}

impl From<SendFailure> for SendFailureName {
    fn from(failure: SendFailure) -> SendFailureName {
        match failure {
            SendFailure::ErrorAnswer => SendFailureName::ErrorAnswer,
            SendFailure::Shed => SendFailureName::Shed,
            SendFailure::Broken => SendFailureName::Broken,
            SendFailure::Silent => SendFailureName::Silent,
        }
    }
}

impl LogEvent<'_> {
    fn weight(&self) -> Weight {
        match self {
            LogEvent::Routed { .. } | LogEvent::Chosen { .. } | LogEvent::Sent { .. } => {
                Weight::Routine
            }
            LogEvent::Declined { verdict: Verdict::AskAgain(_), .. } => Weight::Routine,
            LogEvent::Delivered { status, after_ms, objective_ms, .. }
                if *status < 400 && after_ms <= objective_ms =>
            {
                Weight::Routine
            }
            _ => Weight::Telling,
        }
    }
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    host: &'a HostId,
    #[serde(skip_serializing_if = "is_zero")]
    dropped_routine: u64,
    #[serde(skip_serializing_if = "is_zero")]
    dropped_telling: u64,
    #[serde(flatten)]
    event: &'a LogEvent<'a>,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// The log of a process.
#[derive(Debug)]
pub struct EventLog {
    host: HostId,
    state: RefCell<State>,
}

#[derive(Debug)]
struct State {
    waiting: Vec<u8>,
    dropped_routine: u64,
    dropped_telling: u64,
    dropped_ever: u64,
    out: Option<Out>,
}

/// Where lines go.
#[derive(Debug)]
pub enum Out {
    /// Standard output, which must not block.
    Stdout,
    /// A file or pipe, which must not block either.
    File(File),
}

impl Out {
    fn write(&self, bytes: &[u8]) -> rustix::io::Result<usize> {
        match self {
            // Past the library's own buffer, which would wait for the reader.
            Out::Stdout => rustix::io::write(std::io::stdout(), bytes),
            Out::File(file) => rustix::io::write(file, bytes),
        }
    }
}

impl EventLog {
    /// A log that is written to standard output.
    pub fn to_stdout(host: HostId) -> std::io::Result<EventLog> {
        let out = std::io::stdout();
        let flags = rustix::fs::fcntl_getfl(&out)?;
        rustix::fs::fcntl_setfl(&out, flags | rustix::fs::OFlags::NONBLOCK)?;
        Ok(EventLog::new(host, Some(Out::Stdout)))
    }

    /// A log that is written elsewhere, or kept until it is full.
    pub fn new(host: HostId, out: Option<Out>) -> EventLog {
        let state = State {
            waiting: Vec::new(),
            dropped_routine: 0,
            dropped_telling: 0,
            dropped_ever: 0,
            out,
        };
        EventLog { host, state: RefCell::new(state) }
    }

    /// Takes one line, or drops and counts it.
    pub fn write(&self, event: &LogEvent<'_>) {
        let mut state = self.state.borrow_mut();
        let weight = event.weight();
        let limit = match weight {
            Weight::Routine => MAX_WAITING_BYTES / 2,
            Weight::Telling => MAX_WAITING_BYTES,
        };
        if state.waiting.len() >= limit {
            state.note_dropped(weight);
            return;
        }
        let line = Line {
            at_ms: epoch_ms(),
            host: &self.host,
            dropped_routine: std::mem::take(&mut state.dropped_routine),
            dropped_telling: std::mem::take(&mut state.dropped_telling),
            event,
        };
        match serde_json::to_writer(&mut state.waiting, &line) {
            Ok(()) => state.waiting.push(b'\n'),
            Err(_) => state.note_dropped(weight),
        }
    }

    /// Takes the lines that wait to be written.
    pub fn take_waiting(&self) -> String {
        let waiting = std::mem::take(&mut self.state.borrow_mut().waiting);
        String::from_utf8_lossy(&waiting).into_owned()
    }

    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.state.borrow().dropped_ever
    }

    /// Writes out what the reader of standard output takes, without waiting for it.
    pub fn flush(&self) {
        let mut state = self.state.borrow_mut();
        let State { waiting, out: Some(out), .. } = &mut *state else { return };
        while !waiting.is_empty() {
            match out.write(waiting) {
                Ok(written) => drop(waiting.drain(..written)),
                Err(rustix::io::Errno::INTR) => {}
                // A reader that is slow or gone must not hold up anything; lines wait or drop.
                Err(_) => break,
            }
        }
    }

    /// Writes out what waits, again and again; never ends.
    pub async fn run(&self) {
        loop {
            tokio::time::sleep(FLUSH).await;
            self.flush();
        }
    }
}

impl State {
    fn note_dropped(&mut self, weight: Weight) {
        self.dropped_ever += 1;
        match weight {
            Weight::Routine => self.dropped_routine += 1,
            Weight::Telling => self.dropped_telling += 1,
        }
    }
}

fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
