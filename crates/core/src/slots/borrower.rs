//! The borrower's side of one service: what was asked, what is to be given back.

use crate::slots::ReturnedSlot;
use domain::{ByteCount, HostId, Millis};

/// Silence after an ask that means the lender is gone or paused.
const SILENT_AFTER_MS: Millis = Millis(30);
/// Time for which a silent lender is not asked, unless it is heard.
const LEFT_ALONE_MS: Millis = Millis(1000);
/// Time after a denial in which the lender is not asked again.
const DENIED_MS: Millis = Millis(5);
/// Longest time that a slot waits to be given back.
const RETURN_WITHIN_MS: Millis = Millis(5);
/// Most slots given back with one message; older ones are left to expire.
const MAX_RETURNS: usize = 256;
/// Control bytes of an ask, its answer and their acknowledgements.
const ASK_BYTES: f64 = 600.0;
/// Control bytes of each slot lent and returned.
const SLOT_BYTES: f64 = 120.0;
/// Longest time whose unspent budget may be spent at once.
const BUDGET_SPAN_MS: f64 = 1000.0;

/// What this host borrows of one service.
#[derive(Debug, Default)]
pub struct Borrower {
    lender: Option<HostId>,
    asked: u32,
    asked_ms: Option<Millis>,
    not_before_ms: Millis,
    returns: Vec<ReturnedSlot>,
    returns_since_ms: Option<Millis>,
    budget: Budget,
}

/// Control bytes left.
#[derive(Debug, Default)]
struct Budget {
    bytes: f64,
    at_ms: Millis,
}

impl Borrower {
    /// Whether the lender may be asked, or has been.
    pub fn may_ask(&self, now_ms: Millis, lender: &HostId) -> bool {
        self.lender.as_ref() != Some(lender) || self.not_before_ms <= now_ms
    }

    /// Asks for as many slots as calls wait and weren't asked for. Returns that number
    /// and what goes back with it; `None` if nothing is to be asked.
    pub fn ask(
        &mut self,
        now_ms: Millis,
        lender: &HostId,
        waiting: u32,
        budget: ByteCount,
    ) -> Option<(u32, Vec<ReturnedSlot>)> {
        if self.lender.as_ref() != Some(lender) {
            self.change_lender(lender);
        }
        let count = waiting.saturating_sub(self.asked);
        let bytes = ASK_BYTES + SLOT_BYTES * f64::from(count);
        if count == 0 {
            return None;
        }
        if !self.budget.spend(now_ms, bytes, budget) {
            self.not_before_ms = now_ms + Millis(1);
            return None;
        }
        self.asked += count;
        self.asked_ms.get_or_insert(now_ms);
        self.returns_since_ms = None;
        Some((count, std::mem::take(&mut self.returns)))
    }

    /// Slots that were asked for and are still to come.
    pub fn asked(&self) -> usize {
        self.asked as usize
    }

    /// Notes an answer: the lender lives.
    pub fn note_answer(&mut self, now_ms: Millis, from: &HostId, asked: u32) {
        if self.lender.as_ref() != Some(from) {
            return;
        }
        self.asked = self.asked.saturating_sub(asked);
        self.asked_ms = (self.asked > 0).then_some(now_ms);
        self.not_before_ms = now_ms;
    }

    /// Notes that the lender had fewer slots than were asked for.
    pub fn note_denied(&mut self, denied: u32) {
        if denied > 0 {
            self.not_before_ms = self.not_before_ms + DENIED_MS;
        }
    }

    /// Keeps a slot to be given back. Returns whether it is.
    pub fn give_back(&mut self, now_ms: Millis, lender: &HostId, slot: ReturnedSlot) -> bool {
        let kept = self.lender.as_ref() == Some(lender) && self.returns.len() < MAX_RETURNS;
        if kept {
            self.returns.push(slot);
            self.returns_since_ms.get_or_insert(now_ms);
        }
        kept
    }

    /// What is to be given back now, and to whom.
    pub fn due_returns(&mut self, now_ms: Millis) -> Option<(HostId, Vec<ReturnedSlot>)> {
        let since_ms = self.returns_since_ms?;
        if now_ms.since(since_ms) < RETURN_WITHIN_MS {
            return None;
        }
        self.returns_since_ms = None;
        Some((self.lender.clone()?, std::mem::take(&mut self.returns)))
    }

    /// Leaves the lender alone if it has not answered in time.
    pub fn give_up_if_silent(&mut self, now_ms: Millis) {
        let Some(asked_ms) = self.asked_ms else { return };
        if now_ms.since(asked_ms) >= SILENT_AFTER_MS {
            self.asked = 0;
            self.asked_ms = None;
            self.not_before_ms = now_ms + LEFT_ALONE_MS;
        }
    }

    /// When the next step is due.
    pub fn due_ms(&self) -> Option<Millis> {
        let silent_ms = self.asked_ms.map(|at_ms| at_ms + SILENT_AFTER_MS);
        let return_ms = self.returns_since_ms.map(|at_ms| at_ms + RETURN_WITHIN_MS);
        silent_ms.into_iter().chain(return_ms).min()
    }

    fn change_lender(&mut self, lender: &HostId) {
        *self = Borrower {
            lender: Some(lender.clone()),
            budget: std::mem::take(&mut self.budget),
            ..Borrower::default()
        };
    }
}

impl Budget {
    /// Takes bytes out if they are there; the budget fills at a rate a second.
    fn spend(&mut self, now_ms: Millis, bytes: f64, per_second: ByteCount) -> bool {
        let per_ms = per_second.0 as f64 / 1000.0;
        let filled = self.bytes + now_ms.since(self.at_ms).as_f64() * per_ms;
        self.bytes = filled.min(per_ms * BUDGET_SPAN_MS);
        self.at_ms = now_ms;
        let enough = self.bytes >= bytes;
        if enough {
            self.bytes -= bytes;
        }
        enough
    }
}
