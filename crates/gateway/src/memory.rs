//! Accounts for the memory that this host holds for callers and upstreams.
//!
//! Every byte that is read for a request or a response is counted under what it is held for, from
//! the moment it is read until it is dropped. Whoever wants to read asks here first. Requests and
//! responses each have a share that the large ones among them may fill, and a greater one that
//! nothing exceeds; the rest is left for the program itself. Without a stated memory nothing is
//! refused.

use domain::ByteCount;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Most bytes that are held for one response that is passed on in pieces.
pub const MAX_HELD_BYTES: usize = 256 * 1024;

/// Receive buffer of the kernel for one connection.
pub const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// Held for a response in any case: its beginning, and one read.
pub const MIN_RESPONSE_BYTES: usize = 24 * 1024;

/// Held for a caller's connection besides what is read from it: its task, and its socket's state.
pub const CONNECTION_BYTES: usize = 6 * 1024;

/// Held for an open request besides its head and body: its task.
pub const REQUEST_TASK_BYTES: usize = 8 * 1024;

/// Smallest bound on what is held for all requests, or for all responses: one of them always fits.
const MIN_FULL_BYTES: u64 = 64 * 1024;

/// A part of the host's memory, in units of 1/32, and its least size.
#[derive(Debug, Clone, Copy)]
struct Share {
    units: u64,
    min_bytes: u64,
}

/// What large requests may fill, and what large responses may fill.
const LARGE_SHARE: Share = Share { units: 8, min_bytes: 0 };

/// What all requests may fill: large ones, what each body holds that is passed on, and the rest for
/// small ones.
const REQUESTS_SHARE: Share = Share { units: 13, min_bytes: MIN_FULL_BYTES };

/// What all responses may fill.
const RESPONSES_SHARE: Share = Share { units: 10, min_bytes: MIN_FULL_BYTES };

/// Once responses fill this, fewer of them are collected whole.
const COLLECTED_SHARE: Share = Share { units: 4, min_bytes: MIN_FULL_BYTES };

/// What the kernel may have received of bodies that are passed on.
const RECEIVED_SHARE: Share = Share { units: 3, min_bytes: RECEIVE_BUFFER_BYTES as u64 };

/// An empty buffer that has grown beyond this is released.
const MAX_KEPT_BYTES: usize = 4 * 1024;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldFor {
    /// Read from callers, and not yet part of a request.
    ReadAhead,
    /// Requests, from their heads until their responses were written.
    Requests,
    /// Copies of requests that are sent to upstreams.
    Attempts,
    /// Responses of upstreams.
    Responses,
}

impl HeldFor {
    /// All of them, in the order of their accounts.
    pub const ALL: [HeldFor; 4] =
        [HeldFor::ReadAhead, HeldFor::Requests, HeldFor::Attempts, HeldFor::Responses];

    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            HeldFor::ReadAhead => "read-ahead",
            HeldFor::Requests => "requests",
            HeldFor::Attempts => "attempts",
            HeldFor::Responses => "responses",
        }
    }
}

/// The memory that this host holds for others.
#[derive(Debug)]
pub struct HostMemory {
    /// Memory of the host; none if it isn't stated.
    limit_bytes: Option<ByteCount>,
    held_bytes: [Cell<usize>; HeldFor::ALL.len()],
    /// Bodies that are passed on in pieces.
    streams: Cell<usize>,
    /// What the kernel may have received of them.
    received_bytes: Cell<usize>,
    /// Requests that are being served.
    open_requests: Cell<usize>,
    /// Notified when bytes held for responses are freed.
    responses_freed: Notify,
    /// Notified when requests no longer fill their whole share.
    requests_freed: Notify,
}

impl HostMemory {
    /// Creates the accounts of a host with this memory; without bounds if it isn't stated.
    pub fn new(limit_bytes: Option<ByteCount>) -> Rc<HostMemory> {
        Rc::new(HostMemory {
            limit_bytes,
            held_bytes: HeldFor::ALL.map(|_| Cell::new(0)),
            streams: Cell::new(0),
            received_bytes: Cell::new(0),
            open_requests: Cell::new(0),
            responses_freed: Notify::new(),
            requests_freed: Notify::new(),
        })
    }

    /// Memory of the host; none if it isn't stated.
    pub fn limit_bytes(&self) -> Option<ByteCount> {
        self.limit_bytes
    }

    /// Bytes that are held.
    pub fn held_bytes(&self, held_for: HeldFor) -> usize {
        self.held_bytes[held_for as usize].get()
    }

    /// Bytes that are held for callers' requests.
    pub fn request_bytes(&self) -> usize {
        let accounts = [HeldFor::ReadAhead, HeldFor::Requests, HeldFor::Attempts];
        accounts.into_iter().map(|held_for| self.held_bytes(held_for)).sum()
    }

    /// Number of bodies that are passed on in pieces.
    pub fn streams(&self) -> usize {
        self.streams.get()
    }

    /// Whether this many bytes more can be held for large requests.
    pub fn has_room_for_request(&self, bytes: usize) -> bool {
        self.fits(LARGE_SHARE, self.request_bytes(), bytes)
    }

    /// Whether small requests can be read as well.
    pub fn has_room_for_small_request(&self) -> bool {
        self.fits(REQUESTS_SHARE, self.request_bytes(), 1)
    }

    /// Returns once small requests can be read again after they could not.
    pub async fn small_requests_have_room(&self) {
        loop {
            let freed = self.requests_freed.notified();
            if self.has_room_for_small_request() {
                return;
            }
            freed.await;
        }
    }

    /// Permits to pass on a body in pieces, of which `left_bytes` may still arrive; none if the kernel
    /// may hold too much for those that are passed on.
    pub fn permit_stream(self: &Rc<HostMemory>, left_bytes: usize) -> Option<StreamPermit> {
        let bytes = left_bytes.min(RECEIVE_BUFFER_BYTES as usize);
        if !self.fits(RECEIVED_SHARE, self.received_bytes.get(), bytes) {
            return None;
        }
        self.streams.update(|streams| streams + 1);
        self.received_bytes.update(|received| received + bytes);
        Some(StreamPermit { memory: Rc::clone(self), bytes })
    }

    /// Whether this many bytes more can be held for large responses.
    pub fn has_room_for_response(&self, bytes: usize) -> bool {
        self.fits(LARGE_SHARE, self.held_bytes(HeldFor::Responses), bytes)
    }

    /// Whether the responses to all open requests fit.
    pub fn has_room_for_open_requests(&self) -> bool {
        self.fits(RESPONSES_SHARE, self.held_bytes(HeldFor::Responses), self.bytes_to_come())
    }

    /// Whether a request may be served whose response waits for that of another on its connection.
    pub fn has_room_for_pipelined(&self) -> bool {
        let to_come_bytes = self.bytes_to_come() + MIN_RESPONSE_BYTES;
        self.fits(COLLECTED_SHARE, self.held_bytes(HeldFor::Responses), to_come_bytes)
    }

    /// Whether responses are few enough to collect those of a moderate size whole.
    pub fn may_collect_response(&self) -> bool {
        self.fits(COLLECTED_SHARE, self.held_bytes(HeldFor::Responses), 0)
    }

    /// Bytes that are held at least for responses to open requests.
    fn bytes_to_come(&self) -> usize {
        self.open_requests.get().saturating_mul(MIN_RESPONSE_BYTES)
    }

    /// Counts a request as open until the guard is dropped.
    pub fn open_request(self: &Rc<HostMemory>) -> OpenRequest {
        self.open_requests.update(|open| open + 1);
        OpenRequest { memory: Rc::clone(self) }
    }

    /// Creates an entry that holds nothing yet.
    pub fn hold(self: &Rc<HostMemory>, held_for: HeldFor) -> HeldBytes {
        HeldBytes { memory: Rc::clone(self), held_for, bytes: Cell::new(0) }
    }

    /// Returns once bytes held for responses were freed after this call.
    pub async fn responses_freed(&self) {
        self.responses_freed.notified().await;
    }

    fn fits(&self, share: Share, held_bytes: usize, bytes: usize) -> bool {
        let Some(limit) = self.limit_bytes else { return true };
        let bound = (limit.0 / 32 * share.units).max(share.min_bytes);
        held_bytes.saturating_add(bytes) as u64 <= bound
    }

    fn set(&self, held_for: HeldFor, before: usize, after: usize) {
        let had_room = self.has_room_for_small_request();
        self.held_bytes[held_for as usize].update(|held| held + after - before);
        match held_for {
            HeldFor::Responses if after < before => self.responses_freed.notify_waiters(),
            HeldFor::Responses => {}
            HeldFor::ReadAhead | HeldFor::Requests | HeldFor::Attempts => {
                if !had_room && self.has_room_for_small_request() {
                    self.requests_freed.notify_waiters();
                }
            }
        }
    }
}

/// Bytes that are held for one purpose, until they are dropped.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Rc<HostMemory>,
    held_for: HeldFor,
    bytes: Cell<usize>,
}

impl HeldBytes {
    /// Records how many bytes are held now.
    pub fn set(&self, bytes: usize) {
        let before = self.bytes.replace(bytes);
        if bytes != before {
            self.memory.set(self.held_for, before, bytes);
        }
    }

    /// Bytes that are held now.
    pub fn get(&self) -> usize {
        self.bytes.get()
    }

    /// Whether this many bytes more can be held for a long response.
    pub fn may_grow(&self, bytes: usize) -> bool {
        self.bytes.get() + bytes <= MAX_HELD_BYTES && self.memory.has_room_for_response(bytes)
    }

    /// The host's accounts, which include these bytes.
    pub fn memory(&self) -> &Rc<HostMemory> {
        &self.memory
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Permission to pass on a body in pieces, until it is dropped.
#[derive(Debug)]
pub struct StreamPermit {
    memory: Rc<HostMemory>,
    bytes: usize,
}

impl Drop for StreamPermit {
    fn drop(&mut self) {
        self.memory.streams.update(|streams| streams - 1);
        self.memory.received_bytes.update(|received| received - self.bytes);
    }
}

/// A request that is being served, until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    memory: Rc<HostMemory>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.memory.open_requests.update(|open| open - 1);
    }
}

/// Releases a buffer of an idle connection, if it is empty and has grown.
pub fn release_if_empty(buffer: &mut Vec<u8>) {
    if buffer.is_empty() && buffer.capacity() > MAX_KEPT_BYTES {
        *buffer = Vec::new();
    }
}

/// Memory of this process that is resident; none if the kernel doesn't tell.
pub fn resident_bytes() -> Option<ByteCount> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(ByteCount(kilobytes * 1024))
}
