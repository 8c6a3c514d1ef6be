//! Calls that wait for a slot, shared fairly between callers.
//!
//! Each caller has a line of its own and the lines take turns, so one caller's burst
//! delays that caller only. A full queue pushes out the newest call of the longest line.

use domain::{CallId, CallerId, FastMap};
use std::collections::VecDeque;

/// Calls of one service that wait.
#[derive(Debug, Default)]
pub struct WaitQueue {
    lines: FastMap<CallerId, VecDeque<CallId>>,
    turns: VecDeque<CallerId>,
    len: usize,
}

/// Whether a call may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It waits.
    Waits,
    /// The caller has too many waiting.
    CallerFull,
    /// It waits, in place of this one.
    Replaces(CallId),
    /// The queue is full and no longer line than the caller's own is there.
    QueueFull,
}

impl WaitQueue {
    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Calls whose turn comes before the next one of a caller.
    pub fn ahead_of(&self, caller: &CallerId) -> usize {
        let own = self.lines.get(caller).map_or(0, VecDeque::len);
        self.lines.values().map(|line| line.len().min(own + 1)).sum()
    }

    /// Lets a call wait if the limits allow it.
    pub fn admit(
        &mut self,
        caller: &CallerId,
        call: CallId,
        queue_limit: usize,
        caller_limit: usize,
    ) -> Admission {
        let waiting = self.lines.get(caller).map_or(0, VecDeque::len);
        if waiting >= caller_limit {
            return Admission::CallerFull;
        }
        if self.len < queue_limit {
            self.push_back(caller, call);
            return Admission::Waits;
        }
        match self.drop_newest_of_longest(waiting + 1) {
            Some(dropped) => {
                self.push_back(caller, call);
                Admission::Replaces(dropped)
            }
            None => Admission::QueueFull,
        }
    }

    /// Puts a call back at the head of its line, past all limits: it was admitted before.
    pub fn push_front(&mut self, caller: &CallerId, call: CallId) {
        self.line_of(caller).push_front(call);
        self.len += 1;
    }

    /// The call whose turn it is.
    pub fn peek(&self) -> Option<CallId> {
        self.lines.get(self.turns.front()?)?.front().copied()
    }

    /// Takes out the call whose turn it is.
    pub fn pop(&mut self) -> Option<CallId> {
        let caller = self.turns.pop_front()?;
        let line = self.lines.get_mut(&caller)?;
        let call = line.pop_front();
        match line.is_empty() {
            true => drop(self.lines.remove(&caller)),
            false => self.turns.push_back(caller),
        }
        self.len -= 1;
        call
    }

    /// Takes a call out, wherever it waits.
    pub fn remove(&mut self, caller: &CallerId, call: CallId) -> bool {
        let Some(line) = self.lines.get_mut(caller) else { return false };
        let Some(place) = line.iter().position(|&waiting| waiting == call) else { return false };
        line.remove(place);
        self.len -= 1;
        if line.is_empty() {
            self.forget(caller);
        }
        true
    }

    fn push_back(&mut self, caller: &CallerId, call: CallId) {
        self.line_of(caller).push_back(call);
        self.len += 1;
    }

    fn line_of(&mut self, caller: &CallerId) -> &mut VecDeque<CallId> {
        if !self.lines.contains_key(caller) {
            self.turns.push_back(caller.clone());
        }
        self.lines.entry(caller.clone()).or_default()
    }

    fn forget(&mut self, caller: &CallerId) {
        self.lines.remove(caller);
        self.turns.retain(|other| other != caller);
    }

    fn drop_newest_of_longest(&mut self, longer_than: usize) -> Option<CallId> {
        let caller = self
            .turns
            .iter()
            .max_by_key(|caller| self.lines.get(caller).map_or(0, VecDeque::len))?
            .clone();
        let line = self.lines.get_mut(&caller)?;
        if line.len() <= longer_than {
            return None;
        }
        let dropped = line.pop_back();
        self.len -= 1;
        dropped
    }
}
