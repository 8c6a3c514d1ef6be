//! What is known of an upstream follows each sending, also one that is dropped midway.

use crate::host::Host;
use dispatch::SendFailure;
use domain::{Millis, UpstreamId};
use std::rc::Rc;

/// A sending in progress at an upstream, until it ends or is withdrawn.
pub(super) struct InProgress {
    host: Rc<Host>,
    upstream: UpstreamId,
    begun_ms: Millis,
    is_ended: bool,
}

impl InProgress {
    /// A request leaves for an upstream.
    pub(super) fn begin(host: &Rc<Host>, upstream: &UpstreamId) -> InProgress {
        if let Some(known) = host.upstreams.borrow_mut().get_mut(upstream) {
            known.note_sent();
        }
        let begun_ms = host.now_ms();
        InProgress { host: Rc::clone(host), upstream: upstream.clone(), begun_ms, is_ended: false }
    }

    /// It came to its end.
    pub(super) fn end(mut self, failure: Option<SendFailure>) {
        self.is_ended = true;
        let now_ms = self.host.now_ms();
        if let Some(known) = self.host.upstreams.borrow_mut().get_mut(&self.upstream) {
            known.note_ended(now_ms, failure);
        }
    }
}

/// A sending that is withdrawn after so long was no good: its upstream is silent or slow.
const SILENT_MS: Millis = Millis(400);

impl Drop for InProgress {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        let now_ms = self.host.now_ms();
        if let Some(known) = self.host.upstreams.borrow_mut().get_mut(&self.upstream) {
            match now_ms.since(self.begun_ms) > SILENT_MS {
                true => known.note_ended(now_ms, Some(SendFailure::Silent)),
                false => known.note_withdrawn(),
            }
        }
    }
}
