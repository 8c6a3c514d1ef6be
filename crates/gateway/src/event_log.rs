//! Structured logs: one JSON object per line, on standard output.
//!
//! Logging never blocks: lines go to a bounded buffer, which is flushed as far as the reader of
//! standard output accepts it. Once half of the buffer is full, lines of routine events are
//! dropped; once it is full, all lines are. The next line that is written states how many were
//! dropped. `log` and `env_logger` block and write unstructured text, so only the tools use them.

mod event;
mod values;

pub use event::LogEvent;
pub use values::{
    BreakCause, ChosenBy, CrashEvidence, RelayRefusal, ResponseTo, RetryCharge, SessionEnd,
    TunnelEnd, TunnelProblem,
};

use domain::HostId;
use event::Priority;
use serde::Serialize;
use std::cell::RefCell;
use std::fs::File;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Size of the buffer.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Time between two flushes. The lines in between are written by one system call.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    host: &'a HostId,
    #[serde(skip_serializing_if = "is_zero")]
    dropped_routine: u64,
    #[serde(rename = "dropped_telling", skip_serializing_if = "is_zero")]
    dropped_important: u64,
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
    buffer: Vec<u8>,
    /// Lines dropped since the last one that was written.
    dropped_routine: u64,
    dropped_important: u64,
    /// All lines dropped since the start.
    dropped_total: u64,
    out: Option<Out>,
}

/// The destination of lines.
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
            // Bypasses the library's own buffer, which would block.
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

    /// A log that is written to `out`; without it, lines stay in the buffer.
    pub fn new(host: HostId, out: Option<Out>) -> EventLog {
        let state = State {
            buffer: Vec::new(),
            dropped_routine: 0,
            dropped_important: 0,
            dropped_total: 0,
            out,
        };
        EventLog { host, state: RefCell::new(state) }
    }

    /// Buffers one line, or drops and counts it.
    pub fn write(&self, event: &LogEvent<'_>) {
        let mut state = self.state.borrow_mut();
        let priority = event.priority();
        let limit = match priority {
            Priority::Routine => MAX_BUFFERED_BYTES / 2,
            Priority::Important => MAX_BUFFERED_BYTES,
        };
        if state.buffer.len() >= limit {
            state.count_dropped(priority);
            return;
        }
        let line = Line {
            at_ms: epoch_ms(),
            host: &self.host,
            dropped_routine: std::mem::take(&mut state.dropped_routine),
            dropped_important: std::mem::take(&mut state.dropped_important),
            event,
        };
        match serde_json::to_writer(&mut state.buffer, &line) {
            Ok(()) => state.buffer.push(b'\n'),
            Err(_) => state.count_dropped(priority),
        }
    }

    /// Removes and returns the buffered lines.
    pub fn take_buffered(&self) -> String {
        let buffer = std::mem::take(&mut self.state.borrow_mut().buffer);
        String::from_utf8_lossy(&buffer).into_owned()
    }

    /// Number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.state.borrow().dropped_total
    }

    /// Writes as many buffered lines as the output accepts without blocking.
    pub fn flush(&self) {
        let mut state = self.state.borrow_mut();
        let State { buffer, out: Some(out), .. } = &mut *state else { return };
        while !buffer.is_empty() {
            match out.write(buffer) {
                Ok(written) => drop(buffer.drain(..written)),
                Err(rustix::io::Errno::INTR) => {}
                // A slow or closed output must not block the process: lines stay buffered.
                Err(_) => break,
            }
        }
    }

    /// Flushes periodically. Never returns.
    pub async fn run(&self) {
        loop {
            clock::sleep(FLUSH_INTERVAL).await;
            self.flush();
        }
    }
}

/// What is logged while the last tasks of a process end is not lost.
impl Drop for EventLog {
    fn drop(&mut self) {
        self.flush();
    }
}

impl State {
    fn count_dropped(&mut self, priority: Priority) {
        self.dropped_total += 1;
        match priority {
            Priority::Routine => self.dropped_routine += 1,
            Priority::Important => self.dropped_important += 1,
        }
    }
}

fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
