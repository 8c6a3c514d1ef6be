//! A request whose body has not arrived completely.

use super::Caller;
use crate::host::{Host, to_duration};
use crate::http1::{BodyProgress, BodyReader, Framing, HeadError, RequestHead};
use crate::memory::HeldBytes;
use crate::request_body::{PREFIX_BYTES, Segments};
use crate::serve::latest_end_ms;
use clock::Moment;
use domain::Millis;
use std::time::Duration;

/// Lowest rate at which a body must arrive, beyond the idle timeout: otherwise a caller could hold a
/// connection and its memory with a byte now and then.
const MIN_BODY_BYTES_PER_S: f64 = 1_024.0;

/// Longest time for a body to arrive, if neither its caller nor its route states less.
const MAX_BODY_TIME: Duration = Duration::from_secs(60 * 60);

/// A request whose head was read, but not its whole body.
pub(super) struct PartialRequest {
    pub(super) head: RequestHead,
    /// Bytes of the head, and of the task that will serve it.
    pub(super) head_bytes: usize,
    pub(super) reader: BodyReader,
    pub(super) body: Segments,
    /// The stated length of the body, if memory is reserved for it.
    pub(super) reserved_bytes: usize,
    /// When the request can no longer be served; known once its body did not arrive at once.
    pub(super) expires: Option<Moment>,
    /// Accounts for the head, and for the body as far as it was read or has memory reserved.
    pub(super) held: HeldBytes,
    pub(super) arrived_ms: Millis,
    pub(super) begun: Moment,
    pub(super) sent_continue: bool,
}

impl PartialRequest {
    /// Whether more of the body may be collected.
    pub(super) fn may_grow(&self, caller: &Caller) -> bool {
        self.body.len() < PREFIX_BYTES
            || self.reserved_bytes > 0
            || caller.memory().has_room_for_request(caller.inbox_bytes().max(1))
    }

    /// Reads what has arrived of the body.
    pub(super) fn read_from(&mut self, caller: &Caller) -> Result<BodyProgress, HeadError> {
        let progress = caller.take(|inbox| self.reader.read_from(inbox));
        self.body.push(self.reader.take());
        self.held.set(self.head_bytes + self.body.len().max(self.reserved_bytes));
        progress
    }

    /// When the body has arrived too slowly, or too late.
    pub(super) fn times_out_at(&self, idle_timeout: Duration) -> Moment {
        let longest_s = self.reader.received_bytes() as f64 / MIN_BODY_BYTES_PER_S;
        let too_slow = self.begun + idle_timeout + Duration::from_secs_f64(longest_s);
        self.expires.map_or(too_slow, |expires| expires.min(too_slow))
    }

    /// Most bytes of the body that may still arrive.
    pub(super) fn left_bytes(&self) -> usize {
        match self.reader.framing() {
            Framing::Length(length) => {
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                length.saturating_sub(self.reader.received_bytes())
            }
            Framing::Chunked | Framing::UntilClose => usize::MAX,
        }
    }

    /// Finds out when the request can no longer be served.
    pub(super) fn set_expiry(&mut self, host: &Host) {
        if self.expires.is_none() {
            let end_ms = latest_end_ms(host, &self.head, self.arrived_ms);
            let left_ms = end_ms.since(host.now_ms());
            self.expires = Some(Moment::now() + to_duration(left_ms).min(MAX_BODY_TIME));
        }
    }
}
