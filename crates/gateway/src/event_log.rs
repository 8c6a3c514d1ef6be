//! Structured logs: one JSON object a line, on standard output.
//!
//! A line never blocks: it goes to a bounded buffer that is written out when the reader
//! of standard output takes it. Past half of the buffer, lines of plain successes are
//! dropped; past all of it, the others too. The next line that is taken says how many.
//! `log` and `env_logger` write sentences and block, so they serve the tools only.

mod event;

pub use event::{ChosenBy, LogEvent, ResponseTo};

use domain::HostId;
use event::Weight;
use serde::Serialize;
use std::cell::RefCell;
use std::fs::File;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Most bytes that wait for the reader of standard output.
const MAX_WAITING_BYTES: usize = 256 * 1024;

/// Lines of one flush interval are written at once: one system call for some ten requests.
const FLUSH: Duration = Duration::from_millis(100);

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
    pub fn take_buffered(&self) -> String {
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
            clock::sleep(FLUSH).await;
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
