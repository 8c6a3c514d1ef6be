//! Slots and the short queue before them.
//!
//! A freed slot goes straight to the oldest waiter, so the counts of busy and queued
//! are exact at any moment. Both a permit and a place in the queue are given back when
//! they are dropped, which is how a disconnected caller frees them.

use crate::server::lock;
use crate::upstream::Load;
use domain::Slots as SlotCount;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use tokio::sync::oneshot;

/// The slots of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Slots {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    slots: u32,
    queue_limit: u32,
    busy: u32,
    next_ticket: u64,
    waiters: VecDeque<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    ticket: u64,
    granted: oneshot::Sender<()>,
}

/// How a request is received.
#[derive(Debug)]
pub(crate) enum Admission {
    /// It may run.
    Run(Permit),
    /// It waits.
    Wait(Place),
    /// The queue is full.
    Shed,
}

/// A slot in use.
#[derive(Debug)]
pub(crate) struct Permit {
    slots: Slots,
}

/// A place in the queue.
#[derive(Debug)]
pub(crate) struct Place {
    slots: Slots,
    ticket: u64,
    granted: oneshot::Receiver<()>,
    taken: bool,
}

impl Slots {
    pub(crate) fn new(slots: SlotCount, queue_limit: u32) -> Slots {
        let state = State {
            slots: slots.0,
            queue_limit,
            busy: 0,
            next_ticket: 0,
            waiters: VecDeque::new(),
        };
        Slots { state: Arc::new(Mutex::new(state)) }
    }

    /// Takes a slot, a place in the queue, or neither.
    pub(crate) fn admit(&self) -> Admission {
        let mut state = lock(&self.state);
        if state.busy < state.slots {
            state.busy += 1;
            return Admission::Run(Permit { slots: self.clone() });
        }
        if state.waiters.len() as u64 >= u64::from(state.queue_limit) {
            return Admission::Shed;
        }
        let (sender, granted) = oneshot::channel();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiters.push_back(Waiter { ticket, granted: sender });
        Admission::Wait(Place { slots: self.clone(), ticket, granted, taken: false })
    }

    /// Slots in use and requests waiting.
    pub(crate) fn load(&self) -> Load {
        let state = lock(&self.state);
        Load { busy: SlotCount(state.busy), queued: state.waiters.len() as u32 }
    }

    fn release(&self) {
        lock(&self.state).pass_on();
    }
}

impl State {
    /// Gives a freed slot to the oldest waiter, if there is one.
    fn pass_on(&mut self) {
        while let Some(waiter) = self.waiters.pop_front() {
            if waiter.granted.send(()).is_ok() {
                return;
            }
        }
        self.busy -= 1;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.slots.release();
    }
}

impl Place {
    /// Waits for a slot.
    pub(crate) async fn granted(&mut self) -> Option<Permit> {
        (&mut self.granted).await.ok()?;
        self.taken = true;
        Some(Permit { slots: self.slots.clone() })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let mut state = lock(&self.slots.state);
        match state.waiters.iter().position(|waiter| waiter.ticket == self.ticket) {
            Some(index) => drop(state.waiters.remove(index)),
            // Granted in the very moment in which it was given up.
            None => state.pass_on(),
        }
    }
}

#[cfg(test)]
mod tests;
