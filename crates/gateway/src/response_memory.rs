//! Accounts for the memory that this host holds for responses.
//!
//! Responses that are collected whole are always held. Long ones are read from their upstreams only
//! while memory is left, so that slow callers can't exhaust the host.

use dispatch::RouteKey;
use domain::{ByteCount, FastSet};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Longest body of a response that is collected whole before it is passed on.
pub const MAX_WHOLE_BYTES: usize = 64 * 1024;

/// Most bytes that are held for one long response.
pub const MAX_HELD_BYTES: usize = 256 * 1024;

/// Responses may use the host's memory divided by this.
const RESPONSE_MEMORY_DIVISOR: u64 = 4;

/// The memory that responses use on this host.
#[derive(Debug)]
pub struct ResponseMemory {
    /// Long responses are read on only while all responses hold less; none if the host's memory
    /// isn't stated.
    bound_bytes: Option<usize>,
    /// Bytes held for all responses.
    held_bytes: Cell<usize>,
    /// Notified when memory is freed.
    freed: Notify,
    /// Routes whose last response was long.
    long_routes: RefCell<FastSet<RouteKey>>,
}

impl ResponseMemory {
    /// Creates the account of a host with this memory; without a bound if it isn't stated.
    pub fn new(memory_bytes: Option<ByteCount>) -> Rc<ResponseMemory> {
        let share = |bytes: ByteCount| usize::try_from(bytes.0 / RESPONSE_MEMORY_DIVISOR);
        Rc::new(ResponseMemory {
            bound_bytes: memory_bytes.map(|bytes| share(bytes).unwrap_or(usize::MAX)),
            held_bytes: Cell::new(0),
            freed: Notify::new(),
            long_routes: RefCell::default(),
        })
    }

    /// Bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Whether a response of a route can be held, judged by the route's last one.
    pub fn has_room_for(&self, route: RouteKey) -> bool {
        !self.long_routes.borrow().contains(&route) || self.has_room(MAX_HELD_BYTES)
    }

    /// Records the kind of a route's last response.
    pub fn record_response(&self, route: RouteKey, is_long: bool) {
        let mut long_routes = self.long_routes.borrow_mut();
        match is_long {
            true => long_routes.insert(route),
            false => long_routes.remove(&route),
        };
    }

    /// Forgets routes that no longer exist.
    pub fn retain_routes(&self, exists: impl Fn(RouteKey) -> bool) {
        self.long_routes.borrow_mut().retain(|route| exists(*route));
    }

    /// Returns once memory was freed after this call.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.bound_bytes.is_none_or(|bound| self.held_bytes.get().saturating_add(bytes) <= bound)
    }
}

/// The bytes that are held for one response, until it is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Rc<ResponseMemory>,
    bytes: Cell<usize>,
}

impl HeldBytes {
    /// Creates an account that holds nothing yet.
    pub fn none(memory: &Rc<ResponseMemory>) -> HeldBytes {
        HeldBytes { memory: Rc::clone(memory), bytes: Cell::new(0) }
    }

    /// Records how many bytes are held now.
    pub fn set(&self, bytes: usize) {
        let before = self.bytes.replace(bytes);
        self.memory.held_bytes.update(|held| held + bytes - before);
        if bytes < before {
            self.memory.freed.notify_waiters();
        }
    }

    /// Whether this many bytes more can be held for a long response.
    pub fn may_grow(&self, bytes: usize) -> bool {
        self.bytes.get() + bytes <= MAX_HELD_BYTES && self.memory.has_room(bytes)
    }

    /// The host's account, which includes these bytes.
    pub fn memory(&self) -> &Rc<ResponseMemory> {
        &self.memory
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
