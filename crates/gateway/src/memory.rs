//! Accounts for the memory that this host holds for callers and upstreams.
//!
//! Every byte that is read for a request or a response is counted under what it is held for, from
//! the moment it is read until it is dropped. The accounts decide nothing by themselves: whoever
//! reads asks them first.

use domain::ByteCount;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Most bytes that are held for one long response.
pub const MAX_HELD_BYTES: usize = 256 * 1024;

/// Responses may use the host's memory divided by this.
const RESPONSES_DIVISOR: u64 = 4;

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
    /// Notified when bytes held for responses are freed.
    freed: Notify,
}

impl HostMemory {
    /// Creates the accounts of a host with this memory; without bounds if it isn't stated.
    pub fn new(limit_bytes: Option<ByteCount>) -> Rc<HostMemory> {
        let held_bytes = HeldFor::ALL.map(|_| Cell::new(0));
        Rc::new(HostMemory { limit_bytes, held_bytes, freed: Notify::new() })
    }

    /// Memory of the host; none if it isn't stated.
    pub fn limit_bytes(&self) -> Option<ByteCount> {
        self.limit_bytes
    }

    /// Bytes that are held.
    pub fn held_bytes(&self, held_for: HeldFor) -> usize {
        self.held_bytes[held_for as usize].get()
    }

    /// Whether this many bytes more can be held for responses.
    pub fn has_room_for_response(&self, bytes: usize) -> bool {
        let held = self.held_bytes(HeldFor::Responses);
        self.share(RESPONSES_DIVISOR).is_none_or(|bound| held.saturating_add(bytes) <= bound)
    }

    /// Creates an entry that holds nothing yet.
    pub fn hold(self: &Rc<HostMemory>, held_for: HeldFor) -> HeldBytes {
        HeldBytes { memory: Rc::clone(self), held_for, bytes: Cell::new(0) }
    }

    /// Returns once bytes held for responses were freed after this call.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// A part of the host's memory; none if it isn't stated.
    fn share(&self, divisor: u64) -> Option<usize> {
        let bytes = self.limit_bytes?.0 / divisor;
        Some(usize::try_from(bytes).unwrap_or(usize::MAX))
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
        self.memory.held_bytes[self.held_for as usize].update(|held| held + bytes - before);
        if bytes < before && self.held_for == HeldFor::Responses {
            self.memory.freed.notify_waiters();
        }
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

/// Memory of this process that is resident; none if the kernel doesn't tell.
pub fn resident_bytes() -> Option<ByteCount> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(ByteCount(kilobytes * 1024))
}
