//! What an attempt sends, and how that is logged.

use super::attempt::AttemptCounts;
use super::authentication::is_withheld;
use super::selection::Selected;
use super::{Request, RoutedRequest};
use crate::connection::{Connection, Path};
use crate::event_log::LogEvent;
use crate::http1::{HeaderChanges, write_request_head};
use crate::request_body::{PREFIX_BYTES, RequestBody};
use domain::{Millis, UpstreamId};
use std::rc::Rc;

impl RoutedRequest {
    pub(super) fn log_attempt(
        &self,
        selected: &Selected,
        connection: &Connection,
        now_ms: Millis,
        counts: &AttemptCounts,
    ) {
        let charge = (counts.sent > 1).then_some(counts.charge);
        self.host.metrics.attempt_sent(&self.service, charge);
        let (is_other_zone, warmth) = {
            let upstreams = self.host.upstreams.borrow();
            let known = upstreams.get(&selected.upstream);
            (
                upstreams.is_in_other_zone(&selected.upstream),
                known.map(|known| known.warmth(now_ms)),
            )
        };
        self.host.log.write(&LogEvent::Chosen {
            id: &self.id,
            upstream: &selected.upstream,
            expected_work: rounded(selected.work),
            cost: rounded(selected.cost),
            by: selected.by.clone(),
            report_age_ms: selected.report_age_ms,
            waited_ms: now_ms.since(selected.begun_ms),
            is_other_zone,
            warmth,
        });
        self.host.log.write(&LogEvent::Sent {
            id: &self.id,
            upstream: &selected.upstream,
            sending: counts.sent,
            charge,
            left_ms: self.end_ms.since(now_ms),
            tunnel: match connection.path() {
                Path::Direct => None,
                Path::Tunnel(tunnel) => Some(&tunnel.id),
            },
        });
    }

    /// Returns the head of an attempt, which includes a small body, and the request if its body
    /// follows.
    pub(super) fn encode(
        &self,
        upstream: &UpstreamId,
        now_ms: Millis,
    ) -> (Vec<u8>, Option<Rc<Request>>) {
        let left_ms = self.end_ms.since(now_ms).0.max(1).to_string();
        let dialect = &self.host.dialect;
        let mut added = vec![
            (dialect.deadline_ms, left_ms.as_str()),
            (dialect.expected_upstream, upstream.as_str()),
        ];
        if let Some(organisation) = &self.organisation {
            added.push((dialect.organisation, organisation.name.as_str()));
        }
        let is_dropped = |name: &str, value: &[u8]| is_withheld(&self.table, dialect, name, value);
        let changes = HeaderChanges { added: &added, is_dropped: &is_dropped };
        let Request { head, body, .. } = &*self.request;
        let mut bytes = write_request_head(head, body.framing(), &changes);
        match body {
            RequestBody::Whole(segments) if segments.len() <= PREFIX_BYTES => {
                bytes.extend_from_slice(&segments.prefix(PREFIX_BYTES));
                (bytes, None)
            }
            RequestBody::Whole(_) | RequestBody::Streamed(_) => {
                (bytes, Some(Rc::clone(&self.request)))
            }
        }
    }
}

/// Rounds to two decimal places for logs.
fn rounded(figure: f64) -> f64 {
    (figure * 100.0).round() / 100.0
}
